"""One connection to an engine, with one call on it at a time."""

from math import inf
from socket import MSG_DONTWAIT, MSG_PEEK
from typing import NamedTuple

from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.gateway.engine_call import (
    ConnectionBrokenError,
    EngineCall,
    EngineCallError,
    NotConnectedError,
    UnreadableReplyError,
)
from lichenquay.gateway.engine_protocol import MAX_PAGE_BYTES
from lichenquay.gateway.http import ReplyError, ReplyReader, Status


def send_now(transport, data: bytes) -> bytes | memoryview:
    """Sends what the kernel accepts at once, on a connection with nothing unsent; returns what is left.

    It saves a turn of the reactor, and two changes of what the kernel watches, for each message.
    """
    try:
        sent_bytes = transport.socket.send(data, MSG_DONTWAIT)
    except OSError:  # full, or broken: the transport will find out
        sent_bytes = 0
    return memoryview(data)[sent_bytes:] if sent_bytes < len(data) else b""


class _Result(NamedTuple):
    """A result as it came, and the attempt that it came for."""

    attempt: object
    headers: tuple
    body: bytes


class EngineConnection(Protocol):
    """One connection to an engine, owned by its pool.

    `attempt` is that of its last call. `is_overdue`: its call has waited too long, and its reply is still
    hoped for. `closed_locally`: the gateway closed it, so that nothing shows when the engine's process ends.
    """

    def __init__(self, pool, first_call: EngineCall):
        """`pool`: the connections that it is one of; `first_call`: the call that it was opened for."""
        self.pool = pool
        self.engine = first_call.engine
        self.address = first_call.address
        self.call = first_call
        self.attempt = None
        self.reader = ReplyReader(MAX_PAGE_BYTES)
        self.idle_since_s = 0.0
        self.idle_before_call_s = 0.0
        self.reply_due_s = inf
        self.sent_at_once = True  # all its calls, whole
        self.is_overdue = False
        self.is_closed = False
        self.closed_locally = False
        self._last_result: _Result | None = None  # the last on it
        self._last_anonymous_reply = None  # the last reply on it, where it names no query

    def connectionMade(self):
        """Sends the first call on the new connection, if that call may still be sent."""
        self.transport.setTcpNoDelay(True)
        self.pool.connections.add(self)
        if not self.is_clean():
            self.abort(ConnectionBrokenError("reset when new"))
            return
        call = self.call
        self.call = None
        if call.check_before_sending():
            self.send(call)
        else:
            self.pool.release(self)

    def is_clean(self) -> bool:
        """Whether neither unread bytes nor an end have come on it: no call is sent on one that closes."""
        try:
            self.transport.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def send(self, call: EngineCall) -> None:
        """Sends a call on this connection, which carries no other call."""
        self.call = call
        self.attempt = call.attempt
        call.is_written = True
        call.connection = self
        call.last_connection = self
        now_s = self.pool.reactor.seconds()
        self.reply_due_s = now_s + self.pool.reply_timeout_ms / 1000
        self.idle_before_call_s = now_s - self.idle_since_s if self.idle_since_s else 0.0
        if call.on_written:
            call.on_written()
        rest = send_now(self.transport, call.data)
        if rest:
            self.sent_at_once = False
            self.transport.write(bytes(rest))

    def dataReceived(self, data):
        """Part of a reply; bytes that belong to none close the connection."""
        try:
            reply = self.reader.feed(data)
            if self.call is None:
                raise ReplyError("bytes without a call")
        except ReplyError as error:
            self.abort(UnreadableReplyError(str(error)))
            return
        if reply is not None:
            self._on_reply(reply)

    def _on_reply(self, reply):
        """A whole reply, which must not be one to an earlier call, or a copy of one."""
        if not self.call.accepts(reply):
            self.abort(UnreadableReplyError("no reply to this call"))
            return
        if self._is_copy(reply):
            self.abort(UnreadableReplyError("a copy of the result of another attempt"))
            return
        call = self.call
        self.call = None
        call.connection = None
        reply.connection = self
        self._last_anonymous_reply = None if reply.status == Status.OK else reply
        # More may come late on a connection on which one reply did. A copy of a refusal or an error, which
        # names no query, would be taken for the reply to the next POST there: 'never ran' of one that runs.
        is_refusal_or_error = reply.status >= Status.SERVER_ERROR
        if reply.keep_alive and self.sent_at_once and not self.is_overdue and not is_refusal_or_error:
            self.pool.release(self)
        else:
            self.abort()
        call.end(reply)

    def last_reply_could_answer(self, call: EngineCall) -> bool:
        """Whether a late copy of the last reply here, to another attempt, would pass for one to this call.

        The copy of a 204 would say that an engine has cancelled what it does not know of yet; that of a
        202, that it has read what still lies there, and the next query of its ordering key would go out too
        soon.
        """
        last_reply = self._last_anonymous_reply
        return call.attempt is not self.attempt and last_reply is not None and call.accepts(last_reply)

    def _is_copy(self, reply):
        """Whether a result is, to the byte, the last one that came on this connection for another attempt.

        A copy may arrive late, between two calls, and would serve a client with rows that no engine made for
        its query. The engine repeats its reply on another connection. Only results are compared: other
        replies are the same for many queries, and a 500 taken for a copy would have its query polled, where
        the reply may be that of another query with the same request id.
        """
        if reply.status != Status.OK:
            return False
        result = _Result(self.call.attempt, tuple(reply.headers.items()), bytes(reply.body))
        last_result = self._last_result
        self._last_result = result
        if last_result is None or last_result.attempt is result.attempt:
            return False
        return last_result.headers == result.headers and last_result.body == result.body

    def abort(self, error: EngineCallError | None = None) -> None:
        """Closes the connection at once; its call ends with `error`."""
        # Its loss, which is reported later, does not change who closed it.
        self.closed_locally = self.closed_locally or not self.is_closed
        call = self.call
        self.call = None
        self.pool.on_connection_closed(self)
        self.transport.abortConnection()
        if call is not None:
            call.connection = None
            self.pool.on_connection_failed(call, error or ConnectionBrokenError("closed by the gateway"))

    def connectionLost(self, reason):
        """Its end may be that of a reply; else its call is broken."""
        self.is_closed = True
        reply = self.reader.connection_closed() if self.call else None
        if reply is not None:
            self._on_reply(reply)
            return
        if self.call is not None and not self.is_overdue:
            self.pool.on_reused_connection_broken(self.idle_before_call_s)
        self.abort(ConnectionBrokenError(reason.getErrorMessage()))


class ConnectionFactory(ClientFactory):
    """Makes one connection, for the call that it was opened for."""

    noisy = False

    def __init__(self, pool, call: EngineCall):
        """`pool`: the connections that it will be one of."""
        self.pool = pool
        self.call = call

    def buildProtocol(self, address):
        """The connection, once it is up."""
        return EngineConnection(self.pool, self.call)

    def clientConnectionFailed(self, connector, reason):
        """Ends the call if the engine refused or did not respond; else has another connection tried.

        A reset before this side knew that the connection was up says nothing about the engine.
        """
        self.pool.open_count -= 1
        is_refused = reason.check(ConnectionRefusedError) is not None
        if is_refused or reason.check(TimeoutError):
            self.call.end(NotConnectedError(is_refused))
        else:
            self.pool.on_connection_failed(self.call, NotConnectedError())
        self.pool.send_waiting()
