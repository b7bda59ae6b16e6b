"""What runs on real processes measured, gathered over all tests of one call."""

import json

import pytest

FIGURES = {}


@pytest.fixture
def figures():
    """{section: {name: value}}; written to --figures at the end."""
    return lambda section: FIGURES.setdefault(section, {})


@pytest.fixture
def seeds(request):
    first, runs = request.config.getoption("--seed"), request.config.getoption("--runs")
    return range(first, first + runs)


def pytest_sessionfinish(session):
    path = session.config.getoption("--figures", default=None)
    if path and FIGURES:
        with open(path, "w", encoding="utf-8") as file:
            json.dump(FIGURES, file, indent=1, sort_keys=True)
