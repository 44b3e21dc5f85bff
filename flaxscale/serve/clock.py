"""The one clock of a process: monotonic, in whole tenths of a millisecond, the same for all on one machine."""

import time

from ..units import MILLISECOND, SECOND

__all__ = ["MILLISECOND", "SECOND", "http_date", "now", "set_skew", "unix_clock"]

wrong = None  # lab only: what the clock says for the machine's nanoseconds


def now():
    return time.monotonic_ns() // 100_000 if wrong is None else wrong(time.monotonic_ns())


def set_skew(step_s, rate):
    """For the lab: this process's clock is so many seconds ahead and runs so many times as fast, from now on."""
    global wrong
    began, ahead = time.monotonic_ns(), round(step_s * 1e9)

    def wrong(at):
        return round(began + ahead + (at - began) * rate) // 100_000


def http_date():
    return time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime())


def unix_clock():
    """A clock that runs on steadily from the Unix time of this call: instances that take turns agree on it."""
    ahead = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + ahead) // 100_000
