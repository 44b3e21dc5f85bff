"""Replication of the versioned catalogue: what the service sends to a watcher, and how a follower applies it. No I/O.

A watcher states its epoch and version. It gets the deltas after that version, or a snapshot in parts where deltas are
no longer stored or its version is of another epoch. It acknowledges each applied version, or refuses one with a reason
and keeps the last good one; after a refusal it gets nothing until a later version, as a snapshot. An epoch identifies
one store: versions of another service, or of a store restored from an older copy, have another epoch.
"""

from typing import NamedTuple

from . import digest

PART = 2_000  # titles in one part of a snapshot
MAX_UNACKED = 64  # messages sent to a watcher without an acknowledgement


class SnapshotPart(NamedTuple):
    """A part of the complete catalogue at one version."""

    version: int
    titles: tuple
    first: bool
    last: bool
    floor: int = 0


class Watcher:
    """The service's state of one watcher."""

    def __init__(self, name, role, epoch, version, own_epoch):
        self.name, self.role = name, role
        self.sent_version = version if epoch == own_epoch else None  # version that the messages sent so far lead to
        self.acked, self.refused, self.why = version if epoch == own_epoch else None, None, ""
        self.pending_parts, self.unacked, self.in_use, self.last_received_at = None, 0, {}, None

    def next_message(self, catalogue):
        """The next message to send; None where there is none or too many are unacknowledged."""
        if self.pending_parts is not None:
            return self.next_part()
        if self.unacked >= MAX_UNACKED or (self.refused is not None and catalogue.committed_version <= self.refused):
            return None
        deltas = (
            catalogue.deltas_since(self.sent_version)
            if self.sent_version is not None and self.refused is None
            else None
        )
        if deltas is None:
            self.refused, self.why = None, ""
            titles = (
                list(catalogue.current.titles.values())
                if catalogue.staged == 0
                else list(catalogue.titles_at(catalogue.committed_version).values())
            )
            parts = [titles[n : n + PART] for n in range(0, len(titles), PART)] or [[]]
            self.pending_parts = catalogue.committed_version, parts, 0, catalogue.floor
            return self.next_part()
        if not deltas:
            return None
        self.sent_version = deltas[0].version
        self.unacked += 1
        return deltas[0]

    def next_part(self):
        """The next part of the snapshot that is being sent."""
        version, parts, n, floor = self.pending_parts
        last = n + 1 == len(parts)
        self.pending_parts = None if last else (version, parts, n + 1, floor)
        if last:
            self.sent_version = version
            self.unacked += 1
        return SnapshotPart(version, tuple(parts[n]), n == 0, last, floor)

    def ack(self, version):
        """Records an acknowledged version."""
        self.unacked = max(0, self.unacked - 1)
        if self.acked is None or version > self.acked:
            self.acked = version

    def nack(self, version, why):
        """Records a refused version. The watcher keeps its last good version and needs a snapshot next."""
        self.refused, self.why, self.unacked, self.sent_version = version, why[:500], 0, None


class Follower:
    """The watcher's copy of the catalogue. Messages may come in any order; the copy is always at one whole version.

    apply_delta() and apply_part() return the changed titles when the version moved and None when it did not. They
    raise VersionGap when only a new stream can help, and ValueError from check() when the version is refused; the last
    good version is then kept.
    """

    def __init__(self, check=lambda titles: None):
        self.check, self.epoch, self.version, self.titles, self.incoming_parts = check, None, None, {}, None
        self.floor, self.digest = 0, 0  # floor: lowest version that may be acted on

    def load(self, epoch, version, titles, floor=0):
        """Sets the state, as read from disk."""
        self.epoch, self.version, self.titles, self.floor = epoch, version, titles, floor
        self.digest = digest.total(titles.values())

    def apply_delta(self, epoch, delta):
        """Applies the changes of the next version."""
        if epoch != self.epoch or self.version is None or delta.version > self.version + 1:
            raise VersionGap(f"version {delta.version} of {epoch} on {self.version} of {self.epoch}")
        if delta.version <= self.version:
            return None  # a repeat
        self.check(delta.titles)
        self.digest, self.floor = digest.updated(self.digest, self.titles, delta.titles), max(self.floor, delta.floor)
        for name, title in delta.titles.items():
            if title is None:
                self.titles.pop(name, None)
            else:
                self.titles[name] = title
        self.version = delta.version
        return delta.titles

    def apply_part(self, epoch, message):
        """Takes a part of a snapshot; the snapshot is applied with its last part."""
        if message.first:
            self.incoming_parts = epoch, message.version, {}, [0]
        if self.incoming_parts is None or self.incoming_parts[:2] != (epoch, message.version):
            self.incoming_parts = None
            raise VersionGap(f"a part of version {message.version} without the parts before it")
        self.incoming_parts[2].update((t.name, t) for t in message.titles)
        # Part by part: hashing a large snapshot at once would block the event loop.
        self.incoming_parts[3][0] += digest.total(message.titles)
        if not message.last:
            return None
        (_, version, titles, (total,)), self.incoming_parts = self.incoming_parts, None
        if epoch == self.epoch and self.version is not None and version < self.version:
            return None  # from an earlier stream; the copy is newer
        self.check(titles)
        old, self.titles = self.titles, titles
        self.floor = max(self.floor, message.floor) if epoch == self.epoch else message.floor
        self.epoch, self.version, self.digest = epoch, version, total % digest.MODULUS
        changed = {name: None for name in old.keys() - titles.keys()}
        changed.update((name, t) for name, t in titles.items() if old.get(name) != t)
        return changed


class VersionGap(Exception):
    """Messages between the copy's version and this one are missing."""
