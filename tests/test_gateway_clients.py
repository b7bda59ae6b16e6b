"""Clients before the whole front: what makes no sense, who is taken and told, what they make the front hold."""

import errno
import socket
import time
from types import SimpleNamespace

import pytest
from gateway_world import RESULT, STATEMENT, answered
from loopback import until

from lichenquay.connection_admission import decide
from lichenquay.gateway import frames
from lichenquay.gateway.client_connection import ClientConnection, InvalidRequestError


def test_bad_frames_end_their_connection_alone(world):
    w = world(engines=1)
    good, bad, idle = w.client(), w.client(), w.client()
    w.engines[0].ways = ["hold", "ok"]
    open_ = bad.ask("report", ref="00000000000000bb")
    until(lambda: w.posts() == 1)
    same = good.ask("report", ref="00000000000000bb", statement=b"select 1")
    assert (
        answered(good, same)[0] == frames.AnswerCode.FAILED and w.posts() == 1
    )  # risk: the answer to another statement
    bad.transport.write(frames.encode_frame(frames.FrameType.READINESS, 5))
    idle.transport.write(b"\1\0\0\0")
    until(lambda: idle.closed and 0 in bad.answers)
    assert idle.answers[0][0] == bad.answers[0][0] == frames.AnswerCode.FAILED and not bad.closed
    w.engines[0].runs["00000000000000bb"] = "ok"  # what was taken on it is still answered
    until(lambda: bad.closed)
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
def test_a_request_that_makes_no_query_is_answered_alone(world, wrong):
    w = world(engines=1)
    c = w.client()
    assert answered(c, c.ask(**wrong))[0] == frames.AnswerCode.FAILED and not w.posts()
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED


def test_one_connection_holds_32_open_queries(world):
    w = world(engines=1)
    c = w.client()
    w.engines[0].ways = ["hold"] * 40
    streams = [c.ask("status", allow=600) for _ in range(33)]
    assert answered(c, streams[-1])[0] == frames.AnswerCode.REJECTED
    c.transport.write(
        frames.encode_frame(frames.FrameType.CANCEL, streams[0])
        + frames.encode_frame(frames.FrameType.CANCEL, 999)
    )
    until(lambda: len(c.answers) == 32)  # all but the one that was left
    assert streams[0] not in c.answers


def test_more_clients_than_fit_are_told_so_at_once(world):
    """Risk: a crowd of clients takes the descriptors that calls to engines need; what waits to be accepted is told nothing."""
    w = world(engines=5, sockets=150)
    for e in w.engines:
        e.ways = ["hold"] * 9
    w.service.clients.set_bounds(1 << 20, decide.Rules(4, 0, lag_ms=0.0))
    streams = [(c, c.ask("report", allow=4000)) for c in (w.client() for _ in range(4))]
    until(lambda: len(w.out) == 4)
    for _ in range(18):
        begun, c = time.monotonic(), w.client()
        until(lambda: c.closed)
        assert (
            time.monotonic() - begun < 0.15
            and c.answers[0][0] == frames.AnswerCode.REJECTED
            and b"no room; come back in" in c.answers[0][1]
        )
    assert len(w.service.clients.connections) == 4 and not any(c.closed for c, _ in streams)
    for e in w.engines:
        e.ways, e.runs = [], dict.fromkeys(e.runs, "ok")
    assert all(answered(c, s)[0] == frames.AnswerCode.COMPLETED for c, s in streams)


def test_at_the_descriptor_limit_a_connection_is_told_and_what_was_taken_is_answered(world):
    """Risk: with no descriptor left, what waits to be accepted waits for ever, and the reactor runs in circles over it."""
    w = world(engines=2)
    for e in w.engines:
        e.ways = ["hold"] * 9
    first = w.client()
    stream, port = first.ask("report", allow=4000), w.service.clients.listener.port
    until(lambda: len(w.out) == 1)
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
    second = w.client()
    until(lambda: second.closed)
    assert second.answers[0][:2] == (frames.AnswerCode.REJECTED, b"no descriptor; come back in 1000 ms")
    port.socket = real
    assert w.service.metrics.counters["connections refused: no descriptor"] >= 1
    for e in w.engines:
        e.ways, e.runs = [], dict.fromkeys(e.runs, "ok")
    assert (
        answered(first, stream)[0] == frames.AnswerCode.COMPLETED
        and answered(third := w.client(), third.ask())[0] == frames.AnswerCode.COMPLETED
    )


def test_the_reserve_is_called_back_and_what_was_taken_gets_its_answer_first(world):
    """Risk: a busy client that gives way is cut off with a query open, or keeps its place for ever."""
    w = world(engines=5)
    for e in w.engines:
        e.ways = ["hold"] * 9
    known = decide.networks(["127.0.0.1"])
    w.service.clients.set_bounds(1 << 20, decide.Rules(2, 0, lag_ms=0.0))
    others = [w.client() for _ in range(2)]
    streams = [c.ask("report", allow=4000) for c in others]
    until(lambda: len(w.out) == 2)
    gate = w.service.clients.connection_admission
    gate.change(decide.Rules(2, 0, known=known, reserve=1, lag_ms=0.0))
    gate.holders.clear()  # as if those had come from elsewhere
    depot = w.client()
    until(lambda: any(c.closed for c in others))
    gone = next(c for c in others if c.closed)
    assert gone.answers[streams[others.index(gone)]][0] in (
        frames.AnswerCode.REJECTED,
        frames.AnswerCode.FAILED,
    )
    assert gone.answers[0][0] == frames.AnswerCode.REJECTED and b"needed by others" in gone.answers[0][1]
    for e in w.engines:
        e.ways = []
    assert answered(depot, depot.ask("manifest"))[0] == frames.AnswerCode.COMPLETED and not depot.closed
    assert sum(c.closed for c in others) == 1 and w.service.metrics.counters["faults"] == 0


def test_silent_connections_make_room_and_end_in_time(world):
    """Risk: connections by the hundreds that say nothing, or hold on after one query, keep the usual clients out."""
    w = world(engines=2, sockets=150)
    crowd = [w.client() for _ in range(70)]  # one more than fits after each of the last
    half, held = crowd[-1], w.client()
    half.transport.write((200).to_bytes(4, "little") + b"\2\1\0\0\0")
    assert answered(held, held.ask())[0] == frames.AnswerCode.COMPLETED
    assert len(w.service.clients.connections) <= w.service.clients.max_connections == 62
    until(lambda: all(c.closed for c in crowd), 2.9)
    assert half.answers[0][0] == frames.AnswerCode.FAILED and not held.closed
    until(lambda: held.closed, 5)
    assert held.told == [(frames.FrameType.GO_AWAY, 0, b"")]


def test_the_same_nonsense_again_and_again_is_held_up():
    """Risk: a client that comes back at once with what makes no sense takes the turns of others."""
    later, said, clock = [], [], SimpleNamespace(now=0.0)
    intake = SimpleNamespace(
        connection_admission=decide.Gate(decide.Rules(9, 0), 0.0),
        admission_ms=lambda: clock.now * 1000,
        now_ms=lambda: 0.0,
        seconds=lambda: clock.now,
        held_bytes=0,
        max_held_bytes=1 << 20,
        has_memory_for=lambda *size: True,
        open_request_ids={},
        reactor=SimpleNamespace(callLater=lambda s, call: later.append(call) or later),
        metrics=SimpleNamespace(count=lambda what: None),
        log=lambda *line: None,
    )

    def make_query(*what):
        raise InvalidRequestError("odd")

    intake.make_query = make_query
    line = ClientConnection(intake, "127.0.0.1")
    line.transport = SimpleNamespace(
        socket=SimpleNamespace(send=lambda data, flags: said.append(data) or len(data)),
        pauseProducing=lambda: said.append("p"),
        resumeProducing=lambda: said.append("r"),
        loseWriteConnection=lambda: said.append("x"),
        unregisterProducer=lambda: None,
        abortConnection=lambda: None,
    )
    nonsense = frames.encode_frame(frames.FrameType.QUERY, 1, b"\0")
    line.dataReceived(nonsense)
    assert said[1] == "p" and len(later) == 1
    later.pop()()
    assert said[2] == "r"
    line.dataReceived(nonsense)
    assert (
        said[-1] == "x" and frames.encode_answer(0, 2, b"stream 1 is not new") in said
    )  # two under one number, one answer
    line = ClientConnection(intake, "127.0.0.1")
    line.transport = SimpleNamespace(
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
    line.dataReceived(b"".join(frames.encode_frame(frames.FrameType.QUERY, i, b"\0") for i in range(1, 100)))
    assert line.is_rejecting_input and line.invalid_requests == 17


def test_what_is_taken_back_at_once_goes_nowhere(world):
    """Risk: hundreds of queries taken back at once go out to engines and are called off there."""
    w = world(engines=1)
    c = w.client()
    c.transport.write(
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
    c.streams = 300
    assert (
        answered(c, c.ask("report"))[0] == frames.AnswerCode.COMPLETED
        and w.posts() == 1
        and not w.service.adapter.open_queries
    )
    w.engines[0].ways = ["hold"]
    gone = c.ask("report", ref="00000000000000dd")
    until(lambda: w.posts() == 2)
    c.transport.write(frames.encode_frame(frames.FrameType.CANCEL, gone))
    until(lambda: w.engines[0].deletes == ["00000000000000dd"], 0.5)  # and what is out is called off


def test_a_client_that_does_not_read_is_bounded():
    intake = SimpleNamespace(
        connection_admission=decide.Gate(decide.Rules(9, 0), 0.0),
        admission_ms=lambda: 0.0,
        now_ms=lambda: 0.0,
        seconds=lambda: 0.0,
        held_bytes=0,
        max_held_bytes=32 << 20,
        metrics=SimpleNamespace(count=lambda what: None),
        log=lambda *line: None,
        has_memory_for=lambda *size: True,
    )
    line, done, full = ClientConnection(intake, "127.0.0.1"), [], SimpleNamespace(sends=1)

    def send(data, flags):
        full.sends -= 1
        if full.sends < 0:
            raise BlockingIOError
        return 40_000

    line.transport = SimpleNamespace(
        write=lambda data: done.append(len(data)),
        pauseProducing=lambda: done.append("p"),
        resumeProducing=lambda: done.append("r"),
        abortConnection=lambda: done.append("x"),
        socket=SimpleNamespace(send=send),
    )
    for _ in range(1000):
        line.write(b"x" * 48_000)
        if done[-1] == "x":
            break
    assert done[:3] == [8_000, 48_000, 48_000] and done[-1] == "x" and line.is_backlogged  # in order
    assert sum(d for d in done if d not in ("p", "x")) <= 32 << 20 and full.sends == 0
    for stream in (1, 2):  # nothing more is taken in from it, and past a bound it is read no further
        assert done[-1] == "x"
        line.dataReceived(frames.encode_frame(frames.FrameType.QUERY, stream, b"x" * 40_000))
    assert done[-1] == "p" and list(line.held_requests) == [1, 2]
    line.dataReceived(
        frames.encode_frame(frames.FrameType.CANCEL, 1) + frames.encode_frame(frames.FrameType.CANCEL, 2)
    )  # what else it says is heard
    assert not line.held_requests
    line.resumeProducing()
    assert intake.held_bytes == 0 and done[-1] == "r"


def test_what_clients_make_the_front_hold_is_bounded(world):
    """Risk: long statements, or frames that never end, take the memory that the front may have."""
    w = world(engines=1)
    c, intake, long = w.client(), w.service.clients, STATEMENT + b" " * 200_000
    intake.max_held_bytes = 3_400_000  # for one long statement, or one long frame, at a time
    w.engines[0].ways = ["hold"]
    first = c.ask("report", ref=f"{0:016x}", statement=long)
    until(lambda: w.posts() == 1)
    second, third = c.ask("report", statement=long), c.ask("report")
    assert (
        answered(c, second)[0] == frames.AnswerCode.REJECTED
        and answered(c, third)[0] == frames.AnswerCode.COMPLETED
    )
    assert intake.held_bytes == len(long)
    w.engines[0].runs[f"{0:016x}"] = "ok"
    assert answered(c, first)[0] == frames.AnswerCode.COMPLETED and intake.held_bytes == 0
    crowd = [w.client() for _ in range(3)]
    for x in crowd:
        x.transport.write((262_144).to_bytes(4, "little") + b"\2\1\0\0\0" + b"x" * 205_000)
    until(lambda: any(x.closed for x in crowd))
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED  # what is small finds room all the same
    assert sum(x.closed for x in crowd) < 3 and 0 < intake.held_bytes <= intake.max_held_bytes
    for x in crowd:
        x.transport.abortConnection()
    until(lambda: intake.held_bytes == 0)
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED


def test_a_client_that_reads_late_gets_every_answer_whole(world):
    """Risk: what the machine does not take at once never goes, and what follows cannot be read."""
    w = world(engines=1)
    w.engines[0].ways = ["ok"]
    with socket.create_connection(("127.0.0.1", w.port)) as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        until(lambda: w.service.clients.connections)
        line = next(iter(w.service.clients.connections))
        line.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        line.has_sent_frame = True
        bodies = [bytes([65 + i]) * 30_000 for i in range(4)]
        for i, body in enumerate(bodies):
            line.write(frames.encode_answer(i + 1, frames.AnswerCode.COMPLETED, body))
        assert line.unsent_bytes > 0
        client.setblocking(False)
        reader, got = frames.FrameReader(), []

        def read():
            try:
                got.extend(bytes(payload[2:]) for _, _, payload in reader.feed(client.recv(65_536)))
            except BlockingIOError:
                pass
            return len(got) == len(bodies)

        until(read)
    assert got == bodies and line.unsent_bytes == 0 and not w.service.metrics.counters["faults"]
