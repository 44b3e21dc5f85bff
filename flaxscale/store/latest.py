"""A small state that is stored whole at each change: the newest record of a log counts."""

from .log import Log


class LatestRecord:
    """The newest record of a log, which is snapshot after every `snapshot_every` records."""

    def __init__(self, files, snapshot_every):
        """Opens the log. kept: its newest content, or None where there is none."""
        self.log, self.every = Log(files), snapshot_every
        found = self.log.found
        self.kept = found.records[-1][1] if found.records else found.snapshot

    def resume(self, content):
        """Stores this state after a fault. OSError where the disk still fails."""
        self.log.resume(content)

    def put(self, content):
        """Stores a state; it is durable on return. After an OSError that is not known, and nothing more is accepted."""
        self.log.append(content)
        self.log.commit()
        if self.log.since_snapshot >= self.every:
            self.log.snapshot(content)
