"""Dispatch: the call that starts an attempt on its engine."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, inlineCallbacks

from lichenquay.admission import domain
from lichenquay.gateway.attempt_in_flight import AttemptInFlight
from lichenquay.gateway.engine_call import (
    ConnectionBrokenError,
    EngineCallError,
    NeverSentError,
    NotConnectedError,
    ReplyTimeoutError,
)
from lichenquay.gateway.engine_protocol import is_poll_reply
from lichenquay.gateway.http import Status


class Dispatcher:
    """Sends attempts, and hands them to the relay once their first call has a reply, broke or is late."""

    def __init__(
        self,
        engines,
        relay,
        tracker,
        metrics,
        call_at: Callable[[float, Callable], None],
        authorize_dispatch: Callable[[AttemptInFlight], bool],
        now_ms: Callable[[], float],
    ):
        """`call_at`: the controller's timers; `authorize_dispatch`: asked just before an attempt's first byte."""
        self.engines = engines
        self.relay = relay
        self.tracker = tracker
        self.metrics = metrics
        self.call_at = call_at
        self.authorize_dispatch = authorize_dispatch
        self.now_ms = now_ms

    def dispatch(self, in_flight: AttemptInFlight, data: bytes) -> None:
        """Sends an attempt, and cancels it at its deadline."""
        self.tracker.dispatched()
        self.call_at(in_flight.deadline_ms, lambda: self._on_deadline(in_flight))
        self._post(in_flight, data).addErrback(self.relay.on_fault, in_flight)

    def _on_deadline(self, in_flight):
        if not in_flight.is_over:
            self.relay.cancel(in_flight)

    @inlineCallbacks
    def _post(self, in_flight, data):
        """The first call: its reply, or that it broke or is late, whatever comes first; then the relay polls.

        The call stays out when it is late: it may not have been read, and its reply says that it has.
        """
        first_outcome = Deferred()
        in_flight.first_call = self.engines.start_call(
            in_flight.engine,
            data,
            is_poll_reply,
            starts_attempt=True,
            address=in_flight.address,
            attempt=in_flight,
            authorize_dispatch=lambda: self.authorize_dispatch(in_flight),
            on_written=lambda: in_flight.lifecycle.post_written(self.now_ms()),
            on_timeout=lambda: first_outcome.callback(ReplyTimeoutError()),
        )
        in_flight.first_call.reply.addCallbacks(
            lambda reply: self._on_reply(in_flight, first_outcome, reply),
            lambda failure: self._on_failure(in_flight, first_outcome, failure),
        )
        outcome = yield first_outcome
        if isinstance(outcome, NeverSentError):
            self.tracker.end(in_flight, domain.Outcome.NEVER_SENT)
            return
        if isinstance(outcome, NotConnectedError):
            self.tracker.end(in_flight, domain.Outcome.NOT_CONNECTED)
            return
        reply = outcome
        if isinstance(outcome, EngineCallError):
            # It may have run, and may still run. Polls on another connection show: the engine continues it,
            # reports its end again, or does not know it, which proves little (see `attempt_lifecycle`).
            self.metrics.count(f"first calls {outcome.label}")
            reply = None
            in_flight.missed_reply = True
        yield self.relay.follow(in_flight, reply)

    def _on_reply(self, in_flight, first_outcome, reply):
        """A late reply to the first call must be neither lost nor used twice: the relay's poll uses it."""
        in_flight.first_call = None
        in_flight.connection = reply.connection
        self.relay.record_reply(in_flight, reply)
        if first_outcome.called:
            self.metrics.count("first calls answered late")
            # A result is repeated to whoever polls.
            if not in_flight.is_over and reply.status != Status.OK:
                in_flight.late_reply = reply
        else:
            first_outcome.callback(reply)
        in_flight.end_pauses()

    def _on_failure(self, in_flight, first_outcome, failure):
        in_flight.connection = in_flight.connection or in_flight.first_call.last_connection
        in_flight.first_call = None
        # Not where the gateway closed the connection: what has arrived whole there is still read.
        if failure.check(ConnectionBrokenError):
            in_flight.lifecycle.connection_closed_by_engine(self.now_ms())
        if first_outcome.called:
            in_flight.end_pauses()
        else:
            first_outcome.callback(failure.value)
