"""Builds records of a scale run for tests."""

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.testbed.scale.client import TimedProposal
from lichenquay.testbed.scale.record import GatewayLifetime


def change(version, value, proposed_ms):
    """Returns an accepted change of one key."""
    entries = [pb.Entry(key="config/a", value=value)]
    return TimedProposal(version, entries, proposed_ms, proposed_ms, proposed_ms + 5.0, version)


def lifetime(name, steps, values_digest, started_ms=0.0):
    """Returns a gateway's record that has these (version, ms) in force."""
    one = GatewayLifetime(name, started_ms, values_digest=values_digest)
    for version, at_ms in steps:
        one.record_version(version, at_ms)
    return one
