"""The one clock of a process: monotonic, in whole tenths of a millisecond, the same for all on one machine."""
import time


def now():
    return time.monotonic_ns() // 100_000


def http_date():
    return time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime())


def unix_clock():
    """A clock that runs on steadily from the Unix time of this call: instances that take turns agree on it."""
    ahead = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + ahead) // 100_000
