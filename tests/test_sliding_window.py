"""Rings tell what a list of all samples would."""

import random

import pytest

from lichenquay.admission.sliding_window import SlidingWindow

WIDTH_MS, BUCKETS = 100.0, 4


class AllSamples:
    """The same by keeping each sample: those of the last four buckets of time count."""

    def __init__(self):
        """None yet."""
        self.samples = []

    def add(self, now_ms, value):
        """One sample."""
        self.samples.append((now_ms // WIDTH_MS, value))

    def values(self, now_ms):
        """Those that still count."""
        return [value for at, value in self.samples if at > now_ms // WIDTH_MS - BUCKETS]


@pytest.mark.parametrize("seed", range(20))
def test_a_ring_tells_what_a_list_of_all_samples_would(seed):
    """Risk: a count kept beside the buckets drifts from them, and a share of errors or a pace is made up."""
    chance = random.Random(seed)
    ring, all_samples, now_ms = SlidingWindow(WIDTH_MS, BUCKETS), AllSamples(), chance.uniform(0, 1e6)
    for _ in range(300):
        now_ms += chance.choice((0.0, 1.0, 30.0, 150.0, 390.0, 1000.0)) * chance.random()
        if chance.random() < 0.5:
            value = chance.randrange(-3, 4)
            ring.add(now_ms, value)
            all_samples.add(now_ms, value)
        values = all_samples.values(now_ms)
        assert ring.count(now_ms) == len(values)
        assert ring.total(now_ms) == sum(values)
        assert ring.mean(now_ms, 7.0) == (sum(values) / len(values) if values else 7.0)
