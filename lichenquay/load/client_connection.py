"""The connections of the load generator's clients."""

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.gateway import frames
from lichenquay.load.task import encode_statement

MAX_STREAMS = 32  # open queries on a connection, by the protocol
RECONNECT_DELAY_S = 0.05
NOTICE_STREAM = 0  # answers on it belong to no query


class ClientConnection(Protocol):
    """A connection of a client; it reports to the worker whose queries it carries."""

    def __init__(self, worker, address):
        """Takes the `worker` and the client's `address`, which the connection is bound to."""
        self.worker = worker
        self.address = address
        self.frame_reader = frames.FrameReader()
        self.open_queries = {}  # by stream
        self.ended_queries = {}  # by stream: answered or cancelled
        self.last_stream = 0
        self.is_going_away = False
        self.next_send_ms = None  # of the closed loop

    @property
    def has_free_stream(self):
        """Whether the protocol allows another open query."""
        return len(self.open_queries) < MAX_STREAMS

    def connectionMade(self):
        """Reports the connection to the worker."""
        self.transport.setTcpNoDelay(True)
        self.worker.on_connected(self)

    def dataReceived(self, data):
        """Handles the frames in the data, then lets waiting queries use the streams that became free."""
        now_ms = self.worker.now_ms()
        for frame_type, stream, payload in self.frame_reader.feed(data):
            if frame_type == frames.FrameType.ANSWER:
                self._on_answer(stream, payload, now_ms)
            elif frame_type == frames.FrameType.GO_AWAY:
                self.is_going_away = True
                self.worker.on_going_away(self)
        self.worker.send_waiting(self)

    def connectionLost(self, reason):
        """Reports the loss to the worker, which marks the open queries."""
        self.worker.on_connection_lost(self)

    def send(self, query):
        """Sends a query on the next stream."""
        self.last_stream += 1
        query.connection = self
        query.stream = self.last_stream
        self.open_queries[query.stream] = query
        fields = frames.encode_fields(
            [
                ("service", query.group),
                ("ref", query.ref),
                ("allow", str(query.timeout_ms)),
                ("project", query.tenant),
                ("effort", f"{query.estimated_work_ms:.1f}"),
                ("memory", f"{query.estimated_memory_mb:.0f}"),
            ]
        )
        statement = encode_statement(query.task)
        self.transport.write(frames.encode_frame(frames.FrameType.QUERY, query.stream, fields, statement))

    def cancel(self, query):
        """Cancels an open query; returns False if it is no longer open."""
        if self.open_queries.pop(query.stream, None) is None:
            return False
        self.ended_queries[query.stream] = query
        self.transport.write(frames.encode_frame(frames.FrameType.CANCEL, query.stream))
        return True

    def _on_answer(self, stream, payload, now_ms):
        query = self.open_queries.pop(stream, None)
        if query is not None:
            self.ended_queries[stream] = query
            self.worker.on_answer(query, payload, now_ms)
        elif stream in self.ended_queries:
            self.ended_queries[stream].answer_count += 1
        elif stream != NOTICE_STREAM:
            self.worker.unknown_answers += 1
        else:
            self.worker.notices += 1


class ClientConnectionFactory(ClientFactory):
    """Makes one connection of a client, and tries again until it is up."""

    noisy = False

    def __init__(self, worker, address):
        """Takes the `worker` and the client's `address`."""
        self.worker = worker
        self.address = address

    def buildProtocol(self, peer):
        """Returns the connection, once it is up."""
        return ClientConnection(self.worker, self.address)

    def clientConnectionFailed(self, connector, reason):
        """Counts the failure, and connects again after a delay."""
        self.worker.failed_connects += 1
        reactor.callLater(RECONNECT_DELAY_S, self.worker.connect, self.address)
