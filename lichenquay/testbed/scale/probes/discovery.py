"""Measures following the list of engines: a whole list by its engines, and polling while nothing changes."""

import json
from collections.abc import Sequence

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from lichenquay.gateway.discovery import Discovery
from lichenquay.gateway.discovery_connection import POLL_WAIT_MS, DiscoveryConnection
from lichenquay.gateway.engine_pool import GatewayEngine
from lichenquay.gateway.http import ReplyError, ReplyReader
from lichenquay.testbed.scale.sample import Progress, Sample, measure_processor_ms, measure_state_bytes

RUNS = 3
IDLE_POLLS = 20  # Polls without changes, one a second.
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"


def encode_whole_list(engines: int, number: int = 1) -> bytes:
    """Returns the discovery service's answer with one event: a whole list, in its wire format."""
    targets = [
        {
            "uid": f"{i:08x}-aa9c-4d52",
            "endpoint": f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:8123",
            "az": f"region-{i % 3}-zone-{i % 12}",
            "model": "usual",
            "pod_group": i % 64,
            "state": "SERVING",
            "capacity_hint": 1.0,
            "boot_ms": 1_790_000_000_000 + i,
        }
        for i in range(engines)
    ]
    item = {"no": number, "roster": {"all": True, "targets": targets}}
    return json.dumps({"no": number, "items": [item]}, separators=(",", ":")).encode()


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: engines. Nothing here is random: the seed is not used."""
    samples = []
    for done, size in enumerate(sizes):
        samples += [*measure_list(size), *measure_idle(size)]
        progress((done + 1) / len(sizes))
    return samples


def measure_list(size: int) -> list[Sample]:
    """Measures the processor time from an answer's bytes to rows, the answer's length, whether a gateway
    accepts it, and the state.
    """
    body, times = encode_whole_list(size), []
    rows = []

    def follow() -> None:
        rows.clear()
        discovery = Discovery({"no": 0, "items": []}, lambda whole, row: rows.append(row), lambda *_: None)
        discovery.on_answer(json.loads(body))

    for _ in range(RUNS):
        times.append(measure_processor_ms(follow))
    follow()
    _, state_size = measure_state_bytes(lambda: engines_of(rows[0]))
    return [
        Sample(size, "discovery.whole_list", "ms", tuple(times)),
        Sample(size, "discovery.body", "bytes", (float(len(body)),)),
        Sample(size, "discovery.engines", "bytes", (float(state_size),)),
        Sample(size, "discovery.accepted", "0 or 1", (float(is_accepted(body)),)),
    ]


def engines_of(rows: list[tuple]) -> dict[str, GatewayEngine]:
    """Returns the engines as a gateway's service holds them, without connections."""
    return {
        uid: GatewayEngine(uid, zone, kind, cell, state, weight, started, address=address)
        for uid, address, zone, kind, cell, state, weight, started in rows
    }


def is_accepted(body: bytes) -> bool:
    """Whether the gateway's reader accepts an answer of this length (http.MAX_BODY_BYTES)."""
    try:
        reply = ReplyReader().feed(HEAD % len(body) + body)
    except ReplyError:
        return False
    return reply is not None and len(reply.body) == len(body)


class IdleOwner:
    """The owner that a connection requires, with a current list, on a clock that is advanced by hand."""

    def __init__(self, clock: Clock):
        """Starts with a list that was received already."""
        self.reactor, self.host = clock, "127.0.0.1:80"
        self.discovery = Discovery({"no": 1, "items": []}, lambda *_: None, lambda *_: None)
        self.discovery.on_answer({"no": 1, "items": []})

    def now_ms(self) -> float:
        """Returns the time of the clock, in ms."""
        return self.reactor.seconds() * 1_000

    def next_poll_wait_ms(self) -> int:
        """Returns the wait of a poll while the list is current."""
        return POLL_WAIT_MS

    def on_answered(self, connection: DiscoveryConnection) -> None:
        """Does nothing: the list stays current."""


def measure_idle(size: int) -> list[Sample]:
    """Measures one idle gateway's calls and bytes a second; the service answers when the poll's wait time
    ends.
    """
    clock, transport = Clock(), StringTransport()
    connection = DiscoveryConnection(IdleOwner(clock))
    transport.setTcpKeepAlive = transport.setTcpNoDelay = lambda on: None
    answer = b'{"no":1,"items":[]}'
    answer = HEAD % len(answer) + answer
    connection.makeConnection(transport)
    calls = sent = 0
    for _ in range(IDLE_POLLS):
        request_bytes = transport.value()
        transport.clear()
        calls, sent = calls + request_bytes.count(b"GET "), sent + len(request_bytes)
        clock.advance(connection.poll_wait_ms / 1_000)
        connection.dataReceived(answer)
    connection.stop_timer()
    return [
        Sample(size, "discovery.idle_calls", "1/s", (calls / IDLE_POLLS,)),
        Sample(size, "discovery.idle_bytes_out", "B/s", (sent / IDLE_POLLS,)),
        Sample(size, "discovery.idle_bytes_in", "B/s", (len(answer) * calls / IDLE_POLLS,)),
    ]
