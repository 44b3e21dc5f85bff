"""Detects stalls of this process and bounds how long a request may have waited unread during one. No I/O.

Bytes on a socket carry no arrival time. A process that was stopped for six seconds reads requests that look new but may
have waited for as long; treated as new, they would be answered after their viewers' patience. A timer with a fixed
period reveals the stall: whatever is read before the timer fires again, or so shortly afterwards that it may have
waited in the kernel's accept queue, may be as old as the stall. Times are tenths of a millisecond.
"""

MIN_STALL = 1_000  # a timer later than this was stalled; a shorter delay is load, which the gate measures as lag
RECENT_STALL = 100_000  # so long after a stall this process should be given less shared work
ACCEPT_DELAY = 2_000  # connections queued during a stall are accepted, and read one turn of the event loop later


class StallDetector:
    """Watches a timer of a fixed period and remembers the last stall."""

    def __init__(self, now, period):
        self.period, self.fired_at = period, now
        self.last_stall = now, now  # (began, ended); of no length where there was none

    def timer_fired(self, now):
        """Records that the timer fired."""
        if now - self.fired_at - self.period > MIN_STALL:
            self.last_stall = self.fired_at, now
        self.fired_at = now

    def stalled_recently(self, now):
        """Whether this process stalled recently: it should be given less of the work that others can do as well."""
        began, ended = self.last_stall
        return began < ended and now - ended < RECENT_STALL

    def max_unread_wait(self, now):
        """How long a request that is read now may at most have waited unread because of a stall."""
        if now - self.fired_at - self.period > MIN_STALL:  # before the timer had its turn
            return now - self.fired_at
        began, ended = self.last_stall
        return now - began if began < ended and now - ended < ACCEPT_DELAY else 0
