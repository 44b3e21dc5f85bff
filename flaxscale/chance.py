"""The source of random numbers that a seed reproduces: crc32 over seed and counter, as in decisions/chance.py."""

from zlib import crc32


def uniform_from_bytes(data):
    """A number in [0, 1), the same for the same bytes."""
    return crc32(data) * 0x9E3779B1 % 2**32 / 2**32
