"""Tests of settings in protobuf text format, their one-line errors, and the generated protobuf code."""

import subprocess
import sys

import pytest
from google.protobuf import text_format
from hypothesis import given, settings
from hypothesis import strategies as st

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.connection_admission_settings import connection_rules
from lichenquay.config.errors import ConfigurationError
from lichenquay.config.fleet_settings import fingerprint, voter_names
from lichenquay.config.generate_protobuf import CONFIG_PACKAGE, PROTO_FILES
from lichenquay.config.ranges import RANGES
from lichenquay.config.reader import read_file, read_settings
from lichenquay.config.testbed_settings import find_testbed_error, read_testbed
from lichenquay.config.text_format import given_values


def test_the_generated_protobuf_code_is_current(tmp_path):
    """Every committed `_pb2.py` is what protoc generates from its .proto file."""
    subprocess.run(
        [
            sys.executable,
            "-c",
            f"from lichenquay.config.generate_protobuf import generate; generate({str(tmp_path)!r})",
        ],
        check=True,
        cwd=CONFIG_PACKAGE.parents[1],
    )
    assert len(PROTO_FILES) > 1
    for proto in PROTO_FILES:
        name = proto.stem + "_pb2.py"
        assert (tmp_path / name).read_text() == (proto.parent / name).read_text(), proto


def test_missing_values_have_defaults_and_zero_is_a_value():
    """A given list replaces the default list; a given 0 is not taken for a missing value."""
    testbed = read_testbed(
        "load { skew: 0 rate: 7 } "
        'groups { name: "one" target_ms: 5 timeout_ms: 9 threads: 1 share: 1 work_ms: 1 }'
    )
    load = testbed.load
    assert load.skew == 0 and load.rate == 7 and load.workers == 2 and testbed.engines.count == 4
    assert [group.name for group in testbed.groups] == ["one"] and len(testbed.tenants) == 3
    assert read_testbed("engines { zones: 'z' }").engines.zones == ["z"]


@pytest.mark.parametrize(
    "text, message",
    [
        ("load {\n  rat: 3\n}", ':2: Message type "lichenquay.conf.Load" has no field named "rat"'),
        ("load {\n  rate: 'x'\n}", "Couldn't parse float: 'x'"),
        ("load {", ":1: "),
        ("\nengines {\n  count: 0\n}", ":3: engines.count: 0 is not between 1 and 10000"),
        (
            "load { workers: 9 connections: 4 addresses: 1 }",
            ":1: load.workers: 9 exceeds the number of connections, 4",
        ),
        (
            "groups { name: 'a' work_ms: 1 threads: 1 share: 1 target_ms: 1 timeout_ms: 1 }\n"
            "groups { name: 'a'\n }",
            "groups[1].target_ms: 0 is not between",
        ),
        ("faults { at_ms: 3 }", "faults[0].kind: missing"),
        ("faults { kind: HANG engine: 4 }", "faults[0].engine: 4 is not between 0 and 3"),
        ("faults { kind: LOSE amount: 1.5 }", "faults[0].amount: 1.5 is not a share above 0 and up to 1"),
        ("faults { kind: SLOW }", "faults[0].amount: 0 is not a factor above 0 and up to 100"),
        ("faults { kind: ZONE_CUT zone: 'q' }", "no engine is in 'q'"),
        ("load { addresses: 50 }", "load.addresses: 50 exceeds the number of connections, 12"),
        ("load { rate: nan }", "load.rate: nan"),
        ("tenants { share: 1 }", "tenants: each element requires a unique name"),
    ],
)
def test_invalid_testbed_is_rejected_in_one_line(text, message):
    """The error names the file and, if known, the line and the path of the field."""
    with pytest.raises(ConfigurationError) as raised:
        read_testbed(text, "w.textproto")
    line = str(raised.value)
    assert line.startswith("w.textproto") and message in line and "\n" not in line


def test_error_names_an_unreadable_file(tmp_path):
    """The file is missing, or is not UTF-8 text."""
    with pytest.raises(ConfigurationError, match="nothing.textproto: No such file"):
        read_file(tmp_path / "nothing.textproto")
    (tmp_path / "x").write_bytes(b"\xff\xfe")
    with pytest.raises(ConfigurationError, match="not UTF-8"):
        read_file(tmp_path / "x")


def test_every_number_of_a_testbed_has_a_range():
    """A number without an entry in `RANGES` would not be checked."""
    testbed = read_testbed("faults { kind: HANG }")
    numbers = {
        path
        for path, _, value in given_values(testbed)
        if isinstance(value, (int, float)) and not isinstance(value, bool)
    }
    unrestricted = {"seed", "groups.effect", "faults.kind", "faults.engine", "load.arrivals", "load.shape"}
    other_sections = ("fleet", "control", "distribution")  # covered by other tests
    assert numbers - unrestricted == {
        name for name in RANGES if "gate" not in name and not name.startswith(other_sections)
    }


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.text(max_size=60)
    | st.lists(
        st.sampled_from(
            [
                "load",
                "engines",
                "{",
                "}",
                ":",
                "rate",
                "count",
                "3",
                "-1",
                "1e400",
                "'x'",
                "nan",
                "faults",
                "kind",
                "DIE",
                "\n",
            ]
        ),
        max_size=14,
    ).map(" ".join)
)
def test_any_text_is_read_or_rejected(text):
    """No text raises another error; accepted settings are valid and are the same after a write and a read."""
    try:
        testbed = read_testbed(text)
    except ConfigurationError as error:
        assert "\n" not in str(error).strip()
    else:
        assert find_testbed_error(testbed) is None
        reread = pb.Lab()
        text_format.Parse(text_format.MessageToString(testbed), reread)
        assert reread == testbed


@pytest.mark.parametrize(
    "text, message",
    [
        ("gate {\n address { per_s: 5 } }", "gate.address.burst: 0 is below 1, the minimum with per_s"),
        ("gate { known: '10.0.0.0/99' }", "gate.known: '10.0.0.0/99' does not"),
        ("gate { reserve: 3 }", "gate.reserve: 3, but no range is known"),
        ("gate { prefix4: 99 }", "gate.prefix4: 99 is not between 8 and 32"),
        ("gat { }", 'no field named "gat"'),
        ("gate { prefix { held_bytes: 10000000000000 } }", "gate.prefix.held_bytes: 1e+13 is not"),
    ],
)
def test_invalid_gate_section_is_rejected_in_one_line(text, message):
    """The error names the path of the field."""
    with pytest.raises(ConfigurationError) as raised:
        read_settings(text, "s")
    assert message in str(raised.value) and "\n" not in str(raised.value)


def test_connection_rules_hold_given_values_and_defaults():
    """A given 0 replaces a default, too."""
    rules = connection_rules(
        read_settings(
            "gate { address { connections: 3 per_s: 2 burst: 4 } known: '10.0.0.1' reserve: 5 lag_ms: 0 }"
        ).gate,
        70,
    )
    assert (rules.max_connections, rules.reserve, rules.max_lag_ms) == (70, 5, 0)
    assert (rules.address.connections, rules.address.burst) == (3, 4)
    assert (rules.ipv4_prefix_bits, rules.retry_after_ms) == (24, 1000)
    assert str(rules.known[0]) == "10.0.0.1/32"


FLEET = """fleet { fleet: "yard" name: "a" listen: "127.0.0.1:4001" folder: "f" peers { name: "b"
address: "127.0.0.1:4002" } peers { name: "c" address: "127.0.0.1:4003" } %s }"""


@pytest.mark.parametrize(
    "text, message",
    [
        ("fleet { }", "fleet.fleet: missing"),
        (
            'fleet { fleet: "x" name: "a" listen: "127.0.0.1:1" }',
            "fleet.peers: missing; a fleet has at least two gateways",
        ),
        (
            FLEET % 'peers { name: "b" address: "127.0.0.1:4004" }',
            ":2: fleet.peers[2].name: 'b' is already the name of another peer",
        ),
        (
            FLEET % 'peers { name: "a" address: "127.0.0.1:4004" }',
            "fleet.peers[2].name: 'a' is the name of this gateway",
        ),
        (
            FLEET % 'peers { name: "d" address: "127.0.0.1:4002" }',
            "fleet.peers[2].address: '127.0.0.1:4002' is already the address of another gateway",
        ),
        (
            FLEET % 'peers { name: "d" address: "nowhere" }',
            "fleet.peers[2].address: 'nowhere' is not an address:port",
        ),
        (
            FLEET % 'peers { name: "d d" address: "127.0.0.1:9" }',
            "fleet.peers[2].name: 'd d' is not a valid name",
        ),
        (FLEET % 'voters: "a" voters: "z" voters: "b"', "fleet.voters: 'z' is not a gateway of this fleet"),
        (FLEET % 'voters: "a"', "fleet.voters: 1 voters; expected 3 or 5 unique names"),
        (
            FLEET % 'accounts { tenant: "t" rate_ms: -1 bucket_ms: 1 }',
            "fleet.accounts[0].rate_ms: -1 is not between",
        ),
        (FLEET % 'accounts { tenant: "t" bucket_ms: 1 }', "fleet.accounts[0].rate_ms: missing"),
        (
            FLEET % ('accounts { tenant: "t" rate_ms: 1 bucket_ms: 1 } ' * 2),
            "fleet.accounts: each account requires a unique tenant",
        ),
        (
            FLEET % 'accounts { tenant: "t" rate_ms: 1 bucket_ms: 1 credit_ms: 900 }',
            "fleet.accounts[0]: quota of 't': a limit of 900 ms cannot be repaid",
        ),
        (FLEET % "lease_ms: 2000 term_ms: 3000", "fleet.term_ms: 3000 is less than 2 leases of 2000"),
        (
            FLEET.replace('folder: "f"', "") % 'accounts { tenant: "t" rate_ms: 1 bucket_ms: 1 }',
            "fleet.folder: missing; accounts require durable storage",
        ),
    ],
)
def test_invalid_fleet_section_is_rejected_in_one_line(text, message):
    """The error names the path of the field."""
    with pytest.raises(ConfigurationError) as raised:
        read_settings(text, "s")
    assert message in str(raised.value) and "\n" not in str(raised.value)


def test_fingerprint_covers_only_the_shared_settings():
    """It is the same on gateways that differ in name and folder, and differs if a shared value does."""

    def fingerprint_of(text):
        return fingerprint(read_settings(text).fleet)

    own = FLEET % 'accounts { tenant: "t" rate_ms: 1 bucket_ms: 1 }'
    other = (
        own.replace('name: "a"', 'name: "x"')
        .replace('name: "b"', 'name: "a"')
        .replace('name: "x"', 'name: "b"')
        .replace('"f"', '"g"')
    )
    assert (
        fingerprint_of(own)
        == fingerprint_of(other)
        == fingerprint_of(own.replace("bucket_ms: 1", "bucket_ms: 1 repay_share: 0.25"))
    )
    assert (
        len(
            {
                fingerprint_of(own),
                fingerprint_of(FLEET % ""),
                fingerprint_of(own.replace("yard", "moor")),
                fingerprint_of(own.replace("rate_ms: 1", "rate_ms: 2")),
            }
        )
        == 4
    )
    assert voter_names(read_settings(own).fleet) == ["a", "b", "c"]
