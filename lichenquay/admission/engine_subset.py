"""Engine subsetting: a gateway with little traffic uses few engines first, so that it knows their load.

Where traffic is too low to get a report from every engine within a report's lifetime, each of many gateways
would otherwise choose without load information, and open a connection for every query.
"""

from itertools import islice

from lichenquay.admission.domain import EndpointState
from lichenquay.admission.engine_registry import BY_RANK, EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.sliding_window import SlidingWindow
from lichenquay.admission.slow_start import SlowStart

MIN_ENGINES = 4
TRAFFIC_LIFETIMES = 4  # traffic is measured over this multiple of the report lifetime
MIN_LIFETIME_SHARE = 1 / 4  # shortest measuring time, as a share of the report lifetime
MAX_SUBSET_SHARE = 1 / 2  # a subset with at least this share of all engines is not used


class EngineSubset:
    """The engines drawn first: as many as this gateway's traffic reaches, and warming ones of its share."""

    def __init__(self, registry: EngineRegistry, slow_start: SlowStart, report_lifetime_ms: float):
        """Starts with no query seen."""
        self.registry = registry
        self.slow_start = slow_start
        self.report_lifetime_ms = report_lifetime_ms
        self.queries = SlidingWindow(report_lifetime_ms, TRAFFIC_LIFETIMES)
        self.first_query_ms: float | None = None
        self.engines: list[EngineState] = []

    def record_query(self, now_ms: float) -> None:
        """Counts an admitted query."""
        self.first_query_ms = self.first_query_ms or now_ms
        self.queries.add(now_ms, 1)

    def _engine_count_with_fresh_reports(self, now_ms: float) -> int:
        """Returns how many engines get a query, and so send a report, within one report lifetime."""
        lifetime_ms = self.report_lifetime_ms
        query_count = self.queries.count(now_ms)
        measured_ms = min(TRAFFIC_LIFETIMES * lifetime_ms, now_ms - (self.first_query_ms or now_ms))
        queries_a_lifetime = query_count * lifetime_ms / max(measured_ms, lifetime_ms * MIN_LIFETIME_SHARE)
        return max(MIN_ENGINES, round(queries_a_lifetime))

    def update(self, now_ms: float, usable_shares: dict[EngineState, float]) -> None:
        """Selects the subset: warm engines in this gateway's order, then warming ones with a budget here."""
        registry = self.registry
        warm = (
            state
            for state in registry.by_rank
            if state.engine.state == EndpointState.SERVING
            and not state.is_unresponsive
            and state not in registry.not_fully_usable
        )
        self.engines = list(islice(warm, self._engine_count_with_fresh_reports(now_ms)))
        for state in sorted(registry.not_fully_usable, key=BY_RANK):
            share = usable_shares[state]
            if share and not state.is_unresponsive and self.slow_start.budget_ms(state.engine, share):
                self.engines.append(state)

    def first_choice(self) -> list[EngineState]:
        """Returns the subset, or all engines where the subset holds half of them or more."""
        if len(self.engines) < len(self.registry.states) * MAX_SUBSET_SHARE:
            return self.engines
        return list(self.registry.states.values())
