"""When a server started, by this manager's own clock.

The list tells a start as Unix time. Wall clocks step, by an hour, both ways, here and where the list is made; so what
it says is checked against when it was heard. A start can't lie after the moment in which it was heard, and one that
the list tells of while we follow it is seconds old: where it looks far older the clocks disagree. Either way the server
is taken to have started just now, which keeps it under the pace of cold servers for a warm-up too long at most.
"""

from dataclasses import dataclass

from ..serve.clock import MILLISECOND

# A list that is followed tells of a start within seconds, after an outage of discovery within minutes.
PLAUSIBLE = 300 * 1000 * MILLISECOND


@dataclass(frozen=True, slots=True)
class StartTime:
    """told_ms: as the list says it; at: in our clock."""

    told_ms: float
    at: int


class StartTimes:
    """The start of each server on the list. The same word again keeps its meaning."""

    def __init__(self) -> None:
        self.known: dict[int, StartTime] = {}

    def of(self, server: int, told_ms: float, now: int, followed: bool) -> int:
        """followed: the list is heard as it changes; else it is the one that a manager starts with."""
        before = self.known.get(server)
        if before is not None and before.told_ms == told_ms:
            return before.at
        at = self.checked(told_ms, now, followed) if told_ms else 0
        self.known[server] = StartTime(told_ms, at)
        return at

    @staticmethod
    def checked(told_ms: float, now: int, followed: bool) -> int:
        at = round(told_ms * MILLISECOND)
        if at > now or (followed and now - at > PLAUSIBLE):
            return now
        return at

    def forget(self, server: int) -> None:
        self.known.pop(server, None)
