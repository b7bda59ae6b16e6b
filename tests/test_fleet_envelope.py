"""Which datagrams the envelope accepts, and how addresses of unlisted senders are discovered."""

import pytest

from lichenquay.fleet.addresses import Addresses
from lichenquay.fleet.errors import DroppedDatagramError
from lichenquay.fleet.message_envelope import Layer, MessageEnvelope

OPEN_LAYERS = {Layer.DISTRIBUTION: 7}


def envelope(name="v1", fleet="yard", fingerprint=1, names=("v1", "v2"), layers=None):
    """Of one process."""
    return MessageEnvelope(fleet, fingerprint, name, names, OPEN_LAYERS if layers is None else layers)


def opened(sender, receiver="v1", layer=Layer.DISTRIBUTION, by=None):
    """The opened datagram at v1, or the reason why it was dropped."""
    try:
        return (by or envelope()).open(sender.seal(5, receiver, layer, b"body"))
    except DroppedDatagramError as error:
        return str(error)


def test_an_open_layer_accepts_any_well_formed_name_of_the_fleet():
    """Thousands of followers are listed in no settings."""
    follower = envelope("front-4399", fingerprint=99, names=())
    assert opened(follower) == ("front-4399", 5, Layer.DISTRIBUTION, b"body")


@pytest.mark.parametrize("layer", [Layer.MEMBERS, Layer.LEASE])
def test_other_layers_accept_only_named_processes(layer):
    """Name, fingerprint and receiver are checked."""
    assert opened(envelope("stranger"), layer=layer) == "a stranger"
    assert opened(envelope("v2"), layer=layer)[0] == "v2"
    assert opened(envelope("v2", fingerprint=2), layer=layer) == "other settings"
    assert opened(envelope("v2"), receiver="", layer=layer) == "for another"


@pytest.mark.parametrize(
    "sender, reason",
    [
        (envelope("a", fleet="moor"), "another fleet"),
        (envelope("a", layers={Layer.DISTRIBUTION: 8}), "other settings"),
        (envelope("no name"), "a stranger"),
        (envelope("x" * 25), "a stranger"),
        (envelope(""), "a stranger"),
        (envelope("v1"), "a stranger"),
    ],
)
def test_an_open_layer_still_checks_fleet_fingerprint_and_name(sender, reason):
    """Each has its own reason."""
    assert opened(sender) == reason


def test_in_an_open_layer_the_receiver_may_be_empty():
    """A datagram that names another receiver is still dropped."""
    client = envelope("client")
    assert opened(client, receiver="")[0] == "client"
    assert opened(client, receiver="v2") == "for another"


def test_a_process_without_open_layers_accepts_no_unlisted_sender():
    """On a gateway that follows nothing, the layer is as any other."""
    closed = envelope(layers={})
    assert opened(envelope("front-1", layers={}), by=closed) == "a stranger"


class Table:
    """Addresses with a clock under control."""

    def __init__(self, most=3):
        """One process is named by the settings."""
        self.now_ms = 0.0
        self.addresses = Addresses({"v1": ("127.0.0.1", 1)}, lambda: self.now_ms, most, expire_ms=1000.0)

    def learn(self, name, port, incarnation=1):
        """A datagram came."""
        self.addresses.learn(name, incarnation, ("127.0.0.1", port))


def test_a_named_process_keeps_the_address_in_the_settings():
    """Whatever the source of its datagrams is."""
    table = Table()
    table.learn("v1", 99)
    assert table.addresses.get("v1") == ("127.0.0.1", 1) and not table.addresses.discovered


def test_a_sender_has_the_address_of_its_last_datagram():
    """A late datagram of an earlier incarnation changes nothing."""
    table = Table()
    table.learn("a", 10, incarnation=1)
    table.learn("a", 11, incarnation=2)
    table.learn("a", 10, incarnation=1)
    assert table.addresses.get("a") == ("127.0.0.1", 11) and table.addresses.get("b") is None
    assert table.addresses.counts["addresses out of date"] == 1


def test_the_table_is_bounded_and_expired_addresses_give_way():
    """A recent one is never replaced by a new sender."""
    table = Table(most=2)
    table.learn("a", 1)
    table.now_ms = 900.0
    table.learn("b", 2)
    table.learn("c", 3)
    assert table.addresses.get("c") is None
    table.now_ms = 1000.0
    table.learn("c", 3)
    assert table.addresses.get("a") is None and table.addresses.get("c") and table.addresses.get("b")
    assert table.addresses.counts == {"addresses without room": 1, "addresses expired": 1}
