"""Measures a query's cost in a gateway's controller by the rate of queries, with many engines."""

from collections.abc import Sequence

from lichenquay.testbed.scale.probes.virtual_gateway import VirtualGateway, make_engines
from lichenquay.testbed.scale.sample import Progress, Sample

ENGINES = 10_000
WARM_UP_MS, MEASURED_MS = 1_000.0, 1_000.0


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: queries a second at one gateway, best in ascending order."""
    samples, gateway = [], VirtualGateway(make_engines(ENGINES), seed, float(sizes[0]))
    for done, rate in enumerate(sizes):
        gateway.rate_per_s = float(rate)
        gateway.run(WARM_UP_MS)
        gateway.query_stopwatch.reset()
        before = gateway.arrived
        gateway.run(MEASURED_MS)
        cost = gateway.query_stopwatch.spent_ms / max(1, gateway.arrived - before)
        samples.append(Sample(rate, "controller.query_by_rate", "ms", (cost,)))
        progress((done + 1) / len(sizes))
    return samples
