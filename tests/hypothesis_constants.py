"""Pytest plugin that makes what Hypothesis draws independent of the modules that happen to be loaded.

Hypothesis draws one number in twenty from constants: those of its own list, and those in the modules of the
project that are loaded. Which are loaded depends on the tests that ran before in the same process. This
plugin has it use the constants of all modules of the package, loaded or not.

A derandomized test (`derandomize=True`) then draws the same examples in each run on one commit: its random
numbers are seeded with a digest of the source of its function, of a state machine with that of its class, and
the constants are those of the commit's code. Other tests draw new examples in each run, and print what
reproduces a failure.
"""

from functools import cache
from pathlib import Path

from hypothesis.internal import constants_ast
from hypothesis.internal.conjecture import providers

PACKAGE = Path(__file__).resolve().parent.parent / "lichenquay"


@cache
def package_constants() -> constants_ast.Constants:
    """Returns the constants in all source files of the package."""
    constants = constants_ast.Constants()
    for path in sorted(PACKAGE.rglob("*.py")):
        constants |= constants_ast._constants_from_source(path.read_bytes(), limit=True)
    return constants


def pytest_configure():
    """Replaces Hypothesis's search of loaded modules; an AttributeError means that its internals changed."""
    if not callable(providers._get_local_constants):
        raise TypeError("hypothesis: _get_local_constants is not a function")
    providers._get_local_constants = package_constants
