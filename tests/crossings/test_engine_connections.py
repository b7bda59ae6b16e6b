"""Bytes, an end or a reset on an engine's connection as it is used again, within a reply, or behind one."""

import socket
from types import SimpleNamespace

import pytest
from gateway_world import RESULT, answered
from interleavings import DelayedConnections, counter, wait_until_over
from loopback import PAGES, until, wait
from twisted.internet.error import ConnectionAborted
from twisted.python.failure import Failure

from lichenquay.gateway import engine_protocol, frames, http
from lichenquay.gateway.engine_call import EngineCall
from lichenquay.gateway.engine_connection import EngineConnection
from lichenquay.gateway.engine_pool import MIN_IDLE_S, EnginePool, GatewayEngine


def wait_until_idle(world):
    """The connections to engines are idle, for long enough to be used again."""
    until(
        lambda: (
            world.service.engines.connections
            and all(x.call is None for x in world.service.engines.connections)
        )
    )
    wait(2 * MIN_IDLE_S)


@pytest.mark.parametrize("group", ["report", "manifest"])
@pytest.mark.parametrize("comes", ["bytes", "end", "reset"])
def test_what_arrives_as_an_idle_connection_is_used_again_is_no_reply(make_world, comes, group):
    """A POST must not go out on a connection that closes, nor take what arrived on it for its reply."""
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
    wait_until_idle(world)
    pool, real = world.service.engines, world.service.engines.pick_idle_connection

    def idle(call):
        connection = real(call)
        if connection is not None and engine.connections:  # chosen, not yet looked at
            pool.pick_idle_connection = real
            far = next(iter(engine.connections))
            if comes == "bytes":
                far.transport.socket.send(b"HTTP/1.1 503 X\r\nX-No-Effect: 1\r\nContent-Length: 0\r\n\r\n")
            elif comes == "end":
                far.transport.socket.shutdown(socket.SHUT_RDWR)
            else:
                far.transport.connectionLost(Failure(ConnectionAborted()))
        return connection

    pool.pick_idle_connection = idle
    assert answered(client, client.ask(group, allow=4000)) == (frames.AnswerCode.COMPLETED, RESULT)
    assert world.posts() == 2 and pool.pick_idle_connection == real
    wait_until_over(world)


@pytest.mark.parametrize("status", [503, 504, 500])
def test_a_late_copy_of_a_refusal_is_no_reply_to_another_query(make_world, status):
    """It would say 'overloaded' of a non-idempotent query that runs, and the query would be retried."""
    world = make_world(engines=2)
    world.announce(world.engines[1], "DRAINING")
    until(lambda: world.service.discovery.last_number == 2)
    client, engine = world.client(), world.engines[0]
    real, connections = engine.start, []

    def first(connection, ref, behaviour):
        engine.start = real
        connections.append(connection)
        world.in_flight.discard(ref)
        engine.running.pop(ref)
        connection.answer(status, [("X-No-Effect", "1")] if status != 500 else [])

    engine.start = first
    engine.behaviours = ["refused", "hold"]
    stream = client.ask("status", allow=300)
    until(lambda: world.posts() == 1)
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    wait(2 * MIN_IDLE_S)
    world.in_flight.clear()
    engine.behaviours, engine.is_paused = ["ok"], True
    second = client.ask("manifest", allow=4000)
    until(lambda: any(call[1] == "POST" for call in engine.paused_requests))
    # The copy, before the engine has read what came on the connection since.
    if connections[0].transport.connected:
        connections[0].answer(status, [("X-No-Effect", "1")] if status != 500 else [])
    wait(0.05)
    engine.resume()
    assert answered(client, second) == (frames.AnswerCode.COMPLETED, RESULT)
    assert sum(headers["X-Sort"] == "manifest" for headers, _ in engine.posts) == 1
    wait_until_over(world)


@pytest.mark.parametrize("group", ["report", "manifest"])
def test_a_reply_in_the_same_read_as_its_reset_counts(make_world, group):
    """It is whole, and no attempt is repeated."""
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]

    def first(connection, ref, behaviour):
        engine.start = type(engine).start.__get__(engine)
        world.in_flight.discard(ref)
        said = (
            b"HTTP/1.1 200 X\r\nX-Parts: 1\r\nX-Cpu-Ms: 1\r\nX-Mem-Used: 8\r\nContent-Length: %d\r\n\r\n"
            % len(PAGES[0])
            + PAGES[0]
        )
        connection.transport.socket.send(said)
        connection.transport.connectionLost(Failure(ConnectionAborted()))

    engine.start = first
    engine.behaviours = ["ok"]
    assert (
        answered(client, client.ask(group, allow=4000))[0] == frames.AnswerCode.COMPLETED
        and world.posts() == 1
    )
    wait_until_over(world)


@pytest.mark.parametrize("where", ["answer", "page"])
@pytest.mark.parametrize("group", ["report", "manifest"])
def test_an_engine_that_hangs_within_a_reply_ends_the_query_once(make_world, where, group):
    """The engine writes half a reply, answers nothing for a second, and goes on."""
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]
    hung = []

    def half(connection, *_):
        if not hung:
            hung.append(connection)
            engine.is_silent = True
            connection.transport.write(
                b"HTTP/1.1 200 OK\r\nX-Parts: 3\r\nContent-Length: 5000\r\n\r\n1\ta\tb\n"
            )
        else:
            (type(engine).start if where == "answer" else type(engine).page)(engine, connection, *_)

    setattr(engine, "start" if where == "answer" else "page", half)
    stream = client.ask(group, allow=4000)
    until(lambda: hung)
    if where == "answer":
        engine.running[next(iter(engine.running))] = "ok"
    wait(1.0)
    assert stream not in client.answers
    engine.is_silent = False
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    # What may run again is retried, once the first attempt surely is over.
    assert world.posts() == 1 or group == "report"
    wait_until_over(world)


def test_a_connection_that_comes_up_for_a_withdrawn_call_can_be_closed(make_world):
    """It is idle, and counted, until it is closed."""
    world = make_world(engines=1)
    delayed_connections, client = DelayedConnections(world), world.client()
    streams = [client.ask("report") for _ in range(3)]
    until(lambda: len(delayed_connections.delayed) == 3)
    for stream in streams:
        client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    until(lambda: counter(world, "queries cancelled by their clients") == 3)
    delayed_connections.resume()
    pool = world.service.engines
    until(lambda: len(pool.connections) == 3)
    assert pool.open_count == 3 and all(x.call is None for x in pool.connections) and not world.posts()
    pool.close_idle_connections(next(iter(world.service.engines_by_id.values())))
    until(lambda: pool.open_count == 0)
    wait_until_over(world)


def test_copies_of_204_and_202_are_no_reply_to_other_calls():
    """A copy may pass for a reply to a poll or a priority alone, which ends no attempt and starts none."""
    assert not engine_protocol.is_overloaded(http.Reply(204, {}, True)) and not engine_protocol.is_poll_reply(
        http.Reply(204, {}, True)
    )
    assert not engine_protocol.is_acknowledgement(http.Reply(202, {}, True))


@pytest.mark.parametrize("here", [True, False])
def test_who_closed_a_connection_is_known_once_its_loss_is_reported(make_world, here):
    """A close by the gateway taken for the engine's would make two refusals prove the engine's death."""
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
    wait_until_idle(world)
    connection = next(iter(world.service.engines.connections))
    connection.abort() if here else next(iter(engine.connections)).transport.abortConnection()
    until(lambda: connection.is_closed)
    assert connection.closed_locally is here


def test_a_late_copy_of_an_acknowledgement_is_no_reply_to_another_cancellation(make_world):
    """The engine would be taken to have cancelled what it does not know of, and the next query of the
    ordering key would be sent beside it.
    """
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]
    cancelled_on, heard = [], engine.on_request

    def remembers(connection, verb, *call):
        if verb == "DELETE":
            cancelled_on.append(connection)
        heard(connection, verb, *call)

    engine.on_request = remembers
    engine.behaviours = ["hold", "hold"]
    first = client.ask("report", allow=4000)
    until(lambda: engine.polls > 1)
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, first))
    until(lambda: counter(world, "attempts cancelled") == 1)
    wait(0.06 + 2 * MIN_IDLE_S)  # both its connections rest, the one that cancelled it for longer
    second = client.ask("report", allow=4000)
    until(lambda: engine.polls > 3)
    engine.is_paused = True
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, second))
    until(lambda: any(verb == "DELETE" for _, verb, *_ in engine.paused_requests))
    cancelled_on[0].answer(204)
    wait(0.1)
    assert counter(world, "attempts cancelled") == 1, "nothing has read the second cancellation"
    engine.resume()
    until(lambda: counter(world, "attempts cancelled") == 2)
    wait_until_over(world)


def test_a_connection_serves_no_other_query_after_a_reply_that_names_none():
    """Another query's 202 or 204 may come once more, and would be taken for the reply."""
    pool = EnginePool(SimpleNamespace(seconds=lambda: 100.0, callLater=None), 0, 1.0, 1.0, 1000.0)
    engine = GatewayEngine("e", address="127.0.0.1:1")

    def after(answer, accepts):
        """A connection on which the query 'before' was answered with this, and has rested."""
        connection = EngineConnection(pool, EngineCall(engine, b"", accepts, attempt="before"))
        connection.transport, connection.attempt = SimpleNamespace(abortConnection=lambda: None), "before"
        pool.connections.add(connection)
        connection.call.reply.addCallback(lambda reply: None)
        connection.dataReceived(answer)
        connection.idle_since_s -= 0.1
        return connection

    def serves(connection, accepts, owner):
        return (
            pool.pick_idle_connection(
                EngineCall(engine, b"", accepts, preferred_connection=connection, attempt=owner)
            )
            is connection
        )

    accepted = after(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n", engine_protocol.is_poll_reply)
    assert serves(accepted, engine_protocol.is_poll_reply, "before") and serves(
        accepted, engine_protocol.is_acknowledgement, "another"
    )
    assert not serves(accepted, engine_protocol.is_poll_reply, "another")
    accepted.abort()
    done = after(b"HTTP/1.1 204 X\r\n\r\n", engine_protocol.is_acknowledgement)
    assert serves(done, engine_protocol.is_acknowledgement, "before") and serves(
        done, engine_protocol.is_poll_reply, "another"
    )
    assert not serves(done, engine_protocol.is_acknowledgement, "another")
