"""Impairment and scenarios depend on the seed alone; commands are encoded and decoded without loss."""

import pytest

from lichenquay.testbed.scale import commands, plans, scenario
from lichenquay.testbed.scale.engines import BackgroundChanges, engine_changes
from lichenquay.testbed.scale.impairment import Impairment, Rule, partition_rules
from lichenquay.testbed.scale.roles import Role, RoleCost
from lichenquay.testbed.scale.scenario import MAX_GATEWAYS_PER_ZONE, Shape, zone_of_name
from lichenquay.testbed.scale.slopes import SizeSample, fits_of, outcomes_of, predictions_of

pytestmark = pytest.mark.together


def sample_delays(seed, number=2000):
    """Returns the delays of the copies of `number` datagrams on an impaired link."""
    one = Impairment(seed)
    one.rules = [Rule(loss=0.1, delay_ms=20.0, doubled=0.1)]
    return [one.delays_for("z0", "z1") for _ in range(number)]


def test_impairment_depends_on_its_seed():
    """The same seed gives the same decisions, another seed gives others."""
    assert sample_delays("a") == sample_delays("a")
    assert sample_delays("a") != sample_delays("b")


def test_loss_and_duplication_have_their_probabilities():
    """Both lie within four standard deviations of a tenth."""
    found = sample_delays("shares")
    lost = sum(not copies for copies in found)
    doubled = sum(len(copies) == 2 for copies in found)
    deviation = (2000 * 0.1 * 0.9) ** 0.5
    assert abs(lost - 200) < 4 * deviation
    assert abs(doubled - 180) < 4 * deviation
    assert all(0.0 <= delay <= 20.0 for copies in found for delay in copies)


def test_a_partitioned_zone_reaches_only_itself():
    """The partition works both ways; other zones are not affected."""
    one = Impairment("cut")
    one.rules = partition_rules(["z1"], ["control", "z0"])
    assert one.delays_for("z1", "z1") == [0.0]
    assert one.delays_for("z1", "z0") == one.delays_for("control", "z1") == []
    assert one.delays_for("control", "z0") == [0.0]


def test_without_rules_the_network_is_not_impaired():
    """One copy is sent at once."""
    assert Impairment("none").delays_for("z0", "z1") == [0.0]


@pytest.mark.parametrize("gateways, zones", [(50, 2), (734, 2), (735, 3), (2000, 6), (4400, 12)])
def test_zones_do_not_exceed_their_maximum_size(gateways, zones):
    """4,400 gateways are 12 zones of at most 367."""
    shape = Shape(fronts=gateways)
    assert len(shape.zones) == zones
    sizes = [len(scenario.gateways_in_zone(shape, zone)) for zone in shape.zones]
    assert sum(sizes) == gateways
    assert max(sizes) == shape.largest_zone_size <= MAX_GATEWAYS_PER_ZONE
    assert {zone_of_name(name) for name in shape.control_names()} == {"control", *shape.zones}


def test_the_ordinary_day_depends_on_its_seed():
    """Its events are ordered and lie within its duration."""
    days = [scenario.ordinary_day(Shape(fronts=500, seed=seed), 30.0, 1.0) for seed in (1, 1, 2)]
    assert days[0] == days[1] != days[2]
    times = [event.at_s for event in days[0].events]
    assert times == sorted(times) and times[-1] < 30.0
    assert days[0].time_compression == pytest.approx(2880.0)


def test_a_rolling_deploy_restarts_every_gateway_once():
    """Each name is in one group."""
    shape = Shape(fronts=123)
    names = [name for e in scenario.rolling_deploy(shape, 20.0, 1.0).events for name in e.targets]
    assert sorted(names) == sorted(shape.gateway_names())


def test_both_forms_of_a_run_fit_four_sizes_and_hold_one_out():
    """The short form takes less than a minute."""
    for plan in (plans.short(1), plans.full(1)):
        assert len(set(plan.sizes)) == 4
        assert plan.held_out > max(plan.sizes)
        assert plan.held_out == plan.shape.fronts
    assert plans.short(1).seconds < 60


@pytest.mark.parametrize(
    "command",
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
def test_commands_are_decoded_as_they_were_encoded(command):
    """A command survives its encoding as a line of JSON."""
    assert commands.decode_command(commands.encode_command(command)) == command


@pytest.mark.parametrize("line", ["", "{}", "[]", '{"order": "Dance"}', '{"order": "Count", "x": 1}', "7"])
def test_an_invalid_command_is_rejected(line):
    """Every invalid line raises the same error."""
    with pytest.raises(commands.UnknownCommandError):
        commands.decode_command(line)


def test_engine_changes_depend_on_the_seed_and_stay_within_their_size():
    """Every engine is listed once; no change exceeds its size limit."""
    shape = Shape(fronts=50, engines=103)
    changes = engine_changes(0, 103, shape)
    keys = [entry.key for entries in changes for entry in entries]
    assert len(set(keys)) == len(keys) == 103
    assert changes == engine_changes(0, 103, shape)
    assert max(sum(entry.ByteSize() + 2 for entry in entries) for entries in changes) < 700


def test_background_changes_have_one_key_each():
    """The key is of the configuration or of a listed engine."""
    import random

    shape = Shape(fronts=50, engines=10)
    make, rng = BackgroundChanges(shape), random.Random(1)
    listed = {entry.key for entries in engine_changes(0, 10, shape) for entry in entries}
    for number in range(200):
        (entry,) = make(number, rng)
        assert entry.key.startswith("config/") or entry.key in listed


def sample(gateways, noise=0.0):
    """Returns a window in which the costs of gateways and relays are proportional to the gateways."""
    cost = RoleCost(
        gateways, 0.01 * gateways + 0.1 + noise, 50.0 * gateways, 1000.0 * gateways, 3.0 * gateways
    )
    return SizeSample(gateways, {Role.GATEWAY: cost, Role.RELAY: cost})


def test_only_metrics_of_every_sample_are_fitted():
    """A known line is recovered, and predicts the held-out size."""
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
