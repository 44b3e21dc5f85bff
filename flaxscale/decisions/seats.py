"""Admission per title: how many sessions of one title and class this manager may hold (rule 5).

A seat is taken from an attempt until its outcome, also when the client left meanwhile.
"""

from collections import Counter
from collections.abc import Collection, Mapping


class Seats:
    """By (title, class). `taken` counts attempts and sessions of ours; claims are those that may yet become ours."""

    def __init__(self) -> None:
        self.taken: Counter[tuple[int, int]] = Counter()
        self.claims: Mapping[tuple[int, int], int] = {}
        self.unheard: Collection[int] = ()  # servers that may play what an earlier life of ours left, unknown to us

    def reserve(self, claims: Mapping[tuple[int, int], int], unheard: Collection[int]) -> None:
        """What claims may take, and which servers have not told yet what they play for us; until told anew."""
        self.claims, self.unheard = claims, unheard

    def take(self, seat: tuple[int, int]) -> None:
        self.taken[seat] += 1

    def free(self, seat: tuple[int, int]) -> None:
        self.taken[seat] -= 1
        if not self.taken[seat]:
            del self.taken[seat]

    def has_room(self, seat: tuple[int, int], most: int, hidden: bool) -> bool:
        """Whether one more is within `most` (0: any number). hidden: others may be held that we don't know of."""
        if not most:
            return True
        return not hidden and self.taken[seat] + self.claims.get(seat, 0) < most
