"""The service's catalogue and its durable log: a change is acknowledged only once it is durable."""

from ..store.log import Log
from .state import Catalogue, Delta, decode_delta, decode_snapshot, encode_delta, encode_snapshot, undo

SNAPSHOT_EVERY = 2_000  # changes; bounds the log records that are read at start
KEPT_IDS = 20_000  # client ids of changes that are remembered
KEPT_VERSIONS = 20_000  # versions that are still available as deltas


class DurableCatalogue:
    """A catalogue with one writer: stage() any number of changes, then commit() makes them durable together."""

    def __init__(self, files, limits):
        self.log = Log(files)
        found = self.log.found
        version, titles, floor, done = decode_snapshot(found.snapshot) if found.snapshot is not None else (0, {}, 0, [])
        self.current = Catalogue(limits, version, titles, floor)
        self.history = {}  # version: (Delta, who, why, the changed titles before it)
        # client's id of a change: (version, titles changed)
        self.changes_by_id = {id: (version, changed) for id, version, changed in done}
        for _, content in found.records:
            delta, who, why, id = decode_delta(content)
            if delta.version != self.current.version + 1:
                raise ValueError(f"change {delta.version} follows version {self.current.version} in the log")
            self.remember_version(delta, who, why, self.current.titles)
            self.current.apply_delta(delta)
            self.remember_id(id, delta)
        self.committed_version, self.staged, self.floor = self.current.version, 0, self.current.floor

    def remember_version(self, delta, who, why, before):
        """Stores a version and the titles it replaced, for watchers that reconnect and for rollback."""
        self.history[delta.version] = delta, who, why, {name: before.get(name) for name in delta.titles}
        if len(self.history) > KEPT_VERSIONS:
            del self.history[next(iter(self.history))]

    def remember_id(self, id, delta):
        """Stores a client's change id, so that a repeated request does not make the change twice."""
        if id:
            self.changes_by_id[id] = delta.version, len(delta.titles)
            if len(self.changes_by_id) > KEPT_IDS:
                del self.changes_by_id[next(iter(self.changes_by_id))]

    def stage(self, ops, expect=None, in_use=None, force=False, who="", why="", id=""):
        """Applies a change in memory and returns its Delta, which must not be published before commit()."""
        before = {op.name: self.current.titles.get(op.name) for op in ops}
        delta = self.current.apply(ops, expect, in_use, force)
        if not delta.titles:
            return delta
        self.remember_version(delta, who, why, before)
        self.log.append(encode_delta(delta, who, why, id))
        self.remember_id(id, delta)
        self.staged += 1
        return delta

    def stage_floor(self, floor, who="", why="", id=""):
        """Raises the floor in a version that changes no title. Returns its Delta, or None if the floor is not lower.

        ValueError: the version does not exist yet.
        """
        if not 0 < floor <= self.current.version:
            raise ValueError(f"a floor of 1 to {self.current.version}, an existing version, expected: {floor}")
        if floor <= self.current.floor:
            return None
        delta = Delta(self.current.version + 1, {}, floor)
        self.remember_version(delta, who, why, self.current.titles)
        self.current.apply_delta(delta)
        self.log.append(encode_delta(delta, who, why, id))
        self.remember_id(id, delta)
        self.staged += 1
        return delta

    def commit(self):
        """Makes all staged changes durable and returns the version. OSError: none of them may be published."""
        self.log.commit()
        self.committed_version, self.staged, self.floor = self.current.version, 0, self.current.floor
        if self.log.since_snapshot >= SNAPSHOT_EVERY:
            self.compact()
        return self.committed_version

    def compact(self):
        """Replaces the log by a snapshot, unless changes are staged. OSError: the log takes no more records."""
        if not self.staged:
            self.log.snapshot(self.encoded_state())

    def encoded_state(self):
        """The complete state as bytes, for a snapshot."""
        done = [(id, *change) for id, change in self.changes_by_id.items()]
        return encode_snapshot(self.current.version, self.current.titles, self.current.floor, done)

    def resume(self):
        """Rewrites the store after a write error. All applied changes are then durable, unpublished ones included.

        Clients of the unpublished changes were answered that the outcome is unknown; a repeated request with the same
        id does not make the change twice. OSError: the store still fails.
        """
        self.log.resume(self.encoded_state())
        self.committed_version, self.staged, self.floor = self.current.version, 0, self.current.floor
        return self.committed_version

    def deltas_since(self, version):
        """Deltas after a version up to the committed one; None where some are no longer stored."""
        if version > self.committed_version or (version < self.committed_version and version + 1 not in self.history):
            return None
        return [self.history[v][0] for v in range(version + 1, self.committed_version + 1)]

    def titles_at(self, version):
        """The titles at an earlier version, by undoing later ones; None where some are no longer stored."""
        if not 0 <= version <= self.current.version:
            return None
        titles = dict(self.current.titles)
        for v in range(self.current.version, version, -1):
            if v not in self.history:
                return None
            for name, title in self.history[v][3].items():
                if title is None:
                    titles.pop(name, None)
                else:
                    titles[name] = title
        return titles

    def rollback_ops(self, version):
        """Operations that restore the titles of a version; None where it is no longer available."""
        earlier = self.titles_at(version)
        return None if earlier is None else undo(earlier, self.current.titles)
