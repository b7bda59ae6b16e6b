"""The quota under faults, in virtual time: seeded runs, changed messages, and rules broken on purpose."""

import os
from itertools import islice
from random import Random

import pytest
from invariants import InvariantError
from quota_broken import BROKEN_RULES, AddsGrants, TakesAnyAnswer, broken
from quota_mutations import ACCOUNTS, mutants, mutations, record, scenario
from quota_world import STEP_MS, World

from lichenquay.quota.errors import LedgerError

REST_MS = 20000.0  # a limit of 150 ms at half of 20 ms a second, and one term
FAULTS = ("pause", "kill", "cut", "elect", "heal", "leave", "pressure")
RESTARTS = ("kill",)
MUTATION_SHARE = 4  # one in so many is tried; all with QUOTA_MUTANTS=all
MAX_CHILDREN = 2


def run_with_faults(seed, seconds=25, faults=FAULTS, lateness=(0, 0.2)):
    """Faults at random, then rest.

    Gateways are paused, killed and started; the leader changes with and without order; links are cut one way;
    messages are lost, doubled, late by seconds.
    """
    world = World(seed, 3 + seed % 3, ACCOUNTS)
    random = Random(seed * 7 + 1)
    world.group.elect("f0")
    world.loss = random.choice([0, 0.05, 0.2])
    world.duplication = random.choice([0, 0.2])
    world.lateness = random.choice(lateness)
    world.group.uncertain_share = random.choice([0, 0.02])
    world.group.write_delay_ms = lambda: random.choice([2.0, 5.0, 5.0, 60.0, 600.0])
    names = list(world.gateways)
    rates = {tenant: random.choice([0.02, 0.1, 0.5]) for tenant in "abcd"}
    fault_ms = 0.0
    election_ms = 0.0
    while world.now < seconds * 1000:
        world.run(world.now + STEP_MS)
        if world.group.holder is None and world.now > election_ms:
            election_ms = world.now + random.uniform(200, 2000)
            running = [n for n in names if world.gateways[n].up and not world.gateways[n].paused]
            if running:
                world.group.elect(random.choice(running))
        for tenant, rate in rates.items():
            if random.random() < rate:
                send_query(world, random, tenant)
        if world.now > fault_ms:
            fault_ms = world.now + random.uniform(200, 2500)
            gateway = world.gateways[random.choice(names)]
            cause_fault(world, random, gateway, random.choice(faults))
    world.rest(REST_MS)
    return world


def send_query(world, random, tenant):
    """Of a random size and duration, at a random gateway."""
    estimate_ms = random.choice([2, 10, 40])
    world.query(
        world.gateways[random.choice(list(world.gateways))],
        tenant,
        estimate_ms,
        estimate_ms * random.uniform(0, 2.5),
        random.choice([20.0, 200.0, 3000.0]),
        random.choice([True, True, False]),
    )


def cause_fault(world, random, gateway, kind):
    """One of FAULTS at this gateway, where it applies."""
    running = gateway.up and not gateway.paused
    if kind == "pause" and running:
        gateway.paused = True
        lose_leadership(world, gateway)
        world.at(random.choice([300.0, 3000.0, 8000.0]), gateway.resume)
    elif kind == "kill" and gateway.up:
        gateway.kill()
        lose_leadership(world, gateway)
        world.at(random.choice([100.0, 4000.0]), lambda: gateway.up or gateway.start())
    elif kind == "cut":
        world.cut_links.add((gateway.name, random.choice(list(world.gateways))))
    elif kind == "heal":
        world.cut_links.clear()
    elif kind == "elect" and running:
        world.group.elect(gateway.name)
    elif kind == "leave" and running and world.group.holder != gateway.name:
        gateway.escrow.return_all(gateway.now_ms)
        world.at(1500.0, lambda: restart(world, gateway))
    elif kind == "pressure":
        gateway.escrow.under_pressure = not gateway.escrow.under_pressure


def lose_leadership(world, gateway):
    """The group has no holder if this gateway was it."""
    if world.group.holder == gateway.name:
        world.group.holder = None


def restart(world, gateway):
    """The next incarnation, unless it leads."""
    if gateway.up and world.group.holder != gateway.name:
        gateway.kill()
        gateway.start()


@pytest.mark.parametrize("seed", range(24))
def test_under_faults_all_is_conserved_and_comes_to_rest(seed):
    """The audit runs after every step."""
    world = run_with_faults(seed)
    assert sum(world.within.values()) > 20


def test_the_seeds_reach_what_they_are_for():
    """Loans, repayments, expiries, uncertain writes, barred loans: a run without them shows nothing."""
    names = ("borrowed_us", "collected_us", "expiries", "uncertain_writes", "loans_barred")
    seen = dict.fromkeys(names, 0)
    for seed in range(30, 36):
        world = run_with_faults(seed, 20)
        for account in world.group.ledger.accounts.values():
            seen["borrowed_us"] += account.borrowed_us
            seen["collected_us"] += account.collected_us
        for gateway in world.gateways.values():
            seen["expiries"] += sum(escrow.expiries for escrow in gateway.incarnations)
            seen["uncertain_writes"] += gateway.leader.uncertain_writes
            seen["loans_barred"] += gateway.leader.loans_barred
    assert all(seen.values()), seen


class MutationRun:
    """The scenario once, forked for every `part`th mutation; the child goes on with that one.

    `failures`: what broke, by message and mutation. `count`: of mutations. At most `MAX_CHILDREN` run at a
    time.
    """

    def __init__(self, part):
        """`part`: one mutation in so many is tried."""
        self.part = part
        self.failures = []
        self.count = 0
        self._running = []
        self._before = {}
        self._child_pipe = None  # of this process, where it is a child

    def run(self):
        """Returns the world without mutations."""
        try:
            world, _ = scenario(self._mutate)
        except BaseException as error:
            if self._child_pipe is None:
                raise
            os.write(self._child_pipe, f"{type(error).__name__} {error}".encode())
            os._exit(1)
        if self._child_pipe is not None:
            os._exit(0)
        while self._running:
            self._wait_for_one()
        return world

    def _wait_for_one(self):
        name, pid, pipe = self._running.pop(0)
        with os.fdopen(pipe, "rb") as output:
            error = output.read().decode()
        if os.waitpid(pid, 0)[1] or error:
            self.failures.append(f"{name}: {error}")

    def _mutate(self, number, copies):
        if self._child_pipe is not None:
            return copies
        link = copies[0][0], copies[0][1]
        for what, instead in mutations(copies[0], self._before.get(link)):
            self.count += 1
            if self.count % self.part:
                continue
            if len(self._running) == MAX_CHILDREN:
                self._wait_for_one()
            read, write = os.pipe()
            pid = os.fork()
            if not pid:
                self._child_pipe = write
                return instead
            os.close(write)
            self._running.append((f"message {number}: {what}", pid, read))
        self._before[link] = copies[0]
        return copies


def test_each_message_changed_in_each_way_breaks_nothing():
    """Each message; of its mutations one in four, in turns, so that all are met.

    QUOTA_MUTANTS=all: all of them.
    """
    part = 1 if os.environ.get("QUOTA_MUTANTS") == "all" else MUTATION_SHARE
    mutation_run = MutationRun(part)
    world = mutation_run.run()
    assert not mutation_run.failures and mutation_run.count // part > 2400 // part, mutation_run.failures[:5]
    borrower = world.group.ledger.accounts["a"]
    assert borrower.borrowed_us
    assert borrower.borrowed_us == borrower.repaid_us
    assert world.group.ledger.accounts["b"].collected_us
    assert any(escrow.expiries for escrow in world.gateways["f2"].incarnations)


def test_a_message_that_breaks_something_is_named():
    """One rule that the scenario breaks by itself, one that it takes a changed message to break."""
    with broken(escrow=AddsGrants), pytest.raises((InvariantError, LedgerError)):
        scenario()
    mutation_run = MutationRun(20)
    with broken(escrow=TakesAnyAnswer):
        mutation_run.run()
    assert mutation_run.failures
    assert all(failure.startswith("message ") for failure in mutation_run.failures)


def first_failure(messages, most_mutants=150):
    """What finds a broken rule first: the scenario, a run with faults, or a changed message.

    None: nothing.
    """
    runs = [("the scenario", scenario)]
    runs += [(f"seed {seed}", lambda seed=seed: run_with_faults(seed)) for seed in range(6)]
    runs += [
        (f"restarts {seed}", lambda seed=seed: run_with_faults(seed, 15, RESTARTS, (0.5,)))
        for seed in range(12)
    ]
    step = max(1, len(messages) * 18 // most_mutants)
    sample = islice(mutants(messages), 0, None, step)
    runs += [(name, lambda mutate=mutate: scenario(mutate)) for name, mutate in sample]
    for name, run in runs:
        try:
            run()
        except (InvariantError, LedgerError) as error:
            return f"{name}: {error}"
    return None


@pytest.mark.parametrize("rule", BROKEN_RULES)
def test_a_broken_rule_is_found(rule):
    """The messages are those of the scenario with all rules kept."""
    messages, _ = record()
    with broken(**BROKEN_RULES[rule]):
        assert first_failure(messages)
