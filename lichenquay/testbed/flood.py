"""A flood against the gate: many connections that always have a query open, thousands of addresses, or none, while known
depot clients open a connection for each manifest. The flood's own clients are plain sockets in processes of their own.

    python -m lichenquay.testbed.flood TARGET SECONDS CONNECTIONS ADDRESSES
"""

import json
import random
import sys
import time
from collections import Counter

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.gateway import frames
from lichenquay.load.task import Task, encode_statement

AGAIN_S = 0.1  # before a refused one comes back, whatever it was told


class Flooder(Protocol):
    """Asks one long report after the other on one connection."""

    def __init__(self, flood):
        self.flood, self.reader, self.stream, self.begun_s, self.told = (
            flood,
            frames.FrameReader(),
            0,
            time.monotonic(),
            False,
        )

    def connectionMade(self):
        self.flood.count["connected"] += 1
        self.ask()

    def ask(self):
        self.stream += 1
        self.flood.asked += 1
        ref = f"f{self.flood.number:03x}{self.flood.asked:012x}"
        task = Task(ref, "report", 400.0, 64.0, 2, 3, str(1 + self.flood.asked % 40))
        fields = frames.encode_fields(
            [
                ("service", "report"),
                ("ref", ref),
                ("allow", "4000"),
                ("project", "west"),
                ("effort", "400"),
                ("memory", "64"),
            ]
        )
        self.transport.write(
            frames.encode_frame(frames.FrameType.QUERY, self.stream, fields, encode_statement(task))
        )

    def dataReceived(self, data):
        for kind, stream, payload in self.reader.feed(data):
            if kind == frames.FrameType.ANSWER and stream == 0:
                self.told = True
                self.flood.refused.append((time.monotonic() - self.begun_s) * 1000)
            elif kind == frames.FrameType.ANSWER:
                self.flood.count[f"code {payload[0]}"] += 1
                self.ask()

    def connectionLost(self, reason):
        self.flood.count["told and closed" if self.told else "closed without a word"] += 1
        self.flood.again()


class Flood(ClientFactory):
    noisy = False

    def __init__(self, target, seconds, connections, addresses, number):
        self.host, _, port = target.rpartition(":")
        self.port, self.seconds, self.connections, self.addresses, self.number = (
            int(port),
            seconds,
            connections,
            addresses,
            number,
        )
        self.count, self.refused, self.asked, self.over, self.made = Counter(), [], 0, False, 0
        self.chance = random.Random(number)

    def start(self):
        for i in range(self.connections):
            reactor.callLater(0.5 * i / self.connections, self.connect)
        reactor.callLater(self.seconds, self.stop)

    def connect(self):
        if not self.over:
            self.made += 1
            n = self.chance.randrange(self.addresses)
            source = f"127.{50 + n // 62_500}.{n // 250 % 250}.{2 + n % 250}"
            reactor.connectTCP(self.host, self.port, self, timeout=5, bindAddress=(source, 0))

    def buildProtocol(self, address):
        return Flooder(self)

    def clientConnectionFailed(self, connector, reason):
        self.count["not connected"] += 1
        self.again()

    def again(self):
        if not self.over:
            reactor.callLater(AGAIN_S * (0.5 + self.chance.random()), self.connect)

    def stop(self):
        self.over = True
        print(
            json.dumps(
                {
                    "asked": self.asked,
                    "connections": self.made,
                    **self.count,
                    "refused_ms": sorted(self.refused),
                }
            ),
            flush=True,
        )
        reactor.stop()


def main():
    target, seconds, connections, addresses, number = sys.argv[1], *map(float, sys.argv[2:6])
    flood = Flood(target, seconds, int(connections), int(addresses), int(number))
    reactor.callWhenRunning(flood.start)
    reactor.run()


if __name__ == "__main__":
    main()
