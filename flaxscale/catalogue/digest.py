"""An order-independent digest of titles, by which managers compare their catalogues. No I/O.

The digest is the sum of the titles' hashes, so that an update costs only the changed titles (M. Bellare and
D. Micciancio, "A New Paradigm for Collision-Free Hashing: Incrementality at Reduced Cost", EUROCRYPT 1997). The hash is
not cryptographic: only holders of a key can send messages to managers. It detects damaged or mixed-up data and data of
another store.
"""

import msgspec
import xxhash

MODULUS = 1 << 64


def title_hash(title):
    """The 64-bit hash of one title."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(title))


def total(titles):
    """The digest of all these titles, each given once."""
    return sum(title_hash(t) for t in titles) % MODULUS


def updated(total, titles, changed):
    """The digest after a change. titles: before the change. changed: {name: Title, or None for a dropped one}."""
    for name, title in changed.items():
        if (before := titles.get(name)) is not None:
            total -= title_hash(before)
        if title is not None:
            total += title_hash(title)
    return total % MODULUS
