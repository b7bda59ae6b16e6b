"""Tests of single admission rules, each through its own module."""

from types import SimpleNamespace

import pytest
from admission_fakes import capabilities, engine, group, interactive_group

from lichenquay.admission.domain import (
    NEVER_EXECUTED,
    Attempt,
    DeduplicationScope,
    Effect,
    GatewayIdentity,
    Outcome,
    Priority,
    Query,
    SafetyLimits,
    Tenant,
)
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.hash_random import HashRandom
from lichenquay.admission.idempotency import is_client_retry_harmless, would_detect_duplicate
from lichenquay.admission.interactive_groups import interactive_groups
from lichenquay.admission.key_ordering import KeyOrdering
from lichenquay.admission.load_report import LoadReport
from lichenquay.admission.memory_grants import MemoryGrants
from lichenquay.admission.outlier_detection import OutlierDetection
from lichenquay.admission.placement import satisfies_placement
from lichenquay.admission.priorities import priority_of
from lichenquay.admission.process_pause import Ticker
from lichenquay.admission.retry_policy import RetryPolicy
from lichenquay.admission.scheduled_call import ScheduledCall
from lichenquay.admission.sliding_window import SlidingWindow
from lichenquay.admission.slow_start import SlowStart
from lichenquay.admission.tenant_quota import TenantQuota
from lichenquay.admission.timing import TimeScales

SLACK_MS = 20.0


def query_of(group_, *outcomes, sent_ms=0.0, sent_to=None, **fields):
    """Returns a query with an attempt for each outcome (None: in flight)."""
    query = Query(1, group_, 0.0, 10_000.0, **fields)
    for number, outcome in enumerate(outcomes):
        query.attempts.append(Attempt(query, number, sent_to or engine("e0"), sent_ms, outcome))
    return query


def limits(**changes):
    """Returns safety limits with the given changes."""
    fields = dict(
        answer_slack_ms=SLACK_MS,
        drain_grace_ms=250.0,
        warm_up_initial_share=0.2,
        warm_up_ms=10_000.0,
        slow_start_overload_factor=2.0,
        slow_start_window_ms=1000.0,
    )
    return SafetyLimits(**{**fields, **changes})


def state_of(engine_, now_ms=0.0):
    """Returns the state of an engine that has just joined."""
    return EngineState(
        engine_, now_ms, SlidingWindow(250.0, 8), SlidingWindow(125.0, 9), SlidingWindow(500.0, 8)
    )


class TimerPort:
    """A port that only records timers."""

    def __init__(self):
        """Starts at time 0."""
        self.now_ms = 0.0
        self.timers = []

    def call_at(self, at_ms, call):
        """Records the timer for the test."""
        scheduled = ScheduledCall(call)
        self.timers.append((at_ms, scheduled))
        return scheduled


def test_placement_requires_an_allowed_zone_and_kind():
    """A group without constraints may use all engines."""
    constrained = group(allowed_zones=frozenset("a"), allowed_kinds=frozenset("k"))
    assert satisfies_placement(constrained, engine("e", "a", "k"))
    assert not satisfies_placement(constrained, engine("e", "b", "k"))
    assert not satisfies_placement(constrained, engine("e", "a", "m"))
    assert satisfies_placement(group(), engine("e", "b", "m"))


@pytest.mark.parametrize(
    ("scope", "same_zone", "same_cell", "is_detected"),
    [
        (DeduplicationScope.ALL, False, False, True),
        (DeduplicationScope.ZONE, True, False, True),
        (DeduplicationScope.ZONE, False, True, False),
        (DeduplicationScope.CELL, False, True, True),
        (DeduplicationScope.CELL, True, False, False),
    ],
)
def test_a_duplicate_is_detected_only_within_the_scope_of_its_key(scope, same_zone, same_cell, is_detected):
    """Engines outside the scope do not know the key."""
    booking = group(
        "post", Effect.IDEMPOTENT_WITH_KEY, deduplication_scope=scope, idempotency_window_ms=1000.0
    )
    query = query_of(booking, Outcome.FAILED, sent_to=engine("e0", "a", cell=1))
    other = engine("e1", "a" if same_zone else "b", cell=1 if same_cell else 2)
    assert would_detect_duplicate(query, other, 500.0, SLACK_MS) == is_detected


def test_a_duplicate_is_detected_only_within_the_window_of_its_key_less_the_slack():
    """The engine's clock may differ from the gateway's."""
    booking = group("post", Effect.IDEMPOTENT_WITH_KEY, idempotency_window_ms=1000.0)
    query = query_of(booking, Outcome.FAILED)
    assert would_detect_duplicate(query, engine("e1"), 979.0, SLACK_MS)
    assert not would_detect_duplicate(query, engine("e1"), 980.0, SLACK_MS)
    assert would_detect_duplicate(query, engine("e1"), 980.0, SLACK_MS, ignored=query.attempts[0])
    assert would_detect_duplicate(query_of(booking, Outcome.OVERLOADED), engine("e1"), 5000.0, SLACK_MS)


@pytest.mark.parametrize("outcome", [*Outcome, None])
def test_a_client_may_retry_a_query_that_is_read_only_never_ran_or_is_deduplicated_everywhere(outcome):
    """A rejection promises that a retry is safe."""
    never_ran = outcome in NEVER_EXECUTED
    everywhere = group("all", Effect.IDEMPOTENT_WITH_KEY)
    in_zone = group("zone", Effect.IDEMPOTENT_WITH_KEY, deduplication_scope=DeduplicationScope.ZONE)
    assert is_client_retry_harmless(query_of(group(), outcome))
    assert is_client_retry_harmless(query_of(everywhere, outcome))
    assert is_client_retry_harmless(query_of(in_zone, outcome)) == never_ran
    assert is_client_retry_harmless(query_of(group("load", Effect.NON_IDEMPOTENT), outcome)) == never_ran
    assert is_client_retry_harmless(query_of(everywhere, outcome, has_idempotency_key=False)) == never_ran


def test_no_query_gets_more_attempts_than_allowed_or_two_at_once():
    """A query that is done gets no attempt either."""
    policy = RetryPolicy(2, limits(), min_loop_interval_ms=5.0)
    assert policy.may_attempt(query_of(group()), 0.0)
    assert policy.may_attempt(query_of(group(), Outcome.FAILED), 0.0)
    assert not policy.may_attempt(query_of(group(), Outcome.FAILED, Outcome.FAILED), 0.0)
    assert not policy.may_attempt(query_of(group(), None), 0.0)
    assert not policy.may_attempt(query_of(group(), is_done=True), 0.0)


@pytest.mark.parametrize("outcome", list(Outcome))
def test_a_non_idempotent_query_is_retried_only_if_it_never_ran(outcome):
    """Otherwise its effect could be applied twice."""
    policy = RetryPolicy(3, limits(), min_loop_interval_ms=5.0)
    query = query_of(group("load", Effect.NON_IDEMPOTENT), outcome)
    assert policy.may_attempt(query, 0.0) == (outcome in NEVER_EXECUTED)


def test_retries_keep_to_their_budget_over_its_window():
    """Two retries are free, and one more is allowed for every ten queries."""
    policy = RetryPolicy(
        3,
        limits(retry_budget_free=2.0, retry_budget_ratio=0.1, retry_budget_window_ms=800.0),
        min_loop_interval_ms=5.0,
    )
    for _ in range(10):
        policy.record_query(0.0)
    for _ in range(3):
        assert policy.has_budget(0.0)
        policy.record_retry(0.0)
    assert not policy.has_budget(0.0)
    assert not policy.has_budget(850.0)  # retries count slightly longer than queries
    assert policy.has_budget(1000.0)


def test_no_retry_starts_in_the_last_loop_iteration_before_the_deadline():
    """It could not end in time."""
    policy = RetryPolicy(3, limits(), min_loop_interval_ms=5.0)
    query = query_of(group(), Outcome.FAILED)
    assert policy.may_retry_in_time(query, query.deadline_ms - 6.0)
    assert not policy.may_retry_in_time(query, query.deadline_ms - 5.0)


def test_the_share_of_a_warming_engine_starts_at_its_initial_value_and_rises_late():
    """How capacity rises is not announced."""
    slow_start = SlowStart(limits(), 4, None, [group()])
    warming = engine("e", started_ms=1000.0)
    shares = [slow_start.warm_share(warming, 1000.0 + age_ms) for age_ms in (0.0, 5000.0, 10_000.0)]
    assert shares == pytest.approx([0.2, 0.2 + 0.8 * 0.25, 1.0])
    assert slow_start.warm_share(engine("old"), 0.0) == 1.0


def test_a_warming_engine_gets_no_more_than_the_gateways_part_of_its_budget():
    """The budget is what the engine can take in a window, at its present capacity."""
    slow_start = SlowStart(limits(), 4, None, [group()])
    warming = engine("e", started_ms=0.0, cores=10.0)
    budget_ms = slow_start.budget_ms(warming, 0.2)
    assert budget_ms == pytest.approx(0.8 * 2.0 * 1000.0 * 0.85 * 10.0 * 0.2 / 4)
    state = state_of(warming)
    query = query_of(group(), estimated_work_ms=budget_ms / 2)
    for _ in range(2):
        assert slow_start.has_budget(state, query, 0.0, None)
        slow_start.record_attempt(state, query, 0.0)
    assert not slow_start.has_budget(state, query, 0.0, None)
    assert slow_start.has_budget(state, query, 0.0, charged_ms=0.0)  # the attempt is one of the two charged
    assert slow_start.has_budget(state, query, 1200.0, None)  # the window is over


@pytest.mark.parametrize(
    ("now_ms", "is_interactive", "expected"),
    [
        (0.0, False, Priority.NORMAL),
        (0.0, True, Priority.INTERACTIVE),
        (3955.0, False, Priority.TIGHT),
        (4100.0, False, Priority.LATE),
        (4100.0, True, Priority.LATE),
    ],
)
def test_priorities_follow_the_time_left(now_ms, is_interactive, expected):
    """The objective is 2 s plus twice the expected runtime of 1 s, of which 40 ms are left to run."""
    query = query_of(group(), estimated_work_ms=2000.0)
    assert priority_of(query, is_interactive, None, 0.96, now_ms) == expected


def test_interactive_groups_have_one_thread_and_a_shorter_objective_than_another_group():
    """A deployment with one group has none."""
    status, report = interactive_group(), group()
    load = group("load", threads=1, is_bulk_load=True, latency_objective_ms=100.0, max_timeout_ms=100.0)
    assert interactive_groups([status, report, load]) == {status}
    assert interactive_groups([status]) == frozenset()


def test_queries_of_one_key_run_in_order_with_a_pause_after_one_that_may_still_run():
    """Without the pause, the next query could overtake it."""
    port, submitted = TimerPort(), []
    ordered = group(is_ordered_by_key=True)
    ordering = KeyOrdering(port, 300.0, submitted.append)
    first, second = (query_of(ordered, None, ordering_key="k") for _ in range(2))
    other, unordered = query_of(ordered, ordering_key="j"), query_of(group(), ordering_key="k")
    for query in (first, second, other, unordered):
        ordering.submit(query)
    assert submitted == [first, other, unordered]
    first.attempts[0].outcome = Outcome.TIMED_OUT
    first.is_done = True
    ordering.on_attempt_ended(first.attempts[0])
    assert submitted[-1] is unordered
    ((at_ms, call),) = port.timers
    assert at_ms == 300.0
    port.now_ms = at_ms
    call()
    assert submitted[-1] is second


def test_memory_estimates_rise_on_a_spill_and_fall_slowly():
    """A query without an estimate gets its group's mean; no grant exceeds what engines accept."""
    report = group()
    grants = MemoryGrants(capabilities(), [report], frozenset())
    state = state_of(engine("e", memory_mb=1000.0))
    query = query_of(report, estimated_memory_mb=100.0)
    assert grants.full_grant_mb(query, state) == 100.0
    grants.record_memory_need(report, True, 200.0)
    assert grants.full_grant_mb(query, state) == pytest.approx(103.0)
    grants.record_memory_need(report, False, 200.0)
    assert 102.0 < grants.full_grant_mb(query, state) < 103.0
    assert grants.full_grant_mb(query_of(report), state) == pytest.approx(200.0)
    assert grants.full_grant_mb(query_of(report, estimated_memory_mb=900.0), state) == 400.0


def test_an_engine_is_an_outlier_with_two_errors_well_above_the_median():
    """One error makes no engine an outlier."""
    outliers = OutlierDetection(engines_swap=False)
    state = state_of(engine("e"))
    for errors, is_outlier in ((1, False), (2, True)):
        state.errors.add(0.0, True)
        assert outliers.has_outlying_errors(state, 0.0) == is_outlier, errors
    outliers.median_error_share = 0.8
    assert not outliers.has_outlying_errors(state, 0.0)


def test_a_tenant_is_over_quota_by_its_share_of_traffic_unless_the_ledger_decides():
    """A few queries say nothing about a tenant's share."""
    busy, idle = Tenant("t", 0.5, 10.0, 0.1), Tenant("u", 0.5, 10.0, 0.1)
    quota = TenantQuota([busy, idle], 100.0, lambda: 0.6)
    verdicts = [quota.record_and_check(query_of(group(), tenant=busy), 0.0) for _ in range(11)]
    assert verdicts == [False] * 10 + [True]
    assert not quota.record_and_check(query_of(group(), tenant=busy, over_quota=False), 0.0)
    assert quota.record_and_check(query_of(group(), tenant=idle, over_quota=True), 0.0)
    assert not quota.record_and_check(query_of(group()), 0.0)


def test_a_pause_of_this_process_is_compensated_for_every_engine():
    """Only the time beyond two tick intervals is a pause."""
    port, state = TimerPort(), state_of(engine("e"))
    ticker = Ticker(port, SimpleNamespace(states={state.engine: state}), 50.0, lambda: None)
    ticker.schedule(0.0)
    port.now_ms = 100.0
    assert ticker.compensate_for_pause() == 100.0 and state.last_response_ms == 0.0
    port.now_ms = 700.0
    ticker.compensate_for_pause()
    assert state.last_response_ms == 600.0
    ticker.compensate_for_pause()
    assert state.last_response_ms == 600.0


@pytest.mark.parametrize(
    ("stretch", "work_ms", "threads", "expected_ms"),
    [
        (0.7, 1000.0, 3, 733.3333333333334),
        (2.3, 200.0, 3, 653.3333333333333),
        (3.0, 150.0, 7, 564.2857142857143),
    ],
)
def test_a_stretched_objective_keeps_the_rounding_of_revision_0018238(stretch, work_ms, threads, expected_ms):
    """Decisions compare times, so the last bit matters; each case detects a changed order of operations."""
    stretched = group(latency_objective_ms=500.0, latency_objective_stretch=stretch, threads=threads)
    assert query_of(stretched, estimated_work_ms=work_ms).latency_objective_ms == expected_ms


def test_time_scales_follow_the_shortest_objective():
    """The tick interval is never below one event loop iteration."""
    gateway = GatewayIdentity("a", 1, 1, 80.0)
    scales = TimeScales.of(gateway, [group(), interactive_group(), group(latency_objective_ms=0.0)])
    assert scales.shortest_objective_ms == 500.0
    assert scales.evaluation_interval_ms == 250.0 and scales.report_lifetime_ms == 2000.0
    assert scales.tick_interval_ms == 80.0


def test_a_missing_report_column_counts_as_zero():
    """Except for the use of cores, which is estimated from other columns."""
    assert LoadReport.from_fields({"waiting": 2.0, "odd": 1.0}) == LoadReport(None, 0.0, 2.0, 0.0, 0.0)


def test_the_same_seed_draws_the_same_numbers():
    """The numbers are between 0 and 1."""
    first, second = HashRandom(7), HashRandom(7)
    numbers = [first.draw() for _ in range(100)]
    assert numbers == [second.draw() for _ in range(100)]
    assert all(0 <= number < 1 for number in numbers) and len(set(numbers)) == 100
