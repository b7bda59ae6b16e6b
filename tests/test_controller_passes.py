"""What the controller keeps of the fleet is what a pass over all engines would give, without that pass."""

from random import Random
from zlib import crc32

import pytest
from standins import FakeDoor, engine, group, quick

from lichenquay.admission import domain
from lichenquay.admission.table_affinity import PreferredEngines

pytestmark = pytest.mark.together

ENGINES = 2_000
TABLES = ("t1", "t2", "t3")


class CountingFleet(dict):
    """The controller's engines, with a count of those that were passed over."""

    visited = 0

    def values(self):
        """Each one that is taken counts."""
        for seen in super().values():
            self.visited += 1
            yield seen

    def __iter__(self):
        """As `values`, by the keys."""
        for key in super().__iter__():
            self.visited += 1
            yield key


def counted(door):
    """Lets the controller of this door use a fleet that counts."""
    states = CountingFleet(door.c.fleet.states)
    door.c.fleet.states = states
    return states


def use(door, queries, group_):
    """Queries that are answered, with some errors and reports."""
    for number in range(queries):
        door.take(group_, work=20.0, table_group=TABLES[number % len(TABLES)])
        door.until(door.now_ms + 25)
        for attempt in door.out():
            ending = domain.Outcome.FAILED if number % 7 == 0 else domain.Outcome.COMPLETED
            door.answer(attempt, ending, {"active": float(number % 5)} if number % 3 else None)


def test_beats_queries_and_list_events_pass_over_few_engines():
    """Risk: at 25,000 engines a pass over all of them at each beat takes more than a core."""
    g = quick()
    door = FakeDoor([g], [engine(f"e{i}") for i in range(ENGINES)], fronts=200)
    use(door, 40, g)
    fleet = counted(door)
    use(door, 40, g)
    assert fleet.visited < ENGINES / 4
    fleet.visited = 0
    for number in range(10):
        door.c.endpoints_updated([engine(f"new{number}")], False)
    assert fleet.visited < ENGINES / 4


def rank_of(fleet, state):
    """An engine's rank in this gateway's own order, by the gateway's seed."""
    return crc32(f"{fleet.seed}:{state.engine.id}".encode())


def preferred_by_a_pass(fleet, tables):
    """The first two and the last two of all engines, ranked for a table group."""
    ranked = sorted(fleet.states.values(), key=lambda s: crc32(f"{tables}:{s.engine.id}".encode()))
    return PreferredEngines(ranked[:2], ranked[-2:])


def warming_by_a_pass(controller, now_ms):
    """Engines that warm up and that this gateway may send to, in its own order."""
    fleet, slow_start, found = controller.fleet, controller.slow_start, []
    for state in sorted(fleet.states.values(), key=lambda s: rank_of(fleet, s)):
        warm_share = slow_start.warm_share(state.engine, now_ms)
        is_usable = state.engine.state == domain.EndpointState.SERVING and not state.is_unresponsive
        if is_usable and warm_share < 1 and slow_start.budget_ms(state.engine, warm_share):
            found.append(state)
    return found


def middle(values):
    """The upper median."""
    return sorted(values)[len(values) // 2]


def agrees(door):
    """All that is kept by increments is what a pass over the fleet gives."""
    controller, fleet, now_ms = door.c, door.c.fleet, door.now_ms
    states = list(fleet.states.values())
    assert fleet.by_rank == sorted(states, key=lambda s: rank_of(fleet, s))
    assert fleet.cores == pytest.approx(sum(s.cores for s in states))
    assert fleet.memory_mb == pytest.approx(sum(s.memory_mb for s in states))
    for tables in TABLES:
        assert controller.table_affinity.preferred_engines(tables) == preferred_by_a_pass(fleet, tables)
    controller.evaluation.compare_with_peers(now_ms)
    warming = [s for s in controller.subset.engines if s in fleet.not_fully_usable]
    assert warming == warming_by_a_pass(controller, now_ms)
    error_shares = [0.0, *(s.errors.mean(now_ms, 0.0) for s in states)]
    assert controller.outliers.median_error_share == middle(error_shares)
    assert set(fleet.active) <= set(states) and set(fleet.not_fully_usable) <= set(states)


@pytest.mark.parametrize("seed", range(6))
def test_what_is_kept_by_increments_is_what_a_pass_gives(seed):
    """Over engines that join, start anew, drain, leave with work of ours on them, and whole lists."""
    chance, g = Random(seed), group(latency_objective_ms=1000.0)
    listed = [engine(f"e{i}", started=None if i % 3 else 1000.0) for i in range(chance.choice((3, 12, 40)))]
    door = FakeDoor([quick(), g], listed, fronts=20, seed=seed)
    for step in range(80):
        use(door, 2, g)
        what, some = chance.randrange(5), chance.choice(listed)
        if what == 0:
            listed.append(engine(f"new{step}", started=door.now_ms - chance.uniform(0, 9000)))
            door.c.endpoints_updated([listed[-1]], False)
        elif what == 1:
            some.state = domain.EndpointState.DRAINING
            door.c.endpoints_updated([some], False)
        elif what == 2 and len(listed) > 2:
            door.take(g, work=500.0)
            listed.remove(some)
            some.state = domain.EndpointState.REMOVED
            door.c.endpoints_updated([some], False)
        elif what == 3:
            some.started_ms, some.state = door.now_ms, domain.EndpointState.SERVING
            door.c.endpoints_updated([some], False)
        else:
            door.c.endpoints_updated(list(listed), True)
        agrees(door)
