"""Floors: the lowest version of the catalogue that may be acted on, as whoever is acted on holds it. No I/O.

A floor is only ever raised within an epoch (a life of the catalogue's store). Versions of two epochs can't be
compared: what comes under an epoch that this holder has itself left behind is older than any floor of the one it is
in now; what comes under one that it never heard of may be newer, and passes. While no floor stands nothing is refused.

The check stands where the act is done, since a manager may be stopped between its own check and its act: M. Kleppmann,
"How to do distributed locking" (2016), with M. Burrows' sequencers (OSDI 2006, 2.4) before it.
"""

from typing import NamedTuple

import msgspec

from ..store.shapes import decoded

SHAPE = 1
EARLIER = 16  # epochs left behind that are remembered


class VersionId(NamedTuple):
    """A version of a source: its epoch and its number there."""

    epoch: str
    version: int


class Kept(msgspec.Struct, array_like=True):
    shape: int
    epoch: str
    floor: int
    earlier: list[str]


class FloorBook:
    """One holder's. Each method that may change it says whether it did: then it is to be made durable first."""

    def __init__(self, kept=None):
        """kept: what dump() gave, or None. ValueError where it is neither."""
        found = Kept(SHAPE, "", 0, []) if kept is None else decoded(kept, Kept, SHAPE, "floor")
        self.epoch, self.floor, self.earlier = found.epoch, found.floor, list(found.earlier)

    def dump(self):
        return msgspec.msgpack.encode(Kept(SHAPE, self.epoch, self.floor, self.earlier))

    def set_from_source(self, epoch, floor):
        """The holder's own source says so: in another epoch than before, the earlier floor is no longer one."""
        if epoch == self.epoch:
            return self.raised(floor)
        if self.epoch:
            self.earlier = [*(e for e in self.earlier if e not in (self.epoch, epoch)), self.epoch][-EARLIER:]
        self.epoch, self.floor = epoch, floor
        return True

    def raise_from_peer(self, epoch, floor):
        """Somebody who acts says so. It counts within the epoch that we are in, and where we are in none yet."""
        if not floor or epoch in self.earlier:
            return False
        if not self.epoch:
            return self.set_from_source(epoch, floor)
        return epoch == self.epoch and self.raised(floor)

    def raised(self, floor):
        if floor <= self.floor:
            return False
        self.floor = floor
        return True

    def refuses(self, acting):
        """Whether what is done under a version is under the floor. acting: VersionId; None: not known."""
        if not self.floor:
            return False
        if acting is None:
            return True
        if acting.epoch == self.epoch:
            return acting.version < self.floor
        return acting.epoch in self.earlier


class WatcherVersion(NamedTuple):
    """A manager as the source of versions knows it. heard_ago: tenths of a millisecond; 0 while it is connected."""

    name: str
    acked: int | None
    heard_ago: int


def below_floor(floor, watching):
    """Names of those that a floor would shut out until they are up."""
    return [w.name for w in watching if w.acked is None or w.acked < floor]


def objection(floor, settled, watching, share):
    """Why a floor may not be raised so, or "". share: of the living, that it may shut out at most."""
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
    """The floor that the stated rule raises now, or None: the newest version that has been settled for `behind`, where
    some manager has not taken it and few enough have not.

    settled_at: [(version, time)], rising; times and spans in tenths of a millisecond.
    """
    old = [version for version, at in settled_at if now - at >= behind]
    if not old or not below_floor(old[-1], watching):
        return None
    return None if objection(old[-1], old[-1], watching, share) else old[-1]
