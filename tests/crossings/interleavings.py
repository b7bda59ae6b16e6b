"""Controls and assertions for tests of events that coincide in the gateway."""

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
    """Holds back connections from the gateway to engines until a test establishes them.

    delayed: the held calls of connectTCP, as (arguments, options).
    """

    def __init__(self, world):
        """Delays all connections that the gateway of this world asks for from now on."""
        self.reactor = world.service.engines.reactor
        self.delayed = []
        self.connect = self.reactor.connectTCP
        self.reactor.connectTCP = lambda *arguments, **options: self.delayed.append((arguments, options))

    def establish_delayed(self):
        """Establishes the connections delayed so far; later ones are still delayed."""
        delayed = self.delayed
        self.delayed = []
        for arguments, options in delayed:
            self.connect(*arguments, **options)

    def resume(self):
        """Establishes the delayed connections, and delays no further ones."""
        self.reactor.connectTCP = self.connect
        self.establish_delayed()


class SocketClient:
    """A client on a plain socket, without the reactor: the test decides when it reads, writes or closes.

    received: all bytes read so far. ended: "end" or "reset" once the gateway has closed or reset the
    connection, else None.
    """

    def __init__(self, port, receive_buffer_bytes=None):
        """Connects to the port; `receive_buffer_bytes` sets the size of the kernel's receive buffer."""
        self.socket = socket.socket()
        if receive_buffer_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.received = b""
        self.ended = None

    def read(self):
        """Reads what has arrived, updates `ended`, and returns all bytes received so far."""
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
        """Closes the socket with a TCP reset."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.socket.close()


def read_answers(client):
    """Returns the answers read so far, as (code, body) by stream."""
    return {
        stream: (payload[0], bytes(payload[2:]))
        for kind, stream, payload in frames.FrameReader().feed(client.read())
        if kind == frames.FrameType.ANSWER
    }


def wait_for_connection(world):
    """Waits for the only client; returns the gateway's side of its connection."""
    until(lambda: len(world.service.clients.connections) == 1)
    return next(iter(world.service.clients.connections))


def query_frame(stream, group="status", allow=2000, ref=None, statement=b"select 1"):
    """Returns an encoded query frame; `allow` is in ms, and `ref` defaults to the stream number."""
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
    """Returns the value of a counter of the gateway."""
    return world.service.metrics.counters[name]


def _is_complete(service):
    in_flight = service.adapter.open_queries or service.attempts.in_flight_count
    return not in_flight and not service.engines.waiting_calls


def wait_until_complete(world, timeout_s=5.0):
    """Waits until all accepted queries are complete.

    Asserts that no fault was counted and that no request id is open any more.
    """
    service = world.service
    until(lambda: _is_complete(service), timeout_s)
    assert not service.metrics.counters["faults"] and not service.clients.open_request_ids


def assert_all_released(world):
    """Waits until all accepted queries are complete.

    Asserts that no fault was counted, no request id is open, and no bytes are held for clients.
    """
    service = world.service
    until(lambda: _is_complete(service), 5)
    wait(0.05)
    assert not service.metrics.counters["faults"] and not service.clients.open_request_ids
    assert all(not connection.unsent_bytes for connection in service.clients.connections)
    assert service.memory.held_bytes == 0


def assert_no_more_posts(world, seconds=0.25):
    """Asserts that no engine receives another attempt within this time."""
    posts_before = world.posts()
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        wait(0.02)
        assert world.posts() == posts_before, "an attempt was sent although none was expected"


def gateway_environment(config_path):
    """Returns the environment variables for a gateway process with this configuration file."""
    return {**os.environ, "PYTHONPATH": str(ROOT), "BALANCER_CONFIG": str(config_path)}


def ask_readiness(port):
    """Asks the gateway on this port once; returns whether it says that it is ready."""
    client = SocketClient(port)
    client.socket.sendall(frames.encode_frame(frames.FrameType.READINESS_CHECK, 1, b"\0"))
    until(lambda: client.read() or client.ended)
    client.socket.close()
    return any(
        frame.type == frames.FrameType.READINESS and frame.payload[0] == 0
        for frame in frames.FrameReader().feed(client.received)
    )
