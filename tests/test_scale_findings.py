"""What scale runs found: each test fails for one fault of distribution as it was."""

from dataclasses import replace

import pytest

from lichenquay.distribution.settings import Settings
from lichenquay.testbed.scale import engines
from lichenquay.testbed.scale import scenario as s
from lichenquay.testbed.scale.figures import virtual_figures_of
from lichenquay.testbed.scale.virtual_run import VirtualPlan, VirtualRunner
from lichenquay.testbed.scale.virtual_world import VirtualWorld

pytestmark = pytest.mark.together

AIM_MS = 7000.0


def test_a_snapshot_that_takes_longer_than_a_session_lasts_arrives():
    """Risk: a relay forgets who only fetches pages, so that the snapshot begins anew for ever."""
    settings = replace(Settings(), most_changes=16, snapshot_bytes_per_s=40_000.0)
    shape = s.Shape(fronts=12, engines=1000, least_zones=1)
    world = VirtualWorld(shape, settings)
    assert world.run_until(lambda: world.holder() is not None, 30_000.0)
    for entries in engines.engine_changes(0, shape.engines, shape):
        world.propose(entries)
    assert world.run_until(lambda: world.client.is_idle, 60_000.0)
    world.start_fronts(shape.front_names())
    assert world.run_until(world.settled, 12 * settings.expire_ms)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_changes_are_in_force_within_the_aim_amid_a_failover(seed):
    """A publisher, another voter and one relay of each zone are killed at once."""
    shape = s.Shape(fronts=12, engines=10, seed=seed)
    figures = virtual_figures_of(VirtualRunner(VirtualPlan(shape, [s.failover(shape, 24.0, 2.0)])).run())
    assert figures["scenarios"]["failover"]["in_force_p99_ms"] < AIM_MS
