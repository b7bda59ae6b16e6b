"""The audit of a scale run finds each planted violation, and none in a correct run; latencies are
as planted.
"""

import pytest
from scale_records import change, lifetime

from lichenquay.testbed.scale import record
from lichenquay.testbed.scale.audit import audit, expected_digest
from lichenquay.testbed.scale.latency import (
    UnreachablePeriod,
    config_figures,
    recovery_seconds,
    startup_seconds,
)

pytestmark = pytest.mark.together

CHANGES = [change(1, b"a", 1000.0), change(2, b"b", 2000.0), change(3, b"c", 3000.0)]
STEPS = [(1, 1010.0), (2, 2020.0), (3, 3030.0)]


def complete_lifetime(name="z0-f0", steps=STEPS):
    """Returns a gateway that holds every change."""
    return lifetime(name, steps, expected_digest(CHANGES))


def test_a_run_without_faults_has_no_broken_rule():
    """Two gateways hold every change."""
    findings = audit(CHANGES, [complete_lifetime(), complete_lifetime("z1-f1")], 2)
    assert findings.broken_rules == []
    assert (findings.out_of_order, findings.two_versions_after_rest, findings.never_in_force) == (0, 0, 0)


def test_a_version_that_decreases_is_reported():
    """The version rises again, so that no other rule is broken."""
    steps = [(1, 1010.0), (2, 2020.0), (1, 2030.0), (3, 3030.0)]
    findings = audit(CHANGES, [complete_lifetime(steps=steps)], 1)
    assert findings.out_of_order == 1
    assert findings.broken_rules == ["z0-f0: its version went back 1 times"]


def test_a_gateway_that_stays_behind_is_reported():
    """The last change never comes in force at one gateway."""
    findings = audit(CHANGES, [complete_lifetime(), complete_lifetime("z1-f1", STEPS[:2])], 2)
    assert findings.two_versions_after_rest == 1
    assert findings.never_in_force == 1
    assert any("version 2 after the settling time, 3 is the newest" in line for line in findings.broken_rules)


def test_a_version_that_was_never_accepted_is_reported():
    """A gateway has a newer version than the client knows of."""
    findings = audit(CHANGES, [complete_lifetime(steps=[*STEPS, (4, 3040.0)])], 1)
    assert findings.two_versions_after_rest == 1


def test_different_values_at_the_same_version_are_reported():
    """The test bed's own digest differs."""
    findings = audit(CHANGES, [lifetime("z0-f0", STEPS, "other")], 1)
    assert findings.broken_rules == ["z0-f0: holds other values than version 3 has"]


def test_a_version_assigned_twice_is_reported():
    """Two accepted changes have the same version."""
    twice = [*CHANGES, change(3, b"d", 3001.0)]
    findings = audit(twice, [lifetime("z0-f0", STEPS, expected_digest(twice))], 1)
    assert "two accepted changes have version 3" in findings.broken_rules


def test_a_proposal_without_an_outcome_is_reported():
    """A proposal is neither accepted nor rejected."""
    open_one = change(4, b"e", 4000.0)
    open_one.accepted_ms = None
    findings = audit([*CHANGES, open_one], [complete_lifetime()], 1)
    assert findings.broken_rules == ["1 of 4 proposals have no outcome"]


def test_a_gateway_without_a_record_is_reported():
    """Two gateways were running, one wrote a record."""
    assert audit(CHANGES, [complete_lifetime()], 2).broken_rules == [
        "1 gateways wrote a record up to the end, 2 were running"
    ]


def test_keys_outside_the_subscription_are_reported():
    """A source sent keys outside the subscription."""
    one = complete_lifetime()
    one.prefixes_wrong = 3
    assert audit(CHANGES, [one], 1).broken_rules == ["z0-f0: holds 3 keys outside its subscription"]


def test_a_query_without_an_answer_is_reported():
    """Of three queries, one is open and one answered."""
    one = complete_lifetime()
    one.counts = {"queries asked": 3, "queries open": 1, "queries finished": 1}
    assert audit(CHANGES, [one], 1).broken_rules == ["z0-f0: 3 queries asked, 1 answered"]


def test_times_run_from_the_proposal_at_gateways_that_had_a_version():
    """The gateway has no version before the first change, so that only two pairs count; a later version
    includes an earlier one.
    """
    figures = config_figures(CHANGES, [complete_lifetime(steps=[(1, 1010.0), (3, 3030.0)])])
    assert (figures.changes, figures.pairs) == (3, 2)
    assert figures.in_force_max_ms == pytest.approx(1030.0)
    assert figures.in_force_p50_ms == pytest.approx((1030.0 + 30.0) / 2)


def test_pairs_of_an_unreachable_gateway_are_left_out():
    """The second change came in force only after the partition."""
    cut = UnreachablePeriod(frozenset(["z0-f0"]), 1900.0, 2010.0)
    figures = config_figures(CHANGES, [complete_lifetime()], [cut])
    assert (figures.pairs, figures.pairs_left_out) == (1, 1)
    assert figures.in_force_max_ms == pytest.approx(30.0)


def test_recovery_and_startup_end_with_the_slowest_gateway():
    """The time ends when the slowest gateway has the version."""
    slow = complete_lifetime("z0-f2", [(1, 1010.0), (3, 4500.0)])
    names = frozenset(["z0-f0", "z0-f2"])
    assert recovery_seconds([complete_lifetime(), slow], names, 2500.0, 3) == 2.0
    restarted = lifetime("z0-f2", [(3, 4500.0)], "", started_ms=3500.0)
    later = lifetime("z0-f2", [(3, 90_500.0)], "", started_ms=90_000.0)
    assert startup_seconds([slow, restarted, later], frozenset(["z0-f2"]), 3500.0, 3) == 1.0
    assert startup_seconds([slow, restarted], names, 3500.0, 3) is None


def test_records_are_read_as_they_were_written(tmp_path):
    """Reads back several lifetimes, one of them empty."""
    lifetimes = [
        complete_lifetime(),
        record.GatewayLifetime("z1-f1", 5.0, 7.0),
        complete_lifetime("z0-f2", STEPS[:1]),
    ]
    record.write(tmp_path / "hollow-0.npz", lifetimes)
    assert record.read(tmp_path / "hollow-0.npz") == lifetimes


def test_a_lifetime_record_is_bounded(monkeypatch):
    """A record with more steps than its limit is marked as truncated."""
    monkeypatch.setattr(record, "MAX_STEPS", 2)
    one = record.GatewayLifetime("z0-f0", 0.0)
    for version in (1, 1, 2, 3):
        one.record_version(version, float(version))
    assert list(one.versions) == [1, 2]
    assert one.truncated
