"""What every test leaves as it found it, and the worlds that tests make."""

import signal

import pytest
from gateway_world import World

pytest_plugins = ["known_red"]


def pytest_addoption(parser):
    parser.addoption("--figures", help="write what tests/fleet measured to this file, as JSON")
    parser.addoption("--runs", type=int, default=1, help="seeded runs of each kind in tests/fleet")
    parser.addoption("--seed", type=int, default=1, help="of the first of them")


TOGETHER = (
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
    for item in items:
        if item.path.name.startswith(TOGETHER):
            item.add_marker("together")


SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)


@pytest.fixture(autouse=True)
def signal_handlers_restored():
    """Risk: a front started in this process (Service.run) keeps its handlers after its test, so a later test's Ctrl-C
    calls a stopped reactor instead of raising KeyboardInterrupt. Ctrl-C raises it, as on a terminal, whatever the
    runner's parent ignored."""
    kept = {s: signal.getsignal(s) for s in SIGNALS}
    signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    for s, handler in kept.items():
        signal.signal(s, handler)


@pytest.fixture
def make_world(tmp_path):
    """Makes a gateway among stand-ins for engines and the discovery service; it is closed with the test."""
    worlds = []

    def make(**options):
        worlds.append(World(tmp_path, **options))
        return worlds[-1]

    yield make
    for world in worlds:
        world.close()
