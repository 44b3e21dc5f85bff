"""The budget of retries: in any window of the stated length a few, plus a share of the sessions taken (rule 6)."""

from ..interface import RuleTerms
from ..units import SECOND
from .windows import BucketWindow

BUCKETS = 64
BUCKETS_A_SPAN = 60  # so that what the oldest bucket rounds away stays a sixtieth of the span
BUCKET_LEAST = SECOND // 2


class RetryBudget:
    """Counts sessions and retries; the rules that bound them may change in service, what was counted stays."""

    def __init__(self, rules: RuleTerms) -> None:
        width = max(BUCKET_LEAST, -(-(rules.retry_window or 0) // BUCKETS_A_SPAN))
        self.sessions, self.retries = BucketWindow(width, BUCKETS), BucketWindow(width, BUCKETS)
        self.longest_span = BUCKETS_A_SPAN * width  # of new rules: what is older was not counted

    def session(self, now: int) -> None:
        self.sessions.add(now, 1)

    def retry(self, now: int) -> None:
        self.retries.add(now, 1)

    def allows(self, now: int, rules: RuleTerms) -> bool:
        """Whether one more retry stays within the budget.

        The oldest bucket counts whole against us and not at all for us, so that the budget holds in any window.
        """
        if rules.retry_window is None:
            return True
        start = now - rules.retry_window
        budget = rules.free_retries + rules.retry_share * sum(self.sessions.since(start + 1))
        return sum(self.retries.since(start - self.retries.width)) + 1 <= budget
