"""Recent ends of playing sessions, for hand-overs that are received after them.

Viewers hand over sessions that play already, after a start and at other times. The end of such a session, by its server
or by its viewer on another connection, may be received before its hand-over, and its sender does not repeat it once it
was acknowledged. Without these records the manager would take on a session that is over, for good.
"""

from collections import OrderedDict
from dataclasses import dataclass

KEPT_FOR = 600_000  # tenths of a millisecond; a manager may take 30 s to be ready, and hand-overs follow within seconds
ENDS_MAX = 4_096  # more are dropped, oldest first; a sender of ends of no session must not fill the memory


@dataclass(frozen=True, slots=True)
class SessionEnd:
    """The end of a session. `server`: number of the server where it played; None if its viewer ended it."""

    server: int | None
    cause: int
    received_at: int


class RecentEnds:
    """The last ends of one kind of sender, by session."""

    def __init__(self) -> None:
        self.ends: OrderedDict[int, SessionEnd] = OrderedDict()

    def __len__(self) -> int:
        return len(self.ends)

    def add(self, session: int, end: SessionEnd) -> None:
        self.ends[session] = end
        self.ends.move_to_end(session)
        if len(self.ends) > ENDS_MAX:
            self.ends.popitem(last=False)

    def find(self, session: int, server: int) -> SessionEnd | None:
        """The end of a session that is handed over as playing at this server."""
        end = self.ends.get(session)
        return end if end is not None and end.server in (None, server) else None

    def expire(self, now: int) -> None:
        """Drops the ends that were received over KEPT_FOR ago; the oldest are first."""
        while self.ends:
            session, end = next(iter(self.ends.items()))
            if now - end.received_at <= KEPT_FOR:
                return
            del self.ends[session]
