"""Parts without I/O over one socket, one disk and one timer: what all processes of ours have in common.

A part has `heard(now_ms, sender, message)`, `tick(now_ms)`, `due_ms` and `outbox`. The host brings it
datagrams and time, and takes out what it has to say. Times are milliseconds of CLOCK_BOOTTIME, which runs on
while a machine is suspended.
"""

import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from twisted.internet.error import CannotListenError

from lichenquay.config.fleet_settings import parse_address
from lichenquay.fleet.message_envelope import OWNER
from lichenquay.storage.errors import UnusableStoreError
from lichenquay.storage.incarnation import next_incarnation
from lichenquay.storage.store import DurableStore
from lichenquay.storage.writer import StoreWriter

CLOSE_MS = 500.0  # for what the disk still has to do at the end
LEAST_WAIT_MS = 1.0  # between two turns of the timer; risk: a part that is always due takes all turns


def boot_ms():
    """Milliseconds of the clock that runs on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def unix_now_ms():
    """Milliseconds of the wall clock. Only a first incarnation is drawn from it."""
    return time.time() * 1000


def json_logger():
    """JSON lines on standard error."""
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
    """Who a process is, where it listens (address:port, UDP), and the folder that it keeps; "" is none."""

    fleet: str
    name: str
    listen: str
    folder: str = ""
    folder_bytes: int = 0


@dataclass(frozen=True)
class Outside:
    """What reaches a host from outside; a test in virtual time has its own."""

    reactor: object
    now_ms: Callable = boot_ms
    unix_ms: Callable = unix_now_ms
    folder: Callable = DurableStore
    writer: Callable = StoreWriter


class Host:
    """Subclasses fill `parts` by layer, and say what else there is to do after a turn (`after_turn`).

    outside: `Outside`. identity: `Identity`. post: the socket's protocol, whose `heard` is this host's.
    prefix: of the group's sections in the folder.
    """

    prefix = ""

    def __init__(self, outside, identity, post, log):
        """Nothing is opened yet."""
        self.reactor, self.now_ms, self.unix_ms = outside.reactor, outside.now_ms, outside.unix_ms
        self.new_folder, self.new_writer = outside.folder, outside.writer
        self.identity, self.post, self.log = identity, post, log
        self.incarnation = 0
        self.folder = self.writer = self.port = self.timer = None
        self.timer_ms = 0.0  # when the timer fires
        self.parts, self.closed = {}, False

    # from start to end

    def open(self):
        """Folder, incarnation, socket: None, or one line that says which cannot be had. Sends nothing."""
        who = self.identity
        try:
            if who.folder:
                self.folder = self.new_folder(
                    who.folder, who.fleet, who.name, who.folder_bytes, now_ms=self.now_ms()
                )
            self.rise()
            host, port = parse_address(who.listen)
            self.port = self.reactor.listenUDP(port, self.post, interface=host)
        except UnusableStoreError as bad:
            return str(bad)
        except CannotListenError as bad:
            return f"cannot listen on {who.listen} (UDP): {bad.socketError.strerror}"
        return None

    def rise(self):
        """An incarnation that was never ours before: the folder's, and never under the clock."""
        now = int(self.unix_ms())
        if self.folder is None:
            self.incarnation = now
            return
        self.incarnation, kept = next_incarnation(self.folder, now, self.now_ms())
        if not kept:
            self.log.warning("incarnation not kept", incarnation=self.incarnation, why=self.folder.last_error)

    def start_writer(self):
        """The folder is the writer's thread's from now on."""
        if self.folder is None:
            return
        blocked = signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        try:  # risk: a signal goes to the writer's thread, and the reactor sleeps on
            self.writer = self.new_writer(self.folder, self.reactor.callFromThread, self.now_ms, log=self.log)
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, blocked)

    def kept_sections(self):
        """The group's sections as the folder had them at the start.

        A folder that could not be read yet is as good as lost: a voter without promises asks the others.
        """
        if not self.folder.is_open:
            return {}
        return {
            key.removeprefix(self.prefix): value
            for key, value in self.folder.state.items()
            if key.startswith(self.prefix)
        }

    def close(self):
        """What has been said stays to be seen (`lines`)."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer, self.closed = None, True
        if self.port is not None:
            self.port.stopListening()
        if self.writer is not None:
            self.writer.close(CLOSE_MS)
        elif self.folder is not None:
            self.folder.close()

    # turns

    def heard(self, layer, sender, message):
        """A datagram came: its part takes it, and what that leads to goes out at once."""
        part = self.parts.get(layer)
        if part is not None and not self.closed:
            part.heard(self.now_ms(), sender, message)
            self.flush()

    def turn(self):
        """What is due, then what it has to say."""
        now = self.now_ms()
        for part in list(self.parts.values()):
            if part.due_ms <= now:
                part.tick(now)
        self.flush()

    def flush(self):
        """What the parts have to say goes out, what they want on disk goes to the writer."""
        for layer, part in list(self.parts.items()):
            sent = list(part.outbox)
            part.outbox.clear()  # in place: parts of one part may share it
            for name, message in sent:
                self.post.send(self.incarnation, name, layer, message)
        if OWNER in self.parts:
            self.store()
        self.after_turn()
        self.wait()

    def after_turn(self):
        """What else there is to do once all has been said."""

    def store(self):
        """What the group wants on disk; each store is answered once."""
        group = self.parts[OWNER]
        requests, group.store_requests = group.store_requests, []
        for number, changes in requests:
            sections = {self.prefix + key: value for key, value in changes.items()}
            self.writer.store(sections, lambda ok, number=number: self.stored(number, ok))

    def stored(self, number, ok):
        """The writer's answer to one store."""
        if not self.closed:
            self.parts[OWNER].on_stored(self.now_ms(), number, ok)
            self.flush()

    def wait(self):
        """One timer, for whichever part is due next."""
        if self.closed:
            return
        due = min(part.due_ms for part in self.parts.values())
        active = self.timer is not None and self.timer.active()
        if due == float("inf"):
            if active:
                self.timer.cancel()
            return
        now_ms = self.now_ms()
        wait_ms = max(LEAST_WAIT_MS, due - now_ms)
        # Risk: what is due already is put off by each message; under many of them the timer never fires, and
        # no part is ticked.
        if active and due <= now_ms and self.timer_ms <= now_ms + wait_ms:
            return
        self.timer_ms = now_ms + wait_ms
        if active:
            self.timer.reset(wait_ms / 1000)
        else:
            self.timer = self.reactor.callLater(wait_ms / 1000, self.turn)

    # what is seen

    def post_lines(self):
        """Datagrams, by what became of them."""
        return [*self.post.lines(), f"datagram bytes sent: {self.post.bytes_out}"]

    def folder_lines(self):
        """Stores, by what became of them, and why nothing can be stored."""
        if self.writer is None:
            return []
        counts = [f"folder {what}: {number:.0f}" for what, number in self.writer.counts.items()]
        return [*counts, f"folder trouble: {self.writer.last_error or 'none'}"]
