"""When an attempt counts as over: the state machine alone, and against a model of the engine."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lichenquay.gateway.attempt_lifecycle import AttemptLifecycle, AttemptState, Proof

# The state machine alone


def sent_lifecycle(posted_ms=100.0, is_new_connection=False):
    """Returns the lifecycle of an attempt whose POST was written at this time."""
    lifecycle = AttemptLifecycle()
    lifecycle.on_post_written(posted_ms, is_new_connection)
    return lifecycle


def test_an_attempt_is_unsent_until_its_post_is_written():
    """Other events change nothing before that."""
    lifecycle = AttemptLifecycle()
    assert not lifecycle.may_run and not lifecycle.on_time_passed(1e9)
    lifecycle.on_connection_closed_by_engine(1.0)
    lifecycle.on_acknowledged(1.0)
    assert (
        not lifecycle.on_unknown_reported(5.0, 6.0)
        and not lifecycle.on_connection_refused(7.0, False)
        and not lifecycle.on_connection_refused(99.0, False)
    )
    assert lifecycle.state == AttemptState.UNSENT


def test_unknown_is_no_proof_soon_after_the_post():
    """It counts `MAX_READ_DELAY_MS` after the POST, and only if it is reported twice."""
    lifecycle = sent_lifecycle()
    for written_ms in range(110, 745, 60):
        assert not lifecycle.on_unknown_reported(written_ms, written_ms + 1.0) and lifecycle.may_run
    assert (
        not lifecycle.on_unknown_reported(751.0, 752.0)
        and not lifecycle.on_unknown_reported(753.0, 790.0)
        and not lifecycle.on_unknown_reported(760.0, 780.0)
    )
    assert lifecycle.on_unknown_reported(800.0, 801.0) and lifecycle.proof == Proof.UNKNOWN_LONG_AFTER_POST


def test_a_post_on_a_new_connection_may_be_read_1500_ms_late():
    """Guards against a second attempt before the connection of the first one has come up at its engine."""
    lifecycle = sent_lifecycle(is_new_connection=True)
    for written_ms in range(110, 2290, 60):
        assert not lifecycle.on_unknown_reported(written_ms, written_ms + 1.0) and lifecycle.may_run
    assert not lifecycle.on_unknown_reported(2301.0, 2302.0)
    assert lifecycle.on_unknown_reported(2350.0, 2351.0) and not lifecycle.proof.is_end_reported
    lifecycle = sent_lifecycle(is_new_connection=True)
    lifecycle.on_connection_closed_by_engine(150.0)  # or reset on the way, with the POST not read yet
    for written_ms in range(160, 1640, 60):
        assert not lifecycle.on_unknown_reported(written_ms, written_ms + 1.0) and lifecycle.may_run
    assert not lifecycle.on_unknown_reported(1651.0, 1652.0)
    assert lifecycle.on_unknown_reported(1700.0, 1701.0) and not lifecycle.proof.is_end_reported
    lifecycle = sent_lifecycle(is_new_connection=True)
    lifecycle.on_acknowledged(150.0)
    assert lifecycle.on_unknown_reported(160.0, 161.0) and lifecycle.proof.is_end_reported


def test_a_poll_on_a_new_connection_may_come_1500_ms_late():
    """Guards against a second attempt while the first one is kept by a poll that was late."""
    lifecycle = sent_lifecycle(is_new_connection=True)
    assert not lifecycle.on_time_passed(4299.0) and lifecycle.on_time_passed(4301.0)
    lifecycle = sent_lifecycle(is_new_connection=True)
    lifecycle.on_acknowledged(150.0)
    assert not lifecycle.on_time_passed(2799.0) and lifecycle.on_time_passed(2801.0)
    lifecycle = sent_lifecycle()
    lifecycle.on_poll_written(1000.0, is_new_connection=True)
    assert not lifecycle.on_time_passed(5199.0)
    lifecycle.on_poll_written(1100.0)
    assert not lifecycle.on_time_passed(5199.0) and lifecycle.on_time_passed(5201.0)
    assert lifecycle.proof == Proof.FORGOTTEN


def test_unknown_proves_the_end_twice_after_a_disconnect():
    """Both calls must be written after the disconnect, and the second one after the first reply."""
    lifecycle = sent_lifecycle()
    lifecycle.on_connection_closed_by_engine(150.0)
    assert not lifecycle.on_unknown_reported(149.0, 200.0) and not lifecycle.on_unknown_reported(151.0, 160.0)
    # This call was written before the first reply came, so that one read may have answered both.
    assert not lifecycle.on_unknown_reported(155.0, 300.0)
    assert lifecycle.on_unknown_reported(205.0, 206.0) and lifecycle.proof == Proof.UNKNOWN_AFTER_DISCONNECT


def test_unknown_proves_the_end_of_an_acknowledged_attempt_at_once():
    """The call must be written after the acknowledgement, and the reply must be this engine's."""
    lifecycle = sent_lifecycle()
    lifecycle.on_acknowledged(150.0)
    assert not lifecycle.on_unknown_reported(140.0, 160.0) and lifecycle.on_unknown_reported(150.0, 161.0)
    lifecycle = sent_lifecycle()
    lifecycle.on_acknowledged(150.0)
    assert not lifecycle.on_unknown_reported(160.0, 161.0, may_be_other_engine=True)
    lifecycle.on_connection_closed_by_engine(170.0)  # the connection of the acknowledgement
    for written_ms in (171.0, 222.0, 700.0, 760.0):
        assert not lifecycle.on_unknown_reported(written_ms, written_ms + 1.0, may_be_other_engine=True)
    # Two replies of this engine itself are needed: those that may be another's do not count as the first one.
    assert not lifecycle.on_unknown_reported(800.0, 801.0) and lifecycle.on_unknown_reported(850.0, 851.0)
    assert lifecycle.proof == Proof.UNKNOWN_AFTER_DISCONNECT


def test_two_refusals_prove_that_the_process_is_gone():
    """Only if no connection to the process is open, and nothing replied between them."""
    lifecycle = sent_lifecycle()
    assert (
        not lifecycle.on_connection_refused(200.0, True)
        and not lifecycle.on_connection_refused(260.0, False)
        and not lifecycle.on_connection_refused(290.0, False)
    )
    lifecycle.on_engine_replied()
    assert (
        not lifecycle.on_connection_refused(400.0, False)
        and not lifecycle.on_connection_refused(420.0, False)
        and lifecycle.on_connection_refused(450.0, False)
    )
    assert lifecycle.proof == Proof.PROCESS_GONE and not lifecycle.may_run


def test_an_attempt_is_forgotten_after_the_last_call_that_may_have_reached_it():
    """A call that may have been answered by another engine does not count."""
    lifecycle = sent_lifecycle()
    lifecycle.on_poll_written(1000.0)
    assert not lifecycle.on_time_passed(3649.0)
    assert not lifecycle.on_unknown_reported(1000.0, 1010.0, may_be_other_engine=True)
    assert lifecycle.on_time_passed(2751.0) and lifecycle.proof == Proof.FORGOTTEN


def test_an_end_that_was_reported_is_final():
    """Later events change nothing."""
    lifecycle = sent_lifecycle()
    lifecycle.on_end_reported()
    lifecycle.on_acknowledged(120.0)
    lifecycle.on_connection_closed_by_engine(130.0)
    assert (
        lifecycle.state == AttemptState.OVER
        and lifecycle.on_unknown_reported(1.0, 2.0)
        and lifecycle.proof == Proof.END_REPORTED
    )


# Against a model of the engine


class EngineModel:
    """The true state of one attempt at its engine; times in ms.

    While it is awake, the engine process reads what its connections hold at intervals of up to 40 ms, in
    any order of the connections. The connection of the POST may be read later than others.
    """

    def __init__(self, rng):
        """Starts with a live process; `rng` draws the delays."""
        self.rng, self.now_ms, self.awake_from_ms = rng, 1e6, 0.0
        self.is_process_alive, self.accepts_connections = True, True
        self.is_address_reused = False  # another engine has the address
        self.post_read_ms = None  # when the POST will be read; None: no unread POST
        self.is_running, self.last_poll_read_ms = False, 0.0
        self.post_up_ms = 0.0  # the connection of the POST is up at the engine from then on
        self.late_polls_ms = []  # when polls are read whose connections have come up late

    def read_time_ms(self, arrived_ms):
        """Returns when data that arrived at this time is read."""
        return max(arrived_ms, self.awake_from_ms) + self.rng.uniform(0.0, 40.0)

    def send_post(self, read_delay_ms, is_lost, connection_delay_ms):
        """Sends the POST, which is lost, or read with the first read after these delays."""
        self.post_up_ms = self.now_ms + connection_delay_ms
        self.post_read_ms = None if is_lost else self.read_time_ms(self.post_up_ms + read_delay_ms)

    def close_post_connection(self):
        """Closes the connection of the POST: an unread POST is read with the next read once that is up."""
        if self.post_read_ms is not None:
            closed_ms = max(self.now_ms, self.post_up_ms)
            self.post_read_ms = min(self.post_read_ms, self.read_time_ms(closed_ms))

    def advance_to(self, now_ms):
        """Sets the time: reads a POST that is due, and drops a query that was not polled for 2 s."""
        self.now_ms = now_ms
        if self.post_read_ms is not None and self.is_process_alive and self.post_read_ms <= now_ms:
            self.is_running, self.last_poll_read_ms, self.post_read_ms = True, self.post_read_ms, None
        for read_ms in [read_ms for read_ms in self.late_polls_ms if read_ms <= now_ms]:
            self.late_polls_ms.remove(read_ms)
            if self.is_running and self.last_poll_read_ms <= read_ms <= self.last_poll_read_ms + 2000.0:
                self.last_poll_read_ms = read_ms
        if self.is_running and now_ms > self.last_poll_read_ms + 2000.0 and now_ms >= self.awake_from_ms:
            self.is_running = False

    def terminate(self):
        """Ends the process, and with it the attempt."""
        self.is_process_alive = self.accepts_connections = self.is_running = False
        self.post_read_ms = None

    @property
    def may_run(self):
        """Whether the attempt runs or may start to run."""
        return self.is_running or self.post_read_ms is not None


class LifecycleMachine(RuleBasedStateMachine):
    """Random orders of events: the lifecycle must never conclude what the model contradicts."""

    @initialize(
        seed=st.integers(0, 2**32),
        read_delay_ms=st.sampled_from([0.0, 50.0, 250.0, 400.0]),
        is_lost=st.booleans(),
        connection_delay_ms=st.sampled_from([None, None, 0.0, 300.0, 1000.0, 1500.0]),
    )
    def begin(self, seed, read_delay_ms, is_lost, connection_delay_ms=None):
        """Writes the POST, on a new connection if there is a `connection_delay_ms`."""
        self.model, self.lifecycle = EngineModel(random.Random(seed)), AttemptLifecycle()
        self.model.advance_to(1e6)
        self.post_connection = "open"
        self.last_connection = None  # of the last acknowledgement: None, "open" or "closed"
        self.is_leaving = False  # the engine is draining or removed in the endpoint list
        self.closed_locally = False  # the gateway closed the connection that it last knew the attempt on
        self.lifecycle.on_post_written(self.model.now_ms, connection_delay_ms is not None)
        self.model.send_post(read_delay_ms, is_lost, connection_delay_ms or 0.0)

    def advance(self, ms):
        """Lets time pass for the model and the lifecycle."""
        self.model.advance_to(self.model.now_ms + ms)
        if self.lifecycle.state != AttemptState.OVER:
            self.lifecycle.on_time_passed(self.model.now_ms)

    @rule(ms=st.sampled_from([1.0, 20.0, 50.0, 120.0, 400.0, 900.0]))
    def time_passes(self, ms):
        """Lets time pass without another event."""
        self.advance(ms)

    @rule(ms=st.floats(1.0, 450.0))
    def engine_pauses(self, ms):
        """Pauses the engine, which reads nothing for this long."""
        model = self.model
        if model.is_process_alive and model.now_ms >= model.awake_from_ms + 50:
            model.awake_from_ms = model.now_ms + ms
            if model.post_read_ms is not None:
                model.post_read_ms = max(model.post_read_ms, model.read_time_ms(model.awake_from_ms))
            model.late_polls_ms = [
                max(read_ms, model.read_time_ms(model.awake_from_ms)) for read_ms in model.late_polls_ms
            ]

    @rule(by_engine=st.booleans())
    def post_connection_closes(self, by_engine):
        """Closes the connection of the POST, from the engine's or the gateway's side."""
        if self.post_connection == "open":
            self.post_connection = "closed"
            self.closed_locally = self.closed_locally or not by_engine and self.last_connection is None
            if by_engine:
                self.model.close_post_connection()
                self.lifecycle.on_connection_closed_by_engine(self.model.now_ms)
            # If the gateway closed it, an unread POST is read as late as before.

    @precondition(lambda self: self.post_connection == "open" and self.lifecycle.may_run)
    @rule()
    def post_is_answered(self):
        """Has the engine reply to the POST."""
        if self.model.is_running and self.model.now_ms >= self.model.awake_from_ms:
            self.post_connection, self.last_connection, self.closed_locally = "closed", "open", False
            self.lifecycle.on_acknowledged(self.model.now_ms)

    @precondition(lambda self: self.last_connection == "open")
    @rule()
    def last_connection_closes(self):
        """Closes, from the engine's side, the connection on which it last replied."""
        self.last_connection = "closed"
        self.lifecycle.on_connection_closed_by_engine(self.model.now_ms)

    @rule(on_last_connection=st.booleans(), is_cancel=st.booleans(), is_reply_lost=st.booleans())
    def call_is_made(self, on_last_connection, is_cancel, is_reply_lost):
        """Polls or cancels; the engine replies once it has read the call, and the reply may be lost."""
        model, written_ms = self.model, self.model.now_ms
        on_last_connection = on_last_connection and self.last_connection == "open"
        if not is_cancel:
            self.lifecycle.on_poll_written(written_ms)
        if not on_last_connection and not model.accepts_connections and not model.is_address_reused:
            if not is_cancel:
                self.lifecycle.on_poll_not_written()
            return self.refuse_connection()
        is_other_engine = model.is_address_reused and not on_last_connection
        if not is_other_engine and not model.is_process_alive:
            return
        read_ms = written_ms if is_other_engine else model.read_time_ms(written_ms)
        self.advance(read_ms - written_ms)
        is_known = model.is_running and not is_other_engine
        if is_known and is_cancel:
            model.is_running = False
        elif is_known:
            model.last_poll_read_ms = model.now_ms
        self.advance(1.0)
        if is_reply_lost:
            return
        if is_known and not is_cancel:
            self.lifecycle.on_acknowledged(model.now_ms)
            self.last_connection, self.closed_locally = "open", False
        else:
            self.lifecycle.on_unknown_reported(
                written_ms,
                model.now_ms,
                may_be_other_engine=self.is_leaving and not on_last_connection,
                is_poll=not is_cancel,
            )

    @rule(connection_delay_ms=st.floats(0.0, 1500.0))
    def poll_times_out(self, connection_delay_ms):
        """Polls on a new connection, which comes up late; the gateway no longer waits for the reply then."""
        model = self.model
        if model.is_process_alive and model.accepts_connections:
            self.lifecycle.on_poll_written(model.now_ms, True)
            model.late_polls_ms.append(model.read_time_ms(model.now_ms + connection_delay_ms))
            self.advance(1.0)

    def refuse_connection(self):
        """Reports a refused connection, with what the gateway knows about the process."""
        has_open_connection = "open" in (self.post_connection, self.last_connection)
        process_may_live = (
            self.model.is_process_alive and has_open_connection or self.closed_locally or self.is_leaving
        )
        self.lifecycle.on_connection_refused(self.model.now_ms, process_may_live)

    @rule()
    def attempt_ends(self):
        """Ends the attempt at the engine; the reply is lost, so that the gateway may only learn 'unknown'."""
        if self.model.is_running and self.model.now_ms >= self.model.awake_from_ms:
            self.model.is_running = False

    @rule(is_address_reused=st.booleans())
    def process_ends(self, is_address_reused):
        """Ends the process; another engine may get its address."""
        if self.model.is_process_alive:
            self.model.terminate()
            if self.post_connection == "open":
                self.post_connection = "closed"
                self.lifecycle.on_connection_closed_by_engine(self.model.now_ms)
            if self.last_connection == "open":
                self.last_connection = "closed"
                self.lifecycle.on_connection_closed_by_engine(self.model.now_ms)
            self.is_leaving = self.is_leaving or is_address_reused
            self.model.is_address_reused = is_address_reused

    @rule(is_address_reused=st.booleans())
    def engine_stops_accepting(self, is_address_reused):
        """Stops accepting connections while the engine works on, after its drain was announced."""
        has_open_connection = "open" in (self.post_connection, self.last_connection)
        if self.model.is_process_alive and self.model.accepts_connections and has_open_connection:
            self.model.accepts_connections, self.is_leaving = False, True
            self.model.is_address_reused = is_address_reused

    @invariant()
    def an_attempt_that_is_over_cannot_run(self):
        """Compares the lifecycle with the model."""
        if hasattr(self, "lifecycle") and not self.lifecycle.may_run:
            assert not self.model.may_run, self.lifecycle.proof


LifecycleMachine.TestCase.settings = settings(
    max_examples=600, stateful_step_count=25, deadline=None, derandomize=True
)


def replay_unknown_replies_of_the_next_engine():
    """Replays a failing history; whether the random run draws it depends on the modules that are loaded.

    A draining engine closes the connection of the POST and still runs the query. The engine that now has its
    address then replies twice that it does not know the query.
    """
    machine = LifecycleMachine()
    machine.begin(seed=0, read_delay_ms=0.0, is_lost=False)
    machine.engine_stops_accepting(is_address_reused=True)
    machine.post_connection_closes(by_engine=True)
    machine.call_is_made(is_cancel=False, is_reply_lost=False, on_last_connection=False)
    machine.time_passes(ms=50.0)
    machine.call_is_made(is_cancel=False, is_reply_lost=False, on_last_connection=False)
    machine.an_attempt_that_is_over_cannot_run()


class TestLifecycleMachine(LifecycleMachine.TestCase):
    """The random run, followed by the replay."""

    def runTest(self):
        """Fails if the lifecycle concludes what the model contradicts."""
        super().runTest()
        replay_unknown_replies_of_the_next_engine()
