"""Settings of control processes and of fronts that follow them: whole, or refused in one line."""

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
from lichenquay.distribution.settings import Settings as DistributionSettings

pytestmark = pytest.mark.together
VOTERS = [("v1", 1, "north"), ("v2", 2, "south"), ("v3", 3, "west")]
RELAYS = [("r1", 11, "north", "n1"), ("r2", 12, "south", "s1")]


def voters_text(voters=VOTERS):
    """Lines of `voters`."""
    return "\n".join(
        f'voters {{ name: "{name}" address: "127.0.0.1:{port}" region: "{region}" }}'
        for name, port, region in voters
    )


def relays_text(relays=RELAYS):
    """Lines of `relays`."""
    return "\n".join(
        f'relays {{ name: "{name}" address: "127.0.0.1:{port}" region: "{region}" zone: "{zone}" }}'
        for name, port, region, zone in relays
    )


def control_text(more="", name="v1", role="VOTER", folder='folder: "f"', voters=VOTERS, relays=RELAYS):
    """Settings of one control process."""
    return (
        f'control {{ fleet: "yard" name: "{name}" listen: "127.0.0.1:9" role: {role} {folder}\n'
        f"{voters_text(voters)}\n{relays_text(relays)}\n{more} }}"
    )


def front_text(more='zone: "n1"', identity='fleet: "yard" name: "a" listen: "127.0.0.1:9"', relays=RELAYS):
    """Settings of one front that follows."""
    return f"distribution {{ {identity} {relays_text(relays)} {more} }}"


def fault_in(text):
    """The line that a text is refused with."""
    with pytest.raises(ConfigurationError) as bad:
        read_settings(text, "s")
    line = str(bad.value)
    assert "\n" not in line and line.startswith("s")
    return line


@pytest.mark.parametrize(
    "text, said",
    [
        ("control { }", "control.fleet: missing"),
        (control_text(role="BOSS"), "has no value named BOSS"),
        (control_text(role="NONE"), "control.role: missing; VOTER or RELAY"),
        (control_text(folder=""), "control.folder: missing; a voter needs one"),
        (control_text(name="r1", role="RELAY"), "control.folder: a relay has none"),
        (control_text(name="d d"), "control.name: 'd d' is no name"),
        (control_text('zone: "n1"'), "control.zone: a voter has none"),
        (control_text(voters=VOTERS[:2]), "control.voters: 2 of them; 1, 3 or 5"),
        (control_text(voters=[]), "control.voters: 0 of them"),
        (control_text(voters=[*VOTERS[:2], ("v1", 7, "a")]), "control.voters[2].name: 'v1' is another's"),
        (
            control_text(voters=[*VOTERS[:2], ("v3", 1, "a")]),
            "control.voters[2].address: '127.0.0.1:1' is another's",
        ),
        (control_text(voters=[*VOTERS[:2], ("v3", 3, "")]), "control.voters[2].region: '' is no name"),
        (control_text(name="v9"), "control.voters: 'v9', this process, is not among them"),
        (control_text('region: "south"'), "control.region: 'south', but 'north' in `voters`"),
        (
            control_text(name="r1", role="RELAY", folder='zone: "s1"'),
            "control.zone: 's1', but 'n1' in `relays`",
        ),
        (control_text(name="r1"), "control.role: 'r1' has another one by the lists"),
        (
            control_text(relays=[*RELAYS, ("r1", 13, "a", "b")]),
            "control.relays[2].name: 'r1' is another's",
        ),
        (
            control_text(relays=[*RELAYS, ("v1", 13, "a", "b")]),
            "control.relays[2].name: 'v1' is a voter's",
        ),
        (
            control_text(relays=[*RELAYS, ("r3", 1, "a", "b")]),
            "control.relays[2].address: '127.0.0.1:1' is a voter's",
        ),
        (
            control_text(relays=[*RELAYS, ("r3", 13, "south", "n1")]),
            "control.relays[2].region: zone 'n1' is in 'north' at another relay",
        ),
        (
            control_text('zones { name: "n1" region: "north" }'),
            "control.relays[1].zone: 's1' is none of `zones`",
        ),
        (
            control_text('zones { name: "n1" region: "west" }'),
            "control.relays[0].region: zone 'n1' is in 'west'",
        ),
        (
            control_text('zones { name: "n1" region: "a" } zones { name: "n1" region: "a" }'),
            "control.zones[1].name: 'n1' is another zone's",
        ),
        (control_text("lease_ms: 1"), "control.lease_ms: 1 is not between 200 and 60000"),
        (control_text("figures { report_ms: 5 }"), "control.figures.report_ms: 5 is not between"),
        (
            control_text("figures { report_ms: 2000 }"),
            "control.figures.silent_ms: 2500 is under two reports of 2000",
        ),
        (control_text("figures { stale_ms: nan }"), "control.figures.stale_ms: nan"),
        (control_text() + " gate { }", "a file is a control process's or a front's, not both"),
        (control_text().replace("127.0.0.1:2", "somewhere:2"), "'somewhere:2' is no address:port"),
        (control_text().replace("127.0.0.1:2", "::1:2"), "'::1:2' cannot be reached from '127.0.0.1:9'"),
        (front_text(identity=""), "distribution.fleet: missing"),
        (front_text(more=""), "distribution.zone: missing"),
        (front_text('zone: "q"'), "distribution.zone: no relay is in 'q'"),
        (front_text(relays=[]), "distribution.relays: missing"),
        (front_text('zone: "n1" prefixes: "a" prefixes: "a"'), "distribution.prefixes[1]: 'a' is said twice"),
        (front_text(f'zone: "n1" prefixes: "{"a" * 65}"'), "distribution.prefixes[0]: 65 characters"),
        (
            front_text('zone: "n1" ' + " ".join(f'prefixes: "{i}"' for i in range(17))),
            "distribution.prefixes: 17, 16 at most",
        ),
        (front_text().replace('name: "a"', 'name: "r1"'), "distribution.relays[0].name: 'r1' is a front's"),
        (
            'fleet { fleet: "yard" name: "a" listen: "127.0.0.1:9" '
            'peers { name: "b" address: "127.0.0.1:8" } } ' + front_text(),
            "distribution.fleet: said by `fleet` already",
        ),
    ],
)
def test_what_makes_no_sense_is_refused_in_one_line(text, said):
    """Each of them names the field."""
    assert said in fault_in(text)


def test_one_voter_works_with_a_warning():
    """Said at the start, and by `check`."""
    said = read_settings(control_text(voters=VOTERS[:1], relays=[]))
    assert find_warnings(said) == [
        "control.voters: one alone; while it is down nothing changes, and its folder is the only one"
    ]


@pytest.mark.parametrize(
    "regions, warned",
    [
        (("a", "a", "a"), "all in region 'a'"),
        (("a", "b", "a"), "most are in region 'a'"),
        (("a", "b", "c"), None),
        (("a", "a", "b", "b", "c"), None),
    ],
)
def test_a_region_that_nothing_changes_without_is_told(regions, warned):
    """Two regions alone always have one."""
    voters = [(f"v{i}", i, region) for i, region in enumerate(regions, 1)]
    warnings = find_warnings(read_settings(control_text(voters=voters)))
    assert len(warnings) == (warned is not None) and (not warned or warned in warnings[0])


def test_thirteen_zones_work():
    """In two regions, with two relays each."""
    relays = [(f"r{i}", 100 + i, f"g{i % 13 % 2}", f"z{i % 13}") for i in range(26)]
    zones = " ".join(f'zones {{ name: "z{i}" region: "g{i % 2}" }}' for i in range(13))
    control = read_control(control_text(zones, relays=relays)).control
    assert len(control.relays) == 26 and len(control.zones) == 13


def test_five_thousand_fronts_are_named_nowhere():
    """A control process does not name them; members' bound for fronts that act together stays."""
    read_control(control_text("figures { most_sessions: 5000 }"))
    peers = " ".join(f'peers {{ name: "p{i}" address: "127.0.0.1:{i + 1}" }}' for i in range(4999))
    fleet = f'fleet {{ fleet: "yard" name: "a" listen: "127.0.0.1:9000" {peers} }}'
    assert "fleet.peers: 4999, but a fleet is 1024 fronts at most" in fault_in(fleet)


def test_what_is_left_out_has_its_usual_value():
    """And what is said takes its place."""
    text = control_text("lease_ms: 900 figures { merge_ms: 0 most_sessions: 9 }")
    control = read_control(text).control
    figures = distribution_settings(control.figures)
    assert lease_duration_ms(control) == 900 and region_of(control) == "north"
    assert (figures.merge_ms, figures.most_sessions) == (0, 9)
    assert figures.report_ms == DistributionSettings().report_ms
    following = read_settings(front_text()).distribution
    assert followed_prefixes(following) == ("config/",)


def test_a_fingerprint_is_alike_where_it_has_to_be():
    """On all voters, wherever they listen and keep their folder."""
    one = read_control(control_text()).control
    other = read_control(control_text(name="v2", folder='folder: "g"')).control
    later = read_control(control_text("lease_ms: 900")).control
    assert group_fingerprint(one) == group_fingerprint(other) != group_fingerprint(later)
    assert distribution_fingerprint("yard") != distribution_fingerprint("moor")


def test_every_figure_has_a_range():
    """Each figure that a file may say."""
    for where in ("control", "distribution"):
        names = {f"{where}.figures.{field.name}" for field in pb.Figures.DESCRIPTOR.fields}
        assert names == {name for name in RANGES if name.startswith(f"{where}.figures.")}
    known = {field.name for field in pb.Figures.DESCRIPTOR.fields}
    assert all(hasattr(DistributionSettings, name) for name in known)


def test_a_file_without_control_is_no_control_process():
    """It would start as nothing."""
    with pytest.raises(ConfigurationError, match="control: missing"):
        read_control("gate { }")


def test_a_gate_by_itself_is_checked_as_in_a_file():
    """The same lines."""
    assert read_gate("prefix4: 20").prefix4 == 20
    for text, said in (
        ("prefix4: 99", "gate.prefix4: 99 is not between 8 and 32"),
        ("reserve: 3", "gate.reserve: 3, but no range is known"),
        ("gat: 3", 'no field named "gat"'),
    ):
        with pytest.raises(ConfigurationError) as bad:
            read_gate(text)
        assert said in str(bad.value) and "\n" not in str(bad.value)
