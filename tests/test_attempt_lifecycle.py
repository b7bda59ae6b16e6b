"""What may be concluded of an attempt.

The state machine alone, against a model of the engine's side that keeps the truth.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lichenquay.gateway.attempt_lifecycle import AttemptLifecycle, AttemptState, Proof

# The state machine alone.


def sent(at=100.0):
    """The lifecycle of an attempt whose POST was written at this time."""
    life = AttemptLifecycle()
    life.post_written(at)
    return life


def test_an_attempt_is_unsent_until_its_post_is_written():
    """Whatever else happens."""
    life = AttemptLifecycle()
    assert not life.may_run and not life.time_passed(1e9)
    life.connection_closed_by_engine(1.0)
    life.acknowledged(1.0)
    assert (
        not life.unknown_reported(5.0, 6.0)
        and not life.connection_refused(7.0, False)
        and not life.connection_refused(99.0, False)
    )
    assert life.state == AttemptState.UNSENT


def test_unknown_is_no_proof_soon_after_the_post():
    """It counts `READ_DELAY_MS` after the POST, and twice."""
    life = sent()
    for at in range(110, 590, 60):
        assert not life.unknown_reported(at, at + 1.0) and life.may_run
    assert (
        not life.unknown_reported(601.0, 602.0)
        and not life.unknown_reported(603.0, 640.0)
        and not life.unknown_reported(610.0, 630.0)
    )
    assert life.unknown_reported(650.0, 651.0) and life.proof == Proof.UNKNOWN_LONG_AFTER_POST


def test_unknown_proves_the_end_twice_after_a_disconnect():
    """Only to calls that were written later; one read may have answered two calls."""
    life = sent()
    life.connection_closed_by_engine(150.0)
    assert not life.unknown_reported(149.0, 200.0) and not life.unknown_reported(151.0, 160.0)
    assert not life.unknown_reported(
        155.0, 300.0
    )  # it was out when the first came: one look may have answered both
    assert life.unknown_reported(205.0, 206.0) and life.proof == Proof.UNKNOWN_AFTER_DISCONNECT


def test_unknown_proves_the_end_of_an_acknowledged_attempt_at_once():
    """To a call written since, unless it may be another engine's reply."""
    life = sent()
    life.acknowledged(150.0)
    assert not life.unknown_reported(140.0, 160.0) and life.unknown_reported(150.0, 161.0)
    life = sent()
    life.acknowledged(150.0)
    assert not life.unknown_reported(160.0, 161.0, may_be_other_engine=True)  # perhaps a stranger's word
    life.connection_closed_by_engine(170.0)  # the connection on which it was known
    assert not life.unknown_reported(171.0, 172.0, may_be_other_engine=True) and life.unknown_reported(
        222.0, 223.0, may_be_other_engine=True
    )


def test_two_refusals_prove_that_the_process_is_gone():
    """Where no connection to it is open, and nothing replied between them."""
    life = sent()
    assert (
        not life.connection_refused(200.0, True)
        and not life.connection_refused(260.0, False)
        and not life.connection_refused(290.0, False)
    )
    life.engine_replied()
    assert (
        not life.connection_refused(400.0, False)
        and not life.connection_refused(420.0, False)
        and life.connection_refused(450.0, False)
    )
    assert life.proof == Proof.PROCESS_GONE and not life.may_run


def test_an_attempt_is_forgotten_after_the_last_call_that_may_have_reached_it():
    """A call that was answered by another engine did not reach it."""
    life = sent()
    life.poll_written(1000.0)
    assert not life.time_passed(3499.0)
    assert not life.unknown_reported(1000.0, 1010.0, may_be_other_engine=True)  # that call kept nobody at it
    assert life.time_passed(2601.0) and life.proof == Proof.FORGOTTEN


def test_an_end_that_was_reported_is_final():
    """What comes later changes nothing."""
    life = sent()
    life.end_reported()
    life.acknowledged(120.0)
    life.connection_closed_by_engine(130.0)
    assert (
        life.state == AttemptState.OVER
        and life.unknown_reported(1.0, 2.0)
        and life.proof == Proof.END_REPORTED
    )


# Against a model of the engine's side.


class EngineSide:
    """The truth of one attempt: a process that reads what its connections hold when it is awake, a call on
    a connection of its own after `hold` at the latest, in any order within a look of 40 ms; times in ms."""

    def __init__(self, chance):
        """A live process; `chance` draws its delays."""
        self.chance, self.now, self.wakes_ms = chance, 1e6, 0.0
        self.process, self.door = True, True  # it lives; it takes connections
        self.stranger = False  # another one has its address
        self.post = None  # when it will be read: None: nothing is there
        self.running, self.kept_ms = False, 0.0

    def reads(self, at):
        """When what came at `at` is read."""
        return max(at, self.wakes_ms) + self.chance.uniform(0.0, 40.0)

    def sent(self, hold, lost):
        """A POST is on its way, read after `hold` at the latest, or lost."""
        self.post = None if lost else self.reads(self.now + hold)

    def cut(self):
        """Its POST's connection is no more: what is there is read with the next look."""
        if self.post is not None:
            self.post = min(self.post, self.reads(self.now))

    def pass_time(self, until):
        """The time is `until`: what was to be read by then is."""
        self.now = until
        if self.post is not None and self.process and self.post <= until:
            self.running, self.kept_ms, self.post = True, self.post, None
        if self.running and until > self.kept_ms + 2000.0 and until >= self.wakes_ms:
            self.running = False

    def die(self):
        """The process ends."""
        self.process = self.door = self.running = False
        self.post = None

    @property
    def out(self):
        """Whether the attempt runs, or may come to run."""
        return self.running or self.post is not None


class Conclusions(RuleBasedStateMachine):
    """Orders of delivery drawn at will: nothing may be concluded that the engine's side contradicts."""

    @initialize(
        seed=st.integers(0, 2**32), hold=st.sampled_from([0.0, 50.0, 250.0, 400.0]), lost=st.booleans()
    )
    def begin(self, seed, hold, lost):
        """A POST was written."""
        self.side, self.life = EngineSide(random.Random(seed)), AttemptLifecycle()
        self.side.pass_time(1e6)
        self.first = self.own = "open"  # its POST's connection; the one that it was last known on
        self.own = None
        self.leaves, self.calls, self.apart = False, [], 0.0
        self.here = False  # this side ended the one that it was last known on
        self.life.post_written(self.side.now)
        self.side.sent(hold, lost)

    def later(self, ms):
        """So much time passes, on both sides."""
        self.side.pass_time(self.side.now + ms)
        if self.life.state != AttemptState.OVER:
            self.life.time_passed(self.side.now)

    @rule(ms=st.sampled_from([1.0, 20.0, 50.0, 120.0, 400.0, 900.0]))
    def time_passes(self, ms):
        """Nothing else happens."""
        self.later(ms)

    @rule(ms=st.floats(1.0, 450.0))
    def engine_pauses(self, ms):
        """The engine reads nothing for so long."""
        stream = self.side
        if stream.process and stream.now >= stream.wakes_ms + 50:
            stream.wakes_ms = stream.now + ms
            if stream.post is not None:
                stream.post = max(stream.post, stream.reads(stream.wakes_ms))

    @rule(peer=st.booleans())
    def first_connection_breaks(self, peer):
        """The POST's connection is closed, by the engine (`peer`) or by the gateway."""
        if self.first == "open":
            self.first = "gone"
            self.here = self.here or not peer and self.own is None
            if peer:
                self.side.cut()
                self.life.connection_closed_by_engine(self.side.now)
            # ended from this side: what is there is read as late as before

    @precondition(lambda self: self.first == "open" and self.life.may_run)
    @rule()
    def first_call_is_answered(self):
        """The engine replies to the POST."""
        if self.side.running and self.side.now >= self.side.wakes_ms:
            self.first, self.own, self.here = "gone", "open", False
            self.life.acknowledged(self.side.now)

    @precondition(lambda self: self.own == "open")
    @rule()
    def acknowledged_connection_breaks(self):
        """The engine closes the connection on which it last replied."""
        self.own = "cut"
        self.life.connection_closed_by_engine(self.side.now)

    @rule(on_own=st.booleans(), drop=st.booleans(), lost=st.booleans())
    def asks(self, on_own, drop, lost):
        """A call for news or a DELETE, answered once the engine reads it; an answer may get lost after it was
        read."""
        stream, written = self.side, self.side.now
        on_own = on_own and self.own == "open"
        if not drop:
            self.life.poll_written(written)
        if not on_own and not stream.door and not stream.stranger:
            if not drop:
                self.life.poll_not_written()  # refused: nothing was written
            return self.refused()
        stranger = stream.stranger and not on_own
        if not stranger and not stream.process:
            return
        at = written if stranger else stream.reads(written)
        self.later(at - written)
        knows = stream.running and not stranger
        if knows and drop:
            stream.running = False
        elif knows:
            stream.kept_ms = stream.now
        self.later(1.0)
        if lost:
            return
        if knows and not drop:
            self.life.acknowledged(stream.now)
            self.own, self.here = "open", False
        else:
            self.life.unknown_reported(
                written, stream.now, may_be_other_engine=self.leaves and not on_own, is_poll=not drop
            )

    def refused(self):
        """A connection is refused."""
        alive = self.side.process and "open" in (self.first, self.own) or self.here or self.leaves
        self.life.connection_refused(self.side.now, alive)

    @rule()
    def attempt_ends(self):
        """Its end may be reported, or lost and then unknown."""
        if self.side.running and self.side.now >= self.side.wakes_ms:
            self.side.running = False  # its end may be reported, or lost and then unknown

    @rule(takes_over=st.booleans())
    def process_dies(self, takes_over):
        """Its process ends; its address may go to another engine."""
        if self.side.process:
            self.side.die()
            if self.first == "open":
                self.first = "gone"
                self.life.connection_closed_by_engine(self.side.now)
            if self.own == "open":
                self.own = "cut"
                self.life.connection_closed_by_engine(self.side.now)
            self.leaves = self.leaves or takes_over
            self.side.stranger = takes_over

    @rule(takes_over=st.booleans())
    def stops_accepting(self, takes_over):
        """It works on, reachable on open connections alone; its drain is announced before."""
        if self.side.process and self.side.door and "open" in (self.first, self.own):
            self.side.door, self.leaves, self.side.stranger = False, True, takes_over
            self.shut = True

    @invariant()
    def nothing_is_concluded_that_is_not_so(self):
        """An attempt is over only when it neither runs nor may come to run."""
        if hasattr(self, "life") and not self.life.may_run:
            assert not self.side.out, self.life.proof


Conclusions.TestCase.settings = settings(
    max_examples=600, stateful_step_count=25, deadline=None, derandomize=True
)
TestConclusions = Conclusions.TestCase
