"""A manager's copy of the catalogue as another hands it over: deltas or the whole, under its epoch and its digest.

What comes is believed only where it amounts to what it says, and to what others than its giver tell of that version
by gossip; who can't be compared with anybody is believed on its own word only where there is no third manager.
No I/O.
"""

from collections import ChainMap
from typing import NamedTuple

import msgspec

from ..catalogue import digest
from ..catalogue.spread import Whole
from ..catalogue.state import Delta, Title
from ..store.shapes import decoded

SHAPE = 1
MOST = 256 << 20  # bytes of one that are taken at all


class Refused(ValueError):
    """Not taken on, by name of what is wrong. bad_copy: its giver is not asked again."""

    def __init__(self, why, bad_copy=True):
        super().__init__(why)
        self.bad_copy = bad_copy


class Change(msgspec.Struct, array_like=True):
    version: int
    titles: list[Title]
    dropped: list[str]
    floor: int


class Handed(msgspec.Struct, array_like=True):
    """whole: all titles at `version`; else changes are those after what was asked from."""

    shape: int
    giver: str
    epoch: str
    version: int
    floor: int
    digest: int  # of all titles at `version`
    whole: list[Title] | None
    changes: list[Change]


class PeerDigests(NamedTuple):
    """What others than its giver say that a version amounts to."""

    digests: dict  # {name: digest}
    others: bool  # whether there are others who could say so


class Head(msgspec.Struct, array_like=True):
    """As Handed begins."""

    shape: int
    giver: str
    epoch: str
    version: int


def encode_changes(giver, follower, recent, epoch, since):
    """The bytes for one who holds version `since` of an epoch, or None where only the whole can help.

    recent: the last Deltas that the giver took, rising.
    """
    if epoch != follower.epoch or not 0 <= since <= (follower.version or 0):
        return None
    deltas = [d for d in recent if d.version > since]
    if [d.version for d in deltas] != list(range(since + 1, follower.version + 1)):
        return None
    return msgspec.msgpack.encode(
        Handed(
            SHAPE,
            giver,
            follower.epoch,
            follower.version,
            follower.floor,
            follower.sum,
            None,
            [
                Change(
                    d.version,
                    [t for t in d.titles.values() if t is not None],
                    [n for n, t in d.titles.items() if t is None],
                    d.floor,
                )
                for d in deltas
            ],
        )
    )


def encode_whole(giver, follower, slice):
    """The bytes of a whole copy, in parts of so many titles, as of the first of them."""
    f, titles = follower, list(follower.titles.values())
    head = msgspec.msgpack.encode([SHAPE, giver, f.epoch, f.version, f.floor, f.sum])
    # An array of eight with an array of so many titles in it, put together from its slices, and no changes.
    yield b"\x98" + head[1:] + b"\xdd" + len(titles).to_bytes(4, "big")
    for n in range(0, len(titles), slice):
        yield b"".join(msgspec.msgpack.encode(t) for t in titles[n : n + slice])
    yield b"\x90"


def version_of(data):
    """The version that a copy says it is. Refused where it says none."""
    try:
        return msgspec.msgpack.decode(data, type=Head).version
    except msgspec.MsgspecError as bad:
        raise Refused(f"no copy of a catalogue: {bad}") from None


def verify(data, follower, wanted, told):
    """(epoch, messages for the follower) of what a giver handed over. Refused otherwise.

    wanted: the epoch that is to be brought up to. told: PeerDigests.
    """
    if len(data) > MOST:
        raise Refused(f"{len(data)} bytes, {MOST} at most")
    try:
        found = decoded(data, Handed, SHAPE, "copy of a catalogue")
    except ValueError as bad:
        raise Refused(str(bad)) from None
    if found.epoch != wanted:
        raise Refused(f"epoch {found.epoch[:20]!r} where {wanted!r} is in force", bad_copy=False)
    if found.epoch == follower.epoch and found.version <= (follower.version or 0):
        raise Refused(f"version {found.version}, no newer than ours", bad_copy=False)
    if any(total != found.digest for total in told.digests.values()):
        raise Refused(f"version {found.version} with a digest that {', '.join(sorted(told.digests))} tell otherwise")
    if not told.digests and told.others:
        raise Refused(f"version {found.version}, which nobody else tells yet", bad_copy=False)
    if found.whole is not None:
        if digest.of(found.whole) != found.digest:
            raise Refused(f"titles of version {found.version} that do not amount to its digest")
        return found.epoch, [Whole(found.version, tuple(found.whole), True, True, found.floor)]
    if found.epoch != follower.epoch:
        raise Refused("changes of an epoch that we don't hold", bad_copy=False)
    total, at, titles, out = follower.sum, follower.version, ChainMap({}, follower.titles), []
    for change in found.changes:
        if change.version != at + 1:
            raise Refused(f"change {change.version} after version {at}")
        delta = Delta(
            change.version, {**{t.name: t for t in change.titles}, **dict.fromkeys(change.dropped)}, change.floor
        )
        total, at = digest.moved(total, titles, delta.titles), change.version
        titles.update(delta.titles)
        out.append(delta)
    if at != found.version or total != found.digest:
        raise Refused(f"changes that amount to version {at} and not to the digest of {found.version}")
    return found.epoch, out
