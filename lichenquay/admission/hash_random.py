"""Pseudo-random numbers from a seed and a counter."""

from zlib import crc32

_CRC_VALUES = 2**32


class HashRandom:
    """A sequence of numbers that depends only on the seed and on how many were drawn before."""

    __slots__ = ("drawn_count", "seed")

    def __init__(self, seed: int):
        """Starts at the first number of the seed's sequence."""
        self.seed = seed
        self.drawn_count = 0

    def draw(self) -> float:
        """Returns the next number, at least 0 and below 1."""
        self.drawn_count += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn_count)) / _CRC_VALUES
