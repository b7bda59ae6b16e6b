"""A fake gateway for tests of the admission controller: virtual time, and rule checks at every step."""

import heapq

from lichenquay.admission.controller import Controller
from lichenquay.admission.domain import (
    NEVER_EXECUTED,
    Attempt,
    DeduplicationScope,
    Effect,
    EndpointState,
    Engine,
    EngineCapabilities,
    GatewayIdentity,
    GatewayPermissions,
    LoadReportSource,
    MemoryShortageBehaviour,
    Outcome,
    Query,
    ResourceGroup,
    SafetyLimits,
)
from lichenquay.admission.scheduled_call import ScheduledCall

ZONE = "a"  # the gateway's zone
MIN_LOOP_INTERVAL_MS = 5.0
DRAIN_GRACE_MS = 250.0
SUSTAINED_CORE_SHARE = 0.85  # share of its cores' time that an engine can spend on queries
REMEMBERED_MS = 30_000.0  # how long ended queries are kept


def group(name="report", effect=Effect.READ_ONLY, **changes):
    """Returns a resource group whose objective grows with a query's work."""
    fields = dict(
        latency_objective_ms=2000.0,
        latency_objective_stretch=2.0,
        max_timeout_ms=10000.0,
        priority_weight=5.0,
        late_weight_share=0.3,
        threads=2,
    )
    return ResourceGroup(name, effect, **{**fields, **changes})


def interactive_group(**changes):
    """Returns an interactive group, as used for queries of dashboards."""
    return group(
        "status",
        threads=1,
        latency_objective_ms=500.0,
        max_timeout_ms=2500.0,
        priority_weight=1.0,
        **changes,
    )


def engine(name, zone=ZONE, kind="k", cell=0, started_ms=None, cores=8.0, memory_mb=16000.0):
    """Returns an engine that serves."""
    return Engine(name, zone, kind, cell, EndpointState.SERVING, 1.0, started_ms, cores, memory_mb)


def capabilities(
    honours_memory_grants=True,
    honours_priorities=True,
    memory_shortage=MemoryShortageBehaviour.QUEUE,
    progress_interval_ms=500.0,
    reports_cost=True,
    load_report_fields=("active",),
    load_report_source=LoadReportSource.ANSWERS,
):
    """Returns what engines support and report."""
    return EngineCapabilities(
        honours_memory_grants=honours_memory_grants,
        honours_priorities=honours_priorities,
        max_grant_share=0.4,
        memory_shortage=memory_shortage,
        progress_interval_ms=progress_interval_ms,
        reports_cost=reports_cost,
        load_report_fields=load_report_fields,
        load_report_source=load_report_source,
    )


def swapping_capabilities(memory_shortage=MemoryShortageBehaviour.SWAP):
    """Returns capabilities of engines that swap when short of memory and report only core use."""
    return capabilities(memory_shortage=memory_shortage, reports_cost=False, load_report_fields=("cpu",))


class FakeGateway:
    """A gateway port in virtual time that asserts the service's rules on each call of the controller."""

    def __init__(
        self,
        groups,
        engines,
        tenants=(),
        gateway_count=2,
        seed=7,
        gateway_index=None,
        polls_endpoint_list=False,
        engine_capabilities=None,
        max_attempts=4,
        may_cancel=True,
        may_health_check=True,
        ordering_pause_ms=300.0,
        retry_budget_free=None,
        retry_budget_ratio=0.0,
        retry_budget_window_ms=0.0,
    ):
        """Starts at 1000 ms, with all engines on the endpoint list."""
        self.now_ms = 1000.0
        self.timers = []
        self.timer_count = 0
        self.queries = []  # queries that may still count in a window
        self.attempts = []
        self.arrivals = []  # all queries, in order of arrival
        self.answers = {}  # the final answer of each ended query, by the query's id
        self.cancelled = []
        self.logs = []
        self.health_checks = []
        self.grants = []  # (query id, memory in MB, priority)
        self.watch_count = 0
        self.announced_ms = {}  # when an engine's start was announced to the gateway
        self.key_free_ms = {}
        self.permissions = GatewayPermissions(max_attempts, may_cancel, may_health_check, False, 500.0)
        self.limits = SafetyLimits(
            answer_slack_ms=20.0,
            drain_grace_ms=DRAIN_GRACE_MS,
            warm_up_initial_share=0.3,
            warm_up_ms=15000.0,
            slow_start_overload_factor=3.0,
            slow_start_window_ms=1500.0,
            ordering_pause_ms=ordering_pause_ms,
            retry_budget_free=retry_budget_free,
            retry_budget_ratio=retry_budget_ratio,
            retry_budget_window_ms=retry_budget_window_ms,
            discovery_poll_within_ms=10000.0,
        )
        self.capabilities = engine_capabilities or capabilities()
        self.engines = list(engines)
        # With known indices, as few as one gateway may have the whole budget of a warming engine.
        self.min_sharers = gateway_count if gateway_index is None else 1
        identity = GatewayIdentity(
            ZONE, gateway_count, seed, MIN_LOOP_INTERVAL_MS, polls_endpoint_list, gateway_index
        )
        self.controller = Controller(
            self, identity, list(groups), list(tenants), self.permissions, self.limits, self.capabilities
        )
        self.controller.endpoints_updated(self.engines, True)

    # GatewayPort

    def start_attempt(self, query, engine_, timeout_ms):
        """Starts an attempt, after checking every rule that an attempt must keep."""
        assert not query.is_done and query.id not in self.answers, "rule 1: query sent after its final answer"
        assert not any(attempt.outcome is None for attempt in query.attempts), "two attempts in flight"
        assert len(query.attempts) < self.permissions.max_attempts
        self._check_effect(query, engine_)
        assert engine_.state == EndpointState.SERVING, "rule 3: engine does not serve"
        assert not query.group.allowed_zones or engine_.zone in query.group.allowed_zones, (
            "rule 6: zone not allowed"
        )
        assert not query.group.allowed_kinds or engine_.kind in query.group.allowed_kinds, (
            "rule 6: kind not allowed"
        )
        if query.group.is_ordered_by_key and query.ordering_key:
            self._check_order(query)
        attempt = Attempt(query, len(query.attempts), engine_, self.now_ms)
        query.attempts.append(attempt)
        self.attempts.append(attempt)
        self._check_retry_budget(attempt)
        self._check_slow_start(engine_)
        return attempt

    def _check_effect(self, query, engine_):
        group_ = query.group
        may_have_run = [attempt for attempt in query.attempts if attempt.outcome not in NEVER_EXECUTED]
        assert group_.effect != Effect.NON_IDEMPOTENT or not may_have_run, (
            "rule 2: non-idempotent query sent again"
        )
        if group_.effect == Effect.IDEMPOTENT_WITH_KEY:
            for attempt in may_have_run:
                assert self.now_ms - attempt.sent_ms < group_.idempotency_window_ms, (
                    "rule 2: idempotency window has passed"
                )
                if group_.deduplication_scope == DeduplicationScope.ZONE:
                    assert attempt.engine.zone == engine_.zone, "rule 2: key unknown in this zone"
                if group_.deduplication_scope == DeduplicationScope.CELL:
                    assert attempt.engine.cell == engine_.cell, "rule 2: key unknown in this cell"

    def _check_order(self, query):
        key = query.ordering_key
        for other in self.arrivals:
            if other.ordering_key == key and other.group.is_ordered_by_key and other.id < query.id:
                is_over = other.is_done and all(attempt.outcome for attempt in other.attempts)
                assert is_over, "rule 5: earlier query of the key still open"
        free_ms = self.key_free_ms.get((key, query.id), self.key_free_ms.get(key, 0.0))
        assert self.now_ms >= free_ms, "rule 5: key still paused"

    def _check_retry_budget(self, attempt):
        limits = self.limits
        if attempt.number and limits.retry_budget_free is not None:
            since_ms = self.now_ms - limits.retry_budget_window_ms
            retries = sum(1 for other in self.attempts if other.number and other.sent_ms > since_ms)
            queries = sum(1 for query in self.queries if query.arrived_ms > since_ms)
            assert retries <= limits.retry_budget_free + limits.retry_budget_ratio * queries, (
                "rule 7: retry budget"
            )

    def _check_slow_start(self, engine_):
        limits = self.limits
        if engine_.started_ms is None or self.now_ms - engine_.started_ms >= limits.warm_up_ms:
            return
        window_ms = limits.slow_start_window_ms
        since_ms = max(self.announced_ms.get(engine_, 0.0), self.now_ms - window_ms)
        sent_ms = sum(
            attempt.query.estimated_work_ms
            for attempt in self.attempts
            if attempt.engine is engine_ and attempt.sent_ms >= since_ms
        )
        capacity_ms = self._warm_share(engine_) * SUSTAINED_CORE_SHARE * engine_.cores * window_ms
        assert sent_ms <= limits.slow_start_overload_factor * capacity_ms / self.min_sharers, (
            "rule 4: slow-start budget"
        )

    def _warm_share(self, engine_):
        initial_share = self.limits.warm_up_initial_share
        age_share = (self.now_ms - engine_.started_ms) / self.limits.warm_up_ms
        return initial_share + (1 - initial_share) * min(1.0, age_share)

    def reject(self, query, retry_after_ms):
        """Answers the query; a rejection promises that a retry is safe."""
        group_ = query.group
        may_have_run = any(attempt.outcome not in NEVER_EXECUTED for attempt in query.attempts)
        is_harmless = group_.effect == Effect.READ_ONLY or not may_have_run
        if group_.effect == Effect.IDEMPOTENT_WITH_KEY:
            is_harmless = is_harmless or group_.deduplication_scope == DeduplicationScope.ALL
        assert is_harmless, "rule 2: query rejected although a retry may run it twice"
        assert 0 <= retry_after_ms <= self.permissions.max_retry_after_ms
        self._answer(query, "rejected")

    def fail(self, query):
        """Answers the query."""
        self._answer(query, "failed")

    def _answer(self, query, answer):
        assert not query.is_done and query.id not in self.answers, "rule 1: two final answers"
        assert self.now_ms <= query.deadline_ms + self.limits.answer_slack_ms, (
            "rule 1: final answer after the deadline"
        )
        query.end()
        self.answers[query.id] = answer

    def set_grant(self, query, memory_mb, priority):
        """Records the grant for the tests."""
        assert memory_mb >= 0 and 0 <= priority <= 3
        self.grants.append((query.id, memory_mb, priority))

    def cancel_attempt(self, attempt):
        """Records the attempt for the tests, which end it."""
        assert self.permissions.may_cancel
        self.cancelled.append(attempt)

    def call_at(self, at_ms, call):
        """Schedules the call, in the next event loop iteration at the earliest."""
        self.timer_count += 1
        scheduled = ScheduledCall(call)
        due_ms = max(at_ms, self.now_ms + MIN_LOOP_INTERVAL_MS)
        heapq.heappush(self.timers, (due_ms, self.timer_count, scheduled))
        return scheduled

    def send_health_check(self, engine_):
        """Records the check for the tests, which answer it."""
        assert self.permissions.may_health_check
        self.health_checks.append(engine_)

    def watch_endpoints(self):
        """Counts the calls."""
        self.watch_count += 1

    def log(self, text):
        """Records the line for the tests."""
        self.logs.append(text)

    # Called by the tests

    def admit(self, group_, work_ms=200.0, memory_mb=100.0, timeout_ms=None, **fields):
        """Admits a new query and returns it."""
        query = Query(
            len(self.queries) + 1,
            group_,
            self.now_ms,
            self.now_ms + (timeout_ms or group_.max_timeout_ms),
            estimated_work_ms=work_ms,
            estimated_memory_mb=memory_mb,
            **fields,
        )
        self.queries.append(query)
        self.arrivals.append(query)
        self.controller.admit(query)
        return query

    def end_attempt(self, attempt, outcome, report=None, cost=None):
        """Ends an attempt now; a completed attempt answers its query."""
        query = attempt.query
        attempt.outcome = outcome
        if outcome == Outcome.COMPLETED and not query.is_done:
            self._answer(query, "completed")
        may_still_run = (Outcome.TIMED_OUT, Outcome.CONNECTION_RESET, Outcome.CANCELLED)
        if outcome in may_still_run and query.group.is_ordered_by_key:
            self.key_free_ms[query.ordering_key] = self.now_ms + self.limits.ordering_pause_ms
            self.key_free_ms[query.ordering_key, query.id] = 0.0  # a retry of the same query need not wait
        self.controller.on_attempt_ended(attempt, self.now_ms - attempt.sent_ms, cost, report)

    def run_until(self, at_ms):
        """Runs timers up to the given time; each query must have its final answer by its deadline."""
        while self.timers and self.timers[0][0] <= at_ms:
            timer_ms, _, call = heapq.heappop(self.timers)
            self.now_ms = max(self.now_ms, timer_ms)
            call()
            self.check_deadlines()
        self.now_ms = max(self.now_ms, at_ms)

    def run_for(self, duration_ms):
        """Runs timers for the given time, as `run_until` does."""
        self.run_until(self.now_ms + duration_ms)

    def check_deadlines(self):
        """Asserts that no query is without a final answer after its deadline."""
        for query in self.queries:
            is_in_time = self.now_ms <= query.deadline_ms + self.limits.answer_slack_ms
            assert query.is_done or is_in_time, "rule 1: no final answer in time"
        self.queries = [
            query
            for query in self.queries
            if not query.is_done or query.arrived_ms > self.now_ms - REMEMBERED_MS
        ]

    def in_flight(self):
        """Returns the attempts without an outcome."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    def state_of(self, engine_):
        """Returns the controller's state of an engine."""
        return self.controller.registry.states[engine_]

    def states(self):
        """Returns the controller's states of all engines, in the order of joining."""
        return list(self.controller.registry.states.values())

    def report(self, state, fields):
        """Passes an engine's load report to the controller."""
        self.controller.engine_load.record_report(state, fields, self.now_ms)
