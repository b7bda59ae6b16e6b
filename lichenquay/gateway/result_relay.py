"""The result relay: polls attempts, fetches the pages of their results, and cancels attempts."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, inlineCallbacks

from lichenquay.admission import domain
from lichenquay.gateway import engine_protocol
from lichenquay.gateway.attempt_in_flight import AttemptInFlight
from lichenquay.gateway.engine_call import (
    ConnectionBrokenError,
    NotConnectedError,
    ReplyNotKeptError,
    ReplyTimeoutError,
    UnreadableReplyError,
)
from lichenquay.gateway.engine_evidence import TimedReply
from lichenquay.gateway.engine_protocol import POLL_PAGE
from lichenquay.gateway.http import Reply, Status
from lichenquay.gateway.memory_account import MemoryAccount, result_bytes

MAX_RESULT_BYTES = 48_000  # PROTOCOL
MAX_UNREADABLE_REPLIES = 6  # to one poll or page; then the fault is the engine's, and the attempt fails
MAX_SEGMENT_DELAY_MS = 5.0  # between the parts of one reply, if the network splits it
RETRY_DELAY_MS = 50.0  # backoff between retries of a call, doubled up to ...
MAX_RETRY_DELAY_MS = 400.0  # ... this, so that polls are well within the 2 s after which an engine forgets
DEADLINE_TOLERANCE_MS = 1.0  # a cancellation this close to the deadline counts as a time-out

CONNECTION_ERRORS = (ConnectionBrokenError, ReplyNotKeptError, ReplyTimeoutError, UnreadableReplyError)


class ResultRelay:
    """Follows attempts from the reply to their first call to their end."""

    def __init__(
        self,
        engines,
        evidence,
        tracker,
        metrics,
        on_progress: Callable,
        now_ms: Callable[[], float],
        log,
        memory: MemoryAccount,
    ):
        """Takes the callback `on_progress(attempt, kind, amount)`, called with what engines report.

        evidence: tells whose replies are (`EngineEvidence`). memory: the account of the pages of results.
        """
        self.engines = engines
        self.evidence = evidence
        self.tracker = tracker
        self.metrics = metrics
        self.on_progress = on_progress
        self.now_ms = now_ms
        self.log = log
        self.memory = memory

    # Interface to other stages

    @inlineCallbacks
    def follow(self, in_flight: AttemptInFlight, reply: Reply | None):
        """Follows an attempt from the reply to its first call, or None if that was lost, to its end."""
        self.update_priority(in_flight)  # it may have changed while the first call was open
        while True:
            while reply is None or reply.status == Status.ACCEPTED:
                if reply and not in_flight.cancel_outcome:
                    self._report_progress(in_flight, reply)
                reply = yield self._fetch(in_flight, POLL_PAGE)
                if reply is None:
                    return
            if reply.status != Status.OK or self._reserve_result(in_flight, reply):
                break
            reply = None  # the engine repeats it
            yield self._wait(in_flight, MAX_RETRY_DELAY_MS)
        if in_flight.is_ending:
            return
        if engine_protocol.is_overloaded(reply):
            self.tracker.end(in_flight, domain.Outcome.OVERLOADED, reply)
            return
        result = yield self._gather(in_flight, reply)
        if result is not None:
            self.tracker.end(in_flight, domain.Outcome.COMPLETED, reply, result)

    def cancel(self, in_flight: AttemptInFlight, outcome: domain.Outcome | None = None) -> None:
        """Cancels an attempt, which ends with `outcome`; by default, as cancelled or timed out."""
        self._cancel(in_flight, outcome).addErrback(self.on_fault, in_flight)

    def update_priority(self, in_flight: AttemptInFlight) -> None:
        """Sends the attempt's priority to the engine if it has changed."""
        self._send_priority(in_flight).addErrback(self.on_fault, in_flight)

    def record_reply(self, in_flight: AttemptInFlight, reply: Reply) -> None:
        """Records a reply to the first call or to a poll in the attempt's lifecycle."""
        if reply.status in (Status.OK, Status.ACCEPTED):
            in_flight.lifecycle.on_acknowledged(self.now_ms())
        else:
            in_flight.lifecycle.on_end_reported()

    def on_fault(self, failure, in_flight: AttemptInFlight) -> None:
        """Logs an unexpected exception and ends the attempt, which is cancelled at its engine."""
        self.metrics.count("faults")
        self.log("fault", failure.getTraceback())
        if in_flight.cancel_outcome:
            self.tracker.end(in_flight, in_flight.cancel_outcome)
        else:
            self.cancel(in_flight, domain.Outcome.FAILED)

    # Progress and results

    def _report_progress(self, in_flight, reply):
        progress = engine_protocol.read_progress(reply)
        if progress is None and in_flight.has_lost_reply:
            # A progress event may have been in the lost reply.
            progress = engine_protocol.RESPONSIVE
        if progress is not None:
            self.on_progress(in_flight.attempt, progress.kind, progress.amount)
        in_flight.has_lost_reply = False

    def _reserve_result(self, in_flight, first_page):
        """Reserves the memory for a result before its pages are fetched; returns whether there is enough."""
        page_count = engine_protocol.page_count(first_page)
        size_bytes = result_bytes(page_count, engine_protocol.MAX_PAGE_BYTES, MAX_RESULT_BYTES)
        if not self.memory.reserve(size_bytes):
            self.metrics.count("results that waited for memory")
            return False
        in_flight.result_bytes = size_bytes
        return True

    @inlineCallbacks
    def _gather(self, in_flight, reply):
        """Fetches and returns all pages of the result; None if the attempt has ended otherwise."""
        pages = []  # replies
        size_bytes = 0
        cut_count = 0
        while True:
            if reply.status != Status.OK:  # the query failed, or the engine lost its pages
                proof = in_flight.lifecycle.proof
                is_reset = proof is not None and not proof.is_end_reported
                outcome = domain.Outcome.CONNECTION_RESET if is_reset else domain.Outcome.FAILED
                self.tracker.end(in_flight, outcome, reply)
                return None
            if not pages:
                page_count = engine_protocol.page_count(reply)
            pages.append(reply)
            size_bytes += len(reply.body)
            if size_bytes > MAX_RESULT_BYTES:
                self.metrics.count("results too long")
                yield self._cancel(in_flight, domain.Outcome.FAILED)
                return None
            if len(pages) == page_count:
                pages = yield self._complete_pages(in_flight, pages)
                if in_flight.is_ending:
                    return None
                if len(pages) == page_count:
                    return [page.body for page in pages]
                size_bytes = sum(len(page.body) for page in pages)
                cut_count += 1
                if cut_count == MAX_UNREADABLE_REPLIES:
                    yield self._cancel(in_flight, domain.Outcome.FAILED)
                    return None
            reply = yield self._fetch(in_flight, len(pages))
            if reply is None:
                return None

    @inlineCallbacks
    def _complete_pages(self, in_flight, pages):
        """Waits for what may follow the pages; returns those before the first one that may be cut short."""
        left_ms = in_flight.deadline_ms - self.now_ms() - DEADLINE_TOLERANCE_MS
        yield self._wait(in_flight, min(MAX_SEGMENT_DELAY_MS, left_ms))
        for connection in {page.connection for page in pages}:
            connection.read_available()
        for number, page in enumerate(pages):
            if engine_protocol.may_be_cut_short(page):
                self.metrics.count("results followed by further rows")
                return pages[:number]
        return pages

    @inlineCallbacks
    def _fetch(self, in_flight, page):
        """Polls, or fetches a page, with retries while the engine may still know the query.

        Returns the reply, or None if the attempt has ended otherwise.
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
                is_conclusive = yield self._record_poll_reply(in_flight, timed_reply)
                if in_flight.is_ending:
                    return None
                if is_conclusive:
                    return timed_reply.reply
                needs_new_connection = False
                if self._end_if_lost(in_flight):
                    return None
            except NotConnectedError as error:
                if error.is_refused:
                    yield self.evidence.record_refusal(in_flight)
                    if in_flight.is_ending:
                        return None
                    needs_new_connection = False
                if self._end_if_lost(in_flight):
                    return None
            except CONNECTION_ERRORS as error:
                # A fault of the connection, or a single one of the engine, which repeats its reply.
                self.metrics.count("polls retried")
                in_flight.has_lost_reply = True
                if isinstance(error, UnreadableReplyError):
                    self.metrics.count("replies unreadable")
                    self.log("reply", f"reply: unreadable engine={in_flight.engine.id} reason={str(error)!r}")
                    unreadable_count += 1
                    if unreadable_count >= MAX_UNREADABLE_REPLIES:
                        yield self._cancel(in_flight, domain.Outcome.FAILED)
                        return None
                if not needs_new_connection:  # the first retry is immediate, on another connection
                    needs_new_connection = True
                    continue
            yield self._pause(in_flight, pause_count)
            pause_count += 1

    @inlineCallbacks
    def _record_poll_reply(self, in_flight, timed_reply):
        """Records a reply to a poll; returns whether it is about the attempt or proves that this is over.

        False: the reply is 'unknown', which proves nothing yet, or an engine that may be another one does not
        have the query, whether it reports 'unknown' or that it shed the attempt. Only an engine that has the
        query reports its progress or its result.
        """
        reply = timed_reply.reply
        replied_ms = self.now_ms()
        has_query = reply.status in (Status.OK, Status.ACCEPTED)
        may_be_other_engine = False
        if not has_query:
            may_be_other_engine = yield self.evidence.may_be_other_engine(in_flight, timed_reply)
            if in_flight.is_ending:
                return False
        if has_query or (engine_protocol.is_overloaded(reply) and not may_be_other_engine):
            in_flight.connection = reply.connection
            in_flight.late_reply = None
            self.record_reply(in_flight, reply)
            in_flight.abandon_first_call()
            return True
        is_over = in_flight.lifecycle.on_unknown_reported(
            timed_reply.written_ms, replied_ms, may_be_other_engine
        )
        if is_over and not may_be_other_engine:
            return True
        self.metrics.count("unknown without proof")
        return False

    def _end_if_lost(self, in_flight):
        """Ends the attempt if, without a connection, the engine's process is gone or has forgotten the query.

        Returns whether it did. No other attempt may be sent while a dying process may still run this one.
        """
        if not in_flight.lifecycle.on_time_passed(self.now_ms()):
            return False
        if not in_flight.cancel_outcome:
            self.metrics.count(f"attempts lost: {in_flight.lifecycle.proof}")
            self.tracker.end(in_flight, domain.Outcome.CONNECTION_RESET)
        return True

    # Cancellation and priorities

    @inlineCallbacks
    def _cancel(self, in_flight, outcome=None):
        """Cancels an attempt; reports the outcome once the attempt is certainly not running any more."""
        if in_flight.is_ending:
            return
        if in_flight.first_call is not None and in_flight.first_call.withdraw():
            self.tracker.end(in_flight, domain.Outcome.NEVER_SENT)
            return
        in_flight.cancel_outcome = outcome or self._default_cancel_outcome(in_flight)
        in_flight.end_pauses()
        lifecycle = in_flight.lifecycle
        data = engine_protocol.encode_cancel(in_flight.address, in_flight.request_id)
        accepts = engine_protocol.is_acknowledgement
        needs_new_connection = False
        pause_count = 0
        last_reply = None
        while not lifecycle.on_time_passed(self.now_ms()):
            try:
                timed_reply = yield self._call(in_flight, data, accepts, needs_new_connection, is_poll=False)
                reply = timed_reply.reply
                replied_ms = self.now_ms()
                is_other = yield self.evidence.may_be_other_engine(in_flight, timed_reply)
                if lifecycle.on_unknown_reported(timed_reply.written_ms, replied_ms, is_other, is_poll=False):
                    last_reply = None if is_other else reply
                    break
                # The cancellation may have been read before the POST, and then has no effect.
                self.metrics.count("cancellations without proof")
                needs_new_connection = False
            except NotConnectedError as error:
                if error.is_refused and (yield self.evidence.record_refusal(in_flight)):
                    break
            except CONNECTION_ERRORS:
                needs_new_connection = True
            yield self._pause(in_flight, pause_count)
            pause_count += 1
        self.tracker.end(in_flight, in_flight.cancel_outcome, last_reply)

    def _default_cancel_outcome(self, in_flight):
        if self.now_ms() >= in_flight.deadline_ms - DEADLINE_TOLERANCE_MS:
            return domain.Outcome.TIMED_OUT
        return domain.Outcome.CANCELLED

    @inlineCallbacks
    def _send_priority(self, in_flight):
        """Sends new priorities, one call at a time, once the first call has its reply."""
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
                attempt=in_flight.call_key,
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

    # Calls

    @inlineCallbacks
    def _call(self, in_flight, data, accepts, needs_new_connection, is_poll=True):
        """Makes one call for an attempt: a poll or page, or else a cancellation, which is urgent.

        Returns the reply with the time of the call. Errors: EngineCallError.
        """
        written_ms = 0.0

        def on_written(is_new_connection):
            nonlocal written_ms
            written_ms = self.now_ms()
            if is_poll:
                in_flight.lifecycle.on_poll_written(written_ms, is_new_connection)

        call = self.engines.start_call(
            in_flight.engine,
            data,
            accepts,
            needs_new_connection=needs_new_connection,
            is_urgent=not is_poll,
            preferred_connection=in_flight.connection,
            on_written=on_written,
            address=in_flight.address,
            attempt=in_flight.call_key,
        )
        try:
            reply = yield call.reply
        except ConnectionBrokenError:
            if call.last_connection is in_flight.connection:
                in_flight.lifecycle.on_connection_closed_by_engine(self.now_ms())
            raise
        return TimedReply(reply, written_ms)

    def _pause(self, in_flight, pause_count):
        """Returns a Deferred that fires after a backoff, or as soon as the attempt's state changes.

        Without it, an engine that accepts connections and closes them at once would keep the gateway busy.
        """
        return self._wait(in_flight, min(RETRY_DELAY_MS * 2**pause_count, MAX_RETRY_DELAY_MS))

    def _wait(self, in_flight, delay_ms):
        """Returns a Deferred that fires after a delay, or as soon as the attempt's state changes."""
        pause = Deferred()
        in_flight.pauses.add(pause)
        timer = self.engines.call_later(delay_ms, lambda: in_flight.end_pause(pause))

        def stop_timer(_):
            if timer.active():
                timer.cancel()

        return pause.addCallback(stop_timer)
