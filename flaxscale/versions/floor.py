"""Floors: the lowest catalogue version under which a resource accepts an action. No I/O.

Within an epoch (a life of the catalogue's store) a floor only rises. Versions of two epochs can't be compared. An
action under an epoch that this resource has left is refused once its present epoch has a floor; one under an unknown
epoch may be newer and is accepted. Without a floor nothing is refused.

The resource checks, since a manager may be stopped between a check of its own and its action: M. Kleppmann, "How to do
distributed locking" (2016), and the sequencers of M. Burrows (OSDI 2006, 2.4).
"""

from typing import NamedTuple

import msgspec

from ..store.shapes import decoded

SHAPE = 1  # number of the stored form
MAX_EARLIER = 16  # left epochs that are remembered


class VersionId(NamedTuple):
    """A version of the catalogue: its epoch and its number there."""

    epoch: str
    version: int


class Kept(msgspec.Struct, array_like=True):
    """The stored form of a FloorBook."""

    shape: int
    epoch: str
    floor: int
    earlier: list[str]


class FloorBook:
    """The floor of one resource. Each method that may change it returns whether it did; then dump() must be stored
    before the resource acts on it."""

    def __init__(self, kept=None):
        """kept: what dump() returned, or None. ValueError where it can't be decoded."""
        found = Kept(SHAPE, "", 0, []) if kept is None else decoded(kept, Kept, SHAPE, "floor")
        self.epoch, self.floor, self.earlier = found.epoch, found.floor, list(found.earlier)

    def dump(self):
        """The bytes to store."""
        return msgspec.msgpack.encode(Kept(SHAPE, self.epoch, self.floor, self.earlier))

    def set_from_source(self, epoch, floor):
        """Takes the floor from the resource's own source. A change of epoch replaces the earlier floor."""
        if epoch == self.epoch:
            return self.raise_to(floor)
        if self.epoch:
            self.earlier = [*(e for e in self.earlier if e not in (self.epoch, epoch)), self.epoch][-MAX_EARLIER:]
        self.epoch, self.floor = epoch, floor
        return True

    def raise_from_peer(self, epoch, floor):
        """Takes the floor from a manager that acts here. It counts in the present epoch, or where there is none yet."""
        if not floor or epoch in self.earlier:
            return False
        if not self.epoch:
            return self.set_from_source(epoch, floor)
        return epoch == self.epoch and self.raise_to(floor)

    def raise_to(self, floor):
        """Raises the floor; False where it is as high already."""
        if floor <= self.floor:
            return False
        self.floor = floor
        return True

    def refuses(self, acting):
        """Whether an action is refused. acting: the VersionId under which it is done; None: not known."""
        if not self.floor:
            return False
        if acting is None:
            return True
        if acting.epoch == self.epoch:
            return acting.version < self.floor
        return acting.epoch in self.earlier


class WatcherVersion(NamedTuple):
    """A manager as the catalogue's service knows it. heard_ago: tenths of a millisecond; 0 while it is connected."""

    name: str
    acked: int | None
    heard_ago: int


def below_floor(floor, watching):
    """Names of managers that a floor would shut out until they catch up."""
    return [w.name for w in watching if w.acked is None or w.acked < floor]


def objection(floor, settled, watching, share):
    """Why the floor may not be raised to this, or "". share: the largest share of managers that it may shut out."""
    if not 0 < floor <= settled:
        return f"there is no version {floor} yet: 1 to {settled} expected"
    under = below_floor(floor, watching)
    if len(under) > share * len(watching):
        return (
            f"it would shut out {len(under)} of {len(watching)} managers ({', '.join(under[:8])}); "
            f"{share:.0%} at most unless forced"
        )
    return ""


def automatic_floor(settled_at, now, behind, watching, share):
    """The floor to set now by rule, or None: the newest version that has been durable for `behind`, where some managers
    have not acknowledged it, but no more than `share` of them.

    settled_at: [(version, time)], rising; times and spans in tenths of a millisecond.
    """
    old = [version for version, at in settled_at if now - at >= behind]
    if not old or not below_floor(old[-1], watching):
        return None
    return None if objection(old[-1], old[-1], watching, share) else old[-1]
