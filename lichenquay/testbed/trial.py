"""A trial: a world, a load on it, and the audit. What `demo` and `lab run` do."""

import json
from pathlib import Path

from lichenquay.load.page import write_page
from lichenquay.load.report import build_report
from lichenquay.load.run import Workers
from lichenquay.testbed.audit import STRANGE, audit, read_ledger, value_of
from lichenquay.testbed.world import World


def figures_of(kept, lab, ledger):
    """A run's report with what the audit found and the value in time."""
    report, c = build_report(kept, lab), kept.columns()
    findings = audit(c, ledger, lab) if c else []
    if report.get("strange_answers"):
        findings.append((STRANGE, report["strange_answers"], []))
    return {
        **report,
        "value_in_time": value_of(c, lab) if c else None,
        "broken_rules": [f"{check}: {n} ({'; '.join(map(str, shown))})" for check, n, shown in findings],
        "submissions": sum(x["kind"] == "post" for x in ledger),
    }


def write_run_files(out, lab, kept, figures, ledger=()):
    """What a run leaves: its figures, its page, and the targets that `compare` needs."""
    (out / "targets.json").write_text(json.dumps({g.name: g.target_ms for g in lab.groups}))
    (out / "report.json").write_text(json.dumps(figures, indent=1))
    c = kept.columns()
    if c:
        write_page(
            out / "report.html", f"a run of {figures['seconds']:g} s", figures, c, kept.latency, ledger
        )


def trial(lab, out, front="lichenquay.gateway", arguments=(), progress=lambda done: None, during=None):
    """Plays it. `during(world)`: (seconds, call) pairs for the run. Returns its figures."""
    out = Path(out)
    with World(lab, out, front, arguments) as world:
        workers = Workers(lab, world.addresses[0], out)
        workers.start()
        world.start_script()
        before = world.cpu_s()
        kept = workers.run(progress, during(world) if during else ())
        used, peak = world.cpu_s() - before, world.peak_mb()
        code = world.leave()
    ledger = read_ledger(world.ledger)
    figures = figures_of(kept, lab, ledger)
    write_run_files(out, lab, kept, figures, ledger)
    n = max(1, figures["asked"])
    return {
        **figures,
        "front_cpu_s": round(used, 2),
        "front_cpu_ms_a_query": round(1000 * used / n, 3),
        "front_memory_mb": round(peak, 1),
        "front_exit": code,
        "out": str(out),
    }
