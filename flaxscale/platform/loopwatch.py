"""Detects stalls of this process, and how old the data that it reads afterwards may be.

A process that was stopped, swapped out or starved of CPU time resumes with overdue timers and with unread data in the
kernel. libuv runs timers before it polls, so an overdue timer would act on a state that this data changes. Therefore
overdue timers wait for one poll (`Host.after_poll`), and data that is read until the loop has caught up is assumed to
have arrived at the beginning of the stall (`read_age`).
"""

STALL_THRESHOLD = 500  # tenths of a millisecond; a timer overdue by more indicates a stall, not a busy loop


class LoopWatch:
    """Tracks maintenance passes, timers and reads; all times in tenths of a millisecond."""

    def __init__(self, now: int) -> None:
        self.ran_at = now  # when the loop last ran
        self.maintenance_due_at = now  # when the next maintenance pass is due
        self.stalled_at: int | None = None  # start of a stall from which data may still be unread

    def loop_ran(self, now: int) -> None:
        """Records that the loop runs."""
        self.ran_at = now

    def timer_ran(self, now: int, due: int) -> bool:
        """Records that a timer runs. True: it is so late that its action must wait for a poll."""
        late = now - due > STALL_THRESHOLD
        if late and self.stalled_at is None:
            self.stalled_at = min(self.ran_at, due)
        self.ran_at = now
        return late

    def maintenance_on_time(self, now: int) -> None:
        """Records a maintenance pass that was on time: the loop has polled since the last one and is not behind."""
        self.ran_at = now
        self.stalled_at = None

    def read_age(self, now: int) -> int:
        """How long data that is read now may have waited, beyond the loop's own latency.

        A loop that polls before it runs timers reads it before the overdue maintenance timer reveals the stall.
        """
        if self.stalled_at is None and now - self.maintenance_due_at > STALL_THRESHOLD:
            self.stalled_at = min(self.ran_at, self.maintenance_due_at)
        return 0 if self.stalled_at is None else now - self.stalled_at

    def caught_up(self) -> bool:
        """Whether all data that arrived during a stall has been read."""
        return self.stalled_at is None
