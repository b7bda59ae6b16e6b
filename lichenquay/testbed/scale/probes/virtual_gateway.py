"""A gateway in virtual time, in which a controller is measured: each query completes after its work time."""

import heapq
import random
from collections.abc import Callable
from itertools import count

from lichenquay.admission import domain
from lichenquay.admission.controller import Controller
from lichenquay.admission.scheduled_call import ScheduledCall
from lichenquay.testbed.scale.sample import Stopwatch

# As planned; a gateway's share of an engine depends on it.
GATEWAYS_PER_ENGINE = 4_400 / 25_000
STEP_MS = 5.0
TABLE_SETS = 20
REPORT_SHARE = 0.5  # Share of report queries; the others are dashboard queries.
STATUS_GROUP = domain.ResourceGroup(
    "status", domain.Effect.READ_ONLY, 500.0, 2.0, 2_500.0, 1.0, 0.3, threads=1
)
REPORT_GROUP = domain.ResourceGroup(
    "report", domain.Effect.READ_ONLY, 2_000.0, 2.0, 10_000.0, 5.0, 0.3, threads=2
)
WORK_MS = {STATUS_GROUP: 20.0, REPORT_GROUP: 200.0}
MEMORY_MB = 100.0
PERMISSIONS = domain.GatewayPermissions(4, True, True, False, 500.0)
SAFETY_LIMITS = domain.SafetyLimits(20.0, 250.0, 0.3, 15_000.0, 3.0, 1_500.0, 300.0, None, 0.0, 0.0, 10_000.0)
CAPABILITIES = domain.EngineCapabilities(
    True,
    True,
    0.4,
    domain.MemoryShortageBehaviour.QUEUE,
    500.0,
    True,
    ("active",),
    domain.LoadReportSource.ANSWERS,
)
REPORTED_LOAD = {"active": 2.0}


def make_engines(number: int) -> list[domain.Engine]:
    """Returns warm engines of 8 cores in three zones."""
    return [
        domain.Engine(f"engine-{i:05d}", f"zone-{i % 3}", "usual", i % 64, cores=8.0, memory_mb=16_000.0)
        for i in range(number)
    ]


class VirtualGateway:
    """A `GatewayPort`; `tick_stopwatch` and `query_stopwatch` sum the controller's processor time by its
    caller.
    """

    def __init__(self, engines: list[domain.Engine], seed: int, rate_per_s: float):
        """Queries arrive at `rate_per_s` by a Poisson process once `run` is called."""
        self.now_ms, self.rng, self.rate_per_s = 1_000.0, random.Random(f"door/{seed}"), rate_per_s
        self.timers, self.order, self.ids = [], count(), count(1)
        self.tick_stopwatch, self.query_stopwatch = Stopwatch(), Stopwatch()
        self.arrived = self.finished = self.rejected = 0
        gateway_count = max(2, round(len(engines) * GATEWAYS_PER_ENGINE))
        gateway = domain.GatewayIdentity("zone-0", gateway_count, seed, STEP_MS)
        self.controller = Controller(
            self, gateway, [STATUS_GROUP, REPORT_GROUP], [], PERMISSIONS, SAFETY_LIMITS, CAPABILITIES
        )
        self.controller.endpoints_updated(engines, True)

    def run(self, for_ms: float) -> None:
        """Runs for so much virtual time, with queries arriving."""
        until_ms = self.now_ms + for_ms
        self.at(self.now_ms + self._gap_ms(), lambda: self._arrive(until_ms))
        while self.timers and self.timers[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self.timers)
            call()
        self.now_ms = until_ms

    def at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Schedules an event outside the controller."""
        heapq.heappush(self.timers, (at_ms, next(self.order), call))

    def _gap_ms(self) -> float:
        return self.rng.expovariate(self.rate_per_s / 1_000)

    def _arrive(self, until_ms: float) -> None:
        self.at(self.now_ms + self._gap_ms(), lambda: self._arrive(until_ms))
        group = REPORT_GROUP if self.rng.random() < REPORT_SHARE else STATUS_GROUP
        tables = f"tables-{self.rng.randrange(TABLE_SETS)}" if group is REPORT_GROUP else None
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
        with self.query_stopwatch.running():
            self.controller.admit(query)

    def _finish(self, attempt: domain.Attempt) -> None:
        if attempt.outcome is not None or attempt.query.is_done:
            return
        attempt.outcome = domain.Outcome.COMPLETED
        attempt.query.end()
        self.finished += 1
        with self.query_stopwatch.running():
            self.controller.on_attempt_ended(attempt, self.now_ms - attempt.sent_ms, None, REPORTED_LOAD)

    # The calls of `GatewayPort` that the controller makes.

    def start_attempt(self, query: domain.Query, engine: domain.Engine, timeout_ms: float) -> domain.Attempt:
        """Starts an attempt, which the engine answers after the query's work time."""
        attempt = domain.Attempt(query, len(query.attempts), engine, self.now_ms)
        query.attempts.append(attempt)
        elapsed_ms = query.estimated_work_ms / query.group.threads * self.rng.uniform(0.9, 1.1)
        self.at(self.now_ms + elapsed_ms, lambda: self._finish(attempt))
        return attempt

    def call_at(self, at_ms: float, call: Callable[[], None]) -> ScheduledCall:
        """Schedules a timer of the controller; its ticks are measured apart."""
        stopwatch = self.tick_stopwatch if call == self.controller.tick else self.query_stopwatch
        scheduled = ScheduledCall(call)
        self.at(max(at_ms, self.now_ms + STEP_MS), lambda: self._run_timed(stopwatch, scheduled))
        return scheduled

    @staticmethod
    def _run_timed(stopwatch: Stopwatch, call: Callable[[], None]) -> None:
        with stopwatch.running():
            call()

    def fail(self, q: domain.Query) -> None:
        """Ends the query without an answer of an engine."""
        q.end()
        self.rejected += 1

    def reject(self, q: domain.Query, pause_ms: float) -> None:
        """Ends the query, as `fail` does."""
        self.fail(q)

    def cancel_attempt(self, attempt: domain.Attempt) -> None:
        """Cancels an attempt; the engine confirms it at once."""
        self.at(self.now_ms + STEP_MS, lambda: self._cancelled(attempt))

    def _cancelled(self, attempt: domain.Attempt) -> None:
        if attempt.outcome is None:
            attempt.outcome = domain.Outcome.CANCELLED
            with self.query_stopwatch.running():
                self.controller.on_attempt_ended(attempt, self.now_ms - attempt.sent_ms, None, None)

    def set_grant(self, q: domain.Query, memory_mb: float, priority: int) -> None:
        """Ignores the grant: nothing here depends on grants."""

    def send_health_check(self, engine: domain.Engine) -> None:
        """Does nothing: every engine here responds."""

    def watch_endpoints(self, on: bool = True) -> None:
        """Does nothing: the probe itself supplies the list."""

    def log(self, text: str) -> None:
        """Discards the text."""
