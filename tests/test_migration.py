"""Handovers in virtual time, without faults and under random faults."""

from random import Random

import pytest
from migration_client import Client
from migration_world import World

FAULTS = ("leave", "leave", "leave", "kill", "pause", "cancel", "cut", "start", "start")
FAULTS_IN_A_RUN = 12
CUT_MS = 3000


def world_of(seed, clients=6, replica_groups=3):
    """Returns a world with clients of three tenants."""
    world = World(seed, replica_groups)
    for i in range(clients):
        Client(world, f"{'abc'[i % 3]}{i}", f"f{i % replica_groups}")
    return world


def test_a_leaving_replica_group_hands_over_all_sessions_and_ends():
    """Its clients are redirected to the new owners."""
    world = world_of(1)
    world.run(2000)
    world.leave("f0")
    world.run(4000)
    assert not world.processes["f0"].up
    assert world.audit.handovers_accepted >= 2
    assert not world.groups["f0"].state_machine.live_sessions
    assert {client.replica_group for client in world.clients} == {"f1", "f2"}
    world.run_until_quiescent()


def test_without_faults_no_session_moves():
    """Queries continue to end."""
    world = world_of(2)
    world.run(5000)
    world.run_until_quiescent()
    assert world.audit.handovers_accepted == 0
    assert sum(client.ended_queries for client in world.clients) > 25


def run_with_faults(seed):
    """Runs a world with random faults, then until it is quiescent."""
    random = Random(seed)
    world = world_of(seed)
    world.run(1500)
    world.loss_rate = random.choice([0, 0.1, 0.3])
    world.duplication_rate = random.choice([0, 0.2])
    world.delay_rate = random.choice([0, 0.1])
    world.misjudgement_rate = random.choice([0, 0.1])
    for group in world.groups.values():
        group.uncertain_share = random.choice([0, 0.01])
    for _ in range(FAULTS_IN_A_RUN):
        process = world.processes[random.choice(list(world.processes))]
        cause_fault(world, random, process, random.choice(FAULTS))
        world.run(random.choice([50, 200, 500, 1500, 5000]))
    world.run_until_quiescent()
    return world


def cause_fault(world, random, process, kind):
    """Causes one of FAULTS at a process, if it applies; a process that does not run is started instead."""
    if kind == "start" or not process.up:
        if process.paused:
            process.resume()
        elif not process.up:
            process.start()
    elif kind == "leave" and not process.paused:
        world.leave(process.name)
    elif kind == "cancel" and process.is_ending and not process.paused:
        world.cancel_leaving(process.name)
    elif kind == "kill":
        process.kill()
    elif kind == "pause":
        process.paused = True
        incarnation = process.incarnation
        world.at(random.choice([200, 2000, 6000]), lambda: resume_incarnation(process, incarnation))
    elif kind == "cut":
        link = process.name, random.choice(list(world.processes))
        world.cut_links.add(link)
        world.at(CUT_MS, lambda: world.cut_links.discard(link))


def resume_incarnation(process, incarnation):
    """Ends a pause, unless the process was killed meanwhile."""
    if process.incarnation == incarnation and process.up:
        process.resume()


@pytest.mark.parametrize("n", range(8))
def test_under_faults_each_session_has_one_owner(n, request):
    """The audit runs after every step; --runs sets the number of seeds."""
    runs, seed = request.config.getoption("--runs"), request.config.getoption("--seed")
    for i in range(runs):
        world = run_with_faults(1000 * seed + 8 * i + n)
        assert sum(client.ended_queries for client in world.clients) > 10


def test_a_new_term_retries_unacknowledged_handovers_without_a_request():
    """In this run, a gateway has such a handover that has restarted, does not leave and has no clients."""
    run_with_faults(124)
