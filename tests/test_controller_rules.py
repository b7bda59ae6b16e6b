"""Random deployments and faults from a seed: the rules hold at every step (`admission_fakes.FakeGateway`)."""

import random

import pytest
from admission_fakes import FakeGateway, capabilities, engine, group, interactive_group

from lichenquay.admission.domain import (
    DeduplicationScope,
    Effect,
    EndpointState,
    LoadReportSource,
    MemoryShortageBehaviour,
    Outcome,
    ProgressKind,
    Tenant,
    WaitReason,
)

STEPS = 500
LAST_MS = 15_000.0  # time after the steps, in which every query gets its final answer
FAULTS = [
    Outcome.FAILED,
    Outcome.OVERLOADED,
    Outcome.NOT_CONNECTED,
    Outcome.CONNECTION_RESET,
    Outcome.TIMED_OUT,
]
OUTCOMES = [Outcome.COMPLETED] * 6 + FAULTS
PROGRESS_EVENTS = (
    (ProgressKind.SPILLING, 90.0),
    (ProgressKind.WAITING, WaitReason.BULK_LOAD),
    (ProgressKind.WAITING, WaitReason.MEMORY),
)
REPORTS = (
    (("active",), LoadReportSource.ANSWERS),
    (("cpu", "waiting", "x1"), LoadReportSource.ANSWERS),
    (("waiting", "x0"), LoadReportSource.HEALTH_CHECKS),
    ((), LoadReportSource.NONE),
)
RETRY_BUDGET = dict(retry_budget_free=2.0, retry_budget_ratio=0.1, retry_budget_window_ms=2000.0)


def random_group(rng, number):
    """Returns a valid random group, with extreme values among the choices."""
    effect = rng.choice((Effect.READ_ONLY, Effect.IDEMPOTENT_WITH_KEY, Effect.NON_IDEMPOTENT))
    return group(
        f"g{number}",
        effect,
        threads=rng.randint(1, 4),
        is_bulk_load=rng.random() < 0.3,
        waits_for_bulk_load=rng.random() < 0.3,
        is_ordered_by_key=rng.random() < 0.4,
        deduplication_scope=rng.choice(
            (DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.CELL)
        ),
        idempotency_window_ms=rng.choice((0.0, 500.0, 4000.0)),
        max_timeout_ms=rng.choice((800.0, 4000.0)),
        latency_objective_ms=rng.choice((0.0, 500.0, 2000.0)),
        priority_weight=rng.choice((0.0, 1.0, 20.0)),
        allowed_zones=rng.choice((None, frozenset("a"))),
        allowed_kinds=rng.choice((None, frozenset("k"))),
    )


def random_capabilities(rng):
    """Returns random capabilities of the engines."""
    grants = rng.random() < 0.7
    priorities = rng.random() < 0.7
    shortage = rng.choice(
        (MemoryShortageBehaviour.QUEUE, MemoryShortageBehaviour.SWAP, MemoryShortageBehaviour.TRIM)
    )
    progress_interval_ms = rng.choice((0.0, 500.0))
    reports_cost = rng.random() < 0.5
    fields, source = rng.choice(REPORTS)
    return capabilities(grants, priorities, shortage, progress_interval_ms, reports_cost, fields, source)


def random_engine(rng, number, has_size):
    """Returns an engine in one of two zones, of one of two kinds."""
    zone, kind, cell = rng.choice("ab"), rng.choice(("k", "m")), rng.randint(0, 2)
    cores, memory_mb = (8.0, 16000.0) if has_size else (0.0, 0.0)
    return engine(f"e{number}", zone, kind, cell, cores=cores, memory_mb=memory_mb)


class RandomDeployment:
    """A random but valid deployment, and the events that happen to it."""

    def __init__(self, seed):
        """Derives every choice from the seed."""
        self.rng = rng = random.Random(seed)
        self.groups = [interactive_group()]
        self.groups += [random_group(rng, number) for number in range(rng.randint(0, 4))]
        has_size = rng.random() >= 0.3
        engine_capabilities = random_capabilities(rng)
        engines = [random_engine(rng, number, has_size) for number in range(rng.choice((0, 1, 2, 6)))]
        self.tenants = [Tenant("t", 0.5, 10.0, 0.1), Tenant("u", 0.5, 10.0, 0.1)][: rng.choice((0, 2))]
        self.gateway = FakeGateway(
            self.groups,
            engines,
            self.tenants,
            gateway_count=rng.choice((1, 3)),
            seed=seed,
            engine_capabilities=engine_capabilities,
            max_attempts=rng.randint(1, 5),
            may_cancel=rng.random() < 0.6,
            may_health_check=rng.random() < 0.5,
            polls_endpoint_list=rng.random() < 0.2,
            **(RETRY_BUDGET if rng.random() < 0.5 else {}),
        )

    def step(self):
        """Advances time, admits queries, continues attempts, lets clients go, changes the endpoint list."""
        rng, gateway = self.rng, self.gateway
        gateway.run_for(rng.choice((1, 5, 20, 90)))
        for _ in range(rng.choice((0, 1, 1, 6))):
            self.admit_query()
        fields = gateway.capabilities.load_report_fields
        report = {field: rng.choice((0.0, 0.5, 1.0, 40.0)) for field in fields} or None
        for attempt in gateway.in_flight():
            self.continue_attempt(attempt, report)
        for query in [query for query in gateway.queries if not query.is_done]:
            if rng.random() < 0.003:
                query.is_done = True
                gateway.answers[query.id] = "client gone"
                gateway.controller.on_client_gone(query)
        for known in list(gateway.controller.registry.states):
            if gateway.permissions.may_health_check and rng.random() < 0.05:
                gateway.controller.on_health_check(known, rng.random() < 0.5, 3.0, report)
        self.change_endpoints()

    def admit_query(self):
        """Admits a query of a random group."""
        rng = self.rng
        self.gateway.admit(
            rng.choice(self.groups),
            work_ms=rng.choice((0.0, 100.0, 900.0)),
            memory_mb=rng.choice((0.0, 200.0, 9e5)),
            timeout_ms=rng.choice((60.0, 400.0, 4000.0)),
            ordering_key=rng.choice(("", "x", "y")),
            table_group=rng.choice((None, "1")),
            tenant=rng.choice(self.tenants) if self.tenants else None,
        )

    def continue_attempt(self, attempt, report):
        """Lets an attempt time out, honour a cancellation, end, make progress, or none of these."""
        rng, gateway = self.rng, self.gateway
        is_late = gateway.now_ms >= attempt.query.deadline_ms
        if is_late and not attempt.query.is_done:
            gateway.end_attempt(attempt, Outcome.TIMED_OUT, report)
        elif attempt in gateway.cancelled and rng.random() < 0.5:
            gateway.end_attempt(attempt, rng.choice((Outcome.CANCELLED, Outcome.COMPLETED)), report)
        elif rng.random() < 0.25:
            gateway.end_attempt(attempt, rng.choice(OUTCOMES), report, rng.choice((None, (150.0, 300.0))))
        elif rng.random() < 0.2 and not attempt.query.is_done:
            event = rng.choice(((ProgressKind.PROGRESS, rng.random()), *PROGRESS_EVENTS))
            gateway.controller.on_progress(attempt, *event)

    def change_endpoints(self):
        """Lets an engine drain, leave or restart, sends the full list, or makes discovery fail."""
        rng, gateway = self.rng, self.gateway
        if rng.random() < 0.05 and gateway.engines:
            changed = rng.choice(gateway.engines)
            changed.state = rng.choice(
                (
                    EndpointState.SERVING,
                    EndpointState.SERVING,
                    EndpointState.DRAINING,
                    EndpointState.REMOVED,
                )
            )
            if changed.state == EndpointState.SERVING and rng.random() < 0.5:
                changed.started_ms = gateway.now_ms - rng.choice((0.0, 2000.0))
                gateway.announced_ms[changed] = gateway.now_ms
            gateway.controller.endpoints_updated([changed], False)
        if rng.random() < 0.02:
            serving = [known for known in gateway.engines if known.state == EndpointState.SERVING]
            gateway.controller.endpoints_updated(serving, True)
        if rng.random() < 0.02:
            gateway.controller.endpoints_unavailable()

    def finish(self):
        """Runs until every query has ended; no query arrives, and open attempts end."""
        gateway = self.gateway
        end_ms = gateway.now_ms + LAST_MS
        while gateway.now_ms < end_ms:
            gateway.run_for(50)
            for attempt in gateway.in_flight():
                if gateway.now_ms >= attempt.query.deadline_ms or attempt in gateway.cancelled:
                    gateway.end_attempt(attempt, Outcome.TIMED_OUT)
            gateway.check_deadlines()


@pytest.mark.parametrize("seed", range(60))
def test_the_rules_hold_at_every_step(seed):
    """Each query has one answer in time; effects, drains, slow start, order and budgets are respected."""
    deployment = RandomDeployment(seed)
    for _ in range(STEPS):
        deployment.step()
    deployment.finish()
    assert all(query.is_done for query in deployment.gateway.queries)
