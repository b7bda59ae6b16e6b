"""A relay between any two gateways that impairs each direction separately: it loses, delays, duplicates,
reorders, cuts or changes datagrams.

Gateway `a` sends datagrams for `b` to a relay socket of that pair, and the relay forwards them to the port on
which `b` listens. The random generator has a seed. One thread; 127.0.0.1 only.
"""

import heapq
import random
import selectors
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass


@dataclass
class Link:
    """The impairments of one direction. Shares are from 0 to 1, times in ms."""

    loss: float = 0.0
    double: float = 0.0
    least_ms: float = 0.0
    most_ms: float = 0.0  # the delay is drawn between the two, so datagrams are reordered
    cut: bool = False
    change: object = None  # called with each datagram; returns the list of datagrams to send in its place
    forwarded: int = 0
    dropped: int = 0


class Relay(threading.Thread):
    """The relay's thread. `targets` are the gateways' own addresses."""

    def __init__(self, names, seed):
        """Binds a socket for each pair of names."""
        super().__init__(daemon=True, name="relay")
        self.rng, self.links, self.sockets, self.targets = random.Random(seed), {}, {}, {}
        self.selector, self.stopped = selectors.DefaultSelector(), threading.Event()
        self.delayed, self.delayed_count = [], 0
        for a in names:
            for b in names:
                if a != b:
                    relay_socket = self.sockets[a, b] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    relay_socket.bind(("127.0.0.1", 0))
                    relay_socket.setblocking(False)
                    self.links[a, b] = Link()
                    self.selector.register(relay_socket, selectors.EVENT_READ, (a, b))

    def address(self, a, b):
        """Returns the address to which `a` sends datagrams for `b`."""
        return f"127.0.0.1:{self.sockets[a, b].getsockname()[1]}"

    def between(self, some, others, both=True):
        """Returns the links from `some` to `others`, and with `both` those back."""
        pairs = [(a, b) for a in some for b in others if a != b]
        return [self.links[p] for p in pairs + [(b, a) for a, b in pairs] * both]

    def cut(self, some, others, both=True, on=True):
        """Cuts the links from `some` to `others`, or restores them if `on` is false."""
        for link in self.between(some, others, both):
            link.cut = on

    def heal(self):
        """Removes all impairments."""
        for link in self.links.values():
            link.loss = link.double = link.least_ms = link.most_ms = 0.0
            link.cut, link.change = False, None

    def set(self, **values):
        """Sets these fields of all links."""
        for link in self.links.values():
            for name, value in values.items():
                setattr(link, name, value)

    def run(self):
        """Forwards datagrams until the relay is closed."""
        while not self.stopped.is_set():
            timeout_s = min(0.05, max(0.0, self.delayed[0][0] - time.monotonic())) if self.delayed else 0.05
            for key, _ in self.selector.select(timeout_s):
                for _ in range(64):
                    try:
                        data = key.fileobj.recv(65_536)
                    except OSError:
                        break
                    self.receive(key.data, data)
            while self.delayed and self.delayed[0][0] <= time.monotonic():
                _, _, pair, data = heapq.heappop(self.delayed)
                self.send(pair, data)

    def receive(self, pair, data):
        """Drops, delays or forwards one datagram, as its link is set."""
        link, draw = self.links[pair], self.rng.random
        if link.cut or draw() < link.loss:
            link.dropped += 1
            return
        for changed in link.change(data) if link.change else [data]:
            for _ in range(2 if draw() < link.double else 1):
                delay_ms = link.least_ms + draw() * (link.most_ms - link.least_ms)
                if delay_ms <= 0:
                    self.send(pair, changed)
                else:
                    self.delayed_count += 1
                    heapq.heappush(
                        self.delayed, (time.monotonic() + delay_ms / 1000, self.delayed_count, pair, changed)
                    )

    def send(self, pair, data):
        """Forwards a datagram to its receiver."""
        self.links[pair].forwarded += 1
        with suppress(OSError):  # the receiver may not be listening now
            self.sockets[pair].sendto(data, self.targets[pair[1]])

    def close(self):
        """Stops the thread and closes all sockets."""
        self.stopped.set()
        self.join(5)
        for relay_socket in self.sockets.values():
            relay_socket.close()
        self.selector.close()
