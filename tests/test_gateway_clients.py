"""Clients of the gateway: invalid input, admission of connections, and bounds on what is held for clients."""

import contextlib
import socket
import time
from types import SimpleNamespace

import pytest
from gateway_world import RESULT, STATEMENT, TENANT, answered
from loopback import until

from lichenquay.connection_admission import decisions, limits
from lichenquay.gateway import frames
from lichenquay.gateway.client_connection import ClientConnection
from lichenquay.gateway.memory_account import QUERY_BYTES, MemoryAccount
from lichenquay.gateway.request_errors import InvalidRequestError


def test_an_invalid_frame_closes_its_connection_only(make_world):
    """Queries that were accepted on it are still answered."""
    world = make_world(engines=1)
    good, bad, idle = world.client(), world.client(), world.client()
    world.engines[0].behaviours = ["hold", "ok"]
    open_stream = bad.ask("report", ref="00000000000000bb")
    until(lambda: world.posts() == 1)
    # With the ref of an open query, the engine would return the result of that query's statement.
    same_ref = good.ask("report", ref="00000000000000bb", statement=b"select 1")
    assert answered(good, same_ref)[0] == frames.AnswerCode.FAILED and world.posts() == 1
    bad.transport.write(frames.encode_frame(frames.FrameType.READINESS, 5))
    idle.transport.write(b"\1\0\0\0")
    until(lambda: idle.is_closed and 0 in bad.answers)
    assert idle.answers[0][0] == bad.answers[0][0] == frames.AnswerCode.FAILED and not bad.is_closed
    world.engines[0].running["00000000000000bb"] = "ok"
    until(lambda: bad.is_closed)
    assert bad.answers[open_stream][:2] == (frames.AnswerCode.COMPLETED, RESULT)
    assert answered(good, good.ask())[0] == frames.AnswerCode.COMPLETED


@pytest.mark.parametrize(
    "invalid_fields",
    [
        dict(group="none"),
        dict(project="none"),
        dict(project=None),
        dict(ref="short"),
        dict(allow="soon"),
        dict(twice=True),
        dict(effort=None),
        dict(memory="nan"),
        dict(allow="-1"),
        dict(allow="9e9"),
        dict(effort="1e300"),
    ],
)
def test_an_invalid_request_fails_without_effect_on_others(make_world, invalid_fields):
    """The next request on the same connection completes."""
    world = make_world(engines=1)
    client = world.client()
    answer = answered(client, client.ask(**invalid_fields))
    assert answer[0] == frames.AnswerCode.FAILED and not world.posts()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED


def test_a_connection_has_at_most_32_open_queries(make_world):
    """One more is rejected; a cancelled query has no answer."""
    world = make_world(engines=1)
    client = world.client()
    world.engines[0].behaviours = ["hold"] * 40
    streams = [client.ask("status", allow=600) for _ in range(33)]
    assert answered(client, streams[-1])[0] == frames.AnswerCode.REJECTED
    client.transport.write(
        frames.encode_frame(frames.FrameType.CANCEL, streams[0])
        + frames.encode_frame(frames.FrameType.CANCEL, 999)
    )
    until(lambda: len(client.answers) == 32)  # all but the cancelled one
    assert streams[0] not in client.answers


def test_clients_beyond_the_limit_are_rejected_at_once(make_world):
    """Many clients must not use the descriptors that calls to engines need, nor wait without an answer."""
    world = make_world(engines=5, sockets=150)
    for engine in world.engines:
        engine.behaviours = ["hold"] * 9
    world.service.clients.set_limits(1 << 20, limits.ConnectionRules(4, 0, max_lag_ms=0.0))
    streams = [(client, client.ask("report", allow=4000)) for client in (world.client() for _ in range(4))]
    until(lambda: len(world.in_flight) == 4)
    for _ in range(18):
        started_s = time.monotonic()
        rejected = world.client()
        until(lambda client=rejected: client.is_closed)
        assert time.monotonic() - started_s < 0.15
        assert rejected.answers[0][0] == frames.AnswerCode.REJECTED
        assert b"no room; come back in" in rejected.answers[0][1]
    assert len(world.service.clients.connections) == 4 and not any(client.is_closed for client, _ in streams)
    for engine in world.engines:
        engine.behaviours, engine.running = [], dict.fromkeys(engine.running, "ok")
    assert all(answered(client, stream)[0] == frames.AnswerCode.COMPLETED for client, stream in streams)


def test_a_busy_client_that_is_evicted_gets_its_final_answers_first(make_world):
    """A known client evicts it, and its queries are answered before its connection is closed."""
    world = make_world(engines=5)
    for engine in world.engines:
        engine.behaviours = ["hold"] * 9
    known = limits.parse_networks(["127.0.0.1"])
    world.service.clients.set_limits(1 << 20, limits.ConnectionRules(2, 0, max_lag_ms=0.0))
    others = [world.client() for _ in range(2)]
    streams = [client.ask("report", allow=4000) for client in others]
    until(lambda: len(world.in_flight) == 2)
    admission = world.service.clients.connection_admission
    admission.set_rules(limits.ConnectionRules(2, 0, known=known, reserve=1, max_lag_ms=0.0))
    # From now on, the open connections count as those of unknown addresses.
    admission.registry.accounts.clear()
    known_client = world.client()
    until(lambda: any(client.is_closed for client in others))
    evicted = next(client for client in others if client.is_closed)
    assert evicted.answers[streams[others.index(evicted)]][0] in (
        frames.AnswerCode.REJECTED,
        frames.AnswerCode.FAILED,
    )
    assert evicted.answers[0][0] == frames.AnswerCode.REJECTED
    assert b"needed by others" in evicted.answers[0][1]
    for engine in world.engines:
        engine.behaviours = []
    answer = answered(known_client, known_client.ask("manifest"))
    assert answer[0] == frames.AnswerCode.COMPLETED and not known_client.is_closed
    assert sum(client.is_closed for client in others) == 1 and world.service.metrics.counters["faults"] == 0


def test_silent_and_idle_connections_are_evicted_and_closed_in_time(make_world):
    """Many connections that send nothing, or stay after one query, must not keep other clients out."""
    world = make_world(engines=2, sockets=150)
    silent = [world.client() for _ in range(70)]  # more than the limit
    incomplete, idle = silent[-1], world.client()
    incomplete.transport.write((200).to_bytes(4, "little") + b"\2\1\0\0\0")
    assert answered(idle, idle.ask())[0] == frames.AnswerCode.COMPLETED
    assert len(world.service.clients.connections) <= world.service.clients.max_connections == 62
    until(lambda: all(client.is_closed for client in silent), 2.9)
    assert incomplete.answers[0][0] == frames.AnswerCode.FAILED and not idle.is_closed
    until(lambda: idle.is_closed, 5)
    assert idle.notices == [(frames.FrameType.GO_AWAY, 0, b"")]


def test_invalid_requests_pause_reading_and_finally_close_their_connection():
    """A client that repeats an invalid request at once must not delay other clients."""
    timers, actions, clock = [], [], SimpleNamespace(now=0.0)
    intake = SimpleNamespace(
        connection_admission=decisions.ConnectionAdmission(limits.ConnectionRules(9, 0), 0.0),
        admission_ms=lambda: clock.now * 1000,
        now_ms=lambda: 0.0,
        earliest_arrival_ms=lambda now_ms: now_ms,
        seconds=lambda: clock.now,
        memory=MemoryAccount(1 << 20),
        is_stopping=False,
        open_request_ids={},
        reactor=SimpleNamespace(callLater=lambda delay_s, call: timers.append(call) or timers),
        metrics=SimpleNamespace(count=lambda name: None),
        log=lambda kind, text: None,
    )

    def make_query(*arguments):
        raise InvalidRequestError("odd")

    intake.make_query = make_query
    connection = ClientConnection(intake, "127.0.0.1")
    connection.transport = SimpleNamespace(
        socket=SimpleNamespace(send=lambda data, flags: actions.append(data) or len(data)),
        pauseProducing=lambda: actions.append("pause"),
        resumeProducing=lambda: actions.append("resume"),
        loseWriteConnection=lambda: actions.append("close output"),
        unregisterProducer=lambda: None,
        abortConnection=lambda: None,
    )
    invalid_request = frames.encode_frame(frames.FrameType.QUERY, 1, b"\0")
    connection.dataReceived(invalid_request)
    assert actions[1] == "pause" and len(timers) == 1
    timers.pop()()
    assert actions[2] == "resume"
    connection.dataReceived(invalid_request)  # on a stream that was used before
    assert actions[-1] == "close output"
    assert frames.encode_answer(0, 2, b"stream 1 is not new") in actions
    connection = ClientConnection(intake, "127.0.0.1")
    connection.transport = SimpleNamespace(
        socket=SimpleNamespace(send=lambda data, flags: len(data)),
        **{
            name: lambda *arguments: None
            for name in (
                "pauseProducing",
                "resumeProducing",
                "unregisterProducer",
                "abortConnection",
                "loseWriteConnection",
            )
        },
    )
    connection.dataReceived(
        b"".join(frames.encode_frame(frames.FrameType.QUERY, i, b"\0") for i in range(1, 100))
    )
    assert connection.is_rejecting_input and connection.invalid_requests == 17


def test_a_query_that_is_cancelled_at_once_is_not_forwarded(make_world):
    """Otherwise hundreds of queries would be sent to engines and cancelled there."""
    world = make_world(engines=1)
    client = world.client()
    client.transport.write(
        b"".join(
            frames.encode_frame(
                frames.FrameType.QUERY,
                i,
                frames.encode_fields(
                    [
                        ("service", "status"),
                        ("ref", f"{i:016x}"),
                        ("allow", "900"),
                        ("project", "acme"),
                        ("effort", "1"),
                        ("memory", "1"),
                    ]
                ),
                STATEMENT,
            )
            + frames.encode_frame(frames.FrameType.CANCEL, i)
            for i in range(1, 300)
        )
    )
    client.last_stream = 300
    assert (
        answered(client, client.ask("report"))[0] == frames.AnswerCode.COMPLETED
        and world.posts() == 1
        and not world.service.adapter.open_queries
    )
    world.engines[0].behaviours = ["hold"]
    cancelled = client.ask("report", ref="00000000000000dd")
    until(lambda: world.posts() == 2)
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, cancelled))
    # An attempt in flight is cancelled.
    until(lambda: world.engines[0].cancelled == ["00000000000000dd"], 0.5)


def test_what_is_held_for_a_client_that_does_not_read_is_bounded():
    """Its answers are bounded, then its requests are deferred up to a bound; cancellations are handled."""
    intake = SimpleNamespace(
        connection_admission=decisions.ConnectionAdmission(limits.ConnectionRules(9, 0), 0.0),
        admission_ms=lambda: 0.0,
        now_ms=lambda: 0.0,
        earliest_arrival_ms=lambda now_ms: now_ms,
        seconds=lambda: 0.0,
        memory=MemoryAccount(32 << 20),
        is_stopping=False,
        metrics=SimpleNamespace(count=lambda name: None),
        log=lambda kind, text: None,
    )
    connection, actions = ClientConnection(intake, "127.0.0.1"), []
    intake.abort_slowest_reader = connection.abort
    kernel = SimpleNamespace(remaining_sends=1)

    def send(data, flags):
        kernel.remaining_sends -= 1
        if kernel.remaining_sends < 0:
            raise BlockingIOError
        return 40_000

    connection.transport = SimpleNamespace(
        write=lambda data: actions.append(len(data)),
        pauseProducing=lambda: actions.append("pause"),
        resumeProducing=lambda: actions.append("resume"),
        abortConnection=lambda: actions.append("abort"),
        socket=SimpleNamespace(send=send),
    )
    for _ in range(1000):
        connection.write(b"x" * 48_000)
        if actions[-1] == "abort":
            break
    assert actions[:3] == [8_000, 48_000, 48_000] and actions[-1] == "abort" and connection.is_backlogged
    written_bytes = sum(action for action in actions if action not in ("pause", "abort"))
    assert written_bytes <= 32 << 20 and kernel.remaining_sends == 0
    assert intake.memory.held_bytes == 0 and not connection.is_open
    transport = connection.transport
    connection = ClientConnection(intake, "127.0.0.1")
    connection.transport = transport
    for _ in range(2):
        connection.write(b"x" * 48_000)
    assert connection.is_backlogged and connection.is_open
    for stream in (1, 2):  # requests are deferred; beyond a bound the connection is not read
        assert actions[-1] == 48_000
        connection.dataReceived(frames.encode_frame(frames.FrameType.QUERY, stream, b"x" * 40_000))
    connection.dataReceived(
        frames.encode_frame(frames.FrameType.CANCEL, 1) + frames.encode_frame(frames.FrameType.CANCEL, 2)
    )
    assert not connection.deferred_requests
    connection.resumeProducing()
    assert intake.memory.held_bytes == 0 and actions[-1] == "resume"


def encode_request(number, statement, stream=1):
    """Returns the frame of a request of the group `report`."""
    values = {"service": "report", "ref": f"{number:016x}", "allow": "4000", "project": TENANT}
    values.update(effort="20.0", memory="96")
    return frames.encode_frame(
        frames.FrameType.QUERY, stream, frames.encode_fields(values.items()), statement
    )


def test_what_is_held_for_clients_is_bounded(make_world):
    """Long statements or incomplete frames must not exhaust the memory; short requests are accepted."""
    world = make_world(engines=1)
    client, memory, long_statement = world.client(), world.service.memory, STATEMENT + b" " * 200_000
    memory.max_bytes = 4_800_000  # three quarters allow one long statement or frame at a time
    world.engines[0].behaviours = ["hold"]
    first = client.ask("report", ref=f"{0:016x}", statement=long_statement)
    until(lambda: world.posts() == 1)
    second, third = client.ask("report", statement=long_statement), client.ask("report")
    assert (
        answered(client, second)[0] == frames.AnswerCode.REJECTED
        and answered(client, third)[0] == frames.AnswerCode.COMPLETED
    )
    assert memory.held_bytes == QUERY_BYTES + len(long_statement) + len("17")
    world.engines[0].running[f"{0:016x}"] = "ok"
    assert answered(client, first)[0] == frames.AnswerCode.COMPLETED and memory.held_bytes == 0
    senders = [world.client() for _ in range(3)]  # of incomplete frames
    requests = [encode_request(number, STATEMENT + b" " * 210_000) for number in range(3)]
    for sender, request in zip(senders, requests, strict=True):
        sender.transport.write(request[:205_000])
    until(lambda: sum(c.reader.received_bytes() > 200_000 for c in world.service.clients.connections) == 3)
    assert 0 < memory.held_bytes < 3 * 200_000
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED  # a short request is accepted
    for sender, request in zip(senders, requests, strict=True):
        sender.transport.write(request[205_000:])
    codes = [answered(sender, 1)[0] for sender in senders]
    assert frames.AnswerCode.REJECTED in codes and frames.AnswerCode.FAILED not in codes
    assert not any(sender.is_closed for sender in senders)
    until(lambda: memory.held_bytes == 0)
    for sender in senders:
        sender.last_stream = 1
        assert answered(sender, sender.ask())[0] == frames.AnswerCode.COMPLETED


def test_a_client_that_reads_late_gets_every_answer_complete(make_world):
    """What the kernel does not accept at once is sent later, in order."""
    world = make_world(engines=1)
    world.engines[0].behaviours = ["ok"]
    with socket.create_connection(("127.0.0.1", world.port)) as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        until(lambda: world.service.clients.connections)
        connection = next(iter(world.service.clients.connections))
        connection.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        connection.frame_deadline.has_received_frame = True
        bodies = [bytes([65 + i]) * 30_000 for i in range(4)]
        for i, body in enumerate(bodies):
            connection.write(frames.encode_answer(i + 1, frames.AnswerCode.COMPLETED, body))
        assert connection.unsent_bytes > 0
        client.setblocking(False)
        reader, received = frames.FrameReader(), []

        def read():
            with contextlib.suppress(BlockingIOError):
                received.extend(bytes(payload[2:]) for _, _, payload in reader.feed(client.recv(65_536)))
            return len(received) == len(bodies)

        until(read)
    assert (
        received == bodies and connection.unsent_bytes == 0 and not world.service.metrics.counters["faults"]
    )
