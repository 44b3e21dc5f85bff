"""Replicates pending releases to other managers, so that they outlive the manager that has to carry them out. No I/O.

A release is idempotent by its key, but only the manager that holds the session knows of it. Where that manager dies
before the box has confirmed, the session still bears the dead manager's name, is taken over as if it were playing, and
occupies its seats for nobody. So a release that has been pending for REPLICATE_AFTER is sent to REPLICAS other
managers, chosen by rendezvous hashing of the box, and sent again periodically while it is pending. Whoever takes over
the dead manager's sessions at that box asks these replicas, claims the session like any other, and ends it.

A replicated release names the epoch under which the session was held. A session that has had another holder since is
not ended because of it: the release is older than the session's holder. Replicated releases are not withdrawn, since
the key of an ended session is never used again.

A release that was pending for less than REPLICATE_AFTER is not replicated and is lost with its manager. Rungs are not
replicated either: whoever takes a viewing over learns its rung from the box, and the decision module continues from
there.

Times are tenths of a millisecond of the owner's steady clock.
"""

from collections import OrderedDict

import xxhash

REPLICATE_AFTER = 2_000  # a box that runs answers within some milliseconds
REFRESH_EVERY = 150_000  # a pending release is sent again at this interval, since a replica may have died
RETENTION = 600_000  # a replica keeps a release this long after it last received it
REPLICAS = 2
BATCH_SIZE = 100  # releases in one message, some 4 kB
MAX_RELEASES = 50_000  # kept by one replica; beyond that the oldest are dropped


def replicas_for(box, alive, owner):
    """Names of the managers that keep the pending releases of `owner` at a box."""
    return sorted(
        (name for name in alive if name != owner),
        reverse=True,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"owed\0{name}\0{box}".encode()), name),
    )[:REPLICAS]


class Replicator:
    """The sending side: chooses which pending releases to send to replicas, and when."""

    def __init__(self):
        self.sent_at = {}  # (box, key): when it was last sent

    def due(self, pending, now):
        """{box: [keys]} to send now. pending: {box: {key: pending since}} of all pending releases."""
        pending_since = {(box, key): since for box, releases in pending.items() for key, since in releases.items()}
        self.sent_at = {release: at for release, at in self.sent_at.items() if release in pending_since}
        batches = {}
        for (box, key), since in pending_since.items():
            last = self.sent_at.get((box, key))
            if now - since >= REPLICATE_AFTER if last is None else now - last >= REFRESH_EVERY:
                if len(batches.setdefault(box, [])) < BATCH_SIZE:
                    batches[box].append(key)
                    self.sent_at[box, key] = now
        return batches

    def not_delivered(self, box, keys):
        """Makes releases that no replica accepted due again at once."""
        for key in keys:
            self.sent_at.pop((box, key), None)


class ReplicaStore:
    """The receiving side: pending releases of other managers."""

    def __init__(self):
        self.rows = OrderedDict()  # (owner, box, key): (epoch, expiry time)

    def store(self, owner, box, releases, now):
        """Keeps releases of another manager. releases: {key: epoch}."""
        for key, epoch in releases.items():
            self.rows.pop((owner, box, key), None)
            self.rows[owner, box, key] = epoch, now + RETENTION
        while self.rows and (len(self.rows) > MAX_RELEASES or next(iter(self.rows.values()))[1] <= now):
            self.rows.popitem(last=False)

    def pending(self, owner, box, now):
        """{key: epoch} of the releases of a manager that were pending at a box."""
        return {
            key: epoch
            for (by, at, key), (epoch, until) in self.rows.items()
            if (by, at) == (owner, box) and until > now
        }
