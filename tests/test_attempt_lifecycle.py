"""What the front may conclude of a submission: the account alone, against a model of the engine's side that
keeps the truth, and the whole front before stand-ins that read late, stand still, close their door or lose
their address."""

import random
import time
from itertools import count
from types import SimpleNamespace

import pytest
from gateway_world import BROKEN, RESULT, answered
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from loopback import StandInEngine, until, wait
from twisted.internet import reactor
from twisted.internet.error import TimeoutError
from twisted.python.failure import Failure

from lichenquay.gateway import engine_protocol, frames
from lichenquay.gateway.attempt_lifecycle import AttemptLifecycle, AttemptState, Proof
from lichenquay.gateway.engine_call import EngineCall
from lichenquay.gateway.engine_connection import EngineConnection
from lichenquay.gateway.engine_pool import EnginePool, GatewayEngine

# the account alone


def sent(at=100.0):
    life = AttemptLifecycle()
    life.post_written(at)
    return life


def test_nothing_written_is_nothing_out_and_stays_so_until_it_is_written():
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


def test_unknown_is_no_proof_while_the_first_call_is_not_settled():
    life = sent()
    for at in range(110, 590, 60):
        assert not life.unknown_reported(at, at + 1.0) and life.may_run
    assert (
        not life.unknown_reported(601.0, 602.0)
        and not life.unknown_reported(603.0, 640.0)
        and not life.unknown_reported(610.0, 630.0)
    )
    assert life.unknown_reported(650.0, 651.0) and life.proof == Proof.UNKNOWN_LONG_AFTER_POST


def test_unknown_counts_twice_after_a_cut_and_only_of_calls_that_were_written_later():
    life = sent()
    life.connection_closed_by_engine(150.0)
    assert not life.unknown_reported(149.0, 200.0) and not life.unknown_reported(151.0, 160.0)
    assert not life.unknown_reported(
        155.0, 300.0
    )  # it was out when the first came: one look may have answered both
    assert life.unknown_reported(205.0, 206.0) and life.proof == Proof.UNKNOWN_AFTER_DISCONNECT


def test_unknown_proves_it_once_it_was_known_by_a_call_written_since():
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


def test_two_refusals_prove_it_if_nothing_to_it_is_open_and_nothing_answered_between():
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


def test_its_time_is_over_by_the_last_call_that_may_have_kept_it():
    life = sent()
    life.poll_written(1000.0)
    assert not life.time_passed(3499.0)
    assert not life.unknown_reported(1000.0, 1010.0, may_be_other_engine=True)  # that call kept nobody at it
    assert life.time_passed(2601.0) and life.proof == Proof.FORGOTTEN


def test_an_end_of_its_own_is_the_end():
    life = sent()
    life.end_reported()
    life.acknowledged(120.0)
    life.connection_closed_by_engine(130.0)
    assert (
        life.state == AttemptState.OVER
        and life.unknown_reported(1.0, 2.0)
        and life.proof == Proof.END_REPORTED
    )


# against a model of the engine's side


class EngineSide:
    """The truth of one submission: a process that reads what its connections hold when it is awake, a call on
    a connection of its own after `hold` at the latest, in any order within a look of 40 ms; times in ms."""

    def __init__(self, chance):
        self.chance, self.now, self.wakes_ms = chance, 1e6, 0.0
        self.process, self.door = True, True  # it lives; it takes connections
        self.stranger = False  # another one has its address
        self.post = None  # when it will be read: None: nothing is there
        self.running, self.kept_ms = False, 0.0

    def reads(self, at):
        """When what came at `at` is read."""
        return max(at, self.wakes_ms) + self.chance.uniform(0.0, 40.0)

    def sent(self, hold, lost):
        self.post = None if lost else self.reads(self.now + hold)

    def cut(self):
        """Its POST's connection is no more: what is there is read with the next look."""
        if self.post is not None:
            self.post = min(self.post, self.reads(self.now))

    def pass_time(self, until):
        self.now = until
        if self.post is not None and self.process and self.post <= until:
            self.running, self.kept_ms, self.post = True, self.post, None
        if self.running and until > self.kept_ms + 2000.0 and until >= self.wakes_ms:
            self.running = False

    def die(self):
        self.process = self.door = self.running = False
        self.post = None

    @property
    def out(self):
        return self.running or self.post is not None


class Conclusions(RuleBasedStateMachine):
    """Orders of delivery drawn at will: nothing may be concluded that the engine's side contradicts."""

    @initialize(
        seed=st.integers(0, 2**32), hold=st.sampled_from([0.0, 50.0, 250.0, 400.0]), lost=st.booleans()
    )
    def begin(self, seed, hold, lost):
        self.side, self.life = EngineSide(random.Random(seed)), AttemptLifecycle()
        self.side.pass_time(1e6)
        self.first = self.own = "open"  # its POST's connection; the one that it was last known on
        self.own = None
        self.leaves, self.calls, self.apart = False, [], 0.0
        self.here = False  # this side ended the one that it was last known on
        self.life.post_written(self.side.now)
        self.side.sent(hold, lost)

    def later(self, ms):
        self.side.pass_time(self.side.now + ms)
        if self.life.state != AttemptState.OVER:
            self.life.time_passed(self.side.now)

    @rule(ms=st.sampled_from([1.0, 20.0, 50.0, 120.0, 400.0, 900.0]))
    def time_goes(self, ms):
        self.later(ms)

    @rule(ms=st.floats(1.0, 450.0))
    def stands_still(self, ms):
        s = self.side
        if s.process and s.now >= s.wakes_ms + 50:
            s.wakes_ms = s.now + ms
            if s.post is not None:
                s.post = max(s.post, s.reads(s.wakes_ms))

    @rule(peer=st.booleans())
    def first_connection_breaks(self, peer):
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
        if self.side.running and self.side.now >= self.side.wakes_ms:
            self.first, self.own, self.here = "gone", "open", False
            self.life.acknowledged(self.side.now)

    @precondition(lambda self: self.own == "open")
    @rule()
    def known_connection_breaks(self):
        self.own = "cut"
        self.life.connection_closed_by_engine(self.side.now)

    @rule(on_own=st.booleans(), drop=st.booleans(), lost=st.booleans())
    def asks(self, on_own, drop, lost):
        """A call for news or a DELETE, answered once the engine reads it; an answer may get lost after it was
        read."""
        s, written = self.side, self.side.now
        on_own = on_own and self.own == "open"
        if not drop:
            self.life.poll_written(written)
        if not on_own and not s.door and not s.stranger:
            if not drop:
                self.life.poll_not_written()  # refused: nothing was written
            return self.refused()
        stranger = s.stranger and not on_own
        if not stranger and not s.process:
            return
        at = written if stranger else s.reads(written)
        self.later(at - written)
        knows = s.running and not stranger
        if knows and drop:
            s.running = False
        elif knows:
            s.kept_ms = s.now
        self.later(1.0)
        if lost:
            return
        if knows and not drop:
            self.life.acknowledged(s.now)
            self.own, self.here = "open", False
        else:
            self.life.unknown_reported(
                written, s.now, may_be_other_engine=self.leaves and not on_own, is_poll=not drop
            )

    def refused(self):
        alive = self.side.process and "open" in (self.first, self.own) or self.here or self.leaves
        self.life.connection_refused(self.side.now, alive)

    @rule()
    def ends(self):
        if self.side.running and self.side.now >= self.side.wakes_ms:
            self.side.running = False  # its end may be told, or lost and then unknown

    @rule(takes_over=st.booleans())
    def dies(self, takes_over):
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
    def closes_its_door(self, takes_over):
        """It works on, reachable on what is open alone; the list has told that it leaves before its address
        goes."""
        if self.side.process and self.side.door and "open" in (self.first, self.own):
            self.side.door, self.leaves, self.side.stranger = False, True, takes_over
            self.shut = True

    @invariant()
    def nothing_is_concluded_that_is_not_so(self):
        if hasattr(self, "life") and not self.life.may_run:
            assert not self.side.out, self.life.proof


Conclusions.TestCase.settings = settings(
    max_examples=600, stateful_step_count=25, deadline=None, derandomize=True
)
TestConclusions = Conclusions.TestCase


# the front before stand-ins


def both(w, way):
    ways = [way]  # of the first submission, wherever it goes
    for e in w.engines:
        e.ways = ways


@pytest.mark.parametrize("way", ["unread", "unread cut", "unread copy"])
@pytest.mark.parametrize("group", ["status", "report", "manifest"])
def test_what_came_whole_and_is_read_late_is_out_only_once(world, way, group):
    """Risk: 'unknown' to news, or an answered DELETE, is taken for proof while the POST lies unread at its
    engine."""
    w = world(engines=2)
    both(w, way)
    client = w.client()
    code, body = answered(client, client.ask(group, allow=2500))
    assert (code, body) == (frames.AnswerCode.COMPLETED, RESULT) and not BROKEN
    assert group == "status" or w.posts() == 1


def test_an_engine_that_stands_still_reads_the_newest_first(world):
    """All that came to an engine finishes. What found no slot for a tenth of its time, while both stood
    still, may be deferred (design: the admission delay); nothing of it went out, and asked again it
    finishes."""
    w = world(engines=2)
    clients = [w.client() for _ in range(4)]
    asked, refs = [], (f"{n:016x}" for n in count(1))
    for turn in range(6):
        w.engines[turn % 2].stand_still(0.37)
        for client in clients:
            for group in ("status", "report", "manifest"):
                ref = next(refs)
                asked.append((client, client.ask(group, ref=ref, allow=2500), group, ref))
        wait(0.2)
    outcomes = [answered(client, stream) for client, stream, _, _ in asked]
    codes = [code for code, _ in outcomes]
    deferred = [x for x, code in zip(asked, codes, strict=True) if code == frames.AnswerCode.REJECTED]
    assert (
        set(codes) <= {frames.AnswerCode.COMPLETED, frames.AnswerCode.REJECTED}
        and len(deferred) < len(asked) / 2
        and not BROKEN
    )
    assert all(body == RESULT for code, body in outcomes if code == frames.AnswerCode.COMPLETED)
    assert not {ref for *_, ref in deferred} & w.may.keys()
    for client, _, group, _ in deferred:
        assert answered(client, client.ask(group, ref=next(refs), allow=2500)) == (
            frames.AnswerCode.COMPLETED,
            RESULT,
        )
    assert not BROKEN


def test_a_refusal_proves_nothing_while_a_connection_to_the_process_is_open(world):
    """Risk: an engine that takes no more connections, and works on, is taken for gone."""
    w = world(engines=2)
    client, stream, busy = w.hold()
    other = w.client()
    busy.ways, spare = [], next(e for e in w.engines if e is not busy)
    spare.ways = ["full"] * 9
    until(
        lambda: (answered(other, other.ask("status")), len(busy.posts) > 1)[1]
    )  # leaves an idle connection behind
    wait(0.05)
    spare.ways = []
    busy.port.stopListening()
    wait(0.02)
    line = w.service.adapter.open_queries.copy().pop().attempt_in_flight.connection
    for theirs in list(busy.lines):
        if theirs.transport.getPeer().port == line.transport.getHost().port:
            theirs.transport.abortConnection()
    wait(0.3)
    busy.runs = {ref: "ok" for ref in busy.runs}
    assert (
        answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
        and not BROKEN
        and not spare.posts[len(spare.posts) :]
    )
    assert w.service.metrics.counters["attempts connection reset"] == 0


def test_a_stranger_at_the_address_proves_nothing_of_the_one_that_left(world):
    """Risk: an engine is cut off and its address given away; what the next one does not know still runs at
    the first."""
    w = world(engines=2)
    client, stream, old = w.hold()
    ref = next(iter(w.out))
    port = old.port.getHost().port
    old.port.stopListening()
    old.mute = True
    wait(0.02)
    new = StandInEngine(w, "s-new")
    new.port.stopListening()
    wait(0.02)
    new.port = reactor.listenTCP(port, new, interface="127.0.0.1")
    new.address = old.address
    w.engines.append(new)
    w.bulletin.add(old.row("DELETED"), new.row())
    since = time.monotonic()
    reactor.callLater(2.0, w.out.discard, ref)  # it has not been asked for so long
    assert answered(client, stream)[0] == frames.AnswerCode.COMPLETED and not BROKEN
    assert time.monotonic() - since > 2.0


def test_its_time_counts_from_when_the_last_call_may_have_been_read(world):
    """Risk: an engine that stood still read a call for news later than it was written, and holds the query as
    much longer."""
    w = world(engines=2)
    client, stream, cut_off = w.hold()
    ref, connect = next(iter(w.out)), w.service.engines.reactor.connectTCP

    def fails(host, port, factory, timeout):
        if f"{host}:{port}" != cut_off.address:
            return connect(host, port, factory, timeout=timeout)
        reactor.callLater(timeout, factory.clientConnectionFailed, None, Failure(TimeoutError()))

    w.service.engines.reactor.connectTCP, cut_off.mute = fails, True
    reactor.callLater(2.4, w.out.discard, ref)  # 0.4 s until the last call was read, and 2 s
    assert answered(client, stream)[0] == frames.AnswerCode.COMPLETED and not BROKEN and w.posts() == 2


def test_a_connection_whose_answer_came_late_is_used_no_more():
    """Seen once on a day with late answers: a query answered with rows that no engine made for it. What comes
    late may come twice, and would be the answer to the next query's call."""
    pool = EnginePool(SimpleNamespace(seconds=lambda: 100.0, callLater=None), 0, 1.0, 1.0, 1000.0)
    e, got = GatewayEngine("e", address="127.0.0.1:1"), []
    for late in (False, True):
        call = EngineCall(e, b"", engine_protocol.is_poll_reply)
        line = EngineConnection(pool, call)
        line.transport, line.is_overdue = SimpleNamespace(abortConnection=lambda: None), late
        pool.connections.add(line)
        call.reply.addCallback(got.append)
        line.dataReceived(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
        assert (line in e.idle_connections) is not late and (line in pool.connections) is not late
    assert [r.status for r in got] == [202, 202]
