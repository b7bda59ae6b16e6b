"""KNOWN-RED.txt is held to its word: what it may pass over, and on what the run fails."""

import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.together

TESTS = Path(__file__).parent
SAMPLE = """
def test_fails():
    assert False

def test_passes():
    pass
"""
LISTED = "test_sample.py::test_fails | the cause | issue 1\n"


def run_with(tmp_path, listed, *arguments):
    """Pytest's exit code and output in a folder of two tests, with this list."""
    (tmp_path / "conftest.py").write_text('pytest_plugins = ["known_red"]\n')
    (tmp_path / "test_sample.py").write_text(SAMPLE)
    (tmp_path / "pytest.ini").write_text(f"[pytest]\npythonpath = {TESTS}\n")
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments]
    run = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=60)
    return run.returncode, run.stdout + run.stderr


def test_a_listed_failure_is_passed_over_and_printed(tmp_path):
    """The only way in which a failing test may pass CI."""
    code, output = run_with(tmp_path, LISTED)
    assert code == 0
    assert "known failure: test_sample.py::test_fails: the cause (issue 1)" in output


def test_without_a_list_a_failure_fails(tmp_path):
    """No file, no exception."""
    code, _ = run_with(tmp_path, None)
    assert code == 1


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    """Risk: a mended fault stays listed, and its return goes unseen."""
    code, output = run_with(tmp_path, LISTED + "test_sample.py::test_passes | mended | issue 1\n")
    assert code == 1
    assert "XPASS(strict)" in output


def test_a_name_that_is_no_test_fails_the_run(tmp_path):
    """Risk: a renamed test is passed over no more, but its line stays."""
    code, output = run_with(tmp_path, LISTED + "test_sample.py::test_gone | gone | issue 1\n")
    assert code != 0
    assert "test_gone is no test" in output


def test_a_fourth_line_fails_the_run(tmp_path):
    """Three at most."""
    code, output = run_with(tmp_path, LISTED * 4)
    assert code != 0
    assert "4 lines, at most 3" in output


def test_a_line_without_a_cause_fails_the_run(tmp_path):
    """Each line names the test, the cause and the issue."""
    code, output = run_with(tmp_path, "test_sample.py::test_fails | issue 1\n")
    assert code != 0
    assert "is not `test | cause | issue`" in output


def test_a_run_of_some_files_does_not_miss_the_others(tmp_path):
    """A listed test in a file that is not run is no error."""
    (tmp_path / "test_other.py").write_text("def test_other():\n    pass\n")
    code, _ = run_with(tmp_path, LISTED, "test_other.py")
    assert code == 0


def test_workers_of_a_parallel_run_pass_it_over_too(tmp_path):
    """The list counts in runs side by side as well."""
    code, output = run_with(tmp_path, LISTED, "-n", "2")
    assert code == 0
    assert "known failure: test_sample.py::test_fails" in output
