"""A small state kept whole at each change: the newest record of a log counts, older ones go with a snapshot."""

from .log import Log


class LatestRecord:
    def __init__(self, files, snapshot_every):
        """kept: the newest content, or None where nothing was kept."""
        self.log, self.every = Log(files), snapshot_every
        found = self.log.found
        self.kept = found.records[-1][1] if found.records else found.snapshot

    def resume(self, content):
        """After a fault: this is the state now. OSError: not yet."""
        self.log.resume(content)

    def put(self, content):
        """Durable when it returns. OSError: whether it was is not known, and nothing more is taken."""
        self.log.append(content)
        self.log.commit()
        if self.log.since_snapshot >= self.every:
            self.log.snapshot(content)
