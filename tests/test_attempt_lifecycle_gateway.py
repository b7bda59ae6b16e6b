"""What a gateway concludes of an attempt, before engines that read late, pause, refuse or move away."""

import time
from itertools import count
from types import SimpleNamespace

import pytest
from gateway_world import BROKEN_RULES, RESULT, answered
from loopback import StandInEngine, until, wait
from twisted.internet import reactor
from twisted.internet.error import TimeoutError
from twisted.python.failure import Failure

from lichenquay.gateway import engine_protocol, frames
from lichenquay.gateway.engine_call import EngineCall
from lichenquay.gateway.engine_connection import EngineConnection
from lichenquay.gateway.engine_pool import EnginePool, GatewayEngine

# The whole gateway before stand-ins.


def behave_at_first_attempt(world, behaviour):
    """The behaviour of whichever engine has the first attempt; later ones are answered in full."""
    behaviours = [behaviour]
    for engine in world.engines:
        engine.behaviours = behaviours


@pytest.mark.parametrize("behaviour", ["unread", "unread cut", "unread copy"])
@pytest.mark.parametrize("group", ["status", "report", "manifest"])
def test_a_post_that_is_read_late_runs_once(make_world, behaviour, group):
    """'Unknown' to a poll, or an acknowledged cancellation, is no proof while the POST lies unread."""
    world = make_world(engines=2)
    behave_at_first_attempt(world, behaviour)
    client = world.client()
    code, body = answered(client, client.ask(group, allow=2500))
    assert (code, body) == (frames.AnswerCode.COMPLETED, RESULT) and not BROKEN_RULES
    assert group == "status" or world.posts() == 1


def test_engines_that_pause_read_the_newest_first(make_world):
    """All that came to an engine completes.

    What found no slot for a tenth of its time, while both paused, may be rejected (design: the
    admission delay); no attempt of it was sent, and asked again it completes.
    """
    world = make_world(engines=2)
    clients = [world.client() for _ in range(4)]
    asked, refs = [], (f"{n:016x}" for n in count(1))
    for turn in range(6):
        world.engines[turn % 2].pause(0.37)
        for client in clients:
            for group in ("status", "report", "manifest"):
                ref = next(refs)
                asked.append((client, client.ask(group, ref=ref, allow=2500), group, ref))
        wait(0.2)
    outcomes = [answered(client, stream) for client, stream, _, _ in asked]
    codes = [code for code, _ in outcomes]
    rejected = [x for x, code in zip(asked, codes, strict=True) if code == frames.AnswerCode.REJECTED]
    assert (
        set(codes) <= {frames.AnswerCode.COMPLETED, frames.AnswerCode.REJECTED}
        and len(rejected) < len(asked) / 2
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
    """An engine that accepts no more connections, and works on, must not be taken for gone."""
    world = make_world(engines=2)
    client, stream, busy = world.hold()
    other = world.client()
    busy.behaviours, spare = [], next(engine for engine in world.engines if engine is not busy)
    spare.behaviours = ["full"] * 9
    until(
        lambda: (answered(other, other.ask("status")), len(busy.posts) > 1)[1]
    )  # leaves an idle connection behind
    wait(0.05)
    spare.behaviours = []
    busy.port.stopListening()
    wait(0.02)
    connection = world.service.adapter.open_queries.copy().pop().attempt_in_flight.connection
    for theirs in list(busy.connections):
        if theirs.transport.getPeer().port == connection.transport.getHost().port:
            theirs.transport.abortConnection()
    wait(0.3)
    busy.running = {ref: "ok" for ref in busy.running}
    assert (
        answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
        and not BROKEN_RULES
        and not spare.posts[len(spare.posts) :]
    )
    assert world.service.metrics.counters["attempts connection reset"] == 0


def test_another_engine_at_the_address_proves_nothing_of_the_one_that_left(make_world):
    """An engine is cut off and its address given away; what the next one does not know still runs at the
    first.
    """
    world = make_world(engines=2)
    client, stream, old = world.hold()
    ref = next(iter(world.in_flight))
    port = old.port.getHost().port
    old.port.stopListening()
    old.is_silent = True
    wait(0.02)
    new = StandInEngine(world, "s-new")
    new.port.stopListening()
    wait(0.02)
    new.port = reactor.listenTCP(port, new, interface="127.0.0.1")
    new.address = old.address
    world.engines.append(new)
    world.discovery.add_event(old.row("DELETED"), new.row())
    since = time.monotonic()
    reactor.callLater(2.0, world.in_flight.discard, ref)  # it has not been asked for so long
    assert answered(client, stream)[0] == frames.AnswerCode.COMPLETED and not BROKEN_RULES
    assert time.monotonic() - since > 2.0


def test_an_attempt_is_remembered_from_when_the_last_call_may_have_been_read(make_world):
    """An engine that paused read a poll later than it was written, and holds the query for as much longer."""
    world = make_world(engines=2)
    client, stream, cut_off = world.hold()
    ref, connect = next(iter(world.in_flight)), world.service.engines.reactor.connectTCP

    def fails(host, port, factory, timeout):
        if f"{host}:{port}" != cut_off.address:
            return connect(host, port, factory, timeout=timeout)
        reactor.callLater(timeout, factory.clientConnectionFailed, None, Failure(TimeoutError()))

    world.service.engines.reactor.connectTCP, cut_off.is_silent = fails, True
    reactor.callLater(2.4, world.in_flight.discard, ref)  # 0.4 s until the last call was read, and 2 s
    assert (
        answered(client, stream)[0] == frames.AnswerCode.COMPLETED and not BROKEN_RULES and world.posts() == 2
    )


def test_a_connection_whose_reply_came_late_is_not_used_again():
    """What comes late may come twice, and would be the reply to the next query's call: rows that no engine
    made for it.
    """
    pool = EnginePool(SimpleNamespace(seconds=lambda: 100.0, callLater=None), 0, 1.0, 1.0, 1000.0)
    engine, got = GatewayEngine("e", address="127.0.0.1:1"), []
    for late in (False, True):
        call = EngineCall(engine, b"", engine_protocol.is_poll_reply)
        connection = EngineConnection(pool, call)
        connection.transport, connection.is_overdue = SimpleNamespace(abortConnection=lambda: None), late
        pool.connections.add(connection)
        call.reply.addCallback(got.append)
        connection.dataReceived(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
        assert (connection in engine.idle_connections) is not late and (
            connection in pool.connections
        ) is not late
    assert [r.status for r in got] == [202, 202]
