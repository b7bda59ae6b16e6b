"""What one front's controller costs by the number of engines: beats, queries, list events, state."""

from collections.abc import Sequence

from lichenquay.admission import domain
from lichenquay.testbed.scale.probes.door import VirtualGateway, make_engines
from lichenquay.testbed.scale.sample import Progress, Sample, processor_ms, state_bytes

RATE_PER_S = 40.0
WARM_UP_MS, MEASURED_MS = 1_500.0, 2_500.0
WINDOWS = 3  # of traffic, one after the other
WHOLE_LISTS = 2
EVENTS = 10  # single list events
TABLE_SETS = 5


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """`sizes`: engines. A trickle of queries; list events between a draining and a listed state."""
    samples = []
    for done, size in enumerate(sizes):
        engines = make_engines(size)
        gateway, held = state_bytes(lambda some=engines: VirtualGateway(some, seed, RATE_PER_S))
        samples.append(Sample(size, "controller.state", "bytes", (float(held),)))
        samples += [*whole_lists(engines, seed), *traffic(size, gateway), *list_events(engines, gateway)]
        progress((done + 1) / len(sizes))
    return samples


def whole_lists(engines: list[domain.Engine], seed: int) -> list[Sample]:
    """All engines in one list: to a controller that knows none, then to one that knows all."""
    first, again = [], []
    for _ in range(WHOLE_LISTS):
        gateways = []
        first.append(
            processor_ms(lambda created=gateways: created.append(VirtualGateway(engines, seed, RATE_PER_S)))
        )
        again.append(
            processor_ms(lambda created=gateways: created[0].controller.endpoints_updated(engines, True))
        )
    size = len(engines)
    return [
        Sample(size, "controller.first_list", "ms", tuple(first)),
        Sample(size, "controller.whole_list", "ms", tuple(again)),
    ]


def traffic(size: int, gateway: VirtualGateway) -> list[Sample]:
    """Beats a second of virtual time, and each query with what it ranks."""
    tick_ms, query_ms = [], []
    gateway.run(WARM_UP_MS)
    for _ in range(WINDOWS):
        gateway.tick_stopwatch.reset()
        gateway.query_stopwatch.reset()
        before = gateway.arrived
        gateway.run(MEASURED_MS)
        tick_ms.append(gateway.tick_stopwatch.spent_ms / (MEASURED_MS / 1_000))
        query_ms.append(gateway.query_stopwatch.spent_ms / max(1, gateway.arrived - before))
    return [
        Sample(size, "controller.beats", "ms/s", tuple(tick_ms)),
        Sample(size, "controller.query", "ms", tuple(query_ms)),
    ]


def list_events(engines: list[domain.Engine], gateway: VirtualGateway) -> list[Sample]:
    """One changed engine at a time, and the homes of a set of tables, which are ranked anew after it."""
    controller, events, homes = gateway.controller, [], []
    for turn in range(EVENTS):
        gateway.now_ms += 1_000.0
        engine = engines[(turn // 2 * 7_919) % len(engines)]
        engine.state = domain.EndpointState.DRAINING if turn % 2 == 0 else domain.EndpointState.SERVING
        events.append(processor_ms(lambda changed=engine: controller.endpoints_updated([changed], False)))
    for table_set in range(TABLE_SETS):
        name = f"set-{table_set}"
        homes.append(processor_ms(lambda name=name: controller.table_affinity.preferred_engines(name)))
    return [
        Sample(len(engines), "controller.list_event", "ms", tuple(events)),
        Sample(len(engines), "controller.homes", "ms", tuple(homes)),
    ]
