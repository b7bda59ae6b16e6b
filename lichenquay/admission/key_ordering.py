"""Key ordering: where a group asks for it, queries of one ordering key run one at a time."""

from collections.abc import Callable

from lichenquay.admission.domain import Attempt, Outcome, Query
from lichenquay.admission.ports import GatewayPort

# After these outcomes the attempt may still run on its engine.
MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.CONNECTION_RESET, Outcome.CANCELLED)


class KeyOrdering:
    """Passes on the queries of one key in the order of their arrival, each when the one before it is over.

    After an attempt that may still run, the key pauses for the settings' time. Without the pause, the next
    query could overtake work that its engine has not finished.
    """

    def __init__(self, port: GatewayPort, pause_ms: float, submit: Callable[[Query], None]):
        """`submit`: called with each query whose turn it is, at once where no order is asked for."""
        self.port = port
        self.pause_ms = pause_ms
        self.submit_in_turn = submit
        self.queues: dict[str, list[Query]] = {}  # by ordering key
        self.paused_until_ms: dict[str, float] = {}

    def submit(self, query: Query) -> None:
        """A query was admitted."""
        if not query.group.is_ordered_by_key or not query.ordering_key:
            self.submit_in_turn(query)
            return
        self.queues.setdefault(query.ordering_key, []).append(query)
        self._advance(query.ordering_key)

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """An attempt ended: its key pauses if it may still run, or advances if its query has ended."""
        query = attempt.query
        if query not in self.queues.get(query.ordering_key, ()):
            return
        if attempt.outcome in MAY_STILL_RUN:
            self.paused_until_ms[query.ordering_key] = self.port.now_ms + self.pause_ms
        self.on_query_over(query)

    def on_query_over(self, query: Query) -> None:
        """The query may be over: then, and with no attempt in flight, its key's next one has its turn."""
        key = query.ordering_key
        if query not in self.queues.get(key, ()):
            return
        if query.is_done and all(attempt.outcome is not None for attempt in query.attempts):
            self.queues[key].remove(query)
            self._advance(key)

    def _advance(self, key: str) -> None:
        """Submits the key's next query, now or after the pause; forgets a key that has none."""
        queue = self.queues.get(key)
        paused_until_ms = self.paused_until_ms.get(key, 0.0)
        if queue and not queue[0].is_first_for_key:
            if self.port.now_ms < paused_until_ms:
                self.port.call_at(paused_until_ms, lambda: self._advance(key))
                return
            queue[0].is_first_for_key = True
            self.submit_in_turn(queue[0])
        elif not queue and self.port.now_ms >= paused_until_ms:
            self.queues.pop(key, None)
            self.paused_until_ms.pop(key, None)
