"""Hand-overs in virtual time: what a replica group does, by itself and with every fault."""

from random import Random

import pytest
from migration_client import Client
from migration_world import World


def world_of(seed, clients=6, replica_groups=3, **more):
    world = World(seed, replica_groups, **more)
    for i in range(clients):
        Client(world, f"{'abc'[i % 3]}{i}", f"f{i % replica_groups}")
    return world


def test_a_leaving_replica_group_hands_all_over_and_ends():
    world = world_of(1)
    world.run(2000)
    world.leave("f0")
    world.run(4000)
    assert not world.processes["f0"].up
    assert world.moved >= 2
    assert not world.groups["f0"].audit.live
    assert {c.replica_group for c in world.clients} == {"f1", "f2"}
    world.rest()


def test_quiet_world_is_one_where_nothing_moves():
    world = world_of(2)
    world.run(5000)
    world.rest()
    assert world.moved == 0 and sum(c.ended for c in world.clients) > 25


def faults(seed):
    """A minute of everything."""
    random, world = Random(seed), world_of(seed)
    world.run(1500)
    world.lose, world.double = random.choice([0, 0.1, 0.3]), random.choice([0, 0.2])
    world.late, world.false = random.choice([0, 0.1]), random.choice([0, 0.1])
    for g in world.groups.values():
        g.doubt = random.choice([0, 0.01])
    for _ in range(12):
        p = world.processes[random.choice(list(world.processes))]
        what = random.choice(["leave", "leave", "leave", "kill", "pause", "off", "cut", "start", "start"])
        if what == "start" or not p.up:
            if p.paused:
                p.resume()
            elif not p.up:
                p.start()
        elif what == "leave" and not p.paused:
            world.leave(p.name)
        elif what == "off" and p.ends and not p.paused:
            world.call_off(p.name)
        elif what == "kill":
            p.kill()
        elif what == "pause":
            p.paused = True
            world.at(
                random.choice([200, 2000, 6000]),
                lambda p=p, life=p.life: p.life == life and p.up and p.resume(),
            )
        elif what == "cut":
            link = p.name, random.choice(list(world.processes))
            world.cut.add(link)
            world.at(3000, lambda: world.cut.discard(link))
        world.run(random.choice([50, 200, 500, 1500, 5000]))
    world.rest()
    return world


@pytest.mark.parametrize("n", range(8))
def test_faults(n, request):
    runs, seed = request.config.getoption("--runs"), request.config.getoption("--seed")
    for i in range(runs):
        world = faults(1000 * seed + 8 * i + n)
        assert sum(c.ended for c in world.clients) > 10


def test_a_new_term_tells_what_is_gone_without_being_asked():
    """The schedule in which a front that came back, does not leave and has no clients, held such a
    session."""
    faults(124)
