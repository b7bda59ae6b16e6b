"""Whether a query runs now, where, and with which grant: M&M's slots and their feedback (paper, 4.3)."""

from bisect import insort
from math import sqrt

from lichenquay.admission import domain
from lichenquay.admission.guards import ideal_of, work_of
from lichenquay.admission.picker import THREADS_A_CORE, own_load
from lichenquay.admission.sliding_window import SlidingWindow
from lichenquay.admission.state import Held, Run, Slot

MAX, MIN = "maximum", "minimum"


class Slots:
    """M&M: a query takes a free maximum slot, else a minimum slot, else is held for a tenth of its time."""

    def __init__(self, door, guards, picker, capabilities, groups, fronts, give_up):
        self.door, self.guards, self.picker, self.capabilities, self.fleet = (
            door,
            guards,
            picker,
            capabilities,
            picker.fleet,
        )
        self.share, self.give_up = 1.0 / max(1, fronts), give_up
        self.waiting = {g: [] for g in groups}  # best value for work first
        self.margin, self.needed = dict.fromkeys(groups, 1.0), dict.fromkeys(groups, 0.0)  # of memory
        self.held, self.busy, self.pool = Held(), {}, {}  # busy: engines with runs of ours
        self.latest = 0.0, 0.0, 0, 0.0  # of pooled groups: its time, how long it may take, threads, MB
        self.rest_ms = min((g.latency_objective_ms for g in groups), default=0.0) / 4  # after a full refusal
        self.paces, self.best_pace = (
            SlidingWindow(max(100.0, 4 * self.rest_ms), 8),
            None,
        )  # of all our attempts
        self.told = SlidingWindow(
            max(100.0, 4 * self.rest_ms), 16
        )  # share of attempts told to wait for memory
        # Dashboards (no limit, default grant): one thread, no load, a shorter target than some other group.
        far = {g: g.latency_objective_ms + g.latency_objective_stretch * g.queue_timeout_ms for g in groups}
        self.quick = {
            g for g in groups if g.threads == 1 and not g.is_bulk_load and far[g] < max(far.values())
        }

    def pooled(self, g):
        """Departure: where our share of an engine is below one query, the shares of all are pooled.
        Risk: each of many gateways sends every engine a query of every group."""
        cores = self.picker.sums.cores / max(1, len(self.fleet))
        return g not in self.quick and THREADS_A_CORE * cores * self.share < g.threads

    def slot(self, seen, g, now):
        pooled = self.pooled(g)
        slots = self.pool if pooled else seen.slots
        if g not in slots:
            cores = self.picker.sums.cores if pooled else seen.cores
            limit = cores * THREADS_A_CORE * self.share / g.threads
            slots[g] = Slot(max(1, round(limit)), (MAX, MIN), slots, now)
        return slots[g]

    def full_use(self, seen):
        use = self.picker.use(seen)
        return (self.picker.used if use is None else use) >= 0.95

    def pressed(self, seen, g, now):
        """Slots bind only under engine pressure: latency well above best, a busy report or a full refusal."""
        busy = (
            self.full_use(seen)
            or own_load(seen) > THREADS_A_CORE
            or now - seen.full_ms < g.latency_objective_ms
        )
        return busy or bool(seen.pace and self.best_pace and seen.pace > 2 * self.best_pace)

    def short(self, now):
        """Pressure of the fleet: a full mean report, a third of our attempts to wait for memory, or the
        pace of all well above its best. Risk: without notes, a full engine reports much as the others do."""
        slow = bool(self.best_pace) and self.paces.mean(now, 0.0) > 2 * self.best_pace
        return slow or self.told.mean(now, 0.0) > 1 / 3 or self.picker.used >= 0.95

    def pool_kind(self, q, now):
        """Under pressure of the fleet, pooled groups together keep to our share of its threads and
        memory, and to their slots. Risk: one query over a share that holds few is a jam, of all fronts."""
        first, held, memory_mb = next(iter(self.fleet.values())), self.held, self.picker.usable_mb
        fits = not held.threads[0] or self.fits(q, first, held.granted, memory_mb)
        short = self.short(now)
        ours, swap = (
            THREADS_A_CORE * self.picker.usable_cores * self.share,
            self.capabilities.memory_shortage == "swap",
        )
        since, held_ms, latest_threads, latest_mb = self.latest
        taken = max(short * latest_threads / ours, swap * latest_mb / (0.9 * memory_mb * self.share))
        if taken > 1 and now - since < taken * held_ms or swap and not fits:
            return None  # below one query, admissions are spaced to match
        return MAX if not short else self.kind(q, first, now) if fits and held.threads[0] < ours else None

    def fits(self, q, seen, granted, memory_mb):  # within our share of that memory, less a tenth
        return granted + (self.grant(q, seen) or q.estimated_memory_mb) <= 0.9 * memory_mb * self.share

    def overdrawn(self, q, seen):
        return bool(seen.runs) and not self.fits(q, seen, seen.granted, seen.memory_mb)

    def room(self, q, seen, pressed, pooled):
        """Departure: all groups together keep to our share, under pressure of the threads, and always of the
        memory where too much of it slows all at once. Risk: a jam, in which nothing ends in time."""
        if self.capabilities.memory_shortage == "swap" and not pooled and self.overdrawn(q, seen):
            return False
        limit, quick = THREADS_A_CORE * seen.cores * self.share, q.group in self.quick
        if not quick:
            slots = (s.maximum * g.threads for g, s in seen.slots.items() if g not in self.quick)
            limit = max(0.75 * limit, sum(slots))
        return not pressed or not seen.threads[quick] or seen.threads[quick] + q.group.threads <= limit

    def grant(self, q, seen):
        if not self.capabilities.honours_memory_grants or q.group in self.quick:
            return 0.0
        want = q.estimated_memory_mb * self.margin[q.group] or self.needed[q.group]
        return min(want, self.capabilities.max_grant_share * seen.engine.memory_mb)

    def free(self, q, seen, now, kind):
        """The kind of slot that is free for the query there, if any; given for a pooled group."""
        g, pressed = q.group, not kind and self.pressed(seen, q.group, now)
        short = now - seen.short_ms < self.capabilities.progress_interval_ms and g not in self.quick
        if short or now - seen.full_ms < self.rest_ms or not self.room(q, seen, pressed, kind):
            return None
        return self.kind(q, seen, now) if pressed and g not in self.quick else kind or MAX

    def kind(self, q, seen, now):
        slot, scarce = self.slot(seen, q.group, now), (seen.report or {}).get("x0", 0.0) > 0.5
        delayed = (self.waiting[q.group] or scarce) and self.full_use(seen)  # never with free cores
        if delayed and slot.delay > now - slot.admitted_ms:
            return None
        fits = not slot.used[MAX] or slot.pool is None or slot.pool_used + self.grant(q, seen) <= slot.pool
        if fits and slot.used[MAX] < slot.maximum:
            return MAX
        return MIN if slot.used[MIN] < slot.minimum else None

    def behind(self, q, seen, now):
        """Departure: loads of one set of tables run one by one on an engine, all gateways' in one line.
        Risk: a line in which each ends late, and makes the next one late."""
        ahead = sum(
            ideal_of(r.q)
            for r in seen.runs.values()
            if r.group.is_bulk_load and r.q.table_group == q.table_group
        )
        need = (ahead / self.share + ideal_of(q)) * (seen.pace or 1.0)
        return q.table_group and ahead and now + need > q.arrived_ms + q.latency_objective_ms

    def place(self, q, now, only=None):
        """To the first engine drawn with a free slot and nothing against it, else the least against it."""
        if not self.fleet or now < self.guards.doubt_ms or not self.guards.may_submit(q, now):
            return False
        best, least, hope, tried = None, None, bool(only), {s.engine for s in q.attempts}
        pooled = self.pooled(q.group) and self.pool_kind(q, now)
        if pooled is None:
            return False
        for s in (only,) if only else self.picker.draw(q, now):
            if not self.guards.allows(q, s, now) or q.group.is_bulk_load and self.behind(q, s, now):
                continue
            hope, kind = hope or not s.silent, self.free(q, s, now, pooled)
            # Where all are silent, one gets a trial now and then, by a read-only query.
            trial = q.group.effect == domain.Effect.READ_ONLY and now >= s.trial_ms and not s.runs
            if kind and (trial or not s.silent):
                stands = (
                    q.table_group
                    and s.held.get(q.table_group, 0.0) > now
                    and (q.group.is_bulk_load or q.group.waits_for_bulk_load)
                )
                fails, again = self.picker.fails(s, now), s.engine in tried
                against = (s.silent, fails, stands, again, kind == MIN, self.overdrawn(q, s))
                if best is None or against < least:
                    best, least = s, against
                if not any(against):
                    break
        if best is None or best.silent and hope:
            return False
        best.trial_ms = now + q.group.latency_objective_ms
        self.submit(q, best, MIN if least[4] else MAX, now)
        return True

    def submit(self, q, seen, kind, now):
        slot, grant = self.slot(seen, q.group, now), self.grant(q, seen) / (4 if kind == MIN else 1)
        if self.capabilities.honours_memory_grants or self.capabilities.honours_priorities:
            q.rank = self.rank(q, 0.0, seen.pace)
            self.door.set_grant(q, grant, q.rank)
        attempt = self.door.start_attempt(q, seen.engine, q.deadline_ms - now)
        slot.pool, granted = slot.pool or grant * slot.maximum or None, grant or q.estimated_memory_mb
        run = Run(attempt, seen, slot, kind, granted, granted if kind == MAX else 0.0, q.group in self.quick)
        seen.runs[attempt] = run
        run.begin(self.held, now)
        if slot.peers is self.pool:
            held_ms = ideal_of(q) * self.paces.mean(now, 1.0) if q.estimated_work_ms else slot.latency
            self.latest = now, held_ms, q.group.threads, run.grant
        seen.due_ms, self.busy[seen], self.picker.touched[seen] = 0.0, True, True
        if q.group.is_bulk_load:
            seen.held[q.table_group] = q.deadline_ms
        self.guards.further.add(now, 1) if len(q.attempts) > 1 else None
        seen.cold_sent.add(now, self.guards.weight(q))

    def rank(self, q, done=0.0, pace=None):
        """Priority: dashboards first; then what makes its time only if helped; what is late last."""
        left, need = (
            min(q.arrived_ms + q.latency_objective_ms, q.deadline_ms) - self.door.now_ms,
            (1 - done) * ideal_of(q),
        )
        tight = need < left < 1.2 * (pace or 1.0) * need
        return 0 if left <= 0 else 3 if q.group in self.quick else 2 if tight else 1

    def down(self, q):
        now = self.door.now_ms
        if not self.place(q, now):
            insort(self.waiting[q.group], q, key=lambda x: (x.counts_over_quota, work_of(x), x.id))
            enough = now + (q.deadline_ms - q.arrived_ms) / 10
            self.door.call_at(enough, lambda: q in self.waiting[q.group] and self.give_up(q))

    def stir(self, now, only=None):
        """Something may be free: a few of the waiting are tried, best value for work first."""
        for queue in self.waiting.values():
            for q in queue[:5]:
                if self.place(q, now, only):
                    queue.remove(q)

    def release(self, run):
        seen = run.seen
        if seen.runs.pop(run.attempt, None):
            run.end(self.held)
            seen.due_ms = 0.0
            seen.held.pop(run.q.table_group if run.group.is_bulk_load else None, None)
            if not seen.runs:
                self.busy.pop(seen, None)

    def back(self, run, took, ending, cost, now):
        """Feedback: only finished queries beat the target; errors and time-outs are misses."""
        g, seen, slot, q = run.group, run.seen, run.slot, run.q
        seen.full_ms = now if ending == domain.Outcome.OVERLOADED else seen.full_ms
        if ending in domain.NEVER_EXECUTED or (ending == domain.Outcome.CANCELLED and run.called_off):
            return
        seen.faults.add(now, ending == domain.Outcome.FAILED)
        late, pace = now - q.arrived_ms - q.latency_objective_ms, took / (ideal_of(q) or 1.0)
        if q.estimated_work_ms and ending in (domain.Outcome.COMPLETED, domain.Outcome.TIMED_OUT):
            seen.stretch.add(now, pace)
            self.paces.add(now, pace)
            if self.paces.count(now) >= 5:
                self.best_pace = min(self.best_pace or 1e9, self.paces.mean(now))
        if ending != domain.Outcome.COMPLETED:
            late = max(late, q.latency_objective_ms)
        elif q.estimated_work_ms:
            slot.latency += (took - slot.latency) / 10 if slot.latency else took
            if cost and q.estimated_memory_mb:
                self.learn(g, cost[1] > run.grant, cost[1])
        slot.n, slot.late, slot.late_sq = slot.n + 1, slot.late + late, slot.late_sq + late * late
        slot.grants += run.grant
        slot.delay = max(0.0, -late) if slot.home else 0.0  # paper, 4.3.3
        slot.waiters += len(self.waiting[g]) / (1 if slot.peers is self.pool else max(1, len(self.fleet)))
        slot.running += slot.used[MAX] + slot.used[MIN]
        if slot.n >= 20:
            self.close(slot, seen, g, now)

    def learn(self, g, short, need):  # the memory margin climbs on a spill and creeps down without one
        self.margin[g] = min(2.0, self.margin[g] * 1.03) if short else max(1.0, self.margin[g] * 0.997)
        self.needed[g] += (need - self.needed[g]) / 20 if self.needed[g] else need

    def close(self, slot, seen, g, now):
        """An interval ends: the paper's Figure 3 on a miss, the admission delay once the target is beaten."""
        n = max(1, slot.n)
        late, mean = slot.late / n, slot.grants / n
        band = sqrt(max(0.0, slot.late_sq / n - late * late))
        waiters, running = slot.waiters / n, slot.running / n
        engines = len(self.fleet) if slot.peers is self.pool else 1
        pool, ours, full = slot.pool or 0.0, self.share * seen.memory_mb * engines, self.full_use(seen)
        unreserved = 0.9 * ours - sum(s.pool or 0.0 for s in slot.peers.values())  # a tenth is set aside
        if late > band:
            slot.home, slot.delay = False, 0.0
            if waiters >= 0.5 and mean < unreserved and not full:
                slot.maximum, slot.pool = slot.maximum + 1, pool + mean
                slot.minimum = max(0, slot.minimum - 1)
            elif waiters >= 0.5 and slot.maximum < 2 and not full:
                slot.minimum += 1
            else:
                slot.pool = pool + max(0.0, min(0.05 * ours, unreserved))
        elif late < 0:
            slot.home = True
            if running < slot.maximum - 1:  # paper, 4.3.3: the limit is higher than what runs
                slot.maximum, slot.pool = slot.maximum - 1, max(mean, pool - mean)
        slot.open(now)
