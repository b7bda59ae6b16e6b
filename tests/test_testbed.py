"""The laboratory: the emulated engine against what is published and against its own bounds, the emulator on sockets, the
audit against fronts that break one rule each, and a whole trial of the real front."""

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
from lichenquay.testbed import audit as a
from lichenquay.testbed.engine import FULL, Engine, rows_of
from lichenquay.testbed.trial import trial
from lichenquay.testbed.world import ROOT, World


def figures(**more):
    usual = dict(
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
    return SimpleNamespace(**{**usual, **more})


# the model


@pytest.mark.parametrize("load", [0.3, 0.6, 0.8])
def test_service_under_processor_sharing_is_as_published(load):
    """M/G/1-PS: the mean time is E[S] / (1 - load), whatever the work's distribution (Kleinrock 1976)."""
    means, n = [], 2500
    for seed in range(16):
        rng, e, tasks = np.random.default_rng([seed, 7]), Engine("e", figures()), []
        for at, work in zip(
            np.cumsum(rng.exponential(10 / load, n)), rng.lognormal(np.log(10) - 0.5, 1.0, n)
        ):
            tasks.append(Task(f"{len(tasks)}", "g", float(work)))
            e.start(float(at), tasks[-1])
        e.advance(1e9)
        means.append(np.mean([t.ended_ms - t.submitted_ms for t in tasks[200:]]))
    want, half = 10 / (1 - load), 2.95 * np.std(means, ddof=1) / 4  # 99 of 100 (t, 15 degrees)
    assert abs(np.mean(means) - want) < half and half < 0.2 * want


def test_memory_grants_and_tables_cost_what_they_should():
    e = Engine("e", figures(cores=4, memory_mb=100, spill=1.0, cold_table=0.5, warm_tables=1))

    def took(now, task):
        e.start(now, task)
        e.advance(now + 1000)
        return task.ended_ms - now

    assert took(0, Task("a", "g", 100)) == pytest.approx(100)
    assert took(1000, Task("b", "g", 100, 80, grant_mb=40)) == pytest.approx(150)  # half of it spills
    assert took(2000, Task("c", "g", 100, tables="1")) == pytest.approx(150)  # cold tables
    assert took(3000, Task("d", "g", 100, tables="1")) == pytest.approx(100)
    assert took(4000, Task("f", "g", 100, tables="2")) == pytest.approx(150) and took(
        5000, Task("g", "g", 100, tables="1")
    ) == pytest.approx(150)
    first, second = Task("h", "g", 100, 80, grant_mb=80), Task("i", "g", 100, 80, grant_mb=80)
    e.start(6000, first)
    e.start(6000, second)
    assert (
        second.wait_reason == "memory"
        and e.note_of(6000, second) == ("held", 1)
        and e.note_of(6001, second) is None
    )
    e.advance(7000)
    assert second.ended_ms == pytest.approx(6200)
    load, reader = Task("j", "g", 100, tables="7", load=True), Task("k", "g", 10, tables="7")
    e.start(8000, load)
    e.start(8000, reader)
    assert reader.wait_reason == "load" and e.note_of(8000, reader) == ("held", 2)
    e.advance(9000)
    assert reader.started_ms == load.ended_ms == pytest.approx(8150)


def test_a_cold_engine_warms_and_falls_when_pushed():
    told = []
    e = Engine(
        "e",
        figures(cores=2, cold_ms=1000, cold_share=0.25, fall_ms=500),
        0.0,
        lambda kind, ref, **f: told.append(kind),
    )
    assert e.capacity(0) == 0.25 and e.capacity(500) == pytest.approx(0.625) and e.capacity(2000) == 1
    for i in range(8):
        e.start(1.0, Task(f"{i}", "g", 100))
    assert "fell" in told  # 750 ms of work and a little more are allowed in its first half second
    told.clear()
    e = Engine("e", figures(cores=2, cold_ms=1000), None, lambda kind, ref, **f: told.append(kind))
    for i in range(50):
        e.start(1.0, Task(f"{i}", "g", 100))
    assert "fell" not in told


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
def test_no_order_of_events_breaks_the_engine(events):
    """Memory is never overdrawn but by a single query, rates fit the cores, tables have one load, all of it ends."""
    e, now, tasks = (
        Engine("e", figures(cores=3, memory_mb=100, most_open=12, warm_tables=1, cold_table=0.3, spill=0.5)),
        0.0,
        [],
    )
    for i, (gap, work, memory, threads, tables, load, what) in enumerate(events):
        now += gap
        if what == "start":
            task = Task(f"{i}", "g", work, memory, threads, tables=tables, load=load, grant_mb=memory)
            if e.start(now, task) != FULL:
                tasks.append(task)
        elif tasks and what == "forget":
            e.advance(now)
            e.forget(tasks[i % len(tasks)])
        else:
            e.rank(now, f"{i % 7}", i % 4)
        assert e.used_mb <= 100 + 1e-6 or len(e.running) == 1
        assert sum(e.rates()) <= 3 + 1e-9 and len(e.running) + len(e.line) <= 12
        assert abs(e.used_mb - sum(t.grant_mb for t in e.running)) < 1e-6
        for held in {t.tables for t in e.running if t.load and t.tables}:
            assert sum(t.tables == held and t.load for t in e.running) == 1
    e.advance(now + 1e6)
    assert not e.running and not e.line and abs(e.used_mb) < 1e-6 and all(t.outcome != RUNNING for t in tasks)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.floats(0.001, 1e5),
    st.floats(0, 1e5),
    st.integers(1, 99),
    st.integers(0, 400),
    st.integers(1, 10**6),
    st.booleans(),
)
def test_a_statement_says_what_it_needs(work, memory, threads, rows, tables, load):
    task = Task("00" * 8, "g", work, memory, threads, rows, str(tables), load)
    got = decode_statement(task.ref, "g", encode_statement(task), 0.0, 1)
    assert abs(got.work_ms - work) < 0.001 and abs(got.memory_mb - memory) < 0.06
    assert (got.threads, got.rows, got.tables, got.load) == (threads, rows, str(tables), load)
    assert len(rows_of(got, "e")) == rows


# the audit


@pytest.mark.parametrize(
    "fault, check",
    [
        ("silent", a.ONE_ANSWER),
        ("twice", a.NOTHING_AFTER),
        ("rows", a.ROWS),
        ("runs twice", a.TWICE),
        ("copies", a.COPIES),
        ("ignores drains", a.DRAINED),
        ("one engine", a.PUSHED),
        ("makes up", a.ORPHAN),
        ("late", a.IN_TIME),
        ("strange", a.STRANGE),
        ("none", None),
    ],
)
def test_each_check_finds_the_front_that_breaks_its_rule(tmp_path, fault, check):
    """Risk: an audit that cannot fail."""
    pushed = fault == "one engine"
    lab = read_testbed(
        f"load {{ seconds: 2 rate: {400 if pushed else 80} workers: 1 connections: 4 }} engines {{ cold_multiple: {0.3 if pushed else 3} }}"
        'groups { name: "status" target_ms: 500 timeout_ms: 900 threads: 1 share: 3 work_ms: 8 rows: 3 memory_mb: 1 }'
        'groups { name: "manifest" effect: MUTATING target_ms: 500 timeout_ms: 900 threads: 1 share: 2 work_ms: 8 rows: 1 memory_mb: 1 }'
        + {
            "one engine": "faults { kind: SUCCEED engine: 3 at_ms: 300 }",
            "ignores drains": "faults { kind: DRAIN engine: 1 at_ms: 300 for_ms: 5000 }",
        }.get(fault, "")
    )
    got = trial(lab, tmp_path, "lichenquay.testbed.faulty_gateway", (fault,))
    names = {x.partition(":")[0] for x in got["broken_rules"]}
    assert check in names if check else not names, got["broken_rules"]


def test_a_ledger_may_end_in_the_middle_but_not_break_there(tmp_path):
    path = tmp_path / "l"
    path.write_text('{"ms": 1, "kind": "post", "engine": "e", "ref": "r"}\n{"ms": 2, "ki')
    assert len(a.read_ledger(path)) == 1
    path.write_text('{"ms": 1\n{"ms": 2, "kind": "end"}\n')
    with pytest.raises(ValueError, match="line 1 cannot be read"):
        a.read_ledger(path)


# whole trials

FAULTS = """faults { kind: SLOW engine: 0 at_ms: 500 for_ms: 800 amount: 0.5 } faults { kind: PAUSE engine: 1 at_ms: 900 for_ms: 350 }
faults { kind: LOSE engine: 2 at_ms: 600 for_ms: 1500 amount: 0.1 } faults { kind: SPOIL engine: 0 at_ms: 600 for_ms: 1500 amount: 0.1 }
faults { kind: RESET engine: 1 at_ms: 1300 for_ms: 1200 amount: 0.1 } faults { kind: DRAIN engine: 2 at_ms: 1500 for_ms: 1000 }
faults { kind: SUCCEED engine: 3 at_ms: 2000 } faults { kind: BULLETIN_LATE at_ms: 1200 for_ms: 1000 amount: 300 }
faults { kind: HANG engine: 0 at_ms: 2600 for_ms: 500 }"""


def first_tries(out):
    """How many queries were asked, repeats by their clients not counted."""
    return pyarrow.parquet.read_table(out / "queries.parquet")["tries"].to_pylist().count(0)


def test_the_front_keeps_its_rules_amid_all_faults(tmp_path):
    got = trial(
        read_testbed(
            f"load {{ seconds: 4 rate: 80 leave_share: 0.05 repeats: 1 shape: BURST peak: 3 }} {FAULTS}"
        ),
        tmp_path,
    )
    assert got["broken_rules"] == [] and not got["silent"] and got["front_exit"] == 0 and got["asked"] > 250
    # A query that its client asks again once it is deferred is one query: it finished if either did.
    assert got["finished"] > 0.8 * first_tries(tmp_path) and got["submissions"] >= got["finished"]
    told = json.loads((tmp_path / "report.json").read_text())
    assert (
        told["asked"] == got["asked"] and (tmp_path / "report.html").read_text().count("data:image/png") == 3
    )


def test_a_front_that_stands_still_while_arrivals_go_on(tmp_path):
    lab = read_testbed("load { seconds: 3 rate: 60 }")
    got = trial(lab, tmp_path, during=lambda world: [(1.0, lambda: world.stall(0.5))])
    assert got["max_ms"] > 400 and not got["broken_rules"] and not got["silent"]


def test_the_worlds_figures_reach_the_front(tmp_path):
    with World(read_testbed("engines { count: 2 }"), tmp_path) as world:
        assert len(world.told["engines"]) == 2 and world.leave() == 0


# the platform


def test_the_platforms_front_imports_none_of_it():
    """Risk: 32 MB and a part of a core, spent on what it never uses."""
    code = (
        "import sys, lichenquay.gateway.service; print(sorted(m for m in sys.modules if m.split('.')[0] in "
        "('numpy', 'pyarrow', 'hdrh', 'click', 'rich', 'structlog', 'google', 'matplotlib', 'h11', 'google_crc32c') or "
        "m.startswith(tuple('lichenquay.' + p for p in ('testbed', 'load', 'cli', 'config', 'fleet', 'membership', 'storage', 'lease', 'quota', 'migration', 'distribution', 'control_plane')))))"
    )
    got = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert got.stdout.strip() == "[]"
