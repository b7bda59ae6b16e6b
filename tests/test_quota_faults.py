"""The quota under faults, in virtual time: seeded runs, each message of a scenario changed in each way, and broken
rules that the audit must find."""

import os
from contextlib import contextmanager
from itertools import islice
from random import Random
from unittest import mock

import pytest
from quota_ways import ACCOUNTS, mutants, record, scenario, ways
from quota_world import STEP_MS, TERM_MS, Violation, World

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import LedgerError
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.escrow_holding import EscrowHolding
from lichenquay.quota.ledger import Ledger
from lichenquay.quota.ledger_leader import LedgerLeader
from lichenquay.quota.tenant_account import EntryTotals

REST_MS = 20000.0  # limit 150 at half of 20 a second, and one term


KINDS = ("pause", "kill", "cut", "elect", "heal", "leave", "pressed")


def chaos(seed, seconds=25, kinds=KINDS, late=(0, 0.2)):
    """Fronts paused, killed and started, keepers that change in and out of order, links cut one way, messages lost,
    doubled, late by seconds; then rest."""
    world, chance = World(seed, 3 + seed % 3, ACCOUNTS), Random(seed * 7 + 1)
    world.group.elect("f0")
    world.lose, world.double, world.late = [chance.choice(x) for x in ([0, 0.05, 0.2], [0, 0.2], late)]
    world.group.doubt = chance.choice([0, 0.02])
    world.group.delay = lambda: chance.choice([2.0, 5.0, 5.0, 60.0, 600.0])
    names, rates = list(world.fronts), {t: chance.choice([0.02, 0.1, 0.5]) for t in "abcd"}
    fault_ms = elect_ms = 0.0
    while world.now < seconds * 1000:
        world.run(world.now + STEP_MS)
        if world.group.holder is None and world.now > elect_ms:
            elect_ms = world.now + chance.uniform(200, 2000)
            live = [n for n in names if world.fronts[n].up and not world.fronts[n].paused]
            if live:
                world.group.elect(chance.choice(live))
        for tenant, rate in rates.items():
            if chance.random() < rate:
                work = chance.choice([2, 10, 40])
                world.query(
                    world.fronts[chance.choice(names)],
                    tenant,
                    work,
                    work * chance.uniform(0, 2.5),
                    chance.choice([20.0, 200.0, 3000.0]),
                    chance.choice(["settle", "settle", "drop"]),
                )
        if world.now > fault_ms:
            fault_ms = world.now + chance.uniform(200, 2500)
            fault(world, chance, world.fronts[chance.choice(names)], chance.choice(kinds))
    world.rest(REST_MS)
    return world


def fault(world, chance, front, kind):
    if kind == "pause" and front.up and not front.paused:
        front.paused = True
        if world.group.holder == front.name:
            world.group.holder = None
        world.at(chance.choice([300.0, 3000.0, 8000.0]), front.resume)
    elif kind == "kill" and front.up:
        front.kill()
        if world.group.holder == front.name:
            world.group.holder = None
        world.at(chance.choice([100.0, 4000.0]), lambda: front.up or front.start())
    elif kind == "cut":
        world.cut.add((front.name, chance.choice(list(world.fronts))))
    elif kind == "heal":
        world.cut.clear()
    elif kind == "elect" and front.up and not front.paused:
        world.group.elect(front.name)
    elif kind == "leave" and front.up and not front.paused and world.group.holder != front.name:
        front.rights.return_all(front.now_ms)
        world.at(
            1500.0, lambda: front.up and world.group.holder != front.name and (front.kill(), front.start())
        )
    elif kind == "pressed":
        front.rights.under_pressure = not front.rights.under_pressure


@pytest.mark.parametrize("seed", range(24))
def test_under_faults_all_is_conserved_and_comes_to_rest(seed):
    world = chaos(seed)
    assert sum(world.within.values()) > 20


def test_the_seeds_reach_what_they_are_for():
    """Loans, repayments, lapses, written-off rests that come back, doubts, bars: a run without them shows nothing."""
    seen = dict.fromkeys(
        (
            "borrowed_us",
            "collected_us",
            "overflowed_us",
            "lost_us",
            "expiries",
            "uncertain_writes",
            "loans_barred",
        ),
        0,
    )

    def count(world):
        for account in world.group.audit.accounts.values():
            for name in ("borrowed_us", "collected_us"):
                seen[name] += getattr(account, name)
        seen["expiries"] += sum(life.expiries for f in world.fronts.values() for life in f.lives)
        seen["uncertain_writes"] += sum(f.keeper.uncertain_writes for f in world.fronts.values())
        seen["loans_barred"] += sum(f.keeper.loans_barred for f in world.fronts.values())

    for seed in range(30, 36):
        count(chaos(seed, 20))
    assert all(
        seen[n] for n in ("borrowed_us", "collected_us", "expiries", "uncertain_writes", "loans_barred")
    ), seen


# one message changed


def each_changed(part):
    """The scenario once; at each message it forks for every `part`th of its ways, and the child goes on with that
    one change. Two at a time. Returns what broke, by message and way, how many mutants there were, and the unchanged
    world."""
    broke, running, before, count, child = [], [], {}, 0, None

    def reap():
        name, pid, pipe = running.pop(0)
        with os.fdopen(pipe, "rb") as f:
            said = f.read().decode()
        if os.waitpid(pid, 0)[1] or said:
            broke.append(f"{name}: {said}")

    def mutate(number, copies):
        nonlocal count, child
        if child is not None:
            return copies
        link = copies[0][0], copies[0][1]
        for what, instead in ways(copies[0], before.get(link)):
            count += 1
            if count % part:
                continue
            if len(running) == 2:
                reap()
            read, write = os.pipe()
            pid = os.fork()
            if not pid:
                child = write
                return instead
            os.close(write)
            running.append((f"message {number}: {what}", pid, read))
        before[link] = copies[0]
        return copies

    try:
        world, _ = scenario(mutate)
    except BaseException as e:
        if child is None:
            raise
        os.write(child, f"{type(e).__name__} {e}".encode())
        os._exit(1)
    if child is not None:
        os._exit(0)
    while running:
        reap()
    return broke, count // part, world


def test_each_message_changed_in_each_way_breaks_nothing():
    """Each message here; of its ways every fourth, by turns, so that all are met. QUOTA_MUTANTS=all: all of them."""
    part = 1 if os.environ.get("QUOTA_MUTANTS") == "all" else 4
    broke, count, world = each_changed(part)
    assert not broke and count > 2400 // part, broke[:5]
    a = world.group.audit.accounts["a"]
    assert a.borrowed_us and a.borrowed_us == a.repaid_us and world.group.audit.accounts["b"].collected_us
    assert any(life.expiries for life in world.fronts["f2"].lives)


def test_a_message_that_breaks_something_is_named():
    with broken(rights=Broken.AddingRights):
        with pytest.raises((Violation, LedgerError)):
            scenario()
    with broken(rights=Broken.AnyonesRights):
        broke, _, _ = each_changed(20)
    assert broke and all(b.startswith("message ") for b in broke)


# broken rules


class Broken:
    """Each breaks one rule. `keeper`, `rights`: used instead; `ledger`: patched in."""

    class EagerKeeper(LedgerLeader):
        """Tells what was decided, not what was made."""

        def write_batch(self, now_ms):
            super().write_batch(now_ms)
            if self.pending_write:
                committed, self.committed = self.committed, self.speculative
                self.answer_requests(now_ms)
                self.committed = committed

    class HastyKeeper(LedgerLeader):
        """Writes a front off before its rights have lapsed."""

        def __init__(self, *args):
            super().__init__(*args)
            self.expiry_ms = 0.3 * TERM_MS

    class NewKeeper(LedgerLeader):
        """Takes fronts that it has not heard for silent when it takes office."""

        def is_leading(self, now_ms):
            leads = super().is_leading(now_ms)
            self.term_started_ms = float("-inf")
            return leads

    class BoldKeeper(LedgerLeader):
        """Takes a write whose end is in doubt for made."""

        def on_write_ended(self, now_ms, record, committed):
            super().on_write_ended(now_ms, record, True)

    class ForgetfulKeeper(LedgerLeader):
        """Takes what older incarnations say for the newest one's word."""

        def heard(self, now_ms, sender, ask):
            newest = self.pending.newest.get(sender[0], (0,))[0]
            super().heard(now_ms, (sender[0], max(newest, sender[1])), ask)

    class AddingRights(TokenEscrow):
        """Takes totals for further grants."""

        def apply_grant(self, now_ms, request_number, granted):
            holding = self.holdings.setdefault(granted.tenant, EscrowHolding())
            holding.granted_us += granted.granted_us

    class LastingRights(TokenEscrow):
        """Spends what has lapsed."""

        def expire_if_due(self, now_ms):
            self.expires_at_ms = max(self.expires_at_ms, now_ms + 1)

    class AnyonesRights(TokenEscrow):
        """Counts answers to older incarnations, and to other fronts."""

        def heard(self, now_ms, sender, answer):
            answer.front, answer.incarnation = self.gateway, self.incarnation
            super().heard(now_ms, sender, answer)

    class SameBookRights(TokenEscrow):
        """Uses a book again that it has sealed."""

        def seal_epoch(self):
            super().seal_epoch()
            self.epoch -= 1


def repeats(self, record):
    for change in record.changes:
        self.apply_change(change)
    self.record_number = max(self.record_number, record.no)
    return True


def adds(have, row):
    return EntryTotals(max(have.spent_us, row.spent_us), have.returned_us + row.returned_us, row.sealed)


def no_limit(self, borrower, amount_us):
    lender = max((t for t in self.accounts if t != borrower), key=lambda t: self.accounts[t].lendable_us)
    amount = min(amount_us, self.accounts[lender].lendable_us)
    return (
        pb.Change(loan=pb.Loan(id=self.last_loan_id + 1, lender=lender, borrower=borrower, amount_us=amount))
        if amount > 0 and not self.accounts[borrower].pool_us
        else None
    )


def gives_back(self, lapse):
    for tenant, row in self.epochs.get((lapse.front, lapse.incarnation, lapse.book), {}).items():
        account, left = self.accounts[tenant], row.unsettled_us
        row.returned_us, account.held_us, account.pool_us = (
            row.returned_us + left,
            account.held_us - left,
            account.pool_us + left,
        )


RULES = {
    "told before it is made": dict(keeper=Broken.EagerKeeper),
    "no wait for the term": dict(keeper=Broken.HastyKeeper),
    "no wait of a new keeper": dict(keeper=Broken.NewKeeper),
    "in doubt taken for made": dict(keeper=Broken.BoldKeeper),
    "older incarnation's word counted": dict(keeper=Broken.ForgetfulKeeper),
    "grant counted twice": dict(rights=Broken.AddingRights),
    "spent past the term": dict(rights=Broken.LastingRights),
    "a closed book granted again": dict(ledger=dict(may_grant=lambda self, *key: True)),
    "another's answer counted": dict(rights=Broken.AnyonesRights),
    "a sealed book used again": dict(rights=Broken.SameBookRights),
    "records and repayments not idempotent": dict(ledger=dict(apply=repeats)),
    "returns added, not the larger total": dict(ledger=dict(merged_totals=staticmethod(adds))),
    "limit not of the whole fleet": dict(ledger=dict(decide_loan=no_limit)),
    "overdue does not bar": dict(ledger=dict(is_overdue=lambda self, tenant: False)),
    "what a silent front held is given back": dict(ledger=dict(apply_expiry=gives_back)),
}


@contextmanager
def broken(keeper=LedgerLeader, rights=TokenEscrow, ledger=None):
    make, use = World.__init__, {"keeper": keeper, "rights": rights}
    with (
        mock.patch.multiple(Ledger, **ledger or {"VERSION": 1}, create=True),
        mock.patch.object(World, "__init__", lambda self, *a, **k: make(self, *a, **{**k, **use})),
    ):
        yield


def found(messages, most=150):
    """What finds it first: the scenario, a message changed, or a run with faults."""
    runs = [("the scenario", scenario)] + [(f"seed {s}", lambda s=s: chaos(s)) for s in range(6)]
    runs += [(f"restarts {s}", lambda s=s: chaos(s, 15, ("kill",), (0.5,))) for s in range(12)]
    some = islice(mutants(messages), 0, None, max(1, len(messages) * 18 // most))
    runs += [(name, lambda m=m: scenario(m)) for name, m in some]
    for name, run in runs:
        try:
            run()
        except (Violation, LedgerError) as e:
            return f"{name}: {e}"
    return None


@pytest.mark.parametrize("rule", RULES)
def test_a_broken_rule_is_found(rule):
    messages, _ = record()
    with broken(**RULES[rule]):
        assert found(messages)
