"""Measures over time: fixed buckets of time, used again in a ring."""


class SlidingWindow:
    """Sum and count of samples over the last `buckets` x `width_ms`; the oldest bucket is used again."""

    __slots__ = ("at", "counts", "number", "sums", "width_ms")

    def __init__(self, width_ms, buckets):
        """No sample yet."""
        self.width_ms = width_ms
        self.sums = [0.0] * buckets
        self.counts = [0] * buckets
        self.number = 0  # sum of the counts
        self.at = None  # bucket of time that came last, counted from time 0

    def _turn(self, now_ms):
        at = int(now_ms // self.width_ms)
        n = len(self.sums)
        if at == self.at:
            return at % n
        if self.at is None:
            self.at = at
        for i in range(max(self.at + 1, at - n + 1), at + 1):
            self.number -= self.counts[i % n]
            self.sums[i % n] = 0.0
            self.counts[i % n] = 0
        self.at = max(self.at, at)
        return self.at % n

    def add(self, now_ms, value):
        """One sample."""
        i = self._turn(now_ms)
        self.sums[i] += value
        self.counts[i] += 1
        self.number += 1

    def total(self, now_ms):
        """Sum of the samples that still count."""
        if not self.number:  # no sample left: nothing to turn out
            return 0.0
        self._turn(now_ms)
        return sum(self.sums)

    def count(self, now_ms):
        """Their number."""
        if self.number:
            self._turn(now_ms)
        return self.number

    def mean(self, now_ms, otherwise=None):
        """Their mean; `otherwise` where there is none."""
        n = self.count(now_ms)
        return sum(self.sums) / n if n else otherwise
