"""Options, markers and fixtures that all tests share."""

import signal

import pytest
from gateway_world import World

pytest_plugins = ["known_red", "hypothesis_constants"]


def pytest_addoption(parser):
    """Adds the options of seeded runs and of their figures."""
    parser.addoption("--figures", help="write the measurements of tests/fleet to this file, as JSON")
    parser.addoption("--runs", type=int, default=1, help="number of seeded runs of each kind in tests/fleet")
    parser.addoption("--seed", type=int, default=1, help="seed of the first run")


# Prefixes of file names; tests in these files may run in parallel with other tests.
TOGETHER_PREFIXES = (
    "test_slow_start_fleet",
    "test_matrix",
    "test_settings",
    "test_dispatch_races",
    "test_closing",
    "test_engine_connections",
    "test_membership",
    "test_storage",
    "test_endpoint_importer",
    "test_lease",
    "test_quota",
    "test_migration",
    "test_fleet",
    "test_start",
)


def pytest_collection_modifyitems(items):
    """Marks the tests of the files that `TOGETHER_PREFIXES` names."""
    for item in items:
        if item.path.name.startswith(TOGETHER_PREFIXES):
            item.add_marker("together")


RESTORED_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)


@pytest.fixture(autouse=True)
def signal_handlers_restored():
    """Restores the signal handlers after each test, and lets SIGINT raise KeyboardInterrupt within it.

    A gateway that a test starts in this process (Service.run) installs handlers. Kept after the test, they
    would call a stopped reactor on a later Ctrl-C. SIGINT raises KeyboardInterrupt even if the parent process
    of the test runner ignored the signal.
    """
    previous_handlers = {signal_number: signal.getsignal(signal_number) for signal_number in RESTORED_SIGNALS}
    signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    for signal_number, handler in previous_handlers.items():
        signal.signal(signal_number, handler)


@pytest.fixture
def make_world(tmp_path):
    """Returns a function that makes a `World`; every world is closed at the end of the test."""
    worlds = []

    def make(**options):
        worlds.append(World(tmp_path, **options))
        return worlds[-1]

    yield make
    for world in worlds:
        world.close()
