"""Seats that sessions may use before this manager holds them. No I/O; times are tenths of a millisecond.

A manager holds a viewing from its tune-in, or from the grant of its claim, until the viewing ends; the module counts
those. Two kinds of session may use seats beside them, and each is counted until it is known not to:

- A claim in flight: its box may have granted it already. The seat is reserved from before the claim is sent until the
  session is held or the claim is refused or, where the session is claimed only to be ended, until the box reports its
  end.
- Sessions that an earlier life of this manager left playing. They carry the manager's name and use seats, but the new
  life learns of them only from the boxes. Until a listed box has reported its sessions it may have as many as seats
  allow, so nothing new is seated where the box may hold the title. Boxes end sessions that no life has claimed one
  lease after the earlier life lost its stream (Gray and Cheriton, "Leases", SOSP 1989: the holder's span ends before
  the granter's). The earlier life ended before this one began, so a wait of one lease and DRIFT ends after that.

Not covered: sessions at a box that no list names while they play.
"""

from collections import Counter
from typing import NamedTuple

DRIFT = 5_000  # allowance for clock drift and for a late timer of a loaded box, over one lease


class Reserved(NamedTuple):
    """Seats to count as used."""

    seats: dict  # (title, package): how many
    boxes: frozenset  # boxes that may have sessions of an earlier life


class SeatBook:
    """One manager's reserved seats."""

    def __init__(self, started_at, lease):
        """started_at: when this life began. lease: how long a box keeps the sessions of a manager that is gone."""
        self.until = started_at + lease + DRIFT  # after this no box has sessions of an earlier life
        self.claims, self.unreported, self.reported = {}, set(), set()

    def listed(self, boxes, now):
        """Takes the boxes of a list; True where that adds one that may have sessions of an earlier life."""
        new = set(boxes) - self.reported - self.unreported if now < self.until else ()
        self.unreported.update(new)
        return bool(new)

    def box_reported(self, box):
        """A box reported its sessions of an earlier life, and each is claimed, ended or owned by another."""
        self.reported.add(box)
        self.unreported.discard(box)

    def claim(self, key, seat):
        """Reserves a seat for a claim that is about to be sent. False where it is reserved already."""
        if key in self.claims:
            return False
        self.claims[key] = seat
        return True

    def settled(self, key):
        """Releases the seat of a claim: its session is held now, or known not to be. False where none was reserved."""
        return self.claims.pop(key, None) is not None

    def reserved(self, now):
        """The Reserved seats and boxes at this time."""
        return Reserved(dict(Counter(self.claims.values())), frozenset(self.unreported if now < self.until else ()))
