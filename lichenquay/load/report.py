"""The figures of a run: counts, latency from the intended send time, and the generator's own overhead."""

import numpy as np

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.gateway.frames import AnswerCode
from lichenquay.load.run import RunResult
from lichenquay.load.worker_results import ALL_GROUPS

LAG_BOUND_MS = 5.0  # p99 of the generator's lag; a run beyond it is void
MIN_SECONDS = 0.001
QUANTILES = {"p50": 50, "p90": 90, "p99": 99, "p999": 99.9, "max": 100}


def build_report(result: RunResult, testbed: pb.Lab) -> dict:
    """Returns the figures of a RunResult as a dict that JSON can hold; latency is in milliseconds."""
    columns = result.columns()
    if not columns:
        return {"asked": 0, "void": True, "why_void": "no worker kept anything", "missing": result.missing}
    report = {
        **_count_queries(columns, np.ones(len(columns["at_ms"]), bool)),
        **_exceptions(columns, result.worker_facts),
        **_rates(columns, result.seconds),
        **_quantiles(result.latency.get(ALL_GROUPS)),
        **_quantiles(result.lag, "lag_"),
        **_finished_quantiles(columns),
        **_overhead(result.worker_facts),
        "missing": result.missing,
        "stopped": result.interrupted,
        "groups": {
            group.name: {
                **_count_queries(columns, columns["group"] == group.name),
                **_quantiles(result.latency.get(group.name)),
            }
            for group in testbed.groups
        },
    }
    reasons = _void_reasons(report["lag_p99_ms"], result.missing)
    report["void"] = bool(reasons)
    report["why_void"] = "; ".join(reasons)
    return report


def _count_queries(columns, rows):
    """Counts the queries among the given rows (a mask) by how they ended."""
    code = columns["code"]
    silent = ~np.isnan(columns["sent_ms"]) & (columns["answers"] == 0) & ~columns["left"]
    return {
        "asked": int(rows.sum()),
        "finished": int((rows & (code == AnswerCode.COMPLETED)).sum()),
        "deferred": int((rows & (code == AnswerCode.REJECTED)).sum()),
        "killed": int((rows & (code == AnswerCode.FAILED)).sum()),
        "silent": int((rows & silent).sum()),
        "left": int((rows & columns["left"]).sum()),
    }


def _exceptions(columns, worker_facts):
    return {
        "not_sent": int(np.isnan(columns["sent_ms"]).sum()),
        "twice": int((columns["answers"] > 1).sum()),
        "odd_results": int(columns["odd"].sum()),
        "strange_answers": sum(facts["strange"] for facts in worker_facts),
        "connections_lost": sum(facts["lost_lines"] for facts in worker_facts),
        "waited_for_a_stream": int(columns["waited"].sum()),
    }


def _rates(columns, run_seconds):
    seconds = max(run_seconds, MIN_SECONDS)
    answered_count = float((~np.isnan(columns["answered_ms"])).sum())
    return {
        "seconds": round(seconds, 2),
        "asked_per_s": round(len(columns["at_ms"]) / seconds, 1),
        "answered_per_s": round(answered_count / seconds, 1),
    }


def _quantiles(histogram, prefix=""):
    if not histogram or not histogram.get_total_count():
        return {f"{prefix}{name}_ms": None for name in QUANTILES}
    return {
        f"{prefix}{name}_ms": round(histogram.get_value_at_percentile(percentile) / 1000, 3)
        for name, percentile in QUANTILES.items()
    }


def _finished_quantiles(columns):
    finished = columns["code"] == AnswerCode.COMPLETED
    if not finished.any():
        return {"finished_p50_ms": None, "finished_p99_ms": None}
    latency_ms = columns["answered_ms"][finished] - columns["at_ms"][finished]
    return {
        "finished_p50_ms": round(float(np.median(latency_ms)), 3),
        "finished_p99_ms": round(float(np.percentile(latency_ms, 99)), 3),
    }


def _overhead(worker_facts):
    cpu_shares = [facts["cpu_s"] / max(MIN_SECONDS, facts["seconds"]) for facts in worker_facts]
    return {
        "generator_cpu_s": [round(facts["cpu_s"], 2) for facts in worker_facts],
        "generator_cpu_share": round(sum(cpu_shares), 3),
        "generator_memory_mb": [round(facts["memory_mb"]) for facts in worker_facts],
    }


def _void_reasons(lag_p99_ms, missing):
    reasons = []
    if lag_p99_ms is None:
        reasons.append("nothing was sent")
    reasons += missing
    if lag_p99_ms is not None and lag_p99_ms > LAG_BOUND_MS:
        reasons.append(f"the generator's own lag was {lag_p99_ms:.1f} ms at p99, over {LAG_BOUND_MS:g} ms")
    return reasons
