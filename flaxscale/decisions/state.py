"""What a manager holds of one server and of one session."""

from collections.abc import Generator
from typing import Any

from ..interface import Package, ServerEntry, SessionRequest
from ..units import SECOND
from .capacity import CapacityAccount

SERVES = 5 * SECOND  # a server that answered well so lately serves
LOOK_UP = 4 * SECOND  # what plays lowest is looked after so long after its last step, then 3 times that


class ServerState:
    """One media server: its list row, its accounts, its health and its slow start."""

    def __init__(self, row: ServerEntry, link: CapacityAccount) -> None:
        self.row, self.link = row, link
        self.rack: CapacityAccount
        self.sessions: dict[int, SessionState] = {}
        self.failures = self.backoff_until = self.paused_until = self.shed_at = 0  # ills: failures, halved by good
        self.failed_at: int | None = None
        self.cold_until = 0  # doubt: seen failing then, not seen working since
        self.last_turn: int | None = None
        self.seen_warm = False  # last turn of the pace used; it carried others' sessions
        self.well_at = -SERVES  # when it last answered well
        self.short_at = self.short_since = 0
        self.asked: float = 0  # short delivery: last told, since when, how short
        self.looking, self.other_streams = False, 0  # a probe of it is out; others' streams, as last reported
        self.judged, self.usable, self.reserved_kb = -1, False, 0.0  # in which call; how; kB kept for a peak

    def use(self) -> float:
        return max(self.link.use(), self.rack.use())


class SessionState:
    """One request for a session, from its arrival to its last outcome."""

    def __init__(self, ask: SessionRequest, now: int) -> None:
        self.ask, self.id, self.seat = ask, ask.id, (ask.title, ask.package)
        self.asked_at, self.sent_at, self.deadline = now, now, now + ask.time_left
        self.nth = -1
        self.server: ServerState | None = None  # number of the last attempt; where one is out or it plays
        self.playing = self.answered = self.waiting = False
        self.held = self.rung = 0  # held: slots in which nothing fitted
        self.erred: dict[
            ServerState, tuple[int, int, int | None]
        ] = {}  # servers that serve and answered it with an error: what they were before
        self.stepped_at = now
        self.begun_at: int | None = None
        self.pack: Package
        self.floor = self.top = 0
        self.ran_at: int | None = None
        self.ran_near: ServerEntry | None = None  # when and to whom an attempt was sent that may have run
        self.life: Generator[Any, Any, None]
        self.look_after = LOOK_UP  # look_after: when its server is looked at for room

    def bound(self, low: int, top: int) -> None:
        """The renditions that it may have: its class's and its title's, up to what it can use."""
        self.floor = max(self.pack.floor, low)
        self.top = max(self.floor, min(self.ask.top_rung, self.pack.top, top))

    def in_bounds(self) -> int:
        return min(max(self.rung, self.floor), self.top)
