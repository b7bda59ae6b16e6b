"""Tests of the testbed: the emulated engine against theory and its own bounds, the audit against gateways
that break one rule each, and whole runs of the real gateway.
"""

import json
import subprocess
import sys
from types import SimpleNamespace

import numpy as np
import pyarrow.parquet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load.task import RUNNING, Task, decode_statement, encode_statement
from lichenquay.testbed import audit
from lichenquay.testbed.engine import FULL, Engine, result_rows
from lichenquay.testbed.trial import trial
from lichenquay.testbed.world import ROOT, World


def engine_settings(**changes):
    """Returns engine settings without limits or extra costs, with these changes."""
    defaults = dict(
        cores=1,
        memory_mb=1e9,
        most_open=10**9,
        warm_tables=0,
        cold_table=0.0,
        spill=0.0,
        cold_ms=0.0,
        cold_share=1.0,
        cold_multiple=3.0,
        fall_ms=1000.0,
    )
    return SimpleNamespace(**{**defaults, **changes})


# the engine model


@pytest.mark.parametrize("load", [0.3, 0.6, 0.8])
def test_mean_time_under_processor_sharing_matches_theory(load):
    """Checks the mean time of M/G/1-PS, E[S] / (1 - load) for any distribution of work (Kleinrock 1976)."""
    means, task_count = [], 2500
    for seed in range(16):
        rng, engine, tasks = np.random.default_rng([seed, 7]), Engine("e", engine_settings()), []
        for arrival_ms, work in zip(
            np.cumsum(rng.exponential(10 / load, task_count)),
            rng.lognormal(np.log(10) - 0.5, 1.0, task_count),
            strict=True,
        ):
            tasks.append(Task(f"{len(tasks)}", "g", float(work)))
            engine.start(float(arrival_ms), tasks[-1])
        engine.advance(1e9)
        means.append(np.mean([t.ended_ms - t.submitted_ms for t in tasks[200:]]))
    expected, half_width = 10 / (1 - load), 2.95 * np.std(means, ddof=1) / 4  # 99 % (t, 15 degrees)
    assert abs(np.mean(means) - expected) < half_width and half_width < 0.2 * expected


def test_spilling_cold_tables_and_waits_add_the_specified_cost():
    """Checks the times of queries that spill, load cold tables, or wait for memory or for a load."""
    engine = Engine("e", engine_settings(cores=4, memory_mb=100, spill=1.0, cold_table=0.5, warm_tables=1))

    def elapsed_ms(now, task):
        engine.start(now, task)
        engine.advance(now + 1000)
        return task.ended_ms - now

    assert elapsed_ms(0, Task("a", "g", 100)) == pytest.approx(100)
    assert elapsed_ms(1000, Task("b", "g", 100, 80, grant_mb=40)) == pytest.approx(150)  # half of it spills
    assert elapsed_ms(2000, Task("c", "g", 100, tables="1")) == pytest.approx(150)  # its tables are cold
    assert elapsed_ms(3000, Task("d", "g", 100, tables="1")) == pytest.approx(100)
    assert elapsed_ms(4000, Task("f", "g", 100, tables="2")) == pytest.approx(150) and elapsed_ms(
        5000, Task("g", "g", 100, tables="1")
    ) == pytest.approx(150)
    first, second = Task("h", "g", 100, 80, grant_mb=80), Task("i", "g", 100, 80, grant_mb=80)
    engine.start(6000, first)
    engine.start(6000, second)
    assert (
        second.wait_reason == "memory"
        and engine.take_progress_event(6000, second) == ("held", 1)
        and engine.take_progress_event(6001, second) is None
    )
    engine.advance(7000)
    assert second.ended_ms == pytest.approx(6200)
    load, reader = Task("j", "g", 100, tables="7", load=True), Task("k", "g", 10, tables="7")
    engine.start(8000, load)
    engine.start(8000, reader)
    assert reader.wait_reason == "load" and engine.take_progress_event(8000, reader) == ("held", 2)
    engine.advance(9000)
    assert reader.started_ms == load.ended_ms == pytest.approx(8150)


def test_cold_engine_warms_up_and_fails_when_overloaded():
    """Checks that capacity rises with age, and that only a cold engine records "fell" under too much work."""
    recorded = []
    engine = Engine(
        "e",
        engine_settings(cores=2, cold_ms=1000, cold_share=0.25, fall_ms=500),
        0.0,
        lambda kind, ref, **facts: recorded.append(kind),
    )
    assert (
        engine.capacity(0) == 0.25
        and engine.capacity(500) == pytest.approx(0.625)
        and engine.capacity(2000) == 1
    )
    for i in range(8):
        engine.start(1.0, Task(f"{i}", "g", 100))
    assert "fell" in recorded  # the bound is 750 ms of work and a little more in the first half second
    recorded.clear()
    engine = Engine(
        "e", engine_settings(cores=2, cold_ms=1000), None, lambda kind, ref, **facts: recorded.append(kind)
    )
    for i in range(50):
        engine.start(1.0, Task(f"{i}", "g", 100))
    assert "fell" not in recorded


@settings(max_examples=120, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.floats(0, 80),
            st.floats(0.1, 200),
            st.floats(0, 90),
            st.integers(1, 6),
            st.sampled_from(["", "1", "2"]),
            st.booleans(),
            st.sampled_from(["start", "forget", "rank"]),
        ),
        max_size=40,
    )
)
def test_engine_invariants_hold_for_any_order_of_events(events):
    """Memory is overdrawn by a single query only, rates fit the cores, a table has one load at a time, and
    all queries end.
    """
    engine, now, tasks = (
        Engine(
            "e",
            engine_settings(cores=3, memory_mb=100, most_open=12, warm_tables=1, cold_table=0.3, spill=0.5),
        ),
        0.0,
        [],
    )
    for i, (gap, work, memory, threads, tables, load, action) in enumerate(events):
        now += gap
        if action == "start":
            task = Task(f"{i}", "g", work, memory, threads, tables=tables, load=load, grant_mb=memory)
            if engine.start(now, task) != FULL:
                tasks.append(task)
        elif tasks and action == "forget":
            engine.advance(now)
            engine.forget(tasks[i % len(tasks)])
        else:
            engine.set_rank(now, f"{i % 7}", i % 4)
        assert engine.used_mb <= 100 + 1e-6 or len(engine.running) == 1
        assert sum(engine.work_rates()) <= 3 + 1e-9 and len(engine.running) + len(engine.queue) <= 12
        assert abs(engine.used_mb - sum(t.grant_mb for t in engine.running)) < 1e-6
        for loaded in {t.tables for t in engine.running if t.load and t.tables}:
            assert sum(t.tables == loaded and t.load for t in engine.running) == 1
    engine.advance(now + 1e6)
    assert (
        not engine.running
        and not engine.queue
        and abs(engine.used_mb) < 1e-6
        and all(t.outcome != RUNNING for t in tasks)
    )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.floats(0.001, 1e5),
    st.floats(0, 1e5),
    st.integers(1, 99),
    st.integers(0, 400),
    st.integers(1, 10**6),
    st.booleans(),
)
def test_statement_round_trips_the_real_need(work, memory, threads, rows, tables, load):
    """The emulated engine reads from the statement what the client wrote into it."""
    task = Task("00" * 8, "g", work, memory, threads, rows, str(tables), load)
    parsed = decode_statement(task.ref, "g", encode_statement(task), 0.0, 1)
    assert abs(parsed.work_ms - work) < 0.001 and abs(parsed.memory_mb - memory) < 0.06
    assert (parsed.threads, parsed.rows, parsed.tables, parsed.load) == (threads, rows, str(tables), load)
    assert len(result_rows(parsed, "e")) == rows


# the audit


@pytest.mark.parametrize(
    "fault, check",
    [
        ("silent", audit.NO_ANSWER),
        ("twice", audit.ANSWERED_TWICE),
        ("rows", audit.UNKNOWN_ROWS),
        ("runs twice", audit.MUTATION_RUN_TWICE),
        ("copies", audit.CONCURRENT_SUBMISSIONS),
        ("ignores drains", audit.SENT_AFTER_DRAIN),
        ("one engine", audit.COLD_ENGINE_OVERLOADED),
        ("makes up", audit.COMPLETED_WITHOUT_RUN),
        ("late", audit.ANSWERED_LATE),
        ("strange", audit.UNASKED_ANSWERS),
        ("none", None),
    ],
)
def test_audit_finds_a_gateway_that_breaks_the_checked_rule(tmp_path, fault, check):
    """Guards against an audit that cannot fail."""
    is_overload = fault == "one engine"
    testbed = read_testbed(
        f"load {{ seconds: 2 rate: {400 if is_overload else 80} workers: 1 connections: 4 }} "
        f"engines {{ cold_multiple: {0.3 if is_overload else 3} }}"
        'groups { name: "status" target_ms: 500 timeout_ms: 900 threads: 1 share: 3 work_ms: 8 rows: 3 '
        "memory_mb: 1 }"
        'groups { name: "manifest" effect: MUTATING target_ms: 500 timeout_ms: 900 threads: 1 share: 2 '
        "work_ms: 8 rows: 1 memory_mb: 1 }"
        + {
            "one engine": "faults { kind: SUCCEED engine: 3 at_ms: 300 }",
            "ignores drains": "faults { kind: DRAIN engine: 1 at_ms: 300 for_ms: 5000 }",
        }.get(fault, "")
    )
    figures = trial(testbed, tmp_path, "lichenquay.testbed.faulty_gateway", (fault,))
    names = {finding.partition(":")[0] for finding in figures["broken_rules"]}
    assert check in names if check else not names, figures["broken_rules"]


def test_truncated_last_ledger_line_is_dropped_and_other_damage_raises(tmp_path):
    """A killed emulator may leave half a last line; damage elsewhere isn't expected and must not pass."""
    path = tmp_path / "l"
    path.write_text('{"ms": 1, "kind": "post", "engine": "e", "ref": "r"}\n{"ms": 2, "ki')
    assert len(audit.read_ledger(path)) == 1
    path.write_text('{"ms": 1\n{"ms": 2, "kind": "end"}\n')
    with pytest.raises(ValueError, match="line 1 cannot be read"):
        audit.read_ledger(path)


# whole runs

FAULTS = """faults { kind: SLOW engine: 0 at_ms: 500 for_ms: 800 amount: 0.5 }
faults { kind: PAUSE engine: 1 at_ms: 900 for_ms: 350 }
faults { kind: LOSE engine: 2 at_ms: 600 for_ms: 1500 amount: 0.1 }
faults { kind: SPOIL engine: 0 at_ms: 600 for_ms: 1500 amount: 0.1 }
faults { kind: RESET engine: 1 at_ms: 1300 for_ms: 1200 amount: 0.1 }
faults { kind: DRAIN engine: 2 at_ms: 1500 for_ms: 1000 }
faults { kind: SUCCEED engine: 3 at_ms: 2000 }
faults { kind: BULLETIN_LATE at_ms: 1200 for_ms: 1000 amount: 300 }
faults { kind: HANG engine: 0 at_ms: 2600 for_ms: 500 }"""


def queries_asked(out):
    """Returns how many queries were asked, not counting repeats by their clients."""
    return pyarrow.parquet.read_table(out / "queries.parquet")["tries"].to_pylist().count(0)


def test_gateway_breaks_no_rule_under_all_faults(tmp_path):
    """Runs the real gateway under each kind of fault and client behaviour, and checks the audit and the
    report.
    """
    figures = trial(
        read_testbed(
            f"load {{ seconds: 4 rate: 80 leave_share: 0.05 repeats: 1 shape: BURST peak: 3 }} {FAULTS}"
        ),
        tmp_path,
    )
    assert (
        figures["broken_rules"] == []
        and not figures["silent"]
        and figures["front_exit"] == 0
        and figures["asked"] > 250
    )
    # A query that its client repeats after a deferral is one query: it finished if either attempt did.
    assert (
        figures["finished"] > 0.8 * queries_asked(tmp_path) and figures["submissions"] >= figures["finished"]
    )
    report = json.loads((tmp_path / "report.json").read_text())
    assert (
        report["asked"] == figures["asked"]
        and (tmp_path / "report.html").read_text().count("data:image/png") == 3
    )


def test_stalled_gateway_shows_in_latencies_and_breaks_no_rule(tmp_path):
    """An open loop must show a stall of the gateway: arrivals go on during it."""
    testbed = read_testbed("load { seconds: 3 rate: 60 }")
    figures = trial(testbed, tmp_path, during=lambda world: [(1.0, lambda: world.stall(0.5))])
    assert figures["max_ms"] > 400 and not figures["broken_rules"] and not figures["silent"]


def test_gateway_starts_and_ends_in_a_small_world(tmp_path):
    """The world starts as many engines as set, and its gateway ends in order."""
    with World(read_testbed("engines { count: 2 }"), tmp_path) as world:
        assert len(world.emulator_info["engines"]) == 2 and world.leave() == 0


# imports


def test_gateway_imports_no_testbed_or_fleet_modules():
    """Modules that a gateway without these features never uses would cost it 32 MB and a part of a core."""
    code = (
        "import sys, lichenquay.gateway.service; print(sorted(m for m in sys.modules if m.split('.')[0] in "
        "('numpy', 'pyarrow', 'hdrh', 'click', 'rich', 'structlog', 'google', 'matplotlib', 'h11', "
        "'google_crc32c') or m.startswith(tuple('lichenquay.' + p for p in ('testbed', 'load', 'cli', "
        "'config', 'fleet', 'membership', 'storage', 'lease', 'quota', 'migration', 'distribution', "
        "'control_plane')))))"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert process.stdout.strip() == "[]"
