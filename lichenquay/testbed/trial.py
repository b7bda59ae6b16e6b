"""Runs a world under load and audits it, for the commands `demo` and `lab run`."""

import json
from pathlib import Path

from lichenquay.load.page import write_page
from lichenquay.load.report import build_report
from lichenquay.load.run import Workers
from lichenquay.testbed.audit import UNASKED_ANSWERS, audit, read_ledger, value_in_time
from lichenquay.testbed.world import World


def run_figures(results, testbed, ledger):
    """Returns a run's report with the audit's findings and the value in time."""
    report, columns = build_report(results, testbed), results.columns()
    findings = audit(columns, ledger, testbed) if columns else []
    if report.get("strange_answers"):
        findings.append((UNASKED_ANSWERS, report["strange_answers"], []))
    return {
        **report,
        "value_in_time": value_in_time(columns, testbed) if columns else None,
        "broken_rules": [
            f"{check}: {count} ({'; '.join(map(str, examples))})" for check, count, examples in findings
        ],
        "submissions": sum(event["kind"] == "post" for event in ledger),
    }


def write_run_files(out, testbed, results, figures, ledger=()):
    """Writes a run's figures, its page, and the targets that `load compare` reads, into the folder `out`."""
    (out / "targets.json").write_text(json.dumps({group.name: group.target_ms for group in testbed.groups}))
    (out / "report.json").write_text(json.dumps(figures, indent=1))
    columns = results.columns()
    if columns:
        write_page(
            out / "report.html",
            f"a run of {figures['seconds']:g} s",
            figures,
            columns,
            results.latency,
            ledger,
        )


def trial(
    testbed, out, gateway_module="lichenquay.gateway", arguments=(), progress=lambda done: None, during=None
):
    """Runs the world of `testbed` under load and returns its figures. `during(world)` returns (seconds, call)
    pairs to run meanwhile.
    """
    out = Path(out)
    with World(testbed, out, gateway_module, arguments) as world:
        workers = Workers(testbed, world.addresses[0], out)
        workers.start()
        world.start_script()
        cpu_before_s = world.cpu_s()
        results = workers.run(progress, during(world) if during else ())
        used_cpu_s, peak_mb = world.cpu_s() - cpu_before_s, world.peak_mb()
        exit_code = world.leave()
    ledger = read_ledger(world.ledger)
    figures = run_figures(results, testbed, ledger)
    write_run_files(out, testbed, results, figures, ledger)
    asked = max(1, figures["asked"])
    return {
        **figures,
        "front_cpu_s": round(used_cpu_s, 2),
        "front_cpu_ms_a_query": round(1000 * used_cpu_s / asked, 3),
        "front_memory_mb": round(peak_mb, 1),
        "front_exit": exit_code,
        "out": str(out),
    }
