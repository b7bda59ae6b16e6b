"""Fixtures of the fleet tests: the figures measured over all tests of one pytest call, and the seeds."""

import json

import pytest

FIGURES = {}


@pytest.fixture
def figures():
    """Returns a function section -> {name: value}; all sections are written to --figures at the end."""
    return lambda section: FIGURES.setdefault(section, {})


@pytest.fixture
def seeds(request):
    """Returns the seeds of a test: --runs of them, from --seed on."""
    first, runs = request.config.getoption("--seed"), request.config.getoption("--runs")
    return range(first, first + runs)


def pytest_sessionfinish(session):
    """Writes the figures to --figures, if asked."""
    path = session.config.getoption("--figures", default=None)
    if path and FIGURES:
        with open(path, "w", encoding="utf-8") as file:
            json.dump(FIGURES, file, indent=1, sort_keys=True)
