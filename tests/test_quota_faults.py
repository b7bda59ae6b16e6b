"""The quota under faults in virtual time: seeded runs, mutated messages, and rules broken on purpose."""

import os
from itertools import islice
from random import Random

import pytest
from invariants import InvariantError
from quota_broken import BROKEN_RULES, AcceptsAnyAnswer, AddsGrants, broken
from quota_mutations import ACCOUNTS, mutants, mutations, record_scenario, scenario
from quota_world import STEP_MS, World

from lichenquay.quota.errors import LedgerError

QUIESCENCE_TIMEOUT_MS = 20000.0  # to repay a limit of 150 ms by half of 20 ms a second, and one term
FAULTS = ("pause", "kill", "cut", "elect", "heal", "leave", "pressure")
RESTARTS = ("kill",)
MUTATION_STRIDE = 4  # every fourth mutation is tried; all with QUOTA_MUTANTS=all
MAX_CHILDREN = 2


def run_with_faults(seed, seconds=25, faults=FAULTS, delay_rates=(0, 0.2)):
    """Runs a world with random faults, then until it is quiescent.

    Gateways are paused, killed, restarted and shut down; the leader changes by election or by a fault; links
    are cut in one direction; messages are lost, duplicated, or delayed by seconds.
    """
    world = World(seed, 3 + seed % 3, ACCOUNTS)
    random = Random(seed * 7 + 1)
    world.group.elect("f0")
    world.loss_rate = random.choice([0, 0.05, 0.2])
    world.duplication_rate = random.choice([0, 0.2])
    world.delay_rate = random.choice(delay_rates)
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
    world.run_until_quiescent(QUIESCENCE_TIMEOUT_MS)
    return world


def send_query(world, random, tenant):
    """Sends a query of random size and duration to a random gateway."""
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
    """Causes one of FAULTS at a gateway, if it applies."""
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
    """Leaves the group without a holder if this gateway held it."""
    if world.group.holder == gateway.name:
        world.group.holder = None


def restart(world, gateway):
    """Starts the next incarnation, unless the gateway leads."""
    if gateway.up and world.group.holder != gateway.name:
        gateway.kill()
        gateway.start()


@pytest.mark.parametrize("seed", range(24))
def test_under_faults_amounts_are_conserved_and_the_world_becomes_quiescent(seed):
    """The audit runs after every step."""
    world = run_with_faults(seed)
    assert sum(world.within_quota.values()) > 20


def test_the_seeds_cover_loans_repayments_expiries_uncertain_writes_and_barred_loans():
    """Runs without them would prove nothing."""
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
    """One run of the scenario that forks for every `stride`th mutation; the child continues with that one.

    `failures`: descriptions, with message and mutation. `count`: of all mutations. At most `MAX_CHILDREN`
    children run at a time.
    """

    def __init__(self, stride):
        """`stride`: every how many mutations one is tried."""
        self.stride = stride
        self.failures = []
        self.count = 0
        self._running = []
        self._last_copies = {}  # by link
        self._child_pipe = None  # set in a child: to report its failure

    def run(self):
        """Runs the scenario and all children; returns the world without mutations."""
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
        for name, replacement in mutations(copies[0], self._last_copies.get(link)):
            self.count += 1
            if self.count % self.stride:
                continue
            if len(self._running) == MAX_CHILDREN:
                self._wait_for_one()
            read, write = os.pipe()
            pid = os.fork()
            if not pid:
                self._child_pipe = write
                return replacement
            os.close(write)
            self._running.append((f"message {number}: {name}", pid, read))
        self._last_copies[link] = copies[0]
        return copies


def test_no_mutation_of_a_message_breaks_an_invariant():
    """Tries every fourth mutation, so that every message and every kind of mutation occurs.

    With QUOTA_MUTANTS=all, tries all of them.
    """
    stride = 1 if os.environ.get("QUOTA_MUTANTS") == "all" else MUTATION_STRIDE
    forked_run = MutationRun(stride)
    world = forked_run.run()
    assert not forked_run.failures and forked_run.count // stride > 2400 // stride, forked_run.failures[:5]
    borrower = world.group.ledger.accounts["a"]
    assert borrower.borrowed_us
    assert borrower.borrowed_us == borrower.repaid_us
    assert world.group.ledger.accounts["b"].collected_us
    assert any(escrow.expiries for escrow in world.gateways["f2"].incarnations)


def test_failures_name_the_mutated_message():
    """One broken rule is detected by the scenario itself, another one only by a mutated message."""
    with broken(escrow=AddsGrants), pytest.raises((InvariantError, LedgerError)):
        scenario()
    forked_run = MutationRun(20)
    with broken(escrow=AcceptsAnyAnswer):
        forked_run.run()
    assert forked_run.failures
    assert all(failure.startswith("message ") for failure in forked_run.failures)


def first_failure(messages, max_mutants=150):
    """Returns the first failure of the scenario, of runs with faults and with mutated messages, or None."""
    runs = [("the scenario", scenario)]
    runs += [(f"seed {seed}", lambda seed=seed: run_with_faults(seed)) for seed in range(6)]
    runs += [
        (f"restarts {seed}", lambda seed=seed: run_with_faults(seed, 15, RESTARTS, (0.5,)))
        for seed in range(12)
    ]
    step = max(1, len(messages) * 18 // max_mutants)
    sample = islice(mutants(messages), 0, None, step)
    runs += [(name, lambda mutate=mutate: scenario(mutate)) for name, mutate in sample]
    for name, run in runs:
        try:
            run()
        except (InvariantError, LedgerError) as error:
            return f"{name}: {error}"
    return None


@pytest.mark.parametrize("rule", BROKEN_RULES)
def test_a_broken_rule_is_detected(rule):
    """The mutated messages are those of the scenario with unbroken rules."""
    messages, _ = record_scenario()
    with broken(**BROKEN_RULES[rule]):
        assert first_failure(messages)
