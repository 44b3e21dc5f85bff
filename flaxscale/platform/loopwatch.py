"""How long this process may have stood still, and how old the bytes that it reads afterwards may be.

A process that is stopped, swapped out or starved of its core wakes with timers that are overdue and with bytes unread
in the kernel. libuv runs timers before it polls, so an overdue timer would act on a state that those bytes change.
Two things follow: overdue timers wait for one poll (`Host.after_poll`), and what is read until the loop has caught up
is taken to be as old as the standstill (`age`).
"""

LATE = 500  # tenths of a millisecond: a timer that is this much overdue shows a standstill, not a busy loop


class LoopWatch:
    """Told of each round of upkeep, of each late timer and of each read; all times in tenths of a millisecond."""

    def __init__(self, now: int) -> None:
        self.active_at = now  # the last time that the loop was seen to run
        self.round_due = now  # when the next round of upkeep is due
        self.stopped_at: int | None = None  # when the standstill began that reads may still be behind

    def active(self, now: int) -> None:
        """The loop runs."""
        self.active_at = now

    def timer(self, now: int, due: int) -> bool:
        """A timer that was due then runs now. True: it is late enough to wait for a poll first."""
        late = now - due > LATE
        if late and self.stopped_at is None:
            self.stopped_at = min(self.active_at, due)
        self.active_at = now
        return late

    def round_in_time(self, now: int) -> None:
        """A round of upkeep ran when it was due: since the last one the loop has polled and was not behind."""
        self.active_at = now
        self.stopped_at = None

    def age(self, now: int) -> int:
        """How old bytes that are read now may be, beyond what the loop itself takes.

        A loop that polls before it runs timers reads them before the round that is overdue tells of the standstill.
        """
        if self.stopped_at is None and now - self.round_due > LATE:
            self.stopped_at = min(self.active_at, self.round_due)
        return 0 if self.stopped_at is None else now - self.stopped_at

    def caught_up(self) -> bool:
        """Whether nothing from before a standstill can be unread."""
        return self.stopped_at is None
