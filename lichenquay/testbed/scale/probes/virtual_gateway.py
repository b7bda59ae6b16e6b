"""A front's door in virtual time, to measure a controller against: each query ends after its work."""

import heapq
import random
from collections.abc import Callable
from itertools import count

from lichenquay.admission import domain
from lichenquay.admission.controller import Controller
from lichenquay.testbed.scale.sample import Stopwatch

FRONTS_AN_ENGINE = 4_400 / 25_000  # of the plan; the share of an engine that a front may use depends on it
STEP_MS = 5.0
TABLE_SETS = 20
REPORT_SHARE = 0.5  # of the queries; the others are dashboards
QUICK = domain.ResourceGroup("status", domain.Effect.READ_ONLY, 500.0, 2.0, 2_500.0, 1.0, 0.3, threads=1)
REPORT = domain.ResourceGroup("report", domain.Effect.READ_ONLY, 2_000.0, 2.0, 10_000.0, 5.0, 0.3, threads=2)
WORK_MS = {QUICK: 20.0, REPORT: 200.0}
MEMORY_MB = 100.0
LICENCE = domain.GatewayPermissions(4, True, True, False, 500.0)
SAFEGUARDS = domain.SafetyLimits(20.0, 250.0, 0.3, 15_000.0, 3.0, 1_500.0, 300.0, None, 0.0, 0.0, 10_000.0)
MAKE = domain.EngineCapabilities(
    True,
    True,
    0.4,
    domain.MemoryShortageBehaviour.QUEUE,
    500.0,
    True,
    ("active",),
    domain.LoadReportSource.ANSWERS,
)
REPORTED = {"active": 2.0}


def make_engines(number: int) -> list[domain.Engine]:
    """Warm engines of 8 cores in three zones."""
    return [
        domain.Engine(f"engine-{i:05d}", f"zone-{i % 3}", "usual", i % 64, cores=8.0, memory_mb=16_000.0)
        for i in range(number)
    ]


class VirtualDoor:
    """A `GatewayPort`; `beats` and `queries` sum the controller's processor time by what called it."""

    def __init__(self, engines: list[domain.Engine], seed: int, rate_per_s: float):
        """Queries come at `rate_per_s` by a Poisson process once `play` is called."""
        self.now_ms, self.rng, self.rate_per_s = 1_000.0, random.Random(f"door/{seed}"), rate_per_s
        self.timers, self.order, self.ids = [], count(), count(1)
        self.beats, self.queries = Stopwatch(), Stopwatch()
        self.arrived = self.finished = self.refused = 0
        fronts = max(2, round(len(engines) * FRONTS_AN_ENGINE))
        gateway = domain.GatewayIdentity("zone-0", fronts, seed, STEP_MS)
        self.controller = Controller(self, gateway, [QUICK, REPORT], [], LICENCE, SAFEGUARDS, MAKE)
        self.controller.endpoints_updated(engines, True)

    def play(self, for_ms: float) -> None:
        """Queries come for so long in virtual time."""
        until_ms = self.now_ms + for_ms
        self.at(self.now_ms + self._gap_ms(), lambda: self._arrive(until_ms))
        while self.timers and self.timers[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self.timers)
            call()
        self.now_ms = until_ms

    def at(self, at_ms: float, call: Callable[[], None]) -> None:
        """An event of the world around the controller."""
        heapq.heappush(self.timers, (at_ms, next(self.order), call))

    def _gap_ms(self) -> float:
        return self.rng.expovariate(self.rate_per_s / 1_000)

    def _arrive(self, until_ms: float) -> None:
        self.at(self.now_ms + self._gap_ms(), lambda: self._arrive(until_ms))
        group = REPORT if self.rng.random() < REPORT_SHARE else QUICK
        tables = f"tables-{self.rng.randrange(TABLE_SETS)}" if group is REPORT else None
        deadline_ms = self.now_ms + group.max_timeout_ms
        query = domain.Query(
            next(self.ids),
            group,
            self.now_ms,
            deadline_ms,
            estimated_work_ms=WORK_MS[group],
            estimated_memory_mb=MEMORY_MB,
            table_group=tables,
        )
        self.arrived += 1
        with self.queries.running():
            self.controller.admit(query)

    def _finish(self, attempt: domain.Attempt) -> None:
        if attempt.outcome is not None or attempt.query.is_done:
            return
        attempt.outcome, attempt.query.is_done = domain.Outcome.COMPLETED, True
        self.finished += 1
        with self.queries.running():
            self.controller.on_attempt_ended(attempt, self.now_ms - attempt.sent_ms, None, REPORTED)

    # What the controller asks of its front.

    def start_attempt(self, query: domain.Query, engine: domain.Engine, timeout_ms: float) -> domain.Attempt:
        """The engine answers after the query's work."""
        attempt = domain.Attempt(query, len(query.attempts), engine, self.now_ms)
        query.attempts.append(attempt)
        took_ms = query.estimated_work_ms / query.group.threads * self.rng.uniform(0.9, 1.1)
        self.at(self.now_ms + took_ms, lambda: self._finish(attempt))
        return attempt

    def call_at(self, at_ms: float, call: Callable[[], None]) -> None:
        """A timer of the controller's: its beats are counted apart."""
        stopwatch = self.beats if call == self.controller.tick else self.queries
        self.at(max(at_ms, self.now_ms + STEP_MS), lambda: self._wake(stopwatch, call))

    @staticmethod
    def _wake(stopwatch: Stopwatch, call: Callable[[], None]) -> None:
        with stopwatch.running():
            call()

    def fail(self, q: domain.Query) -> None:
        """The query ends without an answer of an engine."""
        q.is_done = True
        self.refused += 1

    def reject(self, q: domain.Query, pause_ms: float) -> None:
        """Likewise."""
        self.fail(q)

    def cancel_attempt(self, attempt: domain.Attempt) -> None:
        """The engine stops, and says so at once."""
        self.at(self.now_ms + STEP_MS, lambda: self._cancelled(attempt))

    def _cancelled(self, attempt: domain.Attempt) -> None:
        if attempt.outcome is None:
            attempt.outcome = domain.Outcome.CANCELLED
            with self.queries.running():
                self.controller.on_attempt_ended(attempt, self.now_ms - attempt.sent_ms, None, None)

    def set_grant(self, q: domain.Query, memory_mb: float, priority: int) -> None:
        """Nothing here depends on grants."""

    def send_health_check(self, engine: domain.Engine) -> None:
        """No engine is silent here."""

    def watch_endpoints(self, on: bool = True) -> None:
        """The list comes by the probe's own calls."""

    def log(self, text: str) -> None:
        """Nothing is logged."""
