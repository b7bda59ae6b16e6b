"""Runtime that voters and relays share: socket, store, timer and log around state machines without I/O."""

import random
import socket
from abc import ABC, abstractmethod

from lichenquay.config.control_settings import find_warnings, group_fingerprint, region_of
from lichenquay.config.distribution_settings import distribution_fingerprint, distribution_settings
from lichenquay.config.process_entries import parse_address
from lichenquay.distribution import distribution_pb2
from lichenquay.fleet.addresses import ADDRESS_EXPIRY_MS, Addresses
from lichenquay.fleet.datagram_transport import DatagramTransport
from lichenquay.fleet.message_envelope import Layer, MessageEnvelope
from lichenquay.fleet.runtime import Environment, Identity, Runtime, boot_ms, json_logger

# The store divides its capacity into eight shares; one share holds two states of the lease group.
MAX_FOLDER_BYTES = 256 << 20
# Holds the answers of all subscribers to one delta while this process is busy; the system may allow less.
RECEIVE_BUFFER_BYTES = 4 << 20
MAX_LEAVE_MS = 1500.0  # Time to release the lease and to notify the other voters.
MIN_LOG_INTERVAL_MS = 1000.0  # Between two log lines about the version, or about discovery.
RNG_SEED_BITS = 128


class ControlRuntime(Runtime, ABC):
    """Base class of control processes. A subclass sets `role`, and creates the components of its role."""

    role: str
    message_types = {Layer.DISTRIBUTION: distribution_pb2.Message}

    def __init__(self, reactor, process_settings, log=None):
        """Opens nothing yet.

        process_settings: the checked settings file of one control process. log: a structlog logger; by
        default JSON lines on standard error.
        """
        self.settings = process_settings.control
        self.protocol_settings = distribution_settings(self.settings.figures)
        self.warnings = find_warnings(process_settings)
        self.rng = random.Random(random.SystemRandom().getrandbits(RNG_SEED_BITS))
        self.addresses = self._make_addresses()
        self.leave_deadline_ms: float | None = None
        self.logged_version = 0
        self.version_logged_ms = float("-inf")
        datagrams = DatagramTransport(
            _make_envelope(self.settings),
            self.addresses,
            self.message_types,
            self.on_message,
            self.addresses.learn,
        )
        process_log = (log or json_logger()).bind(process=self.settings.name)
        super().__init__(Environment(reactor), self._make_identity(), datagrams, process_log)

    def _make_identity(self):
        settings = self.settings
        return Identity(settings.fleet, settings.name, settings.listen, settings.folder, MAX_FOLDER_BYTES)

    def _make_addresses(self):
        """Returns a table with room for all sessions, and as many clients and earlier starts.

        No address expires before its session.
        """
        expire_ms = max(ADDRESS_EXPIRY_MS, self.protocol_settings.expire_ms)
        return Addresses(
            _addresses_of_others(self.settings), boot_ms, 2 * self.protocol_settings.most_sessions, expire_ms
        )

    # Implemented by each role.

    @abstractmethod
    def make_components(self, now_ms: float) -> None:
        """Sets `components`, by layer. now_ms: milliseconds of CLOCK_BOOTTIME, as everywhere here."""

    @abstractmethod
    def release_all(self, now_ms: float) -> None:
        """Releases what other processes wait for."""

    @abstractmethod
    def has_released_all(self) -> bool:
        """Returns whether nothing is left to be released or sent."""

    @abstractmethod
    def component_lines(self, now_ms: float) -> list[str]:
        """Returns the status lines of the components for SIGUSR1."""

    # Lifecycle.

    def open(self) -> str | None:
        """Opens folder and socket, with room for more waiting datagrams than a gateway has.

        Returns None, or a line that names what cannot be opened.
        """
        problem = super().open()
        if problem is None:
            self.port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return problem

    def begin(self) -> None:
        """Creates the components and starts serving."""
        self.start_writer()
        for line in self.warnings:
            self.log.warning("settings", reason=line)
        self.make_components(self.now_ms())
        self.log.info(
            "control",
            role=self.role,
            fleet=self.settings.fleet,
            region=region_of(self.settings),
            incarnation=self.incarnation,
        )
        self.tick_due_components()

    def leave(self) -> None:
        """Starts a graceful shutdown. Later calls change nothing.

        The process may end once `is_leave_complete`.
        """
        if self.leave_deadline_ms is not None:
            return
        self.leave_deadline_ms = self.now_ms() + MAX_LEAVE_MS
        self.release_all(self.now_ms())
        self.tick_due_components()

    def is_leave_complete(self) -> bool:
        """Returns whether, after `leave`, everything is released or the time for it has passed."""
        return self.has_released_all() or self.now_ms() >= self.leave_deadline_ms

    # Log and status.

    def log_version(self, version: int, generation: int, **fields) -> None:
        """Logs the newest version if it is a new one, at most once in `MIN_LOG_INTERVAL_MS`."""
        now_ms = self.now_ms()
        if version != self.logged_version and now_ms - self.version_logged_ms >= MIN_LOG_INTERVAL_MS:
            self.logged_version = version
            self.version_logged_ms = now_ms
            self.log.info("version", version=version, generation=generation, **fields)

    def lines(self) -> list[str]:
        """Returns what is in force and all counters, for SIGUSR1."""
        if not self.components:
            return ["control: not started"]
        return [
            f"control {self.settings.name} {self.role} incarnation {self.incarnation}",
            *self.component_lines(self.now_ms()),
            *self.addresses.lines(),
            *self.datagram_lines(),
            *self.store_lines(),
        ]


def _addresses_of_others(settings):
    """Returns {name: address} of all other processes that the settings name."""
    processes = [*settings.voters, *settings.relays]
    return {
        process.name: parse_address(process.address) for process in processes if process.name != settings.name
    }


def _make_envelope(settings):
    layers = {Layer.DISTRIBUTION: distribution_fingerprint(settings.fleet)}
    voters = {voter.name for voter in settings.voters}
    return MessageEnvelope(settings.fleet, group_fingerprint(settings), settings.name, voters, layers)
