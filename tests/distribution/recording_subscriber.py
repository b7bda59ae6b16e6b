"""Subscribers without a front: the real decisions over real UDP, and all that each of them put in force."""

import random
import selectors
import socket
import threading
import time
from dataclasses import dataclass

from lichenquay.config.control_settings import distribution_fingerprint
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.subscriber import Subscriber
from lichenquay.fleet.message_envelope import DISTRIBUTION, Dropped, Envelope

SETTINGS = Settings(report_ms=200.0, silent_ms=800.0, stale_ms=1200.0, expire_ms=3000.0, merge_ms=20.0)
PREFIXES = ["config/"]
REFUSED = b"refuse"  # in a value: a subscriber that refuses does not put it in force
TURN_S = 0.02
MOST_AT_ONCE = 64  # datagrams of one socket in a turn


def clock_ms():
    """Of all in this process."""
    return time.monotonic() * 1000


@dataclass(frozen=True)
class Step:
    """What was put in force at once."""

    at_ms: float
    version: int
    digest: int
    changed: dict
    whole: bool


class RecordingSubscriber:
    """One subscriber on a socket of its own. `steps`: all that it put in force, in order."""

    def __init__(self, name, fleet, sources, addresses, seed, refuses=False):
        """sources: in order of preference. addresses: {source: (host, port)}."""
        self.name, self.addresses, self.refuses = name, addresses, refuses
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.address = self.socket.getsockname()
        self.steps, self.refusals, self.deaf_until_ms = [], 0, 0.0
        self.read_each_ms, self.read_at_ms = 0.0, 0.0
        layers = {DISTRIBUTION: distribution_fingerprint(fleet)}
        self.envelope = Envelope(fleet, 0, name, (), layers)
        self.incarnation = int(time.time() * 1000)
        rng = random.Random(f"{seed}:{name}")
        self.subscriber = Subscriber(name, sources, PREFIXES, rng, SETTINGS, clock_ms(), self.apply)

    def apply(self, now_ms, changed, whole):
        """As a front does: all of it, or a line that says why not."""
        if self.refuses and any(REFUSED in value for value in changed.values() if value):
            self.refusals += 1
            return "a value that is refused here"
        held = self.subscriber
        self.steps.append(Step(now_ms, held.version, held.digest, dict(changed), whole))
        return None

    def is_fresh(self):
        """Whether it was confirmed lately."""
        return not self.subscriber.is_stale(clock_ms())

    def values(self):
        """{key: value} in force."""
        return dict(self.subscriber.applied_values)

    def first_ms(self, key, value):
        """When that value was first in force here; None: never."""
        return next((step.at_ms for step in self.steps if step.changed.get(key) == value), None)

    # turns, in the reading thread

    def turn(self):
        """What came, as far as this one reads now, and what is due."""
        now_ms = clock_ms()
        for data in self._come(now_ms):
            try:
                name, incarnation, _, body = self.envelope.open(data)
            except Dropped:  # of another test
                continue
            self.subscriber.heard(clock_ms(), (name, incarnation), pb.Message.FromString(body))
        if now_ms >= self.deaf_until_ms and self.subscriber.due_ms <= now_ms:
            self.subscriber.tick(now_ms)
        self._send()

    def _come(self, now_ms):
        if now_ms < max(self.deaf_until_ms, self.read_at_ms):
            return
        self.read_at_ms = now_ms + self.read_each_ms
        for _ in range(1 if self.read_each_ms else MOST_AT_ONCE):
            try:
                yield self.socket.recv(2048)
            except BlockingIOError:
                return

    def _send(self):
        sent = list(self.subscriber.outbox)
        self.subscriber.outbox.clear()
        for name, message in sent:
            body = message.SerializeToString()
            data = self.envelope.seal(self.incarnation, name, DISTRIBUTION, body)
            self.socket.sendto(data, self.addresses[name])


class ReaderThread(threading.Thread):
    """Reads for all subscribers of one test."""

    def __init__(self):
        """Begins with `start`."""
        super().__init__(daemon=True, name="subscribers")
        self.subscribers, self.stopped, self.fault = [], threading.Event(), None
        self.poll = selectors.DefaultSelector()

    def add(self, subscriber):
        """Before `start`."""
        self.subscribers.append(subscriber)
        self.poll.register(subscriber.socket, selectors.EVENT_READ, subscriber)

    def run(self):
        """Until `stop`; a fault is kept, and told by it."""
        try:
            while not self.stopped.is_set():
                if not self.poll.select(TURN_S):
                    self.stopped.wait(0.001)
                for subscriber in self.subscribers:
                    subscriber.turn()
                self.stopped.wait(0.002)  # risk: one that reads slowly is always ready
        except Exception as fault:  # told to the test by `stop`
            self.fault = fault

    def stop(self):
        """All sockets are closed. Raises what ended the thread."""
        self.stopped.set()
        if self.is_alive():
            self.join(5)
        for subscriber in self.subscribers:
            subscriber.socket.close()
        self.poll.close()
        if self.fault is not None:
            raise self.fault
