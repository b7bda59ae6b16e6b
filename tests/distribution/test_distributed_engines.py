"""The list of engines from discovery over voters and relays to a front, all processes of the real program."""

import pytest
from discovery_server import DiscoveryServer, engine
from installation import VOTERS, Installation
from ports import allocate_free_ports
from running import until
from test_distribution_gateway import Front

pytestmark = pytest.mark.together
IN_FORCE_S = 7.0  # the operators' bound for a change


@pytest.fixture
def discovery():
    """Discovery of three engines."""
    with DiscoveryServer(*allocate_free_ports(1)) as discovery:
        discovery.announce(*(engine(f"e{n}") for n in range(3)), whole=True)
        yield discovery


def listed(installation, front):
    """How many engines a front has, by its own word."""
    return int(installation.count(front.name, "engines", "listed"))


def has(installation, front, count, seconds=IN_FORCE_S):
    """Waits until it has so many."""
    until(lambda: listed(installation, front) == count, seconds, 0.1)


def test_a_front_has_the_engines_that_discovery_announces(tmp_path, discovery):
    """Those of its configuration until then; without discovery all stays as it was."""
    with Installation(tmp_path, subscribers=1, discovery=discovery.address) as installation:
        known = [engine("old1"), engine("old2")]
        with Front(installation, more="engines: true", known=known) as front:
            assert "2 engines known" in front.log()
            has(installation, front, 3)
            discovery.announce(engine("e3"), engine("e0", "DELETED"), engine("e4"))
            has(installation, front, 4)
            discovery.down = True
            calls = discovery.calls
            until(lambda: discovery.calls > calls + 10, 10)
            assert listed(installation, front) == 4
            discovery.down = False
            discovery.announce(engine("e9"), whole=True)
            has(installation, front, 1)


def test_another_publisher_goes_on_with_the_list(tmp_path, discovery):
    """Announced while nobody published; nothing is left out, nothing stays that is gone."""
    more = 'engines: true prefixes: "config/" prefixes: "engine/z1/"'
    installation = Installation(tmp_path, subscribers=1, discovery=discovery.address)
    with installation, Front(installation, more=more) as front:
        has(installation, front, 3)
        first = installation.publisher()
        installation.kill(first)
        discovery.announce(engine("e1", "DELETED"), engine("e5"), engine("e6"))
        discovery.announce(engine("e7", zone="z2"))  # of no interest there
        has(installation, front, 4)
        second = installation.publisher([name for name in VOTERS if name != first])
        assert second != first
        installation.back(first)
        discovery.announce(engine("e8"))
        has(installation, front, 5)
