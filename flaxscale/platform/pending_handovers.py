"""Hand-overs of sessions at servers that the list has not named yet.

Another manager, or this one before it was killed, may have been told of a server earlier. Such a hand-over waits until
the list names its server, or until it must have done so: then the server is gone, and the session with it.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..jsonl.messages import SetupRequest

if TYPE_CHECKING:
    from .clients import ClientConnection

LIST_DELAY_MAX = 40_000  # tenths of a millisecond; events count as told after 4 s at the latest (PROTOCOL)
HANDOVERS_MAX = 1_024  # that wait at a time; a sender of server names that do not exist must not fill the memory


@dataclass(frozen=True, slots=True)
class PendingHandover:
    """One hand-over. `client`: the connection that it came on."""

    setup: SetupRequest
    server: int
    client: "ClientConnection"
    received_at: int


class PendingHandovers:
    """The hand-overs that wait, oldest first. A repeated one keeps its place."""

    def __init__(self) -> None:
        self.pending: OrderedDict[int, PendingHandover] = OrderedDict()

    def __len__(self) -> int:
        return len(self.pending)

    def add(self, handover: PendingHandover) -> bool:
        """False: too many wait already."""
        if handover.setup.id not in self.pending and len(self.pending) >= HANDOVERS_MAX:
            return False
        self.pending.setdefault(handover.setup.id, handover)
        return True

    def take(self, is_named: Callable[[int], bool]) -> list[PendingHandover]:
        """Removes and returns those whose server the list names now."""
        return self.remove([handover for handover in self.pending.values() if is_named(handover.server)])

    def expire(self, now: int) -> list[PendingHandover]:
        """Removes and returns those whose server the list should have named by now."""
        expired = []
        for handover in self.pending.values():
            if now - handover.received_at <= LIST_DELAY_MAX:
                break
            expired.append(handover)
        return self.remove(expired)

    def remove(self, handovers: list[PendingHandover]) -> list[PendingHandover]:
        for handover in handovers:
            del self.pending[handover.setup.id]
        return handovers
