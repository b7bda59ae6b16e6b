"""A flood of client connections that each always have a query open, from one or from thousands of addresses.

    python -m lichenquay.testbed.flood TARGET SECONDS CONNECTIONS ADDRESSES NUMBER

Prints one JSON line of counts at its end. NUMBER seeds the process and distinguishes its query ids.
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

RECONNECT_S = 0.1  # until a closed connection is opened again, whatever Retry-After says


class FloodConnection(Protocol):
    """One connection; sends a long report query whenever the one before is answered."""

    def __init__(self, flood):
        """Counts in `flood`."""
        self.flood, self.reader, self.stream = flood, frames.FrameReader(), 0
        self.opened_s, self.was_rejected = time.monotonic(), False

    def connectionMade(self):
        """Sends the first query."""
        self.flood.counts["connected"] += 1
        self.send_query()

    def send_query(self):
        """Sends the next query."""
        self.stream += 1
        self.flood.queries_sent += 1
        ref = f"f{self.flood.number:03x}{self.flood.queries_sent:012x}"
        task = Task(ref, "report", 400.0, 64.0, 2, 3, str(1 + self.flood.queries_sent % 40))
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
        """Counts answers; one on stream 0 rejects the connection."""
        for kind, stream, payload in self.reader.feed(data):
            if kind == frames.FrameType.ANSWER and stream == 0:
                self.was_rejected = True
                self.flood.rejection_ms.append((time.monotonic() - self.opened_s) * 1000)
            elif kind == frames.FrameType.ANSWER:
                self.flood.counts[f"code {payload[0]}"] += 1
                self.send_query()

    def connectionLost(self, reason):
        """Counts the end of the connection and opens another one later."""
        self.flood.counts["told and closed" if self.was_rejected else "closed without a word"] += 1
        self.flood.reconnect_later()


class Flood(ClientFactory):
    """Keeps a number of connections open to one gateway."""

    noisy = False

    def __init__(self, target, seconds, connections, addresses, number):
        """`target` is ADDRESS:PORT; `number` seeds the random generator."""
        self.host, _, port = target.rpartition(":")
        self.port, self.seconds, self.number = int(port), seconds, number
        self.connections, self.addresses = connections, addresses
        self.counts, self.rejection_ms, self.is_stopped = Counter(), [], False
        self.queries_sent = self.connections_made = 0
        self.rng = random.Random(number)

    def start(self):
        """Opens all connections within half a second and schedules the end."""
        for index in range(self.connections):
            reactor.callLater(0.5 * index / self.connections, self.connect)
        reactor.callLater(self.seconds, self.stop)

    def connect(self):
        """Opens a connection from a random source address of 127.0.0.0/8."""
        if not self.is_stopped:
            self.connections_made += 1
            address_number = self.rng.randrange(self.addresses)
            network, subnet = 50 + address_number // 62_500, address_number // 250 % 250
            source = f"127.{network}.{subnet}.{2 + address_number % 250}"
            reactor.connectTCP(self.host, self.port, self, timeout=5, bindAddress=(source, 0))

    def buildProtocol(self, address):
        """Returns the protocol of a new connection."""
        return FloodConnection(self)

    def clientConnectionFailed(self, connector, reason):
        """Counts a failed connection and tries again later."""
        self.counts["not connected"] += 1
        self.reconnect_later()

    def reconnect_later(self):
        """Schedules a new connection, unless the flood has ended."""
        if not self.is_stopped:
            reactor.callLater(RECONNECT_S * (0.5 + self.rng.random()), self.connect)

    def stop(self):
        """Prints the counts and ends the process."""
        self.is_stopped = True
        print(
            json.dumps(
                {
                    "asked": self.queries_sent,
                    "connections": self.connections_made,
                    **self.counts,
                    "refused_ms": sorted(self.rejection_ms),
                }
            ),
            flush=True,
        )
        reactor.stop()


def main():
    """Runs the flood that the command line describes."""
    target, seconds, connections, addresses, number = sys.argv[1], *map(float, sys.argv[2:6])
    flood = Flood(target, seconds, int(connections), int(addresses), int(number))
    reactor.callWhenRunning(flood.start)
    reactor.run()


if __name__ == "__main__":
    main()
