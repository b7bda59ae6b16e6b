"""Handovers in every order: explored exhaustively with small budgets, by random walks with larger ones."""

import pytest
from migration_broken import BROKEN_COORDINATORS, LeadsWithoutLease
from migration_explore import explore, random_walks

LONG_BUDGET = {"crash": 2, "depose": 1, "lose": 2, "duplicate": 2, "ask": 6, "tick": 8}
# The budget that detects LeadsWithoutLease.
EXPIRED_LEASE_BUDGET = {"crash": 1, "depose": 2, "lose": 0, "duplicate": 0, "ask": 16}
BROKEN_SEEDS = range(4000)
WALKS_IN_A_RUN = 600
SMALL_BUDGETS = {
    "crash-lose-ask": {"crash": 1, "depose": 0, "lose": 1, "duplicate": 0, "ask": 1, "tick": 0},
    "takeover-duplicate": {"crash": 0, "depose": 1, "lose": 0, "duplicate": 1, "ask": 0, "tick": 0},
    "two-crashes": {"crash": 2, "depose": 0, "lose": 0, "duplicate": 0, "ask": 0, "tick": 0},
    "crash-takeover": {"crash": 1, "depose": 1, "lose": 0, "duplicate": 0, "ask": 0, "tick": 0},
}


@pytest.mark.parametrize("name", SMALL_BUDGETS)
def test_all_interleavings(name, request):
    """Source a and target b crash or are taken over; c succeeds b.

    With --runs 2, all three crash, and the longest exploration is included.
    """
    is_full_run = request.config.getoption("--runs") > 1
    if name == "crash-takeover" and not is_full_run:
        pytest.skip("20 s; with --runs 2")
    result = explore(quiesce_every=50, **SMALL_BUDGETS[name], crashing="abc" if is_full_run else "ab")
    print(name, result)
    assert result["failure"] is None and result["complete"] and result["quiesced"] > 3


def test_random_walks(request):
    """Random walks with budgets that are too large to explore exhaustively find no failure."""
    seed, runs = request.config.getoption("--seed"), request.config.getoption("--runs")
    seeds = range(10_000 * seed, 10_000 * seed + WALKS_IN_A_RUN * runs)
    actions, failure = random_walks(seeds=seeds, **LONG_BUDGET)
    assert failure is None, failure
    assert actions > 20 * len(seeds)


@pytest.mark.parametrize("broken", BROKEN_COORDINATORS, ids=lambda rule: rule.__name__)
def test_random_walks_detect_a_broken_rule(broken):
    """Each broken coordinator fails within the seeds."""
    budget = LONG_BUDGET | (EXPIRED_LEASE_BUDGET if broken is LeadsWithoutLease else {})
    actions, failure = random_walks(broken, seeds=BROKEN_SEEDS, **budget)
    print(actions, failure)
    assert failure is not None
