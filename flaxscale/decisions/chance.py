"""Random numbers that a seed reproduces."""

from zlib import crc32

# 2^32 divided by the golden ratio (Knuth's multiplicative hash), as checksums of similar seeds are similar.
HASH_MULTIPLIER = 0x9E3779B1
HASH_RANGE = 2**32


class SeededRandom:
    """Numbers in [0, 1), from the seed of a manager and a counter."""

    def __init__(self) -> None:
        self.draws = 0

    def draw(self, seed: int) -> float:
        self.draws += 1
        return crc32(b"%d:%d" % (seed, self.draws)) * HASH_MULTIPLIER % HASH_RANGE / HASH_RANGE
