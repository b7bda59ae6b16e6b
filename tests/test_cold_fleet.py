"""Many controllers in virtual time before engines that have just started: what all of them together send in any window, also as part
of the fronts start again in it; that every query has one answer; that cold engines get work at all. Planted faults are found."""

import heapq
from math import sqrt
from random import Random

import pytest

from lichenquay.admission import domain
from lichenquay.admission.controller import Controller
from lichenquay.admission.sliding_window import SlidingWindow

CORES, COLD_SHARE, COLD_MS, MULTIPLE = 8.0, 0.3, 12_000.0, 3.0


class Front:
    """One controller and its door: connections come up late, and the last look comes before the first byte."""

    def __init__(self, fleet, number, plant):
        self.fleet, self.number, self.plant, self.open = fleet, number, plant, set()
        self.engines = [
            domain.Engine(e, "a", "k", 0, domain.EndpointState.SERVING, 1.0, t, CORES, 16000.0)
            for e, t in fleet.starts.items()
        ]
        gateway = domain.GatewayIdentity(
            "a",
            fleet.fronts if plant != "share" else fleet.fronts // 3,
            fleet.rng.getrandbits(60),
            5.0,
            index=number,
        )
        self.c = Controller(
            self,
            gateway,
            [fleet.group],
            [],
            domain.GatewayPermissions(4, True, False, False, 0.0),
            fleet.rules,
            domain.EngineCapabilities(False, False, 0.4, "queue", 0.0, False, (), "none"),
        )
        if plant == "weight":
            self.c.slow_start.charged_work_ms = lambda q: q.estimated_work_ms * 0.4
        self.c.endpoints_updated(self.engines, True)
        if plant == "forgets":
            for seen in self.c.fleet.states.values():
                seen.slow_start_work = SlidingWindow(fleet.rules.slow_start_window_ms / 8, 9)

    @property
    def now_ms(self):
        return self.fleet.now

    def take(self, work):
        q = domain.Query(
            self.fleet.count(),
            self.fleet.group,
            self.now_ms,
            self.now_ms + self.fleet.group.queue_timeout_ms,
            estimated_work_ms=work,
        )
        self.open.add(q)
        self.fleet.taken += 1
        self.c.admit(q)

    def start_attempt(self, q, e, patience_ms):
        attempt = domain.Attempt(q, len(q.attempts), e, self.now_ms)
        q.attempts.append(attempt)
        late = self.fleet.rng.choice((1.0, 1.0, 5.0, 120.0, 700.0))
        self.fleet.at(self.now_ms + late, lambda: self.write(attempt))
        return attempt

    def write(self, attempt):
        if self.gone or attempt.outcome:
            return
        if not self.c.may_dispatch(attempt, self.now_ms):
            return self.end(attempt, domain.Outcome.NEVER_SENT)
        self.fleet.sent[attempt.engine.id].append((self.now_ms, attempt.query.estimated_work_ms))
        self.fleet.at(
            self.now_ms + attempt.query.estimated_work_ms,
            lambda: self.gone or attempt.outcome or self.end(attempt, domain.Outcome.COMPLETED),
        )

    def end(self, attempt, ending):
        attempt.outcome = ending
        if ending == domain.Outcome.COMPLETED and not attempt.query.is_done:
            self.answer(attempt.query)
        self.c.on_attempt_ended(attempt, self.now_ms - attempt.sent_ms, None, None)

    def cancel_attempt(self, attempt):
        self.fleet.at(
            self.now_ms + 1,
            lambda: self.gone or attempt.outcome or self.end(attempt, domain.Outcome.CANCELLED),
        )

    gone = False

    def answer(self, q):
        assert not q.is_done and q in self.open, "two answers"
        assert self.now_ms <= q.deadline_ms + 10, "an answer after its time"
        q.is_done = True
        self.open.discard(q)

    def reject(self, q, pause_ms):
        self.answer(q)

    kill = answer

    def call_at(self, at_ms, call):
        self.fleet.at(max(at_ms, self.now_ms + 5.0), lambda: self.gone or call())

    def set_grant(self, *_):
        pass

    log = send_health_check = watch_endpoints = close_idle_connections = set_grant


class Fleet:
    """Fronts of uneven traffic, more than the engines can do, all of which start at 0 or some later."""

    def __init__(self, seed, fronts, work, window_ms=1500.0, again=0.7, engines=4, spread=0.5, plant=None):
        self.rng, self.now, self.heap, self.no, self.taken = Random(seed), 1000.0, [], 0, 0
        self.fronts, self.work, self.spread = fronts, work, spread
        self.group = domain.ResourceGroup(
            "report", domain.Effect.READ_ONLY, 6 * work + 500, 2.0, 12 * work + 2000, 1.0, 0.0
        )
        self.rules = domain.SafetyLimits(20.0, 250.0, COLD_SHARE, COLD_MS, MULTIPLE, window_ms)
        self.starts = {f"e{i}": 1000.0 + 400.0 * i for i in range(engines)}
        self.sent = {e: [] for e in self.starts}
        self.all = [Front(self, i, plant) for i in range(fronts)]
        self.plant = plant
        rate = (
            6 * engines * CORES * 0.85 / work
        )  # of all, a millisecond: those with little traffic use their share up, too
        shares = [self.rng.choice((0.2, 0.5, 1.0, 4.0)) for _ in range(fronts)]
        for i, share in enumerate(shares):
            self.ask(i, rate * share / sum(shares))
        for at in (
            3000.0,
            3000.0 + window_ms / 2,
        ):  # twice within a window, and much is asked just before and after
            self.at(at, lambda: self.restart(again))
            for burst in (at - 60, at + 60):
                self.at(burst, self.burst)

    def count(self):
        self.no += 1
        return self.no

    def at(self, at_ms, call):
        heapq.heappush(self.heap, (at_ms, self.count(), call))

    def ask(self, i, rate):
        def one():
            if not self.all[i].gone:
                self.all[i].take(self.work * self.rng.lognormvariate(-(self.spread**2) / 2, self.spread))
            self.at(self.now + self.rng.expovariate(rate), one)

        self.at(self.now + self.rng.expovariate(rate), one)

    def burst(self):
        for front in self.all:
            for _ in range(
                3
                + int(
                    2
                    * len(self.starts)
                    * MULTIPLE
                    * CORES
                    * self.rules.slow_start_window_ms
                    / self.work
                    / self.fronts
                )
            ):
                front.gone or front.take(self.work)

    def restart(self, part):
        for i in self.rng.sample(range(self.fronts), int(part * self.fronts)):
            self.all[i].gone, self.all[i].open = True, set()  # killed: what it had is its clients' again
            self.at(self.now + 20.0, lambda i=i: self.all.__setitem__(i, Front(self, i, self.plant)))

    def run(self, until_ms):
        while self.heap[0][0] <= until_ms:
            self.now, _, call = heapq.heappop(self.heap)
            call()
            assert all(q.deadline_ms + 10 >= self.now for q in self.all[self.no % self.fronts].open), (
                "a query without an answer"
            )
        return self

    def audit(self):
        """The worst window: requests of mean work over the budget N and what is put down to chance, 2 root N + 2."""
        worst, window = 0.0, self.rules.slow_start_window_ms
        for e, sent in self.sent.items():
            begin = total = 0
            for at, work in sent:
                total += work
                while sent[begin][0] <= at - window:
                    total -= sent[begin][1]
                    begin += 1
                warmth = min(1.0, COLD_SHARE + (1 - COLD_SHARE) * max(0.0, at - self.starts[e]) / COLD_MS)
                if warmth < 1:
                    n = MULTIPLE * warmth * 0.85 * CORES * window / self.work
                    worst = max(worst, total / self.work / (n + 2 * sqrt(n) + 2))
        return worst


WORLDS = [(20, 60.0), (30, 200.0), (30, 1000.0), (200, 500.0)]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("fronts, work", WORLDS)
def test_all_fronts_together_stay_within_a_cold_engines_budget(seed, fronts, work):
    fleet = Fleet(seed, fronts, work).run(9000.0)
    assert fleet.audit() < 1.0
    for e, at in fleet.starts.items():  # and it gets work, through two restarts in one window too
        done = sum(w for t, w in fleet.sent[e] if at + 1500 < t < at + 5500)
        assert done > 0.05 * COLD_SHARE * 0.85 * CORES * 4000, (e, done)


@pytest.mark.parametrize("plant", [None, "forgets", "weight", "share"])
def test_a_planted_fault_is_found(plant):
    """Shares forgotten at a start, weights too low, a share of a fleet too small; all fronts start again, twice in a window."""
    worst = Fleet(1, 20, 30.0, again=1.0, engines=1, spread=0.0, plant=plant).run(4600.0).audit()
    assert (worst > 1.0) == (plant is not None)
