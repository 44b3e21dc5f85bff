"""How much older a request may be than it looks: a process that stood still reads late what came meanwhile. No I/O.

A socket's bytes carry no time. Whoever was stopped for six seconds and goes on reads requests that look new, of which
some have been waited for so long; to work on them as on new ones answers after their viewers' patience. A timer that
rings each `period` shows the standstill: whatever is read before its next turn, or so shortly after it that it may
have waited in the kernel's queue of connections, may be as old as that. Times are tenths of a millisecond.
"""

MIN_STALL = 1_000  # later than this by a timer is a standstill, shorter is load, which the gate's lag tells
RECENT_STALL = 100_000  # a standstill is remembered so long by whoever shares work out
ACCEPT_DELAY = 2_000  # connections that came meanwhile are accepted, then read, a turn of the loop later


class StallDetector:
    def __init__(self, now, period):
        self.period, self.fired_at = period, now
        self.last_stall = now, now  # the last standstill

    def timer_fired(self, now):
        """The timer rang."""
        if now - self.fired_at - self.period > MIN_STALL:
            self.last_stall = self.fired_at, now
        self.fired_at = now

    def stalled_recently(self, now):
        """Whether this process stood still lately: it should be given less of what others could do as well."""
        began, ended = self.last_stall
        return began < ended and now - ended < RECENT_STALL

    def max_unread_wait(self, now):
        """A request that is read now may have come so much earlier."""
        if now - self.fired_at - self.period > MIN_STALL:  # before the timer had its turn
            return now - self.fired_at
        began, ended = self.last_stall
        return now - began if began < ended and now - ended < ACCEPT_DELAY else 0
