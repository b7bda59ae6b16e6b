"""Leadership of a replicated state machine: terms, uncertain writes, and logs that cannot be read."""

from lichenquay.lease.leadership_term import StateMachineLeader


class StubGroup:
    """A group that is held under the generation that the test sets."""

    def __init__(self):
        """Starts held, with a valid state."""
        self.generation = 1
        self.is_held = True
        self.state = b"state"

    def holds(self, now_ms):
        """Returns what the test set."""
        return self.is_held

    def snapshot(self):
        """Returns the state and no records."""
        return self.state, []


class StubLeader(StateMachineLeader):
    """A leader whose state machine is the loaded bytes."""

    load_errors = (ValueError,)

    def __init__(self, group):
        """Starts without a term."""
        super().__init__(group, "the log")
        self.started_terms = 0
        self.ended_terms = 0

    def load(self, state, records):
        """Rejects an empty state."""
        if not state:
            raise ValueError("empty")
        return state

    def forget_term(self, now_ms):
        """Counts the ended terms."""
        self.ended_terms += 1

    def on_term_started(self, now_ms):
        """Counts the started terms."""
        self.started_terms += 1


def test_a_term_starts_from_the_stored_state_and_ends_with_the_lease():
    """A new generation starts a new term."""
    leader = StubLeader(StubGroup())
    assert leader.refresh_leadership(10.0)
    assert (leader.committed, leader.speculative, leader.generation) == (b"state", b"state", 1)
    assert leader.refresh_leadership(20.0)
    assert (leader.started_terms, leader.term_started_ms) == (1, 10.0)
    leader.group.generation = 2
    assert leader.refresh_leadership(30.0)
    assert (leader.started_terms, leader.term_started_ms) == (2, 30.0)
    leader.group.is_held = False
    assert not leader.refresh_leadership(40.0)
    assert leader.committed is None


def test_after_an_uncertain_write_it_leads_only_in_the_next_generation():
    """After a write that definitely failed, it leads again immediately."""
    leader = StubLeader(StubGroup())
    assert leader.refresh_leadership(0.0)
    leader.step_down_after_write(1.0, False, 1)
    assert leader.refresh_leadership(2.0)
    leader.step_down_after_write(3.0, None, 1)
    assert not leader.refresh_leadership(4.0)
    leader.group.generation = 2
    assert leader.refresh_leadership(5.0)
    assert leader.uncertain_writes == 2


def test_no_term_starts_while_a_write_of_an_earlier_term_is_pending():
    """The write could still be committed after the state is read."""
    leader = StubLeader(StubGroup())
    assert leader.refresh_leadership(0.0)
    leader.pending_write = "a write"
    leader.group.generation = 2
    assert not leader.refresh_leadership(1.0)
    leader.pending_write = None
    assert leader.refresh_leadership(2.0)


def test_no_term_starts_from_a_log_that_cannot_be_read():
    """It leads only in the next generation; the error states the reason."""
    leader = StubLeader(StubGroup())
    leader.group.state = b""
    assert not leader.refresh_leadership(0.0)
    assert leader.last_error == "the log cannot be read: empty"
    leader.group.state = b"state"
    assert not leader.refresh_leadership(1.0)
    leader.group.generation = 2
    assert leader.refresh_leadership(2.0)
