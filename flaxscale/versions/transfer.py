"""Copies of the catalogue that one manager sends to another: deltas or all titles, with epoch and digest. No I/O.

A copy is accepted only where its content matches its digest, and the digest matches the ones that other managers report
for that version. Without any such report a copy is accepted only where there is no third manager.
"""

from collections import ChainMap
from typing import NamedTuple

import msgspec

from ..catalogue import digest
from ..catalogue.replication import SnapshotPart
from ..catalogue.state import Delta, Title
from ..store.shapes import decoded

SHAPE = 1  # number of the encoded form
MAX_BYTES = 256 << 20  # of one copy


class Refused(ValueError):
    """A copy that is not accepted, and why. bad_copy: its sender is at fault and is not asked again."""

    def __init__(self, why, bad_copy=True):
        super().__init__(why)
        self.bad_copy = bad_copy


class Change(msgspec.Struct, array_like=True):
    """One Delta of the catalogue."""

    version: int
    titles: list[Title]
    dropped: list[str]
    floor: int


class Handed(msgspec.Struct, array_like=True):
    """A copy. whole: all titles at `version`, or None where `changes` lead there from the requested version."""

    shape: int
    giver: str
    epoch: str
    version: int
    floor: int
    digest: int  # of all titles at `version`
    whole: list[Title] | None
    changes: list[Change]


class PeerDigests(NamedTuple):
    """The digests that managers other than the sender report for a version."""

    digests: dict  # {name: digest}
    others: bool  # whether there are managers that could report one


class Head(msgspec.Struct, array_like=True):
    """The first fields of Handed."""

    shape: int
    giver: str
    epoch: str
    version: int


def encode_changes(giver, follower, recent, epoch, since):
    """The bytes for a manager at version `since` of an epoch, or None where it needs a whole copy.

    recent: the last Deltas that the sender applied, rising.
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
            follower.digest,
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
    """Yields the bytes of a whole copy in parts of `slice` titles, all of the version at the first part."""
    f, titles = follower, list(follower.titles.values())
    head = msgspec.msgpack.encode([SHAPE, giver, f.epoch, f.version, f.floor, f.digest])
    # msgpack: an array of eight, with an array of all titles that is assembled from its slices, and no changes.
    yield b"\x98" + head[1:] + b"\xdd" + len(titles).to_bytes(4, "big")
    for n in range(0, len(titles), slice):
        yield b"".join(msgspec.msgpack.encode(t) for t in titles[n : n + slice])
    yield b"\x90"


def version_of(data):
    """The version that a copy states. Refused where it can't be decoded."""
    try:
        return msgspec.msgpack.decode(data, type=Head).version
    except msgspec.MsgspecError as bad:
        raise Refused(f"not a copy of a catalogue: {bad}") from None


def verify(data, follower, wanted, reported):
    """(epoch, messages for the follower) of a copy that is accepted. Refused otherwise.

    wanted: the epoch to catch up with. reported: PeerDigests.
    """
    if len(data) > MAX_BYTES:
        raise Refused(f"{len(data)} bytes, {MAX_BYTES} at most")
    try:
        found = decoded(data, Handed, SHAPE, "copy of a catalogue")
    except ValueError as bad:
        raise Refused(str(bad)) from None
    if found.epoch != wanted:
        raise Refused(f"epoch {found.epoch[:20]!r}, but {wanted!r} is in force", bad_copy=False)
    if found.epoch == follower.epoch and found.version <= (follower.version or 0):
        raise Refused(f"version {found.version} is not newer than the present one", bad_copy=False)
    if any(total != found.digest for total in reported.digests.values()):
        raise Refused(f"version {found.version}: digest differs from what {', '.join(sorted(reported.digests))} report")
    if not reported.digests and reported.others:
        raise Refused(f"version {found.version} is not reported by any other manager yet", bad_copy=False)
    if found.whole is not None:
        if digest.total(found.whole) != found.digest:
            raise Refused(f"titles of version {found.version} do not match its digest")
        return found.epoch, [SnapshotPart(found.version, tuple(found.whole), True, True, found.floor)]
    if found.epoch != follower.epoch:
        raise Refused("changes of another epoch than the present one", bad_copy=False)
    total, at, titles, out = follower.digest, follower.version, ChainMap({}, follower.titles), []
    for change in found.changes:
        if change.version != at + 1:
            raise Refused(f"change {change.version} after version {at}")
        delta = Delta(
            change.version, {**{t.name: t for t in change.titles}, **dict.fromkeys(change.dropped)}, change.floor
        )
        total, at = digest.updated(total, titles, delta.titles), change.version
        titles.update(delta.titles)
        out.append(delta)
    if at != found.version or total != found.digest:
        raise Refused(f"changes lead to version {at}, and do not match the digest of version {found.version}")
    return found.epoch, out
