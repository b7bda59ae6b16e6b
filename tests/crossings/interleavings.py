"""What tests of crossings control: when a connection comes up, a descriptor is free, or a byte is read."""

import os
import socket
import time
from pathlib import Path

from gateway_world import TENANT
from loopback import until, wait

from lichenquay.gateway import frames

ROOT = Path(__file__).resolve().parents[2]
READ_BYTES = 65_536


class DelayedConnections:
    """Connections to engines are asked for, and come up when a test says so."""

    def __init__(self, world):
        """From now on those of this world are delayed."""
        self.reactor = world.service.engines.reactor
        self.delayed = []
        self.connect = self.reactor.connectTCP
        self.reactor.connectTCP = lambda *call, **options: self.delayed.append((call, options))

    def come_up(self):
        """Those delayed now come up; what is asked for later is still delayed."""
        delayed = self.delayed
        self.delayed = []
        for call, options in delayed:
            self.connect(*call, **options)

    def resume(self):
        """They come up as they are asked for again."""
        self.reactor.connectTCP = self.connect
        self.come_up()


class PlainClient:
    """A client's socket without a reactor: it reads, writes, ends and resets when a test says so."""

    def __init__(self, port, receive_buffer_bytes=None):
        """`receive_buffer_bytes`: what the kernel holds for it."""
        self.socket = socket.socket()
        if receive_buffer_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.received = b""
        self.ended = None

    def read(self):
        """All that has come; `ended`: "end" or "reset" once it has."""
        while self.ended is None:
            try:
                data = self.socket.recv(READ_BYTES)
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.ended = "reset"
                break
            if not data:
                self.ended = "end"
            self.received += data
        return self.received

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
        ("project", TENANT),
        ("effort", "20.0"),
        ("memory", "96"),
    ]
    return frames.encode_frame(frames.FrameType.QUERY, stream, frames.encode_fields(fields), statement)


def counter(world, name):
    """A counter of the gateway."""
    return world.service.metrics.counters[name]


def _is_over(service):
    in_flight = service.adapter.open_queries or service.attempts.in_flight_count
    return not in_flight and not service.engines.waiting_calls


def wait_until_over(world, timeout_s=5.0):
    """All that was accepted has ended, without a fault, and no request id is open any more."""
    service = world.service
    until(lambda: _is_over(service), timeout_s)
    assert not service.metrics.counters["faults"] and not service.clients.open_request_ids


def assert_all_released(world):
    """All that was accepted has ended, without a fault, and nothing is held for clients any more."""
    service = world.service
    until(lambda: _is_over(service), 5)
    wait(0.05)
    assert not service.metrics.counters["faults"] and not service.clients.open_request_ids
    assert all(not connection.unsent_bytes for connection in service.clients.connections)
    assert service.clients.held_bytes == 0


def assert_no_more_posts(world, seconds=0.25):
    """No attempt comes to an engine for so long."""
    before = world.posts()
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        wait(0.02)
        assert world.posts() == before, "sent after all"


def environment(config):
    """Of the program, with that configuration."""
    return {**os.environ, "PYTHONPATH": str(ROOT), "BALANCER_CONFIG": str(config)}


def is_ready(port):
    """What a gateway says of itself; it may have to be asked again."""
    client = PlainClient(port)
    client.socket.sendall(frames.encode_frame(frames.FrameType.READINESS_CHECK, 1, b"\0"))
    until(lambda: client.read() or client.ended)
    client.socket.close()
    return any(
        frame.type == frames.FrameType.READINESS and frame.payload[0] == 0
        for frame in frames.FrameReader().feed(client.received)
    )
