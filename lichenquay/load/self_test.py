"""Measures the generator itself: a stall that a closed loop misses, and the rate that it sustains."""

import signal
import subprocess
import time
from contextlib import contextmanager
from pathlib import Path

from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load.child import read_line, start_module
from lichenquay.load.errors import RunError
from lichenquay.load.report import LAG_BOUND_MS, build_report
from lichenquay.load.run import Workers

NULL_SERVER_TIMEOUT_S = 10.0
CAPACITY_RATES = (1000, 2000, 3000, 5000, 7500, 10000, 12500)
OPEN_LOOP_CONNECTIONS = 8
CONNECTIONS_OF_WORKER = 4  # in the measure of capacity

STALL_FIGURES = (
    "asked",
    "finished",
    "silent",
    "asked_per_s",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "max_ms",
)
LAG_FIGURES = ("lag_p99_ms", "void")  # a closed loop has no intended send times to lag behind
CAPACITY_FIGURES = (
    "asked",
    "finished",
    "silent",
    "answered_per_s",
    "lag_p50_ms",
    "lag_p99_ms",
    "lag_max_ms",
    "p50_ms",
    "p99_ms",
    "generator_cpu_share",
    "generator_memory_mb",
)


@contextmanager
def null_server():
    """Runs a null server; gives its address and its process. Raises RunError if it does not start."""
    process = start_module("lichenquay.load.null_server", stdin=subprocess.DEVNULL)
    try:
        address = read_line(process, NULL_SERVER_TIMEOUT_S)
        if not address:
            raise RunError("the null server did not start")
        yield address, process
    finally:
        process.send_signal(signal.SIGCONT)  # a suspended process does not handle SIGTERM
        process.terminate()
        process.wait()
        process.stdout.close()


def null_testbed(rate, seconds, workers, connections, closed=False, seed=1):
    """Returns settings for a load on a null server: `rate` in queries a second, from one address."""
    return read_testbed(
        f"""seed: {seed} load {{ rate: {rate} seconds: {seconds} workers: {workers} connections: {connections}
        addresses: 1 closed: {str(closed).lower()} }}""",
        "null",
    )


def measure_stall(out, rate=400.0, seconds=20.0, stall_ms=500.0, progress=lambda done: None):
    """Returns the figures of the same stall as an open and a closed loop of the same rate measure it."""
    # In a closed loop, each connection meets the stall with one query.
    closed_loop_connections = max(1, int(rate * seconds / 2000))
    open_loop = null_testbed(rate, seconds, 1, OPEN_LOOP_CONNECTIONS)
    closed_loop = null_testbed(rate, seconds, 1, closed_loop_connections, closed=True)
    out = Path(out)
    return {
        "stall_ms": stall_ms,
        "rate": rate,
        "seconds": seconds,
        "open": _run_with_stall(
            open_loop, out / "open", stall_ms, STALL_FIGURES + LAG_FIGURES, lambda done: progress(done / 2)
        ),
        "closed": _run_with_stall(
            closed_loop, out / "closed", stall_ms, STALL_FIGURES, lambda done: progress((1 + done) / 2)
        ),
    }


def measure_capacity(
    out,
    rates=CAPACITY_RATES,
    seconds=5.0,
    workers=4,
    progress=lambda done: None,
):
    """Returns the highest rate that the generator sustains, and the figures of each step.

    A rate is sustained if all queries are answered and the generator's lag stays under its bound at p99.
    The steps end with the first rate that is not sustained. `rates` are queries a second, `seconds` is the
    length of a step.
    """
    steps = []
    sustained_per_s = 0.0
    for index, rate in enumerate(rates):
        step = _run_capacity_step(Path(out) / f"{rate}", rate, seconds, workers)
        progress((index + 1) / len(rates))
        steps.append(step)
        if not step["ok"]:
            break
        sustained_per_s = step["answered_per_s"]
    return {
        "sustained_per_s": sustained_per_s,
        "lag_bound_ms": LAG_BOUND_MS,
        "workers": workers,
        "steps": steps,
    }


def _run_with_stall(testbed, out, stall_ms, figure_names, progress):
    stall_start_s = testbed.load.seconds / 2
    with null_server() as (address, process):
        workers = Workers(testbed, address, out, rows=False)
        workers.start()
        stall = [
            (stall_start_s, lambda: process.send_signal(signal.SIGSTOP)),
            (stall_start_s + stall_ms / 1000, lambda: process.send_signal(signal.SIGCONT)),
        ]
        result = workers.run(progress, stall)
    report = build_report(result, testbed)
    columns = result.columns()
    slow_count = int((columns["answered_ms"] - columns["at_ms"] > stall_ms / 5).sum())
    figures = {name: report[name] for name in figure_names}
    return {**figures, "slower_than_a_fifth_of_the_stall": slow_count}


def _run_capacity_step(out, rate, seconds, worker_count):
    """Runs one rate; half of the workers go to each of two null servers, so that these are not the limit."""
    testbed = null_testbed(rate, seconds, worker_count, CONNECTIONS_OF_WORKER * worker_count)
    with null_server() as (first_address, _), null_server() as (second_address, _):
        workers = Workers(testbed, first_address, out, rows=False)
        for job in workers.jobs[1::2]:
            job.target = second_address
            workers.write_job(job)
        started_s = time.monotonic()
        workers.start()
        report = build_report(workers.run(), testbed)
    is_sustained = not report["void"] and not report["silent"] and report["finished"] == report["asked"]
    return {
        "rate": rate,
        "ok": is_sustained,
        "took_s": round(time.monotonic() - started_s, 1),
        **{name: report[name] for name in CAPACITY_FIGURES},
    }
