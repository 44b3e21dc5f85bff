"""Shutdown timing: how long a manager serves after SIGTERM, from the platform's guarantees and the deadlines.

New connections keep arriving for up to 0.4 s and requests for 0.2 s more; SIGKILL is sent no sooner than the longest
deadline, at most 3 s, plus 0.7 s (PROTOCOL). All accepted requests are answered before that.
"""

from typing import NamedTuple

from ..serve.clock import SECOND

REQUESTS_ARRIVE = 7 * SECOND // 10  # later requests need no answer from this manager
STAY = 9 * SECOND // 10  # as long as requests may arrive, and a margin for those in transit
DEADLINE_MAX = 3 * SECOND  # longer deadlines count as this
KILL_AFTER = 7 * SECOND // 10  # after the longest deadline
ANSWER_MARGIN = SECOND // 4  # between the last answer and SIGKILL, for answers that are slow to send
STAY_MARGIN = SECOND // 10  # between the end of serving and SIGKILL, if deadlines are too short for STAY


class StopTimes(NamedTuple):
    """Spans from SIGTERM on. stay: while requests may arrive. answer_by: when every request has its final answer."""

    stay: int
    answer_by: int


def stop_times(longest_deadline: int) -> StopTimes:
    """longest_deadline: of all classes, in tenths of a millisecond."""
    kill = min(longest_deadline, DEADLINE_MAX) + KILL_AFTER
    stay = max(REQUESTS_ARRIVE, min(STAY, kill - STAY_MARGIN))
    return StopTimes(stay, max(stay, kill - ANSWER_MARGIN))
