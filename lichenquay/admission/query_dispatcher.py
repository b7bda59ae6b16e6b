"""Dispatch: a query runs if an engine has capacity; otherwise it waits for a slot, for a limited time."""

from collections.abc import Callable

from lichenquay.admission.attempts_in_flight import AttemptsInFlight
from lichenquay.admission.domain import Query
from lichenquay.admission.endpoint_list import EndpointStaleness
from lichenquay.admission.engine_choice import EngineChoice
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.retry_policy import RetryPolicy
from lichenquay.admission.waiting_queries import WaitingQueries

WAITING_TIME_DIVISOR = 10  # a query waits for a slot for 1/10 of its timeout, then gets its final answer


class QueryDispatcher:
    """Starts attempts where engines have capacity, and queues the other queries."""

    def __init__(
        self,
        port: GatewayPort,
        registry: EngineRegistry,
        staleness: EndpointStaleness,
        retry_policy: RetryPolicy,
        engine_choice: EngineChoice,
        attempts_in_flight: AttemptsInFlight,
        waiting: WaitingQueries,
        give_final_answer: Callable[[Query], None],
    ):
        """Takes `give_final_answer`, which is called with a query that has waited too long."""
        self.port = port
        self.registry = registry
        self.staleness = staleness
        self.retry_policy = retry_policy
        self.engine_choice = engine_choice
        self.attempts_in_flight = attempts_in_flight
        self.waiting = waiting
        self.give_final_answer = give_final_answer

    def submit(self, query: Query) -> None:
        """Starts an attempt now, or queues the query for a tenth of its timeout (paper, 4.5).

        A query that waited longer would have little time left for an attempt; its client can retry elsewhere
        instead.
        """
        now_ms = self.port.now_ms
        if self._try_start(query, now_ms):
            return
        self.waiting.add(query)
        waits_until_ms = now_ms + (query.deadline_ms - query.arrived_ms) / WAITING_TIME_DIVISOR
        query.timers.append(self.port.call_at(waits_until_ms, lambda: self._end_wait(query)))

    def _end_wait(self, query: Query) -> None:
        if self.waiting.contains(query):
            self.give_final_answer(query)

    def dispatch_waiting(self, now_ms: float, only: EngineState | None = None) -> None:
        """Tries a few waiting queries, after capacity may have become free (on the engine `only`)."""
        for query in self.waiting.next_candidates():
            if self._try_start(query, now_ms, only):
                self.waiting.remove(query)

    def _try_start(self, query: Query, now_ms: float, only: EngineState | None = None) -> bool:
        """Starts an attempt if an engine (or the engine `only`) has capacity; returns whether it did."""
        if not self.registry.states or self.staleness.suspends_dispatch(now_ms):
            return False
        if not self.retry_policy.may_attempt(query, now_ms):
            return False
        chosen = self.engine_choice.choose(query, now_ms, only)
        if chosen is None:
            return False
        self.attempts_in_flight.start(query, chosen, now_ms)
        return True
