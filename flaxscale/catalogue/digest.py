"""A sum over titles by which two managers see whether they hold the same, whatever order it came in. No I/O.

Each title's own hash is added, so that a change costs what it changes (the way of M. Bellare and D. Micciancio, "A New
Paradigm for Collision-Free Hashing: Incrementality at Reduced Cost", EUROCRYPT 1997, with a hash that is not against
forgers: who may talk to managers at all has a key). It guards against what is damaged, mixed up or of another life.
"""

import msgspec
import xxhash

MODULUS = 1 << 64


def title_hash(title):
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(title))


def total(titles):
    """The sum of titles, each counted once."""
    return sum(title_hash(t) for t in titles) % MODULUS


def updated(total, titles, changed):
    """The sum after a change. titles: as they were. changed: {name: Title, or None where it was dropped}."""
    for name, title in changed.items():
        if (before := titles.get(name)) is not None:
            total -= title_hash(before)
        if title is not None:
            total += title_hash(title)
    return total % MODULUS
