"""Request intake: which queries of clients are accepted, and bounds on what the gateway holds for them."""

import re
from collections.abc import Callable

from twisted.internet.protocol import Factory

from lichenquay.connection_admission import decisions, limits
from lichenquay.gateway import frames
from lichenquay.gateway.client_connection import ClientConnection, InvalidRequestError
from lichenquay.gateway.client_listener import ClientListener
from lichenquay.gateway.controller_adapter import GatewayQuery
from lichenquay.gateway.frames import AnswerCode, ClientRequest
from lichenquay.gateway.statement import table_group_of

MAX_OPEN_QUERIES = 32  # PROTOCOL: on one connection
REQUEST_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
# Of an idempotency or ordering key, which becomes a header of a call: nothing that could be another header.
KEY = re.compile(r"[!-~]{0,256}\Z")
IDLE_TIMEOUT_S = 4.5  # PROTOCOL: clients close idle connections after 4 s; some hold theirs for good
# for a first frame, and for one that has begun: an answer or a close is owed within 3 s
FRAME_TIMEOUT_S = 2.0
MEMORY_SHARE = 16  # one frame or statement takes this part of the free memory at most
MAX_AMOUNT_MS = 86_400_000.0  # a day: what is said to need more is no valid request
MAX_AMOUNT_MB = 1_048_576.0  # a terabyte
QUOTED_CHARS = 40  # of a client's field, in the answer


class RequestRejectedError(InvalidRequestError):
    """A request that would make a query at another time."""

    code = AnswerCode.REJECTED


def _amount(request: ClientRequest, name: str, maximum: float) -> float:
    """A field as a number from 0 to `maximum`. Errors: InvalidRequestError."""
    text = getattr(request, name)
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:
        raise InvalidRequestError(f"{_label(name)}: {text[:QUOTED_CHARS]!r}")
    return value


def _label(name):
    return next(field.label for field in frames.FIELDS.values() if field.name == name)


class RequestIntake(Factory):
    """All clients' connections.

    At most `max_connections` at a time, of which connection admission decides. What clients make the gateway
    hold (open queries' statements, unfinished frames, unread answers) has `max_held_bytes`, all together.
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
    ):
        """`adapter`: where queries go; `is_ready`: what readiness checks are answered.

        Nothing is accepted until `set_bounds`.
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
        self.connections: dict[ClientConnection, bool] = {}  # in the order in which they were opened
        self.max_connections_seen = 0
        self.open_request_ids: dict[str, GatewayQuery] = {}
        self.max_connections = 0
        self.max_held_bytes = 0
        self.held_bytes = 0
        self.is_stopping = False  # nothing more is accepted: the gateway ends
        self.connection_admission = decisions.ConnectionAdmission(
            limits.ConnectionRules(0, 0), self.admission_ms()
        )
        self.listener = ClientListener(reactor, self, metrics)

    def admission_ms(self) -> float:
        """The clock of connection admission."""
        return self.seconds() * 1000

    def set_bounds(self, max_held_bytes: int, rules: limits.ConnectionRules) -> None:
        """Sets the limits; what is open stays open."""
        self.max_connections = rules.max_connections
        self.max_held_bytes = max_held_bytes
        self.connection_admission.set_rules(rules)

    # Connections.

    def buildProtocol(self, address):
        """The connection of a client that was accepted."""
        return ClientConnection(self, getattr(address, "host", ""))

    def connection_opened(self, connection: ClientConnection) -> None:
        """A connection is up."""
        self.connections[connection] = True
        self.max_connections_seen = max(self.max_connections_seen, len(self.connections))

    def connection_closed(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.connections.pop(connection, None)
        self.connection_admission.on_connection_closed(connection.record, self.admission_ms())

    def stop_listening(self) -> None:
        """No more connections; clients are asked to send no more requests."""
        self.listener.close()
        self.send_go_away()

    def send_go_away(self) -> None:
        """Tells all clients to send no more requests on their connections."""
        for connection in list(self.connections):
            connection.send_go_away()

    def close_expired(self) -> None:
        """Closes connections without a whole frame in time, and idle ones."""
        now_s = self.seconds()
        for connection in list(self.connections):
            if not connection.is_open or connection.is_rejecting_input:
                continue
            awaits_frame = not connection.has_sent_frame or connection.reader.buffered_bytes()
            if awaits_frame and now_s - connection.frame_started_s > FRAME_TIMEOUT_S:
                connection.reject_input("no whole frame in time")
            elif connection.is_idle and now_s - connection.last_activity_s > IDLE_TIMEOUT_S:
                connection.send_go_away()
                connection.close()

    def close_idle(self) -> None:
        """Closes all connections on which nothing waits for an answer."""
        for connection in [connection for connection in self.connections if connection.is_idle]:
            connection.close()

    def has_memory_for(self, size_bytes: int, held_before: int = 0) -> bool:
        """Whether there is memory for this, `held_before` bytes of which are held already.

        A few that send much must not take the memory of the many that send little.
        """
        return size_bytes <= (self.max_held_bytes - self.held_bytes + held_before) / MEMORY_SHARE

    # Queries.

    def make_query(
        self, connection: ClientConnection, stream: int, request: ClientRequest, received_ms: float
    ) -> GatewayQuery:
        """The query that a request makes. Errors: InvalidRequestError, RequestRejectedError."""
        if self.is_stopping:
            raise RequestRejectedError("this front ends")
        if len(connection.open_queries) >= MAX_OPEN_QUERIES:
            raise RequestRejectedError(f"more than {MAX_OPEN_QUERIES} open requests")
        self._check_fields(request)
        self._check_room(connection, len(request.statement))
        group = self.groups[request.group]
        statement = bytes(request.statement)  # it outlives the buffer
        max_timeout_ms = group.max_timeout_ms or MAX_AMOUNT_MS
        timeout_ms = min(max_timeout_ms, _amount(request, "timeout_ms", 2 * max_timeout_ms))
        return GatewayQuery(
            id=0,
            group=group,
            arrived_ms=received_ms,
            deadline_ms=received_ms + timeout_ms,
            tenant=self.tenants.get(request.tenant),
            ordering_key=request.ordering_key or "",
            estimated_work_ms=_amount(request, "estimated_work_ms", MAX_AMOUNT_MS),
            estimated_memory_mb=_amount(request, "estimated_memory_mb", MAX_AMOUNT_MB),
            table_group=table_group_of(str(statement, "utf-8", "replace")),
            has_idempotency_key=bool(request.idempotency_key),
            client=connection,
            stream=stream,
            request_id=request.request_id,
            idempotency_key=request.idempotency_key or "",
            statement=statement,
        )

    def _check_fields(self, request):
        """Errors: InvalidRequestError, with the first field that is missing or not valid."""
        if request.repeated:
            raise InvalidRequestError(f"{request.repeated.label}: said twice")
        for field in frames.FIELDS.values():
            is_required = field.is_required and (field.name != "tenant" or self.tenants)
            if is_required and getattr(request, field.name) is None:
                raise InvalidRequestError(f"{field.label}: missing")
        if request.group not in self.groups:
            raise InvalidRequestError(f"group: {request.group[:QUOTED_CHARS]!r}")
        if self.tenants and request.tenant not in self.tenants:
            raise InvalidRequestError(f"tenant: {request.tenant[:QUOTED_CHARS]!r}")
        idempotency_key = request.idempotency_key or ""
        ordering_key = request.ordering_key or ""
        if not KEY.match(idempotency_key) or not KEY.match(ordering_key):
            raise InvalidRequestError(
                f"token or key: {idempotency_key[:QUOTED_CHARS]!r}, {ordering_key[:QUOTED_CHARS]!r}"
            )
        if not REQUEST_ID.match(request.request_id):
            raise InvalidRequestError(f"ref: {request.request_id[:QUOTED_CHARS]!r}")
        # Without this, one query's result would become the answer to another statement.
        if request.request_id in self.open_request_ids:
            raise InvalidRequestError("ref: it is open already")

    def _check_room(self, connection, statement_bytes):
        """Errors: RequestRejectedError. A query of another client may be evicted for this one."""
        if not self.has_memory_for(statement_bytes):
            raise RequestRejectedError("no room for its statement")
        admission_ms = self.admission_ms()
        decision = self.connection_admission.admit_query(connection.record, statement_bytes, admission_ms)
        if not decision.is_admitted:
            raise RequestRejectedError(
                f"{decision.reason}; come back in {max(1.0, decision.retry_after_ms):.0f} ms"
            )
        if decision.evict is not None:  # the youngest of its queries has its final answer now
            evicted_connection = decision.evict.handler
            self.adapter.evict(next(reversed(evicted_connection.open_queries.values())))
