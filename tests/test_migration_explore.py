"""The handover in every order: explored whole where that is small enough, by random walks beyond that."""

import pytest
from migration_broken import BROKEN, NoFence
from migration_explore import explore, random_walks

LONG_BUDGET = {"crash": 2, "depose": 1, "lose": 2, "double": 2, "ask": 6, "tick": 8}
FENCE_BUDGET = {"crash": 1, "depose": 2, "lose": 0, "double": 0, "ask": 16}  # what finds NoFence
BROKEN_SEEDS = range(4000)
WALKS_IN_A_RUN = 600
SMALL_BUDGETS = {
    "crash-lose-ask": {"crash": 1, "depose": 0, "lose": 1, "double": 0, "ask": 1, "tick": 0},
    "takeover-double": {"crash": 0, "depose": 1, "lose": 0, "double": 1, "ask": 0, "tick": 0},
    "two-crashes": {"crash": 2, "depose": 0, "lose": 0, "double": 0, "ask": 0, "tick": 0},
    "crash-takeover": {"crash": 1, "depose": 1, "lose": 0, "double": 0, "ask": 0, "tick": 0},
}


@pytest.mark.parametrize("name", SMALL_BUDGETS)
def test_all_interleavings(name, request):
    """Crashes and takeovers of source a and target b; c comes after b.

    With --runs 2 of all three, and the longest.
    """
    whole = request.config.getoption("--runs") > 1
    if name == "crash-takeover" and not whole:
        pytest.skip("20 s; with --runs 2")
    result = explore(rest_every=50, **SMALL_BUDGETS[name], crashing="abc" if whole else "ab")
    print(name, result)
    assert result["found"] is None and result["whole"] and result["rests"] > 3


def test_random_walks(request):
    """Longer than what can be explored whole."""
    seed, runs = request.config.getoption("--seed"), request.config.getoption("--runs")
    seeds = range(10_000 * seed, 10_000 * seed + WALKS_IN_A_RUN * runs)
    actions, found = random_walks(seeds=seeds, **LONG_BUDGET)
    assert found is None, found
    assert actions > 20 * len(seeds)


@pytest.mark.parametrize("broken", BROKEN, ids=lambda rule: rule.__name__)
def test_a_broken_rule_is_found(broken):
    """By random walks."""
    budget = LONG_BUDGET | (FENCE_BUDGET if broken is NoFence else {})
    actions, found = random_walks(broken, seeds=BROKEN_SEEDS, **budget)
    print(actions, found)
    assert found is not None
