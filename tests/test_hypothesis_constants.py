"""Derandomized tests draw the same examples whichever modules are loaded."""

import subprocess
import sys
from pathlib import Path

import hypothesis_constants

PROGRAM = """
import importlib, sys
from hypothesis import given, settings, strategies as st
import hypothesis_constants

if "plugin" in sys.argv:
    hypothesis_constants.pytest_configure()
for name in sys.argv[2:]:
    importlib.import_module(name)

@settings(max_examples=300, derandomize=True, database=None)
@given(st.integers(0, 2**32), st.floats(1.0, 450.0))
def draw(number, fraction):
    print(number, fraction)

draw()
"""
MODULES = ["lichenquay.gateway.service", "lichenquay.testbed.scale.catalogue"]


def draws(mode, modules):
    """Returns what a derandomized test draws in a process that has loaded these modules."""
    tests = Path(__file__).resolve().parent
    return subprocess.run(
        [sys.executable, "-c", PROGRAM, mode, *modules],
        cwd=tests.parent,
        env={"PYTHONPATH": f"{tests}:{tests.parent}"},
        capture_output=True,
        text=True,
        check=True,
    ).stdout


def test_loaded_modules_do_not_change_what_is_drawn():
    """Guards against a test that finds a fault only beside certain other tests."""
    assert draws("plugin", []) == draws("plugin", MODULES)


def test_the_plugin_is_needed():
    """Without it, loaded modules do change what is drawn; if they no longer do, the plugin can go."""
    assert draws("none", []) != draws("none", MODULES)


def test_the_constants_are_those_of_the_package():
    """They include constants that the tests of the attempt lifecycle need."""
    constants = hypothesis_constants.package_constants()
    assert 2000.0 in constants.floats and 500.0 in constants.floats
