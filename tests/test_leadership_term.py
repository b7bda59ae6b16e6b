"""Leadership of a replicated state machine: terms, uncertain writes, and logs that cannot be read."""

from lichenquay.lease.leadership_term import StateMachineLeader


class StubGroup:
    """A group that is held under the generation that the test sets."""

    def __init__(self):
        """Held, and readable."""
        self.generation = 1
        self.is_held = True
        self.state = b"state"

    def holds(self, now_ms):
        """As the test says."""
        return self.is_held

    def snapshot(self):
        """(state, no records)."""
        return self.state, []


class StubLeader(StateMachineLeader):
    """Its state machine is the bytes that it read."""

    load_errors = (ValueError,)

    def __init__(self, group):
        """Counts terms."""
        super().__init__(group, "the log")
        self.started = 0
        self.forgotten = 0

    def load(self, state, records):
        """Rejects an empty state."""
        if not state:
            raise ValueError("empty")
        return state

    def forget_term(self, now_ms):
        """Counts."""
        self.forgotten += 1

    def on_term_started(self, now_ms):
        """Counts."""
        self.started += 1


def test_a_term_begins_with_what_the_group_has_and_ends_with_its_lease():
    """And a further generation is a further term."""
    leader = StubLeader(StubGroup())
    assert leader.refresh_leadership(10.0)
    assert (leader.committed, leader.speculative, leader.generation) == (b"state", b"state", 1)
    assert leader.refresh_leadership(20.0)
    assert (leader.started, leader.term_started_ms) == (1, 10.0)
    leader.group.generation = 2
    assert leader.refresh_leadership(30.0)
    assert (leader.started, leader.term_started_ms) == (2, 30.0)
    leader.group.is_held = False
    assert not leader.refresh_leadership(40.0)
    assert leader.committed is None


def test_after_an_uncertain_write_it_leads_again_only_in_the_next_generation():
    """After one that surely failed, at once."""
    leader = StubLeader(StubGroup())
    assert leader.refresh_leadership(0.0)
    leader.step_down_after_write(1.0, False, 1)
    assert leader.refresh_leadership(2.0)
    leader.step_down_after_write(3.0, None, 1)
    assert not leader.refresh_leadership(4.0)
    leader.group.generation = 2
    assert leader.refresh_leadership(5.0)
    assert leader.uncertain_writes == 2


def test_no_term_begins_while_a_write_of_an_earlier_one_is_pending():
    """It could be committed after the state was read."""
    leader = StubLeader(StubGroup())
    assert leader.refresh_leadership(0.0)
    leader.pending_write = "a write"
    leader.group.generation = 2
    assert not leader.refresh_leadership(1.0)
    leader.pending_write = None
    assert leader.refresh_leadership(2.0)


def test_a_log_that_cannot_be_read_is_left_alone():
    """Until the next generation; the error says why."""
    leader = StubLeader(StubGroup())
    leader.group.state = b""
    assert not leader.refresh_leadership(0.0)
    assert leader.last_error == "the log cannot be read: empty"
    leader.group.state = b"state"
    assert not leader.refresh_leadership(1.0)
    leader.group.generation = 2
    assert leader.refresh_leadership(2.0)
