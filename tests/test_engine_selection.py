"""Tests of engine selection: weights, affinity, subsets, warming engines, outliers, constrained groups."""

from zlib import crc32

import pytest
from admission_fakes import FakeGateway, capabilities, engine, group, interactive_group

from lichenquay.admission.domain import MemoryShortageBehaviour, Outcome, Query


def drawn_first(gateway, group_, count=300):
    """Returns how often each engine is the first one drawn for a query of the group."""
    times = dict.fromkeys((known.id for known in gateway.engines), 0)
    for _ in range(count):
        query = Query(1, group_, gateway.now_ms, gateway.now_ms + 1000, estimated_work_ms=100)
        first = next(gateway.controller.selection.draw(query, gateway.now_ms))
        times[first.engine.id] += 1
    return times


def draw_from_all(gateway):
    """Puts all engines into the subset, as with traffic that keeps the reports of all engines fresh."""
    gateway.controller.subset.engines = gateway.states()


def test_an_old_report_counts_as_the_average_of_the_fresh():
    """An old report is no evidence of the present load."""
    gateway = FakeGateway([interactive_group(), group()], [engine("e1"), engine("e2")])
    old, fresh = gateway.states()
    gateway.report(old, {"active": 60.0})
    gateway.run_for(5000)
    gateway.report(fresh, {"active": 2.0})
    gateway.controller.evaluation.compare_with_peers(gateway.now_ms)
    engine_load = gateway.controller.engine_load
    assert engine_load.utilisation(old) is None and engine_load.load(old) == engine_load.load(fresh)


def test_an_engine_with_outlying_errors_gets_few_queries_unless_all_engines_fail():
    """An engine that fails immediately is free immediately, is drawn more often, and fails many queries."""
    status = group("status", latency_objective_ms=500.0, threads=1, max_timeout_ms=2500.0)
    report = group("report", latency_objective_ms=3000.0)
    for all_fail in (False, True):
        gateway = FakeGateway([status, report], [engine(name) for name in "abc"], max_attempts=1)
        sent = []
        for _ in range(300):
            query = gateway.admit(status, work_ms=50.0)
            sent.append(query.attempts[0].engine.id)
            gateway.run_for(20)
            fails = all_fail or sent[-1] == "a"
            gateway.end_attempt(query.attempts[0], Outcome.FAILED if fails else Outcome.COMPLETED)
        if all_fail:
            assert min(sent.count(name) for name in "abc") > 50
        else:
            assert sent.count("a") < 25 and sent.count("b") > 100 and sent.count("c") > 100


def test_the_attempt_of_a_client_that_has_gone_is_cancelled():
    """It would hold its engine's cores and memory although nobody waits for it."""
    report = group("report", latency_objective_ms=3000.0)
    gateway = FakeGateway([interactive_group(), report], [engine("a")])
    query = gateway.admit(report, work_ms=5000.0)
    gateway.controller.on_client_gone(query)
    assert gateway.cancelled == [query.attempts[0]]


def test_preferred_engines_of_tables_get_about_a_third_of_the_draws_with_any_number_of_engines():
    """This is enough to keep them warm for these tables."""
    for size in (6, 40):
        engines = [engine(f"e{number}") for number in range(size)]
        gateway = FakeGateway([interactive_group(), group()], engines)
        draw_from_all(gateway)
        preferred = gateway.controller.table_affinity.preferred_engines("t1").readers
        query = Query(
            1, group(), gateway.now_ms, gateway.now_ms + 1000, estimated_work_ms=100, table_group="t1"
        )
        picks = [next(gateway.controller.selection.draw(query, gateway.now_ms)) for _ in range(300)]
        assert 60 < sum(state in preferred for state in picks) < 150


def test_low_traffic_draws_first_from_the_few_engines_with_fresh_reports():
    """All gateways together still use all engines."""
    status, drawn = interactive_group(), []
    for seed in range(40):  # many gateways, each with 4 queries within the report lifetime (2 s)
        engines = [engine(f"e{number}") for number in range(40)]
        gateway = FakeGateway([status], engines, gateway_count=200, seed=seed)
        for _ in range(60):
            gateway.admit(status, work_ms=20.0)
            gateway.run_for(500)
            for attempt in gateway.in_flight():
                gateway.end_attempt(attempt, Outcome.COMPLETED)
        used = {attempt.engine for attempt in gateway.attempts[-30:]}
        assert len(used) <= 6
        drawn += used
    assert max(drawn.count(known) for known in set(drawn)) <= 16
    assert len({known.id for known in drawn}) >= 38


def test_high_traffic_draws_from_all_engines():
    """It keeps the reports of all engines fresh."""
    status = interactive_group()
    gateway = FakeGateway([status], [engine(f"e{number}") for number in range(40)], gateway_count=2)
    for _ in range(600):
        gateway.admit(status, work_ms=20.0)
        gateway.run_for(10)
        for attempt in gateway.in_flight():
            gateway.end_attempt(attempt, Outcome.COMPLETED)
    assert len({attempt.engine for attempt in gateway.attempts[-200:]}) > 30


def test_many_gateways_use_a_warming_engine_and_keep_its_budget_together():
    """This holds also while another gateway joins them in the same window."""
    count, report = 200, group(latency_objective_ms=1000.0)
    gateways = [FakeGateway([report], [], gateway_count=count, gateway_index=index) for index in range(count)]
    rules = [gateway.controller.slow_start for gateway in gateways]
    limits = gateways[0].limits
    for name in ("e1", "e2", "e3"):
        warming = engine(name, started_ms=1000.0)
        for age_ms in range(0, 15000, 500):
            now_ms = 1000.0 + age_ms
            budgets = [
                [rule.budget_ms(warming, rule.warm_share(warming, at_ms)) for rule in rules]
                for at_ms in (now_ms, now_ms + 1500)
            ]
            allowed_ms = (
                limits.slow_start_overload_factor
                * 0.85
                * warming.cores
                * limits.slow_start_window_ms
                * rules[0].warm_share(warming, now_ms + 1500)
            )
            assert sum(map(max, *budgets)) <= 0.81 * allowed_ms
            assert max(budgets[0]) >= rules[0].typical_query_work_ms
    few = FakeGateway([report], [], gateway_count=3, gateway_index=2).controller.slow_start
    assert few.budget_ms(warming, 0.5) == pytest.approx(0.8 * 3 * 1500 * 0.85 * 8 * 0.5 / 3)


def test_a_warming_engine_is_drawn_first_by_gateways_that_share_it_and_left_alone_by_others():
    """Each of the sharers has budget for a query there."""
    report = group(latency_objective_ms=1000.0)
    for is_ours in (True, False):
        engines = [engine("cold", started_ms=1000.0), *(engine(f"e{number}") for number in range(40))]
        index = (100 * (not is_ours) - crc32(b"cold")) % 200
        gateway = FakeGateway([report], engines, gateway_count=200, gateway_index=index)
        subset = [state.engine for state in gateway.controller.subset.engines]
        assert (engines[0] in subset) == is_ours
        # Work that the previous process may have sent no longer counts:
        gateway.run_until(1000.0 + 1.2 * gateway.limits.slow_start_window_ms)
        for _ in range(30):
            gateway.admit(report, work_ms=300.0)
        assert (engines[0] in {attempt.engine for attempt in gateway.attempts}) == is_ours


def constrained_and_free():
    """Returns a group bound to four of eight engines, a free group, and a gateway drawing from all."""
    constrained, free = group("bound", allowed_kinds=frozenset("b")), group("free")
    engines = [engine(f"e{number}", kind="b" if number < 4 else "k") for number in range(8)]
    gateway = FakeGateway([interactive_group(), constrained, free], engines)
    draw_from_all(gateway)
    return constrained, free, gateway


@pytest.mark.parametrize(
    ("works_ms", "least", "most"),
    [((300.0, 100.0), 0, 0), ((100.0, 300.0), 15, 65), ((0.0, 100.0), 120, 180)],
)
def test_engines_that_a_constrained_group_needs_are_reserved_for_it(works_ms, least, most):
    """Otherwise they fill with queries that could run elsewhere, while the other engines are idle."""
    constrained, free, gateway = constrained_and_free()
    for _ in range(600):  # the constrained group may use half of the cores
        for group_, work_ms in zip((constrained, free), works_ms, strict=True):
            if work_ms:
                query = gateway.admit(group_, work_ms=work_ms)
                for attempt in query.attempts:
                    gateway.end_attempt(attempt, Outcome.COMPLETED)
    gateway.run_for(3000.0)
    gateway.controller.evaluation.compare_with_peers(gateway.now_ms)
    draw_from_all(gateway)
    times = drawn_first(gateway, free)
    assert least <= sum(times[f"e{number}"] for number in range(4)) <= most
    assert sum(drawn_first(gateway, constrained).values()) == 300


def test_engines_of_a_constrained_group_are_used_by_others_once_all_others_are_full():
    """Otherwise engines that the constrained group leaves idle are unused while the others are overloaded.

    Nor are they filled at a gateway's start, before it has seen a query of that group.
    """
    _, free, gateway = constrained_and_free()
    assert not sum(drawn_first(gateway, free)[f"e{number}"] for number in range(4))
    constrained_groups = gateway.controller.constrained_groups
    constrained_groups.mean_work_ms = 100.0
    constrained_groups.mean_constrained_work_ms = 25.0  # the group needs half of its engines' cores
    for state in gateway.states():
        gateway.report(state, {"cpu": 0.3 if state.serves_constrained_group else 1.0})
    gateway.controller.evaluation.compare_with_peers(gateway.now_ms)
    draw_from_all(gateway)
    assert 120 < sum(drawn_first(gateway, free)[f"e{number}"] for number in range(4)) < 180


def test_engines_of_the_gateways_own_zone_are_preferred_if_otherwise_equal():
    """A query to another zone incurs the cost of the link, and fails if the link does."""
    engines = [engine(f"e{number}", zone="ab"[number % 2]) for number in range(8)]
    gateway = FakeGateway([interactive_group(), group()], engines)
    draw_from_all(gateway)
    times = drawn_first(gateway, group())
    assert 160 < sum(times[f"e{number}"] for number in range(0, 8, 2)) < 240  # two in three


@pytest.mark.parametrize(
    ("memory_shortage", "least", "most"),
    [(MemoryShortageBehaviour.QUEUE, 230, 370), (MemoryShortageBehaviour.SWAP, 60, 150)],
)
def test_a_slow_engine_is_drawn_less_and_still_less_where_engines_swap(memory_shortage, least, most):
    """An engine that swaps reports idle cores, is drawn more and more, and becomes overloaded."""
    gateway = FakeGateway(
        [interactive_group(), group()],
        [engine(f"e{number}") for number in range(4)],
        engine_capabilities=capabilities(memory_shortage=memory_shortage),
    )
    for state in gateway.states():
        state.slowdown_ratio = 3.0 if state.engine.id == "e0" else 1.0
    gateway.controller.outliers.median_slowdown = 1.0
    draw_from_all(gateway)
    assert least <= drawn_first(gateway, group(), 3000)["e0"] <= most  # 1/10 and 1/28 of the draws
