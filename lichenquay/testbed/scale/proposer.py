"""Runs the client of a scale run in a thread of the run's own process, on one UDP socket."""

import random
import socket
import threading

from google.protobuf.message import DecodeError

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.fleet.errors import DroppedDatagramError
from lichenquay.fleet.message_envelope import MAX_DATAGRAM_BYTES, Layer, MessageEnvelope
from lichenquay.fleet.runtime import boot_ms
from lichenquay.testbed.scale.client import ProposerClient, TimedProposal
from lichenquay.testbed.scale.world_spec import CLIENT, FLEET, OPEN_LAYERS, WorldSpec

RECEIVE_TIMEOUT_S = 0.01  # Receive timeout, and so the interval between ticks.
INCARNATION = 1


class Proposer:
    """Runs a ProposerClient in a thread; `make_entries` is as there. Every method may be called from
    any thread.
    """

    def __init__(self, spec: WorldSpec, make_entries):
        """Opens the socket; `start` starts the thread."""
        self.spec = spec
        rng = random.Random(f"{spec.shape.seed}/proposer")
        self.client = ProposerClient(spec.shape.publisher_names(), rng, make_entries)
        self.envelope = MessageEnvelope(FLEET, 0, CLIENT, (), OPEN_LAYERS)
        self.lock = threading.Lock()
        self.ending = threading.Event()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.settimeout(RECEIVE_TIMEOUT_S)
        self.thread = threading.Thread(target=self._run, name="proposer", daemon=True)

    def start(self):
        """Starts sending and receiving."""
        self.thread.start()

    def close(self):
        """Ends the thread and closes the socket."""
        self.ending.set()
        if self.thread.is_alive():
            self.thread.join(2.0)
        self.socket.close()

    def propose(self, entries) -> TimedProposal:
        """Queues a change, as ProposerClient does."""
        with self.lock:
            return self.client.propose(entries)

    def set_rate(self, per_s: float):
        """Sets the rate of changes a second from now on, as ProposerClient does."""
        with self.lock:
            self.client.set_rate(boot_ms(), per_s)

    def is_idle(self) -> bool:
        """Whether the outcome of every change is known."""
        with self.lock:
            return self.client.is_idle

    def newest_version(self) -> int:
        """Returns the highest accepted version."""
        with self.lock:
            return self.client.newest_version()

    @property
    def leader(self) -> str:
        """Returns the publisher to which proposals are sent now."""
        return self.client.leader

    @property
    def proposals(self) -> list[TimedProposal]:
        """Returns all proposals; to be read only when no more are made."""
        return self.client.proposals

    def _run(self):
        while not self.ending.is_set():
            with self.lock:
                if self.client.due_ms <= boot_ms():
                    self.client.tick(boot_ms())
                sent, self.client.outbox = self.client.outbox, []
            for name, message in sent:
                self._send(name, message)
            self._receive()

    def _send(self, name, message):
        datagram = self.envelope.seal(INCARNATION, name, Layer.DISTRIBUTION, message.SerializeToString())
        try:
            self.socket.sendto(datagram, self.spec.addresses[name])
        except OSError:  # Treated as a lost datagram, which is retried.
            return

    def _receive(self):
        try:
            datagram, _ = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            name, incarnation, _, body = self.envelope.open(datagram)
            message = pb.Message.FromString(body)
        except (OSError, DroppedDatagramError, DecodeError):  # Timeout, or an invalid datagram.
            return
        with self.lock:
            self.client.on_message(boot_ms(), (name, incarnation), message)
