"""Deadlines and final answers: each query gets exactly one, in time, whatever happens to its attempts.

A client without an answer holds its resources and asks again; one with two answers may act on the wrong one.
"""

from lichenquay.admission.domain import GatewayPermissions, Query
from lichenquay.admission.idempotency import is_client_retry_harmless
from lichenquay.admission.key_ordering import KeyOrdering
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.waiting_queries import WaitingQueries

RETRY_AFTER_DIVISOR = 10  # Retry-After is 1/10 of the time left at most


class FinalAnswers:
    """Ends queries that did not complete."""

    def __init__(
        self,
        port: GatewayPort,
        permissions: GatewayPermissions,
        waiting: WaitingQueries,
        key_ordering: KeyOrdering,
    ):
        """`waiting`, `key_ordering`: where a query that ends is taken out."""
        self.port = port
        self.permissions = permissions
        self.waiting = waiting
        self.key_ordering = key_ordering

    def give(self, query: Query) -> None:
        """Rejects the query with Retry-After if it may be sent again, and time is left; else fails it.

        Called at the latest when the client's time is up. A query that has its answer already is left alone.
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
        """Nobody waits for the query any more: its work stops, and its ordering key is free."""
        self.stop_work(query)
        self.key_ordering.on_query_over(query)

    def stop_work(self, query: Query) -> None:
        """The query waits no more, and its attempt is cancelled where engines heed that.

        Otherwise the attempt would hold its engine's cores and memory to its end, for nobody.
        """
        self.waiting.remove(query)
        if self.permissions.may_cancel and query.attempts and query.attempts[-1].outcome is None:
            self.port.cancel_attempt(query.attempts[-1])
