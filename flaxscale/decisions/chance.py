"""Random choices that a seed repeats."""

from zlib import crc32

SPREAD = 0x9E3779B1  # the golden ratio of 2^32 (Knuth): checksums of seeds that are alike are alike too
WHOLE = 2**32


class Chance:
    """Numbers from 0 to under 1, by the seed of a manager and a counter."""

    def __init__(self) -> None:
        self.draws = 0

    def draw(self, seed: int) -> float:
        self.draws += 1
        return crc32(b"%d:%d" % (seed, self.draws)) * SPREAD % WHOLE / WHOLE
