"""What voter and relay processes have in common: socket, disk, timer and log around parts without I/O."""

import random
import socket
from abc import ABC, abstractmethod

from lichenquay.config.control_settings import find_warnings, group_fingerprint, region_of
from lichenquay.config.distribution_settings import distribution_fingerprint, distribution_settings
from lichenquay.config.process_entries import parse_address
from lichenquay.distribution import distribution_pb2
from lichenquay.fleet.addresses import EXPIRE_MS, Addresses
from lichenquay.fleet.datagram_transport import DatagramTransport
from lichenquay.fleet.message_envelope import Layer, MessageEnvelope
from lichenquay.fleet.runtime import Environment, Identity, Runtime, boot_ms, json_logger

# Two states, and eight times that: the store's shares of the folder for them.
MAX_FOLDER_BYTES = 256 << 20
# Answers of all subscribers to one delta, while this process is busy; the system may allow less.
RECEIVE_BUFFER_BYTES = 4 << 20
MAX_LEAVE_MS = 1500.0  # For the lease to be released, and the other voters to be notified.
MIN_LOG_INTERVAL_MS = 1000.0  # Between two log lines on the version, or on discovery.
RNG_SEED_BITS = 128


class ControlRuntime(Runtime, ABC):
    """A control process. A subclass sets `role`, and makes the parts of its role."""

    role: str
    kinds = {Layer.DISTRIBUTION: distribution_pb2.Message}

    def __init__(self, reactor, process_settings, log=None):
        """Open nothing yet.

        process_settings: the checked settings file of one control process. log: a structlog logger; by
        default JSON lines on standard error.
        """
        self.settings = process_settings.control
        self.figures = distribution_settings(self.settings.figures)
        self.warnings = find_warnings(process_settings)
        self.rng = random.Random(random.SystemRandom().getrandbits(RNG_SEED_BITS))
        self.addresses = self._make_addresses()
        self.leave_deadline_ms: float | None = None
        self.logged_version = 0
        self.version_logged_ms = float("-inf")
        datagrams = DatagramTransport(
            _make_envelope(self.settings), self.addresses, self.kinds, self.on_message, self.addresses.learn
        )
        process_log = (log or json_logger()).bind(process=self.settings.name)
        super().__init__(Environment(reactor), self._make_identity(), datagrams, process_log)

    def _make_identity(self):
        settings = self.settings
        return Identity(settings.fleet, settings.name, settings.listen, settings.folder, MAX_FOLDER_BYTES)

    def _make_addresses(self):
        """Room for all sessions, and as many clients and earlier starts; none expires before its session."""
        expire_ms = max(EXPIRE_MS, self.figures.expire_ms)
        return Addresses(
            _addresses_of_others(self.settings), boot_ms, 2 * self.figures.most_sessions, expire_ms
        )

    # What a role adds.

    @abstractmethod
    def make_parts(self, now_ms: float) -> None:
        """Set `parts`, by layer. now_ms: milliseconds of CLOCK_BOOTTIME, as everywhere here."""

    @abstractmethod
    def start_leaving(self, now_ms: float) -> None:
        """Release what other processes wait for."""

    @abstractmethod
    def has_left(self) -> bool:
        """Whether nothing is left to be released or sent."""

    @abstractmethod
    def part_lines(self, now_ms: float) -> list[str]:
        """Return the lines of the parts for SIGUSR1."""

    # From start to end.

    def open(self) -> str | None:
        """Open folder and socket, with room for more waiting datagrams than a gateway has.

        Returns None, or a line that says which cannot be opened.
        """
        problem = super().open()
        if problem is None:
            self.port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return problem

    def begin(self) -> None:
        """Make the parts and take part from now on."""
        self.start_writer()
        for line in self.warnings:
            self.log.warning("settings", reason=line)
        self.make_parts(self.now_ms())
        self.log.info(
            "control",
            role=self.role,
            fleet=self.settings.fleet,
            region=region_of(self.settings),
            incarnation=self.incarnation,
        )
        self.run_due_parts()

    def leave(self) -> None:
        """Start to leave in order; `is_leave_complete` says when the process may end. Later calls change nothing."""
        if self.leave_deadline_ms is not None:
            return
        self.leave_deadline_ms = self.now_ms() + MAX_LEAVE_MS
        self.start_leaving(self.now_ms())
        self.run_due_parts()

    def is_leave_complete(self) -> bool:
        """Whether, after `leave`, everything is released, or the time for it is up."""
        return self.has_left() or self.now_ms() >= self.leave_deadline_ms

    # What is logged.

    def log_version(self, version: int, generation: int, **fields) -> None:
        """Log the newest version if it is a new one, at most once in `MIN_LOG_INTERVAL_MS`."""
        now_ms = self.now_ms()
        if version != self.logged_version and now_ms - self.version_logged_ms >= MIN_LOG_INTERVAL_MS:
            self.logged_version = version
            self.version_logged_ms = now_ms
            self.log.info("version", version=version, generation=generation, **fields)

    def lines(self) -> list[str]:
        """Return what is in force and all counters, for SIGUSR1."""
        if not self.parts:
            return ["control: not started"]
        return [
            f"control {self.settings.name} {self.role} incarnation {self.incarnation}",
            *self.part_lines(self.now_ms()),
            *self.addresses.lines(),
            *self.datagram_lines(),
            *self.store_lines(),
        ]


def _addresses_of_others(settings):
    """{name: address} of all other processes that the settings name."""
    processes = [*settings.voters, *settings.relays]
    return {
        process.name: parse_address(process.address) for process in processes if process.name != settings.name
    }


def _make_envelope(settings):
    layers = {Layer.DISTRIBUTION: distribution_fingerprint(settings.fleet)}
    voters = {voter.name for voter in settings.voters}
    return MessageEnvelope(settings.fleet, group_fingerprint(settings), settings.name, voters, layers)
