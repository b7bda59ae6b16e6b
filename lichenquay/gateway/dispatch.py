"""Dispatch: sends the call that starts an attempt on its engine."""

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

MAX_CHECK_AGE_MS = 10.0  # of the check before a first byte; this process may have stood still since
MAX_CHECKS = 3  # then the attempt is withdrawn


class Dispatcher:
    """Sends attempts; hands each to the relay once its first call has a reply, is broken or has timed out."""

    def __init__(
        self,
        engines,
        relay,
        tracker,
        metrics,
        call_at: Callable[[float, Callable], None],
        authorize_dispatch: Callable[[AttemptInFlight], bool],
        read_news: Callable[[AttemptInFlight], None],
        now_ms: Callable[[], float],
    ):
        """Takes `call_at`, which sets a timer, and what is called just before the first byte.

        read_news: applies what has arrived and was not read yet. authorize_dispatch: decides by it.
        """
        self.engines = engines
        self.relay = relay
        self.tracker = tracker
        self.metrics = metrics
        self.call_at = call_at
        self.authorize_dispatch = authorize_dispatch
        self.read_news = read_news
        self.now_ms = now_ms

    def dispatch(self, in_flight: AttemptInFlight, encode_head: Callable[[float], bytes]) -> None:
        """Sends an attempt and sets the timer that cancels it at its deadline.

        encode_head: returns the head of its first call, as it is sent at a time in ms.
        """
        self.tracker.count_dispatched(in_flight)
        in_flight.deadline_timer = self.call_at(in_flight.deadline_ms, lambda: self.relay.cancel(in_flight))
        self._post(in_flight, encode_head).addErrback(self.relay.on_fault, in_flight)

    @inlineCallbacks
    def _post(self, in_flight, encode_head):
        """Sends the first call; once it has a reply, is broken or times out, the relay follows the attempt.

        After a time-out the call remains open: the engine may not have read it yet, and a late reply shows
        that it has.
        """
        first_outcome = Deferred()
        in_flight.first_call = self.engines.start_call(
            in_flight.engine,
            b"",
            is_poll_reply,
            starts_attempt=True,
            address=in_flight.address,
            attempt=in_flight.call_key,
            encode_if_authorized=lambda: self._encode_if_authorized(in_flight, encode_head),
            body=in_flight.query.statement,
            on_written=lambda is_new_connection: self._on_post_written(in_flight, is_new_connection),
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
            # The attempt may have run or may still run. Polls on another connection find out: the engine
            # continues it, repeats the report of its end, or does not know it, which proves little
            # (`attempt_lifecycle`).
            self.metrics.count(f"first calls {outcome.label}")
            reply = None
            in_flight.has_lost_reply = True
        yield self.relay.follow(in_flight, reply)

    def _encode_if_authorized(self, in_flight, encode_head):
        """Reads what has arrived and asks whether the attempt may be sent; again after a pause in between.

        Returns the head to send, or None.
        """
        for _ in range(MAX_CHECKS):
            checked_ms = self.now_ms()
            self.read_news(in_flight)
            if not self.authorize_dispatch(in_flight):
                return None
            data = encode_head(checked_ms)
            if self.now_ms() - checked_ms <= MAX_CHECK_AGE_MS:
                return data
        return None

    def _on_post_written(self, in_flight, is_new_connection):
        now_ms = self.now_ms()
        in_flight.lifecycle.on_post_written(now_ms, is_new_connection)
        in_flight.engine.last_attempt_ms = now_ms

    def _on_reply(self, in_flight, first_outcome, reply):
        """Records the reply to the first call; a late one is left for the relay, which uses it once."""
        in_flight.first_call = None
        in_flight.connection = reply.connection
        self.relay.record_reply(in_flight, reply)
        if first_outcome.called:
            self.metrics.count("first calls answered late")
            # A result is not kept: the engine repeats it to the next poll.
            if not in_flight.is_over and reply.status != Status.OK:
                in_flight.late_reply = reply
            in_flight.end_pauses()
        else:
            first_outcome.callback(reply)

    def _on_failure(self, in_flight, first_outcome, failure):
        """Records that the first call ended without a reply."""
        in_flight.connection = in_flight.connection or in_flight.first_call.last_connection
        in_flight.first_call = None
        # Not recorded if the gateway closed the connection: the engine still reads a POST that has arrived.
        if failure.check(ConnectionBrokenError):
            in_flight.lifecycle.on_connection_closed_by_engine(self.now_ms())
        if first_outcome.called:
            in_flight.end_pauses()
        else:
            first_outcome.callback(failure.value)
