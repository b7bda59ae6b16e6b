"""What the controller plays against: a fake front, which checks the rules after every step."""

import heapq

from lichenquay.admission import domain
from lichenquay.admission.controller import Controller


def group(name="report", effect=domain.Effect.READ_ONLY, **more):
    facts = dict(
        latency_objective_ms=2000.0,
        latency_objective_stretch=2.0,
        queue_timeout_ms=10000.0,
        priority_weight=5.0,
        late_weight_share=0.3,
        threads=2,
    )
    return domain.ResourceGroup(name, effect, **{**facts, **more})


def quick(**more):
    return group(
        "status", threads=1, latency_objective_ms=500.0, queue_timeout_ms=2500.0, priority_weight=1.0, **more
    )


def engine(name, zone="a", kind="k", cell=0, started=None, cores=8.0, memory=16000.0):
    return domain.Engine(name, zone, kind, cell, domain.EndpointState.SERVING, 1.0, started, cores, memory)


class FakeDoor:
    """Keeps what the controller was told and asked, as the rules judge it."""

    def __init__(self, groups, engines, tenants=(), fronts=2, seed=7, on_request=False, **figures):
        self.now_ms, self.timers, self.n = 1000.0, [], 0
        self.queries, self.attempts, self.done, self.cancelled, self.logs, self.lines = (
            [],
            [],
            {},
            [],
            [],
            [],
        )
        self.told, self.key_free, self.probes, self.ranks, self.watched = {}, {}, [], [], 0
        self.permissions = domain.GatewayPermissions(
            figures.get("most", 4), figures.get("cancel", True), figures.get("probe", True), False, 500.0
        )
        self.safety_limits = domain.SafetyLimits(
            20.0,
            250.0,
            0.3,
            15000.0,
            3.0,
            1500.0,
            figures.get("rest", 300.0),
            figures.get("free"),
            figures.get("share", 0.0),
            figures.get("window", 0.0),
            10000.0,
        )
        self.capabilities = figures.get("make") or domain.EngineCapabilities(
            True, True, 0.4, figures.get("memory_shortage", "queue"), 500.0, True, ("active",), "answers"
        )
        self.fronts, self.engines = fronts, list(engines)
        self.sharers = fronts if figures.get("number") is None else 1  # of a cold engine's budget, at least
        self.c = Controller(
            self,
            domain.GatewayIdentity("a", fronts, seed, 5.0, on_request, figures.get("number")),
            list(groups),
            list(tenants),
            self.permissions,
            self.safety_limits,
            self.capabilities,
        )
        self.c.endpoints_updated(self.engines, True)

    # the door

    def start_attempt(self, q, e, patience_ms):
        g, may = q.group, [s for s in q.attempts if s.outcome not in domain.NEVER_EXECUTED]
        assert not q.is_done and q.id not in self.done, "rule 1: sent after its end"
        assert not any(s.outcome is None for s in q.attempts), "two attempts out"
        assert len(q.attempts) < self.permissions.max_attempts
        assert g.effect != domain.Effect.NON_IDEMPOTENT or not may, "rule 2: mutating sent again"
        if g.effect == domain.Effect.IDEMPOTENT_WITH_KEY and may:
            where = {"all": lambda x: 0, "zone": lambda x: x.zone, "cell": lambda x: x.cell}[
                g.deduplication_scope
            ]
            assert all(
                where(s.engine) == where(e) and self.now_ms - s.sent_ms < g.idempotency_window_ms for s in may
            ), "rule 2"
        assert e.state == domain.EndpointState.SERVING, "rule 3"
        assert (not g.allowed_zones or e.zone in g.allowed_zones) and (
            not g.allowed_kinds or e.kind in g.allowed_kinds
        ), "rule 6"
        if g.is_ordered_by_key and q.ordering_key:
            ahead = [
                x
                for x in self.lines
                if x.ordering_key == q.ordering_key and x.group.is_ordered_by_key and x.id < q.id
            ]
            assert all(x.is_done and all(s.outcome for s in x.attempts) for x in ahead), "rule 5: out of turn"
            assert self.now_ms >= self.key_free.get(
                (q.ordering_key, q.id), self.key_free.get(q.ordering_key, 0.0)
            ), "rule 5: no rest"
        attempt = domain.Attempt(q, len(q.attempts), e, self.now_ms)
        q.attempts.append(attempt)
        self.attempts.append(attempt)
        r = self.safety_limits
        if attempt.number and r.retry_budget_free is not None:
            since = self.now_ms - r.retry_budget_window_ms
            further = sum(1 for s in self.attempts if s.number and s.sent_ms > since)
            taken = sum(1 for x in self.queries if x.arrived_ms > since)
            assert further <= r.retry_budget_free + r.retry_budget_ratio * taken, "rule 7"
        if e.started_ms is not None and self.now_ms - e.started_ms < r.warm_up_ms:
            sent = sum(
                s.query.estimated_work_ms
                for s in self.attempts
                if s.engine is e
                and s.sent_ms >= max(self.told.get(e, 0.0), self.now_ms - r.slow_start_window_ms)
            )
            assert (
                sent
                <= r.slow_start_overload_factor
                * self.warm(e)
                * 0.85
                * e.cores
                * r.slow_start_window_ms
                / self.sharers
            ), "rule 4"
        return attempt

    def warm(self, e):
        age = (self.now_ms - e.started_ms) / self.safety_limits.warm_up_ms
        return self.safety_limits.warm_up_initial_share + (
            1 - self.safety_limits.warm_up_initial_share
        ) * min(1.0, age)

    def end(self, q, how):
        assert not q.is_done and q.id not in self.done, "rule 1: two answers"
        assert self.now_ms <= q.deadline_ms + self.safety_limits.answer_slack_ms, "rule 1: late"
        q.is_done, self.done[q.id] = True, how

    def reject(self, q, pause_ms):
        g = q.group
        may = [s for s in q.attempts if s.outcome not in domain.NEVER_EXECUTED]
        assert (
            g.effect == domain.Effect.READ_ONLY
            or not may
            or (g.effect == domain.Effect.IDEMPOTENT_WITH_KEY and g.deduplication_scope == "all")
        ), "rule 2: deferred"
        assert 0 <= pause_ms <= self.permissions.max_retry_after_ms
        self.end(q, "deferred")

    def fail(self, q):
        self.end(q, "killed")

    def set_grant(self, q, memory_mb, priority):
        assert memory_mb >= 0 and 0 <= priority <= 3
        self.ranks.append((q.id, memory_mb, priority))

    def cancel_attempt(self, attempt):
        assert self.permissions.may_cancel
        self.cancelled.append(attempt)

    def call_at(self, at_ms, call):
        self.n += 1
        heapq.heappush(self.timers, (max(at_ms, self.now_ms + 5.0), self.n, call))

    def send_health_check(self, e):
        assert self.permissions.may_health_check
        self.probes.append(e)

    def watch_endpoints(self):
        self.watched += 1

    def log(self, text):
        self.logs.append(text)

    # the world

    def take(self, g, work=200.0, memory=100.0, ttl=None, **more):
        q = domain.Query(
            len(self.queries) + 1,
            g,
            self.now_ms,
            self.now_ms + (ttl or g.queue_timeout_ms),
            estimated_work_ms=work,
            estimated_memory_mb=memory,
            **more,
        )
        self.queries.append(q)
        self.lines.append(q)
        self.c.admit(q)
        return q

    def answer(self, attempt, ending, report=None, cost=None):
        q = attempt.query
        attempt.outcome = ending
        if ending == domain.Outcome.COMPLETED and not q.is_done:
            self.end(q, "finished")
        if (
            ending in (domain.Outcome.TIMED_OUT, domain.Outcome.CONNECTION_RESET, domain.Outcome.CANCELLED)
            and q.group.is_ordered_by_key
        ):
            self.key_free[q.ordering_key] = self.now_ms + self.safety_limits.ordering_pause_ms
            self.key_free[q.ordering_key, q.id] = 0.0  # the rest does not delay the query whose turn it is
        self.c.on_attempt_ended(attempt, self.now_ms - attempt.sent_ms, cost, report)

    def until(self, at_ms):
        while self.timers and self.timers[0][0] <= at_ms:
            at, _, call = heapq.heappop(self.timers)
            self.now_ms = max(self.now_ms, at)
            call()
            self.overdue()
        self.now_ms = max(self.now_ms, at_ms)

    def overdue(self):
        for q in self.queries:
            assert q.is_done or self.now_ms <= q.deadline_ms + self.safety_limits.answer_slack_ms, (
                "rule 1: no answer in time"
            )
        self.queries = [q for q in self.queries if not q.is_done or q.arrived_ms > self.now_ms - 30000]

    def out(self):
        return [s for s in self.attempts if s.outcome is None]
