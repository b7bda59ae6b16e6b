"""The host of a front among others: its timer runs whatever is heard."""

import pytest

from lichenquay.testbed.scale.probes import starved

pytestmark = pytest.mark.together

CALM, MANY = (
    50,
    2_000,
)  # messages heard a second; MANY come sooner after each other than the timer's least wait


def test_messages_put_no_turn_off():
    """Risk: each message sets the timer anew, so that under many of them nothing is ever ticked.

    A front then takes itself for one that stood still, asks others at each message, and they ask back.
    """
    samples = starved.measure((CALM, MANY), seed=1, progress=lambda share: None)
    turns = {s.size: s.values[0] for s in samples if s.what == "starved.turns"}
    sent = {s.size: s.values[0] for s in samples if s.what == "starved.sent"}
    assert turns[MANY] >= turns[CALM]
    assert sent[MANY] - MANY <= 2 * (sent[CALM] - CALM)
