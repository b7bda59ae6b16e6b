"""A controller in a lightweight gateway: production's `ControllerAdapter` and controller over the distributed
engines, at a low rate of queries with simulated answers.

No query leaves the process: an attempt completes after its query's work time, as on an idle engine.
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
from lichenquay.testbed.world import platform_settings

WORK_MS = 20.0  # The work time of every query.
SUBMITTED, OPEN, FAULTS = "queries asked", "queries open", "faults"
ANSWERS = {
    frames.AnswerCode.COMPLETED: "queries finished",
    frames.AnswerCode.REJECTED: "queries deferred",
    frames.AnswerCode.FAILED: "queries killed",
}


class CounterMetrics:
    """Counts what `ControllerAdapter` counts in a gateway's metrics."""

    def __init__(self):
        """Starts with no counts."""
        self.counts = Counter()

    def count(self, counter):
        """Adds one to a counter."""
        self.counts[counter] += 1


@dataclass(eq=False)
class InFlightAttempt:
    """Holds an attempt in flight, as `ControllerAdapter` receives it back."""

    attempt: domain.Attempt
    query: GatewayQuery
    timer: object = None


class InstantRouter:
    """Simulates engines that are never busy: each attempt completes after its query's work time."""

    def __init__(self, reactor):
        """`adapter` is set by its owner."""
        self.reactor, self.adapter = reactor, None

    def start(self, attempt, timeout_ms):
        """Starts an attempt."""
        in_flight = InFlightAttempt(attempt, attempt.query)
        in_flight.timer = self.reactor.callLater(WORK_MS / 1000, self._finish, in_flight)
        return in_flight

    def cancel(self, in_flight):
        """Cancels the attempt if it is still in flight."""
        if in_flight.timer.active():
            in_flight.timer.cancel()
            self.adapter.attempt_ended(in_flight, domain.Outcome.CANCELLED, None, None, [])

    def set_priority(self, in_flight, priority):
        """Ignores the priority, which has no effect on engines that are never busy."""

    def _finish(self, in_flight):
        self.adapter.attempt_ended(in_flight, domain.Outcome.COMPLETED, None, None, [])


class CountingControllerAdapter(ControllerAdapter):
    """A `ControllerAdapter` without clients, which counts answers instead of sending them."""

    def __init__(self, deployment, reactor, log):
        """Starts without queries."""
        super().__init__(deployment, reactor, None, boot_ms, CounterMetrics(), log)
        self.router = InstantRouter(reactor)
        self.router.adapter = self

    def answer(self, q, code, body):
        """Counts the answer by its code, once for each query."""
        if not q.is_done:
            q.end()
            self.open_queries.discard(q)
            self.metrics.count(ANSWERS[code])


def deployment_settings(seed: int) -> DeploymentSettings:
    """Returns the test bed's default groups, tenants and rules, shared by all gateways of a process."""
    return DeploymentSettings(SettingsSection.from_json(platform_settings(read_testbed(""))), seed)


class LightweightController:
    """Applies engines as they are distributed, and submits `per_s` queries a second."""

    def __init__(self, reactor, deployment: DeploymentSettings, rng, per_s: float):
        """Starts submitting queries at once, with no engine."""
        self.reactor, self.deployment, self.rng, self.per_s = reactor, deployment, rng, per_s
        self.queries = CountingControllerAdapter(deployment, reactor, lambda *words: None)
        self.groups = list(deployment.groups.values())
        self.engines: dict[str, domain.Engine] = {}
        self.submitted = 0
        self.timer = reactor.callLater(rng.uniform(0, 1 / per_s), self._submit_query)

    def update_endpoints(self, is_whole: bool, rows: list[EndpointRecord]) -> None:
        """Applies rows of the list: all engines if `is_whole`, else those that changed."""
        if is_whole:
            self.engines = {}
        self.queries.endpoints_updated([self._engine(row) for row in rows], is_whole)

    def counts(self) -> dict[str, int]:
        """Returns queries by outcome, and the exceptions of the controller that `ControllerAdapter`
        caught.
        """
        counts = {counter: self.queries.metrics.counts[counter] for counter in (*ANSWERS.values(), FAULTS)}
        return {SUBMITTED: self.submitted, OPEN: len(self.queries.open_queries), **counts}

    def close(self) -> None:
        """Stops submitting queries."""
        if self.timer.active():
            self.timer.cancel()
        if self.queries.next_turn is not None and self.queries.next_turn.active():
            self.queries.next_turn.cancel()

    def _engine(self, row):
        engine = self.engines.setdefault(row.uid, domain.Engine(row.uid))
        self.deployment.update_engine(
            engine, row.zone, row.kind, row.cell, row.state, row.advertised_weight, None
        )
        if row.state == domain.EndpointState.REMOVED:
            del self.engines[row.uid]
        return engine

    def _submit_query(self):
        group = self.rng.choice(self.groups)
        now_ms = boot_ms()
        query = GatewayQuery(0, group, now_ms, now_ms + group.max_timeout_ms, estimated_work_ms=WORK_MS)
        self.submitted += 1
        self.queries.query_received(query)
        self.timer = self.reactor.callLater(1 / self.per_s, self._submit_query)
