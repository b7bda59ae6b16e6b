"""Slots and their feedback, shares of engines, and the draw: plain cases of the design and of each failure found."""

from zlib import crc32

import pytest
from standins import FakeDoor, engine, group, quick

from lichenquay.admission import domain
from lichenquay.admission.admission_slot import SlotKind

REPORT = {"active": 60.0}  # a busy report: more threads than cores hold


def closed(late, waiters, running=1.0, report=None, maximum=3, minimum=0, pool=1000.0):
    """One interval of 20 completions on a slot, as it stood."""
    g = group()
    door = FakeDoor([quick(), g], [engine("e1")])
    state = door.c.fleet.states[door.engines[0]]
    slot = door.c.slot_table.slot_for(state, g, door.now_ms)
    slot.maximum = maximum
    slot.minimum = minimum
    slot.pool_mb = pool
    slot.interval.results = 20
    slot.interval.lateness_ms = 20 * late
    slot.interval.lateness_squared = 20 * late * late
    slot.interval.granted_mb = 20 * 500.0
    slot.interval.waiting = 20 * waiters
    slot.interval.running = 20 * running
    slot.delay_ms = 7.0
    slot.meets_objective = True
    door.c.engine_load.record_report(state, report, door.now_ms)
    door.c.feedback.end_interval(slot, state, door.now_ms)
    return slot


def test_figure_3_few_waiters_grow_the_pool():
    slot = closed(late=100, waiters=0.2)
    assert slot.maximum == 3 and slot.pool_mb == pytest.approx(1000 + 0.05 * 8000) and slot.delay_ms == 0


def test_figure_3_a_maximum_that_fits_is_added_for_a_minimum():
    slot = closed(late=100, waiters=2, minimum=1)
    assert (slot.maximum, slot.minimum, slot.pool_mb) == (4, 0, 1500)


def test_figure_3_a_minimum_is_added_below_two_maximum_slots():
    slot = closed(late=100, waiters=2, maximum=1, pool=7000.0)
    assert (slot.maximum, slot.minimum) == (1, 1)


def test_figure_3_else_the_pool_grows():
    slot = closed(late=100, waiters=2, pool=6900.0)
    assert slot.maximum == 3 and slot.minimum == 0 and 6900 < slot.pool_mb <= 7200


def test_no_slot_is_added_to_a_full_engine():
    slot = closed(late=100, waiters=2, report=REPORT)
    assert slot.maximum == 3 and slot.minimum == 0


def test_a_beaten_target_keeps_the_delay_and_lowers_an_unused_limit():
    slot = closed(late=-100, waiters=0, running=1.0)
    assert slot.meets_objective and slot.delay_ms > 0 and slot.maximum == 2


def test_slots_bind_only_under_pressure_and_the_held_are_deferred_after_a_tenth():
    g = group()
    door = FakeDoor([quick(), g], [engine("e1")])
    for _ in range(6):
        door.take(g)
    assert len(door.out()) == 6
    door.answer(door.attempts[0], domain.Outcome.COMPLETED, REPORT)
    held = door.take(g)
    assert not held.attempts
    door.until(held.arrived_ms + 999)
    assert not held.is_done
    door.until(held.arrived_ms + 1010)
    assert door.done[held.id] == "deferred"


def test_a_minimum_slot_gets_a_quarter():
    g = group()
    door = FakeDoor([quick(), g], [engine("e1")])
    seen = door.c.fleet.states[door.engines[0]]
    slot = door.c.slot_table.slot_for(seen, g, door.now_ms)
    slot.maximum, slot.minimum = 1, 1
    door.c.engine_load.record_report(seen, REPORT, door.now_ms)
    door.take(g, memory=400.0)
    door.until(door.now_ms + 10)
    door.c.engine_load.record_report(seen, REPORT, door.now_ms)
    door.take(g, memory=400.0)
    assert [(r.slot_kind, r.granted_mb) for r in seen.reservations.values()] == [
        (SlotKind.MAXIMUM, 400.0),
        (SlotKind.MINIMUM, 100.0),
    ]


def test_dashboards_have_no_slots_and_the_engines_own_grant():
    q = quick()
    door = FakeDoor([q, group()], [engine("e1")])
    door.take(q)
    assert door.ranks[-1][1:] == (0.0, 3)


def test_a_jam_ends_all_groups_keep_to_our_share_of_a_pressed_engine():
    q, g = quick(), group()
    door = FakeDoor([q, g], [engine("e1")], fronts=4)
    door.c.engine_load.record_report(door.c.fleet.states[door.engines[0]], REPORT, door.now_ms)
    for _ in range(30):
        door.take(q)
    assert len(door.out()) == 4  # two threads a core, of which a quarter is ours


def test_where_our_share_of_an_engine_is_below_one_query_the_fleets_shares_are_pooled():
    g = group()  # of 6 engines x 16 threads a fiftieth is ours: one query of two threads
    door = FakeDoor([quick(), g], [engine(f"e{i}") for i in range(6)], fronts=50)
    for seen in door.c.fleet.states.values():
        door.c.engine_load.record_report(seen, REPORT, door.now_ms)
    door.c.evaluation.compare_with_peers(door.now_ms)
    held = [door.take(g) for _ in range(5)][1:]
    assert len(door.out()) == 1
    door.until(door.now_ms + 1100)
    assert all(door.done[q.id] == "deferred" for q in held)


def test_pooled_groups_keep_to_our_share_of_the_fleets_memory_where_it_swaps_not_of_one_engines():
    g = group(threads=3)  # a twentieth of an engine's memory is less than one query
    swap = domain.EngineCapabilities(True, True, 0.4, "swap", 500.0, False, ("cpu",), "answers")
    door = FakeDoor([quick(), g], [engine(f"e{i}") for i in range(10)], fronts=20, make=swap)
    for _ in range(12):
        door.take(g, memory=1600.0)
    assert len(door.out()) == 4  # of 160000 MB a twentieth is ours, less the set-aside: none passes it


def test_one_query_of_a_pooled_group_goes_though_it_passes_our_share_of_the_fleets_memory():
    """Risk: where a share is below one query, all fronts wait and nobody uses the fleet."""
    g = group(threads=3)
    swap = domain.EngineCapabilities(True, True, 0.4, "swap", 500.0, False, ("cpu",), "answers")
    door = FakeDoor([quick(), g], [engine(f"e{i}") for i in range(10)], fronts=200, make=swap)
    for _ in range(3):
        door.take(g, memory=1600.0, work=300.0)  # 720 MB are ours: one query in 2.2 of its times
    assert len(door.out()) == 1
    door.until(door.now_ms + 100.0)
    door.answer(door.out()[0], domain.Outcome.COMPLETED)
    door.until(door.now_ms + 110.0)
    assert not door.out()
    door.until(door.now_ms + 50.0)
    assert len(door.out()) == 1


@pytest.mark.parametrize("draining, ends_after_ms, sent", [(0, 60.0, 1), (6, 60.0, 0), (6, 300.0, 1)])
def test_pooled_admissions_are_spaced_by_what_the_fleet_can_do_now(draining, ends_after_ms, sent):
    """Risk: our share told at the start is of engines that are gone or cold since; a jam, in which nothing ends."""
    g = group(threads=3)  # of 160 threads 3.2 are ours, and of those of four engines 1.3
    door = FakeDoor([quick(), g], [engine(f"e{i}") for i in range(10)], fronts=50)
    for seen in door.c.fleet.states.values():
        door.c.engine_load.record_report(seen, REPORT, door.now_ms)
    door.c.evaluation.compare_with_peers(door.now_ms)
    for e in door.engines[:draining]:
        e.state = domain.EndpointState.DRAINING
    door.c.endpoints_updated(door.engines[:draining], False)
    first = door.take(g, work=300.0)
    door.until(door.now_ms + ends_after_ms)
    door.answer(first.attempts[0], domain.Outcome.COMPLETED, REPORT)
    assert len(door.take(g, work=300.0).attempts) == sent


def test_an_old_report_counts_as_the_average_of_the_fresh():
    door = FakeDoor([quick(), group()], [engine("e1"), engine("e2")])
    old, fresh = door.c.fleet.states.values()
    door.c.engine_load.record_report(old, REPORT, door.now_ms)
    door.until(door.now_ms + 5000)
    door.c.engine_load.record_report(fresh, {"active": 2.0}, door.now_ms)
    door.c.evaluation.compare_with_peers(door.now_ms)
    assert door.c.engine_load.utilisation(old) is None and door.c.engine_load.load(
        old
    ) == door.c.engine_load.load(fresh)


def test_where_memory_swaps_our_share_of_it_binds_always():
    g = group(latency_objective_ms=100000.0)
    swap = domain.EngineCapabilities(True, True, 0.4, "swap", 500.0, False, ("cpu",), "answers")
    door = FakeDoor([quick(), g], [engine("e1")], make=swap)
    for _ in range(20):
        door.take(g, memory=1600.0)
    assert len(door.out()) == 4  # of 16000 MB half is ours, less the set-aside


def test_an_engine_told_to_be_short_of_memory_gets_only_dashboards_for_a_note():
    q, g = quick(), group()
    door = FakeDoor([q, g], [engine("e1"), engine("e2")])
    first = door.take(g).attempts[0]
    door.c.on_progress(first, domain.ProgressKind.WAITING, 1)
    assert all(door.take(g).attempts[0].engine is not first.engine for _ in range(3))
    assert {door.take(q).attempts[0].engine for _ in range(20)} == set(door.engines)


def test_an_engine_whose_errors_stand_out_gets_little_and_one_error_blames_nobody():
    """Risk: what fails at once is free at once, and draws ever more: mutating queries were killed by the dozen."""
    quick = group("status", latency_objective_ms=500.0, threads=1, queue_timeout_ms=2500.0)
    far = group("report", latency_objective_ms=3000.0)
    for all_fail in (False, True):
        door = FakeDoor([quick, far], [engine(n) for n in "abc"], most=1)
        sent = []
        for i in range(300):
            q = door.take(quick, work=50.0)
            sent.append(q.attempts[0].engine.id)
            door.until(door.now_ms + 20)
            door.answer(
                q.attempts[0],
                domain.Outcome.FAILED if all_fail or sent[-1] == "a" else domain.Outcome.COMPLETED,
            )
        if all_fail:
            assert min(sent.count(n) for n in "abc") > 50
        else:
            assert sent.count("a") < 25 and sent.count("b") > 100 and sent.count("c") > 100
    q, left = door.take(far, work=5000.0), door.cancelled
    door.c.on_client_gone(q)
    assert left == [q.attempts[0]]  # risk: what nobody waits for holds its engine


def test_loads_of_the_same_tables_are_not_lined_up_past_their_target():
    """Risk: a line of loads at every engine in which each ends late, and makes the next one late."""
    load = group(
        "load",
        domain.Effect.NON_IDEMPOTENT,
        is_bulk_load=True,
        latency_objective_ms=3000.0,
        latency_objective_stretch=3.0,
    )
    door = FakeDoor([quick(), load], [engine("e1"), engine("e2")])
    same = [door.take(load, work=2000.0, table_group="7") for _ in range(8)]
    other = door.take(load, work=2000.0, table_group="8")
    out = [q for q in same if q.attempts]
    assert len(out) == 6 and {q.attempts[0].engine.id for q in out} == {"e1", "e2"} and other.attempts
    door.until(door.now_ms + 300)
    door.answer(out[0].attempts[0], domain.Outcome.COMPLETED)
    assert sum(bool(q.attempts) for q in same) == len(out) + 1  # the next one takes its place


def test_table_homes_draw_about_a_third_in_any_fleet():
    for n in (6, 40):
        door = FakeDoor([quick(), group()], [engine(f"e{i}") for i in range(n)])
        door.c.subset.engines = list(door.c.fleet.states.values())  # as with traffic that hears of them all
        preferred = door.c.table_affinity.preferred_engines("t1").readers
        q = domain.Query(1, group(), door.now_ms, door.now_ms + 1000, estimated_work_ms=100, table_group="t1")
        picks = [next(door.c.selection.draw(q, door.now_ms)) for _ in range(300)]
        assert 60 < sum(s in preferred for s in picks) < 150


def test_thin_traffic_draws_first_from_the_few_engines_that_it_hears_of():
    g, drawn = quick(), []
    for seed in range(40):  # of many gateways, each with 4 queries in the time that a report counts (2 s)
        door = FakeDoor([g], [engine(f"e{i}") for i in range(40)], fronts=200, seed=seed)
        for _ in range(60):
            door.take(g, work=20.0)
            door.until(door.now_ms + 500)
            for attempt in door.out():
                door.answer(attempt, domain.Outcome.COMPLETED)
        used = {s.engine for s in door.attempts[-30:]}
        assert len(used) <= 6
        drawn += used
    assert max(drawn.count(e) for e in set(drawn)) <= 16 and len({e.id for e in drawn}) >= 38


def test_dense_traffic_draws_from_all_engines():
    g = quick()
    door = FakeDoor([g], [engine(f"e{i}") for i in range(40)], fronts=2)
    for _ in range(600):
        door.take(g, work=20.0)
        door.until(door.now_ms + 10)
        for attempt in door.out():
            door.answer(attempt, domain.Outcome.COMPLETED)
    assert len({s.engine for s in door.attempts[-200:]}) > 30


def test_many_gateways_use_a_cold_engine_and_keep_its_budget_together():
    n, g = 200, group(latency_objective_ms=1000.0)
    doors = [FakeDoor([g], [], fronts=n, number=i) for i in range(n)]
    for name in ("e1", "e2", "e3"):
        e = engine(name, started=1000.0)
        for age in range(0, 15000, 500):
            now, rules = 1000.0 + age, doors[0].safety_limits
            at = [
                [d.c.slow_start.budget_ms(e, d.c.slow_start.warm_share(e, t)) for d in doors]
                for t in (now, now + 1500)
            ]
            told = (
                rules.slow_start_overload_factor
                * 0.85
                * e.cores
                * rules.slow_start_window_ms
                * doors[0].c.slow_start.warm_share(e, now + 1500)
            )
            assert sum(map(max, *at)) <= 0.81 * told  # also while another one joins in the same window
            assert max(at[0]) >= doors[0].c.slow_start.typical_query_work_ms
    few = FakeDoor([g], [], fronts=3, number=2)
    assert few.c.slow_start.budget_ms(e, 0.5) == pytest.approx(0.8 * 3 * 1500 * 0.85 * 8 * 0.5 / 3)


def test_a_cold_engine_is_drawn_from_first_by_those_who_share_it_and_left_alone_by_others():
    g = group(latency_objective_ms=1000.0)
    for ours in (True, False):
        engines = [engine("cold", started=1000.0), *(engine(f"e{i}") for i in range(40))]
        door = FakeDoor([g], engines, fronts=200, number=(100 * (not ours) - crc32(b"cold")) % 200)
        assert (engines[0] in [s.engine for s in door.c.subset.engines]) == ours
        door.until(
            1000.0 + 1.2 * door.safety_limits.slow_start_window_ms
        )  # what the process before it may have sent counts no more
        for _ in range(30):
            door.take(g, work=300.0)
        assert (engines[0] in {s.engine for s in door.attempts}) == ours


def test_pooled_slots_bind_once_the_pace_of_all_is_well_above_its_best():
    """Risk: without notes, and with reports that say little, many fronts fill engines whose memory is full."""
    g = group(threads=4)
    door = FakeDoor([quick(), g], [engine(f"e{i}") for i in range(4)], fronts=100)
    assert door.c.slot_table.is_pooled(g)
    for factor, pressed in ((1.0, False), (1.5, False), (6.0, True), (1.0, False)):
        for _ in range(12):
            q = door.take(g, work=400.0)
            door.until(door.now_ms + factor * 100.0)
            for attempt in [s for s in door.out() if s.query is q]:
                door.answer(attempt, domain.Outcome.COMPLETED)
        assert door.c.pressure.is_fleet_pressed(door.now_ms) == pressed, factor
        door.until(door.now_ms + 4000)


def drawn_first(door, g, count=300):
    """How often each engine is the first one drawn for a query of the group."""
    times = dict.fromkeys((e.id for e in door.engines), 0)
    for _ in range(count):
        q = domain.Query(1, g, door.now_ms, door.now_ms + 1000, estimated_work_ms=100)
        times[next(door.c.selection.draw(q, door.now_ms)).engine.id] += 1
    return times


@pytest.mark.parametrize(
    "works, least, most", [((300.0, 100.0), 0, 0), ((100.0, 300.0), 15, 65), ((0.0, 100.0), 120, 180)]
)
def test_engines_that_a_bound_group_needs_are_left_to_it(works, least, most):
    """Risk: its engines are full of what could run elsewhere, while the others idle."""
    bound, free = group("bound", allowed_kinds=frozenset("b")), group("free")
    door = FakeDoor([quick(), bound, free], [engine(f"e{i}", kind="b" if i < 4 else "k") for i in range(8)])
    door.c.subset.engines = list(door.c.fleet.states.values())
    for _ in range(600):  # half of the cores are the bound group's
        for g, work in zip((bound, free), works, strict=True):
            if work:
                q = door.take(g, work=work)
                for attempt in q.attempts:
                    door.answer(attempt, domain.Outcome.COMPLETED)
    door.until(door.now_ms + 3000.0)
    door.c.evaluation.compare_with_peers(door.now_ms)
    door.c.subset.engines = list(door.c.fleet.states.values())
    times = drawn_first(door, free)
    assert least <= sum(times[f"e{i}"] for i in range(4)) <= most
    assert sum(drawn_first(door, bound).values()) == 300


def test_engines_of_a_bound_group_are_used_by_others_once_those_report_full():
    """Risk: while the others jam, engines that the bound group leaves idle are not used; or at a front's start,
    before it has seen a query of that group, they are filled."""
    bound, free = group("bound", allowed_kinds=frozenset("b")), group("free")
    door = FakeDoor([quick(), bound, free], [engine(f"e{i}", kind="b" if i < 4 else "k") for i in range(8)])
    subset, fleet = door.c.subset, door.c.fleet.states.values()
    subset.engines = list(fleet)
    assert not sum(drawn_first(door, free)[f"e{i}"] for i in range(4))
    door.c.constrained_groups.mean_work_ms = 100.0
    door.c.constrained_groups.mean_constrained_work_ms = 25.0  # of half of the cores: half of those are left
    for seen in fleet:
        door.c.engine_load.record_report(
            seen, {"cpu": 0.3 if seen.serves_constrained_group else 1.0}, door.now_ms
        )
    door.c.evaluation.compare_with_peers(door.now_ms)
    subset.engines = list(fleet)
    assert 120 < sum(drawn_first(door, free)[f"e{i}"] for i in range(4)) < 180


def test_work_that_runs_on_after_its_time_counts_at_its_engine_alone():
    """Risk: one engine that hangs on to a few long queries takes their front's share of all others."""
    g = group(effect=domain.Effect.NON_IDEMPOTENT, threads=3)  # not sent again
    swap = domain.EngineCapabilities(True, True, 0.4, "swap", 500.0, False, ("cpu",), "answers")
    door = FakeDoor([quick(), g], [engine(f"e{i}") for i in range(10)], fronts=20, make=swap, cancel=False)
    for _ in range(4):
        door.take(g, memory=1600.0, work=4000.0)
    attempt = door.out()[0]
    seen = door.c.fleet.states[attempt.engine]
    door.answer(attempt, domain.Outcome.TIMED_OUT)
    total = door.c.in_flight
    assert seen.in_flight.granted_mb == 1600.0 and total.granted_mb == 3 * 1600.0
    assert total.threads == 9 and total.interactive_threads == 0
    door.until(door.now_ms + 10_000.0)
    assert seen.in_flight.granted_mb == 0.0 and not seen.reservations and total.granted_mb == 3 * 1600.0


def test_engines_of_the_fronts_own_place_come_first_all_else_alike():
    """Risk: a query that crosses places pays for the way, and stops with the link."""
    door = FakeDoor([quick(), group()], [engine(f"e{i}", zone="ab"[i % 2]) for i in range(8)])
    door.c.subset.engines = list(door.c.fleet.states.values())
    times = drawn_first(door, group())
    assert 160 < sum(times[f"e{i}"] for i in range(0, 8, 2)) < 240  # two in three


@pytest.mark.parametrize(("memory_shortage", "least", "most"), [("queue", 230, 370), ("swap", 60, 150)])
def test_a_slow_engine_counts_twice_where_engines_swap(memory_shortage, least, most):
    """Risk: one that swaps reports idle cores, draws ever more, and jams."""
    door = FakeDoor([quick(), group()], [engine(f"e{i}") for i in range(4)], memory_shortage=memory_shortage)
    for seen in door.c.fleet.states.values():
        seen.slowdown_ratio = 3.0 if seen.engine.id == "e0" else 1.0
    door.c.outliers.median_slowdown = 1.0
    door.c.subset.engines = list(door.c.fleet.states.values())
    assert least <= drawn_first(door, group(), 3000)["e0"] <= most  # a tenth, and a twenty-eighth
