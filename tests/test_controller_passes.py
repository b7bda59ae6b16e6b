"""What the controller keeps of the fleet is what a pass over all engines would give, without that pass."""

from random import Random
from zlib import crc32

import pytest
from standins import FakeDoor, engine, group, quick

from lichenquay.admission import domain

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
    fleet = CountingFleet(door.c.fleet)
    door.c.fleet = door.c.picker.fleet = door.c.slots.fleet = fleet
    return fleet


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


def rank_of(picker, seen):
    """By the gateway's seed, as ever."""
    return crc32(f"{picker.seed}:{seen.engine.id}".encode())


def homes_by_a_pass(picker, tables):
    """The first two and the last two of all engines, ranked for a set of tables."""
    ranked = sorted(picker.fleet.values(), key=lambda s: crc32(f"{tables}:{s.engine.id}".encode()))
    return ranked[:2], ranked[-2:]


def near_cold_by_a_pass(picker, now_ms):
    """Engines that are not warm and that this front may send to, in the gateway's order."""
    guards, found = picker.guards, []
    for seen in sorted(picker.fleet.values(), key=lambda s: rank_of(picker, s)):
        warmth = guards.warmth(seen.engine, now_ms)
        listed = seen.engine.state == domain.EndpointState.SERVING and not seen.silent
        if listed and warmth < 1 and guards.cold_budget(seen.engine, warmth):
            found.append(seen)
    return found


def middle(values):
    """The upper median."""
    return sorted(values)[len(values) // 2]


def agrees(door):
    """All that is kept by increments is what a pass over the fleet gives."""
    c, picker, now_ms = door.c, door.c.picker, door.now_ms
    fleet = list(c.fleet.values())
    assert picker.sums.by_rank == sorted(fleet, key=lambda s: rank_of(picker, s))
    assert picker.sums.cores == pytest.approx(sum(s.cores for s in fleet))
    assert picker.sums.memory_mb == pytest.approx(sum(s.memory_mb for s in fleet))
    for tables in TABLES:
        assert picker.homes_of(tables) == homes_by_a_pass(picker, tables)
    picker.look(now_ms)
    assert [s for s in picker.near if s in picker.cold] == near_cold_by_a_pass(picker, now_ms)
    assert picker.faults == middle([0.0, *(s.faults.mean(now_ms, 0.0) for s in fleet)])
    assert set(picker.touched) <= set(fleet) and set(picker.cold) <= set(fleet)


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
