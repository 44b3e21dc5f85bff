"""What is done under leases: the duties that there are, their usual figures, and what each decides. No I/O.

| duty | acted on | fenced by | once |
| --- | --- | --- | --- |
| compact | the service's store of the catalogue | its own fence | a compaction of the same state changes nothing |
| copies | the service: a proposal that an operator may take | its own fence | the last one stands, with its version |
| floors | the service: a floor, as a version | its own fence | a floor is only raised |
| reports | the service: the fleet's state, and the spans of accounts gathered | its own fence | the last one stands |
| orphans | a box: sessions without a living manager for a while | the box's fence, the session's epoch | by name |

Times are tenths of a millisecond.
"""

from typing import NamedTuple

from .terms import Task

DUTIES = {
    "compact": Task("compact", 600_000, 50_000, 10_000),
    "copies": Task("copies", 3_000_000, 150_000, 60_000),
    "floors": Task("floors", 10_000, 50_000, 10_000),
    "reports": Task("reports", 100_000, 50_000, 20_000),
    "orphans": Task("orphans", 50_000, 50_000, 10_000, pieces=True),
}
COMPACT_OVER = 200  # records in the log that make a compaction worth its while
ORPHAN_AFTER = 50_000  # a session without a living manager is left so long to those who may take it over
RETRY_AFTER = 10_000  # a duty that failed is tried again after this
REMEMBERED = 20_000  # such sessions that one sweeper remembers


def task_with(name, period_s, span_s, step_s, drift):
    """A duty's Task with an operator's figures; 0: the usual one."""
    usual = DUTIES[name]
    given = [round(s * 10_000) for s in (period_s, span_s, step_s)]
    return usual._replace(
        period=given[0] or usual.period, span=given[1] or usual.span, step=given[2] or usual.step, drift=drift
    )


def tasks_of(rows, drift):
    """{name: Task} of what is on. rows: {name: DutyRow}."""
    return {
        name: task_with(name, row.period_s, row.span_s, row.step_s, drift)
        for name, row in sorted(rows.items())
        if row.on
    }


def pieces_of(tasks, boxes):
    """{piece: Task}: one a task, or one a box."""
    return {
        piece: task
        for name, task in tasks.items()
        for piece in ([f"{name}/{box}" for box in sorted(boxes)] if task.pieces else [name])
    }


class Orphan(NamedTuple):
    key: str
    owner: str
    epoch: int


class OrphanScan:
    """One sweeper's view of a box: sessions whose manager does not live, and since when it sees them so."""

    def __init__(self):
        self.since = {}  # (key, owner, epoch): when it was first seen so

    def overdue(self, sessions, alive, now):
        """sessions: [(key, owner, epoch)] of a box. Those to end now."""
        lone = [Orphan(*s) for s in sessions if s[1] not in alive]
        self.since = {s: self.since.get(s, now) for s in lone[:REMEMBERED]}
        return [s for s, at in self.since.items() if now - at >= ORPHAN_AFTER]


class Schedule:
    """When a piece is due: once a period, counted from when it was done last, by whomever does it now."""

    def __init__(self):
        self.done_at, self.under_way = {}, set()

    def due(self, piece, task, now):
        return piece not in self.under_way and now - self.done_at.get(piece, now - task.period) >= task.period

    def begin(self, piece):
        self.under_way.add(piece)

    def done(self, piece, now):
        self.under_way.discard(piece)
        self.done_at[piece] = now

    def failed(self, piece, task, now):
        """It was not done: it is due again after a while, not at once."""
        self.under_way.discard(piece)
        self.done_at[piece] = now - task.period + min(task.period, RETRY_AFTER)

    def forget(self, pieces):
        """What is no longer ours is due at once when it is ours again."""
        for piece in [p for p in self.done_at if p not in pieces]:
            del self.done_at[piece]
