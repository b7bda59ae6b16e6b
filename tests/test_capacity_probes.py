"""The capacity probes: the same seed gives the same run, units and limits hold, and rows are ranked by need
over budget.
"""

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
from lichenquay.testbed.scale.catalogue import PROBES, CapacityProbe
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
from lichenquay.testbed.scale.probes.virtual_gateway import VirtualGateway, make_engines
from lichenquay.testbed.scale.rows import MEASURED, NONE_TODAY, NOT_IMPLEMENTED, Row
from lichenquay.testbed.scale.sample import Sample, Stopwatch, measure_state_bytes

pytestmark = pytest.mark.together

UNITS = {"ms", "ms/s", "bytes", "B/s", "1/s", "s", "0 or 1"}
# Processor time and the interpreter's memory: these vary from run to run.
VARIABLE_QUANTITIES = (
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


def no_progress(done):
    """Ignores the progress."""


def values(samples, quantity):
    """Returns {size: values} of one quantity."""
    return {s.size: s.values for s in samples if s.quantity == quantity}


def small(monkeypatch):
    """Returns the catalogue at sizes that take a second or two."""
    monkeypatch.setattr("lichenquay.testbed.scale.probes.query_rate.ENGINES", 50)
    return [replace(probe, short=SMALL[probe.name]) for probe in PROBES if probe.short]


@pytest.mark.parametrize(
    ("measure", "sizes"),
    [
        (members.measure, (3, 5)),
        (quota.measure_gateway_escrow, (2,)),
        (quota.measure_ledger_leader, (3,)),
        (lease.measure_round_trips, (5,)),
        (lease.measure_record_sizes, (2_000,)),
        (lease.measure_lagging, (64,)),
        (starved.measure, (100,)),
        (discovery.measure, (25,)),
    ],
)
def test_the_same_seed_gives_the_same_figures_except_machine_costs(measure, sizes):
    """Messages, bytes and virtual times depend on the seed alone."""

    def measure_once():
        return [
            s for s in measure(sizes, 3, no_progress) if not any(t in s.quantity for t in VARIABLE_QUANTITIES)
        ]

    assert measure_once() == measure_once()


def test_another_seed_gives_different_events():
    """Otherwise runs with several seeds would repeat one run."""
    one, other = (members.measure((5,), seed, no_progress) for seed in (1, 2))
    assert values(one, "members.lost_0.bytes") != values(other, "members.lost_0.bytes")


@pytest.mark.parametrize("probe", PROBES, ids=lambda p: p.name)
def test_samples_match_the_catalogue_and_have_known_units(probe, monkeypatch):
    """Each quantity is sampled at each size, finite and not negative; progress rises to 1."""
    monkeypatch.setattr("lichenquay.testbed.scale.probes.query_rate.ENGINES", 50)
    monkeypatch.setattr(host, "WARM_UP_S", 0.3)
    monkeypatch.setattr(host, "MEASURED_S", 0.5)
    sizes, progress_values = SMALL[probe.name][:2], []
    samples = probe.measure(sizes, 1, progress_values.append)
    assert progress_values == sorted(progress_values) and progress_values[-1] == 1.0
    assert {s.size for s in samples} == set(sizes)
    assert {s.unit for s in samples} <= UNITS
    assert all(math.isfinite(v) and v >= 0 for s in samples for v in s.values)
    assert set(probe.models) <= {s.quantity for s in samples}


def test_sizes_ascend_to_the_planned_largest_size():
    """The held-out size is the largest; at least three smaller ones leave a degree of freedom."""
    for probe in PROBES:
        for sizes in (probe.short, probe.full):
            assert list(sizes) == sorted(set(sizes))
            assert len(sizes) >= 4 or sizes == probe.short == ()
    largest = {probe.name: probe.full[-1] for probe in PROBES}
    assert largest["controller"] == largest["discovery"] == plan.ENGINES
    assert largest["members"] == 800


def test_an_idle_gateway_polls_the_list_once_a_second():
    """The wait time of a poll is 1,000 ms."""
    samples = discovery.measure((10,), 1, no_progress)
    assert values(samples, "discovery.idle_calls") == {10: (1.0,)}


def test_a_list_of_the_planned_size_is_accepted_and_one_of_twice_the_size_rejected():
    """http.MAX_BODY_BYTES is the limit: 8 MB, which at 174 bytes an engine is 48,000 engines."""
    assert discovery.is_accepted(discovery.encode_whole_list(25_000))
    assert not discovery.is_accepted(discovery.encode_whole_list(50_000))


def test_queries_of_the_virtual_gateway_all_complete():
    """The measured controller must work: nearly all queries finish, and none is rejected."""
    gateway = VirtualGateway(make_engines(50), 1, 40.0)
    gateway.run(5_000.0)
    assert gateway.arrived > 100
    assert gateway.rejected == 0
    assert gateway.finished >= gateway.arrived - 20
    assert gateway.tick_stopwatch.calls > 0 and gateway.query_stopwatch.calls > 0


def test_the_controllers_memory_grows_with_engines():
    """Each engine takes one to four KB."""
    held = {
        s.size: s.values[0]
        for s in controller.measure((50, 150), 1, no_progress)
        if s.quantity.endswith("state")
    }
    assert 1_000 < (held[150] - held[50]) / 100 < 4_000


def test_a_record_takes_one_round_trip_and_one_write():
    """The holder and one other of three voters commit: a round trip and one write of 2 ms."""
    made = values(lease.measure_round_trips((1, 20), 1, no_progress), "lease.record_made")
    assert all(abs(t - 3.0) < 0.2 for t in made[1])
    assert all(abs(t - 22.0) < 0.2 for t in made[20])


def test_a_killed_gateway_is_detected_in_time():
    """All other gateways detect it, without loss and at 20% loss."""
    samples = members.measure((5,), 1, no_progress)
    for loss in (0, 20):
        (detected,) = values(samples, f"members.lost_{loss}.detect").values()
        assert len(detected) == members.RUNS and all(1.5 < t < 5.0 for t in detected)


def test_a_datagram_includes_its_envelope():
    """It is longer than its message by less than 80 bytes."""
    ((length,),) = values(datagram.measure((300,), 1, no_progress), "datagram.length").values()
    assert 300 < length < 380


def test_a_gateway_that_fails_to_start_raises_an_error(monkeypatch):
    """A gateway that fails must not be left out of the mean."""
    monkeypatch.setattr(host, "SETTINGS_BY_KIND", {"members": "accounts { }"})
    with pytest.raises(RuntimeError, match="without its figures"):
        host.run_gateways(2, "members")


def test_a_probe_without_sizes_is_skipped_and_its_rows_have_no_need():
    """The short form starts no processes, so that the host probe has no sizes there."""

    def measure(sizes, seed, progress):
        raise AssertionError("not wanted")

    probe = CapacityProbe("made up", measure, "things", (), (1, 2, 3, 20), {"made-up": Model.LINEAR})
    found = capacity.run(False, 1, no_progress, [probe])
    assert not found.slopes
    assert all(r.need is None for r in found.ranked if r.row.quantity is not None)


def test_one_probe_can_run_alone(monkeypatch):
    """Rows of the other probes are shown without figures."""
    monkeypatch.setattr("lichenquay.testbed.scale.catalogue.PROBES", small(monkeypatch))
    result = CliRunner().invoke(cli, ["lab", "capacity", "--only", "datagram"])
    assert result.exit_code == 0, result.output
    assert "datagram.seal" in result.output and "discovery.body" not in result.output
    assert CliRunner().invoke(cli, ["lab", "capacity", "--only", "nothing"]).exit_code == 2


def test_other_commands_do_not_import_the_probes():
    """The probes import most of the tree, which slows down every start."""
    code = "import sys, lichenquay.cli.main; sys.exit(any('testbed.scale' in name for name in sys.modules))"
    assert subprocess.run([sys.executable, "-c", code], env=child_environment(), check=False).returncode == 0


def test_a_stopwatch_counts_nested_use_once():
    """A timed part that calls another timed one does not count that time twice."""
    stopwatch = Stopwatch()
    with stopwatch.running(), stopwatch.running():
        sum(range(1_000))
    assert stopwatch.calls == 1 and stopwatch.spent_ms > 0


def test_state_bytes_counts_only_memory_still_held():
    """Memory that was released is not counted."""
    _, held = measure_state_bytes(lambda: bytearray(100_000))
    _, let_go = measure_state_bytes(lambda: len(bytearray(100_000)))
    assert 100_000 <= held < 102_000 and let_go < 2_000


def test_the_largest_size_is_predicted_before_it_is_measured():
    """The smaller sizes are measured first, in one call; then the largest alone."""
    asked = []

    def measure(sizes, seed, progress):
        asked.append(tuple(sizes))
        return [Sample(n, "made-up", "ms", (2.0 + 3.0 * n, 2.1 + 3.0 * n)) for n in sizes]

    probe = CapacityProbe(
        "made up", measure, "things", (1, 2, 3, 10), (1, 2, 3, 20), {"made-up": Model.LINEAR}
    )
    slope = capacity.run_probe(probe, False, 1, no_progress)["made-up"]
    assert asked == [(1, 2, 3), (10,)]
    assert slope.held_out.size == 10 and slope.held_out.within
    assert math.isclose(slope.held_out.predicted.value, 32.05, rel_tol=1e-6)
    assert slope.fit.points == 8 and slope.fit.largest == 10


def test_a_quantity_without_measurements_has_no_need():
    """The row is shown without a figure."""

    def measure(sizes, seed, progress):
        return [Sample(n, "made-up", "ms", ()) for n in sizes]

    probe = CapacityProbe(
        "made up", measure, "things", (1, 2, 3, 10), (1, 2, 3, 20), {"made-up": Model.LINEAR}
    )
    slopes = capacity.run_probe(probe, False, 1, no_progress)
    row = Row("front", "made up", "made-up", 9, lambda at: at("made-up", 9), "ms", 1.0, "some")
    assert capacity.rank(row, slopes).need is None and capacity.rank(row, slopes).ratio is None


def test_rows_without_a_mechanism_rank_first_then_by_need_over_budget():
    """Rows without a budget come last."""

    def ranked(title, need, budget, mechanism="some"):
        row = Row("front", title, None, None, lambda at: need, "ms", budget, mechanism)
        return capacity.Ranked(row, need, need, need)

    rows = [ranked("low", 1.0, 10.0), ranked("no budget", 9.0, None), ranked("high", 50.0, 10.0)]
    rows.append(ranked("missing", None, None, NONE_TODAY))
    assert [r.row.title for r in sorted(rows, key=capacity.sort_key)] == [
        "missing",
        "high",
        "low",
        "no budget",
    ]


def test_rows_name_quantities_of_the_catalogue():
    """Only the rows without a mechanism have no need."""
    known = {what for probe in PROBES for what in probe.models}
    assert all(row.need is not None and (row.quantity in known or row.quantity is None) for row in MEASURED)
    assert all(row.need is None and row.mechanism == NONE_TODAY for row in NOT_IMPLEMENTED)


def test_a_need_is_the_sum_of_its_parts():
    """Computed by hand: the list events of a day, with 20 sets of tables ranked again."""
    row = next(r for r in MEASURED if r.quantity == "controller.list_event")
    assert math.isclose(
        row.need(lambda what, size: 100.0), (1 + 20 * 4 / 25_000) * 100.0 * 7_000 * 3 / 86_400
    )
    assert math.isclose(plan.STATEMENTS_PER_S_PER_GATEWAY, 4_090.9, rel_tol=1e-4)


def test_the_command_writes_json_and_prints_the_ranked_table(monkeypatch, tmp_path):
    """Runs the whole command at small sizes."""
    monkeypatch.setattr("lichenquay.testbed.scale.catalogue.PROBES", small(monkeypatch))
    path = tmp_path / "capacity.json"
    result = CliRunner().invoke(cli, ["lab", "capacity", "--json", str(path)])
    assert result.exit_code == 0, result.output
    assert "none today" in result.output and "at the size" in result.output
    found = json.loads(path.read_text())
    assert found["form"] == "short" and found["seed"] == 1 and found["processor_s"] > 0
    assert len(found["rows"]) == len(MEASURED) + len(NOT_IMPLEMENTED)
    mechanisms = [row["mechanism"] for row in found["rows"]]
    assert (
        set(mechanisms[: len(NOT_IMPLEMENTED)]) == {NONE_TODAY}
        and NONE_TODAY not in mechanisms[len(NOT_IMPLEMENTED) :]
    )
    ratios = [row["ratio"] for row in found["rows"] if row["ratio"] is not None]
    assert ratios == sorted(ratios, reverse=True)
    for slope in found["slopes"]:
        assert set(slope["held_out"]) == {"size", "predicted", "measured", "within"}
        assert slope["held_out"]["size"] == max(slope["sizes"])
        assert slope["fit"] is None or slope["fit"]["low"] <= slope["fit"]["slope"] <= slope["fit"]["high"]
    beats = next(row for row in found["rows"] if row["quantity"] == "controller.beats")
    assert beats["extrapolated"] and beats["largest_run"] == 60
