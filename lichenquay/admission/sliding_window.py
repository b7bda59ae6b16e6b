"""Sums, counts and means of samples over a sliding time window, kept in buckets."""


class SlidingWindow:
    """Sum and count of samples over the last `buckets` x `width_ms`; the oldest bucket is reused."""

    __slots__ = ("counts", "latest_bucket", "sample_count", "sums", "width_ms")

    def __init__(self, width_ms: float, buckets: int):
        """Creates an empty window."""
        self.width_ms = width_ms
        self.sums = [0.0] * buckets
        self.counts = [0] * buckets
        self.sample_count = 0
        self.latest_bucket: int | None = None  # bucket number counted from time 0; None: no sample yet

    @property
    def is_unused(self) -> bool:
        """Returns whether no sample was ever added."""
        return self.latest_bucket is None

    def _advance(self, now_ms: float) -> int:
        """Clears the buckets that have left the window; returns the index of the current one."""
        bucket = int(now_ms // self.width_ms)
        size = len(self.sums)
        if bucket == self.latest_bucket:
            return bucket % size
        if self.latest_bucket is None:
            self.latest_bucket = bucket
        for reused in range(max(self.latest_bucket + 1, bucket - size + 1), bucket + 1):
            index = reused % size
            self.sample_count -= self.counts[index]
            self.sums[index] = 0.0
            self.counts[index] = 0
        self.latest_bucket = max(self.latest_bucket, bucket)
        return self.latest_bucket % size

    def add(self, now_ms: float, value: float) -> None:
        """Adds one sample."""
        index = self._advance(now_ms)
        self.sums[index] += value
        self.counts[index] += 1
        self.sample_count += 1

    def total(self, now_ms: float) -> float:
        """Returns the sum of the samples in the window."""
        if not self.sample_count:
            return 0.0
        self._advance(now_ms)
        return sum(self.sums)

    def count(self, now_ms: float) -> int:
        """Returns the number of samples in the window."""
        if self.sample_count:
            self._advance(now_ms)
        return self.sample_count

    def mean(self, now_ms: float, default: float | None = None) -> float | None:
        """Returns the mean of the samples in the window, or `default` if there is none."""
        count = self.count(now_ms)
        return sum(self.sums) / count if count else default
