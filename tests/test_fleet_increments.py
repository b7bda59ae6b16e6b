"""The incrementally updated engine registry equals that of a full scan, without the scan."""

from random import Random
from zlib import crc32

import pytest
from admission_fakes import FakeGateway, engine, group, interactive_group

from lichenquay.admission.domain import EndpointState, Outcome
from lichenquay.admission.table_affinity import PreferredEngines

pytestmark = pytest.mark.together

ENGINE_COUNT = 2_000
TABLE_GROUPS = ("t1", "t2", "t3")


class VisitCountingStates(dict):
    """The controller's engine states, with a count of those that were visited."""

    visited = 0

    def values(self):
        """Yields the states and counts each."""
        for state in super().values():
            self.visited += 1
            yield state

    def __iter__(self):
        """Yields the keys and counts each."""
        for key in super().__iter__():
            self.visited += 1
            yield key


def count_visits(gateway):
    """Makes the controller of this gateway use states that count visits, and returns them."""
    states = VisitCountingStates(gateway.controller.registry.states)
    gateway.controller.registry.states = states
    return states


def run_queries(gateway, count, group_):
    """Runs queries to their answers, with some errors and load reports."""
    for number in range(count):
        gateway.admit(group_, work_ms=20.0, table_group=TABLE_GROUPS[number % len(TABLE_GROUPS)])
        gateway.run_for(25)
        for attempt in gateway.in_flight():
            outcome = Outcome.FAILED if number % 7 == 0 else Outcome.COMPLETED
            gateway.end_attempt(attempt, outcome, {"active": float(number % 5)} if number % 3 else None)


def test_ticks_queries_and_list_events_visit_few_engines():
    """At 25,000 engines, visiting all of them at each tick would take more than a core."""
    status = interactive_group()
    engines = [engine(f"e{number}") for number in range(ENGINE_COUNT)]
    gateway = FakeGateway([status], engines, gateway_count=200)
    run_queries(gateway, 40, status)
    states = count_visits(gateway)
    run_queries(gateway, 40, status)
    assert states.visited < ENGINE_COUNT / 4
    states.visited = 0
    for number in range(10):
        gateway.controller.endpoints_updated([engine(f"new{number}")], False)
    assert states.visited < ENGINE_COUNT / 4


def rank_of(registry, state):
    """Returns an engine's rank in this gateway's own order, by the gateway's seed."""
    return crc32(f"{registry.seed}:{state.engine.id}".encode())


def preferred_by_full_scan(registry, table_group):
    """Returns the first two and the last two of all engines, ranked for a table group."""
    ranked = sorted(
        registry.states.values(), key=lambda state: crc32(f"{table_group}:{state.engine.id}".encode())
    )
    return PreferredEngines(ranked[:2], ranked[-2:])


def warming_by_full_scan(controller, now_ms):
    """Returns engines that warm up and that this gateway may send to, in its own order."""
    registry, slow_start, found = controller.registry, controller.slow_start, []
    for state in sorted(registry.states.values(), key=lambda state: rank_of(registry, state)):
        warm_share = slow_start.warm_share(state.engine, now_ms)
        is_usable = state.engine.state == EndpointState.SERVING and not state.is_unresponsive
        if is_usable and warm_share < 1 and slow_start.budget_ms(state.engine, warm_share):
            found.append(state)
    return found


def upper_median(values):
    """Returns the median; of an even number of values, the larger one of the two in the middle."""
    return sorted(values)[len(values) // 2]


def check_incremental_state(gateway):
    """Checks that all incrementally updated state equals the result of a full scan."""
    controller, registry, now_ms = gateway.controller, gateway.controller.registry, gateway.now_ms
    states = list(registry.states.values())
    assert registry.by_rank == sorted(states, key=lambda state: rank_of(registry, state))
    assert registry.cores == pytest.approx(sum(state.cores for state in states))
    assert registry.memory_mb == pytest.approx(sum(state.memory_mb for state in states))
    for table_group in TABLE_GROUPS:
        preferred = controller.table_affinity.preferred_engines(table_group)
        assert preferred == preferred_by_full_scan(registry, table_group)
    controller.evaluation.compare_with_peers(now_ms)
    warming = [state for state in controller.subset.engines if state in registry.not_fully_usable]
    assert warming == warming_by_full_scan(controller, now_ms)
    error_shares = [0.0, *(state.errors.mean(now_ms, 0.0) for state in states)]
    assert controller.outliers.median_error_share == upper_median(error_shares)
    assert set(registry.active) <= set(states) and set(registry.not_fully_usable) <= set(states)


@pytest.mark.parametrize("seed", range(6))
def test_incremental_state_equals_a_full_scan(seed):
    """Engines join, restart, drain, leave with work of this gateway in flight, and come in whole lists."""
    rng, report = Random(seed), group(latency_objective_ms=1000.0)
    listed = [
        engine(f"e{number}", started_ms=None if number % 3 else 1000.0)
        for number in range(rng.choice((3, 12, 40)))
    ]
    gateway = FakeGateway([interactive_group(), report], listed, gateway_count=20, seed=seed)
    update = gateway.controller.endpoints_updated
    for step in range(80):
        run_queries(gateway, 2, report)
        event, changed = rng.randrange(5), rng.choice(listed)
        if event == 0:
            listed.append(engine(f"new{step}", started_ms=gateway.now_ms - rng.uniform(0, 9000)))
            update([listed[-1]], False)
        elif event == 1:
            changed.state = EndpointState.DRAINING
            update([changed], False)
        elif event == 2 and len(listed) > 2:
            gateway.admit(report, work_ms=500.0)
            listed.remove(changed)
            changed.state = EndpointState.REMOVED
            update([changed], False)
        elif event == 3:
            changed.started_ms = gateway.now_ms
            changed.state = EndpointState.SERVING
            update([changed], False)
        else:
            update(list(listed), True)
        check_incremental_state(gateway)
