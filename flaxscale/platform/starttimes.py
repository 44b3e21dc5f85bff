"""When servers started, by this manager's own clock.

The list gives start times as Unix time. Wall clocks may step by an hour in both directions, here and where the list is
made, so a start time is checked against the time at which it was received. It can't be later than that, and one that is
received in a followed list is seconds old; if it appears far older, the clocks disagree. In both cases the server is
taken to have started just now, which limits it to the pace of cold servers for one extra warm-up at most.
"""

from dataclasses import dataclass

from ..serve.clock import MILLISECOND

# A followed list reports a start within seconds, after an outage of discovery within minutes.
START_AGE_MAX = 300 * 1000 * MILLISECOND


@dataclass(frozen=True, slots=True)
class StartTime:
    """listed_ms: as in the list; started_at: by this manager's clock."""

    listed_ms: float
    started_at: int


class StartTimes:
    """The start time of each listed server. The same listed value keeps its first result."""

    def __init__(self) -> None:
        self.entries: dict[int, StartTime] = {}

    def start_time(self, server: int, listed_ms: float, now: int, following: bool) -> int:
        """following: updates are received as they happen; else the row is of the list that the manager starts with."""
        previous = self.entries.get(server)
        if previous is not None and previous.listed_ms == listed_ms:
            return previous.started_at
        started_at = self.plausible_start(listed_ms, now, following) if listed_ms else 0
        self.entries[server] = StartTime(listed_ms, started_at)
        return started_at

    @staticmethod
    def plausible_start(listed_ms: float, now: int, following: bool) -> int:
        started_at = round(listed_ms * MILLISECOND)
        if started_at > now or (following and now - started_at > START_AGE_MAX):
            return now
        return started_at

    def remove(self, server: int) -> None:
        self.entries.pop(server, None)
