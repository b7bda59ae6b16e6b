"""Clients before the whole gateway: invalid input, who is accepted, and bounds on what is held for them."""

import contextlib
import errno
import socket
import time
from types import SimpleNamespace

import pytest
from gateway_world import RESULT, STATEMENT, answered
from loopback import until

from lichenquay.connection_admission import decisions, limits
from lichenquay.gateway import frames
from lichenquay.gateway.client_connection import ClientConnection, InvalidRequestError


def test_invalid_frames_end_their_connection_alone(make_world):
    """What was accepted on it is still answered."""
    world = make_world(engines=1)
    good, bad, idle = world.client(), world.client(), world.client()
    world.engines[0].behaviours = ["hold", "ok"]
    open_ = bad.ask("report", ref="00000000000000bb")
    until(lambda: world.posts() == 1)
    same = good.ask("report", ref="00000000000000bb", statement=b"select 1")
    assert (
        answered(good, same)[0] == frames.AnswerCode.FAILED and world.posts() == 1
    )  # it would be the answer to another statement
    bad.transport.write(frames.encode_frame(frames.FrameType.READINESS, 5))
    idle.transport.write(b"\1\0\0\0")
    until(lambda: idle.is_closed and 0 in bad.answers)
    assert idle.answers[0][0] == bad.answers[0][0] == frames.AnswerCode.FAILED and not bad.is_closed
    world.engines[0].running["00000000000000bb"] = "ok"  # what was taken on it is still answered
    until(lambda: bad.is_closed)
    assert bad.answers[open_][:2] == (frames.AnswerCode.COMPLETED, RESULT)
    assert answered(good, good.ask())[0] == frames.AnswerCode.COMPLETED


@pytest.mark.parametrize(
    "wrong",
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
def test_an_invalid_request_fails_alone(make_world, wrong):
    """The next request on the connection completes."""
    world = make_world(engines=1)
    client = world.client()
    assert answered(client, client.ask(**wrong))[0] == frames.AnswerCode.FAILED and not world.posts()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED


def test_a_connection_has_32_open_queries_at_most(make_world):
    """One more is rejected; a cancelled one has no answer."""
    world = make_world(engines=1)
    client = world.client()
    world.engines[0].behaviours = ["hold"] * 40
    streams = [client.ask("status", allow=600) for _ in range(33)]
    assert answered(client, streams[-1])[0] == frames.AnswerCode.REJECTED
    client.transport.write(
        frames.encode_frame(frames.FrameType.CANCEL, streams[0])
        + frames.encode_frame(frames.FrameType.CANCEL, 999)
    )
    until(lambda: len(client.answers) == 32)  # all but the one that was left
    assert streams[0] not in client.answers


def test_more_clients_than_fit_are_refused_at_once(make_world):
    """A crowd must not use the descriptors that calls to engines need, nor wait without an answer."""
    world = make_world(engines=5, sockets=150)
    for engine in world.engines:
        engine.behaviours = ["hold"] * 9
    world.service.clients.set_bounds(1 << 20, limits.ConnectionRules(4, 0, max_lag_ms=0.0))
    streams = [(client, client.ask("report", allow=4000)) for client in (world.client() for _ in range(4))]
    until(lambda: len(world.in_flight) == 4)
    for _ in range(18):
        began_s = time.monotonic()
        refused = world.client()
        until(lambda client=refused: client.is_closed)
        assert time.monotonic() - began_s < 0.15
        assert refused.answers[0][0] == frames.AnswerCode.REJECTED
        assert b"no room; come back in" in refused.answers[0][1]
    assert len(world.service.clients.connections) == 4 and not any(client.is_closed for client, _ in streams)
    for engine in world.engines:
        engine.behaviours, engine.running = [], dict.fromkeys(engine.running, "ok")
    assert all(answered(client, stream)[0] == frames.AnswerCode.COMPLETED for client, stream in streams)


def test_at_the_descriptor_limit_a_connection_is_refused_with_a_reason(make_world):
    """Otherwise it would wait for ever and keep the reactor busy. What was accepted is answered."""
    world = make_world(engines=2)
    for engine in world.engines:
        engine.behaviours = ["hold"] * 9
    first = world.client()
    stream, port = first.ask("report", allow=4000), world.service.clients.listener.port
    until(lambda: len(world.in_flight) == 1)
    real, left = port.socket, [3]

    class Short:
        def __getattr__(self, name):
            return getattr(real, name)

        def accept(self):
            left[0] -= 1
            if left[0] in (2, 0):  # as the machine says it, until one is closed
                raise OSError(errno.EMFILE, "too many")
            return real.accept()

    port.socket = Short()
    second = world.client()
    until(lambda: second.is_closed)
    assert second.answers[0][:2] == (frames.AnswerCode.REJECTED, b"no descriptor; come back in 1000 ms")
    port.socket = real
    assert world.service.metrics.counters["connections refused: no descriptor"] >= 1
    for engine in world.engines:
        engine.behaviours, engine.running = [], dict.fromkeys(engine.running, "ok")
    assert (
        answered(first, stream)[0] == frames.AnswerCode.COMPLETED
        and answered(third := world.client(), third.ask())[0] == frames.AnswerCode.COMPLETED
    )


def test_a_busy_client_that_is_evicted_gets_its_final_answers_first(make_world):
    """The reserve of known clients is only lent."""
    world = make_world(engines=5)
    for engine in world.engines:
        engine.behaviours = ["hold"] * 9
    known = limits.parse_networks(["127.0.0.1"])
    world.service.clients.set_bounds(1 << 20, limits.ConnectionRules(2, 0, max_lag_ms=0.0))
    others = [world.client() for _ in range(2)]
    streams = [client.ask("report", allow=4000) for client in others]
    until(lambda: len(world.in_flight) == 2)
    admission = world.service.clients.connection_admission
    admission.set_rules(limits.ConnectionRules(2, 0, known=known, reserve=1, max_lag_ms=0.0))
    admission.registry.accounts.clear()  # as if those had come from elsewhere
    depot = world.client()
    until(lambda: any(client.is_closed for client in others))
    gone = next(client for client in others if client.is_closed)
    assert gone.answers[streams[others.index(gone)]][0] in (
        frames.AnswerCode.REJECTED,
        frames.AnswerCode.FAILED,
    )
    assert gone.answers[0][0] == frames.AnswerCode.REJECTED and b"needed by others" in gone.answers[0][1]
    for engine in world.engines:
        engine.behaviours = []
    assert answered(depot, depot.ask("manifest"))[0] == frames.AnswerCode.COMPLETED and not depot.is_closed
    assert sum(client.is_closed for client in others) == 1 and world.service.metrics.counters["faults"] == 0


def test_silent_connections_make_room_and_end_in_time(make_world):
    """Hundreds that send nothing, or stay after one query, must not keep the usual clients out."""
    world = make_world(engines=2, sockets=150)
    crowd = [world.client() for _ in range(70)]  # one more than fits after each of the last
    half, held = crowd[-1], world.client()
    half.transport.write((200).to_bytes(4, "little") + b"\2\1\0\0\0")
    assert answered(held, held.ask())[0] == frames.AnswerCode.COMPLETED
    assert len(world.service.clients.connections) <= world.service.clients.max_connections == 62
    until(lambda: all(client.is_closed for client in crowd), 2.9)
    assert half.answers[0][0] == frames.AnswerCode.FAILED and not held.is_closed
    until(lambda: held.is_closed, 5)
    assert held.notices == [(frames.FrameType.GO_AWAY, 0, b"")]


def test_invalid_requests_are_slowed_down_and_end_their_connection():
    """A client that repeats one at once must not take the turns of others."""
    later, said, clock = [], [], SimpleNamespace(now=0.0)
    intake = SimpleNamespace(
        connection_admission=decisions.ConnectionAdmission(limits.ConnectionRules(9, 0), 0.0),
        admission_ms=lambda: clock.now * 1000,
        now_ms=lambda: 0.0,
        seconds=lambda: clock.now,
        held_bytes=0,
        max_held_bytes=1 << 20,
        has_memory_for=lambda *size: True,
        open_request_ids={},
        reactor=SimpleNamespace(callLater=lambda stream, call: later.append(call) or later),
        metrics=SimpleNamespace(count=lambda what: None),
        log=lambda *connection: None,
    )

    def make_query(*what):
        raise InvalidRequestError("odd")

    intake.make_query = make_query
    connection = ClientConnection(intake, "127.0.0.1")
    connection.transport = SimpleNamespace(
        socket=SimpleNamespace(send=lambda data, flags: said.append(data) or len(data)),
        pauseProducing=lambda: said.append("p"),
        resumeProducing=lambda: said.append("r"),
        loseWriteConnection=lambda: said.append("x"),
        unregisterProducer=lambda: None,
        abortConnection=lambda: None,
    )
    nonsense = frames.encode_frame(frames.FrameType.QUERY, 1, b"\0")
    connection.dataReceived(nonsense)
    assert said[1] == "p" and len(later) == 1
    later.pop()()
    assert said[2] == "r"
    connection.dataReceived(nonsense)
    assert (
        said[-1] == "x" and frames.encode_answer(0, 2, b"stream 1 is not new") in said
    )  # two under one number, one answer
    connection = ClientConnection(intake, "127.0.0.1")
    connection.transport = SimpleNamespace(
        socket=SimpleNamespace(send=lambda data, flags: len(data)),
        **{
            n: lambda *a: None
            for n in (
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


def test_what_is_cancelled_at_once_is_not_forwarded(make_world):
    """Hundreds of queries would go out to engines, and be cancelled there."""
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
    gone = client.ask("report", ref="00000000000000dd")
    until(lambda: world.posts() == 2)
    client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, gone))
    until(lambda: world.engines[0].cancelled == ["00000000000000dd"], 0.5)  # and what is out is called off


def test_a_client_that_does_not_read_is_bounded():
    """Its answers up to a limit, then its requests; cancellations are handled."""
    intake = SimpleNamespace(
        connection_admission=decisions.ConnectionAdmission(limits.ConnectionRules(9, 0), 0.0),
        admission_ms=lambda: 0.0,
        now_ms=lambda: 0.0,
        seconds=lambda: 0.0,
        held_bytes=0,
        max_held_bytes=32 << 20,
        metrics=SimpleNamespace(count=lambda what: None),
        log=lambda *connection: None,
        has_memory_for=lambda *size: True,
    )
    connection, done, full = ClientConnection(intake, "127.0.0.1"), [], SimpleNamespace(sends=1)

    def send(data, flags):
        full.sends -= 1
        if full.sends < 0:
            raise BlockingIOError
        return 40_000

    connection.transport = SimpleNamespace(
        write=lambda data: done.append(len(data)),
        pauseProducing=lambda: done.append("p"),
        resumeProducing=lambda: done.append("r"),
        abortConnection=lambda: done.append("x"),
        socket=SimpleNamespace(send=send),
    )
    for _ in range(1000):
        connection.write(b"x" * 48_000)
        if done[-1] == "x":
            break
    assert done[:3] == [8_000, 48_000, 48_000] and done[-1] == "x" and connection.is_backlogged  # in order
    assert sum(d for d in done if d not in ("p", "x")) <= 32 << 20 and full.sends == 0
    for stream in (1, 2):  # nothing more is taken in from it, and past a bound it is read no further
        assert done[-1] == "x"
        connection.dataReceived(frames.encode_frame(frames.FrameType.QUERY, stream, b"x" * 40_000))
    assert done[-1] == "p" and list(connection.deferred_requests) == [1, 2]
    connection.dataReceived(
        frames.encode_frame(frames.FrameType.CANCEL, 1) + frames.encode_frame(frames.FrameType.CANCEL, 2)
    )  # what else it says is heard
    assert not connection.deferred_requests
    connection.resumeProducing()
    assert intake.held_bytes == 0 and done[-1] == "r"


def test_what_is_held_for_clients_is_bounded(make_world):
    """Long statements, or unfinished frames, must not use up the memory; short ones find room."""
    world = make_world(engines=1)
    client, intake, long = world.client(), world.service.clients, STATEMENT + b" " * 200_000
    intake.max_held_bytes = 3_400_000  # for one long statement, or one long frame, at a time
    world.engines[0].behaviours = ["hold"]
    first = client.ask("report", ref=f"{0:016x}", statement=long)
    until(lambda: world.posts() == 1)
    second, third = client.ask("report", statement=long), client.ask("report")
    assert (
        answered(client, second)[0] == frames.AnswerCode.REJECTED
        and answered(client, third)[0] == frames.AnswerCode.COMPLETED
    )
    assert intake.held_bytes == len(long)
    world.engines[0].running[f"{0:016x}"] = "ok"
    assert answered(client, first)[0] == frames.AnswerCode.COMPLETED and intake.held_bytes == 0
    crowd = [world.client() for _ in range(3)]
    for x in crowd:
        x.transport.write((262_144).to_bytes(4, "little") + b"\2\1\0\0\0" + b"x" * 205_000)
    until(lambda: any(x.is_closed for x in crowd))
    assert (
        answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
    )  # what is small finds room all the same
    assert sum(x.is_closed for x in crowd) < 3 and 0 < intake.held_bytes <= intake.max_held_bytes
    for x in crowd:
        x.transport.abortConnection()
    until(lambda: intake.held_bytes == 0)
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED


def test_a_client_that_reads_late_gets_every_answer_whole(make_world):
    """What the kernel does not take at once follows, and is readable."""
    world = make_world(engines=1)
    world.engines[0].behaviours = ["ok"]
    with socket.create_connection(("127.0.0.1", world.port)) as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        until(lambda: world.service.clients.connections)
        connection = next(iter(world.service.clients.connections))
        connection.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        connection.has_sent_frame = True
        bodies = [bytes([65 + i]) * 30_000 for i in range(4)]
        for i, body in enumerate(bodies):
            connection.write(frames.encode_answer(i + 1, frames.AnswerCode.COMPLETED, body))
        assert connection.unsent_bytes > 0
        client.setblocking(False)
        reader, got = frames.FrameReader(), []

        def read():
            with contextlib.suppress(BlockingIOError):
                got.extend(bytes(payload[2:]) for _, _, payload in reader.feed(client.recv(65_536)))
            return len(got) == len(bodies)

        until(read)
    assert got == bodies and connection.unsent_bytes == 0 and not world.service.metrics.counters["faults"]
