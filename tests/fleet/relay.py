"""A relay of ours between any two fronts: each direction by itself loses, delays, doubles, reorders, cuts or changes datagrams.

Front `a` sends what is for `b` to a socket of the relay's that is theirs alone, and the relay sends it on to where `b` listens. All
chance is drawn from a seed. One thread; traffic on 127.0.0.1 only.
"""

import heapq
import random
import selectors
import socket
import threading
import time
from dataclasses import dataclass


@dataclass
class Link:
    """One direction. Shares are of 1, times in milliseconds."""

    loss: float = 0.0
    double: float = 0.0
    least_ms: float = 0.0
    most_ms: float = 0.0  # drawn between the two, so that datagrams overtake each other
    cut: bool = False
    change: object = None  # called with each datagram; gives what goes on in its place: a list
    forwarded: int = 0
    dropped: int = 0


class Relay(threading.Thread):
    def __init__(self, names, seed):
        super().__init__(daemon=True, name="relay")
        self.chance, self.links, self.sockets, self.targets = random.Random(seed), {}, {}, {}
        self.poll, self.late, self.numbers, self.stopped = (
            selectors.DefaultSelector(),
            [],
            0,
            threading.Event(),
        )
        for a in names:
            for b in names:
                if a != b:
                    s = self.sockets[a, b] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    s.bind(("127.0.0.1", 0))
                    s.setblocking(False)
                    self.links[a, b] = Link()
                    self.poll.register(s, selectors.EVENT_READ, (a, b))

    def address(self, a, b):
        """Where `a` sends what is for `b`."""
        return "127.0.0.1:%d" % self.sockets[a, b].getsockname()[1]

    def between(self, some, others, both=True):
        """The links from some to others, and back."""
        pairs = [(a, b) for a in some for b in others if a != b]
        return [self.links[p] for p in pairs + [(b, a) for a, b in pairs] * both]

    def cut(self, some, others, both=True, on=True):
        for link in self.between(some, others, both):
            link.cut = on

    def heal(self):
        for link in self.links.values():
            link.loss = link.double = link.least_ms = link.most_ms = 0.0
            link.cut, link.change = False, None

    def set(self, **what):
        for link in self.links.values():
            for name, value in what.items():
                setattr(link, name, value)

    def run(self):
        while not self.stopped.is_set():
            wait = min(0.05, max(0.0, self.late[0][0] - time.monotonic())) if self.late else 0.05
            for key, _ in self.poll.select(wait):
                for _ in range(64):
                    try:
                        data = key.fileobj.recv(65_536)
                    except OSError:
                        break
                    self.take(key.data, data)
            while self.late and self.late[0][0] <= time.monotonic():
                _, _, pair, data = heapq.heappop(self.late)
                self.send(pair, data)

    def take(self, pair, data):
        link, draw = self.links[pair], self.chance.random
        if link.cut or draw() < link.loss:
            link.dropped += 1
            return
        for data in link.change(data) if link.change else [data]:
            for _ in range(2 if draw() < link.double else 1):
                wait_ms = link.least_ms + draw() * (link.most_ms - link.least_ms)
                if wait_ms <= 0:
                    self.send(pair, data)
                else:
                    self.numbers += 1
                    heapq.heappush(self.late, (time.monotonic() + wait_ms / 1000, self.numbers, pair, data))

    def send(self, pair, data):
        self.links[pair].forwarded += 1
        try:
            self.sockets[pair].sendto(data, self.targets[pair[1]])
        except OSError:  # nobody listens there now
            pass

    def close(self):
        self.stopped.set()
        self.join(5)
        for s in self.sockets.values():
            s.close()
        self.poll.close()
