"""Measures a gateway's controller by the number of engines: ticks, queries, list events, state."""

from collections.abc import Sequence

from lichenquay.admission import domain
from lichenquay.testbed.scale.probes.virtual_gateway import VirtualGateway, make_engines
from lichenquay.testbed.scale.sample import Progress, Sample, measure_processor_ms, measure_state_bytes

RATE_PER_S = 40.0
WARM_UP_MS, MEASURED_MS = 1_500.0, 2_500.0
WINDOWS = 3  # consecutive windows of traffic
LIST_RUNS = 2
EVENTS = 10  # single list events
TABLE_SETS = 5


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: engines, with queries at a low rate and list events that drain an engine
    and return it to service.
    """
    samples = []
    for done, size in enumerate(sizes):
        engines = make_engines(size)
        gateway, state_size = measure_state_bytes(
            lambda listed=engines: VirtualGateway(listed, seed, RATE_PER_S)
        )
        samples.append(Sample(size, "controller.state", "bytes", (float(state_size),)))
        samples += [
            *measure_whole_lists(engines, seed),
            *measure_traffic(size, gateway),
            *measure_list_events(engines, gateway),
        ]
        progress((done + 1) / len(sizes))
    return samples


def measure_whole_lists(engines: list[domain.Engine], seed: int) -> list[Sample]:
    """Applies all engines in one list: to a controller that has none, then to one that has all."""
    first_ms, repeated_ms = [], []
    for _ in range(LIST_RUNS):
        gateways = []
        first_ms.append(
            measure_processor_ms(
                lambda created=gateways: created.append(VirtualGateway(engines, seed, RATE_PER_S))
            )
        )
        repeated_ms.append(
            measure_processor_ms(
                lambda created=gateways: created[0].controller.endpoints_updated(engines, True)
            )
        )
    size = len(engines)
    return [
        Sample(size, "controller.first_list", "ms", tuple(first_ms)),
        Sample(size, "controller.whole_list", "ms", tuple(repeated_ms)),
    ]


def measure_traffic(size: int, gateway: VirtualGateway) -> list[Sample]:
    """Measures the ticks in ms a second of virtual time, and each query in ms, its ranking included."""
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


def measure_list_events(engines: list[domain.Engine], gateway: VirtualGateway) -> list[Sample]:
    """Measures the change of one engine at a time, and the preferred engines of a set of tables, which are
    ranked again after it.
    """
    controller, events_ms, preferred_ms = gateway.controller, [], []
    for number in range(EVENTS):
        gateway.now_ms += 1_000.0
        engine = engines[(number // 2 * 7_919) % len(engines)]
        engine.state = domain.EndpointState.DRAINING if number % 2 == 0 else domain.EndpointState.SERVING
        events_ms.append(
            measure_processor_ms(lambda changed=engine: controller.endpoints_updated([changed], False))
        )
    for table_set in range(TABLE_SETS):
        name = f"set-{table_set}"
        preferred_ms.append(
            measure_processor_ms(lambda name=name: controller.table_affinity.preferred_engines(name))
        )
    return [
        Sample(len(engines), "controller.list_event", "ms", tuple(events_ms)),
        Sample(len(engines), "controller.homes", "ms", tuple(preferred_ms)),
    ]
