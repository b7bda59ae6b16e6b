"""When a gateway takes an attempt for over, with engines that read late, pause, refuse or are replaced."""

import time
from itertools import count
from types import SimpleNamespace

import pytest
from gateway_world import BROKEN_RULES, RESULT, answered, start_with_long_deadlines
from loopback import StandInEngine, until, wait
from twisted.internet import reactor
from twisted.internet.error import TimeoutError
from twisted.python.failure import Failure

from lichenquay.admission.domain import EndpointState
from lichenquay.gateway import engine_protocol, frames
from lichenquay.gateway.discovery import Discovery
from lichenquay.gateway.endpoint_events import EndpointListError
from lichenquay.gateway.endpoint_watch import MIN_CONFIRMATION_INTERVAL_MS
from lichenquay.gateway.engine_call import EngineCall
from lichenquay.gateway.engine_connection import EngineConnection
from lichenquay.gateway.engine_pool import EnginePool, GatewayEngine

# The gateway with stand-ins


def set_behaviour_of_first_attempt(world, behaviour):
    """Sets the behaviour for the first attempt, at whichever engine; later ones are answered completely."""
    behaviours = [behaviour]
    for engine in world.engines:
        engine.behaviours = behaviours


@pytest.mark.parametrize(
    "behaviour", ["unread", "unread cut", "unread copy", "unread late", "unread late cut"]
)
@pytest.mark.parametrize("group", ["status", "report", "manifest"])
def test_a_post_that_is_read_late_runs_once(make_world, behaviour, group):
    """'Unknown' to a poll and an acknowledged cancellation prove nothing while the POST is unread."""
    world = start_with_long_deadlines(make_world, engines=2)
    set_behaviour_of_first_attempt(world, behaviour)
    client = world.client()
    code, body = answered(client, client.ask(group, allow=8000), 9)
    assert (code, body) == (frames.AnswerCode.COMPLETED, RESULT) and not BROKEN_RULES
    is_relocated = group == "status" or (group == "report" and "late" in behaviour)  # it was silent for long
    assert is_relocated or world.posts() == 1


def test_an_attempt_without_a_reported_end_counts_as_reset(make_world):
    """Guards against the next query of a key without a rest, after an attempt of unknown end."""
    world = start_with_long_deadlines(make_world, engines=2)
    set_behaviour_of_first_attempt(world, "unread never")
    client = world.client()
    stream = client.ask("report", allow=8000)
    until(lambda: world.in_flight)
    sent_s = time.monotonic()
    reactor.callLater(1.5, world.in_flight.clear)  # its connection has not come up
    assert answered(client, stream, 9)[0] == frames.AnswerCode.COMPLETED and not BROKEN_RULES
    assert time.monotonic() - sent_s > 1.5
    counters = world.service.metrics.counters
    assert counters["attempts connection reset"] + counters["attempts cancelled"] == 1
    assert counters["attempts failed"] == 0


def test_queries_at_engines_that_pause_and_read_newest_first_complete(make_world):
    """Every query that was sent to an engine completes.

    A query that found no slot for a tenth of its time-out, while both engines paused, may be rejected (the
    admission delay); no attempt of it was sent, and its retry completes.
    """
    world = make_world(engines=2)
    clients = [world.client() for _ in range(4)]
    queries, refs = [], (f"{n:016x}" for n in count(1))
    for turn in range(6):
        world.engines[turn % 2].pause(0.37)
        for client in clients:
            for group in ("status", "report", "manifest"):
                ref = next(refs)
                queries.append((client, client.ask(group, ref=ref, allow=2500), group, ref))
        wait(0.2)
    outcomes = [answered(client, stream) for client, stream, _, _ in queries]
    codes = [code for code, _ in outcomes]
    rejected = [
        query for query, code in zip(queries, codes, strict=True) if code == frames.AnswerCode.REJECTED
    ]
    assert (
        set(codes) <= {frames.AnswerCode.COMPLETED, frames.AnswerCode.REJECTED}
        and len(rejected) < len(queries) / 2
        and not BROKEN_RULES
    )
    assert all(body == RESULT for code, body in outcomes if code == frames.AnswerCode.COMPLETED)
    assert not {ref for *_, ref in rejected} & world.may_have_run.keys()
    for client, _, group, _ in rejected:
        assert answered(client, client.ask(group, ref=next(refs), allow=2500)) == (
            frames.AnswerCode.COMPLETED,
            RESULT,
        )
    assert not BROKEN_RULES


def test_a_refusal_proves_nothing_while_a_connection_to_the_process_is_open(make_world):
    """An engine that accepts no connections, but works on, must not be taken for gone."""
    world = make_world(engines=2)
    client, stream, busy = world.hold()
    other = world.client()
    busy.behaviours, spare = [], next(engine for engine in world.engines if engine is not busy)
    spare.behaviours = ["full"] * 9
    # Leaves an idle connection to the busy engine behind.
    until(lambda: (answered(other, other.ask("status")), len(busy.posts) > 1)[1])
    wait(0.05)
    spare.behaviours = []
    busy.port.stopListening()
    wait(0.02)
    connection = world.service.adapter.open_queries.copy().pop().attempt_in_flight.connection
    for engine_connection in list(busy.connections):
        if engine_connection.transport.getPeer().port == connection.transport.getHost().port:
            engine_connection.transport.abortConnection()
    wait(0.3)
    busy.running = {ref: "ok" for ref in busy.running}
    assert (
        answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
        and not BROKEN_RULES
        and not spare.posts[len(spare.posts) :]
    )
    assert world.service.metrics.counters["attempts connection reset"] == 0


def take_address(world, old):
    """Has a new engine take the address of `old`, which accepts no more connections; returns the new one."""
    port = old.port.getHost().port
    old.port.stopListening()
    wait(0.02)
    new = StandInEngine(world, "s-new")
    new.port.stopListening()
    wait(0.02)
    new.port = reactor.listenTCP(port, new, interface="127.0.0.1")
    new.address = old.address
    world.engines.append(new)
    return new


def test_another_engine_at_the_address_proves_nothing_of_the_one_that_left(make_world):
    """A query of a partitioned engine still runs, although the new engine at its address does not know it."""
    world = make_world(engines=2)
    client, stream, old = world.hold()
    ref = next(iter(world.in_flight))
    old.is_silent = True
    new = take_address(world, old)
    world.discovery.add_event(old.row("DELETED"), new.row())
    removed_s = time.monotonic()
    reactor.callLater(2.0, world.in_flight.discard, ref)  # the old engine drops it, as it was not polled
    assert answered(client, stream)[0] == frames.AnswerCode.COMPLETED and not BROKEN_RULES
    assert time.monotonic() - removed_s > 2.0


def test_an_attempt_is_forgotten_only_after_the_last_call_may_have_been_read(make_world):
    """An engine that paused reads a poll later than it was written, and keeps the query longer by as much."""
    world = make_world(engines=2)
    client, stream, partitioned = world.hold()
    ref, connect = next(iter(world.in_flight)), world.service.engines.reactor.connectTCP

    def connect_unless_partitioned(host, port, factory, timeout):
        if f"{host}:{port}" != partitioned.address:
            return connect(host, port, factory, timeout=timeout)
        reactor.callLater(timeout, factory.clientConnectionFailed, None, Failure(TimeoutError()))

    world.service.engines.reactor.connectTCP, partitioned.is_silent = connect_unless_partitioned, True
    reactor.callLater(2.4, world.in_flight.discard, ref)  # 0.4 s until the last poll is read, and 2 s
    assert (
        answered(client, stream)[0] == frames.AnswerCode.COMPLETED and not BROKEN_RULES and world.posts() == 2
    )


def test_a_connection_whose_reply_came_late_is_not_used_again():
    """A late reply may be duplicated, and the duplicate would be taken for the reply to the next query."""
    pool = EnginePool(SimpleNamespace(seconds=lambda: 100.0, callLater=None), 0, 1.0, 1.0, 1000.0)
    engine, replies = GatewayEngine("e", address="127.0.0.1:1"), []
    for is_late in (False, True):
        call = EngineCall(engine, b"", engine_protocol.is_poll_reply)
        connection = EngineConnection(pool, call)
        connection.transport, connection.is_overdue = SimpleNamespace(abortConnection=lambda: None), is_late
        pool.connections.add(connection)
        call.reply.addCallback(replies.append)
        connection.dataReceived(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
        assert (connection in engine.idle_connections) is not is_late and (
            connection in pool.connections
        ) is not is_late
    assert [reply.status for reply in replies] == [202, 202]


@pytest.mark.parametrize("status", [500, 503, 504])
@pytest.mark.parametrize("announcement", ["drain", "same address", "moved", "drain not heard of"])
@pytest.mark.parametrize("group", ["report", "manifest"])
def test_replies_of_the_engine_that_took_the_address_are_no_evidence(make_world, group, announcement, status):
    """Guards against a second attempt while an engine that closed the connection of its POST runs on."""
    world = start_with_long_deadlines(make_world, engines=2)
    set_behaviour_of_first_attempt(world, "silent")
    client = world.client()
    stream = client.ask(group, allow=8000)
    until(lambda: world.in_flight)
    sent_s = time.monotonic()
    ref = next(iter(world.in_flight))
    reactor.callLater(2.0, world.in_flight.discard, ref)  # the old engine drops it, as it was not polled
    old = next(engine for engine in world.engines if engine.posts)
    new = take_address(world, old)
    answer_known = new._on_poll

    def answer_poll(connection, request_id, page):
        if request_id in new.running:
            answer_known(connection, request_id, page)
        else:
            connection.answer(status, [("X-No-Effect", "1")] if status != 500 else [])

    new._on_poll = answer_poll
    rows = {
        "drain": [old.row("DRAINING"), new.row()],
        "same address": [new.row()],
        "moved": [{**old.row(), "endpoint": "127.0.0.1:1"}],
    }
    if announcement in rows:
        world.discovery.add_event(*rows[announcement])
        until(lambda: world.service.discovery.last_number == 2)
    else:
        world.discovery.is_silent, world.discovery.waiting_polls = True, []
    for connection in list(old.connections):
        connection.transport.abortConnection()
    code, _ = answered(client, stream, 9)
    assert not BROKEN_RULES
    if group == "manifest":
        assert code == frames.AnswerCode.FAILED and world.posts() == 1
    else:
        assert code == frames.AnswerCode.COMPLETED and time.monotonic() - sent_s > 2.0


@pytest.mark.parametrize("is_heard_of", [True, False])
def test_an_engine_that_refuses_connections_may_run_on_unless_the_list_is_current(make_world, is_heard_of):
    """Guards against a second attempt while an engine runs on whose drain the gateway has not heard of."""
    world = start_with_long_deadlines(make_world, engines=2)
    set_behaviour_of_first_attempt(world, "silent")
    client = world.client()
    stream = client.ask("report", allow=8000)
    until(lambda: world.in_flight)
    sent_s = time.monotonic()
    old = next(engine for engine in world.engines if engine.posts)
    ref = next(iter(world.in_flight))
    if is_heard_of:  # the engine has crashed
        world.in_flight.discard(ref)
    else:  # it drains, and drops the query later, as it is not polled
        world.discovery.is_silent, world.discovery.waiting_polls = True, []
        reactor.callLater(2.0, world.in_flight.discard, ref)
    old.stop()
    code, _ = answered(client, stream, 9)
    assert not BROKEN_RULES and code == frames.AnswerCode.COMPLETED
    assert (time.monotonic() - sent_s > 2.0) is not is_heard_of


def test_newer_events_are_applied_before_a_list_is_current(make_world):
    """Guards against events that the gateway was told and did not obey; the watch may be silent meanwhile."""
    world = make_world(engines=1)
    outcomes = []

    def confirm():
        world.service.endpoint_watch.confirm().addCallback(outcomes.append)
        expected_count = len(outcomes) + 1
        until(lambda: len(outcomes) == expected_count)
        wait(2 * MIN_CONFIRMATION_INTERVAL_MS / 1000)
        return outcomes[-1]

    assert confirm() and world.service.discovery.last_number == 1
    world.discovery.waiting_polls = []
    world.discovery.add_event(world.engines[0].row("DRAINING"))
    assert confirm() and world.service.discovery.last_number == 2
    engine = next(iter(world.service.engines_by_id.values()))
    assert engine.state == EndpointState.DRAINING
    world.discovery.is_silent = True
    assert not confirm()


def test_an_answer_that_a_newer_one_has_overtaken_is_no_error():
    """Two polls are open at a time; a number below that in the poll is an error, and changes nothing."""
    events = []
    discovery = Discovery({"no": 3, "items": []}, lambda *event: events.append(event), lambda *line: None)
    discovery.on_answer({"no": 5, "items": []}, asked_after=3)
    discovery.on_answer({"no": 4, "items": []}, asked_after=3)
    assert discovery.last_number == 5
    with pytest.raises(EndpointListError):
        discovery.on_answer({"no": 2, "items": []}, asked_after=3)
    assert discovery.last_number == 5 and not events


def test_confirmations_share_polls(make_world):
    """Guards against a poll for each attempt at an engine that has crashed."""
    world = make_world(engines=1)
    outcomes = []
    polls_before = world.service.metrics.counters["endpoint lists confirmed"]
    for _ in range(50):
        world.service.endpoint_watch.confirm().addCallback(outcomes.append)
    until(lambda: len(outcomes) == 50)
    assert all(outcomes)
    assert world.service.metrics.counters["endpoint lists confirmed"] - polls_before == 2
