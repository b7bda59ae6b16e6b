"""One connection to an engine, which carries one call at a time."""

from collections import deque
from math import inf
from typing import NamedTuple
from weakref import ReferenceType

from twisted.internet.error import ConnectionDone, ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import Protocol

from lichenquay.gateway.engine_call import (
    ConnectionBrokenError,
    EngineCall,
    EngineCallError,
    NotConnectedError,
    ReplyNotKeptError,
    UnreadableReplyError,
)
from lichenquay.gateway.engine_protocol import MAX_PAGE_BYTES, acceptance_of
from lichenquay.gateway.http import Reply, ReplyError, ReplyReader, Status
from lichenquay.gateway.sockets import Input, read_available, send_now, unread_input
from lichenquay.gateway.timed_client_factory import TimedClientFactory

MAX_DUPLICATE_DELAY_S = 0.25  # of a reply that names no query: STANDING says some milliseconds
MAX_READS_AT_ONCE = 2  # of 64 KB each; a page is shorter
MAX_PAST_REPLIES = 32  # on one connection, of which duplicates are recognized
MAX_JOINED_BYTES = 65_536  # of a call's body, sent together with its head


class _PastReply(NamedTuple):
    """A reply on this connection, when it came, and the number on it of the attempt that it was for.

    reply: what tells which calls it could answer, of one that names no query, else None. digest: of a result
    or page, else None.
    """

    received_s: float
    attempt_number: int
    reply: Reply | None
    digest: int | None = None


class EngineConnection(Protocol):
    """One connection to an engine, owned by its pool.

    call: the call that is open, or for which the connection was opened; else None.
    attempt: the attempt of the last call.
    sent_at_once: the kernel accepted each call completely at once.
    is_overdue: the call has timed out, but its reply may still arrive.
    has_replied: it has brought a reply, and so is certainly up at the engine.
    closed_locally: the gateway closed the connection, which therefore cannot show the end of the engine's
    process.
    """

    def __init__(self, pool, first_call: EngineCall):
        """Creates a connection for `first_call`, to be added to `pool` once it is up."""
        self.pool = pool
        self.engine = first_call.engine
        self.address = first_call.address
        self.call = first_call
        self.attempt = None
        self.reader = ReplyReader(MAX_PAGE_BYTES)
        self.idle_since_s = 0.0
        self.idle_before_call_s = 0.0
        self.reply_due_s = inf
        self.sent_at_once = True
        self.is_overdue = False
        self.is_closed = False
        self.closed_locally = False
        self.has_replied = False
        # A result or page, if that is the last reply; it must not be kept in memory.
        self._last_result: ReferenceType[Reply] | None = None
        self._attempt_number = 0  # of the attempts here: past replies must not keep attempts in memory
        self._past_replies: deque[_PastReply] = deque(maxlen=MAX_PAST_REPLIES)
        self._unsent: list[memoryview] = []  # parts of the call that the kernel did not take yet
        self._kept_bytes = 0  # of an incomplete reply, as counted in the account

    def connectionMade(self):
        """Sends the first call, if it may still be sent; else releases the connection to the pool."""
        self.transport.setTcpNoDelay(True)
        self.pool.connections.add(self)
        if not self.is_clean():
            self.abort(ConnectionBrokenError("reset when new"))
            return
        call = self.call
        self.call = None
        if not self.send(call):
            self.pool.release(self)

    def is_clean(self) -> bool:
        """Returns whether the connection has neither unread bytes nor been closed by the engine."""
        return unread_input(self.transport) is Input.NOTHING

    def send(self, call: EngineCall) -> bool:
        """Sends a call on this connection, which must carry none and not be idle; returns whether it did.

        The call is withdrawn if it may no longer be sent.
        """
        if not call.withdraw_unless_sendable():
            return False
        # Nothing comes between the check and the system call: this process may be suspended at any point.
        body = memoryview(call.body)
        joined = call.data + body[:MAX_JOINED_BYTES] if body else call.data
        sent_bytes = len(joined) - len(send_now(self.transport, joined))
        if call.starts_attempt and not sent_bytes:
            # Left for later, its first byte would be written without a check.
            self.call = call
            self.abort(ConnectionBrokenError("not writable"))
            return True
        self._record_sent(call)
        sent_of_body = max(0, sent_bytes - len(call.data))
        parts = (memoryview(call.data)[sent_bytes:], body[sent_of_body:])
        self._unsent = [part for part in parts if part]
        self._send_unsent()
        if self._unsent:
            self.sent_at_once = False
            self.transport.registerProducer(self, False)
        return True

    def _send_unsent(self):
        """Sends what the kernel takes, without a copy: the transport's buffer would be another one."""
        while self._unsent:
            rest = send_now(self.transport, self._unsent[0])
            if rest:
                self._unsent[0] = rest
                return
            del self._unsent[0]

    def resumeProducing(self):
        """Sends more of the call, as the kernel takes more."""
        self._send_unsent()
        if self._unsent:
            self.transport.startWriting()
        else:
            self.transport.unregisterProducer()

    def stopProducing(self):
        """Drops the rest of the call, as the connection has ended."""
        self._unsent = []

    def _record_sent(self, call):
        self.call = call
        if call.attempt is not self.attempt:
            self._attempt_number += 1
        self.attempt = call.attempt
        call.is_written = True
        call.connection = self
        call.last_connection = self
        now_s = self.pool.reactor.seconds()
        self.reply_due_s = now_s + self.pool.reply_timeout_ms / 1000
        self.idle_before_call_s = now_s - self.idle_since_s if self.idle_since_s else 0.0
        if call.on_written:
            call.on_written(not self.has_replied)

    def dataReceived(self, data):
        """Reads a reply; unexpected or invalid bytes close the connection."""
        follows_reply = self.reader.is_empty
        try:
            reply = self.reader.feed(data)
            if self.call is None:
                raise ReplyError("received bytes while no call was open")
        except ReplyError as error:
            if follows_reply:
                self._record_trailing(data)
            self.abort(UnreadableReplyError(str(error)))
            return
        if not self._keep_part():
            self.abort(ReplyNotKeptError("no memory for a part of it"))
        elif reply is not None:
            self._on_reply(reply)

    def _keep_part(self) -> bool:
        """Counts what is kept of an incomplete reply; returns whether there is memory for it."""
        growth = self.reader.buffered_bytes() - self._kept_bytes
        if growth > 0 and not self.pool.memory.reserve(growth):
            return False
        if growth < 0:
            self.pool.memory.add(growth)
        self._kept_bytes += growth
        return True

    def is_reply_due(self, now_s: float) -> bool:
        """Returns whether the reply to the open call was due, and has not been found overdue yet."""
        return self.call is not None and self.reply_due_s < now_s and not self.is_overdue

    def _record_trailing(self, data):
        """Records what follows a result, unless that has been passed on already."""
        result = self._last_result() if self._last_result is not None else None
        if result is not None:
            result.trailing = data

    def read_available(self) -> None:
        """Reads what has arrived: the reactor reads only after it has called the timers that are due."""
        read_available(self.transport, lambda: self in self.pool.connections, MAX_READS_AT_ONCE)

    def _on_reply(self, reply):
        """Ends the call with a complete reply, unless that answers an earlier call or is a duplicate."""
        if not self.call.accepts(reply):
            self.abort(UnreadableReplyError("the reply does not answer this call"))
            return
        if self._detect_duplicate_result(reply):
            self.abort(UnreadableReplyError("the reply duplicates the result of another attempt"))
            return
        call = self.call
        self.call = None
        self.has_replied = True
        call.connection = None
        reply.connection = self
        self._last_result = ReferenceType(reply) if reply.status == Status.OK else None
        if reply.status != Status.OK:
            self._remember(acceptance_of(reply), None)
        # A connection on which a reply came late is not reused, as more may come late. Nor is one after an
        # overload or error reply, which names no query: a duplicate would be taken for the reply to the next
        # POST, and would say 'never ran' of an attempt that runs.
        is_overload_or_error = reply.status >= Status.SERVER_ERROR
        if reply.keep_alive and self.sent_at_once and not self.is_overdue and not is_overload_or_error:
            self.pool.release(self)
        else:
            self.abort()
        call.end(reply)

    def past_reply_could_answer(self, call: EngineCall) -> bool:
        """Returns whether a late duplicate of a reply to another attempt would pass for this call's reply.

        A duplicate 204 would say that the engine has cancelled an attempt that it has not read yet; a
        duplicate 202, that it has read a POST that is still unread, and the next query with the same
        ordering key would be sent too soon.
        """
        own_number = self._attempt_number if call.attempt is self.attempt else None
        oldest_s = self.pool.reactor.seconds() - MAX_DUPLICATE_DELAY_S
        return any(
            past.attempt_number != own_number and past.reply is not None and call.accepts(past.reply)
            for past in self._past_replies
            if past.received_s >= oldest_s or past is self._past_replies[-1]
        )

    def _detect_duplicate_result(self, reply):
        """Returns whether a result or page equals, byte for byte, one that came here for another attempt.

        It is remembered for later comparisons. A duplicate may arrive late, between two calls or during the
        next one, and would give a client rows that were not computed for its query; the engine repeats the
        true reply on another connection. Only results are compared: other replies are the same for many
        queries, and if a 500 were taken for a duplicate, its query would be polled, and the reply might be
        that to another query with the same request id.
        """
        if reply.status != Status.OK:
            return False
        number = self._attempt_number
        digest = hash((tuple(reply.headers.items()), bytes(reply.body)))
        is_duplicate = any(
            past.digest == digest and past.attempt_number != number for past in self._past_replies
        )
        self._remember(None, digest)
        return is_duplicate

    def _remember(self, reply, digest):
        """Remembers a reply, in place of one that could only be duplicated by now if it were the last."""
        now_s = self.pool.reactor.seconds()
        past = self._past_replies
        if past and past[-1].digest is None and past[-1].received_s < now_s - MAX_DUPLICATE_DELAY_S:
            past.pop()
        past.append(_PastReply(now_s, self._attempt_number, reply, digest))

    def abort(self, error: EngineCallError | None = None) -> None:
        """Closes the connection at once; its call ends with `error`."""
        # `connectionLost`, which calls this again, must not change who closed the connection.
        self.closed_locally = self.closed_locally or not self.is_closed
        call = self.call
        self.call = None
        self._unsent = []
        self.pool.memory.add(-self._kept_bytes)
        self._kept_bytes = 0
        self.pool.on_connection_closed(self)
        self.transport.abortConnection()
        if call is not None:
            call.connection = None
            self.pool.on_connection_failed(call, error or ConnectionBrokenError("closed by the gateway"))

    def connectionLost(self, reason):
        """Ends the call: with the reply, if its body ends with the connection, else as broken.

        A reset ends no body: an engine whose process dies resets its connections.
        """
        self.is_closed = True
        is_end_of_body = self.call is not None and reason.check(ConnectionDone) is not None
        reply = self.reader.connection_closed() if is_end_of_body else None
        if reply is not None:
            self._on_reply(reply)
            return
        if self.call is not None and not self.is_overdue:
            self.pool.on_reused_connection_broken(self.idle_before_call_s)
        self.abort(ConnectionBrokenError(reason.getErrorMessage()))


class ConnectionFactory(TimedClientFactory):
    """Makes one connection, for one call."""

    def __init__(self, pool, call: EngineCall):
        """Creates the factory of a connection of `pool`, for `call`."""
        super().__init__(pool.reactor)
        self.pool = pool
        self.call = call

    def buildProtocol(self, address):
        """Returns the protocol of the connection, which is up."""
        self.stop_timer()
        call = self.call
        self.call = None  # the reactor keeps the factory as long as the connection
        return EngineConnection(self.pool, call)

    def clientConnectionFailed(self, connector, reason):
        """Ends the call if the connection was refused or timed out; else the pool may try another connection.

        A reset before this side saw the connection established is no evidence about the engine.
        """
        self.stop_timer()
        self.pool.open_count -= 1
        is_refused = reason.check(ConnectionRefusedError) is not None
        if is_refused or reason.check(TimeoutError):
            self.call.end(NotConnectedError(is_refused))
        else:
            self.pool.on_connection_failed(self.call, NotConnectedError())
        self.pool.send_waiting()
