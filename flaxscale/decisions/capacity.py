"""Accounting of links and uplinks: how much of their capacity is in use (formulas 5 and 14 of the paper).

The paper's dispatcher sees all load. A manager hears figures late and sees its own traffic only, so an account is the
last figure heard, corrected by what this manager has asked more or less since the time that the figure tells of.
"""

from collections.abc import Callable
from typing import Any

from ..units import SECOND
from .windows import BucketWindow

CHANGE_BUCKET = SECOND // 10  # changes of our load are kept by tenths of a second ...
CHANGE_BUCKETS = 64  # ... for longer than a figure is late


class CapacityAccount:
    """One link, or one rack's uplink.

    kb: its capacity, kB a second. own: what our sessions ask of it. unheard(): the use that others are taken to make of
    it while no figure was heard. servers: of an uplink, those behind it. reckoned: of an uplink that is not reported,
    as of when, and what others ask of it. kept: kB a second that are kept for an announced peak.
    """

    def __init__(self, capacity_kb: float, unheard: Callable[[], float]) -> None:
        self.capacity_kb, self.unheard = max(capacity_kb, 1.0), unheard
        self.own_kb = 0.0
        self.reported_at: int | None = None
        self.reported_use = self.own_kb_at_report = self.reserved_kb = (
            0.0  # the last figure, and our load at the time that it tells of
        )
        self.servers: list[Any] = []
        self.reckoned: tuple[int, float] = (-SECOND, 0)
        self.changes = BucketWindow(CHANGE_BUCKET, CHANGE_BUCKETS)

    def asks(self, now: int, own_kb: float, new: bool = True) -> None:
        """Our load from now on; not new: it ran before, and a figure that comes late has it in already."""
        if new:
            self.changes.add(now, own_kb - self.own_kb)
        else:
            self.own_kb_at_report += own_kb - self.own_kb
        self.own_kb = own_kb

    def others(self, now: int, kb: float) -> None:
        """Another manager asks so much more, until a figure shows it."""
        self.changes.add(now, kb)
        self.own_kb_at_report -= kb

    def use(self) -> float:
        """The part of it that is in use."""
        if self.reported_at is None:
            return self.own_kb / self.capacity_kb + self.unheard()
        return max(0.0, self.reported_use + (self.own_kb - self.own_kb_at_report) / self.capacity_kb)

    def share(self) -> float:
        """Our part of what is in use."""
        return min(1.0, max(self.own_kb, 1.0) / self.capacity_kb / max(self.use(), 1e-9))

    def heard(self, now: int, lag: int, amount: float) -> None:
        """A figure, which tells of the time `lag` ago."""
        self.reported_use, self.reported_at = amount, now
        self.own_kb_at_report = self.own_kb - sum(self.changes.since(now - lag))
