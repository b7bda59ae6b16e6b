"""M&M admission control (Brown, Mehta, Carey, Livny, VLDB 1994) at one gateway: the rules, wired together.

A gateway builds a `Controller` and calls it as things happen (`ports.AdmissionPort`); the controller answers
by calls on its `ports.GatewayPort`. An admitted query passes `KeyOrdering`, then `QueryDispatcher`, which
asks the other rules. Each rule is in a module of its own; docs/design.md gives their source.
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
from lichenquay.admission.engine_fleet import EngineFleet
from lichenquay.admission.engine_load import EngineLoad
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
        """Knows no engine yet. All settings are constant from here on."""
        self.port = port
        self.time_scales = TimeScales.of(gateway, groups)
        self._make_fleet(gateway, groups, limits, capabilities)
        self._make_slots(gateway, groups, permissions, limits, capabilities)
        self._make_monitoring(permissions, capabilities)
        self.key_ordering = KeyOrdering(port, limits.ordering_pause_ms, self.dispatcher.submit)
        self.final_answers = FinalAnswers(port, permissions, self.waiting, self.key_ordering)
        self.tenant_quota = TenantQuota(tenants, self.time_scales.shortest_objective_ms, self.random.draw)
        if gateway.polls_endpoint_list:
            port.watch_endpoints()

    def _make_fleet(
        self,
        gateway: GatewayIdentity,
        groups: Sequence[ResourceGroup],
        limits: SafetyLimits,
        capabilities: EngineCapabilities,
    ) -> None:
        """The engines, what is known of their load and capacity, and how one is selected."""
        scales = self.time_scales
        engines_swap = capabilities.memory_shortage == MemoryShortageBehaviour.SWAP
        self.random = HashRandom(gateway.seed)
        self.fleet = EngineFleet(gateway.seed)
        self.slow_start = SlowStart(limits, gateway.gateway_count, gateway.index, groups)
        self.engine_load = EngineLoad(self.fleet, scales.report_lifetime_ms)
        self.outliers = OutlierDetection(engines_swap)
        self.capacity = UsableCapacity(self.fleet, self.slow_start)
        self.subset = EngineSubset(self.fleet, self.slow_start, scales.report_lifetime_ms)
        self.constrained_groups = ConstrainedGroups(groups, gateway.seed)
        self.table_affinity = TableAffinity(self.fleet)
        self.staleness = EndpointStaleness()
        self.endpoint_list = EndpointListUpdater(
            self.port,
            limits,
            self.fleet,
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
            self.fleet,
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
        """Slots, memory grants, retries, and the dispatcher that uses them."""
        gateway_share = 1.0 / max(1, gateway.gateway_count)
        interactive = interactive_groups(groups)
        totals = InFlightTotals()
        self.waiting = WaitingQueries(groups)
        self.pressure = Pressure(groups, self.engine_load)
        self.memory_grants = MemoryGrants(capabilities, groups, interactive)
        memory_share = MemoryShare(self.memory_grants, gateway_share)
        self.slot_table = SlotTable(self.fleet, gateway_share, interactive)
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
            self.fleet, self.capacity, self.pressure, memory_share, self.availability, totals
        )
        self.feedback = SlotFeedback(self.fleet, self.engine_load, self.waiting, gateway_share)
        self.retry_policy = RetryPolicy(permissions.max_attempts, limits, gateway.min_loop_interval_ms)
        self.checks = DispatchChecks(limits, self.retry_policy, self.slow_start)
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
            self.fleet,
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
            self.fleet,
            self.staleness,
            self.retry_policy,
            self.engine_choice,
            self.attempts_in_flight,
            self.waiting,
            self.give_final_answer,
        )

    def _make_monitoring(self, permissions: GatewayPermissions, capabilities: EngineCapabilities) -> None:
        """What watches engines and attempts in flight."""
        scales = self.time_scales
        relocation = Relocation(self.port, permissions)
        self.silence = SilenceDetection(self.port, capabilities, scales.shortest_objective_ms, relocation)
        self.health_checks = HealthChecks(
            self.port, self.fleet, permissions, capabilities, scales.evaluation_interval_ms
        )
        self.evaluation = EngineEvaluation(
            self.fleet,
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
        self.ticker = Ticker(self.port, self.fleet, scales.tick_interval_ms, self.tick)

    # The endpoint list

    def endpoints_updated(self, engines: Sequence[Engine], whole: bool) -> None:
        """The endpoint list changed: `engines` are all there are (`whole`), or those that changed."""
        now_ms = self.port.now_ms
        self.endpoint_list.update(engines, whole, now_ms)
        self.evaluation.update_subset(now_ms)
        self.dispatcher.dispatch_waiting(now_ms)

    def endpoints_unavailable(self) -> None:
        """Discovery could not be reached, or the watch broke."""
        self.endpoint_list.poll_again()

    def mark_endpoints_stale(self, max_ms: float) -> None:
        """The endpoint list may be out of date until it is confirmed, for `max_ms` at most."""
        self.staleness.mark_stale(self.port.now_ms + max_ms)

    def are_endpoints_stale(self, now_ms: float) -> bool:
        """Whether nothing is dispatched because the endpoint list may be out of date."""
        return self.staleness.is_stale(now_ms)

    def endpoints_confirmed(self) -> None:
        """The endpoint list is up to date."""
        self.staleness.confirm()
        self.dispatcher.dispatch_waiting(self.port.now_ms)

    # Queries

    def admit(self, query: Query) -> None:
        """A query arrived; its final answer comes by its deadline."""
        now_ms = self.port.now_ms
        query.counts_over_quota = self.tenant_quota.record_and_check(query, now_ms)
        self.retry_policy.record_query(now_ms)
        self.slow_start.record_query(query)
        self.subset.record_query(now_ms)
        self.engine_load.record_query(query)
        self.constrained_groups.record_query(query)
        self.port.call_at(query.deadline_ms, lambda: self.give_final_answer(query))
        self.key_ordering.submit(query)
        self.health_checks.on_query_admitted(now_ms)
        self.ticker.schedule(now_ms)

    def give_final_answer(self, query: Query) -> None:
        """Rejects or fails the query now, unless it has its final answer."""
        self.final_answers.give(query)

    def on_client_gone(self, query: Query) -> None:
        """The query's client cancelled it or closed its connection."""
        self.final_answers.on_client_gone(query)

    # Attempts and engines

    def authorize_dispatch(self, attempt: Attempt, now_ms: float) -> bool:
        """Whether an attempt is still allowed; asked in the instant before its first byte."""
        return self.checks.authorize_dispatch(attempt, self.fleet.states.get(attempt.engine), now_ms)

    def on_progress(self, attempt: Attempt, kind: ProgressKind, amount: float) -> None:
        """An engine reported on an attempt in flight."""
        now_ms = self.ticker.excuse_pause()
        state = self.fleet.states.get(attempt.engine)
        self.progress_events.on_progress(attempt, state, kind, amount, now_ms)

    def on_attempt_ended(
        self,
        attempt: Attempt,
        elapsed_ms: float,
        cost: ExecutionCost | None,
        report: dict[str, float] | None,
    ) -> None:
        """An attempt ended: its query gets its next attempt or its final answer, unless it is done."""
        now_ms = self.ticker.excuse_pause()
        query = attempt.query
        state = self.fleet.states.get(attempt.engine)
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
        """A health check ended; a failed one changes nothing: silence alone makes an engine unresponsive."""
        state = self.fleet.states.get(engine)
        if healthy and state is not None:
            self.engine_load.record_report(state, report, self.port.now_ms)
            state.record_response(self.port.now_ms)

    # Time

    def tick(self) -> None:
        """Runs at each tick interval while anything is in flight or waiting."""
        now_ms = self.ticker.excuse_pause()
        for state in list(self.attempts_in_flight.busy):
            self.silence.check_engine(state, now_ms)
        self.evaluation.evaluate_if_due(now_ms)
        self.dispatcher.dispatch_waiting(now_ms)
        self.ticker.tick_is_over()
        if self.attempts_in_flight.busy or not self.waiting.is_empty():
            self.ticker.schedule(now_ms)

    def is_under_pressure(self) -> bool:
        """Whether the engines have no room for queries over quota."""
        return self.pressure.are_engines_under_pressure(self.port.now_ms)
