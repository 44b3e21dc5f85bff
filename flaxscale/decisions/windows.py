"""Sums over time in a fixed ring of buckets, so that memory stays constant however long a manager runs."""

from typing import Any


class BucketWindow:
    """Sums of added amounts by buckets of `width`; the last `count` buckets are kept."""

    def __init__(self, width: int, count: int) -> None:
        self.width = width
        self.buckets: list[list[Any] | None] = [None] * count
        self.newest = -1  # number of the newest bucket

    def bucket(self, now: int) -> list[Any]:
        """[number, sum] of the bucket that a time is in."""
        number = now // self.width
        found = self.buckets[number % len(self.buckets)]
        if found is None or found[0] != number:
            found = self.buckets[number % len(self.buckets)] = [number, 0]
            self.newest = max(self.newest, number)
        return found

    def add(self, now: int, amount: float) -> None:
        self.bucket(now)[1] += amount

    def since(self, start: int) -> list[float]:
        """The sums of all buckets that begin at a time or later."""
        first = max(0, -(-start // self.width), self.newest - len(self.buckets) + 1)
        count = len(self.buckets)
        found = ((number, self.buckets[number % count]) for number in range(first, self.newest + 1))
        return [bucket[1] for number, bucket in found if bucket is not None and bucket[0] == number]
