"""Tests of bytes, a close or a reset on an engine's connection at its reuse, within a reply or after one."""

import socket
from types import SimpleNamespace

import pytest
from gateway_world import RESULT, answered
from interleavings import DelayedConnections, counter, wait_until_complete
from loopback import PAGES, until, wait
from twisted.internet.error import ConnectionAborted
from twisted.python.failure import Failure

from lichenquay.gateway import engine_protocol, frames, http
from lichenquay.gateway.engine_call import EngineCall, UnreadableReplyError
from lichenquay.gateway.engine_connection import MAX_DUPLICATE_DELAY_S, EngineConnection
from lichenquay.gateway.engine_pool import MIN_IDLE_S, EnginePool, GatewayEngine


def wait_until_idle(world):
    """Waits until all connections to engines have been idle for long enough to be reused."""
    until(
        lambda: (
            world.service.engines.connections
            and all(connection.call is None for connection in world.service.engines.connections)
        )
    )
    wait(2 * MIN_IDLE_S)


@pytest.mark.parametrize("group", ["report", "manifest"])
@pytest.mark.parametrize("arrival", ["bytes", "end", "reset"])
def test_what_arrives_as_an_idle_connection_is_reused_is_not_a_reply(make_world, arrival, group):
    """Guards against a POST sent on a closing connection, or answered by bytes that arrived before it."""
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
    wait_until_idle(world)
    pool, original = world.service.engines, world.service.engines.pick_idle_connection

    def pick_and_disturb(call):
        connection = original(call)
        if connection is not None and engine.connections:  # picked, but its socket is not read yet
            pool.pick_idle_connection = original
            engine_side = next(iter(engine.connections))
            if arrival == "bytes":
                engine_side.transport.socket.send(
                    b"HTTP/1.1 503 X\r\nX-No-Effect: 1\r\nContent-Length: 0\r\n\r\n"
                )
            elif arrival == "end":
                engine_side.transport.socket.shutdown(socket.SHUT_RDWR)
            else:
                engine_side.transport.connectionLost(Failure(ConnectionAborted()))
        return connection

    pool.pick_idle_connection = pick_and_disturb
    assert answered(client, client.ask(group, allow=4000)) == (frames.AnswerCode.COMPLETED, RESULT)
    assert world.posts() == 2 and pool.pick_idle_connection == original
    wait_until_complete(world)


@pytest.mark.parametrize("status", [503, 504, 500])
def test_a_late_duplicate_of_a_rejection_is_not_a_reply_to_another_query(make_world, status):
    """Guards against a retry of a non-idempotent query that runs, as the duplicate says 'overloaded'."""
    world = make_world(engines=2)
    world.announce(world.engines[1], "DRAINING")
    until(lambda: world.service.discovery.last_number == 2)
    client, engine = world.client(), world.engines[0]
    original, connections = engine.start, []

    def start_first_attempt(connection, ref, behaviour):
        engine.start = original
        connections.append(connection)
        world.in_flight.discard(ref)
        engine.running.pop(ref)
        connection.answer(status, [("X-No-Effect", "1")] if status != 500 else [])

    engine.start = start_first_attempt
    engine.behaviours = ["refused", "hold"]
    stream = client.ask("status", allow=300)
    until(lambda: world.posts() == 1)
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    wait(2 * MIN_IDLE_S)
    world.in_flight.clear()
    engine.behaviours, engine.is_paused = ["ok"], True
    second_stream = client.ask("manifest", allow=4000)
    until(lambda: any(call[1] == "POST" for call in engine.paused_requests))
    # The duplicate is sent before the engine has read what the gateway sent on the connection since.
    if connections[0].transport.connected:
        connections[0].answer(status, [("X-No-Effect", "1")] if status != 500 else [])
    wait(0.05)
    engine.resume()
    assert answered(client, second_stream) == (frames.AnswerCode.COMPLETED, RESULT)
    assert sum(headers["X-Sort"] == "manifest" for headers, _ in engine.posts) == 1
    wait_until_complete(world)


@pytest.mark.parametrize("group", ["report", "manifest"])
def test_a_complete_reply_counts_though_a_reset_follows_at_once(make_world, group):
    """Guards against a retry of an attempt whose complete reply is read together with the reset."""
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]

    def start_first_attempt(connection, ref, behaviour):
        engine.start = type(engine).start.__get__(engine)
        world.in_flight.discard(ref)
        reply = (
            b"HTTP/1.1 200 X\r\nX-Parts: 1\r\nX-Cpu-Ms: 1\r\nX-Mem-Used: 8\r\nContent-Length: %d\r\n\r\n"
            % len(PAGES[0])
            + PAGES[0]
        )
        connection.transport.socket.send(reply)
        connection.transport.connectionLost(Failure(ConnectionAborted()))

    engine.start = start_first_attempt
    engine.behaviours = ["ok"]
    assert (
        answered(client, client.ask(group, allow=4000))[0] == frames.AnswerCode.COMPLETED
        and world.posts() == 1
    )
    wait_until_complete(world)


@pytest.mark.parametrize("hung_reply", ["answer", "page"])
@pytest.mark.parametrize("group", ["report", "manifest"])
def test_an_engine_that_hangs_within_a_reply_completes_the_query_once(make_world, hung_reply, group):
    """The engine writes half a reply, is silent for a second, and continues."""
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]
    hung = []

    def send_half_reply(connection, *_):
        if not hung:
            hung.append(connection)
            engine.is_silent = True
            connection.transport.write(
                b"HTTP/1.1 200 OK\r\nX-Parts: 3\r\nContent-Length: 5000\r\n\r\n1\ta\tb\n"
            )
        else:
            (type(engine).start if hung_reply == "answer" else type(engine).page)(engine, connection, *_)

    setattr(engine, "start" if hung_reply == "answer" else "page", send_half_reply)
    stream = client.ask(group, allow=4000)
    until(lambda: hung)
    if hung_reply == "answer":
        engine.running[next(iter(engine.running))] = "ok"
    wait(1.0)
    assert stream not in client.answers
    engine.is_silent = False
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    # An idempotent query may be retried, once the first attempt has certainly ended.
    assert world.posts() == 1 or group == "report"
    wait_until_complete(world)


def test_a_connection_established_for_a_withdrawn_call_can_be_closed(make_world):
    """Guards against a leaked connection: it must be idle and counted until it is closed."""
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
    assert (
        pool.open_count == 3
        and all(connection.call is None for connection in pool.connections)
        and not world.posts()
    )
    pool.close_idle_connections(next(iter(world.service.engines_by_id.values())))
    until(lambda: pool.open_count == 0)
    wait_until_complete(world)


def test_duplicates_of_204_and_202_are_not_replies_to_other_calls():
    """A duplicate may pass only for a reply to a poll or a priority change.

    These neither end nor start an attempt.
    """
    assert not engine_protocol.is_overloaded(http.Reply(204, {}, True)) and not engine_protocol.is_poll_reply(
        http.Reply(204, {}, True)
    )
    assert not engine_protocol.is_acknowledgement(http.Reply(202, {}, True))


@pytest.mark.parametrize("closed_locally", [True, False])
def test_which_side_closed_a_connection_is_known_once_its_loss_is_reported(make_world, closed_locally):
    """Guards against a close by the gateway that counts as the engine's.

    Together with two refused connections, it would prove that the engine is dead.
    """
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
    wait_until_idle(world)
    connection = next(iter(world.service.engines.connections))
    connection.abort() if closed_locally else next(iter(engine.connections)).transport.abortConnection()
    until(lambda: connection.is_closed)
    assert connection.closed_locally is closed_locally


def test_a_late_duplicate_of_an_acknowledgement_is_not_a_reply_to_another_cancellation(make_world):
    """Guards against a query that counts as cancelled although the engine has not read the cancellation.

    The next query of the ordering key would then run concurrently with it.
    """
    world = make_world(engines=1)
    client, engine = world.client(), world.engines[0]
    cancelled_on, original_on_request = [], engine.on_request

    def record_cancellation(connection, verb, *call):
        if verb == "DELETE":
            cancelled_on.append(connection)
        original_on_request(connection, verb, *call)

    engine.on_request = record_cancellation
    engine.behaviours = ["hold", "hold"]
    first_stream = client.ask("report", allow=4000)
    until(lambda: engine.polls > 1)
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, first_stream))
    until(lambda: counter(world, "attempts cancelled") == 1)
    wait(0.06 + 2 * MIN_IDLE_S)  # both its connections are idle, the one used for the cancellation for longer
    second_stream = client.ask("report", allow=4000)
    until(lambda: engine.polls > 3)
    engine.is_paused = True
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, second_stream))
    until(lambda: any(verb == "DELETE" for _, verb, *_ in engine.paused_requests))
    cancelled_on[0].answer(204)
    wait(0.1)
    assert counter(world, "attempts cancelled") == 1, "the engine has not read the second cancellation"
    engine.resume()
    until(lambda: counter(world, "attempts cancelled") == 2)
    wait_until_complete(world)


def test_a_connection_is_not_reused_for_another_query_after_an_ambiguous_reply():
    """Guards against a duplicate 202 or 204, which names no query, taken for the reply to another query."""
    pool = EnginePool(SimpleNamespace(seconds=lambda: 100.0, callLater=None), 0, 1.0, 1.0, 1000.0)
    engine = GatewayEngine("e", address="127.0.0.1:1")

    def connection_after(reply_bytes, accepts):
        """Returns an idle connection on which the attempt 'first' received this reply."""
        connection = EngineConnection(pool, EngineCall(engine, b"", accepts, attempt="first"))
        connection.transport, connection.attempt = SimpleNamespace(abortConnection=lambda: None), "first"
        pool.connections.add(connection)
        connection.call.reply.addCallback(lambda reply: None)
        connection.dataReceived(reply_bytes)
        connection.idle_since_s -= 0.1
        return connection

    def pick_returns(connection, accepts, attempt_name):
        return (
            pool.pick_idle_connection(
                EngineCall(engine, b"", accepts, preferred_connection=connection, attempt=attempt_name)
            )
            is connection
        )

    connection_after_202 = connection_after(
        b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n", engine_protocol.is_poll_reply
    )
    assert pick_returns(connection_after_202, engine_protocol.is_poll_reply, "first") and pick_returns(
        connection_after_202, engine_protocol.is_acknowledgement, "another"
    )
    assert not pick_returns(connection_after_202, engine_protocol.is_poll_reply, "another")
    connection_after_202.abort()
    connection_after_204 = connection_after(b"HTTP/1.1 204 X\r\n\r\n", engine_protocol.is_acknowledgement)
    assert pick_returns(connection_after_204, engine_protocol.is_acknowledgement, "first") and pick_returns(
        connection_after_204, engine_protocol.is_poll_reply, "another"
    )
    assert not pick_returns(connection_after_204, engine_protocol.is_acknowledgement, "another")


def result_reply(body, headers=b"X-Parts: 2"):
    """Returns a reply with a result or one of its pages."""
    return b"HTTP/1.1 200 X\r\n%s\r\nContent-Length: %d\r\n\r\n%s" % (headers, len(body), body)


class ConnectionInMemory:
    """A connection to an engine without a socket. replies: the outcomes of its calls, in order."""

    def __init__(self):
        """Starts with an idle connection, at time 100 s."""
        self.now_s = 100.0
        reactor = SimpleNamespace(seconds=lambda: self.now_s, callLater=None)
        self.pool = EnginePool(reactor, 0, 1.0, 1.0, 1000.0)
        self.engine = GatewayEngine("e", address="127.0.0.1:1")
        self.connection = None
        self.outcomes = []

    def call(self, attempt, accepts, data):
        """Makes a call for an attempt on the connection, and has it receive this data."""
        call = EngineCall(self.engine, b"", accepts, attempt=attempt)
        call.reply.addCallbacks(self.outcomes.append, lambda failure: self.outcomes.append(failure.value))
        if self.connection is None:
            self.connection = EngineConnection(self.pool, call)
            self.connection.transport = SimpleNamespace(
                abortConnection=lambda: None, socket=SimpleNamespace(send=lambda data, flags: len(data))
            )
            self.pool.connections.add(self.connection)
            self.connection.call = None
        self.connection.send(call)
        self.connection.dataReceived(data)


def test_a_late_duplicate_of_an_earlier_page_is_not_the_result_of_another_query():
    """Guards against rows of another query: the duplicate of page 0 comes after that query's page 1."""
    world = ConnectionInMemory()
    first, second = result_reply(b"1\ta\tb\n"), result_reply(b"2\ta\tb\n", b"X-Part-No: 1")
    world.call("a", engine_protocol.is_poll_reply, first)
    world.call("a", engine_protocol.page_reply_check(1), second)
    world.call("b", engine_protocol.is_poll_reply, first)
    assert [getattr(outcome, "status", None) for outcome in world.outcomes] == [200, 200, None]
    assert isinstance(world.outcomes[-1], UnreadableReplyError)


def test_a_result_that_is_repeated_to_its_own_query_is_accepted():
    """An engine repeats page 0 to a poll after a lost reply."""
    world = ConnectionInMemory()
    for _ in range(2):
        world.call("a", engine_protocol.is_poll_reply, result_reply(b"1\ta\tb\n"))
    assert [outcome.status for outcome in world.outcomes] == [200, 200]


def test_a_connection_with_a_recent_interim_reply_is_not_used_for_another_query():
    """Guards against a duplicate 202, after the result, that says that the next query's POST was read."""
    world = ConnectionInMemory()
    world.call("a", engine_protocol.is_poll_reply, b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
    world.call("a", engine_protocol.is_poll_reply, result_reply(b"1\ta\tb\n", b"X-Parts: 1"))
    next_post = EngineCall(world.engine, b"", engine_protocol.is_poll_reply, attempt="b")
    own_poll = EngineCall(world.engine, b"", engine_protocol.is_poll_reply, attempt="a")
    assert world.connection.past_reply_could_answer(next_post)
    assert not world.connection.past_reply_could_answer(own_poll)
    world.now_s += 2 * MAX_DUPLICATE_DELAY_S
    assert not world.connection.past_reply_could_answer(next_post)


def test_a_connection_whose_last_reply_names_no_query_is_not_used_for_another_one():
    """Its duplicate may come at any time."""
    world = ConnectionInMemory()
    world.call("a", engine_protocol.is_poll_reply, b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
    world.now_s += 100 * MAX_DUPLICATE_DELAY_S
    next_post = EngineCall(world.engine, b"", engine_protocol.is_poll_reply, attempt="b")
    assert world.connection.past_reply_could_answer(next_post)
