"""Slow start: how much work a gateway sends to an engine that is warming up.

An engine that has just started fails when all gateways together send it more than a multiple of its present
capacity within a window. No gateway knows what the others send, so each keeps to its part of the budget.
"""

from collections.abc import Sequence
from zlib import crc32

from lichenquay.admission.domain import EndpointState, Engine, Query, ResourceGroup, SafetyLimits
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.query_size import expected_work_ms
from lichenquay.admission.sliding_window import SlidingWindow

USED_BUDGET_SHARE = 0.8  # of the multiple at which an engine fails; the rest covers uneven arrivals
SUSTAINED_CORE_SHARE = 0.85  # share of its cores' time that an engine can spend on queries
SPENT_AT_START_SHARE = 0.75  # share of the budget that counts as spent when this gateway starts
BUCKETS_PER_WINDOW = 8  # of the slow-start window in the settings
DEFAULT_BUCKET_MS = 1.0  # bucket width where the settings give no window
WORK_AVERAGE_QUERIES = 50  # number of queries over which a group's mean work is averaged


class SlowStart:
    """This gateway's part of the work that an engine may be sent while it warms up."""

    def __init__(
        self,
        limits: SafetyLimits,
        gateway_count: int,
        gateway_index: int | None,
        groups: Sequence[ResourceGroup],
    ):
        """Takes `gateway_index`: this gateway's index among all gateways, from 0; None: unknown."""
        self.limits = limits
        self.gateway_count = max(1, gateway_count)
        self.gateway_index = gateway_index
        objectives_ms = sum(group.latency_objective_ms * group.threads for group in groups)
        self.typical_query_work_ms = objectives_ms / max(1, len(groups))
        self.mean_work_ms: dict[ResourceGroup, float] = {}

    def new_window(self) -> SlidingWindow:
        """Creates a window of work sent to one engine, one bucket longer than the slow-start window."""
        bucket_ms = self.limits.slow_start_window_ms / BUCKETS_PER_WINDOW or DEFAULT_BUCKET_MS
        return SlidingWindow(bucket_ms, BUCKETS_PER_WINDOW + 1)

    def record_query(self, query: Query) -> None:
        """Adds the work of an admitted query to its group's mean."""
        work_ms = expected_work_ms(query)
        mean_ms = self.mean_work_ms.get(query.group, work_ms)
        self.mean_work_ms[query.group] = (
            (WORK_AVERAGE_QUERIES - 1) * mean_ms + work_ms
        ) / WORK_AVERAGE_QUERIES

    def charged_work_ms(self, query: Query) -> float:
        """Returns the work charged for the query: its own, or its group's mean if that is more.

        Engines count queries by their mean work; many small queries would otherwise exceed the budget.
        """
        return max(self.mean_work_ms.get(query.group, 0.0), expected_work_ms(query))

    def warm_share(self, engine: Engine, now_ms: float) -> float:
        """Returns the share of its capacity (0 to 1) that the engine certainly has, by its age.

        How capacity rises is not announced, so it is assumed to rise late: with the square of the age.
        """
        limits = self.limits
        if engine.started_ms is None or not limits.warm_up_ms:
            return 1.0
        age_share = max(0.0, now_ms - engine.started_ms) / limits.warm_up_ms
        if age_share >= 1:
            return 1.0
        initial_share = limits.warm_up_initial_share
        return initial_share + (1 - initial_share) * age_share * age_share

    def usable_share(self, engine: Engine, now_ms: float) -> float:
        """Returns the share of its capacity (0 to 1) available to new work; 0 while the engine drains."""
        if engine.state == EndpointState.SERVING:
            return self.warm_share(engine, now_ms)
        return 0.0

    def budget_ms(self, engine: Engine, warm_share: float) -> float:
        """Returns the work in milliseconds that may be sent to the engine within one slow-start window.

        The budget is divided among the gateways. Where one part stays below a typical query until the engine
        is warm, and gateways are numbered, it is shared by as many gateways as there is room for one query
        each, and the others get none; otherwise no gateway could use the engine before it is warm. One
        further part is reserved for a gateway that joins the sharers while the work of the others still
        counts.
        """
        limits = self.limits
        warm_budget_ms = (
            USED_BUDGET_SHARE
            * limits.slow_start_overload_factor
            * limits.slow_start_window_ms
            * SUSTAINED_CORE_SHARE
            * engine.cores
        )
        if self.gateway_index is None or warm_budget_ms >= self.gateway_count * self.typical_query_work_ms:
            return warm_budget_ms * warm_share / self.gateway_count
        sharers = max(1, int(warm_budget_ms * warm_share / self.typical_query_work_ms) - 1)
        position = (crc32(engine.id.encode()) + self.gateway_index) % self.gateway_count
        return warm_budget_ms * warm_share / (sharers + 1) if position < sharers else 0.0

    def charge_budget_at_start(self, state: EngineState, now_ms: float) -> None:
        """Charges most of the budget for the engine as spent already.

        The previous process of this gateway may have spent the budget within the same window; a restart of
        all gateways would otherwise send a cold engine twice what it can take.
        """
        budget_ms = self.budget_ms(state.engine, self.warm_share(state.engine, now_ms))
        state.slow_start_work.add(now_ms, SPENT_AT_START_SHARE * budget_ms)

    def record_attempt(self, state: EngineState, query: Query, now_ms: float) -> None:
        """Charges the work of an attempt to the engine's window."""
        state.slow_start_work.add(now_ms, self.charged_work_ms(query))

    def has_budget(self, state: EngineState, query: Query, now_ms: float, charged_ms: float | None) -> bool:
        """Returns whether the engine may be sent the query now.

        `charged_ms`: when the attempt was charged already, or None. A charge that has left the window since
        is charged again.
        """
        warm_share = self.warm_share(state.engine, now_ms)
        if warm_share >= 1:
            return True
        is_charged = charged_ms is not None and now_ms - charged_ms < self.limits.slow_start_window_ms
        further_ms = 0.0 if is_charged else self.charged_work_ms(query)
        return state.slow_start_work.total(now_ms) + further_ms <= self.budget_ms(state.engine, warm_share)
