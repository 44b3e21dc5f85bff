"""Admission per title: how many sessions of one title and package this manager may hold (rule 5).

A seat is taken from the start of an attempt until its outcome, also if the client leaves meanwhile.
"""

from collections import Counter
from collections.abc import Collection, Mapping


class Seats:
    """By (title, package). taken: our attempts and sessions. claims: sessions that may become ours by a claim."""

    def __init__(self) -> None:
        self.taken: Counter[tuple[int, int]] = Counter()
        self.claims: Mapping[tuple[int, int], int] = {}
        self.unreported_servers: Collection[int] = ()  # that may play sessions from before our restart

    def reserve(self, claims: Mapping[tuple[int, int], int], unreported_servers: Collection[int]) -> None:
        """Sets the seats that claims may take, and the servers that have not reported yet what they play for us."""
        self.claims, self.unreported_servers = claims, unreported_servers

    def take(self, seat: tuple[int, int]) -> None:
        self.taken[seat] += 1

    def free(self, seat: tuple[int, int]) -> None:
        self.taken[seat] -= 1
        if not self.taken[seat]:
            del self.taken[seat]

    def has_room(self, seat: tuple[int, int], limit: int, may_hold_unknown: bool) -> bool:
        """Whether one more is within the limit (0: unlimited). may_hold_unknown: unknown sessions may hold seats."""
        if not limit:
            return True
        return not may_hold_unknown and self.taken[seat] + self.claims.get(seat, 0) < limit
