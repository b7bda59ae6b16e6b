"""Measures over time: fixed buckets of time, used again in a ring."""


class Ring:
    """Sum and count of samples over the last `buckets` x `width_ms`; the oldest bucket is used again."""

    __slots__ = ("width_ms", "sums", "counts", "at")

    def __init__(self, width_ms, buckets):
        self.width_ms = width_ms
        self.sums = [0.0] * buckets
        self.counts = [0] * buckets
        self.at = None

    def _turn(self, now_ms):
        at = int(now_ms // self.width_ms)
        if self.at is None:
            self.at = at
        n = len(self.sums)
        for i in range(max(self.at + 1, at - n + 1), at + 1):
            self.sums[i % n] = 0.0
            self.counts[i % n] = 0
        self.at = max(self.at, at)
        return self.at % n

    def add(self, now_ms, value):
        i = self._turn(now_ms)
        self.sums[i] += value
        self.counts[i] += 1

    def total(self, now_ms):
        self._turn(now_ms)
        return sum(self.sums)

    def count(self, now_ms):
        self._turn(now_ms)
        return sum(self.counts)

    def mean(self, now_ms, otherwise=None):
        n = self.count(now_ms)
        return sum(self.sums) / n if n else otherwise
