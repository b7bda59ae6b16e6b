"""Key ordering: in groups that require it, queries with the same ordering key run one at a time."""

from collections.abc import Callable

from lichenquay.admission.domain import Attempt, Outcome, Query
from lichenquay.admission.ports import GatewayPort

# After these outcomes the attempt may still run on its engine.
MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.CONNECTION_RESET, Outcome.CANCELLED)


class KeyOrdering:
    """Submits the queries of one key in order of arrival, each after the previous one has ended.

    After an attempt that may still run, the key is paused for the time in the settings. Without the pause,
    the next query could overtake work that the engine has not finished.
    """

    def __init__(self, port: GatewayPort, pause_ms: float, submit: Callable[[Query], None]):
        """Takes `submit`, which is called with each query in its turn, or at once if it is unordered."""
        self.port = port
        self.pause_ms = pause_ms
        self.submit_in_turn = submit
        self.queues: dict[str, list[Query]] = {}  # by ordering key
        self.paused_until_ms: dict[str, float] = {}
        self.scheduled: set[str] = set()  # keys whose next query waits for the end of the pause

    def submit(self, query: Query) -> None:
        """Takes an admitted query, and submits it when its key allows."""
        if not query.group.is_ordered_by_key or not query.ordering_key:
            self.submit_in_turn(query)
            return
        self._drop_rested_keys()
        self.queues.setdefault(query.ordering_key, []).append(query)
        self._advance(query.ordering_key)

    def _drop_rested_keys(self) -> None:
        """Deletes the pauses that are over, and the queues of keys that have had no query since."""
        while self.paused_until_ms:
            key = next(iter(self.paused_until_ms))  # pauses are of one length: the one that ends first
            if self.paused_until_ms[key] > self.port.now_ms:
                return
            del self.paused_until_ms[key]
            if not self.queues.get(key):
                self.queues.pop(key, None)

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Pauses the key if the attempt may still run, and advances the key if its query has ended."""
        query = attempt.query
        if query not in self.queues.get(query.ordering_key, ()):
            return
        if attempt.outcome in MAY_STILL_RUN:
            self.paused_until_ms.pop(query.ordering_key, None)  # the latest one comes last
            self.paused_until_ms[query.ordering_key] = self.port.now_ms + self.pause_ms
        self.on_query_over(query)

    def on_query_over(self, query: Query) -> None:
        """Submits the key's next query, if this one has ended and has no attempt in flight."""
        key = query.ordering_key
        if query not in self.queues.get(key, ()):
            return
        if query.is_done and all(attempt.outcome is not None for attempt in query.attempts):
            self.queues[key].remove(query)
            self._advance(key)

    def _advance(self, key: str) -> None:
        """Submits the key's next query, now or after the pause; deletes the state of an unused key."""
        queue = self.queues.get(key)
        paused_until_ms = self.paused_until_ms.get(key, 0.0)
        if queue and not queue[0].is_first_for_key:
            if self.port.now_ms < paused_until_ms:
                self._advance_at(paused_until_ms, key)
                return
            queue[0].is_first_for_key = True
            self.submit_in_turn(queue[0])
        elif not queue and self.port.now_ms >= paused_until_ms:
            self.queues.pop(key, None)
            self.paused_until_ms.pop(key, None)

    def _advance_at(self, at_ms: float, key: str) -> None:
        if key not in self.scheduled:
            self.scheduled.add(key)
            self.port.call_at(at_ms, lambda: self._on_pause_over(key))

    def _on_pause_over(self, key: str) -> None:
        self.scheduled.discard(key)
        self._advance(key)
