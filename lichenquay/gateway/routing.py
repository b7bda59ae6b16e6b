"""Routing: encodes the call that starts an attempt, for the address of its engine."""

from lichenquay.admission import domain
from lichenquay.gateway.attempt_in_flight import AttemptInFlight
from lichenquay.gateway.engine_protocol import encode_start_head


class Router:
    """Starts attempts, with the memory grant and priority that the controller set on the query."""

    def __init__(self, dispatcher, relay):
        """Takes the dispatcher, which sends attempts, and the relay, which follows them."""
        self.dispatcher = dispatcher
        self.relay = relay

    def start(self, attempt: domain.Attempt, timeout_ms: float) -> AttemptInFlight:
        """Sends an attempt, to be cancelled after `timeout_ms`, and returns its state."""
        in_flight = AttemptInFlight(attempt, attempt.sent_ms + timeout_ms)
        grant_mb = attempt.query.grant_mb
        priority = attempt.query.requested_priority
        statement_bytes = len(attempt.query.statement)
        self.dispatcher.dispatch(
            in_flight,
            lambda now_ms: _encode_head(in_flight, grant_mb, priority, statement_bytes, now_ms),
        )
        return in_flight

    def set_priority(self, in_flight: AttemptInFlight, priority: int) -> None:
        """Changes the priority of an attempt in flight."""
        if in_flight.priority != priority and not in_flight.is_ending:
            in_flight.priority = priority
            self.relay.update_priority(in_flight)

    def cancel(self, in_flight: AttemptInFlight) -> None:
        """Cancels an attempt, whose outcome is reported later."""
        self.relay.cancel(in_flight)


def _encode_head(in_flight, grant_mb, priority, statement_bytes, now_ms):
    """Encodes the head of the call as it is sent now: the engine gets the time that is left now."""
    query = in_flight.query
    return encode_start_head(
        host=in_flight.address,
        request_id=query.request_id,
        group=query.group.name,
        timeout_ms=in_flight.deadline_ms - now_ms,
        grant_mb=grant_mb,
        priority=priority,
        statement_bytes=statement_bytes,
        idempotency_key=query.idempotency_key,
        ordering_key=query.ordering_key,
    )
