"""The ledger's leader with gateways: grants, loans, and rejected messages."""

from random import Random

import pytest
from quota_world import World, tenant_terms

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.ledger_leader import LedgerLeader
from lichenquay.testbed.quotas import compare

MS = 1000  # microseconds per millisecond
SENDER = ("f0", 1)


def run_traffic(world, duration_ms, rates, work_ms=20):
    """Sends queries at random times. `rates`: by (gateway, tenant), queries per second."""
    end_ms = world.now + duration_ms
    random = Random(7)
    while world.now < end_ms:
        world.run(world.now + 50)
        for (name, tenant), rate in rates.items():
            if random.random() < rate / 20:
                spent_ms = work_ms * (0.5 + random.random())
                world.query(world.gateways[name], tenant, work_ms, spent_ms)


def test_tokens_move_to_the_gateway_that_receives_the_queries():
    """In the second part there are more queries than tokens, and the whole quota serves one gateway."""
    world = World(5, 4, [tenant_terms("a", bucket=800, limit=0)])
    world.group.elect("f0")
    world.run(1000)
    run_traffic(world, 10000, {("f2", "a"): 2})
    assert world.over_quota.get("a", 0) <= 2  # while the first requests are in flight
    run_traffic(world, 16000, {("f3", "a"): 12})
    before = world.within_quota["a"]
    run_traffic(world, 10000, {("f3", "a"): 12})
    assert world.within_quota["a"] - before >= 0.9 * 1000 / 20
    assert world.group.ledger.accounts["a"].borrowed_us == 0


@pytest.mark.parametrize("under_pressure, lends", [(1, True), (2, False)])
def test_nothing_is_lent_when_half_of_the_gateways_are_under_pressure(under_pressure, lends):
    """There are four gateways."""
    world = World(5, 4, [tenant_terms("a"), tenant_terms("b")])
    world.group.elect("f0")
    for i in range(under_pressure):
        world.gateways[f"f{3 - i}"].escrow.under_pressure = True
    run_traffic(world, 5000, {("f0", "a"): 20})
    assert (world.group.ledger.accounts["a"].borrowed_us > 0) == lends


def test_a_gateway_under_pressure_borrows_nothing_itself():
    """It has no room for work over quota."""
    world = World(5, 4, [tenant_terms("a"), tenant_terms("b")])
    world.group.elect("f0")
    world.gateways["f3"].escrow.under_pressure = True
    run_traffic(world, 5000, {("f3", "a"): 20})
    assert world.group.ledger.accounts["a"].borrowed_us == 0


def test_a_lender_in_need_is_repaid_and_its_debtor_does_not_starve():
    """Both have queries for more than their rates."""
    world = World(9, 3, [tenant_terms("a"), tenant_terms("b", limit=0)])
    world.group.elect("f0")
    run_traffic(world, 6000, {("f0", "a"): 20})
    lender = world.group.ledger.accounts["b"]
    assert lender.receivable_us > 50 * MS
    before = dict(world.within_quota)
    run_traffic(world, 20000, {("f0", "a"): 20, ("f1", "b"): 20})
    assert lender.receivable_us == 0
    admitted = {tenant: world.within_quota[tenant] - before.get(tenant, 0) for tenant in "ab"}
    assert admitted["b"] >= 0.8 * 2000 / 20, admitted
    assert admitted["a"] >= 0.4 * 2000 / 20, admitted


def reported_row(tenant, known, spent, epoch=1):
    """Returns a row of a request, with amounts in microseconds."""
    return pb.Row(tenant=tenant, book=epoch, known_us=known, spent_us=spent)


def test_implausible_and_misdirected_requests_are_counted():
    """They do not change the ledger."""
    world = World(1, 1, [tenant_terms("a")])
    leader = world.gateways["f0"].leader
    leader.on_message(0.0, SENDER, pb.Ask(book=1, no=1))
    assert leader.misdirected_requests == 1
    assert leader.status() == {}
    world.group.elect("f0")
    for implausible in (
        pb.Ask(book=0, no=1),
        pb.Ask(book=1, no=0),
        pb.Ask(book=1, no=1, rows=[reported_row("a", 1, 2)]),
        pb.Ask(book=1, no=1, rows=[reported_row("a", 1, 1, epoch=2)]),
        pb.Ask(book=2, no=1, rows=[reported_row("a", 1, 1)]),
        pb.Ask(book=1, no=1, rows=[reported_row("a", 0, 0), reported_row("a", 0, 0)]),
    ):
        leader.on_message(0.0, SENDER, implausible)
    leader.on_message(
        0.0, SENDER, pb.Ask(book=1, no=1, rows=[reported_row("a", 5, 5), reported_row("nobody", 5, 5)])
    )
    world.run(500)
    assert leader.implausible_messages == 6
    assert world.group.ledger.accounts["a"].spent_us == 0
    assert isinstance(leader, LedgerLeader)
    assert set(leader.status()) == {"a"}


def test_a_ledger_that_cannot_be_read_is_not_overwritten():
    """The leader reports why it does not lead."""
    world = World(1, 1, [tenant_terms("a")])
    world.group.states[0] = pb.State(version=7).SerializeToString()
    world.group.elect("f0")
    world.run(2000)
    leader = world.gateways["f0"].leader
    assert "version 7" in leader.last_error
    assert leader.committed is None
    assert not world.group.log


def test_escrow_is_nearer_to_one_bucket_than_random_shares_if_traffic_is_uneven():
    """Compares the share of queries within quota that are judged to be over quota."""
    ways = compare(3, 15.0, 2500.0)
    for tenant in ("one front", "moves"):
        by_chance = ways["by chance (today)"][tenant]["within_judged_beyond"]
        by_escrow = ways["by rights"][tenant]["within_judged_beyond"]
        assert by_escrow[2] < 0.02 < 0.1 < by_chance[1]
