"""How long an attempt may be out, so that the final answer still comes in time (rule 1).

The paper has no deadlines. A manager that stands still answers nothing: the longest standstill seen lately is kept for
the answer, and half the deadline at least.
"""

from ..units import SECOND
from .windows import BucketWindow

ATTEMPT_LEAST = SECOND // 4  # no attempt gets less than this
BEAT = SECOND // 4  # so often we look whether we stood still
REMEMBERED = 64 * SECOND  # a standstill counts so long
BUCKET, BUCKETS = 8 * SECOND, 9  # which these cover, with the one that is not over yet


class Standstills:
    """The longest span between two beats, by buckets of time."""

    def __init__(self) -> None:
        self.longest = BucketWindow(BUCKET, BUCKETS)
        self.beat_at = 0
        self.first_bucket: int | None = None  # from which bucket on the longest one was looked for
        self.found = 0.0

    def begin(self, now: int) -> None:
        self.beat_at = now

    def beat(self, now: int) -> None:
        bucket = self.longest.bucket(now)
        bucket[1] = max(bucket[1], now - self.beat_at)
        self.beat_at, self.first_bucket = now, None

    def lately(self, now: int) -> float:
        """The longest one of the last minute. Asked for at each attempt, and looked for once a beat."""
        first_bucket = -(-(now - REMEMBERED) // BUCKET)
        if first_bucket != self.first_bucket:
            self.first_bucket = first_bucket
            self.found = max((0, *self.longest.since(now - REMEMBERED)))
        return self.found


def attempt_until(asked_at: int, left: int, deadline: int, standstill: float) -> float:
    """When an attempt has to be over. left: the whole time that the client gave. One just after the request may go."""
    reserve = max(left // 2, standstill)
    return max(deadline - reserve, asked_at + min(ATTEMPT_LEAST, left // 2))
