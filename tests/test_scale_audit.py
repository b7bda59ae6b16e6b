"""The audit of a scale run finds each planted break, and nothing where nothing is broken; latencies are as
planted.
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
    """A front that holds what it should."""
    return lifetime(name, steps, expected_digest(CHANGES))


def test_a_run_without_faults_has_no_broken_rule():
    """Two fronts that hold everything."""
    findings = audit(CHANGES, [complete_lifetime(), complete_lifetime("z1-f1")], 2)
    assert findings.broken_rules == []
    assert (findings.out_of_order, findings.two_versions_after_rest, findings.never_in_force) == (0, 0, 0)


def test_a_version_that_goes_back_is_found():
    """It comes forward again, so that nothing else is wrong."""
    steps = [(1, 1010.0), (2, 2020.0), (1, 2030.0), (3, 3030.0)]
    findings = audit(CHANGES, [complete_lifetime(steps=steps)], 1)
    assert findings.out_of_order == 1
    assert findings.broken_rules == ["z0-f0: its version went back 1 times"]


def test_a_front_that_stays_behind_is_found():
    """The last change never comes in force."""
    findings = audit(CHANGES, [complete_lifetime(), complete_lifetime("z1-f1", STEPS[:2])], 2)
    assert findings.two_versions_after_rest == 1
    assert findings.never_in_force == 1
    assert any("version 2 after rest, 3 is the newest" in line for line in findings.broken_rules)


def test_a_version_that_nobody_accepted_is_found():
    """A front holds a newer one than the client was told of."""
    findings = audit(CHANGES, [complete_lifetime(steps=[*STEPS, (4, 3040.0)])], 1)
    assert findings.two_versions_after_rest == 1


def test_other_values_at_the_same_version_are_found():
    """The lab's own hash says so."""
    findings = audit(CHANGES, [lifetime("z0-f0", STEPS, "other")], 1)
    assert findings.broken_rules == ["z0-f0: holds other values than version 3 has"]


def test_one_version_given_twice_is_found():
    """Two clients were told the same version."""
    twice = [*CHANGES, change(3, b"d", 3001.0)]
    findings = audit(twice, [lifetime("z0-f0", STEPS, expected_digest(twice))], 1)
    assert "two accepted changes have version 3" in findings.broken_rules


def test_a_proposal_without_an_outcome_is_found():
    """Neither accepted nor refused."""
    open_one = change(4, b"e", 4000.0)
    open_one.accepted_ms = None
    findings = audit([*CHANGES, open_one], [complete_lifetime()], 1)
    assert findings.broken_rules == ["1 of 4 proposals have no outcome"]


def test_a_front_whose_record_is_missing_is_found():
    """Two were up, one kept a record."""
    assert audit(CHANGES, [complete_lifetime()], 2).broken_rules == [
        "1 fronts kept a record to the end, 2 were up"
    ]


def test_keys_that_nobody_asked_for_are_found():
    """A source sent more than was subscribed to."""
    one = complete_lifetime()
    one.prefixes_wrong = 3
    assert audit(CHANGES, [one], 1).broken_rules == ["z0-f0: holds 3 keys that it did not ask for"]


def test_a_query_without_an_answer_is_found():
    """Three asked, one open, one answered."""
    one = complete_lifetime()
    one.counts = {"queries asked": 3, "queries open": 1, "queries finished": 1}
    assert audit(CHANGES, [one], 1).broken_rules == ["z0-f0: 3 queries asked, 1 answered"]


def test_times_run_from_the_proposal_at_fronts_that_had_joined():
    """The first change made the front join, so that only two pairs count; a later version covers an earlier
    one.
    """
    figures = config_figures(CHANGES, [complete_lifetime(steps=[(1, 1010.0), (3, 3030.0)])])
    assert (figures.changes, figures.pairs) == (3, 2)
    assert figures.in_force_max_ms == pytest.approx(1030.0)
    assert figures.in_force_p50_ms == pytest.approx((1030.0 + 30.0) / 2)


def test_pairs_of_a_front_out_of_reach_are_left_out():
    """The second change came in force only after the cut."""
    cut = UnreachablePeriod(frozenset(["z0-f0"]), 1900.0, 2010.0)
    figures = config_figures(CHANGES, [complete_lifetime()], [cut])
    assert (figures.pairs, figures.pairs_left_out) == (1, 1)
    assert figures.in_force_max_ms == pytest.approx(30.0)


def test_heal_and_start_are_of_the_last_front():
    """Seconds until the slowest of them has the version."""
    slow = complete_lifetime("z0-f2", [(1, 1010.0), (3, 4500.0)])
    names = frozenset(["z0-f0", "z0-f2"])
    assert recovery_seconds([complete_lifetime(), slow], names, 2500.0, 3) == 2.0
    restarted = lifetime("z0-f2", [(3, 4500.0)], "", started_ms=3500.0)
    later = lifetime("z0-f2", [(3, 90_500.0)], "", started_ms=90_000.0)
    assert startup_seconds([slow, restarted, later], frozenset(["z0-f2"]), 3500.0, 3) == 1.0
    assert startup_seconds([slow, restarted], names, 3500.0, 3) is None


def test_records_come_back_as_they_were_written(tmp_path):
    """Of several lives, one of them empty."""
    lifetimes = [
        complete_lifetime(),
        record.GatewayLifetime("z1-f1", 5.0, 7.0),
        complete_lifetime("z0-f2", STEPS[:1]),
    ]
    record.write(tmp_path / "hollow-0.npz", lifetimes)
    assert record.read(tmp_path / "hollow-0.npz") == lifetimes


def test_a_life_is_bounded(monkeypatch):
    """More steps than are kept can't be judged, and that is said."""
    monkeypatch.setattr(record, "MAX_STEPS", 2)
    one = record.GatewayLifetime("z0-f0", 0.0)
    for version in (1, 1, 2, 3):
        one.record_version(version, float(version))
    assert list(one.versions) == [1, 2]
    assert one.truncated
