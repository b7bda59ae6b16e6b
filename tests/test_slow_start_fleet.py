"""Many controllers in virtual time, with engines that warm up.

What all gateways together send an engine in any window stays within its budget, even while some gateways
restart; every query has one final answer; warming engines get some work. Injected faults are detected.
"""

import heapq
from math import sqrt
from random import Random

import pytest
from admission_fakes import SUSTAINED_CORE_SHARE, capabilities

from lichenquay.admission.controller import Controller
from lichenquay.admission.domain import (
    Attempt,
    Effect,
    EndpointState,
    Engine,
    GatewayIdentity,
    GatewayPermissions,
    LoadReportSource,
    Outcome,
    Query,
    ResourceGroup,
    SafetyLimits,
)
from lichenquay.admission.scheduled_call import ScheduledCall
from lichenquay.admission.sliding_window import SlidingWindow

CORES = 8.0
WARM_UP_INITIAL_SHARE = 0.3
WARM_UP_MS = 12_000.0
OVERLOAD_FACTOR = 3.0
ANSWER_SLACK_MS = 10.0


class SlowStartGateway:
    """One controller and its port; connections may be established late, before the last check."""

    is_gone = False

    def __init__(self, fleet, index, injected_fault):
        """Starts with all engines on its endpoint list."""
        self.fleet = fleet
        self.open_queries = set()
        engines = [
            Engine(name, "a", "k", 0, EndpointState.SERVING, 1.0, started_ms, CORES, 16000.0)
            for name, started_ms in fleet.started_ms.items()
        ]
        count = fleet.gateway_count if injected_fault != "share" else fleet.gateway_count // 3
        identity = GatewayIdentity("a", count, fleet.rng.getrandbits(60), 5.0, index=index)
        silent_engines = capabilities(
            honours_memory_grants=False,
            honours_priorities=False,
            progress_interval_ms=0.0,
            reports_cost=False,
            load_report_fields=(),
            load_report_source=LoadReportSource.NONE,
        )
        permissions = GatewayPermissions(4, True, False, False, 0.0)
        self.controller = Controller(
            self, identity, [fleet.group], [], permissions, fleet.limits, silent_engines
        )
        if injected_fault == "weight":
            self.controller.slow_start.charged_work_ms = lambda query: query.estimated_work_ms * 0.4
        self.controller.endpoints_updated(engines, True)
        if injected_fault == "forgets":
            for state in self.controller.registry.states.values():
                state.slow_start_work = SlidingWindow(fleet.limits.slow_start_window_ms / 8, 9)

    @property
    def now_ms(self):
        """Returns the fleet's time."""
        return self.fleet.now_ms

    def admit(self, work_ms):
        """Admits a new query."""
        query = Query(
            self.fleet.next_number(),
            self.fleet.group,
            self.now_ms,
            self.now_ms + self.fleet.group.max_timeout_ms,
            estimated_work_ms=work_ms,
        )
        self.open_queries.add(query)
        self.controller.admit(query)

    def start_attempt(self, query, engine, timeout_ms):
        """Starts an attempt whose connection is established immediately or much later."""
        attempt = Attempt(query, len(query.attempts), engine, self.now_ms)
        query.attempts.append(attempt)
        delay_ms = self.fleet.rng.choice((1.0, 1.0, 5.0, 120.0, 700.0))
        self.fleet.call_at(self.now_ms + delay_ms, lambda: self._send(attempt))
        return attempt

    def _send(self, attempt):
        if self.is_gone or attempt.outcome:
            return
        if not self.controller.authorize_dispatch(attempt, self.now_ms):
            self._end(attempt, Outcome.NEVER_SENT)
            return
        work_ms = attempt.query.estimated_work_ms
        self.fleet.sent[attempt.engine.id].append((self.now_ms, work_ms))
        self.fleet.call_at(self.now_ms + work_ms, lambda: self._end_if_open(attempt, Outcome.COMPLETED))

    def _end_if_open(self, attempt, outcome):
        if not self.is_gone and not attempt.outcome:
            self._end(attempt, outcome)

    def _end(self, attempt, outcome):
        attempt.outcome = outcome
        if outcome == Outcome.COMPLETED and not attempt.query.is_done:
            self._answer(attempt.query)
        self.controller.on_attempt_ended(attempt, self.now_ms - attempt.sent_ms, None, None)

    def cancel_attempt(self, attempt):
        """Ends the attempt as cancelled after 1 ms."""
        self.fleet.call_at(self.now_ms + 1, lambda: self._end_if_open(attempt, Outcome.CANCELLED))

    def _answer(self, query):
        assert not query.is_done and query in self.open_queries, "two final answers"
        assert self.now_ms <= query.deadline_ms + ANSWER_SLACK_MS, "an answer after its deadline"
        query.end()
        self.open_queries.discard(query)

    def reject(self, query, retry_after_ms):
        """Answers the query."""
        self._answer(query)

    def fail(self, query):
        """Answers the query."""
        self._answer(query)

    def call_at(self, at_ms, call):
        """Schedules the call after at least one loop iteration, unless this gateway has gone by then."""
        scheduled = ScheduledCall(call)
        self.fleet.call_at(max(at_ms, self.now_ms + 5.0), lambda: self.is_gone or scheduled())
        return scheduled

    def set_grant(self, query, memory_mb, priority):
        """Does nothing; the engines use no grants."""

    def send_health_check(self, engine):
        """Does nothing; no engine responds."""

    def watch_endpoints(self):
        """Does nothing; the list is complete at the start."""

    def log(self, text):
        """Does nothing."""


class Fleet:
    """Gateways with uneven traffic above the engines' capacity; engines that start one after the other."""

    def __init__(
        self,
        seed,
        gateway_count,
        work_ms,
        window_ms=1500.0,
        restarting_share=0.7,
        engine_count=4,
        work_spread=0.5,
        injected_fault=None,
    ):
        """Schedules two restarts of some gateways within a window, with bursts just before and after."""
        self.rng = Random(seed)
        self.now_ms = 1000.0
        self.timers = []
        self.last_number = 0
        self.gateway_count = gateway_count
        self.work_ms = work_ms
        self.work_spread = work_spread
        self.injected_fault = injected_fault
        self.group = ResourceGroup(
            "report", Effect.READ_ONLY, 6 * work_ms + 500, 2.0, 12 * work_ms + 2000, 1.0, 0.0
        )
        self.limits = SafetyLimits(20.0, 250.0, WARM_UP_INITIAL_SHARE, WARM_UP_MS, OVERLOAD_FACTOR, window_ms)
        self.started_ms = {f"e{number}": 1000.0 + 400.0 * number for number in range(engine_count)}
        self.sent = {name: [] for name in self.started_ms}  # (time, work) by engine
        self.gateways = [SlowStartGateway(self, index, injected_fault) for index in range(gateway_count)]
        # Queries per millisecond in total; gateways with little traffic use up their share of the budget too.
        rate = 6 * engine_count * CORES * SUSTAINED_CORE_SHARE / work_ms
        shares = [self.rng.choice((0.2, 0.5, 1.0, 4.0)) for _ in range(gateway_count)]
        for index, share in enumerate(shares):
            self._add_traffic(index, rate * share / sum(shares))
        for restart_ms in (3000.0, 3000.0 + window_ms / 2):
            self.call_at(restart_ms, lambda: self._restart_gateways(restarting_share))
            for burst_ms in (restart_ms - 60, restart_ms + 60):
                self.call_at(burst_ms, self._burst)

    def next_number(self):
        """Returns a number that was not returned before."""
        self.last_number += 1
        return self.last_number

    def call_at(self, at_ms, call):
        """Schedules the call in virtual time."""
        heapq.heappush(self.timers, (at_ms, self.next_number(), call))

    def _add_traffic(self, index, rate_per_ms):
        def arrive():
            if not self.gateways[index].is_gone:
                spread = self.work_spread
                self.gateways[index].admit(self.work_ms * self.rng.lognormvariate(-(spread**2) / 2, spread))
            self.call_at(self.now_ms + self.rng.expovariate(rate_per_ms), arrive)

        self.call_at(self.now_ms + self.rng.expovariate(rate_per_ms), arrive)

    def _burst(self):
        all_budgets_ms = len(self.started_ms) * OVERLOAD_FACTOR * CORES * self.limits.slow_start_window_ms
        count = 3 + int(2 * all_budgets_ms / self.work_ms / self.gateway_count)
        for gateway in self.gateways:
            for _ in range(count):
                if not gateway.is_gone:
                    gateway.admit(self.work_ms)

    def _restart_gateways(self, share):
        for index in self.rng.sample(range(self.gateway_count), int(share * self.gateway_count)):
            self.gateways[index].is_gone = True
            self.gateways[index].open_queries = set()  # its clients retry
            self.call_at(self.now_ms + 20.0, lambda index=index: self._start_gateway(index))

    def _start_gateway(self, index):
        self.gateways[index] = SlowStartGateway(self, index, self.injected_fault)

    def run(self, until_ms):
        """Runs up to the given time; checks one gateway's open queries after each event."""
        while self.timers[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self.timers)
            call()
            gateway = self.gateways[self.last_number % self.gateway_count]
            for query in gateway.open_queries:
                assert query.deadline_ms + ANSWER_SLACK_MS >= self.now_ms, "a query without a final answer"
        return self

    def worst_window(self):
        """Returns the largest work in a window over its budget plus an allowance for chance.

        For a budget of N mean queries the allowance is 2 sqrt(N) + 2 queries.
        """
        worst = 0.0
        window_ms = self.limits.slow_start_window_ms
        for name, sent in self.sent.items():
            first = 0
            total_ms = 0.0
            for at_ms, work_ms in sent:
                total_ms += work_ms
                while sent[first][0] <= at_ms - window_ms:
                    total_ms -= sent[first][1]
                    first += 1
                age_ms = max(0.0, at_ms - self.started_ms[name])
                warm_share = min(
                    1.0, WARM_UP_INITIAL_SHARE + (1 - WARM_UP_INITIAL_SHARE) * age_ms / WARM_UP_MS
                )
                if warm_share < 1:
                    capacity_ms = warm_share * SUSTAINED_CORE_SHARE * CORES * window_ms
                    budget = OVERLOAD_FACTOR * capacity_ms / self.work_ms
                    worst = max(worst, total_ms / self.work_ms / (budget + 2 * sqrt(budget) + 2))
        return worst


FLEETS = [(20, 60.0), (30, 200.0), (30, 1000.0), (200, 500.0)]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("gateway_count", "work_ms"), FLEETS)
def test_all_gateways_together_stay_within_a_warming_engines_budget(seed, gateway_count, work_ms):
    """The engine also gets work, even through two restarts in one window."""
    fleet = Fleet(seed, gateway_count, work_ms).run(9000.0)
    assert fleet.worst_window() < 1.0
    for name, started_ms in fleet.started_ms.items():
        sent_ms = sum(
            work for at_ms, work in fleet.sent[name] if started_ms + 1500 < at_ms < started_ms + 5500
        )
        capacity_ms = WARM_UP_INITIAL_SHARE * SUSTAINED_CORE_SHARE * CORES * 4000
        assert sent_ms > 0.05 * capacity_ms, (name, sent_ms)


@pytest.mark.parametrize("injected_fault", [None, "forgets", "weight", "share"])
def test_an_injected_fault_is_detected(injected_fault):
    """The faults: a budget forgotten at a start, work counted too low, too large a share.

    All gateways restart, twice in a window.
    """
    fleet = Fleet(
        1,
        20,
        30.0,
        restarting_share=1.0,
        engine_count=1,
        work_spread=0.0,
        injected_fault=injected_fault,
    )
    assert (fleet.run(4600.0).worst_window() > 1.0) == (injected_fault is not None)
