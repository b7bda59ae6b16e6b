"""What tests of crossings own: the instant in which a connection comes up, a descriptor is free, or a byte is
read."""

import os
import socket
import time
from pathlib import Path

from loopback import until, wait

from lichenquay.gateway import frames

ROOT = Path(__file__).resolve().parents[2]


class HeldConnects:
    """Connections to engines are asked for, and come up when a test says so."""

    def __init__(self, world):
        """From now on those of this world are held."""
        self.reactor, self.held = world.service.engines.reactor, []
        self.real, self.reactor.connectTCP = (
            self.reactor.connectTCP,
            lambda *call, **more: self.held.append((call, more)),
        )

    def come_up(self, of=None):
        """Those held now, or the first `of` of them; what is asked for after `go_on` is not held any more."""
        held, self.held = self.held[:of], self.held[of:] if of else []
        for call, more in held:
            self.real(*call, **more)

    def go_on(self):
        """They come up as they are asked for again."""
        self.reactor.connectTCP = self.real
        self.come_up()


class PlainClient:
    """A client's socket without a reactor: it reads, writes, ends and resets when a test says so."""

    def __init__(self, port, receives=None):
        """`receives`: bytes that the machine holds for it."""
        self.socket = socket.socket()
        if receives:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receives)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.got, self.ended = b"", None

    def read(self):
        """All that has come; `ended`: "end" or "reset" once it has."""
        while self.ended is None:
            try:
                some = self.socket.recv(65_536)
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.ended = "reset"
                break
            if not some:
                self.ended = "end"
            self.got += some
        return self.got

    def reset(self):
        """Ends it with a reset."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.socket.close()


def query_frame(stream, group="status", allow=2000, ref=None, statement=b"select 1"):
    """The frame of a query, as a client writes it; `ref`: from its stream where none is given."""
    fields = [
        ("service", group),
        ("ref", ref or f"{stream:016x}"),
        ("allow", str(allow)),
        ("project", "acme"),
        ("effort", "20.0"),
        ("memory", "96"),
    ]
    return frames.encode_frame(frames.FrameType.QUERY, stream, frames.encode_fields(fields), statement)


def told(w, what):
    """A counter of the front."""
    return w.service.metrics.counters[what]


def over(w, seconds=5.0):
    """All that was taken has ended, and nothing is held for it any more."""
    service = w.service
    until(
        lambda: (
            not service.adapter.open_queries
            and not service.attempts.in_flight_count
            and not service.engines.waiting_calls
        ),
        seconds,
    )
    assert not service.metrics.counters["faults"] and not service.clients.open_request_ids


def stays(w, seconds=0.25):
    """Nothing more is submitted for so long."""
    before, end = w.posts(), time.monotonic() + seconds
    while time.monotonic() < end:
        wait(0.02)
        assert w.posts() == before, "submitted after all"


def environment(config):
    """Of the program, with that configuration."""
    return {**os.environ, "PYTHONPATH": str(ROOT), "BALANCER_CONFIG": str(config)}


def is_ready(port):
    """What a front says of itself; it may have to be asked again."""
    client = PlainClient(port)
    client.socket.sendall(frames.encode_frame(frames.FrameType.READINESS_CHECK, 1, b"\0"))
    until(lambda: client.read() or client.ended)
    client.socket.close()
    return any(
        kind == frames.FrameType.READINESS and payload[0] == 0
        for kind, _, payload in frames.FrameReader().feed(client.got)
    )
