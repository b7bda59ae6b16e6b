"""A run of the load generator: plan, worker processes, and what they kept, gathered. A worker that is killed, or a stop
on the way, leaves a report of what ran that says what is missing."""

import json
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import numpy as np
import pyarrow as pa
import structlog
from hdrh.histogram import HdrHistogram
from pyarrow import parquet

from lichenquay.load.child import environment, hear
from lichenquay.load.errors import RunError
from lichenquay.load.plan import draw_plan
from lichenquay.load.trace import read_trace, write_trace

LAG_BOUND_MS = 5.0  # p99 of intended to actual; a run beyond it is void
READY_S, END_S = 15.0, 15.0
log = structlog.get_logger()


@dataclass
class Kept:
    """What the workers kept: one row a query, histograms in us, and what is missing."""

    table: object
    latency: dict
    lag: object
    facts: list
    missing: list = field(default_factory=list)
    begun_ms: float = 0.0  # of the monotonic clock
    stopped: bool = False
    seconds: float = 0.0


def addresses_of(load):
    """Loopback addresses of the clients, one for each connection."""
    return [
        f"127.{1 + i // 62_500 % 100}.{i // 250 % 250}.{2 + i % 250}"
        for i in (c % load.addresses for c in range(load.connections))
    ]


class Workers:
    """The processes of a run."""

    def __init__(self, lab, target, out, rows=True, plan=None, run=0):
        load = lab.load
        self.out = Path(out)
        self.out.mkdir(parents=True, exist_ok=True)
        if plan is None:
            plan = read_trace(load.trace, lab, lab.seed) if load.trace else draw_plan(lab)
        self.plan, self.lab = plan, lab
        write_trace(self.out / "plan.parquet", plan)
        lines = addresses_of(load)
        groups = [
            {"name": g.name, "threads": g.threads, "rows": g.rows, "load": g.load, "timeout_ms": g.timeout_ms}
            for g in lab.groups
        ]
        ends = float(plan["at_ms"][-1]) if load.trace and len(plan["at_ms"]) else load.seconds * 1000
        self.jobs, self.processes = [], []
        for i in range(load.workers):
            mine = {n: np.asarray(v)[i :: load.workers] for n, v in plan.items()}
            mine = {n: v.astype(str) if v.dtype == object else v for n, v in mine.items()}
            np.savez(self.out / f"plan-{i}.npz", **mine)
            job = {
                "number": i,
                "run": run,
                "plan": str(self.out / f"plan-{i}.npz"),
                "out": str(self.out / f"worker-{i}"),
                "target": target,
                "addresses": lines[i :: load.workers],
                "all_addresses": sorted(set(lines)),
                "groups": groups,
                "seed": [lab.seed, 4, i],
                "repeats": load.repeats,
                "closed": load.closed,
                "rows": rows,
                "ends_ms": ends,
                "longest_ms": max(g.timeout_ms for g in lab.groups),
                "step_ms": 1000.0 * load.connections / load.rate,
            }
            self.jobs.append(job)
            (self.out / f"job-{i}.json").write_text(json.dumps(job))
        self.ends_s = ends / 1000

    def start(self):
        for i in range(len(self.jobs)):
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "lichenquay.load.worker", str(self.out / f"job-{i}.json")],
                    env=environment(),
                    text=True,
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    start_new_session=True,
                )
            )
        for process in self.processes:
            if hear(process, READY_S) != "READY":
                self.kill()
                raise RunError("a worker of the load generator could not connect to its target")

    def go(self, progress=lambda done: None, during=()):
        """The run. `during`: (seconds, call) pairs, called at their times. Ctrl-C ends the sending, and keeps the rest."""
        begun = time.monotonic() + 0.3
        self.say(f"START {begun!r}")
        self.begun_ms, stopped, during = begun * 1000, False, sorted(during, key=lambda x: x[0])
        try:
            while (now := time.monotonic() - begun) < self.ends_s and any(
                p.poll() is None for p in self.processes
            ):
                while during and during[0][0] <= now:
                    during.pop(0)[1]()
                progress(max(0.0, min(1.0, now / self.ends_s)))
                time.sleep(min(0.05, max(0.001, (during[0][0] if during else self.ends_s) - now)))
        except KeyboardInterrupt:
            stopped = True
            log.warning("stopped on the way", after_s=round(time.monotonic() - begun, 1))
            self.say("STOP")
        seconds = min(self.ends_s, time.monotonic() - begun)
        longest = max(j["longest_ms"] for j in self.jobs) / 1000
        until = time.monotonic() + (1.5 if stopped else longest) + END_S
        for process in self.processes:
            while process.poll() is None and time.monotonic() < until:
                if hear(process, 0.5) == "DONE":
                    break
        self.kill()
        progress(1.0)
        return self.gather(stopped, seconds)

    def say(self, what):
        for process in self.processes:
            try:
                process.stdin.write(what + "\n")
                process.stdin.flush()
            except (BrokenPipeError, OSError):  # it is gone; what is missing is told at the end
                pass

    def kill(self):
        for process in self.processes:
            try:
                process.stdin.close()
            except OSError:
                pass
            try:
                process.wait(2)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            process.stdout.close()

    def gather(self, stopped, seconds):
        tables, facts, missing = [], [], []
        lag, latency = HdrHistogram(1, 120_000_000, 3), {}
        for i in range(len(self.jobs)):
            out = self.out / f"worker-{i}"
            try:
                fact = json.loads(out.with_suffix(".json").read_text())
                tables.append(parquet.read_table(out.with_suffix(".parquet")))
            except (OSError, ValueError, pa.ArrowInvalid):
                missing.append(
                    f"worker {i} of {len(self.jobs)}: {len(np.load(self.jobs[i]['plan'])['at_ms'])} queries meant for it"
                )
                continue
            lag.decode_and_add(fact.pop("lag"))
            for name, coded in fact.pop("latency").items():
                latency.setdefault(name, HdrHistogram(1, 120_000_000, 3)).decode_and_add(coded)
            facts.append(fact)
        table = pa.concat_tables(tables) if tables else None
        if table is not None:
            parquet.write_table(table, self.out / "queries.parquet")
        return Kept(table, latency, lag, facts, missing, self.begun_ms, stopped, seconds)


def columns_of(kept):
    return (
        {n: kept.table.column(n).to_numpy(zero_copy_only=False) for n in kept.table.column_names}
        if kept.table
        else {}
    )


def report_of(kept, lab):
    """A run's figures: counts, latency from the intended time in ms, and the generator's own overhead."""
    c = columns_of(kept)
    if not c:
        return {"asked": 0, "void": True, "why_void": "no worker kept anything", "missing": kept.missing}
    at, answered = c["at_ms"], c["answered_ms"]
    sent = ~np.isnan(c["sent_ms"])
    silent = sent & (c["answers"] == 0) & ~c["left"]
    done = c["code"] == 0

    def counts(rows):
        return {
            "asked": int(rows.sum()),
            "finished": int((rows & (c["code"] == 0)).sum()),
            "deferred": int((rows & (c["code"] == 14)).sum()),
            "killed": int((rows & (c["code"] == 2)).sum()),
            "silent": int((rows & silent).sum()),
            "left": int((rows & c["left"]).sum()),
        }

    def quantiles(histogram, before=""):
        if not histogram or not histogram.get_total_count():
            return {f"{before}{q}_ms": None for q in ("p50", "p90", "p99", "p999", "max")}
        at_q = {
            q: histogram.get_value_at_percentile(p) / 1000
            for q, p in (("p50", 50), ("p90", 90), ("p99", 99), ("p999", 99.9), ("max", 100))
        }
        return {f"{before}{q}_ms": round(v, 3) for q, v in at_q.items()}

    seconds = max(kept.seconds, 0.001)
    report = {
        **counts(np.ones(len(at), bool)),
        "not_sent": int((~sent).sum()),
        "twice": int((c["answers"] > 1).sum()),
        "odd_results": int(c["odd"].sum()),
        "strange_answers": sum(f["strange"] for f in kept.facts),
        "connections_lost": sum(f["lost_lines"] for f in kept.facts),
        "waited_for_a_stream": int(c["waited"].sum()),
        "seconds": round(seconds, 2),
        "asked_per_s": round(len(at) / seconds, 1),
        "answered_per_s": round(float((~np.isnan(answered)).sum()) / seconds, 1),
        **quantiles(kept.latency.get("all")),
        **quantiles(kept.lag, "lag_"),
        "finished_p50_ms": nice(np.median(answered[done] - at[done])) if done.any() else None,
        "finished_p99_ms": nice(np.percentile(answered[done] - at[done], 99)) if done.any() else None,
        "generator_cpu_s": [round(f["cpu_s"], 2) for f in kept.facts],
        "generator_cpu_share": round(sum(f["cpu_s"] / max(0.001, f["seconds"]) for f in kept.facts), 3),
        "generator_memory_mb": [round(f["memory_mb"]) for f in kept.facts],
        "missing": kept.missing,
        "stopped": kept.stopped,
        "groups": {
            g.name: {**counts(c["group"] == g.name), **quantiles(kept.latency.get(g.name))}
            for g in lab.groups
        },
    }
    lag = report["lag_p99_ms"]
    reasons = [*(["nothing was sent"] if lag is None else []), *kept.missing]
    if lag is not None and lag > LAG_BOUND_MS:
        reasons.append(f"the generator's own lag was {lag:.1f} ms at p99, over {LAG_BOUND_MS:g} ms")
    report["void"], report["why_void"] = bool(reasons), "; ".join(reasons)
    return report


def nice(x):
    return round(float(x), 3)
