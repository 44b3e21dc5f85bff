"""The state that a manager keeps of one server and of one session."""

from collections.abc import Generator
from typing import Any

from ..interface import Package, ServerEntry, SessionRequest
from ..units import SECOND
from .capacity import CapacityAccount

SERVING_WINDOW = 5 * SECOND  # a server that completed an attempt this recently serves
# A session at its lowest rung has its server probed so long after its last change of rung; 3 times as long each time.
FIRST_UPGRADE_PROBE = 4 * SECOND


class ServerState:
    """One media server: its list row, its load accounts, its health and its slow start.

    sessions: ours, by id. failures: halved by a success. backoff_until, paused_until: no attempt before, after
    failures, and after the answer full or short delivery. shed_at: the last step down. failed_at: the last failure,
    None after a success. cold_until: end of slow start. last_turn: the last slow-start turn used.
    seen_warm: has carried load of peers. short_delivery_at, short_delivery_since: the latest report of short
    delivery, and the start of an unbroken series; demand_ratio: load by capacity, as the latest shows it.
    probe_pending: a probe is out. other_streams: of peers, as last reported. usable: takes an attempt, as computed in
    event number usable_event. reserved_kb: kB a second for announced peaks.
    """

    def __init__(self, row: ServerEntry, link: CapacityAccount) -> None:
        self.row, self.link = row, link
        self.rack: CapacityAccount
        self.sessions: dict[int, SessionState] = {}
        self.failures = self.backoff_until = self.paused_until = self.shed_at = 0
        self.failed_at: int | None = None
        self.cold_until = 0
        self.last_turn: int | None = None
        self.seen_warm = False
        self.succeeded_at = -SERVING_WINDOW  # last completed attempt
        self.short_delivery_at = self.short_delivery_since = 0
        self.demand_ratio: float = 0
        self.probe_pending, self.other_streams = False, 0
        self.usable_event, self.usable, self.reserved_kb = -1, False, 0.0

    def use(self) -> float:
        return max(self.link.use(), self.rack.use())


class SessionState:
    """One session request, from its arrival to its last outcome.

    attempt: number of the last attempt, from 0; -1: none yet. batches_missed: batches in which nothing fitted.
    maybe_ran_at, maybe_ran_on: when and to which server the last attempt was sent that may have run. coroutine: see
    Manager.session_coroutine. upgrade_probe_after: time from the last change of rung until the server is probed for
    free capacity.
    """

    def __init__(self, request: SessionRequest, now: int) -> None:
        self.request, self.id, self.seat = request, request.id, (request.title, request.package)
        self.requested_at, self.sent_at, self.deadline = now, now, now + request.time_left
        self.attempt = -1
        self.server: ServerState | None = None  # of the attempt in progress, or of the playing session
        self.playing = self.answered = self.waiting = False
        self.batches_missed = self.rung = 0
        # Servers that serve others and refused this request: failures, backoff_until and failed_at before the refusal.
        self.error_servers: dict[ServerState, tuple[int, int, int | None]] = {}
        self.rung_changed_at = now
        self.begun_at: int | None = None
        self.package: Package
        self.lowest_rung = self.highest_rung = 0
        self.maybe_ran_at: int | None = None
        self.maybe_ran_on: ServerEntry | None = None
        self.coroutine: Generator[Any, Any, None]
        self.upgrade_probe_after = FIRST_UPGRADE_PROBE

    def limit_rungs(self, lowest_rung: int, highest_rung: int) -> None:
        """Limits the rungs to those of the package and of the title, up to what the client can use."""
        self.lowest_rung = max(self.package.floor, lowest_rung)
        self.highest_rung = max(self.lowest_rung, min(self.request.top_rung, self.package.top, highest_rung))

    def clamped_rung(self) -> int:
        return min(max(self.rung, self.lowest_rung), self.highest_rung)
