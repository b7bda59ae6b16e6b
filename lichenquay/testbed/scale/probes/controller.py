"""What one front's controller costs by the number of engines: beats, queries, list events, state."""

from collections.abc import Sequence

from lichenquay.admission import domain
from lichenquay.testbed.scale.probes.virtual_gateway import VirtualDoor, make_engines
from lichenquay.testbed.scale.sample import Progress, Sample, processor_ms, state_bytes

RATE_PER_S = 40.0
WARM_MS, PLAY_MS = 1_500.0, 2_500.0
WINDOWS = 3  # of traffic, one after the other
WHOLE_LISTS = 2
EVENTS = 10  # single list events
TABLE_SETS = 5


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """`sizes`: engines. A trickle of queries; list events between a draining and a listed state."""
    samples = []
    for done, size in enumerate(sizes):
        engines = make_engines(size)
        door, held = state_bytes(lambda some=engines: VirtualDoor(some, seed, RATE_PER_S))
        samples.append(Sample(size, "controller.state", "bytes", (float(held),)))
        samples += [*whole_lists(engines, seed), *traffic(size, door), *list_events(engines, door)]
        progress((done + 1) / len(sizes))
    return samples


def whole_lists(engines: list[domain.Engine], seed: int) -> list[Sample]:
    """All engines in one list: to a controller that knows none, then to one that knows all."""
    first, again = [], []
    for _ in range(WHOLE_LISTS):
        doors = []
        first.append(processor_ms(lambda made=doors: made.append(VirtualDoor(engines, seed, RATE_PER_S))))
        again.append(processor_ms(lambda made=doors: made[0].controller.endpoints_updated(engines, True)))
    size = len(engines)
    return [
        Sample(size, "controller.first_list", "ms", tuple(first)),
        Sample(size, "controller.whole_list", "ms", tuple(again)),
    ]


def traffic(size: int, door: VirtualDoor) -> list[Sample]:
    """Beats a second of virtual time, and each query with what it ranks."""
    beats, queries = [], []
    door.play(WARM_MS)
    for _ in range(WINDOWS):
        door.beats.reset()
        door.queries.reset()
        before = door.arrived
        door.play(PLAY_MS)
        beats.append(door.beats.spent_ms / (PLAY_MS / 1_000))
        queries.append(door.queries.spent_ms / max(1, door.arrived - before))
    return [
        Sample(size, "controller.beats", "ms/s", tuple(beats)),
        Sample(size, "controller.query", "ms", tuple(queries)),
    ]


def list_events(engines: list[domain.Engine], door: VirtualDoor) -> list[Sample]:
    """One changed engine at a time, and the homes of a set of tables, which are ranked anew after it."""
    controller, events, homes = door.controller, [], []
    for turn in range(EVENTS):
        door.now_ms += 1_000.0
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
