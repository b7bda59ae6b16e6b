"""The capacity probes: one seed gives one run, units and bounds hold, and rows are ranked as said."""

import json
import math
import subprocess
import sys
from dataclasses import replace

import pytest
from click.testing import CliRunner

from lichenquay.cli.main import cli
from lichenquay.load.child import child_environment
from lichenquay.testbed.scale import capacity, plan
from lichenquay.testbed.scale.catalogue import PROBES, Probe
from lichenquay.testbed.scale.fit import Model
from lichenquay.testbed.scale.probes import (
    controller,
    datagram,
    discovery,
    host,
    lease,
    members,
    quota,
    starved,
)
from lichenquay.testbed.scale.probes.virtual_gateway import VirtualDoor, make_engines
from lichenquay.testbed.scale.rows import MEASURED, MISSING, NONE_TODAY, Row
from lichenquay.testbed.scale.sample import Sample, Stopwatch, state_bytes

pytestmark = pytest.mark.together

UNITS = {"ms", "ms/s", "bytes", "B/s", "1/s", "s", "0 or 1"}
# Processor time and the interpreter's memory: these vary from run to run.
OF_THE_MACHINE = (
    "processor",
    "controller.",
    "datagram.",
    "discovery.whole_list",
    "discovery.engines",
    "members.state",
)
SMALL = {
    "controller": (20, 40, 60),
    "query rate": (20, 40, 60),
    "members": (3, 5, 8),
    "datagram": (50, 100, 200),
    "host": (2,),
    "starved": (50, 100, 200),
    "discovery": (10, 20, 40),
    "quota, a front": (1, 2, 4),
    "quota, the keeper": (2, 3, 5),
    "lease, round trips": (1, 2, 5),
    "lease, record sizes": (100, 200, 2_000),
    "lease, a voter behind": (16, 32, 64),
}


def ignore(done):
    """A progress that nobody looks at."""


def values(samples, what):
    """{size: values} of one quantity."""
    return {s.size: s.values for s in samples if s.what == what}


def small(monkeypatch):
    """The catalogue at sizes of a second or two."""
    monkeypatch.setattr("lichenquay.testbed.scale.probes.query_rate.ENGINES", 50)
    return [replace(probe, short=SMALL[probe.name]) for probe in PROBES if probe.short]


@pytest.mark.parametrize(
    ("measure", "sizes"),
    [
        (members.measure, (3, 5)),
        (quota.measure_fronts_part, (2,)),
        (quota.measure_keeper, (3,)),
        (lease.measure_round_trips, (5,)),
        (lease.measure_record_sizes, (2_000,)),
        (lease.measure_lagging, (64,)),
        (starved.measure, (100,)),
        (discovery.measure, (25,)),
    ],
)
def test_the_same_seed_gives_the_same_figures_but_for_the_machines(measure, sizes):
    """Messages, bytes and virtual times are functions of the seed."""

    def once():
        return [s for s in measure(sizes, 3, ignore) if not any(t in s.what for t in OF_THE_MACHINE)]

    assert once() == once()


def test_another_seed_gives_other_events():
    """Otherwise runs over seeds would be one run."""
    one, other = (members.measure((5,), seed, ignore) for seed in (1, 2))
    assert values(one, "members.lost_0.bytes") != values(other, "members.lost_0.bytes")


@pytest.mark.parametrize("probe", PROBES, ids=lambda p: p.name)
def test_samples_are_of_the_catalogue_and_of_sane_units(probe, monkeypatch):
    """Each quantity comes at each size, finite and not negative; progress rises to 1."""
    monkeypatch.setattr("lichenquay.testbed.scale.probes.query_rate.ENGINES", 50)
    monkeypatch.setattr(host, "WARM_S", 0.3)
    monkeypatch.setattr(host, "MEASURED_S", 0.5)
    sizes, told = SMALL[probe.name][:2], []
    samples = probe.measure(sizes, 1, told.append)
    assert told == sorted(told) and told[-1] == 1.0
    assert {s.size for s in samples} == set(sizes)
    assert {s.unit for s in samples} <= UNITS
    assert all(math.isfinite(v) and v >= 0 for s in samples for v in s.values)
    assert set(probe.models) <= {s.what for s in samples}


def test_sizes_rise_and_end_at_the_bounds_that_were_set():
    """The held-out size is the largest; at least three smaller ones leave a degree of freedom."""
    for probe in PROBES:
        for sizes in (probe.short, probe.full):
            assert list(sizes) == sorted(set(sizes))
            assert len(sizes) >= 4 or sizes == probe.short == ()
    largest = {probe.name: probe.full[-1] for probe in PROBES}
    assert largest["controller"] == largest["discovery"] == plan.ENGINES
    assert largest["members"] == 800


def test_a_front_asks_for_the_list_once_a_second():
    """As its patience says, of 1,000 ms."""
    samples = discovery.measure((10,), 1, ignore)
    assert values(samples, "discovery.idle_calls") == {10: (1.0,)}


def test_a_list_of_the_size_to_design_for_is_read_and_one_of_twice_that_refused():
    """http.MAX_BODY_BYTES bounds it: 8 MB, at 174 bytes an engine 48,000 engines."""
    assert discovery.accepted(discovery.whole_list(25_000))
    assert not discovery.accepted(discovery.whole_list(50_000))


def test_queries_of_the_virtual_door_all_end():
    """What is measured is a controller that works: nearly all queries finish, and none is sent twice."""
    door = VirtualDoor(make_engines(50), 1, 40.0)
    door.play(5_000.0)
    assert door.arrived > 100
    assert door.refused == 0
    assert door.finished >= door.arrived - 20
    assert door.beats.calls > 0 and door.queries.calls > 0


def test_the_controllers_state_grows_by_engines():
    """By one to four KB each."""
    held = {s.size: s.values[0] for s in controller.measure((50, 150), 1, ignore) if s.what.endswith("state")}
    assert 1_000 < (held[150] - held[50]) / 100 < 4_000


def test_a_record_takes_a_round_trip_and_the_disk():
    """Of three voters the holder and one other: a round trip and one write of 2 ms."""
    made = values(lease.measure_round_trips((1, 20), 1, ignore), "lease.record_made")
    assert all(abs(t - 3.0) < 0.2 for t in made[1])
    assert all(abs(t - 22.0) < 0.2 for t in made[20])


def test_a_killed_front_is_seen_within_the_bound():
    """By all others, at no loss and at 20% lost."""
    samples = members.measure((5,), 1, ignore)
    for loss in (0, 20):
        (detected,) = values(samples, f"members.lost_{loss}.detect").values()
        assert len(detected) == members.RUNS and all(1.5 < t < 5.0 for t in detected)


def test_a_datagram_has_its_envelope():
    """Longer than its message by under 80 bytes."""
    ((length,),) = values(datagram.measure((300,), 1, ignore), "datagram.length").values()
    assert 300 < length < 380


def test_a_front_that_cannot_talk_is_told_so(monkeypatch):
    """Not left out of the mean."""
    monkeypatch.setattr(host, "KINDS", {"members": "accounts { }"})
    with pytest.raises(RuntimeError, match="without its figures"):
        host.talk(2, "members")


def test_a_probe_without_sizes_is_left_out_and_its_rows_have_no_need():
    """The short form has no processes of its own."""

    def measure(sizes, seed, progress):
        raise AssertionError("not wanted")

    probe = Probe("made up", measure, "things", (), (1, 2, 3, 20), {"made-up": Model.LINEAR})
    found = capacity.run(False, 1, ignore, [probe])
    assert not found.slopes
    assert all(r.need is None for r in found.ranked if r.row.what is not None)


def test_one_probe_can_be_run_alone(monkeypatch):
    """Rows of the others stand without figures."""
    monkeypatch.setattr("lichenquay.testbed.scale.catalogue.PROBES", small(monkeypatch))
    result = CliRunner().invoke(cli, ["lab", "capacity", "--only", "datagram"])
    assert result.exit_code == 0, result.output
    assert "datagram.seal" in result.output and "discovery.body" not in result.output
    assert CliRunner().invoke(cli, ["lab", "capacity", "--only", "nothing"]).exit_code == 2


def test_other_commands_start_without_the_probes():
    """They reach over the whole tree."""
    code = "import sys, lichenquay.cli.main; sys.exit(any('testbed.scale' in name for name in sys.modules))"
    assert subprocess.run([sys.executable, "-c", code], env=child_environment(), check=False).returncode == 0


def test_a_stopwatch_counts_nested_use_once():
    """A part that calls another timed one does not count that time twice."""
    stopwatch = Stopwatch()
    with stopwatch.running(), stopwatch.running():
        sum(range(1_000))
    assert stopwatch.calls == 1 and stopwatch.spent_ms > 0


def test_state_counts_what_is_held():
    """And not what was let go."""
    _, held = state_bytes(lambda: bytearray(100_000))
    _, let_go = state_bytes(lambda: len(bytearray(100_000)))
    assert 100_000 <= held < 102_000 and let_go < 2_000


def test_the_largest_size_is_foretold_before_it_is_run():
    """The smaller sizes are measured first, in one call; then the largest alone."""
    asked = []

    def measure(sizes, seed, progress):
        asked.append(tuple(sizes))
        return [Sample(n, "made-up", "ms", (2.0 + 3.0 * n, 2.1 + 3.0 * n)) for n in sizes]

    probe = Probe("made up", measure, "things", (1, 2, 3, 10), (1, 2, 3, 20), {"made-up": Model.LINEAR})
    slope = capacity.run_probe(probe, False, 1, ignore)["made-up"]
    assert asked == [(1, 2, 3), (10,)]
    assert slope.held_out.size == 10 and slope.held_out.within
    assert math.isclose(slope.held_out.predicted.value, 32.05, rel_tol=1e-6)
    assert slope.fit.points == 8 and slope.fit.largest == 10


def test_a_quantity_that_was_never_seen_has_no_need():
    """Nothing is made up for it: the row stands without a figure."""

    def measure(sizes, seed, progress):
        return [Sample(n, "made-up", "ms", ()) for n in sizes]

    probe = Probe("made up", measure, "things", (1, 2, 3, 10), (1, 2, 3, 20), {"made-up": Model.LINEAR})
    slopes = capacity.run_probe(probe, False, 1, ignore)
    row = Row("front", "made up", "made-up", 9, lambda at: at("made-up", 9), "ms", 1.0, "some")
    assert capacity.rank(row, slopes).need is None and capacity.rank(row, slopes).ratio is None


def test_rows_are_ranked_none_today_first_then_by_need_over_budget():
    """Rows without a budget come last."""

    def ranked(title, need, budget, mechanism="some"):
        row = Row("front", title, None, None, lambda at: need, "ms", budget, mechanism)
        return capacity.Ranked(row, need, need, need)

    rows = [ranked("low", 1.0, 10.0), ranked("no budget", 9.0, None), ranked("high", 50.0, 10.0)]
    rows.append(ranked("missing", None, None, NONE_TODAY))
    assert [r.row.title for r in sorted(rows, key=capacity.order)] == ["missing", "high", "low", "no budget"]


def test_rows_name_quantities_of_the_catalogue():
    """And only the missing ones have no need."""
    known = {what for probe in PROBES for what in probe.models}
    assert all(row.need is not None and (row.what in known or row.what is None) for row in MEASURED)
    assert all(row.need is None and row.mechanism == NONE_TODAY for row in MISSING)


def test_needs_are_sums_of_their_parts():
    """By hand: list events a day, with 20 sets of tables ranked anew."""
    row = next(r for r in MEASURED if r.what == "controller.list_event")
    assert math.isclose(
        row.need(lambda what, size: 100.0), (1 + 20 * 4 / 25_000) * 100.0 * 7_000 * 3 / 86_400
    )
    assert math.isclose(plan.STATEMENTS_PER_S_A_FRONT, 4_090.9, rel_tol=1e-4)


def test_the_command_writes_json_and_prints_the_ranked_table(monkeypatch, tmp_path):
    """At small sizes, whole."""
    monkeypatch.setattr("lichenquay.testbed.scale.catalogue.PROBES", small(monkeypatch))
    path = tmp_path / "capacity.json"
    result = CliRunner().invoke(cli, ["lab", "capacity", "--json", str(path)])
    assert result.exit_code == 0, result.output
    assert "none today" in result.output and "at the size" in result.output
    found = json.loads(path.read_text())
    assert found["form"] == "short" and found["seed"] == 1 and found["processor_s"] > 0
    assert len(found["rows"]) == len(MEASURED) + len(MISSING)
    mechanisms = [row["mechanism"] for row in found["rows"]]
    assert set(mechanisms[: len(MISSING)]) == {NONE_TODAY} and NONE_TODAY not in mechanisms[len(MISSING) :]
    ratios = [row["ratio"] for row in found["rows"] if row["ratio"] is not None]
    assert ratios == sorted(ratios, reverse=True)
    for slope in found["slopes"]:
        assert set(slope["held_out"]) == {"size", "predicted", "measured", "within"}
        assert slope["held_out"]["size"] == max(slope["sizes"])
        assert slope["fit"] is None or slope["fit"]["low"] <= slope["fit"]["slope"] <= slope["fit"]["high"]
    beats = next(row for row in found["rows"] if row["quantity"] == "controller.beats")
    assert beats["extrapolated"] and beats["largest_run"] == 60
