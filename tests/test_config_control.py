"""Tests of the settings of control processes and of the gateways that subscribe to them."""

import pytest

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.control_settings import (
    RANGES,
    find_warnings,
    group_fingerprint,
    lease_duration_ms,
    region_of,
)
from lichenquay.config.distribution_settings import (
    distribution_fingerprint,
    distribution_settings,
    followed_prefixes,
)
from lichenquay.config.errors import ConfigurationError
from lichenquay.config.reader import read_control, read_gate, read_settings
from lichenquay.control_plane.client import Client
from lichenquay.control_plane.errors import NoVotersError
from lichenquay.distribution.settings import Settings as DistributionSettings

pytestmark = pytest.mark.together
VOTERS = [("v1", 1, "north"), ("v2", 2, "south"), ("v3", 3, "west")]
RELAYS = [("r1", 11, "north", "n1"), ("r2", 12, "south", "s1")]


def voters_text(voters=VOTERS):
    """Returns entries of `voters`."""
    return "\n".join(
        f'voters {{ name: "{name}" address: "127.0.0.1:{port}" region: "{region}" }}'
        for name, port, region in voters
    )


def relays_text(relays=RELAYS):
    """Returns entries of `relays`."""
    return "\n".join(
        f'relays {{ name: "{name}" address: "127.0.0.1:{port}" region: "{region}" zone: "{zone}" }}'
        for name, port, region, zone in relays
    )


def control_text(more="", name="v1", role="VOTER", folder='folder: "f"', voters=VOTERS, relays=RELAYS):
    """Returns the settings of a control process; `more` is further text of its section."""
    return (
        f'control {{ fleet: "yard" name: "{name}" listen: "127.0.0.1:9" role: {role} {folder}\n'
        f"{voters_text(voters)}\n{relays_text(relays)}\n{more} }}"
    )


def gateway_text(more='zone: "n1"', identity='fleet: "yard" name: "a" listen: "127.0.0.1:9"', relays=RELAYS):
    """Returns the `distribution` section of a gateway; `more` is further text of it."""
    return f"distribution {{ {identity} {relays_text(relays)} {more} }}"


def error_in(text):
    """Returns the error that the text is rejected with, and checks that it is one line."""
    with pytest.raises(ConfigurationError) as raised:
        read_settings(text, "s")
    line = str(raised.value)
    assert "\n" not in line and line.startswith("s")
    return line


@pytest.mark.parametrize(
    "text, message",
    [
        ("control { }", "control.fleet: missing"),
        (control_text(role="BOSS"), "has no value named BOSS"),
        (control_text(role="NONE"), "control.role: missing; expected VOTER or RELAY"),
        (control_text(folder=""), "control.folder: missing; a voter requires durable storage"),
        (control_text(name="r1", role="RELAY"), "control.folder: not allowed for a relay"),
        (control_text(name="d d"), "control.name: 'd d' is not a valid name"),
        (control_text('zone: "n1"'), "control.zone: 'n1' is not allowed for a voter"),
        (control_text(voters=VOTERS[:2]), "control.voters: 2 voters; expected 1, 3 or 5"),
        (control_text(voters=[]), "control.voters: 0 voters"),
        (control_text(voters=[*VOTERS[:2], ("v1", 7, "a")]), "control.voters[2].name: 'v1' is a duplicate"),
        (
            control_text(voters=[*VOTERS[:2], ("v3", 1, "a")]),
            "control.voters[2].address: '127.0.0.1:1' is a duplicate",
        ),
        (
            control_text(voters=[*VOTERS[:2], ("v3", 3, "")]),
            "control.voters[2].region: '' is not a valid name",
        ),
        (control_text(name="v9"), "control.voters: no entry for this process, 'v9'"),
        (control_text('region: "south"'), "control.region: 'south', but 'north' in `voters`"),
        (
            control_text(name="r1", role="RELAY", folder='zone: "s1"'),
            "control.zone: 's1', but 'n1' in `relays`",
        ),
        (control_text(name="r1"), "control.role: 'r1' is listed with another role"),
        (
            control_text(relays=[*RELAYS, ("r1", 13, "a", "b")]),
            "control.relays[2].name: 'r1' is a duplicate",
        ),
        (
            control_text(relays=[*RELAYS, ("v1", 13, "a", "b")]),
            "control.relays[2].name: 'v1' is already the name of a voter",
        ),
        (
            control_text(relays=[*RELAYS, ("r3", 1, "a", "b")]),
            "control.relays[2].address: '127.0.0.1:1' is already the address of a voter",
        ),
        (
            control_text(relays=[*RELAYS, ("r3", 13, "south", "n1")]),
            "control.relays[2].region: another relay has zone 'n1' in region 'north'",
        ),
        (
            control_text('zones { name: "n1" region: "north" }'),
            "control.relays[1].zone: 's1' is not listed in `zones`",
        ),
        (
            control_text('zones { name: "n1" region: "west" }'),
            "control.relays[0].region: zone 'n1' is in 'west'",
        ),
        (
            control_text('zones { name: "n1" region: "a" } zones { name: "n1" region: "a" }'),
            "control.zones[1].name: 'n1' is already the name of another zone",
        ),
        (control_text("lease_ms: 1"), "control.lease_ms: 1 is not between 200 and 60000"),
        (control_text("figures { report_ms: 5 }"), "control.figures.report_ms: 5 is not between"),
        (
            control_text("figures { report_ms: 2000 }"),
            "control.figures.silent_ms: 2500 is less than 2 report intervals of 2000",
        ),
        (control_text("figures { stale_ms: nan }"), "control.figures.stale_ms: nan"),
        (control_text() + " gate { }", "control: not allowed in a file with gateway settings"),
        (control_text().replace("127.0.0.1:2", "somewhere:2"), "'somewhere:2' is not an address:port"),
        (control_text().replace("127.0.0.1:2", "::1:2"), "'::1:2' is not reachable from '127.0.0.1:9'"),
        (gateway_text(identity=""), "distribution.fleet: missing"),
        (gateway_text(more=""), "distribution.zone: missing"),
        (gateway_text('zone: "q"'), "distribution.zone: no relay is in 'q'"),
        (gateway_text(relays=[]), "distribution.relays: missing"),
        (
            gateway_text('zone: "n1" prefixes: "a" prefixes: "a"'),
            "distribution.prefixes[1]: 'a' is a duplicate",
        ),
        (gateway_text(f'zone: "n1" prefixes: "{"a" * 65}"'), "distribution.prefixes[0]: 65 characters"),
        (
            gateway_text('zone: "n1" ' + " ".join(f'prefixes: "{i}"' for i in range(17))),
            "distribution.prefixes: 17 prefixes; at most 16 are allowed",
        ),
        (
            gateway_text().replace('name: "a"', 'name: "r1"'),
            "distribution.relays[0].name: 'r1' is already the name of a gateway",
        ),
        (
            'fleet { fleet: "yard" name: "a" listen: "127.0.0.1:9" '
            'peers { name: "b" address: "127.0.0.1:8" } } ' + gateway_text(),
            "distribution.fleet: not allowed, as the `fleet` section sets it",
        ),
    ],
)
def test_invalid_settings_are_rejected_in_one_line(text, message):
    """The error names the path of the field."""
    assert message in error_in(text)


def test_a_single_voter_is_valid_with_a_warning():
    """The process logs the warning at its start, and the command `check` prints it."""
    single = read_settings(control_text(voters=VOTERS[:1], relays=[]))
    assert find_warnings(single) == [
        "control.voters: one alone; no changes while it is down, and its folder is the only copy"
    ]


@pytest.mark.parametrize(
    "regions, message",
    [
        (("a", "a", "a"), "all in region 'a'; its loss stops all configuration changes"),
        (("a", "b", "a"), "a majority is in region 'a'; its loss stops all configuration changes"),
        (("a", "b", "c"), None),
        (("a", "a", "b", "b", "c"), None),
    ],
)
def test_a_region_with_a_majority_of_voters_is_warned_about(regions, message):
    """The loss of such a region stops all changes; of two regions, one always has a majority."""
    voters = [(f"v{i}", i, region) for i, region in enumerate(regions, 1)]
    warnings = find_warnings(read_settings(control_text(voters=voters)))
    assert len(warnings) == (message is not None) and (not message or message in warnings[0])


def test_thirteen_zones_are_valid():
    """The zones are in two regions, with two relays each."""
    relays = [(f"r{i}", 100 + i, f"g{i % 13 % 2}", f"z{i % 13}") for i in range(26)]
    zones = " ".join(f'zones {{ name: "z{i}" region: "g{i % 2}" }}' for i in range(13))
    control = read_control(control_text(zones, relays=relays)).control
    assert len(control.relays) == 26 and len(control.zones) == 13


def test_five_thousand_gateways_fit_a_control_process_but_not_a_fleet_section():
    """Control processes do not list gateways; a fleet of gateways that share quota has at most 1024."""
    read_control(control_text("figures { most_sessions: 5000 }"))
    peers = " ".join(f'peers {{ name: "p{i}" address: "127.0.0.1:{i + 1}" }}' for i in range(4999))
    fleet = f'fleet {{ fleet: "yard" name: "a" listen: "127.0.0.1:9000" {peers} }}'
    assert "fleet.peers: 4999 peers; a fleet has at most 1024 gateways" in error_in(fleet)


def test_missing_values_have_defaults():
    """Given values replace them, 0 included."""
    text = control_text("lease_ms: 900 figures { merge_ms: 0 most_sessions: 9 }")
    control = read_control(text).control
    timing = distribution_settings(control.figures)
    assert lease_duration_ms(control) == 900 and region_of(control) == "north"
    assert (timing.merge_ms, timing.most_sessions) == (0, 9)
    assert timing.report_ms == DistributionSettings().report_ms
    distribution = read_settings(gateway_text()).distribution
    assert followed_prefixes(distribution) == ("config/",)


def test_fingerprint_covers_only_the_shared_settings():
    """It is the same on voters that differ in name and folder, and differs with the lease duration."""
    first = read_control(control_text()).control
    second = read_control(control_text(name="v2", folder='folder: "g"')).control
    shorter_lease = read_control(control_text("lease_ms: 900")).control
    assert group_fingerprint(first) == group_fingerprint(second) != group_fingerprint(shorter_lease)
    assert distribution_fingerprint("yard") != distribution_fingerprint("moor")


def test_every_timing_setting_has_a_range():
    """A setting without an entry in `RANGES` would not be checked."""
    for section in ("control", "distribution"):
        names = {f"{section}.figures.{field.name}" for field in pb.Figures.DESCRIPTOR.fields}
        assert names == {name for name in RANGES if name.startswith(f"{section}.figures.")}
    known = {field.name for field in pb.Figures.DESCRIPTOR.fields}
    assert all(hasattr(DistributionSettings, name) for name in known)


def test_control_process_requires_a_control_section():
    """A process without the section would have no role."""
    with pytest.raises(ConfigurationError, match="control: missing"):
        read_control("gate { }")


def test_a_single_gate_message_is_checked_as_in_a_file():
    """The errors are the same."""
    assert read_gate("prefix4: 20").prefix4 == 20
    for text, message in (
        ("prefix4: 99", "gate.prefix4: 99 is not between 8 and 32"),
        ("reserve: 3", "gate.reserve: 3, but no range is known"),
        ("gat: 3", 'no field named "gat"'),
    ):
        with pytest.raises(ConfigurationError) as raised:
            read_gate(text)
        assert message in str(raised.value) and "\n" not in str(raised.value)


def test_a_client_without_voters_is_refused():
    """Guards against an IndexError at the first call."""
    with pytest.raises(NoVotersError, match="^no voters: a client needs the address of at least one$"):
        Client("fleet", [])
