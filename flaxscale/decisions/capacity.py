"""Accounting of links and uplinks: how much of their capacity is in use (formulas 5 and 14 of the paper).

The paper's dispatcher sees all load. A manager sees its own load only and gets reports late, so an account is the last
reported use, corrected by the change of this manager's load since the time that the report describes.
"""

from collections.abc import Callable
from typing import Any

from ..units import SECOND
from .windows import BucketWindow

CHANGE_BUCKET = SECOND // 10  # changes of load are kept by tenths of a second ...
CHANGE_BUCKETS = 64  # ... for longer than any report is late


class CapacityAccount:
    """One link, or one rack's uplink.

    capacity_kb, own_kb, reserved_kb: kB a second in all, asked for by our sessions, and reserved for announced peaks.
    unreported_use(): the estimated use by peers while there is no report. reported_use: the last report;
    own_kb_at_report: our load at the time that it describes. servers: those behind an uplink. peer_estimate: of an
    unreported uplink, (time of the estimate, use by peers).
    """

    def __init__(self, capacity_kb: float, unreported_use: Callable[[], float]) -> None:
        self.capacity_kb, self.unreported_use = max(capacity_kb, 1.0), unreported_use
        self.own_kb = 0.0
        self.reported_at: int | None = None
        self.reported_use = self.own_kb_at_report = self.reserved_kb = 0.0
        self.servers: list[Any] = []
        self.peer_estimate: tuple[int, float] = (-SECOND, 0)
        self.changes = BucketWindow(CHANGE_BUCKET, CHANGE_BUCKETS)

    def set_own(self, now: int, own_kb: float, new: bool = True) -> None:
        """Sets our load. new: False if it ran before, so that a late report already includes it."""
        if new:
            self.changes.add(now, own_kb - self.own_kb)
        else:
            self.own_kb_at_report += own_kb - self.own_kb
        self.own_kb = own_kb

    def add_peer_load(self, now: int, kb: float) -> None:
        """Adds a peer's change of load, until a report includes it."""
        self.changes.add(now, kb)
        self.own_kb_at_report -= kb

    def use(self) -> float:
        """The part of the capacity that is in use."""
        if self.reported_at is None:
            return self.own_kb / self.capacity_kb + self.unreported_use()
        return max(0.0, self.reported_use + (self.own_kb - self.own_kb_at_report) / self.capacity_kb)

    def own_share(self) -> float:
        """Our part of the load."""
        return min(1.0, max(self.own_kb, 1.0) / self.capacity_kb / max(self.use(), 1e-9))

    def record_report(self, now: int, lag: int, use: float) -> None:
        """Records a report that describes the time `lag` ago."""
        self.reported_use, self.reported_at = use, now
        self.own_kb_at_report = self.own_kb - sum(self.changes.since(now - lag))
