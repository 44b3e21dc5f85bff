"""Ends that are owed to boxes which do not answer, known to a few others, so that they outlive who owes them. No I/O.

An end is idempotent by name, but only its manager knows of it: where that dies before the box has said yes, the session
bears a dead manager's name, is taken over as one that plays, and keeps its places for nobody. So an end that was owed
for REPLICATE_AFTER is told to REPLICAS others by rendezvous hashing of the box, again and again while it stands.
Whoever takes over what the dead one had at that box asks them, claims the session like any other, and ends it.

A debt names the epoch under which the session was held. One that has had another holder since is another matter: it is
not ended for a word that is older than its holder. Debts are not taken back: a name that was ended is never used again.

What is owed for less than REPLICATE_AFTER is told to nobody and dies with its manager. Rungs are not lent: who takes a
viewing over hears its rung from the box, and its module decides from there.

Times are tenths of a millisecond of the owner's steady clock.
"""

from collections import OrderedDict

import xxhash

REPLICATE_AFTER = 2_000  # a box that runs answers within some milliseconds
REFRESH_EVERY = 150_000  # told anew so often while it stands: a keeper may have died
RETENTION = 600_000  # a keeper knows it so long after it was told last
REPLICAS = 2
BATCH_SIZE = 100  # in one message, some 4 kB
MAX_RELEASES = 50_000  # that one keeper knows; past it the oldest go


def replicas_for(box, alive, me):
    """Who is told of what `me` owes to a box."""
    return sorted(
        (name for name in alive if name != me),
        reverse=True,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"owed\0{name}\0{box}".encode()), name),
    )[:REPLICAS]


class Replicator:
    """The side of who owes."""

    def __init__(self):
        self.sent_at = {}  # (box, key): when it was told last

    def due(self, owed, now):
        """{box: [keys]} to tell now. owed: {box: {key: since when}}, all that is owed."""
        standing = {(box, key): since for box, ends in owed.items() for key, since in ends.items()}
        self.sent_at = {pair: at for pair, at in self.sent_at.items() if pair in standing}
        out = {}
        for (box, key), since in standing.items():
            last = self.sent_at.get((box, key))
            if now - since >= REPLICATE_AFTER if last is None else now - last >= REFRESH_EVERY:
                if len(out.setdefault(box, [])) < BATCH_SIZE:
                    out[box].append(key)
                    self.sent_at[box, key] = now
        return out

    def not_delivered(self, box, keys):
        """Nobody took it: it is told again at the next turn."""
        for key in keys:
            self.sent_at.pop((box, key), None)


class ReplicaStore:
    """A keeper's: what others owe."""

    def __init__(self):
        self.rows = OrderedDict()  # (who owes, box, key): (epoch, until)

    def store(self, by, box, ends, now):
        """ends: {key: epoch}."""
        for key, epoch in ends.items():
            self.rows.pop((by, box, key), None)
            self.rows[by, box, key] = epoch, now + RETENTION
        while self.rows and (len(self.rows) > MAX_RELEASES or next(iter(self.rows.values()))[1] <= now):
            self.rows.popitem(last=False)

    def pending(self, by, box, now):
        """{key: epoch} that a manager owed to a box."""
        return {
            key: epoch
            for (owner, at, key), (epoch, until) in self.rows.items()
            if (owner, at) == (by, box) and until > now
        }
