"""How much older a request may be than it looks: a process that stood still reads late what came meanwhile. No I/O.

A socket's bytes carry no time. Whoever was stopped for six seconds and goes on reads requests that look new, of which
some have been waited for so long; to work on them as on new ones answers after their viewers' patience. A timer that
rings each `period` shows the standstill: whatever is read before its next turn, or so shortly after it that it may
have waited in the kernel's queue of connections, may be as old as that. Times are tenths of a millisecond.
"""

LEAST = 1_000  # later than this by a timer is a standstill, shorter is load, which the gate's lag tells
LATELY = 100_000  # a standstill is remembered so long by whoever shares work out
AFTER = 2_000  # connections that came meanwhile are accepted, then read, a turn of the loop later


class Still:
    def __init__(self, now, period):
        self.period, self.rang_at = period, now
        self.span = now, now  # the last standstill

    def rings(self, now):
        """The timer rang."""
        if now - self.rang_at - self.period > LEAST:
            self.span = self.rang_at, now
        self.rang_at = now

    def slow(self, now):
        """Whether this process stood still lately: it should be given less of what others could do as well."""
        began, ended = self.span
        return began < ended and now - ended < LATELY

    def older(self, now):
        """A request that is read now may have come so much earlier."""
        if now - self.rang_at - self.period > LEAST:  # before the timer had its turn
            return now - self.rang_at
        began, ended = self.span
        return now - began if began < ended and now - ended < AFTER else 0
