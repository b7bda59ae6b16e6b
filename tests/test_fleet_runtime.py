"""The runtime's timer fires regardless of how many messages arrive."""

import pytest

from lichenquay.testbed.scale.probes import starved

pytestmark = pytest.mark.together

FEW_PER_S = 50
MANY_PER_S = 2_000  # at intervals shorter than the timer's minimum wait


def test_messages_do_not_postpone_the_timer():
    """If each message reset the timer, no component would be ticked under many messages.

    A gateway would then conclude that it had been paused, and probe other members at each message, as they
    would probe it.
    """
    samples = starved.measure((FEW_PER_S, MANY_PER_S), seed=1, progress=lambda share: None)
    turns = {sample.size: sample.values[0] for sample in samples if sample.quantity == "starved.turns"}
    sent = {sample.size: sample.values[0] for sample in samples if sample.quantity == "starved.sent"}
    assert turns[MANY_PER_S] >= turns[FEW_PER_S]
    assert sent[MANY_PER_S] - MANY_PER_S <= 2 * (sent[FEW_PER_S] - FEW_PER_S)
