"""The load generator: plans, traces, workers before a null server, and what a report says when something was missing."""

import json
import os
import signal
import threading
import time

import numpy as np
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from lichenquay.cli.main import cli
from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load import compare, plan, proof
from lichenquay.load.errors import TraceError
from lichenquay.load.run import Workers, columns_of, report_of
from lichenquay.load.trace import read_trace, write_trace

# plans


@pytest.mark.parametrize("shape", list(pb.Load.Shape.values()))
@pytest.mark.parametrize("arrivals", list(pb.Load.Arrivals.values()))
def test_arrivals_follow_their_shape(shape, arrivals):
    load = read_testbed("load { rate: 200 seconds: 40 peak: 3 }").load
    load.shape, load.arrivals = shape, arrivals
    at = plan.arrival_times_ms(load, np.random.default_rng(3))
    assert (np.diff(at) >= 0).all() and at[0] >= 0 and at[-1] <= 40_000
    x = np.linspace(0.0125, 0.9875, 40)
    want = np.array(
        [200 * plan.rate_multiplier(load, np.linspace(b / 40, (b + 1) / 40, 50)).mean() for b in range(40)]
    )
    got = np.histogram(at, np.arange(0, 40_001, 1000))[0]
    slack = 2 if arrivals == pb.Load.CONSTANT else 5
    assert (np.abs(got - want) <= slack * np.sqrt(want) + 2).all() and len(x) == 40


def test_a_seed_makes_the_same_plan_and_another_one_another():
    lab = read_testbed("load { leave_share: 0.3 }")
    a, b, c = plan.draw_plan(lab), plan.draw_plan(lab), plan.draw_plan(lab, 2)
    assert all((a[n] == b[n]).all() for n in plan.COLUMNS) and not np.array_equal(a["at_ms"], c["at_ms"])
    assert 0.2 < np.isfinite(a["leave_ms"]).mean() < 0.4 and set(a["group"]) == {
        "status",
        "report",
        "manifest",
    }


# traces


@pytest.mark.parametrize("name", ["t.csv", "t.parquet"])
def test_a_trace_comes_back_as_it_was_written(tmp_path, name):
    lab = read_testbed("load { leave_share: 0.5 seconds: 2 }")
    a = plan.draw_plan(lab)
    write_trace(tmp_path / name, a)
    b = read_trace(tmp_path / name, lab)
    for n in plan.COLUMNS:
        assert list(a[n]) == list(b[n]), n


@pytest.mark.parametrize(
    "text, said",
    [
        ("at_ms,group\n1,status\n2,odd\n", "row 3: group: not known: 'odd'"),
        ("at_ms,group\n1,status\nx,status\n", "row 3: at_ms: not a number: 'x'"),
        ("at_ms,group\n5,status\n4,status\n", "row 3: at_ms: 4 is before 5"),
        ("at_ms,group\n1,status\n2\n", "row 3: 1 values, not 2"),
        ("group\nstatus\n", "no column 'at_ms'"),
        ("at_ms,group,odd\n1,status,2\n", "a column that is not known: 'odd'"),
        ("at_ms,group,work_ms\n1,status,-3\n", "row 2: work_ms: -3 is below"),
        ("at_ms,group\nnan,status\n", "row 2: at_ms: not a number"),
        ("at_ms,group,tenant\n1,status,nobody\n", "row 2: tenant: not known"),
        ("at_ms,group,tables\n1,status,1.5\n", "row 2: tables: not a number: '1.5'"),
    ],
)
def test_a_row_that_makes_no_sense_is_named(tmp_path, text, said):
    (tmp_path / "t.csv").write_text(text)
    with pytest.raises(TraceError) as bad:
        read_trace(tmp_path / "t.csv", read_testbed(""))
    assert said in str(bad.value) and "\n" not in str(bad.value)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.binary(max_size=80)
    | st.lists(
        st.lists(st.sampled_from(["1", "2.5", "status", "", "x", '"', "-1", "nan", "1e999"]), max_size=3).map(
            ",".join
        ),
        max_size=6,
    ).map(lambda rows: "\n".join(["at_ms,group", *rows]).encode())
)
def test_no_file_does_more_than_be_refused(tmp_path_factory, data):
    path = tmp_path_factory.getbasetemp() / "any.csv"
    path.write_bytes(data)
    try:
        got = read_trace(path, read_testbed(""))
    except TraceError as bad:
        assert "\n" not in str(bad).strip()
    else:
        assert (np.diff(got["at_ms"]) >= 0).all()


# runs


def short(rate=300, seconds=1.5, workers=2, connections=4, more=""):
    return read_testbed(
        f"load {{ rate: {rate} seconds: {seconds} workers: {workers} connections: {connections} addresses: 2 {more} }}"
    )


def test_a_run_before_a_null_server_is_whole(tmp_path):
    lab = short(more="leave_share: 0.2")
    with proof.null_server() as (address, _):
        workers = Workers(lab, address, tmp_path, rows=False)
        workers.start()
        kept = workers.go()
    report, c = report_of(kept, lab), columns_of(kept)
    assert (
        report["asked"] == len(workers.plan["at_ms"])
        and not report["silent"]
        and not report["missing"]
        and not report["twice"]
    )
    assert report["finished"] + report["left"] >= report["asked"] and len(set(c["ref"])) == report["asked"]
    # a query that left before its answer came has that answer, but no latency: it was no longer waited for
    answered = ~np.isnan(c["answered_ms"])
    assert not (answered & (c["answers"] == 0)).any() and (c["answers"][~answered & ~c["left"]] == 0).all()
    assert (c["sent_ms"] >= c["at_ms"] - 0.01).all() and kept.latency["all"].get_total_count() == int(
        answered.sum()
    )
    assert set(c["address"]) == {"127.1.0.2", "127.1.0.3"}


def test_time_counts_from_the_intended_send_and_full_streams_wait_with_their_clock_running(tmp_path):
    """Risk: a stalled server hides its own delay, as what could not be sent is not counted."""
    lab = short(rate=500, seconds=2.0, workers=1, connections=2)
    with proof.null_server() as (address, process):
        workers = Workers(lab, address, tmp_path, rows=False)
        workers.start()
        kept = workers.go(
            during=[
                (0.8, lambda: process.send_signal(signal.SIGSTOP)),
                (1.3, lambda: process.send_signal(signal.SIGCONT)),
            ]
        )
    report, c = report_of(kept, lab), columns_of(kept)
    assert (
        report["waited_for_a_stream"] > 50
        and not report["silent"]
        and report["asked"] == len(workers.plan["at_ms"])
    )
    waited = c["waited"]
    assert (c["sent_ms"] - c["reached_ms"])[waited].max() > 200  # sent late ...
    assert report["max_ms"] > 400 and report["p99_ms"] > 300  # ... and counted from when it was meant to go
    assert report["lag_p99_ms"] < 100  # which was not the generator's fault


def test_a_worker_killed_on_the_way_is_missing_and_said_to_be(tmp_path):
    lab = short()
    with proof.null_server() as (address, _):
        workers = Workers(lab, address, tmp_path, rows=False)
        workers.start()
        kept = workers.go(during=[(0.6, lambda: workers.processes[1].kill())])
    report = report_of(kept, lab)
    assert report["void"] and report["missing"] == [
        f"worker 1 of 2: {len(workers.plan['at_ms']) // 2} queries meant for it"
    ]
    assert report["asked"] == (len(workers.plan["at_ms"]) + 1) // 2 and "worker 1 of 2" in report["why_void"]


def test_ctrl_c_leaves_a_report_of_what_ran(tmp_path):
    lab = short(seconds=20)
    with proof.null_server() as (address, _):
        workers = Workers(lab, address, tmp_path, rows=False)
        workers.start()
        threading.Timer(1.5, os.kill, (os.getpid(), signal.SIGINT)).start()
        begun = time.monotonic()
        kept = workers.go()
    report = report_of(kept, lab)
    assert time.monotonic() - begun < 8 and report["stopped"] and 0 < report["seconds"] < 5
    assert 100 < report["asked"] < 1500 and report["silent"] == 0 and not report["missing"]


def test_a_generator_that_is_starved_says_that_its_run_is_void(tmp_path):
    lab = short(rate=300, seconds=1.5, workers=1)
    with proof.null_server() as (address, _):
        workers = Workers(lab, address, tmp_path, rows=False)
        workers.start()
        worker = workers.processes[0]
        kept = workers.go(
            during=[
                (0.5, lambda: worker.send_signal(signal.SIGSTOP)),
                (0.8, lambda: worker.send_signal(signal.SIGCONT)),
            ]
        )
    report = report_of(kept, lab)
    assert (
        report["void"] and "the generator's own lag was" in report["why_void"] and report["lag_max_ms"] > 200
    )


def test_a_stall_is_seen_by_the_open_loop_and_missed_by_the_closed(tmp_path):
    found = proof.stall(tmp_path, rate=400, seconds=6, stall_ms=400)
    assert found["open"]["p999_ms"] > 200 and found["open"]["slower_than_a_fifth_of_the_stall"] > 60
    assert found["closed"]["p999_ms"] < 200 and found["closed"]["slower_than_a_fifth_of_the_stall"] <= 4


# comparing


def run_of(seed, shift, n=3000):
    rng = np.random.default_rng(seed)
    took = rng.lognormal(3, 0.5, n) + shift
    done = rng.random(n) < 0.98
    return {
        "at_ms": np.sort(rng.uniform(0, 20_000, n)),
        "took": took,
        "done": done,
        "timely": done & (took < 60),
    }


def test_two_sets_of_runs_are_told_apart_or_not():
    same = {
        r[0]: r
        for r in compare.compare(
            [run_of(i, 0) for i in range(3)], [run_of(i + 9, 0) for i in range(3)], draws=300
        )
    }
    apart = {
        r[0]: r
        for r in compare.compare(
            [run_of(i, 0) for i in range(3)], [run_of(i + 9, 8) for i in range(3)], draws=300
        )
    }
    assert (
        same["p50 ms"][4] <= 0 <= same["p50 ms"][5]
        and same["finished share"][4] <= 0 <= same["finished share"][5]
    )
    assert 6 < apart["p50 ms"][4] < 8 < apart["p50 ms"][5] < 10 and apart["in time share"][5] < 0


def test_commands_say_in_one_line_what_is_wrong(tmp_path):
    def told(*args):
        got = CliRunner().invoke(cli, [str(a) for a in args])
        return got.exit_code, got.output.strip().splitlines()[-1]

    assert told("load", "run", "8.8.8.8:1") == (
        2,
        "Error: TARGET: '8.8.8.8:1' is no loopback address with a port",
    )
    assert (
        told("check", tmp_path / "x")[0] == 1
        and told("check", tmp_path / "x.json")[0] == 1
        and told("nothing")[0] == 2
    )
    assert told("load", "compare", tmp_path, tmp_path) == (
        1,
        f"Error: {tmp_path}: no run is kept there (queries.parquet)",
    )
    (tmp_path / "w").write_text("load { rate: 0 }")
    assert told("check", tmp_path / "w") == (
        1,
        f"Error: {tmp_path / 'w'}:1: load.rate: 0 is not between 0.01 and 1e+06",
    )
    (tmp_path / "s").write_text("gate { reserve: 3 }")
    assert told("check", tmp_path / "s", "--settings") == (
        1,
        f"Error: {tmp_path / 's'}:1: gate.reserve: 3, but no range is known",
    )
    (tmp_path / "t.csv").write_text("at_ms,group\n1,status\n")
    assert told("load", "trace", tmp_path / "t.csv", tmp_path / "t.parquet") == (
        0,
        f"{tmp_path / 't.csv'}: 1 queries, 0.001 s",
    )
    assert (
        CliRunner().invoke(cli, ["--help"]).exit_code == 0
        and json.loads(json.dumps(told("load", "--help")))[0] == 0
    )
