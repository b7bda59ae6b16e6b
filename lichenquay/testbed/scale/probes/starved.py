"""Measures whether a gateway's fleet runtime still runs its timer under many messages: ticks and messages
sent.
"""

from collections.abc import Sequence
from typing import Any

from twisted.internet.task import Clock

from lichenquay.config.reader import read_settings
from lichenquay.fleet.gateway_runtime import GatewayRuntime
from lichenquay.fleet.message_envelope import Layer
from lichenquay.membership import members_pb2 as pb
from lichenquay.testbed.scale.sample import Progress, Sample

GATEWAYS, INCARNATION = 8, 2_000_000
WARM_UP_MS, STEP_MS, MEASURED_S = 2_000.0, 10.0, 1.0


class Reactor(Clock):
    """A clock advanced by hand that opens no socket."""

    def listenUDP(self, *_: Any, **__: Any) -> None:
        """Does nothing."""


class NullLog:
    """A log, and a transport, that discard everything."""

    def bind(self, **_: Any) -> "NullLog":
        """Returns itself."""
        return self

    def info(self, *_: Any, **__: Any) -> None:
        """Discards the entry or datagram."""

    warning = write = info


class PingedGateway:
    """Runs one gateway's fleet runtime that knows its peers and receives their pings at a steady rate."""

    def __init__(self, seed: int):
        """Starts the runtime and runs the warm-up."""
        names = [f"front-{i}" for i in range(GATEWAYS)]
        self.peers = names[1:]
        peers = "".join(
            f'peers {{ name: "{n}" address: "127.0.0.1:{9_001 + i}" }} ' for i, n in enumerate(self.peers)
        )
        text = f'fleet {{ fleet: "scale" name: "{names[0]}" listen: "127.0.0.1:9000" {peers} }}'
        self.clock, self.tick_count = Reactor(), 0
        self.fleet = GatewayRuntime(
            self.clock,
            read_settings(text).fleet,
            seed,
            lambda: False,
            now_ms=lambda: self.clock.seconds() * 1_000 + 1,
            unix_ms=lambda: INCARNATION / 2,
            log=NullLog(),
        )
        self.fleet.open()
        self.fleet.datagrams.transport = NullLog()
        self.fleet.begin()
        for name in self.peers:
            self.receive(name, pb.Message(gossip=pb.Gossip()))
        for _ in range(round(WARM_UP_MS / STEP_MS)):
            self.clock.advance(STEP_MS / 1_000)
        self.tick, self.fleet.detector.tick = self.fleet.detector.tick, self.count_tick

    def count_tick(self, now_ms: float) -> None:
        """Counts a tick, and runs the failure detector's own."""
        self.tick_count += 1
        self.tick(now_ms)

    def receive(self, name: str, message: pb.Message) -> None:
        """Delivers one message of a peer."""
        self.fleet.on_message(Layer.MEMBERS, (name, INCARNATION), message)


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: messages received a second."""
    samples = []
    for done, size in enumerate(sizes):
        gateway = PingedGateway(seed)
        before = gateway.fleet.datagrams.counters["datagrams sent"]
        for number in range(round(size * MEASURED_S)):
            ping = pb.Ping(no=number + 1, name=gateway.fleet.settings.name)
            gateway.receive(gateway.peers[number % len(gateway.peers)], pb.Message(ping=ping))
            gateway.clock.advance(1 / size)
        sent = gateway.fleet.datagrams.counters["datagrams sent"] - before
        samples += [
            Sample(size, "starved.turns", "1/s", (gateway.tick_count / MEASURED_S,)),
            Sample(size, "starved.sent", "1/s", (sent / MEASURED_S,)),
        ]
        progress((done + 1) / len(sizes))
    return samples
