"""Checks that the linter's per-file exceptions are all needed and do not grow in number."""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

pytestmark = pytest.mark.together

ROOT = Path(__file__).resolve().parents[1]
MAX_EXCEPTIONS = 0  # pairs of file and rule; never raise it


def listed_exceptions():
    """Returns the exceptions in pyproject.toml as {(file, rule)}."""
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    by_file = settings["tool"]["ruff"]["lint"]["per-file-ignores"]
    return {(file, rule) for file, rules in by_file.items() for rule in rules}


def find_violations():
    """Returns what the linter finds when it ignores the exceptions, as {(file, rule)}."""
    ruff = Path(sys.executable).with_name("ruff")
    command = [ruff, "check", ".", "--config", "lint.per-file-ignores={}", "--output-format", "json"]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False, timeout=60)
    return {
        (str(Path(violation["filename"]).relative_to(ROOT)), violation["code"])
        for violation in json.loads(run.stdout)
    }


def test_every_exception_is_needed():
    """Guards against a fixed file that keeps its exception, so that new findings in it go unnoticed."""
    assert sorted(listed_exceptions() - find_violations()) == []


def test_there_are_no_more_exceptions_than_before():
    """New files must not add exceptions."""
    assert len(listed_exceptions()) <= MAX_EXCEPTIONS
