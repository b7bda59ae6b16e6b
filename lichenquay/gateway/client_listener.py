"""The listening socket: connections of clients are accepted, refused with a reason, or waited for."""

import errno
import os
from socket import AF_INET, AF_INET6, MSG_DONTWAIT

from lichenquay.gateway import frames
from lichenquay.gateway.frames import AnswerCode

BACKLOG = 4096  # refusing is quick; what the kernel drops comes again after a second
MAX_ACCEPTED_AT_ONCE = 8  # in one turn of the reactor
MAX_REFUSED_AT_ONCE = 64
# a client that has something to send sends it by then, when there is no room for others
CLIENT_SPEAKS_WITHIN_S = 0.02
# room that is about to come is waited for this long before a connection is refused
MAX_WAIT_FOR_ROOM_S = 0.03
COUNTED_OVER_S = 1.0  # refusals and waits are counted in windows of this length
MAX_REFUSED_TO_WAIT = 20  # in a window; from then on nobody is waited for
MAX_WAITS = 12  # in a window; likewise
DISCARDED_BYTES = 65_536  # read from a connection that is refused
NO_DESCRIPTOR = "no descriptor"


def refuse(connection_socket, text: bytes) -> None:
    """Sends a connection the reason why it is refused, and closes it, without a transport of its own.

    Refusing must not cost more than serving. What has come is read first, as closing over unread bytes may
    take the answer back.
    """
    try:
        connection_socket.send(frames.encode_answer(0, AnswerCode.REJECTED, text), MSG_DONTWAIT)
        connection_socket.recv(DISCARDED_BYTES, MSG_DONTWAIT)
    except OSError:  # nothing has come, or it has gone already
        pass
    connection_socket.close()


class ClientListener:
    """Accepts connections for a `RequestIntake`; its connection admission decides."""

    def __init__(self, reactor, intake, metrics):
        """Not listening yet."""
        self.reactor = reactor
        self.intake = intake
        self.metrics = metrics
        self.port = None  # while it listens
        self._spare_descriptor = None  # given up so that a connection can be refused where none is left
        self._window_started_s = 0.0
        self._refused_in_window = 0
        self._waits_in_window = 0
        self._waiting_since_s = None  # for room

    def open(self, host: str, port: int) -> None:
        """Starts to listen. Errors: CannotListenError."""
        self.port = self.reactor.listenTCP(port, self.intake, backlog=BACKLOG, interface=host)
        self.port.doRead = self._on_readable
        self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)

    def close(self) -> None:
        """Stops listening; what the kernel has accepted by then is accepted or refused, rather than reset."""
        for _ in range(BACKLOG):
            if not self._accept_some(is_closing=True):
                break
        self.port.stopListening()
        self.port = None

    def _on_readable(self):
        self._accept_some()  # its result would end the listening, if the reactor had it

    def _accept_some(self, is_closing=False):
        """Accepts or refuses what has come; whether more may be waiting."""
        if self._wait_for_room(is_closing):
            return True
        accepted = 0
        for _ in range(MAX_REFUSED_AT_ONCE):
            try:
                connection_socket, address = self.port.socket.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    return self._refuse_without_descriptor()
                return False
            decision = self.intake.connection_admission.admit_connection(
                address[0], self.intake.admission_ms()
            )
            if not decision.is_admitted:
                self._refuse(connection_socket, decision)
                continue
            self._evict(decision)
            self._adopt(connection_socket, address)
            accepted += 1
            if accepted == MAX_ACCEPTED_AT_ONCE:
                break
        return True

    def _wait_for_room(self, is_closing):
        """Whether room is about to come, and is waited for: some clients have not had their time to speak.

        Not in a flood of connections, nor as the listener closes. Connections in the kernel's queue get no
        answer while the listener waits.
        """
        now_s = self.intake.seconds()
        if now_s - self._window_started_s > COUNTED_OVER_S:
            self._window_started_s = now_s
            self._refused_in_window = 0
            self._waits_in_window = 0
        connection_admission = self.intake.connection_admission
        waits = (
            not is_closing
            and self._refused_in_window < MAX_REFUSED_TO_WAIT
            and self._waits_in_window < MAX_WAITS
            and connection_admission.is_full()
            and connection_admission.expects_capacity_soon(now_s * 1000)
            and now_s - (self._waiting_since_s or now_s) < MAX_WAIT_FOR_ROOM_S
        )
        if not waits:
            self._waiting_since_s = None
            return False
        self._waiting_since_s = self._waiting_since_s or now_s
        self._waits_in_window += 1
        self.port.pauseProducing()
        self.reactor.callLater(CLIENT_SPEAKS_WITHIN_S / 2, self._resume)
        return True

    def _resume(self):
        if self.port is not None:
            self.port.resumeProducing()

    def _refuse(self, connection_socket, decision):
        self._refused_in_window += 1
        self.metrics.count(f"connections refused: {decision.reason}")
        text = f"{decision.reason}; come back in {max(1.0, decision.retry_after_ms):.0f} ms"
        refuse(connection_socket, text.encode())

    def _refuse_without_descriptor(self):
        """Gives up the spare descriptor, so that a connection can be refused; whether it was.

        Otherwise what waits at the limit would wait for ever, and keep the reactor busy.
        """
        self.metrics.count(f"connections refused: {NO_DESCRIPTOR}")
        os.close(self._spare_descriptor)
        try:
            connection_socket, _ = self.port.socket.accept()
            refuse(connection_socket, b"no descriptor; come back in 1000 ms")
            return True
        except OSError:
            return False
        finally:
            self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)

    def _evict(self, decision):
        """Closes the connections that give way to a new one."""
        if decision.abort is not None:
            decision.abort.handler.transport.abortConnection()
            self.intake.connection_admission.on_connection_closed(decision.abort, self.intake.admission_ms())
        if decision.evict is not None:
            decision.evict.handler.evict()

    def _adopt(self, connection_socket, address):
        """Gives an accepted connection to the reactor, which makes a copy of its descriptor."""
        connection_socket.setblocking(False)
        family = AF_INET6 if len(address) > 2 else AF_INET
        try:
            self.reactor.adoptStreamConnection(connection_socket.fileno(), family, self.intake)
        except OSError:
            self.metrics.count(f"connections refused: {NO_DESCRIPTOR}")
        finally:
            connection_socket.close()
