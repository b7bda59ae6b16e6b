"""The audit of the process tests detects each kind of wrong history, and accepts a correct one."""

from types import SimpleNamespace

import pytest
from changes import Change, audit, expected_values
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
    """Returns a subscriber that applied (version, digest, changed) one after the other."""
    recorded_steps = [Step(0.0, version, digest, changed, False) for version, digest, changed in steps]
    return SimpleNamespace(name=name, steps=recorded_steps)


CORRECT = recorded(
    (1, 10, {"config/a": b"1"}), (3, 30, {"config/a": None}), (4, 40, {"config/b": b"3"}), name="s2"
)


def test_a_correct_history_passes():
    """Also with changes that were merged into one delta."""
    audit(
        [CORRECT, recorded((2, 20, {"config/a": b"2"}), (4, 40, {"config/a": None, "config/b": b"3"}))],
        CHANGES,
    )
    assert expected_values(CHANGES) == {"config/b": b"3"}


@pytest.mark.parametrize(
    "steps, message",
    [
        ([(2, 20, {"config/a": b"2"}), (1, 10, {"config/a": b"1"})], "versions fall"),
        ([(2, 20, {"config/a": b"2"}), (2, 20, {"config/a": b"2"})], "version 2 applied twice"),
        ([(2, 20, {"config/a": b"9"})], "which no client was told is accepted"),
        ([(1, 10, {"config/a": b"2"})], "before its version"),
        ([(3, 30, {"config/a": b"2"})], "config/a at 3"),
        ([(4, 40, {"config/c": b"4"})], "which no client was told is accepted"),
        ([(4, 41, {"config/b": b"3"})], "different state at version 4"),
    ],
)
def test_a_wrong_history_is_detected(steps, message):
    """Each kind with its own message."""
    with pytest.raises(AssertionError, match=message):
        audit([CORRECT, recorded(*steps)], CHANGES)


def test_two_changes_with_one_version_are_detected():
    """As two concurrent publishers would make them."""
    changes = [*CHANGES, Change(6, {"config/d": b"5"}, 8.0, 9.0, ACCEPTED, 4)]
    with pytest.raises(AssertionError, match="two changes with one version"):
        audit([CORRECT], changes)


def test_versions_against_the_order_of_time_are_detected():
    """A change accepted before another one was proposed needs a lower version."""
    changes = [*CHANGES, Change(6, {"config/d": b"5"}, 0.0, 0.5, ACCEPTED, 5)]
    with pytest.raises(AssertionError, match="against the order of time"):
        audit([CORRECT], changes)
