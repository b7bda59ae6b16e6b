"""What every attempt passes, whatever else speaks for it; and the measures of a query's work."""

from operator import attrgetter
from zlib import crc32

from lichenquay.admission import domain
from lichenquay.admission.sliding_window import SlidingWindow

SCOPES = {"zone": attrgetter("zone"), "cell": attrgetter("cell")}  # alike: they drop each other's repeats


def work_of(q):
    """The query's work over all threads: its estimate, else what its target runtime leaves room for."""
    return q.estimated_work_ms or q.group.latency_objective_ms * q.group.threads


def ideal_of(q):
    return work_of(q) / q.group.threads


def placed(group, engine):  # whether queries of the group may run there
    by_kind = not group.allowed_kinds or engine.kind in group.allowed_kinds
    return by_kind and (not group.allowed_zones or engine.zone in group.allowed_zones)


class Guards:
    """What every attempt passes: placement, drain, cold budget, attempt budget, no duplicate effect."""

    def __init__(self, max_attempts, safety_limits, fronts, number, groups):
        self.most, self.safety_limits, self.fronts, self.number = (
            max_attempts,
            safety_limits,
            max(1, fronts),
            number,
        )
        self.query = sum(g.latency_objective_ms * g.threads for g in groups) / max(
            1, len(groups)
        )  # work of one
        bucket = (safety_limits.retry_budget_window_ms or 1.0) / 8
        self.further, self.taken = SlidingWindow(bucket, 9), SlidingWindow(bucket, 8)  # errs low
        self.usual = {}  # mean work of each group: a cold engine counts the usual work
        self.doubt_ms = 0.0  # until then the list of engines may be out of date: nothing is submitted

    def take(self, q, now):
        self.taken.add(now, 1)
        self.usual[q.group] = (49 * self.usual.get(q.group, work_of(q)) + work_of(q)) / 50

    def weight(self, q):
        return max(self.usual.get(q.group, 0.0), work_of(q))

    def warmth(self, engine, now):
        """The part of its capacity that an engine surely has; how that rises is not told: taken late."""
        if engine.started_ms is None or not self.safety_limits.warm_up_ms:
            return 1.0
        age = max(0.0, now - engine.started_ms) / self.safety_limits.warm_up_ms
        return (
            1.0
            if age >= 1
            else self.safety_limits.warm_up_initial_share
            + (1 - self.safety_limits.warm_up_initial_share) * age * age
        )

    def part(self, engine, now):  # of its capacity, that new work can count on: none while it drains
        return self.warmth(engine, now) if engine.state == domain.EndpointState.SERVING else 0.0

    def may_submit(self, q, now):
        if not q.attempts or q.is_done:
            return not q.is_done
        ended = domain.NEVER_EXECUTED if q.effect == domain.Effect.NON_IDEMPOTENT else domain.ALL_OUTCOMES
        if len(q.attempts) >= self.most or any(s.outcome not in ended for s in q.attempts):
            return False
        return self.rationed(now)

    def rationed(self, now):  # whether one more retry is within their budget
        free, part = self.safety_limits.retry_budget_free, self.safety_limits.retry_budget_ratio
        return free is None or self.further.total(now) + 1 <= free + part * self.taken.total(now)

    def allows(self, q, seen, now, due=None):  # due: decided already, about to be written
        e, g = seen.engine, q.group
        if e.state != domain.EndpointState.SERVING or not placed(g, e):
            return False
        tokened = q.attempts if q.effect == domain.Effect.IDEMPOTENT_WITH_KEY else ()
        ran = [s for s in tokened if s is not due and s.outcome not in domain.NEVER_EXECUTED]
        until = now - g.idempotency_window_ms + self.safety_limits.answer_slack_ms
        scope = SCOPES.get(g.deduplication_scope, lambda engine: None)
        if any(s.sent_ms <= until or scope(s.engine) != scope(e) for s in ran):
            return False  # sent again only where and while its repeat is dropped
        warmth = self.warmth(e, now)
        more = 0.0 if due and now - due.sent_ms < self.safety_limits.slow_start_window_ms else self.weight(q)
        return warmth >= 1 or seen.cold_sent.total(now) + more <= self.cold_budget(e, warmth)

    def may_go(self, attempt, seen, now):
        """The last look, in the instant before an attempt's first byte. Risk: its connection took long, or
        it waited for a descriptor, and it is not right any more. It counts in the windows it goes out in."""
        q, late = attempt.query, now - attempt.sent_ms
        again = attempt.number and late > self.further.width_ms
        over = not seen or q.is_done or attempt.outcome or now >= q.deadline_ms
        if over or not self.allows(q, seen, now, attempt) or again and not self.rationed(now):
            return False
        seen.cold_sent.add(now, self.weight(q)) if late > seen.cold_sent.width_ms else None
        self.further.add(now, 1) if again else None
        attempt.sent_ms = now
        return True

    def cold_budget(self, e, warmth):
        """Risk: all fronts push a cold engine over. Ours is one share of the budget, a fifth of it kept back.
        Departure: where one share stays below a query until the engine is warm, as many fronts as there is
        room for a query each share it, told by their numbers, and the others leave it alone. Risk: nobody
        uses it. One share more is left, for the next one that joins while the others' work still counts."""
        whole = (
            0.8
            * self.safety_limits.slow_start_overload_factor
            * self.safety_limits.slow_start_window_ms
            * 0.85
            * e.cores
        )
        if self.number is None or whole >= self.fronts * self.query:
            return whole * warmth / self.fronts
        sharers = max(1, int(whole * warmth / self.query) - 1)
        ours = (crc32(e.id.encode()) + self.number) % self.fronts < sharers
        return whole * warmth / (sharers + 1) if ours else 0.0

    def may_defer(self, q):  # a deferral says that trying again is harmless
        may_have_run = any(s.outcome not in domain.NEVER_EXECUTED for s in q.attempts)
        repeats_dropped = (
            q.effect == domain.Effect.IDEMPOTENT_WITH_KEY and q.group.deduplication_scope == "all"
        )
        return q.effect == domain.Effect.READ_ONLY or repeats_dropped or not may_have_run
