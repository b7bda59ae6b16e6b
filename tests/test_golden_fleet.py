"""Datagrams between gateways of two versions: those of revision 0018238 are opened, and sealed the same.

`golden/fleet/datagrams.json` holds one datagram of each layer as that revision sealed it.
"""

import json
from pathlib import Path

import pytest

from lichenquay.fleet.message_envelope import Layer, MessageEnvelope

pytestmark = pytest.mark.together

DATAGRAMS = json.loads((Path(__file__).parent / "golden" / "fleet" / "datagrams.json").read_text("utf-8"))
FLEET = "yard"
FINGERPRINT = 17
DISTRIBUTION_FINGERPRINT = 7
INCARNATION = 1_234_567


def envelope_of(name):
    """Returns the envelope of one of the two gateways."""
    return MessageEnvelope(
        FLEET, FINGERPRINT, name, ("a", "b"), {Layer.DISTRIBUTION: DISTRIBUTION_FINGERPRINT}
    )


@pytest.mark.parametrize("label", ["members", "owner", "quota", "distribution"])
def test_a_datagram_of_the_earlier_version_opens_and_is_sealed_the_same(label):
    """Checks sender, incarnation, layer and body of the opened datagram, and every byte of the sealed one."""
    layer = DATAGRAMS[label]["layer"]
    data = bytes.fromhex(DATAGRAMS[label]["bytes"])
    body = b"body of " + label.encode()
    assert tuple(envelope_of("b").open(data)) == ("a", INCARNATION, layer, body)
    assert envelope_of("a").seal(INCARNATION, "b", layer, body) == data
