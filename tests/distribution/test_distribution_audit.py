"""The audit of the processes' tests finds each kind of broken history, and nothing in a good one."""

from types import SimpleNamespace

import pytest
from changes import Change, audit, expected
from recording_subscriber import Step

from lichenquay.distribution import distribution_pb2 as pb

pytestmark = pytest.mark.together
ACCEPTED, REFUSED = pb.Proposed.ACCEPTED, pb.Proposed.REFUSED
CHANGES = [
    Change(1, {"config/a": b"1"}, 0.0, 1.0, ACCEPTED, 1),
    Change(2, {"config/a": b"2"}, 2.0, 3.0, ACCEPTED, 2),
    Change(3, {"config/a": None}, 4.0, 5.0, ACCEPTED, 3),
    Change(4, {"config/b": b"3"}, 6.0, 7.0, ACCEPTED, 4),
    Change(5, {"config/c": b"4"}, 6.0, 7.0, REFUSED),
]


def recorded(*steps, name="s1"):
    """A subscriber that put (version, digest, changed) in force one after the other."""
    made = [Step(0.0, version, digest, changed, False) for version, digest, changed in steps]
    return SimpleNamespace(name=name, steps=made)


GOOD = recorded(
    (1, 10, {"config/a": b"1"}), (3, 30, {"config/a": None}), (4, 40, {"config/b": b"3"}), name="s2"
)


def test_a_good_history_passes():
    """Changes that were merged into one delta, too."""
    audit(
        [GOOD, recorded((2, 20, {"config/a": b"2"}), (4, 40, {"config/a": None, "config/b": b"3"}))], CHANGES
    )
    assert expected(CHANGES) == {"config/b": b"3"}


@pytest.mark.parametrize(
    "steps, message",
    [
        ([(2, 20, {"config/a": b"2"}), (1, 10, {"config/a": b"1"})], "versions in turn"),
        ([(2, 20, {"config/a": b"2"}), (2, 20, {"config/a": b"2"})], "one version twice"),
        ([(2, 20, {"config/a": b"9"})], "nobody was told to be accepted"),
        ([(1, 10, {"config/a": b"2"})], "before its version"),
        ([(3, 30, {"config/a": b"2"})], "config/a at 3"),
        ([(4, 40, {"config/c": b"4"})], "nobody was told to be accepted"),
        ([(4, 41, {"config/b": b"3"})], "another state at version 4"),
    ],
)
def test_a_broken_history_is_found(steps, message):
    """Each by its own line."""
    with pytest.raises(AssertionError, match=message):
        audit([GOOD, recorded(*steps)], CHANGES)


def test_two_changes_with_one_version_are_found():
    """Two publishers at once would do that."""
    twice = [*CHANGES, Change(6, {"config/d": b"5"}, 8.0, 9.0, ACCEPTED, 4)]
    with pytest.raises(AssertionError, match="two changes with one version"):
        audit([GOOD], twice)


def test_versions_against_the_order_of_time_are_found():
    """What was accepted before another one was asked for comes before it."""
    late = [*CHANGES, Change(6, {"config/d": b"5"}, 0.0, 0.5, ACCEPTED, 5)]
    with pytest.raises(AssertionError, match="against the order of time"):
        audit([GOOD], late)
