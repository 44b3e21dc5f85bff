"""What may take seats of a manager that it does not hold yet. No I/O; times are tenths of a millisecond.

A manager holds a viewing from its tune-in, or from the grant of its claim, until that is over; the module counts
those. Two kinds may be out there beside them, and each is counted until it is known not to be:

- a claim that is out: its box may have granted it already. Reserved from before it is sent until it is held, refused,
  or, where it was claimed only to be ended, until its box has said that it ended.
- what an earlier life of this manager left playing. It bears the manager's name and holds a seat, but the new life
  learns of it only from its boxes. Until a box that is listed has said what it has, it may have as many as seats
  allow, so that nothing new is seated where it may hold the title. Boxes end what no life has claimed a lease after
  the life before lost its stream (Gray and Cheriton, "Leases", SOSP 1989: the holder's span ends before the
  granter's); that life was over before ours began, so that our own wait of a lease and DRIFT ends after theirs.

What can't be known: what plays at a box that no list names to us while it plays.
"""

from collections import Counter
from typing import NamedTuple

DRIFT = 5_000  # clocks of two machines, and a box's timer under load, over one lease


class Reserved(NamedTuple):
    seats: dict  # (title, package): how many
    boxes: frozenset  # that may have what an earlier life left


class SeatBook:
    def __init__(self, born, lease):
        """born: when this life began; lease: how long a box keeps what its manager left."""
        self.until = born + lease + DRIFT
        self.claims, self.unheard, self.heard = {}, set(), set()

    def listed(self, boxes, now):
        """Boxes that the list names; True where that adds one that may have what an earlier life left."""
        new = set(boxes) - self.heard - self.unheard if now < self.until else ()
        self.unheard.update(new)
        return bool(new)

    def box_reported(self, box):
        """A box told all that it has of an earlier life, and all of it is claimed, ended or another's."""
        self.heard.add(box)
        self.unheard.discard(box)

    def claim(self, key, seat):
        """A claim goes out: from here on it may be granted. False where it is out already."""
        if key in self.claims:
            return False
        self.claims[key] = seat
        return True

    def settled(self, key):
        """It is held now, or known never to be."""
        return self.claims.pop(key, None) is not None

    def reserved(self, now):
        return Reserved(dict(Counter(self.claims.values())), frozenset(self.unheard if now < self.until else ()))
