"""Impairment and scenarios are the same for the same seed; orders arrive as they were given."""

import pytest

from lichenquay.testbed.scale import commands, plans, scenario
from lichenquay.testbed.scale.engines import TrickleEntries, engine_changes
from lichenquay.testbed.scale.impairment import Impairment, Rule, cut_off
from lichenquay.testbed.scale.roles import Role, RoleCost
from lichenquay.testbed.scale.scenario import MOST_FRONTS_OF_ZONE, Shape, zone_of_name
from lichenquay.testbed.scale.slopes import SizeSample, fits_of, outcomes_of, predictions_of

pytestmark = pytest.mark.together


def fates(seed, number=2000):
    """What happens to so many datagrams on a bad link."""
    one = Impairment(seed)
    one.rules = [Rule(loss=0.1, delay_ms=20.0, doubled=0.1)]
    return [one.delays_of("z0", "z1") for _ in range(number)]


def test_impairment_is_by_its_seed():
    """The same seed gives the same fates, another one others."""
    assert fates("a") == fates("a")
    assert fates("a") != fates("b")


def test_loss_and_doubling_have_their_shares():
    """Within four standard deviations of a tenth."""
    found = fates("shares")
    lost = sum(not copies for copies in found)
    doubled = sum(len(copies) == 2 for copies in found)
    deviation = (2000 * 0.1 * 0.9) ** 0.5
    assert abs(lost - 200) < 4 * deviation
    assert abs(doubled - 180) < 4 * deviation
    assert all(0.0 <= delay <= 20.0 for copies in found for delay in copies)


def test_a_cut_zone_talks_within_itself_only():
    """Both ways; others talk on."""
    one = Impairment("cut")
    one.rules = cut_off(["z1"], ["control", "z0"])
    assert one.delays_of("z1", "z1") == [0.0]
    assert one.delays_of("z1", "z0") == one.delays_of("control", "z1") == []
    assert one.delays_of("control", "z0") == [0.0]


def test_no_rule_leaves_the_network_alone():
    """One copy, at once."""
    assert Impairment("none").delays_of("z0", "z1") == [0.0]


@pytest.mark.parametrize("fronts, zones", [(50, 2), (734, 2), (735, 3), (2000, 6), (4400, 12)])
def test_zones_hold_what_a_zone_may(fronts, zones):
    """4,400 fronts are 12 zones of 367 at most."""
    shape = Shape(fronts=fronts)
    assert len(shape.zones) == zones
    sizes = [len(scenario.fronts_in(shape, zone)) for zone in shape.zones]
    assert sum(sizes) == fronts
    assert max(sizes) == shape.fronts_of_zone <= MOST_FRONTS_OF_ZONE
    assert {zone_of_name(name) for name in shape.control_names()} == {"control", *shape.zones}


def test_the_ordinary_day_is_by_its_seed():
    """Its events lie within its time, in order."""
    days = [scenario.ordinary_day(Shape(fronts=500, seed=seed), 30.0, 1.0) for seed in (1, 1, 2)]
    assert days[0] == days[1] != days[2]
    times = [event.at_s for event in days[0].events]
    assert times == sorted(times) and times[-1] < 30.0
    assert days[0].compressed == pytest.approx(2880.0)


def test_a_rolling_deploy_restarts_every_front_once():
    """Each name in one group."""
    shape = Shape(fronts=123)
    names = [name for e in scenario.rolling_deploy(shape, 20.0, 1.0).events for name in e.targets]
    assert sorted(names) == sorted(shape.front_names())


def test_both_forms_of_a_run_fit_four_sizes_and_hold_one_out():
    """As the aims ask."""
    for plan in (plans.short(1), plans.full(1)):
        assert len(set(plan.sizes)) == 4
        assert plan.held_out > max(plan.sizes)
        assert plan.held_out == plan.shape.fronts
    assert plans.short(1).seconds < 60


@pytest.mark.parametrize(
    "order",
    [
        commands.StartFronts(["z0-f0"]),
        commands.StopFronts([]),
        commands.ReadSlowly(["z0-f0"], True),
        commands.Impair([Rule(loss=0.5), Rule("z0", "z1", cut=True)]),
        commands.FailDisk(full=True),
        commands.Count(),
        commands.End(),
    ],
)
def test_orders_arrive_as_they_were_given(order):
    """Over a line of JSON."""
    assert commands.order_of(commands.line_of(order)) == order


@pytest.mark.parametrize("line", ["", "{}", "[]", '{"order": "Dance"}', '{"order": "Count", "x": 1}', "7"])
def test_what_is_no_order_is_refused(line):
    """One error for all of it."""
    with pytest.raises(commands.UnknownOrderError):
        commands.order_of(line)


def test_engines_are_listed_by_seed_and_within_a_change():
    """Every engine once; no change over its bytes."""
    shape = Shape(fronts=50, engines=103)
    changes = engine_changes(0, 103, shape)
    keys = [entry.key for entries in changes for entry in entries]
    assert len(set(keys)) == len(keys) == 103
    assert changes == engine_changes(0, 103, shape)
    assert max(sum(entry.ByteSize() + 2 for entry in entries) for entries in changes) < 700


def test_the_trickle_changes_one_key_at_a_time():
    """Of the configuration or of an engine that is listed."""
    import random

    shape = Shape(fronts=50, engines=10)
    make, rng = TrickleEntries(shape), random.Random(1)
    listed = {entry.key for entries in engine_changes(0, 10, shape) for entry in entries}
    for number in range(200):
        (entry,) = make(number, rng)
        assert entry.key.startswith("config/") or entry.key in listed


def sample(fronts, noise=0.0):
    """A window in which fronts and relays cost as much as there are fronts."""
    cost = RoleCost(fronts, 0.01 * fronts + 0.1 + noise, 50.0 * fronts, 1000.0 * fronts, 3.0 * fronts)
    return SizeSample(fronts, {Role.FRONT: cost, Role.RELAY: cost})


def test_slopes_and_predictions_are_of_what_every_sample_has():
    """A line is found again, and foretells the held-out size."""
    fits = fits_of([sample(n, noise) for n, noise in ((10, 0.001), (20, -0.001), (40, 0.001), (80, 0.0))])
    assert set(fits) == {
        f"{role}_{cost}_total"
        for role in ("front", "relay")
        for cost in ("cpu_share", "kb", "bytes_per_s", "messages_per_s")
    }
    assert fits["front_cpu_share_total"].low < 0.01 < fits["front_cpu_share_total"].high
    outcomes = outcomes_of(predictions_of(fits, 160), [sample(160)])
    assert outcomes["front_cpu_share_total"].holds
    wrong = outcomes_of(predictions_of(fits, 160), [sample(160, 5.0)])
    assert not wrong["front_cpu_share_total"].holds
    assert fits_of([]) == {} and fits_of([sample(10)]) == {}
