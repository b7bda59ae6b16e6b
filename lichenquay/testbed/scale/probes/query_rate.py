"""What a query costs one front's controller by the rate of queries there, with many engines."""

from collections.abc import Sequence

from lichenquay.testbed.scale.probes.virtual_gateway import VirtualDoor, make_engines
from lichenquay.testbed.scale.sample import Progress, Sample

ENGINES = 10_000
WARM_MS, PLAY_MS = 1_000.0, 1_000.0


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """`sizes`: queries a second at one front, best in rising order."""
    samples, door = [], VirtualDoor(make_engines(ENGINES), seed, float(sizes[0]))
    for done, rate in enumerate(sizes):
        door.rate_per_s = float(rate)
        door.play(WARM_MS)
        door.queries.reset()
        before = door.arrived
        door.play(PLAY_MS)
        cost = door.queries.spent_ms / max(1, door.arrived - before)
        samples.append(Sample(rate, "controller.query_by_rate", "ms", (cost,)))
        progress((done + 1) / len(sizes))
    return samples
