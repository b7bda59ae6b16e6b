"""A scale run in virtual time: every scenario ends with all gateways at one version, and depends on the seed
alone.
"""

from functools import cache

import pytest

from lichenquay.testbed.scale import scenario as s
from lichenquay.testbed.scale.figures import virtual_figures_of
from lichenquay.testbed.scale.virtual_run import VirtualPlan, VirtualRunner

pytestmark = pytest.mark.together

SHAPE = s.Shape(fronts=12, engines=20, seed=3)
SCENARIOS = [
    s.failover(SHAPE, 8.0, 2.0),
    s.publisher_paused(9.0, 2.0),
    s.disk_faults(9.0, 2.0),
    s.zone_start(SHAPE, 5.0, 2.0),
    s.region_cut(SHAPE, 8.0, 2.0),
    s.bad_network(8.0, 2.0),
    s.slow_reader(SHAPE, 6.0, 2.0),
    s.rack_lost(SHAPE, 8.0, 2.0),
    s.rolling_deploy(SHAPE, 10.0, 2.0),
    s.ordinary_day(SHAPE, 8.0, 2.0),
]


@cache
def run_figures():
    """Returns the figures of a run of all scenarios."""
    return virtual_figures_of(VirtualRunner(VirtualPlan(SHAPE, SCENARIOS, 2.0)).run())


def test_no_rule_is_broken_in_any_scenario():
    """Each fault was injected, and all gateways settled after it."""
    figures = run_figures()
    assert figures["broken_rules"] == []
    assert figures["notes"] == []
    assert set(figures["scenarios"]) == {"calm", *(one.name for one in SCENARIOS)}
    for name, one in figures["scenarios"].items():
        assert one["settled"], name
        assert one["changes"] > 0, name
        assert one["done"] or name == "calm"


def test_a_region_and_a_zone_recover():
    """Virtual seconds; the target for a zone's start is 20 s."""
    figures = run_figures()
    assert 0 < figures["region_heal_s"] < 10
    assert 0 < figures["zone_start_s"] < 20


def test_the_same_seed_gives_the_same_run():
    """Only the processor time differs."""
    first, again = (short_run(5) for _ in range(2))
    assert first.pop("cpu_s") > 0 and again.pop("cpu_s") > 0
    assert first == again


def short_run(seed):
    """Returns the figures of a run in which leadership and loss are random."""
    shape = s.Shape(fronts=4, engines=10, seed=seed)
    scenarios = [s.failover(shape, 8.0, 2.0), s.bad_network(6.0, 2.0)]
    return virtual_figures_of(VirtualRunner(VirtualPlan(shape, scenarios, 2.0)).run())
