"""The one way to draw: crc32 over seed and counter, spread by a multiplier, as the module draws too."""

from zlib import crc32


def drawn(data):
    """0 up to 1, the same for the same bytes."""
    return crc32(data) * 0x9E3779B1 % 2**32 / 2**32
