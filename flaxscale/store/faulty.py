"""A disk in memory that fails on purpose, for tests of code that uses a store.

It keeps what was written and what was synced. crash_at counts steps: each written byte and each other call is one step.
When the count is reached the disk raises Crash and accepts nothing more. survivors() then yields the contents that a
machine may find after such a crash: all that was written, only what was synced, what was synced with the rest as zeros,
and writes that end early.
"""

import errno


class Crash(Exception):
    """The machine crashed at this step."""


class FaultyFiles:
    """Stands in for files.Files."""

    def __init__(self, written=None, crash_at=None, room=None):
        """room: bytes until the disk is full; then as much as fits is written, and ENOSPC raised."""
        self.written = {name: bytearray(data) for name, data in (written or {}).items()}
        self.synced = {name: bytes(data) for name, data in self.written.items()}
        self.names_synced = dict.fromkeys(self.written)
        self.crash_at, self.steps, self.room, self.failing_sync = crash_at, 0, room, False
        self.crashed, self.lost = False, {}  # lost: {name: [(first, last)]}, ranges that a failed sync lost

    def step(self, count=1):
        """How many of these steps are done before the crash. Crash after it."""
        if self.crashed:
            raise Crash
        if self.crash_at is None or self.steps + count <= self.crash_at:
            self.steps += count
            return count
        taken, self.steps = self.crash_at - self.steps, self.crash_at
        return taken

    def single_step(self):
        """One step that is not a write."""
        if self.step() < 1:
            self.crashed = True
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
            self.crashed = True
            raise Crash
        if self.room is not None:
            self.room -= len(data)
        if full:
            raise OSError(errno.ENOSPC, "no space left on device")

    def sync(self, name):
        self.single_step()
        begun = len(self.synced.get(name, b""))
        if self.failing_sync:
            # As on Linux: the pages count as clean now, so that a later sync succeeds and writes none of them.
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
        self.single_step()
        del self.written[name][size:]
        self.synced[name] = bytes(self.written[name])

    def rename(self, old, new):
        self.single_step()
        self.lost[new] = self.lost.pop(old, [])
        self.written[new] = self.written.pop(old)
        self.synced[new] = self.synced.pop(old, b"")
        self.names_synced.pop(old, None)
        self.names_synced[new] = None

    def remove(self, name):
        self.single_step()
        del self.written[name]
        self.synced.pop(name, None)
        self.names_synced.pop(name, None)

    def sync_folder(self):
        self.single_step()
        self.names_synced.update(dict.fromkeys(self.written))

    def survivors(self):
        """Yields {name: bytes} of each disk that may be found after the crash."""

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
