"""The service's catalogue on its durable log: a change is acknowledged when it is durable, and not before."""

from ..store.log import Log
from .state import Catalogue, Delta, decode_delta, decode_whole, encode_delta, encode_whole, undo

SNAPSHOT_EVERY = 2_000  # changes; a start reads at most so many after its snapshot
DONE = 20_000  # changes that are known by their clients' ids
HISTORY = 20_000  # versions that a watcher may have been away for and still get as deltas


class DurableCatalogue:
    """One writer. stage() any number of changes, then commit(): what it returned from is durable."""

    def __init__(self, files, frame):
        self.log = Log(files)
        found = self.log.found
        version, titles, floor, done = decode_whole(found.snapshot) if found.snapshot is not None else (0, {}, 0, [])
        self.now = Catalogue(frame, version, titles, floor)
        self.history = {}  # version: (Delta, who, why, titles before)
        self.done = {id: (version, changed) for id, version, changed in done}  # by the client's own id
        for _, content in found.records:
            delta, who, why, id = decode_delta(content)
            if delta.version != self.now.version + 1:
                raise ValueError(f"change {delta.version} follows version {self.now.version} in the log")
            self.note(delta, who, why, self.now.titles)
            self.now.take(delta)
            self.did(id, delta)
        self.settled, self.staged, self.floor = self.now.version, 0, self.now.floor

    def note(self, delta, who, why, before):
        """Remembers a version and what its titles were before, for those who were away and for undoing."""
        self.history[delta.version] = delta, who, why, {name: before.get(name) for name in delta.titles}
        if len(self.history) > HISTORY:
            del self.history[next(iter(self.history))]

    def did(self, id, delta):
        """A client that got no answer asks again under the same id: its change is made once."""
        if id:
            self.done[id] = delta.version, len(delta.titles)
            if len(self.done) > DONE:
                del self.done[next(iter(self.done))]

    def stage(self, ops, expect=None, in_use=None, force=False, who="", why="", id=""):
        """Applies a change in memory; the Delta. Nobody may hear of it before commit()."""
        before = {op.name: self.now.titles.get(op.name) for op in ops}
        delta = self.now.apply(ops, expect, in_use, force)
        if not delta.titles:
            return delta
        self.note(delta, who, why, before)
        self.log.append(encode_delta(delta, who, why, id))
        self.did(id, delta)
        self.staged += 1
        return delta

    def stage_floor(self, floor, who="", why="", id=""):
        """Raises the floor, as a version of its own that changes no title; the Delta, or None where it stands higher.

        ValueError: there is no such version yet.
        """
        if not 0 < floor <= self.now.version:
            raise ValueError(f"a floor of 1 to {self.now.version}, the versions that there are, expected: {floor}")
        if floor <= self.now.floor:
            return None
        delta = Delta(self.now.version + 1, {}, floor)
        self.note(delta, who, why, self.now.titles)
        self.now.take(delta)
        self.log.append(encode_delta(delta, who, why, id))
        self.did(id, delta)
        self.staged += 1
        return delta

    def commit(self):
        """Makes all that was staged durable; returns the version that is. OSError: nothing of it may be told."""
        self.log.commit()
        self.settled, self.staged, self.floor = self.now.version, 0, self.now.floor
        if self.log.since_snapshot >= SNAPSHOT_EVERY:
            self.compact()
        return self.settled

    def compact(self):
        """The state whole; the records before it go. OSError: nothing more is taken. Not while something is staged."""
        if not self.staged:
            self.log.snapshot(self.whole())

    def whole(self):
        done = [(id, *what) for id, what in self.done.items()]
        return encode_whole(self.now.version, self.now.titles, self.now.floor, done)

    def resume(self):
        """After a fault: all that was taken is durable when it returns, also what nobody was told of. OSError: not yet.

        Whoever asked for that was told that it is not known; asked again under the same id it is made once.
        """
        self.log.resume(self.whole())
        self.settled, self.staged, self.floor = self.now.version, 0, self.now.floor
        return self.settled

    def since(self, version):
        """Deltas after a version up to the settled one, or None where they are no longer all known."""
        if version > self.settled or (version < self.settled and version + 1 not in self.history):
            return None
        return [self.history[v][0] for v in range(version + 1, self.settled + 1)]

    def titles_at(self, version):
        """The titles of an earlier version, by undoing; None where it is too long ago."""
        if not 0 <= version <= self.now.version:
            return None
        titles = dict(self.now.titles)
        for v in range(self.now.version, version, -1):
            if v not in self.history:
                return None
            for name, title in self.history[v][3].items():
                if title is None:
                    titles.pop(name, None)
                else:
                    titles[name] = title
        return titles

    def back_to(self, version):
        """Operations that make the catalogue what it was at a version; None where that is too long ago."""
        old = self.titles_at(version)
        return None if old is None else undo(old, self.now.titles)
