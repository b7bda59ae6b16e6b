"""Tests of admission slots, their feedback (M&M's Figure 3), memory shares, and pooled slots."""

import pytest
from admission_fakes import FakeGateway, engine, group, interactive_group, swapping_capabilities

from lichenquay.admission.admission_slot import SlotKind
from lichenquay.admission.domain import Effect, EndpointState, Outcome, ProgressKind, WaitReason

BUSY_REPORT = {"active": 60.0}  # more threads than the cores can run


def slot_after_interval(lateness_ms, waiting, running=1.0, report=None, maximum=3, minimum=0, pool_mb=1000.0):
    """Returns a slot after an interval of 20 results with these means."""
    report_group = group()
    gateway = FakeGateway([interactive_group(), report_group], [engine("e1")])
    (state,) = gateway.states()
    slot = gateway.controller.slot_table.slot_for(state, report_group, gateway.now_ms)
    slot.maximum = maximum
    slot.minimum = minimum
    slot.pool_mb = pool_mb
    slot.interval.results = 20
    slot.interval.lateness_ms = 20 * lateness_ms
    slot.interval.lateness_squared = 20 * lateness_ms * lateness_ms
    slot.interval.granted_mb = 20 * 500.0
    slot.interval.waiting = 20 * waiting
    slot.interval.running = 20 * running
    slot.delay_ms = 7.0
    slot.meets_objective = True
    gateway.report(state, report)
    gateway.controller.feedback.end_interval(slot, state, gateway.now_ms)
    return slot


def test_figure_3_few_waiting_queries_grow_the_pool():
    """More slots would not help."""
    slot = slot_after_interval(lateness_ms=100, waiting=0.2)
    assert slot.maximum == 3 and slot.pool_mb == pytest.approx(1000 + 0.05 * 8000) and slot.delay_ms == 0


def test_figure_3_a_maximum_slot_that_fits_is_added_for_a_minimum_slot():
    """The pool grows by the slot's memory."""
    slot = slot_after_interval(lateness_ms=100, waiting=2, minimum=1)
    assert (slot.maximum, slot.minimum, slot.pool_mb) == (4, 0, 1500)


def test_figure_3_a_minimum_slot_is_added_below_two_maximum_slots():
    """This applies where no maximum slot fits."""
    slot = slot_after_interval(lateness_ms=100, waiting=2, maximum=1, pool_mb=7000.0)
    assert (slot.maximum, slot.minimum) == (1, 1)


def test_figure_3_else_the_pool_grows():
    """It grows up to the gateway's share of the memory."""
    slot = slot_after_interval(lateness_ms=100, waiting=2, pool_mb=6900.0)
    assert slot.maximum == 3 and slot.minimum == 0 and 6900 < slot.pool_mb <= 7200


def test_no_slot_is_added_to_a_full_engine():
    """Another slot would only overload it further."""
    slot = slot_after_interval(lateness_ms=100, waiting=2, report=BUSY_REPORT)
    assert slot.maximum == 3 and slot.minimum == 0


def test_a_met_objective_keeps_the_delay_and_lowers_an_unused_limit():
    """See the paper, 4.3.3."""
    slot = slot_after_interval(lateness_ms=-100, waiting=0, running=1.0)
    assert slot.meets_objective and slot.delay_ms > 0 and slot.maximum == 2


def test_slots_apply_only_under_pressure_and_waiting_queries_are_rejected_after_a_tenth():
    """Without pressure, slots would hold queries back while cores are free."""
    report = group()
    gateway = FakeGateway([interactive_group(), report], [engine("e1")])
    for _ in range(6):
        gateway.admit(report)
    assert len(gateway.in_flight()) == 6
    gateway.end_attempt(gateway.attempts[0], Outcome.COMPLETED, BUSY_REPORT)
    waiting = gateway.admit(report)
    assert not waiting.attempts
    gateway.run_until(waiting.arrived_ms + 999)
    assert not waiting.is_done
    gateway.run_until(waiting.arrived_ms + 1010)
    assert gateway.answers[waiting.id] == "rejected"


def test_a_minimum_slot_grants_a_quarter():
    """A maximum slot grants the whole estimate."""
    report = group()
    gateway = FakeGateway([interactive_group(), report], [engine("e1")])
    (state,) = gateway.states()
    slot = gateway.controller.slot_table.slot_for(state, report, gateway.now_ms)
    slot.maximum = 1
    slot.minimum = 1
    gateway.report(state, BUSY_REPORT)
    gateway.admit(report, memory_mb=400.0)
    gateway.run_for(10)
    gateway.report(state, BUSY_REPORT)
    gateway.admit(report, memory_mb=400.0)
    held = [(reservation.slot_kind, reservation.granted_mb) for reservation in state.reservations.values()]
    assert held == [(SlotKind.MAXIMUM, 400.0), (SlotKind.MINIMUM, 100.0)]


def test_interactive_queries_have_no_slots_and_the_engines_own_grant():
    """They have the highest priority too."""
    status = interactive_group()
    gateway = FakeGateway([status, group()], [engine("e1")])
    gateway.admit(status)
    assert gateway.grants[-1][1:] == (0.0, 3)


def test_interactive_queries_keep_to_the_gateways_share_of_an_engine_under_pressure():
    """Otherwise the engine is overloaded, and no query ends in time."""
    status = interactive_group()
    gateway = FakeGateway([status, group()], [engine("e1")], gateway_count=4)
    gateway.report(gateway.state_of(gateway.engines[0]), BUSY_REPORT)
    for _ in range(30):
        gateway.admit(status)
    assert len(gateway.in_flight()) == 4  # two threads per core, of which a quarter is the gateway's


def test_slots_are_pooled_where_the_gateways_share_of_an_engine_is_below_one_query():
    """Otherwise each of many gateways sends every engine a query of every group."""
    report = group()  # the share is 1/50 of 6 engines x 16 threads: one query of two threads
    engines = [engine(f"e{number}") for number in range(6)]
    gateway = FakeGateway([interactive_group(), report], engines, gateway_count=50)
    for state in gateway.states():
        gateway.report(state, BUSY_REPORT)
    gateway.controller.evaluation.compare_with_peers(gateway.now_ms)
    waiting = [gateway.admit(report) for _ in range(5)][1:]
    assert len(gateway.in_flight()) == 1
    gateway.run_for(1100)
    assert all(gateway.answers[query.id] == "rejected" for query in waiting)


def ten_swapping_engines(report, gateway_count, **changes):
    """Returns a gateway with ten engines that swap."""
    engines = [engine(f"e{number}") for number in range(10)]
    return FakeGateway(
        [interactive_group(), report],
        engines,
        gateway_count=gateway_count,
        engine_capabilities=swapping_capabilities(),
        **changes,
    )


def test_pooled_groups_keep_to_the_gateways_share_of_the_memory_of_swapping_engines():
    """The limit is not the share of one engine's memory, into which no query fits."""
    report = group(threads=3)  # a twentieth of an engine's memory is less than one query
    gateway = ten_swapping_engines(report, gateway_count=20)
    for _ in range(12):
        gateway.admit(report, memory_mb=1600.0)
    assert len(gateway.in_flight()) == 4  # 1/20 of 160000 MB less the reserve holds 4.5 queries


def test_one_query_of_a_pooled_group_runs_even_if_it_exceeds_the_share_of_the_engines_memory():
    """Otherwise, with shares below one query, all gateways would wait and the engines would be unused."""
    report = group(threads=3)
    gateway = ten_swapping_engines(report, gateway_count=200)
    for _ in range(3):
        # The share is 720 MB: one query in 2.2 of its runtimes.
        gateway.admit(report, memory_mb=1600.0, work_ms=300.0)
    assert len(gateway.in_flight()) == 1
    gateway.run_for(100.0)
    gateway.end_attempt(gateway.in_flight()[0], Outcome.COMPLETED)
    gateway.run_for(110.0)
    assert not gateway.in_flight()
    gateway.run_for(50.0)
    assert len(gateway.in_flight()) == 1


@pytest.mark.parametrize(("draining", "ends_after_ms", "sent"), [(0, 60.0, 1), (6, 60.0, 0), (6, 300.0, 1)])
def test_pooled_admissions_are_spaced_by_what_the_engines_can_do_now(draining, ends_after_ms, sent):
    """A share computed at the start would overload the engines that are left.

    It would include engines that have since left or are warming up.
    """
    report = group(threads=3)  # the share is 3.2 of 160 threads, or 1.3 of the threads of four engines
    engines = [engine(f"e{number}") for number in range(10)]
    gateway = FakeGateway([interactive_group(), report], engines, gateway_count=50)
    for state in gateway.states():
        gateway.report(state, BUSY_REPORT)
    gateway.controller.evaluation.compare_with_peers(gateway.now_ms)
    for drained in gateway.engines[:draining]:
        drained.state = EndpointState.DRAINING
    gateway.controller.endpoints_updated(gateway.engines[:draining], False)
    first = gateway.admit(report, work_ms=300.0)
    gateway.run_for(ends_after_ms)
    gateway.end_attempt(first.attempts[0], Outcome.COMPLETED, BUSY_REPORT)
    assert len(gateway.admit(report, work_ms=300.0).attempts) == sent


def test_where_engines_swap_the_memory_share_always_applies():
    """It applies without pressure too: an overcommitted engine looks idle, and would be sent more."""
    report = group(latency_objective_ms=100000.0)
    gateway = FakeGateway(
        [interactive_group(), report], [engine("e1")], engine_capabilities=swapping_capabilities()
    )
    for _ in range(20):
        gateway.admit(report, memory_mb=1600.0)
    assert len(gateway.in_flight()) == 4  # half of 16000 MB less the reserve


def test_an_engine_short_of_memory_gets_only_interactive_queries_for_a_while():
    """This lasts one progress interval from when it made an attempt wait."""
    status, report = interactive_group(), group()
    gateway = FakeGateway([status, report], [engine("e1"), engine("e2")])
    first = gateway.admit(report).attempts[0]
    gateway.controller.on_progress(first, ProgressKind.WAITING, WaitReason.MEMORY)
    assert all(gateway.admit(report).attempts[0].engine is not first.engine for _ in range(3))
    assert {gateway.admit(status).attempts[0].engine for _ in range(20)} == set(gateway.engines)


def test_bulk_loads_of_the_same_tables_are_not_queued_beyond_their_objective():
    """Otherwise each load queued on an engine ends late, and delays the next one."""
    load = group(
        "load",
        Effect.NON_IDEMPOTENT,
        is_bulk_load=True,
        latency_objective_ms=3000.0,
        latency_objective_stretch=3.0,
    )
    gateway = FakeGateway([interactive_group(), load], [engine("e1"), engine("e2")])
    same_tables = [gateway.admit(load, work_ms=2000.0, table_group="7") for _ in range(8)]
    other_tables = gateway.admit(load, work_ms=2000.0, table_group="8")
    sent = [query for query in same_tables if query.attempts]
    assert len(sent) == 6 and {query.attempts[0].engine.id for query in sent} == {"e1", "e2"}
    assert other_tables.attempts
    gateway.run_for(300)
    gateway.end_attempt(sent[0].attempts[0], Outcome.COMPLETED)
    assert sum(bool(query.attempts) for query in same_tables) == len(sent) + 1  # the next one takes its place


def test_pooled_slots_apply_once_attempts_are_much_slower_than_the_best_mean():
    """Otherwise many gateways fill engines that are short of memory.

    This happens where reports say little and there are no progress events.
    """
    report = group(threads=4)
    engines = [engine(f"e{number}") for number in range(4)]
    gateway = FakeGateway([interactive_group(), report], engines, gateway_count=100)
    assert gateway.controller.slot_table.is_pooled(report)
    for slowdown, is_under_pressure in ((1.0, False), (1.5, False), (6.0, True), (1.0, False)):
        for _ in range(12):
            query = gateway.admit(report, work_ms=400.0)
            gateway.run_for(slowdown * 100.0)
            for attempt in [attempt for attempt in gateway.in_flight() if attempt.query is query]:
                gateway.end_attempt(attempt, Outcome.COMPLETED)
        assert gateway.controller.pressure.are_engines_under_pressure(gateway.now_ms) == is_under_pressure, (
            slowdown
        )
        gateway.run_for(4000)


def test_work_that_continues_after_its_deadline_counts_only_on_its_engine():
    """Otherwise one engine that continues a few long queries takes the gateway's share of all engines."""
    report = group(effect=Effect.NON_IDEMPOTENT, threads=3)  # is not retried
    gateway = ten_swapping_engines(report, gateway_count=20, may_cancel=False)
    for _ in range(4):
        gateway.admit(report, memory_mb=1600.0, work_ms=4000.0)
    attempt = gateway.in_flight()[0]
    state = gateway.state_of(attempt.engine)
    gateway.end_attempt(attempt, Outcome.TIMED_OUT)
    total = gateway.controller.attempts_in_flight.totals
    assert state.in_flight.granted_mb == 1600.0 and total.granted_mb == 3 * 1600.0
    assert total.threads == 9 and total.interactive_threads == 0
    gateway.run_for(10_000.0)
    assert state.in_flight.granted_mb == 0.0 and not state.reservations
    assert total.granted_mb == 3 * 1600.0
