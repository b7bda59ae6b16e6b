"""A small scale run with real processes and sockets: its figures are complete, and no rule is broken in a
failover.
"""

import json

import pytest
from click.testing import CliRunner

from lichenquay.cli import scale as command
from lichenquay.testbed.scale import engine_sweep, plans, report
from lichenquay.testbed.scale import scenario as s
from lichenquay.testbed.scale.figures import engine_figures_of

pytestmark = pytest.mark.together

GATEWAYS = 12
KEYS = {
    "fronts_hollow",
    "fronts_real",
    "processes",
    "memory_share",
    "roles",
    "slopes",
    "predicted",
    "measured",
    "config",
    "zone_start_s",
    "region_heal_s",
    "broken_rules",
}
CONFIG_KEYS = {
    "changes",
    "in_force_p50_ms",
    "in_force_p99_ms",
    "never_in_force",
    "out_of_order",
    "two_versions_after_rest",
}


def small_plan(seed, engines):
    """Returns a short run's plan at a small size."""
    shape = s.Shape(fronts=GATEWAYS, engines=20, hosts=1, voters=3, seed=seed)
    relays = tuple(shape.relay_names(zone)[0] for zone in shape.zones)
    kill = s.FaultEvent(0.3, s.FaultKind.KILL, (s.Target.LEADER, *relays), 1.0)
    scenarios = [
        s.Scenario("failover", 2.0, 4.0, [kill]),
        s.zone_start(shape, 3.0, 2.0),
        s.region_cut(shape, 4.0, 2.0),
    ]
    return plans.small(seed, GATEWAYS, scenarios)


def test_the_command_measures_sizes_runs_scenarios_and_audits(tmp_path, monkeypatch):
    """Runs the command, which writes JSON and an HTML page."""
    monkeypatch.setattr(plans, "short", small_plan)
    out = tmp_path / "figures.json"
    options = ["--real-fronts", "1", "--queries", "2", "--json", str(out), "--out", str(tmp_path / "run")]
    result = CliRunner().invoke(command.scale, options)
    assert result.exit_code == 0, result.output
    figures = json.loads(out.read_text())
    assert figures.keys() >= KEYS
    assert figures["config"].keys() >= CONFIG_KEYS
    assert figures["broken_rules"] == []
    assert (figures["fronts_hollow"], figures["fronts_real"]) == (GATEWAYS, 1)
    assert figures["queries"]["queries finished"] > 0
    assert figures["real_fronts"][0]["report"]["finished"] > 0
    assert figures["config"]["changes"] > 0 and figures["config"]["pairs"] > 0
    assert {"front", "relay", "publisher", "voter"} == figures["roles"].keys()
    for cost in figures["roles"].values():
        assert cost.keys() == {"cpu_share", "kb", "bytes_per_s", "messages_per_s"}
        assert cost["cpu_share"] > 0 and cost["bytes_per_s"] > 0
    slope = figures["slopes"]["front_messages_per_s_total"]
    assert slope["low"] <= slope["value"] <= slope["high"] and len(slope["sizes"]) == 4
    assert figures["measured"].keys() == figures["predicted"].keys() != set()
    assert figures["zone_start_s"] > 0 and figures["region_heal_s"] > 0
    page = (tmp_path / "run" / "report.html").read_text()
    assert page.count("<img") == len(report.GATEWAY_BUDGET) + 1


def test_an_engine_sweep_predicts_the_largest_number(tmp_path, monkeypatch):
    """Uses a few engines and one zone."""
    monkeypatch.setattr(engine_sweep, "WINDOW_S", 0.3)
    monkeypatch.setattr(engine_sweep, "START_WAIT_S", 1.0)
    sweep = engine_sweep.EngineSweep(tmp_path, seed=1, sizes=(10, 20, 30, 40), held_out=60)
    figures = engine_figures_of(sweep.run())
    assert figures["broken_rules"] == [] and figures["notes"] == []
    assert [one["engines"] for one in figures["engine_sizes"]] == [10, 20, 30, 40, 60]
    assert figures["slopes"]["front_kb"]["sizes"] == [10, 20, 30, 40]
    assert figures["measured"]["start_of_all_s"] > 0
    assert figures["predicted"].keys() == figures["measured"].keys()
