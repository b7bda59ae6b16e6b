"""Runs components, which are state machines without I/O, on one UDP socket, one store and one timer.

A component has `on_message(now_ms, sender, message)`, `tick(now_ms)`, `due_ms` (when it is to be ticked next)
and `outbox` (messages to send, as (receiver, message)). Times are milliseconds of CLOCK_BOOTTIME, which also
counts while the machine is suspended.
"""

import signal
import sys
import time
from collections.abc import Callable, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import structlog
from twisted.internet.error import CannotListenError

from lichenquay.config.process_entries import parse_address
from lichenquay.fleet.datagram_transport import DatagramTransport
from lichenquay.fleet.message_envelope import Layer, Sender
from lichenquay.storage.errors import UnusableStoreError
from lichenquay.storage.incarnation import next_incarnation
from lichenquay.storage.store import DurableStore
from lichenquay.storage.writer import StoreWriter

CLOSE_TIMEOUT_MS = 500.0  # for writes that are still queued at shutdown
# Without a minimum wait, a component that is always due would starve everything else in the reactor.
MIN_TIMER_MS = 1.0
NEVER_MS = float("inf")


def boot_ms() -> float:
    """Returns milliseconds since boot, time in suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def unix_now_ms() -> float:
    """Returns milliseconds of the wall clock, which are only used to choose an incarnation."""
    return time.time() * 1000


def json_logger():
    """Returns a logger that writes JSON lines to standard error."""
    return structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
    )


@dataclass(frozen=True)
class Identity:
    """The fleet and name of a process, its UDP listen address (address:port) and its store.

    An empty `store_directory` means that the process stores nothing.
    """

    fleet: str
    name: str
    listen: str
    store_directory: str = ""
    store_max_bytes: int = 0


@dataclass(frozen=True)
class Environment:
    """Reactor, clocks and store classes. Tests in virtual time pass their own."""

    reactor: Any
    now_ms: Callable[[], float] = boot_ms
    unix_ms: Callable[[], float] = unix_now_ms
    new_store: Callable = DurableStore
    new_writer: Callable = StoreWriter


@contextmanager
def _signals_blocked():
    previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)


class Runtime:
    """Base class of the processes of a fleet. Subclasses fill `components` and override `after_flush`.

    `components` is {layer: component}; a component that sends no messages may have a key that is not a layer.
    `section_prefix` starts the names of the lease group's sections in the store.
    """

    section_prefix = ""

    def __init__(self, environment: Environment, identity: Identity, datagrams: DatagramTransport, log):
        """Opens nothing yet. The `on_message` of `datagrams` is this object's."""
        self.reactor = environment.reactor
        self.now_ms = environment.now_ms
        self.unix_ms = environment.unix_ms
        self.new_store = environment.new_store
        self.new_writer = environment.new_writer
        self.identity = identity
        self.datagrams = datagrams
        self.log = log
        self.incarnation = 0
        self.store = None
        self.writer = None
        self.port = None
        self.timer = None
        self.timer_ms = 0.0  # when the timer fires
        self.components: dict[Any, Any] = {}
        self.is_closed = False

    # lifecycle

    def open(self) -> str | None:
        """Opens store and socket, and sends nothing. Returns None, or one line that states what failed."""
        identity = self.identity
        try:
            if identity.store_directory:
                self.store = self.new_store(
                    identity.store_directory,
                    identity.fleet,
                    identity.name,
                    identity.store_max_bytes,
                    now_ms=self.now_ms(),
                )
            self._choose_incarnation()
            host, port = parse_address(identity.listen)
            self.port = self.reactor.listenUDP(port, self.datagrams, interface=host)
        except UnusableStoreError as error:
            return str(error)
        except CannotListenError as error:
            return f"cannot listen on {identity.listen} (UDP): {error.socketError.strerror}"
        return None

    def _choose_incarnation(self):
        """Chooses an incarnation above every earlier one in the store and not below the wall clock."""
        unix_ms = int(self.unix_ms())
        if self.store is None:
            self.incarnation = unix_ms
            return
        self.incarnation, is_stored = next_incarnation(self.store, unix_ms, self.now_ms())
        if not is_stored:
            self.log.warning(
                "incarnation not stored", incarnation=self.incarnation, why=self.store.last_error
            )

    def start_writer(self) -> None:
        """Hands the store over to a writer thread, which owns it from then on."""
        if self.store is None:
            return
        # A signal delivered to the writer thread would not wake the reactor.
        with _signals_blocked():
            self.writer = self.new_writer(self.store, self.reactor.callFromThread, self.now_ms, log=self.log)

    def stored_sections(self) -> Mapping[str, bytes]:
        """Returns the lease group's sections as stored at startup, without their prefix.

        Empty if the store could not be read: a voter without its promises recovers them from the others.
        """
        if not self.store.is_open:
            return {}
        return {
            key.removeprefix(self.section_prefix): value
            for key, value in self.store.state.items()
            if key.startswith(self.section_prefix)
        }

    def close(self) -> None:
        """Stops timer, socket and writer. `lines` of subclasses can still be called."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        self.is_closed = True
        if self.port is not None:
            self.port.stopListening()
        if self.writer is not None:
            self.writer.close(CLOSE_TIMEOUT_MS)
        elif self.store is not None:
            self.store.close()

    # events

    def on_message(self, layer: int, sender: Sender, message) -> None:
        """Passes a received message to the component of its layer, and sends the resulting messages."""
        component = self.components.get(layer)
        if component is not None and not self.is_closed:
            component.on_message(self.now_ms(), sender, message)
            self.flush()

    def tick_due_components(self) -> None:
        """Ticks every component that is due, and sends the resulting messages."""
        now_ms = self.now_ms()
        for component in list(self.components.values()):
            if component.due_ms <= now_ms:
                component.tick(now_ms)
        self.flush()

    def flush(self) -> None:
        """Sends the messages of all components, submits the lease group's writes and sets the timer."""
        for layer, component in list(self.components.items()):
            messages = list(component.outbox)
            component.outbox.clear()  # In place: the members of a composite component may share one list.
            for receiver, message in messages:
                self.datagrams.send(self.incarnation, receiver, layer, message)
        if Layer.LEASE in self.components:
            self._submit_writes()
        self.after_flush()
        self.set_timer()

    def after_flush(self) -> None:
        """Does nothing; called after each `flush`, and overridden by subclasses."""

    def _submit_writes(self):
        group = self.components[Layer.LEASE]
        requests = group.store_requests
        group.store_requests = []
        for number, changes in requests:
            sections = {self.section_prefix + key: value for key, value in changes.items()}
            self.writer.store(sections, lambda is_stored, number=number: self._on_stored(number, is_stored))

    def _on_stored(self, number, is_stored):
        if not self.is_closed:
            self.components[Layer.LEASE].on_stored(self.now_ms(), number, is_stored)
            self.flush()

    def set_timer(self) -> None:
        """Sets the timer to the component that is due first."""
        if self.is_closed:
            return
        due_ms = min(component.due_ms for component in self.components.values())
        is_active = self.timer is not None and self.timer.active()
        if due_ms == NEVER_MS:
            if is_active:
                self.timer.cancel()
            return
        now_ms = self.now_ms()
        wait_ms = max(MIN_TIMER_MS, due_ms - now_ms)
        # If each message postponed a component that is already due, the timer would never fire under load.
        if is_active and due_ms <= now_ms and self.timer_ms <= now_ms + wait_ms:
            return
        self.timer_ms = now_ms + wait_ms
        if is_active:
            self.timer.reset(wait_ms / 1000)
        else:
            self.timer = self.reactor.callLater(wait_ms / 1000, self.tick_due_components)

    # status

    def datagram_lines(self) -> list[str]:
        """Returns status lines: datagrams by outcome."""
        return [*self.datagrams.lines(), f"datagram bytes sent: {self.datagrams.bytes_out}"]

    def store_lines(self) -> list[str]:
        """Returns status lines: writes by outcome, and the last error of the store."""
        if self.writer is None:
            return []
        counts = [f"folder {name}: {count:.0f}" for name, count in self.writer.counts.items()]
        return [*counts, f"store last error: {self.writer.last_error or 'none'}"]
