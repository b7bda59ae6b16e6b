"""M&M admission control (Brown, Mehta, Carey, Livny, VLDB 1994) at one gateway, composed of its rules.

A gateway builds a `Controller` and calls it on each event (`ports.AdmissionPort`); the controller responds
with calls on its `ports.GatewayPort`. An admitted query passes through `KeyOrdering` and then
`QueryDispatcher`, which consults the other rules. Each rule is in a module of its own; docs/design.md gives
their source.
"""

from collections.abc import Sequence

from lichenquay.admission.attempt_results import AttemptResults
from lichenquay.admission.attempts_in_flight import AttemptsInFlight
from lichenquay.admission.constrained_groups import ConstrainedGroups
from lichenquay.admission.dispatch_checks import DispatchChecks
from lichenquay.admission.domain import (
    Attempt,
    Engine,
    EngineCapabilities,
    ExecutionCost,
    GatewayIdentity,
    GatewayPermissions,
    MemoryShortageBehaviour,
    ProgressKind,
    Query,
    ResourceGroup,
    SafetyLimits,
    Tenant,
)
from lichenquay.admission.endpoint_list import EndpointListUpdater, EndpointStaleness
from lichenquay.admission.engine_choice import EngineChoice
from lichenquay.admission.engine_evaluation import EngineEvaluation
from lichenquay.admission.engine_load import EngineLoad
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_selection import EngineSelection
from lichenquay.admission.engine_subset import EngineSubset
from lichenquay.admission.final_answers import FinalAnswers
from lichenquay.admission.hash_random import HashRandom
from lichenquay.admission.health_checks import HealthChecks
from lichenquay.admission.interactive_groups import interactive_groups
from lichenquay.admission.key_ordering import KeyOrdering
from lichenquay.admission.memory_grants import MemoryGrants, MemoryShare
from lichenquay.admission.outlier_detection import OutlierDetection
from lichenquay.admission.pooled_slots import PooledSlots
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.pressure import Pressure
from lichenquay.admission.process_pause import Ticker
from lichenquay.admission.progress_events import ProgressEvents
from lichenquay.admission.query_dispatcher import QueryDispatcher
from lichenquay.admission.relocation import Relocation
from lichenquay.admission.reservation import InFlightTotals
from lichenquay.admission.retry_policy import RetryPolicy
from lichenquay.admission.silence_detection import SilenceDetection
from lichenquay.admission.slot_availability import SlotAvailability
from lichenquay.admission.slot_feedback import SlotFeedback
from lichenquay.admission.slot_table import SlotTable
from lichenquay.admission.slow_start import SlowStart
from lichenquay.admission.table_affinity import TableAffinity
from lichenquay.admission.tenant_quota import TenantQuota
from lichenquay.admission.timing import TimeScales
from lichenquay.admission.usable_capacity import UsableCapacity
from lichenquay.admission.waiting_queries import WaitingQueries


class Controller:
    """Implements `ports.AdmissionPort`: passes each event to the rules that it concerns."""

    def __init__(
        self,
        port: GatewayPort,
        gateway: GatewayIdentity,
        groups: Sequence[ResourceGroup],
        tenants: Sequence[Tenant],
        permissions: GatewayPermissions,
        limits: SafetyLimits,
        capabilities: EngineCapabilities,
    ):
        """Creates a controller that knows no engine. Its settings do not change afterwards."""
        self.port = port
        self.time_scales = TimeScales.of(gateway, groups)
        self._make_registry(gateway, groups, limits, capabilities)
        self._make_slots(gateway, groups, permissions, limits, capabilities)
        self._make_monitoring(permissions, capabilities)
        self.key_ordering = KeyOrdering(port, limits.ordering_pause_ms, self.dispatcher.submit)
        self.final_answers = FinalAnswers(port, permissions, self.waiting, self.key_ordering)
        self.tenant_quota = TenantQuota(tenants, self.time_scales.shortest_objective_ms, self.random.draw)
        if gateway.polls_endpoint_list:
            port.watch_endpoints()

    def _make_registry(
        self,
        gateway: GatewayIdentity,
        groups: Sequence[ResourceGroup],
        limits: SafetyLimits,
        capabilities: EngineCapabilities,
    ) -> None:
        """Creates the engine states, their load and capacity, and engine selection."""
        scales = self.time_scales
        engines_swap = capabilities.memory_shortage == MemoryShortageBehaviour.SWAP
        self.random = HashRandom(gateway.seed)
        self.registry = EngineRegistry(gateway.seed)
        self.slow_start = SlowStart(limits, gateway.gateway_count, gateway.index, groups)
        self.engine_load = EngineLoad(self.registry, scales.report_lifetime_ms)
        self.outliers = OutlierDetection(engines_swap)
        self.capacity = UsableCapacity(self.registry, self.slow_start)
        self.subset = EngineSubset(self.registry, self.slow_start, scales.report_lifetime_ms)
        self.constrained_groups = ConstrainedGroups(groups, gateway.seed)
        self.table_affinity = TableAffinity(self.registry)
        self.staleness = EndpointStaleness(limits.drain_grace_ms)
        self.endpoint_list = EndpointListUpdater(
            self.port,
            limits,
            self.registry,
            self.staleness,
            self.slow_start,
            self.constrained_groups,
            self.table_affinity,
            scales.evaluation_interval_ms,
        )
        self.selection = EngineSelection(
            gateway.zone,
            self.random,
            scales.evaluation_interval_ms,
            self.registry,
            self.slow_start,
            self.engine_load,
            self.outliers,
            self.subset,
            self.constrained_groups,
            self.table_affinity,
        )

    def _make_slots(
        self,
        gateway: GatewayIdentity,
        groups: Sequence[ResourceGroup],
        permissions: GatewayPermissions,
        limits: SafetyLimits,
        capabilities: EngineCapabilities,
    ) -> None:
        """Creates the slots, memory grants, retry policy, and the dispatcher that uses them."""
        gateway_share = 1.0 / max(1, gateway.gateway_count)
        interactive = interactive_groups(groups)
        totals = InFlightTotals()
        self.waiting = WaitingQueries(groups)
        self.pressure = Pressure(groups, self.engine_load)
        self.memory_grants = MemoryGrants(capabilities, groups, interactive)
        memory_share = MemoryShare(self.memory_grants, gateway_share)
        self.slot_table = SlotTable(self.registry, gateway_share, interactive)
        self.availability = SlotAvailability(
            capabilities,
            groups,
            interactive,
            self.slot_table,
            self.memory_grants,
            memory_share,
            self.engine_load,
            self.pressure,
            self.waiting,
        )
        self.pooled_slots = PooledSlots(
            self.registry, self.capacity, self.pressure, memory_share, self.availability, totals
        )
        self.feedback = SlotFeedback(self.registry, self.engine_load, self.waiting, gateway_share)
        self.retry_policy = RetryPolicy(permissions.max_attempts, limits, gateway.min_loop_interval_ms)
        self.checks = DispatchChecks(limits, self.staleness, self.retry_policy, self.slow_start)
        self.engine_choice = EngineChoice(
            self.checks,
            self.selection,
            self.slot_table,
            self.availability,
            self.pooled_slots,
            self.outliers,
            memory_share,
        )
        self.attempts_in_flight = AttemptsInFlight(
            self.port,
            capabilities,
            self.registry,
            totals,
            self.slot_table,
            self.pooled_slots,
            self.memory_grants,
            self.pressure,
            self.retry_policy,
            self.slow_start,
        )
        self.dispatcher = QueryDispatcher(
            self.port,
            self.registry,
            self.staleness,
            self.retry_policy,
            self.engine_choice,
            self.attempts_in_flight,
            self.waiting,
            self.give_final_answer,
        )

    def _make_monitoring(self, permissions: GatewayPermissions, capabilities: EngineCapabilities) -> None:
        """Creates the rules that monitor engines and attempts in flight."""
        scales = self.time_scales
        relocation = Relocation(self.port, permissions)
        self.silence = SilenceDetection(self.port, capabilities, scales.shortest_objective_ms, relocation)
        self.health_checks = HealthChecks(
            self.port, self.registry, permissions, capabilities, scales.evaluation_interval_ms
        )
        self.evaluation = EngineEvaluation(
            self.registry,
            self.engine_load,
            self.outliers,
            self.capacity,
            self.subset,
            self.constrained_groups,
            self.slot_table,
            self.feedback,
            self.health_checks,
            scales.evaluation_interval_ms,
        )
        self.progress_events = ProgressEvents(
            self.port, capabilities, self.memory_grants, self.pressure, relocation
        )
        self.attempt_results = AttemptResults(
            self.port,
            permissions,
            self.engine_load,
            self.silence,
            self.pressure,
            self.memory_grants,
            self.feedback,
            self.attempts_in_flight,
        )
        self.ticker = Ticker(self.port, self.registry, scales.tick_interval_ms, self.tick)

    # The endpoint list

    def endpoints_updated(self, engines: Sequence[Engine], is_full_list: bool) -> None:
        """Applies a change of the endpoint list, then dispatches waiting queries.

        `engines` are all listed engines (`is_full_list`), or only those that changed.
        """
        now_ms = self.port.now_ms
        self.endpoint_list.update(engines, is_full_list, now_ms)
        self.evaluation.update_subset(now_ms)
        self.dispatcher.dispatch_waiting(now_ms)

    def endpoints_unavailable(self) -> None:
        """Schedules another poll after a failed poll or a broken watch of the endpoint list."""
        self.endpoint_list.schedule_poll()

    def mark_endpoints_stale(self, max_ms: float) -> None:
        """Treats the endpoint list as stale until it is confirmed, for `max_ms` at most."""
        self.staleness.mark_stale(self.port.now_ms + max_ms)

    def are_endpoints_stale(self, now_ms: float) -> bool:
        """Returns whether the endpoint list is from before this gateway's start and not confirmed."""
        return self.staleness.is_stale(now_ms)

    def set_endpoints_unconfirmed(self, since_ms: float | None) -> None:
        """Records since when the endpoint list may lack announced events; None: it lacks none."""
        self.staleness.unconfirmed_since_ms = since_ms

    def is_dispatch_suspended(self, now_ms: float) -> bool:
        """Returns whether no attempt may be sent, as the endpoint list may be outdated."""
        return self.staleness.suspends_dispatch(now_ms)

    def resume_dispatch(self) -> None:
        """Dispatches waiting queries after the endpoint list was unconfirmed."""
        self.dispatcher.dispatch_waiting(self.port.now_ms)

    def endpoints_confirmed(self) -> None:
        """Records that the endpoint list is up to date, and dispatches waiting queries."""
        self.staleness.confirm()
        self.dispatcher.dispatch_waiting(self.port.now_ms)

    # Queries

    def admit(self, query: Query) -> None:
        """Takes a query that has arrived, and ensures that it has a final answer by its deadline."""
        now_ms = self.port.now_ms
        query.counts_over_quota = self.tenant_quota.record_and_check(query, now_ms)
        self.retry_policy.record_query(now_ms)
        self.slow_start.record_query(query)
        self.subset.record_query(now_ms)
        self.engine_load.record_query(query)
        self.constrained_groups.record_query(query)
        query.timers.append(self.port.call_at(query.deadline_ms, lambda: self.give_final_answer(query)))
        self.key_ordering.submit(query)
        self.health_checks.on_query_admitted(now_ms)
        self.ticker.schedule(now_ms)

    def give_final_answer(self, query: Query) -> None:
        """Rejects or fails the query immediately, unless it already has its final answer."""
        self.final_answers.give(query)

    def on_client_gone(self, query: Query) -> None:
        """Stops the work on a query whose client cancelled it or closed its connection."""
        self.final_answers.on_client_gone(query)

    # Attempts and engines

    def authorize_dispatch(self, attempt: Attempt, now_ms: float) -> bool:
        """Returns whether an attempt may still be sent, asked immediately before its first byte.

        An allowed attempt is recorded as sent at that time.
        """
        return self.checks.authorize_dispatch(attempt, self.registry.states.get(attempt.engine), now_ms)

    def on_progress(self, attempt: Attempt, kind: ProgressKind, amount: float) -> None:
        """Handles a progress event of an attempt in flight."""
        now_ms = self.ticker.compensate_for_pause()
        state = self.registry.states.get(attempt.engine)
        self.progress_events.on_progress(attempt, state, kind, amount, now_ms)

    def on_attempt_ended(
        self,
        attempt: Attempt,
        elapsed_ms: float,
        cost: ExecutionCost | None,
        report: dict[str, float] | None,
    ) -> None:
        """Records the end of an attempt, then retries its query or gives its final answer if it is open."""
        now_ms = self.ticker.compensate_for_pause()
        query = attempt.query
        state = self.registry.states.get(attempt.engine)
        self.attempt_results.on_attempt_ended(attempt, state, elapsed_ms, cost, report, now_ms)
        self.key_ordering.on_attempt_ended(attempt)
        if not query.is_done:
            if self.retry_policy.may_retry_in_time(query, now_ms):
                self.dispatcher.submit(query)
            else:
                self.give_final_answer(query)
        self.dispatcher.dispatch_waiting(now_ms, state)

    def on_health_check(
        self, engine: Engine, healthy: bool, elapsed_ms: float, report: dict[str, float] | None
    ) -> None:
        """Records a successful health check.

        A failed one changes nothing: only silence makes an engine unresponsive.
        """
        state = self.registry.states.get(engine)
        if healthy and state is not None:
            self.engine_load.record_report(state, report, self.port.now_ms)
            state.record_response(self.port.now_ms)

    # Time

    def tick(self) -> None:
        """Runs the periodic checks; repeats at the tick interval while work is in flight or waiting."""
        now_ms = self.ticker.compensate_for_pause()
        for state in list(self.attempts_in_flight.busy):
            self.silence.check_engine(state, now_ms)
        self.evaluation.evaluate_if_due(now_ms)
        self.dispatcher.dispatch_waiting(now_ms)
        self.ticker.end_tick()
        if self.attempts_in_flight.busy or not self.waiting.is_empty():
            self.ticker.schedule(now_ms)

    def is_under_pressure(self) -> bool:
        """Returns whether the engines have no capacity for queries over quota."""
        return self.pressure.are_engines_under_pressure(self.port.now_ms)
