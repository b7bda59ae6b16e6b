"""What following the list of engines costs: a whole list by engines, and asking when nothing changes."""

import json
from collections.abc import Sequence

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from lichenquay.gateway.discovery import Discovery, DiscoveryConnection
from lichenquay.gateway.engine_pool import GatewayEngine
from lichenquay.gateway.http import ReplyError, ReplyReader
from lichenquay.testbed.scale.sample import Progress, Sample, processor_ms, state_bytes

RUNS = 3
IDLE_S = 20  # of following without news
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"


def whole_list(engines: int, number: int = 1) -> bytes:
    """The bulletin's answer with one event: a whole list, as its protocol writes it."""
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
    """`sizes`: engines. Nothing here is left to chance: the seed is not used."""
    samples = []
    for done, size in enumerate(sizes):
        samples += [*measure_list(size), *measure_idle(size)]
        progress((done + 1) / len(sizes))
    return samples


def measure_list(size: int) -> list[Sample]:
    """Processor time from an answer's bytes to rows; its length; whether a front reads it; state."""
    body, times = whole_list(size), []
    rows = []

    def follow() -> None:
        rows.clear()
        following = Discovery({"no": 0, "items": []}, lambda whole, row: rows.append(row), lambda *_: None)
        following.on_answer(json.loads(body))

    for _ in range(RUNS):
        times.append(processor_ms(follow))
    follow()
    _, held = state_bytes(lambda: engines_of(rows[0]))
    return [
        Sample(size, "discovery.whole_list", "ms", tuple(times)),
        Sample(size, "discovery.body", "bytes", (float(len(body)),)),
        Sample(size, "discovery.engines", "bytes", (float(held),)),
        Sample(size, "discovery.accepted", "0 or 1", (float(accepted(body)),)),
    ]


def engines_of(rows: list[tuple]) -> dict[str, GatewayEngine]:
    """The engines as a front's service keeps them, with connections to none of them."""
    return {
        uid: GatewayEngine(uid, place, kind, cell, state, units, started, address=address)
        for uid, address, place, kind, cell, state, units, started in rows
    }


def accepted(body: bytes) -> bool:
    """Whether the front's reader takes an answer of this length (http.MAX_BODY_BYTES)."""
    try:
        reply = ReplyReader().feed(HEAD % len(body) + body)
    except ReplyError:
        return False
    return reply is not None and len(reply.body) == len(body)


class IdleFactory:
    """What a connection needs of its factory, on a clock that is driven by hand."""

    def __init__(self, clock: Clock):
        """A list that was told already."""
        self.reactor, self.host, self.stopped = clock, "127.0.0.1:80", False
        self.discovery = Discovery({"no": 1, "items": []}, lambda *_: None, lambda *_: None)
        self.discovery.on_answer({"no": 1, "items": []})


def measure_idle(size: int) -> list[Sample]:
    """Calls and bytes a second of one front in calm; the bulletin answers when its patience is over."""
    clock, transport = Clock(), StringTransport()
    connection = DiscoveryConnection(IdleFactory(clock))
    transport.setTcpKeepAlive = transport.setTcpNoDelay = lambda on: None
    answer = b'{"no":1,"items":[]}'
    answer = HEAD % len(answer) + answer
    connection.makeConnection(transport)
    calls = sent = 0
    for _ in range(IDLE_S):
        asked = transport.value()
        transport.clear()
        calls, sent = calls + asked.count(b"GET "), sent + len(asked)
        clock.advance(connection.poll_wait_ms / 1_000)
        connection.dataReceived(answer)
    connection.stop_timer()
    return [
        Sample(size, "discovery.idle_calls", "1/s", (calls / IDLE_S,)),
        Sample(size, "discovery.idle_bytes_out", "B/s", (sent / IDLE_S,)),
        Sample(size, "discovery.idle_bytes_in", "B/s", (len(answer) * calls / IDLE_S,)),
    ]
