"""Settings files mean what they meant at revision 0018238.

`golden/config` holds files with every section, and `expected.json` what that revision read and derived from
them.
"""

import json
from dataclasses import asdict, astuple
from pathlib import Path

import pytest

from lichenquay.admission.domain import EndpointState
from lichenquay.config.connection_admission_settings import connection_rules
from lichenquay.config.control_settings import group_fingerprint, lease_duration_ms, region_of
from lichenquay.config.distribution_settings import (
    distribution_fingerprint,
    distribution_settings,
    followed_prefixes,
)
from lichenquay.config.endpoint_list import (
    COMPLETE,
    COMPLETE_KEY,
    decode_endpoint,
    encode_endpoint,
    endpoint_key,
)
from lichenquay.config.fleet_settings import (
    fingerprint,
    gateway_names,
    ledger_account,
    quota_account,
    voter_names,
)
from lichenquay.config.reader import read_control, read_file, read_settings
from lichenquay.config.testbed_settings import read_testbed

pytestmark = pytest.mark.together

GOLDEN = Path(__file__).parent / "golden" / "config"
EXPECTED = json.loads((GOLDEN / "expected.json").read_text(encoding="utf-8"))
READERS = {"gateway": read_settings, "voter": read_control, "relay": read_control, "testbed": read_testbed}
ENDPOINT_STATES = (EndpointState.SERVING, EndpointState.DRAINING)


def read(name):
    """The settings in one of the golden files."""
    return read_file(GOLDEN / f"{name}.textproto", READERS[name])


@pytest.mark.parametrize("name", READERS)
def test_a_settings_file_is_read_as_before(name):
    """Defaults included."""
    assert read(name).SerializeToString(deterministic=True).hex() == EXPECTED["parsed"][name]


def test_the_rules_of_connection_admission_are_the_same():
    """Value by value, in the order of the fields."""
    rules = connection_rules(read("gateway").gate, 70)
    values = list(astuple(rules))
    values[5] = [str(network) for network in rules.known]
    names = "most most_queries address prefix prefix4 known reserve spare most_seen quiet_ms again_ms up down"
    names += " rest_ms lag_ms lag_window_ms"
    expected = [EXPECTED["rules_fields"][name] for name in names.split()]
    assert json.loads(json.dumps(values)) == expected


def test_the_fleet_section_means_the_same():
    """Names, voters, quota accounts and the fingerprint that all gateways compare."""
    fleet = read("gateway").fleet
    expected = EXPECTED["fleet"]
    assert gateway_names(fleet) == expected["names"]
    assert voter_names(fleet) == expected["voters"]
    assert [list(quota_account(account)) for account in fleet.accounts] == expected["accounts"]
    ledger_accounts = [ledger_account(account) for account in fleet.accounts]
    in_bytes = [account.SerializeToString(deterministic=True).hex() for account in ledger_accounts]
    assert in_bytes == expected["ledger_accounts"]
    assert fingerprint(fleet) == expected["fingerprint"]


def test_control_and_distribution_mean_the_same():
    """Lease, region, timing, prefixes and fingerprints."""
    voter = read("voter").control
    relay = read("relay").control
    distribution = read("gateway").distribution
    expected = EXPECTED["control"]
    assert [lease_duration_ms(voter), lease_duration_ms(relay)] == expected["lease_ms"]
    assert [region_of(voter), region_of(relay)] == expected["region"]
    assert group_fingerprint(voter) == expected["group_fingerprint"]
    assert distribution_fingerprint("yard") == expected["distribution_fingerprint"]
    assert list(followed_prefixes(distribution)) == expected["prefixes"]
    timings = [distribution_settings(voter.figures), distribution_settings(distribution.figures)]
    for timing, values in zip(timings, expected["figures"], strict=True):
        assert sorted(asdict(timing).values()) == sorted(values.values())


@pytest.mark.parametrize("case", EXPECTED["endpoints"], ids=lambda case: case["key"])
def test_an_endpoint_entry_is_the_same_bytes(case):
    """Read and written."""
    record = decode_endpoint(case["key"], bytes.fromhex(case["value"]))
    fields = [*record]
    fields[5] = ENDPOINT_STATES.index(record.state)
    assert fields == case["fields"]
    assert (endpoint_key(record), encode_endpoint(record).hex()) == (case["key"], case["value"])


def test_the_marker_of_a_complete_endpoint_list_is_the_same():
    """Its key and its value."""
    assert [COMPLETE_KEY, COMPLETE.hex()] == EXPECTED["endpoint_list_complete"]
