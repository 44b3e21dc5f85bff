"""One way to spread a versioned state: what a service owes each watcher, and what a watcher takes. No I/O.

A watcher says what it holds; it gets deltas from there, or the whole in parts where they are no longer known or it
holds what this service never had. It acknowledges each version it took, or refuses one with its reason and keeps the
last good one; after a refusal it gets nothing more until a later version, as a whole, may mend it. Epochs tell two
services' (or two lives' of a restored one) versions apart.
"""

from typing import NamedTuple

from . import digest

PART = 2_000  # titles in one part of a whole
AHEAD = 64  # messages that a watcher may be behind with its acknowledgements


class SnapshotPart(NamedTuple):
    version: int
    titles: tuple
    first: bool
    last: bool
    floor: int = 0


class Watcher:
    """The service's side of one watcher. next() gives the next message to send, or None."""

    def __init__(self, name, role, epoch, version, ours):
        self.name, self.role = name, role
        self.sent = version if epoch == ours else None  # the version that all we sent amounts to
        self.acked, self.refused, self.why = version if epoch == ours else None, None, ""
        self.parts, self.unacked, self.in_use, self.heard_at = None, 0, {}, None

    def next_message(self, keeper):
        """What to send now. None: nothing, or it has enough in its hands."""
        if self.parts is not None:
            return self.next_part()
        if self.unacked >= AHEAD or (self.refused is not None and keeper.settled <= self.refused):
            return None
        deltas = keeper.since(self.sent) if self.sent is not None and self.refused is None else None
        if deltas is None:
            self.refused, self.why = None, ""
            titles = (
                list(keeper.now.titles.values())
                if keeper.staged == 0
                else list(keeper.titles_at(keeper.settled).values())
            )
            parts = [titles[n : n + PART] for n in range(0, len(titles), PART)] or [[]]
            self.parts = keeper.settled, parts, 0, keeper.floor
            return self.next_part()
        if not deltas:
            return None
        self.sent = deltas[0].version
        self.unacked += 1
        return deltas[0]

    def next_part(self):
        version, parts, n, floor = self.parts
        last = n + 1 == len(parts)
        self.parts = None if last else (version, parts, n + 1, floor)
        if last:
            self.sent = version
            self.unacked += 1
        return SnapshotPart(version, tuple(parts[n]), n == 0, last, floor)

    def ack(self, version):
        self.unacked = max(0, self.unacked - 1)
        if self.acked is None or version > self.acked:
            self.acked = version

    def nack(self, version, why):
        """It keeps its last good one. What it was sent since does not count."""
        self.refused, self.why, self.unacked, self.sent = version, why[:500], 0, None


class Follower:
    """The watcher's own side: takes messages in any order and from any service, and is at one version always.

    apply_delta() and apply_part() return the changed titles when the version moved and None when it did not. They
    raise VersionGap when only a new stream can help, and ValueError from check() when the version is refused; the last
    good version is then kept.
    """

    def __init__(self, check=lambda titles: None):
        self.check, self.epoch, self.version, self.titles, self.parts = check, None, None, {}, None
        self.floor, self.digest = 0, 0  # the lowest version that may be acted on; of all titles, to compare by

    def load(self, epoch, version, titles, floor=0):
        self.epoch, self.version, self.titles, self.floor = epoch, version, titles, floor
        self.digest = digest.total(titles.values())

    def apply_delta(self, epoch, delta):
        if epoch != self.epoch or self.version is None or delta.version > self.version + 1:
            raise VersionGap(f"version {delta.version} of {epoch} on {self.version} of {self.epoch}")
        if delta.version <= self.version:
            return None  # told again
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
        """A part of a whole; it counts when the last part is there."""
        if message.first:
            self.parts = epoch, message.version, {}, [0]
        if self.parts is None or self.parts[:2] != (epoch, message.version):
            self.parts = None
            raise VersionGap(f"a part of version {message.version} without its beginning")
        self.parts[2].update((t.name, t) for t in message.titles)
        self.parts[3][0] += digest.total(message.titles)  # by part, so that a large one holds up nothing
        if not message.last:
            return None
        (_, version, titles, (total,)), self.parts = self.parts, None
        if epoch == self.epoch and self.version is not None and version < self.version:
            return None  # an old stream's; we are ahead of it
        self.check(titles)
        old, self.titles = self.titles, titles
        self.floor = max(self.floor, message.floor) if epoch == self.epoch else message.floor
        self.epoch, self.version, self.digest = epoch, version, total % digest.MODULUS
        changed = {name: None for name in old.keys() - titles.keys()}
        changed.update((name, t) for name, t in titles.items() if old.get(name) != t)
        return changed


class VersionGap(Exception):
    """Something between is missing."""
