"""The hand-over in every order: explored whole where that is small enough, by ways drawn by chance beyond
that."""

import pytest
from migration_broken import BROKEN, NoFence
from migration_explore import explore, walks

LONG = dict(crash=2, depose=1, lose=2, double=2, ask=6, tick=8)
MORE = {NoFence: dict(crash=1, depose=2, lose=0, double=0, ask=16)}


SMALL = {
    "crash-lose-ask": dict(crash=1, depose=0, lose=1, double=0, ask=1, tick=0),
    "takeover-double": dict(crash=0, depose=1, lose=0, double=1, ask=0, tick=0),
    "two-crashes": dict(crash=2, depose=0, lose=0, double=0, ask=0, tick=0),
    "crash-takeover": dict(crash=1, depose=1, lose=0, double=0, ask=0, tick=0),
}


@pytest.mark.parametrize("name", SMALL)
def test_all_interleavings(name, request):
    """Crashes and takeovers of giver a and taker b; c comes after b. With --runs 2 of all three, and the
    longest."""
    whole = request.config.getoption("--runs") > 1
    if name == "crash-takeover" and not whole:
        pytest.skip("20 s; with --runs 2")
    result = explore(rest_every=50, **SMALL[name], crashing="abc" if whole else "ab")
    print(name, result)
    assert result["found"] is None and result["whole"] and result["rests"] > 3


def test_ways_by_chance(request):
    seed, runs = request.config.getoption("--seed"), request.config.getoption("--runs")
    seeds = range(10_000 * seed, 10_000 * seed + 600 * runs)
    done, found = walks(seeds=seeds, **LONG)
    assert found is None, found
    assert done > 20 * len(seeds)


@pytest.mark.parametrize("broken", BROKEN, ids=lambda b: b.__name__)
def test_broken_rules_are_found(broken):
    done, found = walks(broken, seeds=range(4000), **LONG | MORE.get(broken, {}))
    print(done, found)
    assert found is not None
