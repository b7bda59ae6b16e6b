"""One call to an engine: its bytes, the replies it accepts, and the errors with which it may end."""

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from lichenquay.admission import domain
from lichenquay.gateway.errors import GatewayError
from lichenquay.gateway.http import Reply


class EngineCallError(GatewayError):
    """A call ended without a reply. `label` names the error in counters."""

    label = "failed"


class NotConnectedError(EngineCallError):
    """No connection was established, so nothing was sent."""

    label = "not connected"

    def __init__(self, is_refused: bool = False):
        """Creates the error. `is_refused`: the address refused the connection."""
        super().__init__("refused" if is_refused else "no connection in time")
        self.is_refused = is_refused


class NeverSentError(EngineCallError):
    """The call was withdrawn before a byte was written, as it was cancelled or no longer allowed.

    Unlike NotConnectedError, it is no evidence about the engine.
    """

    label = "never sent"


class ConnectionBrokenError(EngineCallError):
    """The connection was closed after bytes had been written and before the reply was complete."""

    label = "broken"


class UnreadableReplyError(EngineCallError):
    """The reply is invalid or does not answer the call."""

    label = "unreadable"


class ReplyNotKeptError(EngineCallError):
    """A part of the reply arrived, and there was no memory to keep it until its rest comes."""

    label = "not kept"


class ReplyTimeoutError(EngineCallError):
    """No reply arrived in time on an established connection."""

    label = "timed out"


@dataclass(eq=False, slots=True)
class EngineCall:
    """One call to an engine.

    engine, address: the destination; the address defaults to the engine's at creation.
    data: the bytes of the request or, with `body`, its head, unless `encode_if_authorized` is given.
    body: the body of the request, if it is sent apart: it is never copied as a whole.
    accepts: returns whether a reply answers this call.
    is_urgent: sent before other calls, and may use reserved descriptors.
    needs_new_connection: must not be sent on an idle connection.
    starts_attempt: starts work at the engine, which must be serving.
    preferred_connection: the connection of the attempt's last reply.
    on_written: called as soon as the first byte is written, with whether the connection is a new one.
    on_timeout: if given, called when there is no reply in time; the call then remains open, as its reply
    still carries information on the attempt.
    encode_if_authorized: returns the `data` to send, or None if the call may no longer be sent; called just
    before the first byte. It may end other calls and close idle connections.
    attempt: identifies the attempt that the call is for; a late duplicate of a reply to another attempt may
    arrive on a connection.
    """

    engine: domain.Engine
    data: bytes
    accepts: Callable[[Reply], bool]
    is_urgent: bool = False
    needs_new_connection: bool = False
    starts_attempt: bool = False
    preferred_connection: object = None
    on_written: Callable[[bool], None] | None = None
    on_timeout: Callable[[], None] | None = None
    encode_if_authorized: Callable[[], bytes | None] | None = None
    address: str | None = None
    attempt: object = None
    body: bytes = b""
    on_over: Callable[["EngineCall"], None] | None = None  # set while the call waits for a descriptor
    reply: Deferred = field(default_factory=Deferred)  # of a Reply
    connection: object = None  # the connection that carries the call
    last_connection: object = None  # the same, kept after the connection is released
    is_over: bool = False
    is_written: bool = False
    connection_attempts: int = 0  # connections that failed before a byte was written

    def __post_init__(self):
        """Sets the address to the engine's current one if none is given."""
        self.address = self.address or self.engine.address

    def withdraw(self) -> bool:
        """Ends the call unless it has been written; returns whether it was never written and will not be."""
        if not self.is_written:
            self.end(NeverSentError())
        return not self.is_written

    def abandon(self) -> None:
        """Ends the call without an outcome and closes its connection, as its reply is no longer needed."""
        self._finish()
        if self.connection is not None:
            self.connection.abort()

    def withdraw_if_engine_left(self) -> bool:
        """Withdraws a call that would start an attempt on an engine that left; returns whether it is over.

        An engine has left if it is draining, removed or at another address. This must be checked each time
        the call may be sent: a drain may be announced while a connection is being established.
        """
        is_serving = self.engine.state == domain.EndpointState.SERVING
        has_moved = self.engine.address != self.address
        if self.starts_attempt and (not is_serving or has_moved):
            self.withdraw()
        return self.is_over

    def withdraw_unless_sendable(self) -> bool:
        """Withdraws the call if it may no longer be sent; returns whether it may be.

        This must be checked just before the first byte is written: the decision to send may be outdated by
        the time a connection is established.
        """
        if self.is_over:
            return False
        if self.encode_if_authorized is not None:
            data = self.encode_if_authorized()
            if data is None:
                self.withdraw()
            else:
                self.data = data
        return not self.withdraw_if_engine_left()

    def end(self, outcome: Reply | EngineCallError) -> None:
        """Ends the call with a reply or an error; does nothing if it has ended already.

        A call that is withdrawn at once ends before `EnginePool.start_call` returns it; `reply` keeps the
        outcome.
        """
        if self.is_over:
            return
        self._finish()
        if isinstance(outcome, Exception):
            self.reply.errback(outcome)
        else:
            self.reply.callback(outcome)

    def _finish(self):
        """Marks the call as over, and lets go of what it refers to, as reference cycles may keep it."""
        self.is_over = True
        self.body = b""
        self.encode_if_authorized = None
        self.on_written = None
        self.on_timeout = None
        if self.on_over is not None:
            self.on_over(self)
            self.on_over = None
