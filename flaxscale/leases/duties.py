"""The duties that are done under leases: their default figures and their decisions. No I/O.

| duty | resource | fenced by | effect of a repeated act |
| --- | --- | --- | --- |
| compact | the service's store of the catalogue | its own fence | none: the same state is compacted again |
| copies | the service: a proposal that an operator may take | its own fence | replaces the last one, with its version |
| floors | the service: a floor, as a version | its own fence | none: a floor only rises |
| reports | the service: the fleet's state and the spans of gathered accounts | its own fence | replaces the last one |
| orphans | a box: sessions without a living manager for a time | the box's fence, the session's epoch | none |

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
COMPACT_OVER = 200  # records in the log from which a compaction is worth its cost
ORPHAN_AFTER = 50_000  # for so long a session without a living manager is left to takeover
RETRY_AFTER = 10_000  # after a failed turn of a duty
MAX_ORPHANS = 20_000  # sessions that one scan remembers


def task_with(name, period_s, span_s, step_s, drift):
    """A duty's Task with an operator's figures; 0 stands for the default one."""
    default = DUTIES[name]
    given = [round(s * 10_000) for s in (period_s, span_s, step_s)]
    return default._replace(
        period=given[0] or default.period, span=given[1] or default.span, step=given[2] or default.step, drift=drift
    )


def tasks_of(rows, drift):
    """{name: Task} of the duties that are on. rows: {name: DutyRow}."""
    return {
        name: task_with(name, row.period_s, row.span_s, row.step_s, drift)
        for name, row in sorted(rows.items())
        if row.on
    }


def pieces_of(tasks, boxes):
    """{piece: Task}: one piece for each task, or one for each box where the task has pieces."""
    return {
        piece: task
        for name, task in tasks.items()
        for piece in ([f"{name}/{box}" for box in sorted(boxes)] if task.pieces else [name])
    }


class Orphan(NamedTuple):
    """A session whose owner is not alive."""

    key: str
    owner: str
    epoch: int


class OrphanScan:
    """Sessions of one box whose owner is not alive, and since when."""

    def __init__(self):
        self.since = {}  # Orphan: when it was first found

    def overdue(self, sessions, alive, now):
        """The Orphans to end now. sessions: [(key, owner, epoch)] of the box."""
        orphans = [Orphan(*s) for s in sessions if s[1] not in alive]
        self.since = {s: self.since.get(s, now) for s in orphans[:MAX_ORPHANS]}
        return [s for s, at in self.since.items() if now - at >= ORPHAN_AFTER]


class Schedule:
    """When each piece is due: once a period, counted from when this manager last did it."""

    def __init__(self):
        self.done_at, self.under_way = {}, set()

    def due(self, piece, task, now):
        """Whether a turn of the piece may begin."""
        return piece not in self.under_way and now - self.done_at.get(piece, now - task.period) >= task.period

    def begin(self, piece):
        """A turn of the piece has begun."""
        self.under_way.add(piece)

    def done(self, piece, now):
        """A turn of the piece has succeeded: it is due again after a period."""
        self.under_way.discard(piece)
        self.done_at[piece] = now

    def failed(self, piece, task, now):
        """A turn of the piece has failed: it is due again after RETRY_AFTER, or a shorter period."""
        self.under_way.discard(piece)
        self.done_at[piece] = now - task.period + min(task.period, RETRY_AFTER)

    def forget(self, pieces):
        """Forgets pieces not in `pieces`: they are due at once when this manager has them again."""
        for piece in [p for p in self.done_at if p not in pieces]:
            del self.done_at[piece]
