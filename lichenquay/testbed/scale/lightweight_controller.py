"""A controller in a hollow front: production's `ControllerAdapter` and controller over the distributed
engines, with a trickle of queries whose engines answer by themselves.

No query leaves the process: what the controller submits is answered after its work's time, as by an idle
engine.
"""

from collections import Counter
from dataclasses import dataclass

from lichenquay.admission import domain
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.deployment_settings import DeploymentSettings, SettingsSection
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.fleet.runtime import boot_ms
from lichenquay.gateway import frames
from lichenquay.gateway.controller_adapter import ControllerAdapter, GatewayQuery
from lichenquay.testbed.world import settings_of

WORK_MS = 20.0  # Of every query.
ASKED, OPEN, FAULTS = "queries asked", "queries open", "faults"
ANSWERS = {
    frames.AnswerCode.COMPLETED: "queries finished",
    frames.AnswerCode.REJECTED: "queries deferred",
    frames.AnswerCode.FAILED: "queries killed",
}


class Metrics:
    """What the front's metrics are to `ControllerAdapter`."""

    def __init__(self):
        """Nothing counted."""
        self.counts = Counter()

    def count(self, what):
        """One more of it."""
        self.counts[what] += 1


@dataclass(eq=False)
class Flight:
    """An attempt on its way, as `ControllerAdapter` takes it back."""

    attempt: domain.Attempt
    query: GatewayQuery
    timer: object = None


class InstantRouter:
    """Engines that are never busy: each attempt is finished after its query's work."""

    def __init__(self, reactor):
        """`adapter` is set by its owner."""
        self.reactor, self.adapter = reactor, None

    def start(self, attempt, timeout_ms):
        """Takes an attempt."""
        flight = Flight(attempt, attempt.query)
        flight.timer = self.reactor.callLater(WORK_MS / 1000, self._finish, flight)
        return flight

    def cancel(self, flight):
        """It is cancelled, if it is still out."""
        if flight.timer.active():
            flight.timer.cancel()
            self.adapter.attempt_ended(flight, domain.Outcome.CANCELLED, None, None, [])

    def set_priority(self, flight, priority):
        """Engines that are never busy have no use for a priority."""

    def _finish(self, flight):
        self.adapter.attempt_ended(flight, domain.Outcome.COMPLETED, None, None, [])


class Queries(ControllerAdapter):
    """`ControllerAdapter` without clients: an answer is counted."""

    def __init__(self, opening, reactor, log):
        """Nobody asks yet."""
        super().__init__(opening, reactor, None, boot_ms, Metrics(), log)
        self.router = InstantRouter(reactor)
        self.router.adapter = self

    def answer(self, q, code, body):
        """By its code; once for each query."""
        if not q.is_done:
            q.is_done = True
            self.open_queries.discard(q)
            self.metrics.count(ANSWERS[code])


def opening_of(seed: int) -> DeploymentSettings:
    """The laboratory's usual groups, tenants and rules; shared by all fronts of a process."""
    return DeploymentSettings(SettingsSection.from_json(settings_of(read_testbed(""))), seed)


class HollowController:
    """Lists engines as they are distributed, and asks `per_s` queries a second."""

    def __init__(self, reactor, opening: DeploymentSettings, rng, per_s: float):
        """Begins at once, with no engine."""
        self.reactor, self.opening, self.rng, self.per_s = reactor, opening, rng, per_s
        self.queries = Queries(opening, reactor, lambda *words: None)
        self.groups = list(opening.groups.values())
        self.engines: dict[str, domain.Engine] = {}
        self.asked = 0
        self.timer = reactor.callLater(rng.uniform(0, 1 / per_s), self._ask)

    def take(self, whole: bool, rows: list[EndpointRecord]) -> None:
        """Engines of the list: all there are, or those that changed."""
        if whole:
            self.engines = {}
        self.queries.endpoints_updated([self._engine(row) for row in rows], whole)

    def counts(self) -> dict[str, int]:
        """Queries by what became of them, and faults of the controller that `ControllerAdapter` caught."""
        counts = {what: self.queries.metrics.counts[what] for what in (*ANSWERS.values(), FAULTS)}
        return {ASKED: self.asked, OPEN: len(self.queries.open_queries), **counts}

    def close(self) -> None:
        """Asks nothing more."""
        if self.timer.active():
            self.timer.cancel()
        if self.queries.next_turn is not None and self.queries.next_turn.active():
            self.queries.next_turn.cancel()

    def _engine(self, row):
        engine = self.engines.setdefault(row.uid, domain.Engine(row.uid))
        self.opening.update_engine(
            engine, row.zone, row.kind, row.cell, row.state, row.advertised_weight, None
        )
        if row.state == domain.EndpointState.REMOVED:
            del self.engines[row.uid]
        return engine

    def _ask(self):
        group = self.rng.choice(self.groups)
        now_ms = boot_ms()
        query = GatewayQuery(0, group, now_ms, now_ms + group.max_timeout_ms, estimated_work_ms=WORK_MS)
        self.asked += 1
        self.queries.query_received(query)
        self.timer = self.reactor.callLater(1 / self.per_s, self._ask)
