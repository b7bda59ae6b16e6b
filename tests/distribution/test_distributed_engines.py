"""The endpoint list, from discovery through voters and relays to a gateway, all as real processes."""

import pytest
from discovery_server import DiscoveryServer, engine
from installation import VOTERS, Installation
from ports import allocate_free_ports
from running import until
from test_distribution_gateway import GatewayProcess

pytestmark = pytest.mark.together
MAX_IN_FORCE_S = 7.0  # The operators' bound for a change.


@pytest.fixture
def discovery():
    """A discovery service that has announced three engines."""
    with DiscoveryServer(*allocate_free_ports(1)) as discovery:
        discovery.announce(*(engine(f"e{number}") for number in range(3)), is_whole=True)
        yield discovery


def engine_count(installation, gateway):
    """Returns how many engines a gateway has, according to its report."""
    return int(installation.count(gateway.name, "engines", "listed"))


def wait_for_engine_count(installation, gateway, count, seconds=MAX_IN_FORCE_S):
    """Waits until a gateway has this number of engines."""
    until(lambda: engine_count(installation, gateway) == count, seconds, 0.1)


def test_a_gateway_has_the_engines_that_discovery_announces(tmp_path, discovery):
    """It starts with those of its configuration, and keeps its list while discovery is down."""
    with Installation(tmp_path, subscriber_count=1, discovery=discovery.address) as installation:
        known_engines = [engine("old1"), engine("old2")]
        with GatewayProcess(
            installation, extra_settings="engines: true", known_engines=known_engines
        ) as gateway:
            assert "2 engines known" in gateway.log()
            wait_for_engine_count(installation, gateway, 3)
            discovery.announce(engine("e3"), engine("e0", "DELETED"), engine("e4"))
            wait_for_engine_count(installation, gateway, 4)
            discovery.is_down = True
            call_count = discovery.call_count
            until(lambda: discovery.call_count > call_count + 10, 10)
            assert engine_count(installation, gateway) == 4
            discovery.is_down = False
            discovery.announce(engine("e9"), is_whole=True)
            wait_for_engine_count(installation, gateway, 1)


def test_the_next_publisher_continues_with_the_endpoint_list(tmp_path, discovery):
    """Engines that were added or deleted while there was no publisher are distributed afterwards."""
    extra_settings = 'engines: true prefixes: "config/" prefixes: "engine/z1/"'
    installation = Installation(tmp_path, subscriber_count=1, discovery=discovery.address)
    with installation, GatewayProcess(installation, extra_settings=extra_settings) as gateway:
        wait_for_engine_count(installation, gateway, 3)
        first = installation.publisher()
        installation.kill(first)
        discovery.announce(engine("e1", "DELETED"), engine("e5"), engine("e6"))
        discovery.announce(engine("e7", zone="z2"))  # Not in its subscription.
        wait_for_engine_count(installation, gateway, 4)
        second = installation.publisher([name for name in VOTERS if name != first])
        assert second != first
        installation.restart(first)
        discovery.announce(engine("e8"))
        wait_for_engine_count(installation, gateway, 5)
