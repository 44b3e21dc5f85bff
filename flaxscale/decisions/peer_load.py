"""The estimated use by peers of a link without a report: the mean of recent reports of other links.

The paper's single dispatcher sees all load. A manager among hundreds gets reports only of the few servers that carry
its sessions. Until reports come, peers are assumed to ask for as much as we do, as far as our few sessions can show it,
and otherwise for half a link.
"""

from ..units import SECOND
from .windows import BucketWindow

PRIOR_WEIGHT = 4  # number of sessions, or of reports, that weighs as much as the default
DEFAULT_LINK_USE = 0.5  # of a link, without sessions of ours and reports
MAX_ESTIMATE = 0.8  # limit of the estimate without reports
REPORT_LIFETIME = 8 * SECOND  # for which a report counts
BUCKET_WIDTH = SECOND


class PeerLoad:
    """The use of links by peers, by recent reports."""

    def __init__(self) -> None:
        self.uses, self.report_counts = (
            BucketWindow(BUCKET_WIDTH, REPORT_LIFETIME // BUCKET_WIDTH),
            BucketWindow(BUCKET_WIDTH, REPORT_LIFETIME // BUCKET_WIDTH),
        )

    def add(self, now: int, use: float) -> None:
        self.uses.add(now, use)
        self.report_counts.add(now, 1)

    def estimate(self, now: int, manager_count: int, session_count: int, own_use: float) -> float:
        """The use of a link by peers. own_use: what all our sessions ask for, as a part of all links."""
        count, reported_total = (sum(window.since(now - REPORT_LIFETIME)) for window in (self.report_counts, self.uses))
        default_weight = PRIOR_WEIGHT / (session_count + PRIOR_WEIGHT)
        estimate = (manager_count - 1) * (
            (1 - default_weight) * own_use + default_weight * DEFAULT_LINK_USE / manager_count
        )
        return (reported_total + PRIOR_WEIGHT * min(MAX_ESTIMATE, estimate)) / (count + PRIOR_WEIGHT)
