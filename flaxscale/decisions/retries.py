"""The retry budget: in any window of the given length a fixed number, plus a share of the session requests (rule 6)."""

from ..interface import RuleTerms
from ..units import SECOND
from .windows import BucketWindow

BUCKET_COUNT = 64
BUCKETS_PER_SPAN = 60  # the oldest bucket is rounded away: a sixtieth of the span
MIN_BUCKET_WIDTH = SECOND // 2


class RetryBudget:
    """Counts session requests and retries. The rules may change in service; the counts are kept."""

    def __init__(self, rules: RuleTerms) -> None:
        width = max(MIN_BUCKET_WIDTH, -(-(rules.retry_window or 0) // BUCKETS_PER_SPAN))
        self.sessions, self.retries = BucketWindow(width, BUCKET_COUNT), BucketWindow(width, BUCKET_COUNT)
        self.longest_span = BUCKETS_PER_SPAN * width  # the longest that new rules may name: older counts are not kept

    def count_session(self, now: int) -> None:
        self.sessions.add(now, 1)

    def count_retry(self, now: int) -> None:
        self.retries.add(now, 1)

    def allows(self, now: int, rules: RuleTerms) -> bool:
        """Whether one more retry stays within the budget.

        Of the oldest bucket all retries count, but no sessions, so that the budget holds in any window.
        """
        if rules.retry_window is None:
            return True
        start = now - rules.retry_window
        budget = rules.free_retries + rules.retry_share * sum(self.sessions.since(start + 1))
        return sum(self.retries.since(start - self.retries.width)) + 1 <= budget
