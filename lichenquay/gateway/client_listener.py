"""The listening socket: accepts client connections, or rejects them with a reason."""

import errno
import os
from socket import AF_INET, AF_INET6, MSG_DONTWAIT

from lichenquay.gateway import frames
from lichenquay.gateway.frames import AnswerCode

LISTEN_BACKLOG = 4096  # rejections are quick; a client whose SYN the kernel drops retries only after a second
MAX_ADMITTED_PER_TURN = 8  # of the reactor
MAX_ACCEPT_CALLS_PER_TURN = 64
# With all connections in use, a client that has a request to send has sent it by then.
FIRST_FRAME_GRACE_S = 0.02
# How long connections wait in the kernel's queue for a connection that may become evictable.
MAX_CAPACITY_WAIT_S = 0.03
COUNT_WINDOW_S = 1.0  # rejections and waits are counted in windows of this length
MAX_REJECTIONS_FOR_WAIT = 20  # after as many in a window, connections are rejected without a wait
MAX_CAPACITY_WAITS = 12  # in a window; likewise
MAX_DISCARDED_BYTES = 65_536  # read from a connection that is rejected
NO_DESCRIPTOR = "no descriptor"
NO_DESCRIPTOR_TEXT = b"no descriptor; come back in 1000 ms"


def reject_connection(connection_socket, text: bytes) -> None:
    """Sends the reason for a rejection on a new connection and closes it.

    No transport is created, as a rejection must not cost more than an accepted connection. Input that has
    arrived is read first: closing with unread input may reset the connection and discard the answer.
    """
    try:
        connection_socket.send(frames.encode_answer(0, AnswerCode.REJECTED, text), MSG_DONTWAIT)
        connection_socket.recv(MAX_DISCARDED_BYTES, MSG_DONTWAIT)
    except OSError:  # no input has arrived, or the client has closed the connection
        pass
    connection_socket.close()


class ClientListener:
    """Accepts or rejects connections for a `RequestIntake`, as its connection admission decides."""

    def __init__(self, reactor, intake, metrics):
        """Creates the listener, which does not listen until `open`."""
        self.reactor = reactor
        self.intake = intake
        self.metrics = metrics
        self.port = None  # set while it listens
        self.may_have_backlog = False  # connections wait in the kernel's queue
        # Closed to accept a connection, and reject it, when no other descriptor is left.
        self._spare_descriptor = None
        self._window_started_s = 0.0
        self._rejections_in_window = 0
        self._waits_in_window = 0
        self._capacity_wait_started_s = None

    def open(self, host: str, port: int) -> None:
        """Starts listening. Errors: CannotListenError."""
        self.port = self.reactor.listenTCP(port, self.intake, backlog=LISTEN_BACKLOG, interface=host)
        self.port.doRead = self._on_readable
        self._open_spare_descriptor()

    def close(self) -> None:
        """Stops listening, after it has admitted or rejected the connections in the kernel's queue.

        The kernel would reset them otherwise.
        """
        for _ in range(LISTEN_BACKLOG):
            if not self._accept_some(is_closing=True):
                break
        self.port.stopListening()
        self.port = None
        self.may_have_backlog = False

    def _on_readable(self):
        # Its result is not returned: the reactor would stop reading.
        self.may_have_backlog = self._accept_some()

    def _accept_some(self, is_closing=False):
        """Admits or rejects queued connections. Returns whether more may be queued."""
        if self._wait_for_capacity(is_closing):
            return True
        accepted = 0
        for _ in range(MAX_ACCEPT_CALLS_PER_TURN):
            try:
                connection_socket, address = self._accept()
            except BlockingIOError:
                return False
            except OSError:
                continue  # it concerns one connection, or passes; others are queued behind it
            if self._spare_descriptor is None:
                self._reject_for_descriptor(connection_socket)
                continue
            decision = self.intake.connection_admission.admit_connection(
                address[0], self.intake.admission_ms()
            )
            if not decision.is_admitted:
                self._reject(connection_socket, decision)
                continue
            self._evict(decision)
            self._adopt(connection_socket, address)
            accepted += 1
            if accepted == MAX_ADMITTED_PER_TURN:
                break
        return True

    def _wait_for_capacity(self, is_closing):
        """Stops accepting for a moment if a connection may become evictable soon; returns whether it does.

        That is so while clients have not had `FIRST_FRAME_GRACE_S` for their first frame. It does not wait
        under a flood of connections, nor while the listener closes: connections in the kernel's queue get no
        answer while it waits.
        """
        now_s = self.intake.seconds()
        if now_s - self._window_started_s > COUNT_WINDOW_S:
            self._window_started_s = now_s
            self._rejections_in_window = 0
            self._waits_in_window = 0
        connection_admission = self.intake.connection_admission
        may_wait = (
            not is_closing
            and self._rejections_in_window < MAX_REJECTIONS_FOR_WAIT
            and self._waits_in_window < MAX_CAPACITY_WAITS
            and connection_admission.is_full()
            and connection_admission.expects_capacity_soon(now_s * 1000)
            and now_s - (self._capacity_wait_started_s or now_s) < MAX_CAPACITY_WAIT_S
        )
        if not may_wait:
            self._capacity_wait_started_s = None
            return False
        self._capacity_wait_started_s = self._capacity_wait_started_s or now_s
        self._waits_in_window += 1
        self.port.pauseProducing()
        self.reactor.callLater(FIRST_FRAME_GRACE_S / 2, self._resume)
        return True

    def _resume(self):
        if self.port is not None:
            self.port.resumeProducing()

    def _reject(self, connection_socket, decision):
        self._rejections_in_window += 1
        self.metrics.count(f"connections refused: {decision.reason}")
        text = f"{decision.reason}; come back in {max(1.0, decision.retry_after_ms):.0f} ms"
        reject_connection(connection_socket, text.encode())

    def _accept(self):
        """Returns the next queued connection and its address. Errors: BlockingIOError (none), OSError.

        Where no descriptor is left, the spare one is given up for it; it is None then, unless the shortage
        has passed. Without it, connections would stay queued and keep the reactor busy.
        """
        try:
            return self.port.socket.accept()
        except OSError as error:
            if error.errno not in (errno.EMFILE, errno.ENFILE) or self._spare_descriptor is None:
                raise
        os.close(self._spare_descriptor)
        try:
            return self.port.socket.accept()
        finally:
            self._open_spare_descriptor()

    def _open_spare_descriptor(self):
        try:
            self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)
        except OSError:
            self._spare_descriptor = None

    def _reject_for_descriptor(self, connection_socket):
        """Rejects a connection that took the last descriptor, and takes the spare one in its place."""
        self.metrics.count(f"connections refused: {NO_DESCRIPTOR}")
        reject_connection(connection_socket, NO_DESCRIPTOR_TEXT)
        self._open_spare_descriptor()

    def _evict(self, decision):
        """Closes the connections that are evicted or aborted for a new one."""
        if decision.abort is not None:
            decision.abort.handler.transport.abortConnection()
            self.intake.connection_admission.on_connection_closed(decision.abort, self.intake.admission_ms())
        if decision.evict is not None:
            decision.evict.handler.evict()

    def _adopt(self, connection_socket, address):
        """Passes an accepted connection to the reactor, which duplicates its descriptor."""
        connection_socket.setblocking(False)
        family = AF_INET6 if len(address) > 2 else AF_INET
        try:
            self.reactor.adoptStreamConnection(connection_socket.fileno(), family, self.intake)
        except OSError:
            self.metrics.count(f"connections refused: {NO_DESCRIPTOR}")
            reject_connection(connection_socket, NO_DESCRIPTOR_TEXT)
        finally:
            connection_socket.close()
