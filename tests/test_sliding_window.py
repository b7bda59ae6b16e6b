"""Compares a sliding window with a list of all its samples."""

import random

import pytest

from lichenquay.admission.sliding_window import SlidingWindow

WIDTH_MS = 100.0
BUCKETS = 4


class ReferenceWindow:
    """A sliding window that keeps each sample; samples of the last four buckets count."""

    def __init__(self):
        """Starts with no sample."""
        self.samples = []

    def add(self, now_ms, value):
        """Adds one sample."""
        self.samples.append((now_ms // WIDTH_MS, value))

    def values(self, now_ms):
        """Returns the samples that still count."""
        return [value for bucket, value in self.samples if bucket > now_ms // WIDTH_MS - BUCKETS]


@pytest.mark.parametrize("seed", range(20))
def test_a_window_agrees_with_a_list_of_all_samples(seed):
    """A count that differs from its buckets would falsify error shares and slowdowns."""
    rng = random.Random(seed)
    window = SlidingWindow(WIDTH_MS, BUCKETS)
    reference = ReferenceWindow()
    now_ms = rng.uniform(0, 1e6)
    for _ in range(300):
        now_ms += rng.choice((0.0, 1.0, 30.0, 150.0, 390.0, 1000.0)) * rng.random()
        if rng.random() < 0.5:
            value = rng.randrange(-3, 4)
            window.add(now_ms, value)
            reference.add(now_ms, value)
        values = reference.values(now_ms)
        assert window.count(now_ms) == len(values)
        assert window.total(now_ms) == sum(values)
        assert window.mean(now_ms, 7.0) == (sum(values) / len(values) if values else 7.0)
