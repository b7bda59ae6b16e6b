"""Short soak runs of a real gateway process; scripts/soak makes longer ones."""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from soak_audit import Finding
from soak_history import History
from soak_report import report

ROOT = Path(__file__).resolve().parents[2]
SEEDS = (2, 3, 5, 11, 21, 41)
PARALLEL_RUNS = 3
RUN_TIMEOUT_S = 90
SYSTEM_FAULTS = ("accept E", "connect_ex E", "send E", "send short", "recv E", "recv short", "clock step")
# What the audit has to find, by planted fault (planted_faults.py).
EXPECTED_FINDINGS = {
    "answers twice": "2 answers",
    "answers lost": "no answer",
    "mutating queries repeated": "mutating query sent again",
    "SIGTERM ignored": "did not end before SIGKILL",
    "cancellations ignored": "after its client left",
    "news left unread": "after its drain",
    "requests timed from their reading": "over what its client has left",
}


def run_soak(*arguments):
    """Plays a run in a process of its own; returns its exit code and what it printed."""
    folders = [ROOT, ROOT / "tests", ROOT / "tests" / "crossings", ROOT / "tests" / "soak"]
    completed = subprocess.run(
        [sys.executable, str(ROOT / "tests" / "soak" / "soak_run.py"), *arguments],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(map(str, folders))},
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_a_report_shows_every_kind_of_finding():
    """Guards against a kind that is cut from a report because others come before it."""
    findings = [Finding(float(at_s), "no answer", f"query {at_s}") for at_s in range(20)]
    findings.append(Finding(20.0, "not ended", "the gateway did not end before SIGKILL"))
    lines = "\n".join(report(2, None, History(), findings))
    assert "did not end before SIGKILL" in lines
    assert "query 3" in lines and "query 4" not in lines
    assert "not shown: 16 of the kind 'no answer'" in lines


def test_soak_runs_have_no_findings():
    """One final answer for each query taken, nothing twice, nothing after its client left, a clean exit."""
    with ThreadPoolExecutor(PARALLEL_RUNS) as executor:
        outcomes = list(executor.map(lambda seed: run_soak(str(seed)), SEEDS))
    for exit_code, output in outcomes:
        assert exit_code == 0, output
        assert " 0 findings" in output, output
    whole_output = "".join(output for _, output in outcomes)
    for fault in SYSTEM_FAULTS:
        assert f"struck {fault}" in whole_output, fault
    assert re.search(r"[1-9]\d* lost polls", whole_output)


@pytest.mark.parametrize("fault", EXPECTED_FINDINGS)
def test_the_audit_finds_a_planted_fault(fault):
    """The audit can fail: each fault of the gateway is found, and the command to repeat it is printed."""
    exit_code, output = run_soak("2", fault)
    assert exit_code == 1 and EXPECTED_FINDINGS[fault] in output, output
    assert f"scripts/soak --seed 2 --fault '{fault}'" in output
