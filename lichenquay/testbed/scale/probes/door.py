"""A front's door in virtual time, to measure a controller against: each query ends after its work."""

import heapq
import random
from collections.abc import Callable
from itertools import count

from lichenquay.admission import interface as io
from lichenquay.admission.controller import Controller
from lichenquay.testbed.scale.sample import Stopwatch

FRONTS_AN_ENGINE = 4_400 / 25_000  # of the plan; the share of an engine that a front may use depends on it
STEP_MS = 5.0
TABLE_SETS = 20
REPORT_SHARE = 0.5  # of the queries; the others are dashboards
QUICK = io.ResourceGroup("status", io.READ_ONLY, 500.0, 2.0, 2_500.0, 1.0, 0.3, threads=1)
REPORT = io.ResourceGroup("report", io.READ_ONLY, 2_000.0, 2.0, 10_000.0, 5.0, 0.3, threads=2)
WORK_MS = {QUICK: 20.0, REPORT: 200.0}
MEMORY_MB = 100.0
LICENCE = io.Licence(4, True, True, False, 500.0)
SAFEGUARDS = io.Safeguards(20.0, 250.0, 0.3, 15_000.0, 3.0, 1_500.0, 300.0, None, 0.0, 0.0, 10_000.0)
MAKE = io.EngineMake(True, True, 0.4, "queue", 500.0, True, ("active",), "answers")
REPORTED = {"active": 2.0}


def make_engines(number: int) -> list[io.Engine]:
    """Warm engines of 8 cores in three zones."""
    return [
        io.Engine(f"engine-{i:05d}", f"zone-{i % 3}", "usual", i % 64, cores=8.0, memory_mb=16_000.0)
        for i in range(number)
    ]


class VirtualDoor:
    """An `interface.Door`; `beats` and `queries` sum the controller's processor time by what called it."""

    def __init__(self, engines: list[io.Engine], seed: int, rate_per_s: float):
        """Queries come at `rate_per_s` by a Poisson process once `play` is called."""
        self.now_ms, self.rng, self.rate_per_s = 1_000.0, random.Random(f"door/{seed}"), rate_per_s
        self.timers, self.order, self.ids = [], count(), count(1)
        self.beats, self.queries = Stopwatch(), Stopwatch()
        self.arrived = self.finished = self.refused = 0
        fronts = max(2, round(len(engines) * FRONTS_AN_ENGINE))
        gateway = io.Gateway("zone-0", fronts, seed, STEP_MS)
        self.controller = Controller(self, gateway, [QUICK, REPORT], [], LICENCE, SAFEGUARDS, MAKE)
        self.controller.list_news(engines, True)

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
        ends_ms = self.now_ms + group.timeout_ms
        query = io.Query(
            next(self.ids),
            group,
            self.now_ms,
            ends_ms,
            work_ms=WORK_MS[group],
            memory_mb=MEMORY_MB,
            tables=tables,
        )
        self.arrived += 1
        with self.queries.running():
            self.controller.take(query)

    def _finish(self, submission: io.Submission) -> None:
        if submission.ending is not None or submission.query.over:
            return
        submission.ending, submission.query.over = io.FINISHED, True
        self.finished += 1
        with self.queries.running():
            self.controller.answered(submission, self.now_ms - submission.sent_ms, None, REPORTED)

    # What the controller asks of its front.

    def submit(self, q: io.Query, engine: io.Engine, patience_ms: float) -> io.Submission:
        """The engine answers after the query's work."""
        submission = io.Submission(q, len(q.submissions), engine, self.now_ms)
        q.submissions.append(submission)
        took_ms = q.work_ms / q.group.threads * self.rng.uniform(0.9, 1.1)
        self.at(self.now_ms + took_ms, lambda: self._finish(submission))
        return submission

    def wake(self, at_ms: float, call: Callable[[], None]) -> None:
        """A timer of the controller's: its beats are counted apart."""
        stopwatch = self.beats if call == self.controller.tick else self.queries
        self.at(max(at_ms, self.now_ms + STEP_MS), lambda: self._wake(stopwatch, call))

    @staticmethod
    def _wake(stopwatch: Stopwatch, call: Callable[[], None]) -> None:
        with stopwatch.running():
            call()

    def kill(self, q: io.Query) -> None:
        """The query ends without an answer of an engine."""
        q.over = True
        self.refused += 1

    def defer(self, q: io.Query, pause_ms: float) -> None:
        """Likewise."""
        self.kill(q)

    def cancel(self, sub: io.Submission) -> None:
        """The engine stops, and says so at once."""
        self.at(self.now_ms + STEP_MS, lambda: self._cancelled(sub))

    def _cancelled(self, sub: io.Submission) -> None:
        if sub.ending is None:
            sub.ending = io.CANCELLED
            with self.queries.running():
                self.controller.answered(sub, self.now_ms - sub.sent_ms, None, None)

    def allot(self, q: io.Query, memory_mb: float, priority: int) -> None:
        """Nothing here depends on grants."""

    def probe(self, engine: io.Engine) -> None:
        """No engine is silent here."""

    def watch_list(self, on: bool = True) -> None:
        """The list comes by the probe's own calls."""

    def log(self, text: str) -> None:
        """Nothing is logged."""
