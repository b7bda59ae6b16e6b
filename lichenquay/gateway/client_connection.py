"""A client's connection: handles its frames in order and writes the answers."""

import traceback

from twisted.internet.protocol import Protocol

from lichenquay.gateway import frames
from lichenquay.gateway.client_memory import ClientMemory
from lichenquay.gateway.deferred_requests import DeferredRequests
from lichenquay.gateway.frame_deadline import FrameDeadline
from lichenquay.gateway.frames import AnswerCode, FrameError, FrameReader, FrameType
from lichenquay.gateway.memory_account import DEFERRED_REQUEST_BYTES
from lichenquay.gateway.metrics import ANSWER_COUNTERS
from lichenquay.gateway.process_pauses import ArrivalBound
from lichenquay.gateway.request_errors import InvalidRequestError, RequestRejectedError
from lichenquay.gateway.sockets import (
    Input,
    read_available,
    send_now,
    unacknowledged_bytes,
    unread_input,
)
from lichenquay.gateway.stream_numbers import StreamNumbers

CLOSE_TIMEOUT_S = 0.3  # time for the client to close as well; repeated while it still reads its last answers
INVALID_REQUEST_PAUSE_S = 0.05  # nothing is read for this long after an invalid request
MAX_READS_AT_ONCE = 8  # of 64 KB each
MAX_INVALID_REQUESTS = 16  # a connection with more is closed
# With more bytes of unread answers than this, the requests of a client are deferred.
MAX_UNSENT_BYTES = 65_536


class ClientConnection(Protocol):
    """One client's connection.

    record: the connection's record in connection admission.
    is_open: frames are handled and answers are written.
    is_backlogged: the client does not read its answers, and `unsent_bytes` of them wait in the transport,
    which calls `resumeProducing` once it is empty. Until then requests are deferred, but other frames are
    handled: if nothing were read, a cancellation would wait in the kernel while its query is retried.
    is_rejecting_input: further input is discarded; requests accepted before are still answered.
    """

    def __init__(self, intake, address: str):
        """Registers the connection of the client at `address` with connection admission."""
        self.intake = intake
        self.record = intake.connection_admission.on_connection_opened(address, intake.admission_ms(), self)
        self.reader = FrameReader(intake.memory.has_room_for_request)
        self.arrival = ArrivalBound(intake.earliest_arrival_ms, intake.now_ms)
        self.streams = StreamNumbers()
        self.open_queries = {}  # by stream
        self.memory = ClientMemory(intake.memory, intake.connection_admission, self.record)
        self.deferred_requests = DeferredRequests(self.memory.add)
        self.unsent_bytes = 0
        self.invalid_requests = 0
        self.is_open = True
        self.is_backlogged = False
        self.is_rejecting_input = False
        self.has_sent_go_away = False
        self.last_activity_s = intake.seconds()
        self.frame_deadline = FrameDeadline(self.last_activity_s)
        self.linger_until_ms = 0.0  # until then the client may still read its last answers
        self.pause_timer = None
        self.close_timer = None

    # Reading

    def connectionMade(self):
        """Sets up the connection and registers it with the intake."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        self.intake.connection_opened(self)
        self.arrival.begin_read()
        self.arrival.end_read(self._has_unread_input)

    def dataReceived(self, data):
        """Handles the frames that the data completes; frames may be split anywhere."""
        if self.is_rejecting_input or not self.is_open:
            # Reading goes on slowly: unread bytes would hide that the client closes the connection, and would
            # cause a reset that discards the last answers.
            self._pause_reading()
            return
        self.arrival.begin_read()
        is_new_frame = not self.reader.received_bytes()
        self.memory.add(-self.reader.buffered_bytes())  # a frame that the data completes ends with this turn
        self.last_activity_s = self.intake.seconds()
        try:
            for frame in self.reader.feed(data):
                self._on_frame(frame)
            if is_new_frame:
                self.frame_deadline.restart(self.last_activity_s)
            self.memory.add(self.reader.buffered_bytes())
        except FrameError as error:
            self.reader.discard()
            self.reject_input(str(error))
        self.arrival.end_read(self._has_unread_input)
        if self.intake.is_stopping:
            # A client that sends its next request at each answer would never be found idle otherwise.
            self.close_if_idle()

    def _has_unread_input(self):
        return unread_input(self.transport) is Input.BYTES

    def read_pending(self) -> None:
        """Handles what has arrived, before an attempt is sent for this client: it may have left meanwhile.

        Nothing is read beyond what the connection may hold.
        """
        unread = read_available(  # also where input is rejected: a client that leaves must be noticed
            self.transport,
            lambda: self.open_queries and not self.deferred_requests.are_too_large,
            MAX_READS_AT_ONCE,
        )
        if unread is Input.END:
            self._cancel_open_queries()

    def may_read(self) -> bool:
        """Returns whether the connection may take further input."""
        return self.is_open and not self.is_rejecting_input and not self.deferred_requests.are_too_large

    def is_frame_overdue(self, now_s: float) -> bool:
        """Returns whether no complete frame was read in time."""
        return self.frame_deadline.is_overdue(now_s, self.reader.received_bytes() > 0)

    def _on_frame(self, frame):
        if not self.frame_deadline.has_received_frame:
            self.intake.connection_admission.on_frame_received(self.record, self.intake.admission_ms())
        self.frame_deadline.on_frame(self.last_activity_s)
        if frame.type == FrameType.QUERY:
            self._on_query(frame)
        elif frame.type == FrameType.CANCEL:
            self._on_cancel(frame.stream)
        elif frame.type == FrameType.READINESS_CHECK:
            if frame.payload is not None:
                frames.read_fields(frame.payload)  # raises FrameError where the fields overrun the payload
            self.write(frames.encode_readiness(frame.stream, self.intake.is_ready()))
        else:
            raise FrameError(f"a frame of type {frame.type}")

    def _on_query(self, frame):
        bytes_before = self.streams.held_bytes
        self.streams.claim(frame.stream)
        self.memory.add(self.streams.held_bytes - bytes_before)
        if frame.payload is None or (self.is_backlogged and not self._may_defer(frame.payload)):
            self._answer_invalid(frame.stream, RequestRejectedError("no room for it"))
        elif self.is_backlogged:
            self._defer_request(frame)
        else:
            self._accept_request(frame.stream, frame.payload, self.arrival.read_ms)

    def _on_cancel(self, stream):
        query = self.open_queries.pop(stream, None)
        if query is not None:
            self._cancel_query(query)
        elif stream in self.deferred_requests:
            self.deferred_requests.take(stream)

    def _pause_reading(self):
        """Stops reading for a while, so that invalid input at full speed does not delay other clients."""
        if self.pause_timer is None:
            self.transport.pauseProducing()
            self.pause_timer = self.intake.reactor.callLater(INVALID_REQUEST_PAUSE_S, self._resume_reading)

    def _resume_reading(self):
        self.pause_timer = None
        if not self.deferred_requests.are_too_large:
            self.transport.resumeProducing()

    # Requests

    def _accept_request(self, stream, payload, received_ms):
        request = frames.read_query(payload)
        self.intake.metrics.count("queries received")
        try:
            query = self.intake.make_query(self, stream, request, received_ms)
        except InvalidRequestError as error:
            self._answer_invalid(stream, error)
            return
        except Exception:  # a fault in one query must not end the connection and its other queries
            self.intake.metrics.count("faults")
            self.intake.log("fault", traceback.format_exc())
            self.intake.metrics.count(ANSWER_COUNTERS[AnswerCode.FAILED])
            self.write(frames.encode_answer(stream, AnswerCode.FAILED, b"a fault in the front"))
            return
        self.open_queries[stream] = query
        self.intake.open_request_ids[query.request_id] = query
        self.intake.connection_admission.on_query_admitted(self.record, self.intake.admission_ms())
        self.memory.on_query_opened(query.memory)
        self.intake.adapter.query_received(query)

    def _answer_invalid(self, stream, error):
        """Answers an invalid request and pauses reading, as the client may repeat the request at once."""
        self.intake.metrics.count("requests invalid")
        self.intake.metrics.count(ANSWER_COUNTERS[error.code])
        self.write(frames.encode_answer(stream, error.code, str(error).encode()))
        if error.code == AnswerCode.FAILED:
            self.invalid_requests += 1
        if self.invalid_requests > MAX_INVALID_REQUESTS or self._count_invalid_request(error):
            raise FrameError("too many requests that make no sense")
        if not self.intake.is_stopping:  # then the connection is closed as soon as all input is read
            self._pause_reading()

    def _count_invalid_request(self, error):
        """Counts an invalid request with connection admission; returns whether its rate is exceeded."""
        if error.code != AnswerCode.FAILED:
            return False
        return self.intake.connection_admission.on_invalid_request(self.record, self.intake.admission_ms())

    def _cancel_query(self, query):
        self._release_query(query)
        self.intake.adapter.client_gone(query)

    def _release_query(self, query):
        """Frees what a finished query holds for its client."""
        self.memory.on_query_closed(query.memory)
        self.intake.connection_admission.on_query_finished(self.record, self.intake.admission_ms())
        self.intake.open_request_ids.pop(query.request_id, None)
        query.statement = b""
        query.client = None

    def _may_defer(self, payload):
        return self.intake.memory.has_room_for_request(len(payload) + DEFERRED_REQUEST_BYTES)

    def _defer_request(self, frame):
        self.deferred_requests.add(frame.stream, bytes(frame.payload), self.arrival.read_ms)
        if self.deferred_requests.are_too_large:
            self.transport.pauseProducing()

    def _accept_deferred_requests(self):
        """Accepts deferred requests in order; their time-out counts from when they were received."""
        try:
            while (
                self.deferred_requests
                and not self.is_backlogged
                and self.is_open
                and not self.is_rejecting_input
            ):
                stream = next(iter(self.deferred_requests))
                request = self.deferred_requests.take(stream)
                self._accept_request(stream, request.payload, request.received_ms)
        except FrameError as error:
            self.reject_input(str(error))

    # Answers

    def send_answer(self, query, code: AnswerCode, body: list[bytes]) -> None:
        """Sends the final answer of a query, whose body is given in pieces."""
        if self.open_queries.pop(query.stream, None) is None:
            return
        self._release_query(query)
        self.last_activity_s = self.intake.seconds()  # it is idle from now on
        self.linger_until_ms = max(self.linger_until_ms, query.deadline_ms)
        self.write(frames.encode_answer(query.stream, code, *body))
        self.intake.metrics.count(ANSWER_COUNTERS[code])
        self._close_if_answered()

    def send_go_away(self) -> None:
        """Asks the client, once, to send no more requests on this connection."""
        if not self.has_sent_go_away:
            self.has_sent_go_away = True
            self.write(frames.encode_frame(FrameType.GO_AWAY, 0))

    def write(self, data: bytes) -> None:
        """Writes a frame; has a connection aborted if what is held for queries exceeds the limit."""
        if not self.is_open:
            return
        rest = data if self.unsent_bytes else send_now(self.transport, data)
        if not rest:
            return
        self.unsent_bytes += len(rest)
        self.memory.add(len(rest))
        if self.intake.memory.is_exceeded:
            self.intake.abort_slowest_reader()
            if not self.is_open:
                return
        # The transport accepts only `bytes`; a memoryview would raise and truncate the answer.
        self.transport.write(bytes(rest))
        self.is_backlogged = self.is_backlogged or self.unsent_bytes > MAX_UNSENT_BYTES

    def abort(self) -> None:
        """Ends the connection at once, as its client does not read its answers."""
        self.is_open = False
        self.memory.add(-self.unsent_bytes)
        self.unsent_bytes = 0
        self.transport.abortConnection()

    def resumeProducing(self):
        """Accepts deferred requests again, as the transport has sent all that was written."""
        self.memory.add(-self.unsent_bytes)
        self.unsent_bytes = 0
        if self.is_backlogged:
            self.is_backlogged = False
            self._accept_deferred_requests()
            if self.pause_timer is None and not self.deferred_requests.are_too_large:
                self.transport.resumeProducing()
        if self.close_timer is not None:
            self._close_output()

    def stopProducing(self):
        """Marks the connection as closed, as the transport is closing."""
        self.is_open = False

    # Closing

    @property
    def is_idle(self) -> bool:
        """Whether no accepted or deferred request waits for its answer."""
        return not self.open_queries and not self.deferred_requests

    def close_if_idle(self) -> None:
        """Closes the connection if no request waits for its answer, or to be read, or has come in part."""
        if not self.is_open or not self.is_idle or self.reader.received_bytes():
            return
        if unread_input(self.transport) is not Input.BYTES:
            self.send_go_away()
            self.close()

    def evict(self) -> None:
        """Closes the connection in favour of another one, after its queries have got their final answers."""
        self.intake.metrics.count("clients evicted")
        read_available(self.transport, self.may_read, MAX_READS_AT_ONCE)  # what has arrived is answered
        if self.is_idle:
            self.send_go_away()
            self.close()
            return
        self.reject_input("its place is needed by others", AnswerCode.REJECTED)
        for query in list(self.open_queries.values()):
            self.intake.adapter.evict(query)

    def reject_input(self, reason: str, code: AnswerCode = AnswerCode.FAILED) -> None:
        """Sends the reason and discards further input; closes once all accepted requests are answered."""
        if self.is_rejecting_input:
            return
        self.intake.metrics.count("invalid frames" if code == AnswerCode.FAILED else "busy clients evicted")
        self.intake.log("client", f"client: {reason}; connection closed")
        self.write(frames.encode_answer(0, code, reason.encode()))
        self.is_rejecting_input = True
        # Each deferred request still gets an answer.
        for stream in list(self.deferred_requests):
            self.deferred_requests.take(stream)
            self.write(frames.encode_answer(stream, code, reason.encode()))
        self.intake.connection_admission.on_connection_ending(self.record, self.intake.admission_ms())
        self._close_if_answered()

    def close(self) -> None:
        """Closes the connection, which must have no open query.

        The sending side is closed once all that was written has been sent; the connection is closed once the
        client has closed its side, or after `CLOSE_TIMEOUT_S`, repeated while the client still reads. Closing
        with unread input, or at a fixed time, would reset the connection and discard answers that the client
        has not read yet.
        """
        if not self.is_open:
            return
        self.is_open = False
        self.intake.connection_admission.on_connection_ending(self.record, self.intake.admission_ms())
        self.close_timer = self.intake.reactor.callLater(CLOSE_TIMEOUT_S, self._finish_closing)
        if not self.unsent_bytes:
            self._close_output()

    def _close_if_answered(self):
        if self.is_rejecting_input and not self.open_queries:
            self.close()

    def _close_output(self):
        """Closes the sending side of the connection."""
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def _finish_closing(self):
        """Closes the connection; waits for a slow client until the latest deadline of its queries."""
        unreceived_bytes = self.unsent_bytes or unacknowledged_bytes(self.transport)
        if unreceived_bytes and self.intake.now_ms() < self.linger_until_ms:
            self.close_timer = self.intake.reactor.callLater(CLOSE_TIMEOUT_S, self._finish_closing)
        elif unreceived_bytes:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def connectionLost(self, reason):
        """Releases all that was held for the client and cancels its open queries."""
        self.is_open = False
        self.unsent_bytes = 0
        self.reader.discard()
        for stream in list(self.deferred_requests):
            self.deferred_requests.take(stream)
        self.memory.release()
        for timer in (self.pause_timer, self.close_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._cancel_open_queries()
        self.intake.connection_closed(self)

    def _cancel_open_queries(self):
        """Cancels all open queries, and their attempts at the engines, as the client has left."""
        queries = self.open_queries
        self.open_queries = {}
        for query in queries.values():
            self._cancel_query(query)
