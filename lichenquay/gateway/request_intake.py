"""Request intake: validates and accepts queries of clients, and bounds the memory held for clients."""

import re
from collections.abc import Callable

from twisted.internet.protocol import Factory

from lichenquay.connection_admission import decisions, limits
from lichenquay.gateway import frames
from lichenquay.gateway.client_connection import MAX_READS_AT_ONCE, ClientConnection
from lichenquay.gateway.client_listener import ClientListener
from lichenquay.gateway.controller_adapter import GatewayQuery
from lichenquay.gateway.frames import ClientRequest
from lichenquay.gateway.memory_account import QUERY_BYTES, MemoryAccount, QueryMemory
from lichenquay.gateway.request_errors import InvalidRequestError, RequestRejectedError
from lichenquay.gateway.sockets import Input, read_available
from lichenquay.gateway.statement import table_group_of

MAX_OPEN_QUERIES = 32  # PROTOCOL: per connection
REQUEST_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}\Z")
# Idempotency and ordering keys are forwarded as HTTP headers: no character that could start another header.
KEY_PATTERN = re.compile(r"[!-~]{0,256}\Z")
IDLE_TIMEOUT_S = 4.5  # PROTOCOL: clients close idle connections after 4 s, but some never close theirs
MAX_DURATION_MS = 86_400_000.0  # a day; bounds work estimates, and time-outs where the group sets no maximum
MAX_MEMORY_MB = 1_048_576.0  # a terabyte; bounds memory estimates
MAX_QUOTED_CHARS = 40  # of a client's field, in an answer


def _read_number(request: ClientRequest, name: str, maximum: float) -> float:
    """Returns a field as a number from 0 to `maximum`. Errors: InvalidRequestError."""
    text = getattr(request, name)
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:
        raise InvalidRequestError(f"{_field_label(name)}: {text[:MAX_QUOTED_CHARS]!r}")
    return value


def _field_label(name):
    """Returns the name of a field in answers to clients."""
    return next(field.label for field in frames.FIELDS.values() if field.name == name)


class RequestIntake(Factory):
    """The factory and registry of all client connections.

    Connection admission bounds the connections to `max_connections`. memory: the account of what the gateway
    holds for queries; it bounds what is accepted.
    """

    noisy = False

    def __init__(
        self,
        settings,
        reactor,
        adapter,
        metrics,
        log,
        now_ms: Callable[[], float],
        is_ready: Callable[[], bool],
        memory: MemoryAccount,
    ):
        """Creates an intake that accepts no connection until `set_limits` is called.

        adapter: receives the queries. is_ready: returns whether readiness checks succeed.
        """
        self.groups = settings.groups
        self.tenants = settings.tenants
        self.reactor = reactor
        self.seconds = reactor.seconds
        self.adapter = adapter
        self.metrics = metrics
        self.log = log
        self.now_ms = now_ms
        self.is_ready = is_ready
        self.memory = memory
        # When what is read at a time arrived; the owner sets it if it notices pauses of this process.
        self.earliest_arrival_ms: Callable[[float], float] = lambda now_ms: now_ms
        self.connections: dict[ClientConnection, bool] = {}  # oldest first
        self.peak_connections = 0
        self.open_request_ids: dict[str, GatewayQuery] = {}
        self.max_connections = 0
        self.is_stopping = False  # new queries are rejected, as the gateway is about to exit
        self.connection_admission = decisions.ConnectionAdmission(
            limits.ConnectionRules(0, 0), self.admission_ms()
        )
        self.listener = ClientListener(reactor, self, metrics)

    def admission_ms(self) -> float:
        """Returns the time for connection admission, in ms."""
        return self.seconds() * 1000

    def set_limits(self, max_held_bytes: int, rules: limits.ConnectionRules) -> None:
        """Sets the limits; connections and queries that exceed them stay open."""
        self.max_connections = rules.max_connections
        self.memory.max_bytes = max_held_bytes
        self.connection_admission.set_rules(rules)

    # Connections

    def buildProtocol(self, address):
        """Returns the protocol of an accepted connection."""
        return ClientConnection(self, getattr(address, "host", ""))

    def connection_opened(self, connection: ClientConnection) -> None:
        """Registers a connection."""
        self.connections[connection] = True
        self.peak_connections = max(self.peak_connections, len(self.connections))

    def connection_closed(self, connection: ClientConnection) -> None:
        """Removes a closed connection."""
        self.connections.pop(connection, None)
        self.connection_admission.on_connection_closed(connection.record, self.admission_ms())

    def stop_listening(self) -> None:
        """Stops accepting connections and asks clients to send no more requests."""
        self.listener.close()
        self.send_go_away()

    def send_go_away(self) -> None:
        """Asks all clients to send no more requests on their connections."""
        for connection in list(self.connections):
            connection.send_go_away()

    def close_expired(self) -> None:
        """Closes connections that have not sent a complete frame in time, and those idle for too long."""
        now_s = self.seconds()
        for connection in list(self.connections):
            if not connection.is_open or connection.is_rejecting_input:
                continue
            if connection.is_frame_overdue(now_s):
                self._check_overdue_frame(connection, now_s)
            elif now_s - connection.last_activity_s > IDLE_TIMEOUT_S:
                connection.close_if_idle()

    def _check_overdue_frame(self, connection, now_s):
        """Reads what has arrived, and rejects further input if the overdue frame is still incomplete.

        A connection that this side does not read is not judged, and one that the client has closed ends by
        itself.
        """
        deadline = connection.frame_deadline
        started_s = deadline.started_s
        received_bytes = connection.reader.received_bytes()
        unread = read_available(
            connection.transport,
            lambda: connection.may_read() and deadline.started_s == started_s,
            MAX_READS_AT_ONCE,
        )
        more_bytes = connection.reader.received_bytes() - received_bytes
        if deadline.started_s != started_s:
            self.metrics.count("overdue frames found unread")
        elif unread is Input.NOTHING and not (more_bytes and deadline.extend()):
            self.log(
                "client",
                f"client: frame overdue age_ms={1000 * (now_s - started_s):.0f} "
                f"received_bytes={received_bytes} more_bytes={more_bytes}",
            )
            connection.reject_input("no whole frame in time")

    def close_idle(self) -> None:
        """Closes all connections on which no request waits for its answer or to be read, or came in part."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort_slowest_reader(self) -> None:
        """Ends the connection with most unread answers, as what is held exceeds the limit."""
        slowest = max(self.connections, key=lambda connection: connection.unsent_bytes)
        self.metrics.count("clients not reading")
        self.log("client", "client: does not read its answers; connection closed")
        slowest.abort()

    # Queries

    def make_query(
        self, connection: ClientConnection, stream: int, request: ClientRequest, received_ms: float
    ) -> GatewayQuery:
        """Returns the query for a valid request. Errors: InvalidRequestError, RequestRejectedError."""
        if self.is_stopping:
            raise RequestRejectedError("this front ends")
        if len(connection.open_queries) >= MAX_OPEN_QUERIES:
            raise RequestRejectedError(f"more than {MAX_OPEN_QUERIES} open requests")
        self._check_fields(request)
        group = self.groups[request.group]
        max_timeout_ms = group.max_timeout_ms or MAX_DURATION_MS
        timeout_ms = min(max_timeout_ms, _read_number(request, "timeout_ms", 2 * max_timeout_ms))
        query = GatewayQuery(
            id=0,
            group=group,
            arrived_ms=received_ms,
            deadline_ms=received_ms + timeout_ms,
            tenant=self.tenants.get(request.tenant),
            ordering_key=request.ordering_key or "",
            estimated_work_ms=_read_number(request, "estimated_work_ms", MAX_DURATION_MS),
            estimated_memory_mb=_read_number(request, "estimated_memory_mb", MAX_MEMORY_MB),
            has_idempotency_key=bool(request.idempotency_key),
            client=connection,
            stream=stream,
            request_id=request.request_id,
            idempotency_key=request.idempotency_key or "",
        )
        size_bytes = QUERY_BYTES + len(request.statement)
        self._admit_query(connection, size_bytes)
        query.memory = QueryMemory(self.memory, size_bytes)
        query.statement = bytes(request.statement)  # copied, as it outlives the buffer
        query.table_group = table_group_of(str(query.statement, "utf-8", "replace"))
        query.memory.grow(len(query.table_group or ""))
        return query

    def _check_fields(self, request):
        """Checks the fields of a request. Errors: InvalidRequestError, for the first faulty one."""
        if request.repeated_field:
            raise InvalidRequestError(f"{request.repeated_field.label}: said twice")
        for field in frames.FIELDS.values():
            is_required = field.is_required and (field.name != "tenant" or self.tenants)
            if is_required and getattr(request, field.name) is None:
                raise InvalidRequestError(f"{field.label}: missing")
        if request.group not in self.groups:
            raise InvalidRequestError(f"group: {request.group[:MAX_QUOTED_CHARS]!r}")
        if self.tenants and request.tenant not in self.tenants:
            raise InvalidRequestError(f"tenant: {request.tenant[:MAX_QUOTED_CHARS]!r}")
        idempotency_key = request.idempotency_key or ""
        ordering_key = request.ordering_key or ""
        if not KEY_PATTERN.match(idempotency_key) or not KEY_PATTERN.match(ordering_key):
            raise InvalidRequestError(
                f"token or key: {idempotency_key[:MAX_QUOTED_CHARS]!r}, {ordering_key[:MAX_QUOTED_CHARS]!r}"
            )
        if not REQUEST_ID_PATTERN.match(request.request_id):
            raise InvalidRequestError(f"ref: {request.request_id[:MAX_QUOTED_CHARS]!r}")
        # An engine would take the second query for a repeat and return the result of the first statement.
        if request.request_id in self.open_request_ids:
            raise InvalidRequestError("ref: it is open already")

    def _admit_query(self, connection, size_bytes):
        """Has a query admitted, for which another client's may be evicted. Errors: RequestRejectedError."""
        if not self.memory.has_room_for_request(size_bytes):
            raise RequestRejectedError("no room for its statement")
        admission_ms = self.admission_ms()
        decision = self.connection_admission.admit_query(connection.record, size_bytes, admission_ms)
        if not decision.is_admitted:
            raise RequestRejectedError(
                f"{decision.reason}; come back in {max(1.0, decision.retry_after_ms):.0f} ms"
            )
        if decision.evict is not None:  # its most recent query gets its final answer
            evicted_connection = decision.evict.handler
            self.adapter.evict(next(reversed(evicted_connection.open_queries.values())))
