"""Subscribers without a gateway: the real code over UDP, with a record of all that each has applied."""

import random
import selectors
import socket
import threading
import time
from dataclasses import dataclass

from lichenquay.config.distribution_settings import distribution_fingerprint
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.subscriber import Subscriber
from lichenquay.fleet.errors import DroppedDatagramError
from lichenquay.fleet.message_envelope import Layer, MessageEnvelope

SETTINGS = Settings(report_ms=200.0, silent_ms=800.0, stale_ms=1200.0, expire_ms=3000.0, merge_ms=20.0)
PREFIXES = ["config/"]
REFUSED = b"refuse"  # A refusing subscriber does not apply a value that contains it.
POLL_INTERVAL_S = 0.02
MAX_READS = 64  # Datagrams that are read from one socket at once.


def clock_ms():
    """Returns the time of the monotonic clock in ms."""
    return time.monotonic() * 1000


@dataclass(frozen=True)
class Step:
    """What was applied in one step."""

    at_ms: float
    version: int
    digest: int
    changed: dict
    is_whole: bool


class RecordingSubscriber:
    """Runs one subscriber on its own socket. `steps` holds all that it has applied, in order."""

    def __init__(self, name, fleet, sources, addresses, seed, refuses=False):
        """`sources`: in order of preference. `addresses`: {source: (host, port)}."""
        self.name = name
        self.addresses = addresses
        self.refuses = refuses
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.address = self.socket.getsockname()
        self.steps = []
        self.refusals = 0
        self.paused_until_ms = 0.0
        self.read_interval_ms = 0.0
        self.next_read_ms = 0.0
        layers = {Layer.DISTRIBUTION: distribution_fingerprint(fleet)}
        self.envelope = MessageEnvelope(fleet, 0, name, (), layers)
        self.incarnation = int(time.time() * 1000)
        rng = random.Random(f"{seed}:{name}")
        self.subscriber = Subscriber(name, sources, PREFIXES, rng, SETTINGS, clock_ms(), self.apply)

    def apply(self, now_ms, changed, is_whole):
        """Records all values as applied, or returns the reason to refuse them."""
        if self.refuses and any(REFUSED in value for value in changed.values() if value):
            self.refusals += 1
            return "a value that is refused here"
        version, digest = self.subscriber.version, self.subscriber.digest
        self.steps.append(Step(now_ms, version, digest, dict(changed), is_whole))
        return None

    def is_fresh(self):
        """Returns whether its version was confirmed within `stale_ms`."""
        return not self.subscriber.is_stale(clock_ms())

    def values(self):
        """Returns {key: value} in force."""
        return dict(self.subscriber.applied_values)

    def first_applied_ms(self, key, value):
        """Returns when a value was first in force here, None if it never was."""
        return next((step.at_ms for step in self.steps if step.changed.get(key) == value), None)

    # Called in the reader thread.

    def run_once(self):
        """Handles the datagrams that it reads now, and runs due work."""
        now_ms = clock_ms()
        for data in self._receive(now_ms):
            try:
                name, incarnation, _, body = self.envelope.open(data)
            except DroppedDatagramError:  # Sent by another test.
                continue
            self.subscriber.on_message(clock_ms(), (name, incarnation), pb.Message.FromString(body))
        if now_ms >= self.paused_until_ms and self.subscriber.due_ms <= now_ms:
            self.subscriber.tick(now_ms)
        self._send()

    def _receive(self, now_ms):
        if now_ms < max(self.paused_until_ms, self.next_read_ms):
            return
        self.next_read_ms = now_ms + self.read_interval_ms
        for _ in range(1 if self.read_interval_ms else MAX_READS):
            try:
                yield self.socket.recv(2048)
            except BlockingIOError:
                return

    def _send(self):
        sent = list(self.subscriber.outbox)
        self.subscriber.outbox.clear()
        for name, message in sent:
            body = message.SerializeToString()
            data = self.envelope.seal(self.incarnation, name, Layer.DISTRIBUTION, body)
            self.socket.sendto(data, self.addresses[name])


class ReaderThread(threading.Thread):
    """Runs all subscribers of one test."""

    def __init__(self):
        """Starts without subscribers."""
        super().__init__(daemon=True, name="subscribers")
        self.subscribers = []
        self.stopped = threading.Event()
        self.error = None
        self.poll = selectors.DefaultSelector()

    def add(self, subscriber):
        """Adds a subscriber; to be called before `start`."""
        self.subscribers.append(subscriber)
        self.poll.register(subscriber.socket, selectors.EVENT_READ, subscriber)

    def run(self):
        """Runs until `stop`, which raises the exception that ended this thread."""
        try:
            while not self.stopped.is_set():
                if not self.poll.select(POLL_INTERVAL_S):
                    self.stopped.wait(0.001)
                for subscriber in self.subscribers:
                    subscriber.run_once()
                self.stopped.wait(0.002)  # A slow reader's socket is always ready.
        except Exception as error:
            self.error = error

    def stop(self):
        """Stops the thread and closes all sockets; raises the exception that ended the thread, if any."""
        self.stopped.set()
        if self.is_alive():
            self.join(5)
        for subscriber in self.subscribers:
            subscriber.socket.close()
        self.poll.close()
        if self.error is not None:
            raise self.error
