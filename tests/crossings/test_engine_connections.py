"""Bytes, an end or a reset on an engine's connection in the instant in which it is taken, in an answer, or behind one."""

import socket
from types import SimpleNamespace

import pytest
from gateway_world import RESULT, answered
from hooks import HeldConnects, over, told
from loopback import PAGES, until, wait
from twisted.internet.error import ConnectionAborted
from twisted.python.failure import Failure

from lichenquay.gateway import engine_protocol, frames, http
from lichenquay.gateway.engine_call import EngineCall
from lichenquay.gateway.engine_connection import EngineConnection
from lichenquay.gateway.engine_pool import MIN_IDLE_S, EnginePool, GatewayEngine


def settled(w):
    """The connections to engines rest."""
    until(
        lambda: w.service.engines.connections and all(x.call is None for x in w.service.engines.connections)
    )
    wait(2 * MIN_IDLE_S)


@pytest.mark.parametrize("group", ["report", "manifest"])
@pytest.mark.parametrize("comes", ["bytes", "end", "reset"])
def test_what_comes_in_the_instant_in_which_a_resting_connection_is_taken(world, comes, group):
    """Risk: a POST goes out on a connection that is closing, or takes what came on it for its answer."""
    w = world(engines=1)
    c, e = w.client(), w.engines[0]
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED
    settled(w)
    pool, real = w.service.engines, w.service.engines.pick_idle_connection

    def idle(call):
        line = real(call)
        if line is not None and e.lines:  # chosen, not yet looked at
            pool.pick_idle_connection = real
            far = next(iter(e.lines))
            if comes == "bytes":
                far.transport.socket.send(b"HTTP/1.1 503 X\r\nX-No-Effect: 1\r\nContent-Length: 0\r\n\r\n")
            elif comes == "end":
                far.transport.socket.shutdown(socket.SHUT_RDWR)
            else:
                far.transport.connectionLost(Failure(ConnectionAborted()))
        return line

    pool.pick_idle_connection = idle
    assert answered(c, c.ask(group, allow=4000)) == (frames.AnswerCode.COMPLETED, RESULT)
    assert w.posts() == 2 and pool.pick_idle_connection == real
    over(w)


@pytest.mark.parametrize("status", [503, 504, 500])
def test_a_late_copy_of_a_refusal_is_no_answer_to_another_query(world, status):
    """Risk: a second answer, later than connections rest between two queries, says 'full' of a mutating query that runs: it is sent again."""
    w = world(engines=2)
    w.tell(w.engines[1], "DRAINING")
    until(lambda: w.service.discovery.last_number == 2)
    c, e = w.client(), w.engines[0]
    real, lines = e.start, []

    def first(line, ref, way):
        e.start = real
        lines.append(line)
        w.out.discard(ref)
        e.runs.pop(ref)
        line.answer(status, [("X-No-Effect", "1")] if status != 500 else [])

    e.start = first
    e.ways = ["refused", "hold"]
    stream = c.ask("status", allow=300)
    until(lambda: w.posts() == 1)
    c.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    wait(2 * MIN_IDLE_S)
    w.out.clear()
    e.ways, e.still = ["ok"], True
    second = c.ask("manifest", allow=4000)
    until(lambda: any(call[1] == "POST" for call in e.held))
    if lines[0].transport.connected:  # the copy, before the engine has read what came on the connection since
        lines[0].answer(status, [("X-No-Effect", "1")] if status != 500 else [])
    wait(0.05)
    e.go_on()
    assert answered(c, second) == (frames.AnswerCode.COMPLETED, RESULT)
    assert sum(headers["X-Sort"] == "manifest" for headers, _ in e.posts) == 1
    over(w)


@pytest.mark.parametrize("group", ["report", "manifest"])
def test_an_answer_whole_in_the_same_read_as_its_reset(world, group):
    w = world(engines=1)
    c, e = w.client(), w.engines[0]

    def first(line, ref, way):
        e.start = type(e).start.__get__(e)
        w.out.discard(ref)
        said = (
            b"HTTP/1.1 200 X\r\nX-Parts: 1\r\nX-Cpu-Ms: 1\r\nX-Mem-Used: 8\r\nContent-Length: %d\r\n\r\n"
            % len(PAGES[0])
            + PAGES[0]
        )
        line.transport.socket.send(said)
        line.transport.connectionLost(Failure(ConnectionAborted()))

    e.start = first
    e.ways = ["ok"]
    assert answered(c, c.ask(group, allow=4000))[0] == frames.AnswerCode.COMPLETED and w.posts() == 1
    over(w)


@pytest.mark.parametrize("where", ["answer", "page"])
@pytest.mark.parametrize("group", ["report", "manifest"])
def test_a_hang_in_the_middle_of_an_answer(world, where, group):
    """The engine says half of it, says nothing to anyone for a second, and goes on: the query ends, once."""
    w = world(engines=1)
    c, e = w.client(), w.engines[0]
    hung = []

    def half(line, *_):
        if not hung:
            hung.append(line)
            e.mute = True
            line.transport.write(b"HTTP/1.1 200 OK\r\nX-Parts: 3\r\nContent-Length: 5000\r\n\r\n1\ta\tb\n")
        else:
            (type(e).start if where == "answer" else type(e).page)(e, line, *_)

    setattr(e, "start" if where == "answer" else "page", half)
    stream = c.ask(group, allow=4000)
    until(lambda: hung)
    if where == "answer":
        e.runs[next(iter(e.runs))] = "ok"
    wait(1.0)
    assert stream not in c.answers
    e.mute = False
    assert answered(c, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    assert w.posts() == 1 or group == "report"  # what may run again is moved, once the first surely is over
    over(w)


def test_a_connection_that_comes_up_late_for_a_call_withdrawn_has_an_end(world):
    w = world(engines=1)
    connects, c = HeldConnects(w), w.client()
    streams = [c.ask("report") for _ in range(3)]
    until(lambda: len(connects.held) == 3)
    for stream in streams:
        c.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))
    until(lambda: told(w, "queries cancelled by their clients") == 3)
    connects.go_on()
    pool = w.service.engines
    until(lambda: len(pool.connections) == 3)
    assert pool.open_count == 3 and all(x.call is None for x in pool.connections) and not w.posts()
    pool.close_idle_connections(next(iter(w.service.engines_by_id.values())))
    until(lambda: pool.open_count == 0)
    over(w)


def test_copies_of_204_and_202_start_and_end_nothing():
    """What such a copy may be taken for: news of nothing, or a priority heard. Neither ends an attempt or starts one."""
    assert not engine_protocol.is_overloaded(http.Reply(204, {}, True)) and not engine_protocol.is_poll_reply(
        http.Reply(204, {}, True)
    )
    assert not engine_protocol.is_acknowledgement(http.Reply(202, {}, True))


@pytest.mark.parametrize("here", [True, False])
def test_who_ended_a_connection_is_known_once_its_loss_is_told(world, here):
    """Risk: the loss that follows an end from this side is taken for the engine's, and two refusals for its death."""
    w = world(engines=1)
    c, e = w.client(), w.engines[0]
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED
    settled(w)
    connection = next(iter(w.service.engines.connections))
    connection.abort() if here else next(iter(e.lines)).transport.abortConnection()
    until(lambda: connection.is_closed)
    assert connection.closed_locally is here


def test_a_late_copy_of_a_cancellation_is_no_answer_to_anothers(world):
    """Risk: an engine is taken to have given up what it has not been told to yet, and the next query in its key's order
    goes out beside it."""
    w = world(engines=1)
    c, e = w.client(), w.engines[0]
    cancelled_on, heard = [], e.heard

    def remembers(line, verb, *call):
        if verb == "DELETE":
            cancelled_on.append(line)
        heard(line, verb, *call)

    e.heard = remembers
    e.ways = ["hold", "hold"]
    first = c.ask("report", allow=4000)
    until(lambda: e.news > 1)
    c.transport.write(frames.encode_frame(frames.FrameType.CANCEL, first))
    until(lambda: told(w, "attempts cancelled") == 1)
    wait(0.06 + 2 * MIN_IDLE_S)  # both its connections rest, the one that cancelled it for longer
    second = c.ask("report", allow=4000)
    until(lambda: e.news > 3)
    e.still = True
    c.transport.write(frames.encode_frame(frames.FrameType.CANCEL, second))
    until(lambda: any(verb == "DELETE" for _, verb, *_ in e.held))
    cancelled_on[0].answer(204)
    wait(0.1)
    assert told(w, "attempts cancelled") == 1, "nothing has read that the second one is given up"
    e.go_on()
    until(lambda: told(w, "attempts cancelled") == 2)
    over(w)


def test_a_connection_serves_no_other_query_after_an_answer_that_names_none():
    """Another's 202 or 204 may come once more; what is a word on this call rests there for its own query alone."""
    pool = EnginePool(SimpleNamespace(seconds=lambda: 100.0, callLater=None), 0, 1.0, 1.0, 1000.0)
    engine = GatewayEngine("e", address="127.0.0.1:1")

    def after(answer, accepts):
        """A connection on which the query 'before' was answered with this, and has rested."""
        line = EngineConnection(pool, EngineCall(engine, b"", accepts, attempt="before"))
        line.transport, line.attempt = SimpleNamespace(abortConnection=lambda: None), "before"
        pool.connections.add(line)
        line.call.reply.addCallback(lambda reply: None)
        line.dataReceived(answer)
        line.idle_since_s -= 0.1
        return line

    def serves(line, accepts, owner):
        return (
            pool.pick_idle_connection(
                EngineCall(engine, b"", accepts, preferred_connection=line, attempt=owner)
            )
            is line
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
