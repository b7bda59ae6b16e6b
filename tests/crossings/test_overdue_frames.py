"""Tests of time-outs of clients' frames that fire before what the clients have sent was read."""

from types import SimpleNamespace

import pytest
from gateway_world import RESULT
from interleavings import (
    SocketClient,
    counter,
    query_frame,
    read_answers,
    wait_for_connection,
    wait_until_complete,
)
from loopback import until, wait

from lichenquay.gateway import frames, sockets
from lichenquay.gateway.frame_deadline import FRAME_TIMEOUT_S, MAX_FURTHER_CHECKS

LARGE_STATEMENT = b"select 1 from sales_1.orders -- " + b"x" * 250_000
PART_BYTES = 20  # of a frame that is sent in parts


def connect(world):
    """Connects a client; returns it and the gateway's side of its connection."""
    client = SocketClient(world.port)
    return client, wait_for_connection(world)


def send(client, data):
    """Sends as much of the data as the kernel accepts; returns the rest."""
    try:
        return data[client.socket.send(data) :]
    except BlockingIOError:
        return data


def let_time_pass(connection, seconds=FRAME_TIMEOUT_S + 0.4):
    """Makes the connection's frame older, as a pause of this process would."""
    connection.frame_deadline.started_s -= seconds


@pytest.mark.parametrize("statement", [b"select 1", LARGE_STATEMENT], ids=["small", "large"])
@pytest.mark.parametrize("parts_before", [0, 1, 3])
@pytest.mark.parametrize("frames_before", [0, 1])
def test_a_frame_that_has_arrived_but_is_unread_is_not_overdue(
    make_world, frames_before, parts_before, statement
):
    """Guards against requests lost after a pause: the time-out's timer fires before the sockets are read.

    The request is the first or a later one of its connection, and of none, one or three parts of it have been
    read before the pause.
    """
    world = make_world(engines=1)
    client, connection = connect(world)
    for stream in range(1, frames_before + 1):
        client.socket.sendall(query_frame(stream))
        until(lambda: connection.is_idle and counter(world, "answers completed"))
    frame = query_frame(9, allow=2400, statement=statement)
    for part in range(parts_before):
        client.socket.sendall(frame[PART_BYTES * part : PART_BYTES * (part + 1)])
        until(lambda part=part: connection.reader.buffered_bytes() == PART_BYTES * (part + 1))
    connection.transport.pauseProducing()  # stands for a process that stood still until now
    let_time_pass(connection)
    rest = send(client, frame[PART_BYTES * parts_before :])
    wait(0.05)  # the kernel delivers it
    world.service.clients.close_expired()
    connection.transport.resumeProducing()

    def is_answered():
        nonlocal rest
        rest = send(client, rest) if rest else rest
        return 9 in read_answers(client) or client.ended

    until(is_answered)
    assert read_answers(client).get(9) == (frames.AnswerCode.COMPLETED, RESULT)
    client.socket.close()
    wait_until_complete(world)


def test_a_large_frame_that_arrives_as_the_buffers_are_read_is_not_overdue(make_world, monkeypatch):
    """Guards against a request of which a part still waits at the client: it fits in no buffer at once."""
    world = make_world(engines=1)
    client, connection = connect(world)
    frame = query_frame(1, allow=2400, statement=LARGE_STATEMENT)
    first_bytes = len(frame) // 3
    client.socket.sendall(frame[:first_bytes])
    until(lambda: connection.reader.buffered_bytes() == first_bytes)
    rest = frame[first_bytes:]
    connection.transport.pauseProducing()
    let_time_pass(connection)
    for _ in range(MAX_FURTHER_CHECKS):  # each brings more, and a check finds nothing beyond it
        client.socket.sendall(rest[: first_bytes // 2])
        rest = rest[first_bytes // 2 :]
        wait(0.05)
        world.service.clients.close_expired()
        assert not connection.is_rejecting_input
    connection.transport.resumeProducing()
    client.socket.sendall(rest)
    until(lambda: 1 in read_answers(client) or client.ended)
    assert read_answers(client).get(1) == (frames.AnswerCode.COMPLETED, RESULT)
    client.socket.close()
    wait_until_complete(world)


@pytest.mark.parametrize("first", [b"", query_frame(1)[:20]], ids=["silent", "half a frame"])
def test_a_client_that_keeps_a_frame_incomplete_is_closed_in_time(make_world, first):
    """Guards against connections held for ever by a byte now and then: a close is due within 3 s."""
    world = make_world(engines=1)
    client, connection = connect(world)
    client.socket.sendall(first)
    wait(0.05)
    connection.transport.pauseProducing()  # what comes now waits to be read at the checks
    let_time_pass(connection)
    for check in range(MAX_FURTHER_CHECKS + 1):
        if first:
            client.socket.sendall(b"\1")
            wait(0.02)
        world.service.clients.close_expired()
        assert connection.is_rejecting_input == (check == MAX_FURTHER_CHECKS or not first)
    connection.transport.resumeProducing()
    until(lambda: client.read() and client.ended)
    assert read_answers(client)[0] == (frames.AnswerCode.FAILED, b"no whole frame in time")


def test_reading_what_is_available_stops_at_the_end_and_where_it_may_not_go_on():
    """Guards against a read on a connection that ended in the read before."""
    reads = [b"a", b"b", BlockingIOError()]

    def peek(size, flags):
        if reads and isinstance(reads[0], Exception):
            raise reads.pop(0)
        return reads[0] if reads else b""

    transport = SimpleNamespace(socket=SimpleNamespace(recv=peek), doRead=lambda: reads.pop(0))
    assert sockets.read_available(transport, lambda: len(reads) > 2, 8) is sockets.Input.BYTES
    assert reads[0] == b"b"
    assert sockets.read_available(transport, lambda: True, 8) is sockets.Input.NOTHING
    assert sockets.read_available(transport, lambda: True, 8) is sockets.Input.END
    reads[:] = [b"c"] * 9
    assert sockets.read_available(transport, lambda: True, 8) is sockets.Input.BYTES and len(reads) == 1


@pytest.mark.parametrize("parts", [2, 5])
def test_a_request_that_arrives_in_parts_as_the_gateway_ends_is_answered(make_world, parts):
    """Guards against a connection that counts as idle, and is closed, between two parts of a request."""
    world = make_world(engines=1)
    client, connection = connect(world)
    client.socket.sendall(query_frame(1))
    until(lambda: 1 in read_answers(client))
    world.service.clients.is_stopping = True  # as in the drain, which closes idle connections
    frame = query_frame(2, statement=LARGE_STATEMENT)
    size = len(frame) // parts + 1
    for start in range(0, len(frame), size):
        part = frame[start : start + size]
        while part:
            part = send(client, part)
            wait(0.01)
        world.service.clients.close_idle()
    until(lambda: 2 in read_answers(client) or client.ended)
    code, reason = read_answers(client)[2]
    assert code == frames.AnswerCode.REJECTED and reason == b"this front ends"
    until(lambda: client.read() and client.ended)  # it is idle now
    wait_until_complete(world)
