"""What the generator can do, measured: a stall that a closed loop misses, and the rate that it sustains."""

import json
import signal
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load.child import environment, hear
from lichenquay.load.errors import RunError
from lichenquay.load.run import LAG_BOUND_MS, Workers, columns_of, report_of


@contextmanager
def null_server():
    """(address, process) of a null server."""
    process = subprocess.Popen(
        [sys.executable, "-m", "lichenquay.load.null"],
        env=environment(),
        text=True,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        start_new_session=True,
    )
    try:
        address = hear(process, 10.0)
        if not address:
            raise RunError("the null server did not start")
        yield address, process
    finally:
        process.send_signal(signal.SIGCONT)
        process.terminate()
        process.wait()
        process.stdout.close()


def null_world(rate, seconds, workers, connections, closed=False, seed=1):
    return read_testbed(
        f"""seed: {seed} load {{ rate: {rate} seconds: {seconds} workers: {workers} connections: {connections}
        addresses: 1 closed: {str(closed).lower()} }}""",
        "null",
    )


def stall(out, rate=400.0, seconds=20.0, stall_ms=500.0, progress=lambda done: None):
    """The same deliberate stall seen by an open and by a closed loop of the same rate. Figures in ms."""
    found = {"stall_ms": stall_ms, "rate": rate, "seconds": seconds}
    few = max(
        1, int(rate * seconds / 2000)
    )  # in a closed loop each of these sees the stall once, and no more do
    for part, (name, connections) in enumerate((("open", 8), ("closed", few))):
        lab = null_world(rate, seconds, 1, connections, closed=name == "closed")
        with null_server() as (address, process):
            workers = Workers(lab, address, Path(out) / name, rows=False)
            workers.start()
            during = [
                (seconds / 2, lambda: process.send_signal(signal.SIGSTOP)),
                (seconds / 2 + stall_ms / 1000, lambda: process.send_signal(signal.SIGCONT)),
            ]
            kept = workers.go(lambda done: progress((part + done) / 2), during)
        report = report_of(kept, lab)
        c = columns_of(kept)
        slow = int((c["answered_ms"] - c["at_ms"] > stall_ms / 5).sum())
        found[name] = {
            **{
                k: report[k]
                for k in (
                    "asked",
                    "finished",
                    "silent",
                    "asked_per_s",
                    "p50_ms",
                    "p99_ms",
                    "p999_ms",
                    "max_ms",
                    "lag_p99_ms",
                    "void",
                )
                if name == "open" or k not in ("lag_p99_ms", "void")
            },
            "slower_than_a_fifth_of_the_stall": slow,
        }
    return found


def capacity(
    out,
    rates=(1000, 2000, 3000, 5000, 7500, 10000, 12500),
    seconds=5.0,
    workers=4,
    progress=lambda done: None,
):
    """The highest rate at which all is answered and the generator's lag stays under its bound at p99, by steps, against null
    servers. Half of the workers go to each of two servers, so that these do not bind."""
    steps, best = [], 0.0
    for i, rate in enumerate(rates):
        lab = null_world(rate, seconds, workers, 4 * workers)
        with null_server() as (one, _), null_server() as (two, _):
            run = Workers(lab, one, Path(out) / f"{rate}", rows=False)
            for job in run.jobs[1::2]:
                job["target"] = two
                (run.out / f"job-{job['number']}.json").write_text(json.dumps(job))
            begun = time.monotonic()
            run.start()
            report = report_of(run.go(), lab)
        progress((i + 1) / len(rates))
        ok = not report["void"] and not report["silent"] and report["finished"] == report["asked"]
        steps.append(
            {
                "rate": rate,
                "ok": ok,
                "took_s": round(time.monotonic() - begun, 1),
                **{
                    k: report[k]
                    for k in (
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
                },
            }
        )
        if not ok:
            break
        best = report["answered_per_s"]
    return {"sustained_per_s": best, "lag_bound_ms": LAG_BOUND_MS, "workers": workers, "steps": steps}
