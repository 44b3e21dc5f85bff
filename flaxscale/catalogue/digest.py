"""A sum over titles by which two managers see whether they hold the same, whatever order it came in. No I/O.

Each title's own hash is added, so that a change costs what it changes (the way of M. Bellare and D. Micciancio, "A New
Paradigm for Collision-Free Hashing: Incrementality at Reduced Cost", EUROCRYPT 1997, with a hash that is not against
forgers: who may talk to managers at all has a key). It guards against what is damaged, mixed up or of another life.
"""

import msgspec
import xxhash

SPACE = 1 << 64


def one(title):
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(title))


def of(titles):
    """The sum of titles, each counted once."""
    return sum(one(t) for t in titles) % SPACE


def moved(total, titles, changed):
    """The sum after a change. titles: as they were. changed: {name: Title, or None where it was dropped}."""
    for name, title in changed.items():
        if (before := titles.get(name)) is not None:
            total -= one(before)
        if title is not None:
            total += one(title)
    return total % SPACE
