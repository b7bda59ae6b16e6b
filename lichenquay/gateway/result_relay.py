"""The result relay: follows an attempt by polls, gathers the pages of its result, and cancels it."""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred, inlineCallbacks

from lichenquay.admission import domain
from lichenquay.gateway import engine_protocol
from lichenquay.gateway.attempt_in_flight import AttemptInFlight
from lichenquay.gateway.engine_call import (
    ConnectionBrokenError,
    NotConnectedError,
    ReplyTimeoutError,
    UnreadableReplyError,
)
from lichenquay.gateway.engine_protocol import POLL_PAGE
from lichenquay.gateway.http import Reply, Status

MAX_RESULT_BYTES = 48_000  # PROTOCOL
MAX_UNREADABLE_REPLIES = 6  # to one call; then the engine itself is at fault
RETRY_DELAY_MS = 50.0  # between two calls for one thing, doubled up to ...
MAX_RETRY_DELAY_MS = 400.0  # ... this, so that the engine is still polled well within 2 s
DEADLINE_TOLERANCE_MS = 1.0  # a cancellation so close before the deadline is a time-out

CONNECTION_ERRORS = (ConnectionBrokenError, ReplyTimeoutError, UnreadableReplyError)


class _TimedReply(NamedTuple):
    """A reply, and when the first byte of its call was written."""

    reply: Reply
    written_ms: float


class ResultRelay:
    """Follows attempts to their end."""

    def __init__(self, engines, tracker, metrics, on_progress: Callable, now_ms: Callable[[], float], log):
        """`on_progress(attempt, kind, amount)`: called with what engines report."""
        self.engines = engines
        self.tracker = tracker
        self.metrics = metrics
        self.on_progress = on_progress
        self.now_ms = now_ms
        self.log = log

    # What other stages ask for.

    @inlineCallbacks
    def follow(self, in_flight: AttemptInFlight, reply: Reply | None):
        """From the reply to the first call (None: it was lost) to the end."""
        self.update_priority(in_flight)  # one that was set while the first call was on its way
        while reply is None or reply.status == Status.ACCEPTED:
            if reply and not in_flight.cancel_outcome:
                self._report_progress(in_flight, reply)
            reply = yield self._fetch(in_flight, POLL_PAGE)
            if reply is None:
                return
        if in_flight.is_ending:
            return
        if engine_protocol.is_overloaded(reply):
            self.tracker.end(in_flight, domain.Outcome.OVERLOADED, reply)
            return
        result = yield self._gather(in_flight, reply)
        if result is not None:
            self.tracker.end(in_flight, domain.Outcome.COMPLETED, reply, result)

    def cancel(self, in_flight: AttemptInFlight, outcome: domain.Outcome | None = None) -> None:
        """Ends an attempt from this side, with `outcome` or as cancelled or timed out."""
        self._cancel(in_flight, outcome).addErrback(self.on_fault, in_flight)

    def update_priority(self, in_flight: AttemptInFlight) -> None:
        """Sends the engine the attempt's priority, if that has changed."""
        self._send_priority(in_flight).addErrback(self.on_fault, in_flight)

    def record_reply(self, in_flight: AttemptInFlight, reply: Reply) -> None:
        """A reply of the engine's own to the first call, or for it: it settles what the engine has."""
        if reply.status in (Status.OK, Status.ACCEPTED):
            in_flight.lifecycle.acknowledged(self.now_ms())
        else:
            in_flight.lifecycle.end_reported()

    def on_fault(self, failure, in_flight: AttemptInFlight) -> None:
        """A fault met for one attempt leaves neither its query open, nor its engine at work on it."""
        self.metrics.count("faults")
        self.log("fault", failure.getTraceback())
        if in_flight.cancel_outcome:
            self.tracker.end(in_flight, in_flight.cancel_outcome)
        else:
            self.cancel(in_flight, domain.Outcome.FAILED)

    # Progress and results.

    def _report_progress(self, in_flight, reply):
        progress = engine_protocol.read_progress(reply)
        if progress is None and in_flight.missed_reply:
            # A progress event may have gone with a reply that was lost.
            progress = engine_protocol.RESPONSIVE
        if progress is not None:
            self.on_progress(in_flight.attempt, progress.kind, progress.amount)
        in_flight.missed_reply = False

    @inlineCallbacks
    def _gather(self, in_flight, reply):
        """The whole result, page after page; None once the attempt has been ended otherwise."""
        page_count = engine_protocol.page_count(reply)
        pages = []
        size_bytes = 0
        while True:
            if reply.status == Status.SERVER_ERROR:  # it failed, or its pages are lost
                self.tracker.end(in_flight, domain.Outcome.FAILED, reply)
                return None
            size_bytes += len(reply.body)
            if size_bytes > MAX_RESULT_BYTES:
                self.metrics.count("results too long")
                yield self._cancel(in_flight, domain.Outcome.FAILED)
                return None
            pages.append(reply.body)
            if len(pages) == page_count:
                return pages
            reply = yield self._fetch(in_flight, len(pages))
            if reply is None:
                return None

    @inlineCallbacks
    def _fetch(self, in_flight, page):
        """A poll or the call for a page, repeated while the engine may still know the query.

        None once the attempt has been ended otherwise.
        """
        data = engine_protocol.encode_page(in_flight.address, in_flight.request_id, page)
        is_poll = page == POLL_PAGE
        accepts = engine_protocol.is_poll_reply if is_poll else engine_protocol.page_reply_check(page)
        needs_new_connection = False
        pause_count = 0
        unreadable_count = 0
        while not in_flight.is_ending:
            if in_flight.late_reply is not None and is_poll:
                reply = in_flight.late_reply
                in_flight.late_reply = None
                return reply
            try:
                timed_reply = yield self._call(in_flight, data, accepts, needs_new_connection)
                if in_flight.is_ending:
                    return None
                if self._settles(in_flight, timed_reply):
                    return timed_reply.reply
                needs_new_connection = False
            except NotConnectedError as error:
                if error.is_refused:
                    self._record_refusal(in_flight)
                    needs_new_connection = False
                if self._is_lost(in_flight):
                    return None
            except CONNECTION_ERRORS as error:
                # The connection's fault, or its peer's for once: the engine gives the same reply again.
                self.metrics.count("polls retried")
                in_flight.missed_reply = True
                if isinstance(error, UnreadableReplyError):
                    self.metrics.count("replies unreadable")
                    unreadable_count += 1
                    if unreadable_count >= MAX_UNREADABLE_REPLIES:
                        yield self._cancel(in_flight, domain.Outcome.FAILED)
                        return None
                if not needs_new_connection:  # at once on another connection; then with pauses
                    needs_new_connection = True
                    continue
            yield self._pause(in_flight, pause_count)
            pause_count += 1

    def _settles(self, in_flight, timed_reply):
        """Whether a reply to a poll is the attempt's own, or 'unknown' that proves that it is over."""
        reply = timed_reply.reply
        if reply.status != Status.SERVER_ERROR:
            in_flight.connection = reply.connection
            in_flight.late_reply = None
            self.record_reply(in_flight, reply)
            in_flight.abandon_first_call()
            return True
        may_be_other_engine = self._may_be_other_engine(in_flight, reply.connection)
        if in_flight.lifecycle.unknown_reported(timed_reply.written_ms, self.now_ms(), may_be_other_engine):
            return True
        self.metrics.count("unknown without proof")
        return False

    def _is_lost(self, in_flight):
        """Whether, without a connection, the process is gone or the query forgotten by now.

        Another attempt must not be sent while a dying process still holds this one.
        """
        if not in_flight.lifecycle.time_passed(self.now_ms()):
            return False
        if not in_flight.cancel_outcome:
            self.metrics.count(f"attempts lost: {in_flight.lifecycle.proof}")
            self.tracker.end(in_flight, domain.Outcome.CONNECTION_RESET)
        return True

    # Cancellation and priorities.

    @inlineCallbacks
    def _cancel(self, in_flight, outcome=None):
        """Cancels; the outcome is reported once the engine certainly no longer works on the attempt."""
        if in_flight.is_ending:
            return
        if in_flight.first_call is not None and in_flight.first_call.withdraw():
            self.tracker.end(in_flight, domain.Outcome.NEVER_SENT)
            return
        in_flight.cancel_outcome = outcome or self._own_cancel_outcome(in_flight)
        in_flight.end_pauses()
        lifecycle = in_flight.lifecycle
        data = engine_protocol.encode_cancel(in_flight.address, in_flight.request_id)
        accepts = engine_protocol.is_acknowledgement
        needs_new_connection = False
        pause_count = 0
        last_reply = None
        while not lifecycle.time_passed(self.now_ms()):
            try:
                timed_reply = yield self._call(in_flight, data, accepts, needs_new_connection, is_poll=False)
                reply = timed_reply.reply
                is_other = self._may_be_other_engine(in_flight, reply.connection)
                if lifecycle.unknown_reported(timed_reply.written_ms, self.now_ms(), is_other, is_poll=False):
                    last_reply = None if is_other else reply
                    break
                # A cancellation that came before its POST was read ends nothing.
                self.metrics.count("cancellations without proof")
                needs_new_connection = False
            except NotConnectedError as error:
                if error.is_refused and self._record_refusal(in_flight):
                    break
            except CONNECTION_ERRORS:
                needs_new_connection = True
            yield self._pause(in_flight, pause_count)
            pause_count += 1
        self.tracker.end(in_flight, in_flight.cancel_outcome, last_reply)

    def _own_cancel_outcome(self, in_flight):
        if self.now_ms() >= in_flight.deadline_ms - DEADLINE_TOLERANCE_MS:
            return domain.Outcome.TIMED_OUT
        return domain.Outcome.CANCELLED

    @inlineCallbacks
    def _send_priority(self, in_flight):
        """A new priority, one call after the other, once the engine has the attempt."""
        while self._has_new_priority(in_flight):
            in_flight.is_sending_priority = True
            in_flight.sent_priority = in_flight.priority
            data = engine_protocol.encode_priority(
                in_flight.address, in_flight.request_id, in_flight.priority
            )
            call = self.engines.start_call(
                in_flight.engine,
                data,
                engine_protocol.is_acknowledgement,
                address=in_flight.address,
                attempt=in_flight,
            )
            try:
                yield call.reply
                self.metrics.count("priorities sent")
            except (*CONNECTION_ERRORS, NotConnectedError):
                self.metrics.count("priorities not sent")
            in_flight.is_sending_priority = False

    def _has_new_priority(self, in_flight):
        if in_flight.is_sending_priority or in_flight.first_call or in_flight.is_ending:
            return False
        return in_flight.sent_priority != in_flight.priority

    # Calls.

    @inlineCallbacks
    def _call(self, in_flight, data, accepts, needs_new_connection, is_poll=True):
        """One call for an attempt; a poll keeps its engine at it, a cancellation goes before other calls."""
        written_ms = 0.0

        def on_written():
            nonlocal written_ms
            written_ms = self.now_ms()
            if is_poll:
                in_flight.lifecycle.poll_written(written_ms)

        call = self.engines.start_call(
            in_flight.engine,
            data,
            accepts,
            needs_new_connection=needs_new_connection,
            is_urgent=not is_poll,
            preferred_connection=in_flight.connection,
            on_written=on_written,
            address=in_flight.address,
            attempt=in_flight,
        )
        try:
            reply = yield call.reply
        except ConnectionBrokenError:
            if call.last_connection is in_flight.connection:
                in_flight.lifecycle.connection_closed_by_engine(self.now_ms())
            raise
        return _TimedReply(reply, written_ms)

    def _pause(self, in_flight, pause_count):
        """A Deferred that fires after a while, or once something happens.

        An engine that accepts connections and closes them at once must not keep the gateway busy with nothing
        else.
        """
        pause = Deferred()
        in_flight.pauses.add(pause)
        delay_ms = min(RETRY_DELAY_MS * 2**pause_count, MAX_RETRY_DELAY_MS)
        timer = self.engines.call_later(delay_ms, lambda: in_flight.end_pause(pause))

        def stop_timer(_):
            if timer.active():
                timer.cancel()

        return pause.addCallback(stop_timer)

    # What connections say of an engine.

    def _record_refusal(self, in_flight):
        """The engine's address refused a connection; returns whether the attempt is over."""
        return in_flight.lifecycle.connection_refused(self.now_ms(), self._process_may_live(in_flight))

    def _process_may_live(self, in_flight):
        """Whether the engine's process may live though its address refuses connections.

        So it is while the first call is in flight, another connection is open, the gateway itself closed the
        connection that it last replied on, or the engine drains. One that accepts no more connections, and
        works on, must not be taken for gone; a reset beside a refusal proves no more.
        """
        last_connection = in_flight.connection
        closed_locally = last_connection is not None and last_connection.closed_locally
        is_leaving = in_flight.engine.state != domain.EndpointState.SERVING
        return (
            in_flight.first_call is not None
            or closed_locally
            or is_leaving
            or self.engines.has_live_connection(in_flight.engine, in_flight.address)
        )

    def _may_be_other_engine(self, in_flight, connection):
        """Whether what came on a connection may be another engine's reply.

        An engine that leaves, or has left, the endpoint list may work on without accepting connections, or
        cut off, while its address has gone to one that does not know its queries.
        """
        is_leaving = in_flight.engine.state != domain.EndpointState.SERVING
        return is_leaving and connection is not in_flight.connection
