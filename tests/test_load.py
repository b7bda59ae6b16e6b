"""The load generator: plans, traces, runs on a null server, reports of incomplete runs, and comparisons."""

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
from lichenquay.load import plan
from lichenquay.load.compare import ComparedRun, QuerySample, compare
from lichenquay.load.errors import TraceError
from lichenquay.load.report import build_report
from lichenquay.load.run import Workers
from lichenquay.load.self_test import measure_stall, null_server
from lichenquay.load.trace import read_trace, write_trace


@pytest.mark.parametrize("shape", list(pb.Load.Shape.values()))
@pytest.mark.parametrize("arrivals", list(pb.Load.Arrivals.values()))
def test_arrivals_follow_their_shape(shape, arrivals):
    """The count of each second of the run is near the integral of the rate over that second."""
    load = read_testbed("load { rate: 200 seconds: 40 peak: 3 }").load
    load.shape = shape
    load.arrivals = arrivals
    at_ms = plan.arrival_times_ms(load, np.random.default_rng(3))
    assert (np.diff(at_ms) >= 0).all()
    assert at_ms[0] >= 0
    assert at_ms[-1] <= 40_000
    seconds = [np.linspace(second / 40, (second + 1) / 40, 50) for second in range(40)]
    expected = np.array([200 * plan.rate_multiplier(load, run_share).mean() for run_share in seconds])
    counts = np.histogram(at_ms, np.arange(0, 40_001, 1000))[0]
    assert len(counts) == 40
    deviations = 2 if arrivals == pb.Load.CONSTANT else 5
    assert (np.abs(counts - expected) <= deviations * np.sqrt(expected) + 2).all()


def test_same_seed_draws_same_plan_and_other_seed_another():
    """A plan depends on the seed alone, and has the share of cancelled queries that is set."""
    testbed = read_testbed("load { leave_share: 0.3 }")
    first = plan.draw_plan(testbed)
    second = plan.draw_plan(testbed)
    other_seed = plan.draw_plan(testbed, 2)
    assert all((first[name] == second[name]).all() for name in plan.COLUMNS)
    assert not np.array_equal(first["at_ms"], other_seed["at_ms"])
    assert 0.2 < np.isfinite(first["leave_ms"]).mean() < 0.4
    assert set(first["group"]) == {"status", "report", "manifest"}


@pytest.mark.parametrize("name", ["t.csv", "t.parquet"])
def test_trace_reads_back_as_written(tmp_path, name):
    """Both formats keep every column of a plan exactly."""
    testbed = read_testbed("load { leave_share: 0.5 seconds: 2 }")
    written = plan.draw_plan(testbed)
    write_trace(tmp_path / name, written)
    read = read_trace(tmp_path / name, testbed)
    for column in plan.COLUMNS:
        assert list(written[column]) == list(read[column]), column


@pytest.mark.parametrize(
    "text, message",
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
def test_invalid_trace_row_is_named(tmp_path, text, message):
    """The message is one line that names the row, the column and the cause."""
    (tmp_path / "t.csv").write_text(text)
    with pytest.raises(TraceError) as raised:
        read_trace(tmp_path / "t.csv", read_testbed(""))
    assert message in str(raised.value)
    assert "\n" not in str(raised.value)


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
def test_any_trace_file_is_read_or_refused_in_one_line(tmp_path_factory, data):
    """No file content raises anything but a TraceError."""
    path = tmp_path_factory.getbasetemp() / "any.csv"
    path.write_bytes(data)
    try:
        read = read_trace(path, read_testbed(""))
    except TraceError as error:
        assert "\n" not in str(error).strip()
    else:
        assert (np.diff(read["at_ms"]) >= 0).all()


def short_load(rate=300, seconds=1.5, workers=2, connections=4, more=""):
    """Returns a testbed with a short load; `more` is further text of its `load` section."""
    return read_testbed(
        f"load {{ rate: {rate} seconds: {seconds} workers: {workers} connections: {connections} "
        f"addresses: 2 {more} }}"
    )


def test_run_on_null_server_is_complete(tmp_path):
    """Each planned query has one record, and one answer unless its client cancelled it."""
    testbed = short_load(more="leave_share: 0.2")
    with null_server() as (address, _):
        workers = Workers(testbed, address, tmp_path, rows=False)
        workers.start()
        result = workers.run()
    report = build_report(result, testbed)
    columns = result.columns()
    assert report["asked"] == len(workers.plan["at_ms"])
    assert not report["silent"]
    assert not report["missing"]
    assert not report["twice"]
    assert report["finished"] + report["left"] >= report["asked"]
    assert len(set(columns["ref"])) == report["asked"]
    # The answer to a cancelled query is counted but has no latency: its client no longer waited.
    answered = ~np.isnan(columns["answered_ms"])
    assert not (answered & (columns["answers"] == 0)).any()
    assert (columns["answers"][~answered & ~columns["left"]] == 0).all()
    assert (columns["sent_ms"] >= columns["at_ms"] - 0.01).all()
    assert result.latency["all"].get_total_count() == int(answered.sum())
    assert set(columns["address"]) == {"127.1.0.2", "127.1.0.3"}


def test_latency_counts_from_intended_send_while_waiting_for_a_stream(tmp_path):
    """A stalled server would hide its delay if queries that could not be sent were not counted."""
    testbed = short_load(rate=500, seconds=2.0, workers=1, connections=2)
    with null_server() as (address, process):
        workers = Workers(testbed, address, tmp_path, rows=False)
        workers.start()
        result = workers.run(
            during=[
                (0.8, lambda: process.send_signal(signal.SIGSTOP)),
                (1.3, lambda: process.send_signal(signal.SIGCONT)),
            ]
        )
    report = build_report(result, testbed)
    columns = result.columns()
    assert report["waited_for_a_stream"] > 50
    assert not report["silent"]
    assert report["asked"] == len(workers.plan["at_ms"])
    wait_ms = (columns["sent_ms"] - columns["reached_ms"])[columns["waited"]]
    assert wait_ms.max() > 200
    assert report["max_ms"] > 400
    assert report["p99_ms"] > 300
    assert report["lag_p99_ms"] < 100  # the delay is the server's, not the generator's


def test_killed_worker_is_reported_missing(tmp_path):
    """The report counts the remaining worker's queries, and is void."""
    testbed = short_load()
    with null_server() as (address, _):
        workers = Workers(testbed, address, tmp_path, rows=False)
        workers.start()
        result = workers.run(during=[(0.6, lambda: workers.processes[1].kill())])
    report = build_report(result, testbed)
    planned = len(workers.plan["at_ms"])
    assert report["void"]
    assert report["missing"] == [f"worker 1 of 2: {planned // 2} queries meant for it"]
    assert report["asked"] == (planned + 1) // 2
    assert "worker 1 of 2" in report["why_void"]


def test_ctrl_c_leaves_a_report_of_what_ran(tmp_path):
    """An interrupt ends the sending early; every query that was sent is recorded."""
    testbed = short_load(seconds=20)
    with null_server() as (address, _):
        workers = Workers(testbed, address, tmp_path, rows=False)
        workers.start()
        threading.Timer(1.5, os.kill, (os.getpid(), signal.SIGINT)).start()
        started_s = time.monotonic()
        result = workers.run()
    report = build_report(result, testbed)
    assert time.monotonic() - started_s < 8
    assert report["stopped"]
    assert 0 < report["seconds"] < 5
    assert 100 < report["asked"] < 1500
    assert report["silent"] == 0
    assert not report["missing"]


def test_run_of_a_suspended_generator_is_void(tmp_path):
    """Queries that the generator itself sent late make its figures unusable."""
    testbed = short_load(rate=300, seconds=1.5, workers=1)
    with null_server() as (address, _):
        workers = Workers(testbed, address, tmp_path, rows=False)
        workers.start()
        worker = workers.processes[0]
        result = workers.run(
            during=[
                (0.5, lambda: worker.send_signal(signal.SIGSTOP)),
                (0.8, lambda: worker.send_signal(signal.SIGCONT)),
            ]
        )
    report = build_report(result, testbed)
    assert report["void"]
    assert "the generator's own lag was" in report["why_void"]
    assert report["lag_max_ms"] > 200


def test_open_loop_measures_a_stall_that_a_closed_loop_misses(tmp_path):
    """In the open loop many queries meet the stall, in the closed one as many as connections."""
    figures = measure_stall(tmp_path, rate=400, seconds=6, stall_ms=400)
    assert figures["open"]["p999_ms"] > 200
    assert figures["open"]["slower_than_a_fifth_of_the_stall"] > 60
    assert figures["closed"]["p999_ms"] < 200
    assert figures["closed"]["slower_than_a_fifth_of_the_stall"] <= 4


def random_run(seed, added_ms, count=3000):
    """Returns a run with random latencies, each longer by `added_ms`, against a target of 60 ms."""
    random = np.random.default_rng(seed)
    latency_ms = random.lognormal(3, 0.5, count) + added_ms
    finished = random.random(count) < 0.98
    at_ms = np.sort(random.uniform(0, 20_000, count))
    return ComparedRun(at_ms, QuerySample(latency_ms, finished, finished & (latency_ms < 60)))


def compare_with_added_latency(added_ms):
    """Returns the comparisons, by metric, of three runs with three others that are slower by `added_ms`."""
    first_runs = [random_run(seed, 0) for seed in range(3)]
    second_runs = [random_run(seed + 9, added_ms) for seed in range(3)]
    return {row.metric: row for row in compare(first_runs, second_runs, resamples=300)}


def test_comparison_tells_a_difference_from_chance():
    """The interval holds 0 for equal distributions, and the added latency for shifted ones."""
    same = compare_with_added_latency(0)
    assert same["p50 ms"].low <= 0 <= same["p50 ms"].high
    assert same["finished share"].low <= 0 <= same["finished share"].high
    slower = compare_with_added_latency(8)
    assert 6 < slower["p50 ms"].low < 8 < slower["p50 ms"].high < 10
    assert slower["in time share"].high < 0


def invoke(*arguments):
    """Runs the command line; returns its exit code and its last line."""
    result = CliRunner().invoke(cli, [str(argument) for argument in arguments])
    return result.exit_code, result.output.strip().splitlines()[-1]


def test_commands_report_errors_in_one_line(tmp_path):
    """The last line of the output names the cause, and the exit code tells the kind of error."""
    assert invoke("load", "run", "8.8.8.8:1") == (
        2,
        "Error: TARGET: '8.8.8.8:1' is no loopback address with a port",
    )
    assert invoke("check", tmp_path / "x")[0] == 1
    assert invoke("check", tmp_path / "x.json")[0] == 1
    assert invoke("nothing")[0] == 2
    assert invoke("load", "compare", tmp_path, tmp_path) == (
        1,
        f"Error: {tmp_path}: no run is kept there (queries.parquet)",
    )
    (tmp_path / "w").write_text("load { rate: 0 }")
    assert invoke("check", tmp_path / "w") == (
        1,
        f"Error: {tmp_path / 'w'}:1: load.rate: 0 is not between 0.01 and 1e+06",
    )
    (tmp_path / "s").write_text("gate { reserve: 3 }")
    assert invoke("check", tmp_path / "s", "--settings") == (
        1,
        f"Error: {tmp_path / 's'}:1: gate.reserve: 3, but no range is known",
    )
    (tmp_path / "t.csv").write_text("at_ms,group\n1,status\n")
    assert invoke("load", "trace", tmp_path / "t.csv", tmp_path / "t.parquet") == (
        0,
        f"{tmp_path / 't.csv'}: 1 queries, 0.001 s",
    )
    assert CliRunner().invoke(cli, ["--help"]).exit_code == 0
    assert json.loads(json.dumps(invoke("load", "--help")))[0] == 0


def test_a_log_file_may_have_any_name(tmp_path, monkeypatch):
    """Also one that click takes for standard output, on which a command's result is printed."""
    monkeypatch.chdir(tmp_path)
    assert invoke("--log-file", "-", "check", tmp_path / "x")[0] == 1
    assert (tmp_path / "-").exists()
