"""Which address certainly is an engine's, by the endpoint list."""

import pytest

from lichenquay.admission.domain import EndpointState
from lichenquay.gateway.engine_pool import GatewayEngine
from lichenquay.gateway.serving_addresses import ServingAddresses


def listed_engine(addresses, uid, address="127.0.0.1:1"):
    """Returns an engine that is listed as serving at the address."""
    engine = GatewayEngine(uid, address=address)
    engine.state = EndpointState.SERVING
    addresses.update(engine)
    return engine


def test_the_address_of_a_serving_engine_is_certain():
    """Only that one, and only once the engine is listed."""
    addresses = ServingAddresses()
    engine = listed_engine(addresses, "a")
    assert addresses.is_certain(engine, "127.0.0.1:1")
    assert not addresses.is_certain(engine, "127.0.0.1:2")
    assert not addresses.is_certain(GatewayEngine("b", address="127.0.0.1:1"), "127.0.0.1:1")


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_the_address_of_an_engine_that_leaves_is_its_successors(state):
    """The engine that leaves may work on, so that its address is no longer certain; the next engine's is."""
    addresses = ServingAddresses()
    old = listed_engine(addresses, "a")
    old.state = state
    addresses.update(old)
    new = listed_engine(addresses, "b")
    assert not addresses.is_certain(old, "127.0.0.1:1") and addresses.is_certain(new, "127.0.0.1:1")


def test_no_address_is_certain_that_two_serving_engines_share():
    """It is certain again once one of them is listed elsewhere or no longer."""
    addresses = ServingAddresses()
    first, second = listed_engine(addresses, "a"), listed_engine(addresses, "b")
    assert not addresses.is_certain(first, "127.0.0.1:1") and not addresses.is_certain(second, "127.0.0.1:1")
    second.address = "127.0.0.1:2"
    addresses.update(second)
    assert addresses.is_certain(first, "127.0.0.1:1") and addresses.is_certain(second, "127.0.0.1:2")
    assert not addresses.is_certain(second, "127.0.0.1:1")


def test_an_address_that_is_listed_again_unchanged_stays_certain():
    """Repeated records of one engine are not two engines."""
    addresses = ServingAddresses()
    engine = listed_engine(addresses, "a")
    for _ in range(3):
        addresses.update(engine)
    assert addresses.is_certain(engine, "127.0.0.1:1")
