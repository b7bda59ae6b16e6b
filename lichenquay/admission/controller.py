"""M&M admission control (Brown, Mehta, Carey, Livny, VLDB 1994) at one gateway: the stages joined.

A front builds `Controller(door, ...)`, calls it as things happen and is answered by calls on the door.
A query goes down Duty -> Order -> Slots -> Picker -> Guards -> send, and what comes back goes up by Slots and
Order to Duty: order.py, slots.py, picker.py, guards.py, and Duty here. Each imports only what is below it.
"Departure": neither the paper's nor the design's; docs/design.md says when it acts."""

from lichenquay.admission import domain
from lichenquay.admission.guards import Guards, ideal_of
from lichenquay.admission.order import Order
from lichenquay.admission.picker import Picker
from lichenquay.admission.sliding_window import SlidingWindow
from lichenquay.admission.slots import Slots
from lichenquay.admission.state import Seen


class Controller:
    """Duty, at the chain's top: every query gets one final answer in time. It wires the stages together."""

    def __init__(self, door, gateway, groups, tenants, permissions, safety_limits, capabilities):
        self.door, self.permissions, self.capabilities, self.safety_limits, self.fleet = (
            door,
            permissions,
            capabilities,
            safety_limits,
            {},
        )
        self.guards = Guards(
            permissions.max_attempts, safety_limits, gateway.gateway_count, gateway.index, groups
        )
        quickest = min((g.latency_objective_ms for g in groups if g.latency_objective_ms), default=1000.0)
        self.step_ms, self.bucket = gateway.min_turn_ms, quickest / 2
        self.beat = max(gateway.min_turn_ms, quickest / 10)
        self.picker = Picker(gateway, self.guards, self.fleet, self.bucket, groups, capabilities)
        self.slots = Slots(
            door,
            self.guards,
            self.picker,
            capabilities,
            groups,
            gateway.gateway_count,
            self.give_final_answer,
        )
        self.order = Order(door, safety_limits.ordering_pause_ms, self.slots.down)
        self.quiet_ms = (
            1.5 * capabilities.progress_interval_ms or quickest
        )  # unheard after a note's time and a half
        self.traffic = {t: SlidingWindow(quickest, 8) for t in tenants}
        self.due_ms, self.look_ms, self.probes = None, 0.0, 0.0  # next beat (None: nothing to watch), look
        self.withdrawn = {}  # engines off the list on which work of ours runs on
        if gateway.polls_endpoint_list:
            door.watch_endpoints()

    def endpoints_updated(self, engines, whole):
        now = self.door.now_ms
        new = not self.fleet or now < self.guards.doubt_ms
        for e in engines:
            seen = self.fleet.get(e)
            if seen is None:
                cold_sent = SlidingWindow(self.safety_limits.slow_start_window_ms / 8 or 1.0, 9)
                seen = Seen(
                    e, now, SlidingWindow(self.bucket, 8), cold_sent, SlidingWindow(2 * self.bucket, 8)
                )
                self.picker.joins(seen)
                if new and e.started_ms:  # Risk: a front that starts again spends its share twice.
                    cold_sent.add(now, 0.75 * self.guards.cold_budget(e, self.guards.warmth(e, now)))
            elif e.started_ms and e.started_ms > seen.heard_ms:  # a new start: forget the old one
                seen.silent, seen.report, seen.heard_ms = False, None, now
            if self.guards.part(e, now) < 1:
                self.picker.cold[seen] = True
        self.withdraw(engines, whole)
        self.picker.gather(now)
        self.slots.stir(now)

    def withdraw(self, engines, whole):
        """Forgets what left the list once none of our work is there; a part of it without a pass over all."""
        named = set(engines)
        for e in list(self.fleet) if whole else [*engines, *self.withdrawn]:
            e.state = domain.EndpointState.REMOVED if whole and e not in named else e.state
            self.withdrawn.pop(e, None)
            if e.state == domain.EndpointState.REMOVED and e in self.fleet:
                if self.fleet[e].runs:
                    self.withdrawn[e] = True
                else:
                    self.picker.leaves(self.fleet.pop(e))

    def mark_endpoints_stale(self, most_ms):
        """Departure: what was announced while a front started counts as told, and it never heard it. Queries
        wait as for a slot until the list is confirmed; where it cannot be, the last one is in force."""
        self.guards.doubt_ms = self.door.now_ms + most_ms

    def are_endpoints_stale(self, now):
        return now < self.guards.doubt_ms

    def endpoints_confirmed(self):
        self.guards.doubt_ms = 0.0
        self.slots.stir(self.door.now_ms)

    def endpoints_unavailable(self):
        self.door.call_at(
            self.door.now_ms + self.safety_limits.discovery_poll_within_ms / 8, self.door.watch_endpoints
        )

    def admit(self, q):
        now = self.door.now_ms
        q.passed, q.counts_over_quota = False, self.beyond_share(q, now)
        self.guards.take(q, now)
        self.picker.take(q, now)
        self.door.call_at(q.deadline_ms, lambda: self.give_final_answer(q))
        self.order.down(q)
        self.ask(now)
        self.watch(now)

    def on_client_gone(self, q):
        self.call_off(q)
        self.order.back(q)

    def on_progress(self, attempt, what, amount):
        now, q, seen = self.awake(), attempt.query, self.fleet.get(attempt.engine)
        run = seen.runs.get(attempt) if seen else None
        if run is None:
            return
        if not run.noted and what != domain.ProgressKind.RESPONSIVE and run.group not in self.slots.quick:
            self.slots.told.add(now, what == domain.ProgressKind.WAITING and amount == 1)
        run.heard_ms, run.noted = now, run.noted or what != domain.ProgressKind.RESPONSIVE
        seen.heard(now)
        if what == domain.ProgressKind.SPILLING:
            self.slots.learn(run.group, True, run.grant + amount)
        elif what == domain.ProgressKind.WAITING:
            run.waits_ms = run.waits_ms or now
            seen.short_ms = now if amount == 1 else seen.short_ms
            if amount == 2:  # a load of another gateway holds its tables there
                seen.held[q.table_group] = now + 2 * self.capabilities.progress_interval_ms
                self.move(run)
        elif what == domain.ProgressKind.PROGRESS and q.estimated_work_ms and amount > 0:
            if run.waits_ms:
                run.waited_ms, run.waits_ms = run.waited_ms + now - run.waits_ms, None
            rank = self.slots.rank(q, min(1.0, amount), seen.pace)
            if self.capabilities.honours_priorities and not q.is_done and rank != q.rank:
                q.rank = rank
                self.door.set_grant(q, run.grant, rank)
            ran = now - attempt.sent_ms - run.waited_ms
            pace = ran / max(amount, 0.002) / ideal_of(q)
            if ran >= self.capabilities.progress_interval_ms and pace > 4 * max(1.0, seen.pace or 1.0):
                self.move(run)  # far behind the estimate: a bad plan

    def may_dispatch(self, attempt, now):
        return self.guards.may_go(attempt, self.fleet.get(attempt.engine), now)

    def on_attempt_ended(self, attempt, took, cost, report):
        now, q, seen = self.awake(), attempt.query, self.fleet.get(attempt.engine)
        run = seen.runs.get(attempt) if seen else None
        if seen is not None:
            self.reported(seen, report)
            if (
                attempt.outcome
                in (domain.Outcome.COMPLETED, domain.Outcome.FAILED, domain.Outcome.OVERLOADED)
                or report is not None
            ):
                seen.heard(now)
            elif attempt.outcome in (domain.Outcome.NOT_CONNECTED, domain.Outcome.CONNECTION_RESET):
                self.unheard(seen, now)
        if run is not None:
            self.slots.back(run, took, attempt.outcome, cost, now)
            if (
                attempt.outcome in (domain.Outcome.TIMED_OUT, domain.Outcome.CANCELLED)
                and not self.permissions.may_cancel
            ):
                left = max((seen.pace or 1.0) * ideal_of(q) - took, took)
                run.outlives(self.slots.held)  # Risk: it goes on uncounted; for how long is not told
                self.door.call_at(now + left, lambda: self.slots.release(run))
            else:
                self.slots.release(run)
        self.order.back(q, attempt)
        if not q.is_done:
            again = now < q.deadline_ms - self.step_ms and self.guards.may_submit(q, now)
            (self.slots.down if again else self.give_final_answer)(q)
        self.slots.stir(now, seen)

    def on_health_check(self, engine, ok, took, report):
        if ok and engine in self.fleet:
            seen = self.fleet[engine]
            self.reported(seen, report)
            seen.heard(self.door.now_ms)

    def ask(self, now):
        """Where reports must be asked for, one probe for three queries taken: the oldest report's engine."""
        self.probes = min(1.0, self.probes + 1 / 3)
        if (
            self.capabilities.load_report_source == "probe"
            and self.permissions.may_health_check
            and self.probes >= 1
            and self.fleet
        ):
            seen = min(
                self.fleet.values(),
                key=lambda s: s.asked_ms + 1e9 * (s.engine.state != domain.EndpointState.SERVING),
            )
            if now - seen.asked_ms > self.bucket and seen.engine.state == domain.EndpointState.SERVING:
                self.probes, seen.asked_ms = 0.0, now
                self.door.send_health_check(seen.engine)

    def reported(self, seen, report):
        if report:
            seen.report, seen.report_ms, seen.due_ms = report, self.door.now_ms, 0.0
            if seen.engine in self.fleet:
                self.picker.touched[seen] = True

    def beyond_share(self, q, now):
        """Whether a query counts beyond its tenant's share: as an account of all tells, else by chance."""
        if q.tenant is None or q.over_quota is not None:
            return bool(q.over_quota)
        self.traffic[q.tenant].add(now, 1)
        mine = self.traffic[q.tenant].count(now)
        all_of = sum(r.count(now) for r in self.traffic.values())
        return mine > 10 and self.picker.chance() > q.tenant.quota_share * all_of / mine

    def is_under_pressure(self):
        """Whether the fleet has no room for what is beyond quota."""
        return self.slots.short(self.door.now_ms)

    def give_final_answer(self, q):
        """The final answer of a query that did not finish; at the latest when its client's time is up."""
        left = q.deadline_ms - self.door.now_ms
        if q.is_done:
            return
        self.call_off(q)
        if left > 0 and self.guards.may_defer(q):
            self.door.reject(q, min(self.permissions.max_retry_after_ms, left / 10))
        else:
            self.door.fail(q)
        self.order.back(q)

    def call_off(self, q):
        """Risk: what nobody waits for holds its engine's cores and memory to its end."""
        self.slots.waiting[q.group][:] = (x for x in self.slots.waiting[q.group] if x is not q)
        if self.permissions.may_cancel and q.attempts and q.attempts[-1].outcome is None:
            self.door.cancel_attempt(q.attempts[-1])

    def move(self, run):
        """Cancel and submit again, where that is heeded and harmless."""
        moves = (
            run.group.effect == domain.Effect.READ_ONLY
            and len(run.q.attempts) < self.permissions.max_attempts
        )
        if (
            moves
            and self.permissions.may_cancel
            and not (run.called_off or run.q.is_done or run.attempt.outcome)
        ):
            run.called_off = True
            self.door.cancel_attempt(run.attempt)

    def unheard(self, seen, now):
        """No notes, time-outs, failed connects: one symptom. Nothing new goes there but trials."""
        if not seen.silent:
            seen.silent, seen.trial_ms = True, now + self.quiet_ms / 2
            self.door.log(f"engine {seen.engine.id} not heard from")
        for run in list(seen.runs.values()):
            self.move(run)

    def lost(self, run, now):
        """Risk: a query or its answer is lost while its engine is heard. What waits gives no further note."""
        limit = max(4 * (run.seen.pace or 1.0) * ideal_of(run.q), run.group.latency_objective_ms / 2)
        limit = min(limit, self.quiet_ms) if self.capabilities.progress_interval_ms else limit
        return now - run.heard_ms > limit and not run.waits_ms

    def awake(self):
        """Risk: a gateway that stood still itself takes every engine for silent, all its work for slow."""
        now = self.door.now_ms
        stood = now - (self.due_ms or now) - self.beat
        if stood > 0:
            self.due_ms = now
            for seen in self.fleet.values():
                seen.shift(stood)
        return now

    def tick(self):
        now = self.awake()
        for seen in list(self.slots.busy):
            runs = list(seen.runs.values())
            lost = [r for r in runs if self.lost(r, now)]
            for run in lost:
                self.move(run)
            quiet = now - self.quiet_ms  # Risk: without notes, nothing is heard of long work for longer
            runs = runs if self.capabilities.progress_interval_ms or len(lost) == len(runs) else ()
            if seen.heard_ms < quiet and any(r.heard_ms < quiet and not r.waits_ms for r in runs):
                self.unheard(seen, now)
        if now >= self.look_ms:
            self.look_ms = now + self.bucket
            self.look(now)
        self.slots.stir(now)
        self.due_ms = None
        if self.slots.busy or any(self.slots.waiting.values()):
            self.watch(now)

    def watch(self, now):
        if self.due_ms is None:  # a beat follows while anything is out or waiting
            self.due_ms = now + self.beat
            self.door.call_at(self.due_ms, self.tick)

    def look(self, now):
        """Once in a while, over the engines that we used or heard of: paces, intervals, trials."""
        touched = self.picker.look(now)
        first = next(iter(self.fleet.values()), None)  # stands for all, where slots are pooled
        for seen in touched if first in self.picker.touched or first is None else [first, *touched]:
            for g, slot in (*seen.slots.items(), *(self.slots.pool.items() if seen is first else ())):
                if (
                    slot.n
                    and now - slot.since > 4 * g.latency_objective_ms
                    or now - slot.since > g.queue_timeout_ms
                ):
                    self.slots.close(slot, seen, g, now)  # silence too closes an interval
            if (
                seen.silent
                and now >= seen.trial_ms
                and self.permissions.may_health_check
                and seen.engine.state == domain.EndpointState.SERVING
            ):
                seen.trial_ms = now + self.bucket
                self.door.send_health_check(seen.engine)
