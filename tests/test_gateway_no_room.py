"""A request for which there is no room is refused on its stream, and costs nobody a connection."""

import random

import pytest
from gateway_world import STATEMENT, TENANT, answered
from loopback import until, wait

from lichenquay.gateway import frames
from lichenquay.gateway.frames import AnswerCode, FrameReader, FrameType


def encode_request(stream, statement, ref):
    """Returns the frame of a request of the group `report`."""
    values = {"service": "report", "ref": ref, "allow": "4000", "project": TENANT, "effort": "20.0"}
    values["memory"] = "96"
    return frames.encode_frame(FrameType.QUERY, stream, frames.encode_fields(values.items()), statement)


def leave_no_room(memory):
    """Fills the account, but for what small requests and results take; returns the bytes added."""
    taken_bytes = int(memory.max_bytes * 3 / 4) - memory.held_bytes - 16 * 50_000
    memory.add(taken_bytes)
    return taken_bytes


@pytest.mark.parametrize("split", [9, 10, 100, 65_536, 99_000, None], ids=str)
def test_a_request_without_room_is_refused_on_its_stream(make_world, split):
    """Guards against the end of the connection, with its other requests, over a frame that is not whole."""
    world = make_world(engines=1)
    client, memory = world.client(), world.service.memory
    world.engines[0].behaviours = ["hold"]
    open_stream = client.ask("report", ref="0" * 16)
    until(lambda: world.posts() == 1)
    taken_bytes = leave_no_room(memory)
    request = encode_request(2, STATEMENT + b" " * 100_000, "1" * 16)
    client.transport.write(request[:split])
    if split is not None:
        wait(0.1)
        assert memory.held_bytes <= memory.max_bytes and 2 not in client.answers
        client.transport.write(request[split:])
    assert answered(client, 2) == (AnswerCode.REJECTED, client.answers[2][1])
    client.last_stream = 2
    assert answered(client, client.ask())[0] == AnswerCode.COMPLETED  # a small one has room
    memory.add(-taken_bytes)
    world.engines[0].running["0" * 16] = "ok"
    assert answered(client, open_stream)[0] == AnswerCode.COMPLETED
    assert answered(client, client.ask(statement=STATEMENT + b" " * 100_000))[0] == AnswerCode.COMPLETED
    assert not client.is_closed and 0 not in client.answers
    until(lambda: memory.held_bytes == 0)


def test_other_frames_without_room_mean_the_same(make_world):
    """A cancellation and a readiness check need nothing of their payload."""
    world = make_world(engines=1)
    client, memory = world.client(), world.service.memory
    stream = world.engines[0].behaviours.append("hold") or client.ask("report", ref="0" * 16)
    until(lambda: world.posts() == 1)
    taken_bytes = leave_no_room(memory)
    for frame in (
        frames.encode_frame(FrameType.READINESS_CHECK, 7, b"\0" * 90_000),
        frames.encode_frame(FrameType.CANCEL, stream, b"\0" * 90_000),
    ):
        client.transport.write(frame[:70_000])
        wait(0.1)
        client.transport.write(frame[70_000:])
    until(lambda: world.engines[0].cancelled)
    assert client.notices == [(FrameType.READINESS, 7, b"\0\0")] and not client.is_closed
    memory.add(-taken_bytes)


def test_requests_of_usual_clients_are_answered_beside_clients_that_fill_the_memory(make_world):
    """Every request gets an answer on its stream, whatever its size and however it is split."""
    world = make_world(engines=2)
    world.service.memory.max_bytes = 3_000_000
    rng = random.Random(9)
    clients = [world.client() for _ in range(6)]
    for round_number in range(4):
        for client in clients:
            for _ in range(8):
                size_bytes = rng.choice([0, 30_000, 100_000, 250_000])
                client.ask(statement=STATEMENT + b" " * size_bytes)
        wait(0.05 * round_number)
    until(lambda: all(len(client.answers) == 32 for client in clients), 10)
    codes = [code for client in clients for code, _, _ in client.answers.values()]
    assert set(codes) == {AnswerCode.COMPLETED, AnswerCode.REJECTED}
    assert not any(client.is_closed or 0 in client.answers for client in clients)
    until(lambda: world.service.memory.held_bytes == 0)


def test_the_client_with_most_unread_answers_pays_for_a_full_account(make_world):
    """Guards against the end of another client's connection, whose answer is written when memory is full."""
    world = make_world(engines=1)
    slow, other = world.client(), world.client()
    until(lambda: len(world.service.clients.connections) == 2)
    connections = list(world.service.clients.connections)
    ports = [connection.transport.getPeer().port for connection in connections]
    by_client = {
        client: connections[ports.index(client.transport.getHost().port)] for client in (slow, other)
    }
    slow.transport.pauseProducing()
    while by_client[slow].unsent_bytes < 100_000:
        by_client[slow].write(b"x" * 48_000)
    other.transport.pauseProducing()
    while not by_client[other].unsent_bytes:
        by_client[other].write(frames.encode_answer(0, AnswerCode.FAILED, b"x" * 5_000))
    world.service.memory.max_bytes = world.service.memory.held_bytes
    by_client[other].write(frames.encode_answer(0, AnswerCode.FAILED, b"x"))
    assert not by_client[slow].is_open and by_client[other].is_open
    assert world.service.memory.held_bytes < 100_000


def test_frames_are_skipped_at_every_split():
    """The reader keeps of a frame without room its type and stream, and finds the next one."""
    data = b"".join(
        frames.encode_frame(2, stream, bytes([stream]) * size)
        for stream, size in enumerate((3, 300, 0, 500, 500, 1), start=1)
    )
    for step in (1, 2, 5, 9, 50, 299, 400, 1000):
        reader = FrameReader(lambda size_bytes: size_bytes < 200)
        found = []
        for start in range(0, len(data), step):
            for frame in reader.feed(data[start : start + step]):
                found.append((frame.stream, None if frame.payload is None else len(frame.payload)))
            assert reader.buffered_bytes() < 200
        assert [stream for stream, _ in found] == [1, 2, 3, 4, 5, 6] and not reader.received_bytes()
        assert all(
            size in (None, {1: 3, 2: 300, 3: 0, 4: 500, 5: 500, 6: 1}[stream]) for stream, size in found
        )
        assert step > 150 or [size for _, size in found] == [3, None, 0, None, None, 1]


@pytest.mark.parametrize("first_bytes", range(4, 9))
def test_a_frame_whose_header_comes_in_parts_is_skipped_at_once(first_bytes):
    """Guards against one read that is kept without room, on each connection that splits its headers."""
    data = frames.encode_frame(2, 7, b"x" * 90_000)
    reader = FrameReader(lambda size_bytes: size_bytes < 200)
    for part in (data[:first_bytes], data[first_bytes:60_000]):
        assert not list(reader.feed(part))
    assert reader.buffered_bytes() == 0 and reader.received_bytes() == 60_000
    assert list(reader.feed(data[60_000:])) == [(2, 7, None)]
