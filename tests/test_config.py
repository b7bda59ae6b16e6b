"""Settings in protobuf text format: read whole, or rejected in one line that names file, line and cause.

The generated protobuf code is current.
"""

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
from lichenquay.config.generate_protobuf import HERE, PROTOS
from lichenquay.config.ranges import RANGES
from lichenquay.config.reader import read_file, read_settings
from lichenquay.config.testbed_settings import problem_with_testbed, read_testbed
from lichenquay.config.text_format import given_values


def test_the_generated_protobuf_code_is_current(tmp_path):
    """Every `_pb2.py` is what its .proto gives."""
    subprocess.run(
        [
            sys.executable,
            "-c",
            f"from lichenquay.config.generate_protobuf import make; make({str(tmp_path)!r})",
        ],
        check=True,
        cwd=HERE.parents[1],
    )
    assert len(PROTOS) > 1
    for proto in PROTOS:
        name = proto.stem + "_pb2.py"
        assert (tmp_path / name).read_text() == (proto.parent / name).read_text(), proto


def test_defaults_fill_in_what_a_file_omits_and_zero_is_a_value():
    """Given lists replace the default lists."""
    lab = read_testbed(
        "load { skew: 0 rate: 7 } "
        'groups { name: "one" target_ms: 5 timeout_ms: 9 threads: 1 share: 1 work_ms: 1 }'
    )
    assert lab.load.skew == 0 and lab.load.rate == 7 and lab.load.workers == 2 and lab.engines.count == 4
    assert [g.name for g in lab.groups] == ["one"] and len(lab.tenants) == 3
    assert read_testbed("engines { zones: 'z' }").engines.zones == ["z"]


@pytest.mark.parametrize(
    "text, said",
    [
        ("load {\n  rat: 3\n}", ':2: Message type "lichenquay.conf.Load" has no field named "rat"'),
        ("load {\n  rate: 'x'\n}", "Couldn't parse float: 'x'"),
        ("load {", ":1: "),
        ("\nengines {\n  count: 0\n}", ":3: engines.count: 0 is not between 1 and 10000"),
        (
            "load { workers: 9 connections: 4 addresses: 1 }",
            ":1: load.workers: 9 of them need a connection each, there are 4",
        ),
        (
            "groups { name: 'a' work_ms: 1 threads: 1 share: 1 target_ms: 1 timeout_ms: 1 }\n"
            "groups { name: 'a'\n }",
            "groups[1].target_ms: 0 is not between",
        ),
        ("faults { at_ms: 3 }", "faults[0].kind: missing"),
        ("faults { kind: HANG engine: 4 }", "faults[0].engine: 4, but there are 4"),
        ("faults { kind: LOSE amount: 1.5 }", "faults[0].amount: 1.5 is no share"),
        ("faults { kind: SLOW }", "faults[0].amount: 0 is no factor"),
        ("faults { kind: ZONE_CUT zone: 'q' }", "no engine is in 'q'"),
        ("load { addresses: 50 }", "load.addresses: 50 of them need as many"),
        ("load { rate: nan }", "load.rate: nan"),
        ("tenants { share: 1 }", "tenants: each needs a name"),
    ],
)
def test_an_unusable_testbed_is_rejected_in_one_line(text, said):
    """With file, line and path."""
    with pytest.raises(ConfigurationError) as bad:
        read_testbed(text, "w.textproto")
    line = str(bad.value)
    assert line.startswith("w.textproto") and said in line and "\n" not in line


def test_a_file_that_cannot_be_read_is_named(tmp_path):
    """Missing, or not text."""
    with pytest.raises(ConfigurationError, match="nothing.textproto: No such file"):
        read_file(tmp_path / "nothing.textproto")
    (tmp_path / "x").write_bytes(b"\xff\xfe")
    with pytest.raises(ConfigurationError, match="not UTF-8"):
        read_file(tmp_path / "x")


def test_every_number_of_a_testbed_has_a_range():
    """So no value goes unchecked."""
    lab = read_testbed("faults { kind: HANG }")
    figures = {p for p, _, v in given_values(lab) if isinstance(v, (int, float)) and not isinstance(v, bool)}
    free = {"seed", "groups.effect", "faults.kind", "faults.engine", "load.arrivals", "load.shape"}
    others = ("fleet", "control", "distribution")  # these have tests of their own
    assert figures - free == {name for name in RANGES if "gate" not in name and not name.startswith(others)}


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
    """Whatever is accepted survives being written and read again."""
    try:
        lab = read_testbed(text)
    except ConfigurationError as bad:
        assert "\n" not in str(bad).strip()
    else:
        assert problem_with_testbed(lab) is None
        again = pb.Lab()
        text_format.Parse(text_format.MessageToString(lab), again)
        assert again == lab


@pytest.mark.parametrize(
    "text, said",
    [
        ("gate {\n address { per_s: 5 } }", "gate.address.burst: 0 lets nobody in"),
        ("gate { known: '10.0.0.0/99' }", "gate.known: '10.0.0.0/99' does not"),
        ("gate { reserve: 3 }", "gate.reserve: 3, but no range is known"),
        ("gate { prefix4: 99 }", "gate.prefix4: 99 is not between 8 and 32"),
        ("gat { }", 'no field named "gat"'),
        ("gate { prefix { held_bytes: 10000000000000 } }", "gate.prefix.held_bytes: 1e+13 is not"),
    ],
)
def test_an_unusable_gate_section_is_rejected_in_one_line(text, said):
    """With its path."""
    with pytest.raises(ConfigurationError) as bad:
        read_settings(text, "s")
    assert said in str(bad.value) and "\n" not in str(bad.value)


def test_the_rules_made_of_a_gate_section():
    """Given values and defaults."""
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
    "text, said",
    [
        ("fleet { }", "fleet.fleet: missing"),
        ('fleet { fleet: "x" name: "a" listen: "127.0.0.1:1" }', "a fleet is two fronts at least"),
        (
            FLEET % 'peers { name: "b" address: "127.0.0.1:4004" }',
            ":2: fleet.peers[2].name: 'b' is another peer's",
        ),
        (
            FLEET % 'peers { name: "a" address: "127.0.0.1:4004" }',
            "fleet.peers[2].name: 'a' is this front itself",
        ),
        (
            FLEET % 'peers { name: "d" address: "127.0.0.1:4002" }',
            "fleet.peers[2].address: '127.0.0.1:4002' is another's",
        ),
        (
            FLEET % 'peers { name: "d" address: "nowhere" }',
            "fleet.peers[2].address: 'nowhere' is no address:port",
        ),
        (FLEET % 'peers { name: "d d" address: "127.0.0.1:9" }', "fleet.peers[2].name: 'd d' is no name"),
        (FLEET % 'voters: "a" voters: "z" voters: "b"', "fleet.voters: 'z' is no front"),
        (FLEET % 'voters: "a"', "fleet.voters: 1 of them"),
        (
            FLEET % 'accounts { tenant: "t" rate_ms: -1 bucket_ms: 1 }',
            "fleet.accounts[0].rate_ms: -1 is not between",
        ),
        (FLEET % 'accounts { tenant: "t" bucket_ms: 1 }', "fleet.accounts[0].rate_ms: missing"),
        (
            FLEET % ('accounts { tenant: "t" rate_ms: 1 bucket_ms: 1 } ' * 2),
            "a tenant of its own",
        ),
        (
            FLEET % 'accounts { tenant: "t" rate_ms: 1 bucket_ms: 1 credit_ms: 900 }',
            "fleet.accounts[0]: quota of 't': a limit of 900 ms cannot be repaid",
        ),
        (FLEET % "lease_ms: 2000 term_ms: 3000", "fleet.term_ms: 3000 is under two leases"),
        (
            FLEET.replace('folder: "f"', "") % 'accounts { tenant: "t" rate_ms: 1 bucket_ms: 1 }',
            "fleet.folder: missing",
        ),
    ],
)
def test_an_unusable_fleet_section_is_rejected_in_one_line(text, said):
    """With its path."""
    with pytest.raises(ConfigurationError) as bad:
        read_settings(text, "s")
    assert said in str(bad.value) and "\n" not in str(bad.value)


def test_the_fingerprint_covers_what_all_gateways_must_share():
    """And nothing that is each gateway's own."""

    def print_of(text):
        return fingerprint(read_settings(text).fleet)

    own = FLEET % 'accounts { tenant: "t" rate_ms: 1 bucket_ms: 1 }'
    other = (
        own.replace('name: "a"', 'name: "x"')
        .replace('name: "b"', 'name: "a"')
        .replace('name: "x"', 'name: "b"')
        .replace('"f"', '"g"')
    )
    assert (
        print_of(own)
        == print_of(other)
        == print_of(own.replace("bucket_ms: 1", "bucket_ms: 1 repay_share: 0.25"))
    )
    assert (
        len(
            {
                print_of(own),
                print_of(FLEET % ""),
                print_of(own.replace("yard", "moor")),
                print_of(own.replace("rate_ms: 1", "rate_ms: 2")),
            }
        )
        == 4
    )
    assert voter_names(read_settings(own).fleet) == ["a", "b", "c"]
