"""The monotonic clock of a process, in whole tenths of a millisecond; all processes of one machine share it."""

import time

from ..units import MILLISECOND, SECOND

__all__ = ["MILLISECOND", "SECOND", "http_date", "now", "set_skew", "unix_clock"]

skewed = None  # lab only: function from monotonic nanoseconds to the time that now() returns


def now():
    """The current time in tenths of a millisecond."""
    return time.monotonic_ns() // 100_000 if skewed is None else skewed(time.monotonic_ns())


def set_skew(step_s, rate):
    """For the lab: from now on, this process's clock is step_s seconds ahead and runs rate times as fast."""
    global skewed
    started, offset = time.monotonic_ns(), round(step_s * 1e9)

    def skewed(at):
        return round(started + offset + (at - started) * rate) // 100_000


def http_date():
    """The current time as the value of a Date header field."""
    return time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime())


def unix_clock():
    """A monotonic clock that starts at the Unix time of this call, so that successive instances agree on it."""
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + offset) // 100_000
