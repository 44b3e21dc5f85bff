"""How long an attempt may run, so that the final answer still meets the deadline (rule 1).

The paper has no deadlines. A stalled manager answers nothing, so time is reserved for the answer: the longest recent
stall, and at least half of the client's time.
"""

from ..units import SECOND
from .windows import BucketWindow

MIN_ATTEMPT = SECOND // 4  # tenths of a millisecond; no attempt gets less
TICK = SECOND // 4  # interval at which the manager checks for a stall
STALL_MEMORY = 64 * SECOND  # for which a stall counts
BUCKET_WIDTH = 8 * SECOND
BUCKET_COUNT = 9  # covers STALL_MEMORY and the bucket in progress


class StallTracker:
    """The longest time between two ticks, by buckets of time."""

    def __init__(self) -> None:
        self.longest = BucketWindow(BUCKET_WIDTH, BUCKET_COUNT)
        self.ticked_at = 0
        self.longest_since_bucket: int | None = None  # from which longest_found was computed; None: outdated
        self.longest_found = 0.0

    def start(self, now: int) -> None:
        self.ticked_at = now

    def tick(self, now: int) -> None:
        bucket = self.longest.bucket(now)
        bucket[1] = max(bucket[1], now - self.ticked_at)
        self.ticked_at, self.longest_since_bucket = now, None

    def longest_recent(self, now: int) -> float:
        """The longest stall within STALL_MEMORY; read at each attempt, but computed once a tick."""
        first_bucket = -(-(now - STALL_MEMORY) // BUCKET_WIDTH)
        if first_bucket != self.longest_since_bucket:
            self.longest_since_bucket = first_bucket
            self.longest_found = max((0, *self.longest.since(now - STALL_MEMORY)))
        return self.longest_found


def latest_attempt_end(requested_at: int, time_left: int, deadline: int, stall: float) -> float:
    """When an attempt has to end. time_left: the client's whole time; an attempt at the request gets a part of it."""
    reserve = max(time_left // 2, stall)
    return max(deadline - reserve, requested_at + min(MIN_ATTEMPT, time_left // 2))
