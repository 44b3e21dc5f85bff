"""A disk in memory that fails on purpose: for tests of whatever stands on a store.

It remembers what was written and what was synced. crash_at counts steps: each byte written and each other call is
one. When the count is reached the disk raises Crash and takes nothing more; survivors() then gives the disks that
a machine may find after such a crash: all that was written, only what was synced, and what was synced with the rest
gone to zeros.
"""

import errno


class Crash(Exception):
    """The machine has stopped here."""


class FaultyFiles:
    def __init__(self, written=None, crash_at=None, room=None):
        """room: bytes until the disk is full (ENOSPC, with as much written as fitted)."""
        self.written = {name: bytearray(data) for name, data in (written or {}).items()}
        self.synced = {name: bytes(data) for name, data in self.written.items()}
        self.names_synced = dict.fromkeys(self.written)
        self.crash_at, self.steps, self.room, self.failing_sync = crash_at, 0, room, False
        self.dead, self.lost = False, {}

    def step(self, count=1):
        """How many of these steps are still taken; raises Crash when none is left and some were wanted."""
        if self.dead:
            raise Crash
        if self.crash_at is None or self.steps + count <= self.crash_at:
            self.steps += count
            return count
        taken, self.steps = self.crash_at - self.steps, self.crash_at
        return taken

    def one(self):
        if self.step() < 1:
            self.dead = True
            raise Crash

    def names(self):
        return sorted(self.written)

    def read(self, name):
        return bytes(self.written[name])

    def append(self, name, data):
        if self.room is not None and len(data) > self.room:
            data, full = data[: self.room], True
        else:
            full = False
        taken = self.step(max(1, len(data)))
        self.written.setdefault(name, bytearray()).extend(data[:taken])
        if taken < len(data):
            self.dead = True
            raise Crash
        if self.room is not None:
            self.room -= len(data)
        if full:
            raise OSError(errno.ENOSPC, "no space left on device")

    def sync(self, name):
        self.one()
        begun = len(self.synced.get(name, b""))
        if self.failing_sync:
            # As Linux has it: the pages count as clean now, so that a later sync says yes and writes none of them.
            self.lost.setdefault(name, []).append((begun, len(self.written[name])))
            raise OSError(errno.EIO, "input/output error")
        arrived = bytearray(self.written[name])
        for first, last in self.lost.get(name, ()):
            arrived[first:last] = bytes(last - first)
        self.synced[name] = bytes(arrived)
        self.names_synced[name] = None

    def close(self, name):
        pass

    def truncate(self, name, size):
        self.one()
        del self.written[name][size:]
        self.synced[name] = bytes(self.written[name])

    def rename(self, old, new):
        self.one()
        self.lost[new] = self.lost.pop(old, [])
        self.written[new] = self.written.pop(old)
        self.synced[new] = self.synced.pop(old, b"")
        self.names_synced.pop(old, None)
        self.names_synced[new] = None

    def remove(self, name):
        self.one()
        del self.written[name]
        self.synced.pop(name, None)
        self.names_synced.pop(name, None)

    def sync_folder(self):
        self.one()
        self.names_synced.update(dict.fromkeys(self.written))

    def survivors(self):
        """Disks that may be found after the crash."""

        def base(name):
            return self.synced.get(name, b"")

        yield {name: bytes(data) for name, data in self.written.items()}
        yield {name: base(name) for name in self.written if name in self.names_synced or base(name)}
        yield {
            name: base(name) + bytes(len(data) - len(base(name)))
            for name, data in self.written.items()
            if len(data) >= len(base(name))
        }
        for part in (1, 7, 19):
            yield {name: bytes(data[: max(len(base(name)), len(data) - part)]) for name, data in self.written.items()}
