"""Deadlines and final answers: each query gets exactly one answer, by its deadline.

A client without an answer keeps its resources in use and retries; a client with two answers may act on the
wrong one.
"""

from lichenquay.admission.domain import GatewayPermissions, Query
from lichenquay.admission.idempotency import is_client_retry_harmless
from lichenquay.admission.key_ordering import KeyOrdering
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.waiting_queries import WaitingQueries

RETRY_AFTER_DIVISOR = 10  # Retry-After is at most 1/10 of the time left


class FinalAnswers:
    """Ends queries that did not complete."""

    def __init__(
        self,
        port: GatewayPort,
        permissions: GatewayPermissions,
        waiting: WaitingQueries,
        key_ordering: KeyOrdering,
    ):
        """Takes `waiting` and `key_ordering`, from which a query that ends is removed."""
        self.port = port
        self.permissions = permissions
        self.waiting = waiting
        self.key_ordering = key_ordering

    def give(self, query: Query) -> None:
        """Rejects the query with Retry-After if a retry is safe and time is left; else fails it.

        Called at the query's deadline at the latest. A query that already has its answer is left unchanged.
        """
        if query.is_done:
            return
        left_ms = query.deadline_ms - self.port.now_ms
        self.stop_work(query)
        if left_ms > 0 and is_client_retry_harmless(query):
            retry_after_ms = min(self.permissions.max_retry_after_ms, left_ms / RETRY_AFTER_DIVISOR)
            self.port.reject(query, retry_after_ms)
        else:
            self.port.fail(query)
        self.key_ordering.on_query_over(query)

    def on_client_gone(self, query: Query) -> None:
        """Stops the work on a query whose client has gone, and releases its ordering key."""
        self.stop_work(query)
        self.key_ordering.on_query_over(query)

    def stop_work(self, query: Query) -> None:
        """Removes the query from its queue, and cancels its attempt where engines honour that.

        Otherwise the attempt would hold its engine's cores and memory until it ends, although nobody waits
        for it.
        """
        self.waiting.remove(query)
        if self.permissions.may_cancel and query.attempts and query.attempts[-1].outcome is None:
            self.port.cancel_attempt(query.attempts[-1])
