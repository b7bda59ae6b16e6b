"""One call to an engine: its bytes, which replies it accepts, and the ways in which it ends without one."""

from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from lichenquay.admission import domain
from lichenquay.gateway.errors import GatewayError
from lichenquay.gateway.http import Reply


class EngineCallError(GatewayError):
    """A call that ended without a reply. `label`: what counters call it."""

    label = "failed"


class NotConnectedError(EngineCallError):
    """No connection came up: nothing was sent."""

    label = "not connected"

    def __init__(self, is_refused: bool = False):
        """`is_refused`: the address itself refused it."""
        super().__init__("refused" if is_refused else "no connection in time")
        self.is_refused = is_refused


class NeverSentError(EngineCallError):
    """It was cancelled, or no longer allowed, before a byte was written.

    Unlike NotConnectedError, it says nothing about the engine.
    """

    label = "never sent"


class ConnectionBrokenError(EngineCallError):
    """The connection ended after bytes had been written, and before the reply was whole."""

    label = "broken"


class UnreadableReplyError(EngineCallError):
    """A reply that cannot be read, or is none to the call."""

    label = "unreadable"


class ReplyTimeoutError(EngineCallError):
    """No reply in time on a connection that is up."""

    label = "timed out"


@dataclass(eq=False, slots=True)
class EngineCall:
    """One call.

    engine, address: where it is sent; the address is the engine's at this time, unless one is given.
    data: its bytes.
    accepts: whether a reply is one to this call.
    attempt: what it is for; a connection's last reply to another attempt may come once more, late.
    is_urgent: it is sent before others, and may use reserved descriptors.
    needs_new_connection: an idle connection will not do.
    starts_attempt: it starts work at the engine, which has to be serving.
    preferred_connection: the one that the attempt's last reply came on.
    authorize_dispatch: asked in the instant before the first byte.
    on_written: called as the first byte is written.
    on_timeout: called when there is no reply in time, in place of the call's end; the call stays out, as its
    reply still settles something.
    """

    engine: domain.Engine
    data: bytes
    accepts: Callable[[Reply], bool]
    is_urgent: bool = False
    needs_new_connection: bool = False
    starts_attempt: bool = False
    preferred_connection: object = None
    on_written: Callable[[], None] | None = None
    on_timeout: Callable[[], None] | None = None
    authorize_dispatch: Callable[[], bool] | None = None
    address: str | None = None
    attempt: object = None
    reply: Deferred = field(default_factory=Deferred)  # of a Reply
    connection: object = None  # the one that it was sent on
    last_connection: object = None  # the same, kept after the call has left it
    is_over: bool = False
    is_written: bool = False
    connection_attempts: int = 0  # connections that broke before a byte was written

    def __post_init__(self):
        """The engine's address now, where none is given."""
        self.address = self.address or self.engine.address

    def withdraw(self) -> bool:
        """Ends the call if nothing of it has been written; returns whether nothing has been, and will be."""
        if not self.is_written:
            self.end(NeverSentError())
        return not self.is_written

    def abandon(self) -> None:
        """Nobody waits for its reply any more: its connection is closed."""
        self.is_over = True
        if self.connection is not None:
            self.connection.abort()

    def withdraw_if_engine_left(self) -> bool:
        """Withdraws what would start work on an engine that has left; returns whether the call is over.

        An engine that drains, is gone or has moved has left. It is asked whenever the call may go: a drain
        may be announced while its connection comes up.
        """
        is_serving = self.engine.state == domain.EndpointState.SERVING
        has_moved = self.engine.address != self.address
        if self.starts_attempt and (not is_serving or has_moved):
            self.withdraw()
        return self.is_over

    def check_before_sending(self) -> bool:
        """Whether it still may go, in the instant before its first byte; otherwise it is withdrawn.

        What was decided when the connection was asked for may not be right any more once it is up.
        """
        if (
            not self.withdraw_if_engine_left()
            and self.authorize_dispatch is not None
            and not self.authorize_dispatch()
        ):
            self.withdraw()
        return not self.is_over

    def end(self, outcome: Reply | EngineCallError) -> None:
        """Its one end: a reply, or an error; what comes later is ignored.

        It may end before its caller has it, where it may not go out on the idle connection at hand; `reply`
        keeps the outcome.
        """
        if self.is_over:
            return
        self.is_over = True
        if isinstance(outcome, Exception):
            self.reply.errback(outcome)
        else:
            self.reply.callback(outcome)
