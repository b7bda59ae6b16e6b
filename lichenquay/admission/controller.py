"""THE decision module: M&M admission control (Brown, Mehta, Carey, Livny, VLDB 1994) at one gateway.

How it is called: a front builds `Controller(door, ...)` with what it read at start and then calls, in the order things
happen, list_news, list_failed, take, noted, answered, left and probed; the controller answers at once by calls on the
door (submit, allot, cancel, defer, kill, wake, probe, watch_list, log). Both sides are typed in interface.py.

A query goes down the chain Duty -> Order -> Slots -> Picker -> Guards -> send; what comes back goes up through
Guards (rule books), Slots (feedback) and Order to Duty (a final answer, or down again).
"""
from bisect import insort
from math import sqrt
from zlib import crc32

from lichenquay.admission.interface import (
    CANCELLED, ERROR, FINISHED, FULL, LISTED, MUTATING, NEVER_RAN, NOT_CONNECTED, PROGRESS, READ_ONLY, RESET,
    SPILLS, TIMED_OUT, TOKENED, WAITS, WITHDRAWN)
from lichenquay.admission.rings import Ring

MAX, MIN = "maximum", "minimum"
FULL_USE = 0.95                 # a report of this share is full utilisation
THREADS_A_CORE = 2.0            # the design's starting limit


def work_of(q):
    """The query's work over all threads: its estimate, else what its group's target runtime leaves room for."""
    return q.work_ms or q.group.target_ms * q.group.threads


def target_of(q):
    return q.group.target_ms + q.group.stretch * q.work_ms / q.group.threads


class Run:
    """One submission's hold on its engine: slot, memory and threads, until its work is over."""

    def __init__(self, sub, seen, kind, grant):
        self.sub, self.seen, self.kind, self.grant = sub, seen, kind, grant
        self.q, self.group, self.threads = sub.query, sub.query.group, sub.query.group.threads
        self.waited_ms = 0.0    # told to wait for memory or a load; not the plan's fault
        self.heard_ms, self.called_off = sub.sent_ms, False


class Slot:
    """M&M's state for one engine and resource group (paper, 4.3)."""

    def __init__(self, limit, now):
        self.limit = limit                  # below one query, admissions are spaced to match
        self.maximum, self.minimum = max(1, round(limit)), 0
        self.pool = None                    # MB; set from the first grant
        self.used = {MAX: 0, MIN: 0}
        self.pool_used = 0.0
        self.delay = 0.0
        self.admitted_ms = now - 1e9
        self.latency = 0.0
        self.open(now)

    def open(self, now):
        self.since, self.late, self.late_sq, self.n, self.grants = now, 0.0, 0.0, 0, 0.0
        self.waiters = self.running = self.samples = 0.0


class Seen:
    """What this gateway knows of one engine, from its own traffic and the engine's reports alone."""

    def __init__(self, engine, now, bucket_ms, fall_bucket_ms):
        self.engine, self.runs, self.slots = engine, {}, {}
        self.report, self.report_ms = None, now
        self.heard_ms = now                 # last sign of life
        self.silent = False
        self.trial_ms = self.trial_gap = 0.0
        self.full_ms = now - 1e9            # last full refusal
        self.stretch = Ring(bucket_ms, 8)   # runtime over work per thread, of finished queries
        self.pace = None                    # its mean, read once a beat
        self.cold_sent = Ring(fall_bucket_ms, 9)
        self.held = {}                      # tables held by a load there, until when we believe it

    def threads(self):
        return sum(r.threads for r in self.runs.values())

    def memory(self):
        return sum(r.grant for r in self.runs.values())


class Guards:
    """The rules that every submission passes: placement, drain, cold budget, budget, no duplicate effect."""

    def __init__(self, licence, rules, fronts):
        self.most, self.copies = licence.most_submissions, licence.second_copies
        self.rules, self.fronts = rules, max(1, fronts)
        w = rules.further_window_ms or 1.0
        self.further = Ring(w / 8, 9)       # covers a little more than the window,
        self.taken = Ring(w / 8, 8)         # and this a little less: the budget errs low
        self.usual = {}                     # group: mean work of its queries, which is what a cold engine counts

    def take(self, q, now):
        self.taken.add(now, 1)
        mean, n = self.usual.get(q.group, (0.0, 0))
        n = min(n + 1, 200)
        self.usual[q.group] = (mean + (work_of(q) - mean) / n, n)

    def warmth(self, engine, now):
        """The part of its capacity that the engine surely has; how it rises is told nowhere, so it is taken late."""
        if engine.started_ms is None or not self.rules.cold_ms:
            return 1.0
        age = max(0.0, now - engine.started_ms) / self.rules.cold_ms
        return 1.0 if age >= 1 else self.rules.cold_share + (1 - self.rules.cold_share) * age * age

    def may_submit(self, q):
        if q.over or len(q.submissions) >= self.most or any(s.ending is None for s in q.submissions):
            return False
        return q.group.effect != MUTATING or all(s.ending in NEVER_RAN for s in q.submissions)

    def in_budget(self, q, now):
        free = self.rules.further_free
        if free is None or not q.submissions:
            return True
        return self.further.total(now) + 1 <= free + self.rules.further_share * self.taken.total(now)

    def allows(self, q, seen, now):
        e, g = seen.engine, q.group
        if e.state != LISTED or (g.places and e.place not in g.places) or (g.kinds and e.kind not in g.kinds):
            return False
        if g.effect == TOKENED:
            for s in q.submissions:
                if s.ending not in NEVER_RAN and (
                        now - s.sent_ms >= g.memory_window_ms - self.rules.answer_slack_ms
                        or (g.dedup == "zone" and s.engine.place != e.place)
                        or (g.dedup == "cell" and s.engine.cell != e.cell)):
                    return False
        warmth = self.warmth(e, now)
        if warmth >= 1:
            return True
        # risk: all fronts push a cold engine over together. Ours is one share of the budget, with a fifth kept back.
        budget = 0.8 * self.rules.cold_multiple * warmth * 0.85 * e.cores * self.rules.cold_window_ms / self.fronts
        return seen.cold_sent.total(now) + self.weight(q) <= budget

    def weight(self, q):
        return max(self.usual.get(q.group, (0.0, 0))[0], work_of(q))

    def sent(self, q, seen, now):
        if len(q.submissions) > 1:
            self.further.add(now, 1)
        seen.cold_sent.add(now, self.weight(q))

    def may_defer(self, q):
        """A deferral says that trying again is harmless."""
        g = q.group
        if g.effect == READ_ONLY or all(s.ending in NEVER_RAN for s in q.submissions):
            return True
        return g.effect == TOKENED and g.dedup == "all"


class Picker:
    """Draws among engines with a free slot, weighted against what they report; unheard engines count average."""

    def __init__(self, seed, guards):
        self.seed, self.drawn, self.guards, self.threads = seed, 0, guards, 1.0
        self.ranks, self.usual = {}, None
        self.home, self.away = Ring(2000.0, 10), Ring(2000.0, 10)

    def chance(self):
        self.drawn += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn)) / 2 ** 32

    def reported(self, seen):
        """Load that the engine reports, about in threads a core; None where unheard."""
        r, cores = seen.report, seen.engine.cores or 1.0
        if not r:
            return None
        if "cpu" in r:
            return 2 * r["cpu"] + r.get("x1", 0.0) + r.get("waiting", 0.0) / cores
        if "active" in r:
            return r["active"] * self.threads / cores
        return r.get("x1", r.get("x0", 0.0)) * 2 + 2 * r.get("waiting", 0.0) / cores

    def rank(self, tables, fleet):
        """Departure: every gateway ranks the engines for a set of tables alike, by hash, so that its readers meet
        on few engines, which keep it warm, and its loads on the others."""
        if tables not in self.ranks:
            order = sorted(fleet, key=lambda e: crc32(f"{tables}:{e.id}".encode()))
            self.ranks[tables] = {e: i for i, e in enumerate(order)}
        return self.ranks[tables]

    def pick(self, q, choices, fleet, now):
        heard = [x for x in (self.reported(s) for s in choices) if x is not None]
        average = sum(heard) / len(heard) if heard else 0.0
        ranks = self.rank(q.tables, fleet) if q.tables else None
        home, away = self.home.mean(now), self.away.mean(now)
        bonus = min(6.0, max(1.0, away / home) ** 8) if home and away else 1.5
        weights = []
        for s in choices:
            load = self.reported(s)
            load = average if load is None else load
            warmth = self.guards.warmth(s.engine, now)
            load = (load + s.threads() / (s.engine.cores or 1.0)) / warmth
            w = warmth / (0.3 + load) ** 3
            if self.usual and s.pace:   # an engine slower than its peers; a slowdown of all blames none
                w *= min(1.0, max(0.1, self.usual / s.pace))
            if ranks:
                rank = ranks[s.engine] if not q.group.is_load else len(ranks) - 1 - ranks[s.engine]
                w *= bonus if rank < 2 else 1.0
                if s.held.get(q.tables, 0.0) > now and (q.group.is_load or q.group.yields):
                    w *= 0.02           # it would stand still until that load ends
            weights.append(w)
        left = self.chance() * sum(weights)
        for s, w in zip(choices, weights):
            left -= w
            if left < 0:
                return s
        return choices[-1]

    def learn(self, q, seen, pace, now):
        """Whether readers run faster where others of their tables run decides how much that draws them."""
        if not q.group.is_load and self.usual and seen.engine in self.ranks.get(q.tables, ()):
            ring = self.home if self.ranks[q.tables][seen.engine] < 2 else self.away
            ring.add(now, min(pace, 4 * self.usual))

    def look(self, fleet, now):
        """Once a beat: each engine's pace, and the usual one among its peers."""
        for s in fleet.values():
            s.pace = s.stretch.mean(now, s.pace)
        paces = sorted(s.pace for s in fleet.values() if s.pace)
        self.usual = paces[len(paces) // 2] if paces else None


class Slots:
    """M&M: a query takes a free maximum slot, else a minimum slot, else it is held at most a tenth of its time."""

    def __init__(self, door, guards, picker, make, groups, fronts, fleet):
        self.door, self.guards, self.picker, self.make, self.fleet = door, guards, picker, make, fleet
        self.share = 1.0 / max(1, fronts)
        self.waiting = {g: [] for g in groups}      # best value for work first
        self.margin = {g: 1.0 for g in groups}      # memory granted over its estimate, learned from spills and costs
        self.needed = {g: 0.0 for g in groups}      # learned mean need, MB
        self.best = None                            # best pace seen of an engine
        self.quick = self.dashboards(groups)
        self.rest_ms = min((g.target_ms for g in groups), default=0.0) / 4  # what a full refusal keeps an engine free

    @staticmethod
    def dashboards(groups):
        """Dashboards (no limit, default grant): one thread, no load, a shorter target than some other group."""
        if len(groups) < 2:
            return set()
        longest = max(g.target_ms + g.stretch * g.timeout_ms for g in groups)
        return {g for g in groups if g.threads == 1 and not g.is_load
                and g.target_ms + g.stretch * g.timeout_ms < longest}

    def slot(self, seen, g, now):
        if g not in seen.slots:
            seen.slots[g] = Slot(seen.engine.cores * THREADS_A_CORE * self.share / g.threads or 1.0, now)
        return seen.slots[g]

    def full_use(self, seen):
        """Full utilisation, or lacking that report, held or memory-waiting queries."""
        r, cores = seen.report, seen.engine.cores or 1.0
        if not r:
            return False
        if "cpu" in r:
            return r["cpu"] >= FULL_USE
        return (r.get("active", 0.0) * self.picker.threads >= THREADS_A_CORE * cores or r.get("waiting", 0.0) >= 1
                or r.get("x1", 0.0) >= FULL_USE)

    def pressed(self, seen, g, now):
        """Slots bind only under engine pressure: latency well above best, a busy report or a full refusal."""
        if self.full_use(seen) or now - seen.full_ms < g.target_ms or seen.threads() > THREADS_A_CORE * seen.engine.cores:
            return True
        return bool(seen.pace and self.best and seen.pace > 2 * self.best)

    def grant(self, q, seen):
        if not self.make.grants or q.group in self.quick:
            return 0.0
        want = q.memory_mb * self.margin[q.group] or self.needed[q.group]
        return min(want, self.make.most_grant * seen.engine.memory_mb)

    def free(self, q, seen, now):
        """The kind of slot that is free for the query there, if any."""
        g, grant = q.group, self.grant(q, seen)
        if now - seen.full_ms < self.rest_ms:
            return None
        pressed = self.pressed(seen, g, now)
        if pressed and not self.room(q, seen, grant or q.memory_mb):
            return None
        if g in self.quick or not pressed:
            return MAX
        slot = self.slot(seen, g, now)
        if self.spacing(slot, seen, g) > now - slot.admitted_ms:
            return None
        if slot.used[MAX] < slot.maximum and (not slot.used[MAX] or slot.pool is None
                                              or slot.pool_used + grant <= slot.pool):
            return MAX
        return MIN if slot.used[MIN] < slot.minimum else None

    def room(self, q, seen, grant):
        """Departure: under pressure all groups together, dashboards too, stay within our share of the engine's
        threads and memory. Risk: once sessions and memory are full, nothing ends in time and all retry (a jam)."""
        runs, part = seen.runs.values(), self.share
        if q.group not in self.quick:
            runs, part = [r for r in runs if r.group not in self.quick], 0.75 * self.share
        return not runs or (
            sum(r.threads for r in runs) + q.group.threads <= THREADS_A_CORE * seen.engine.cores * part
            and sum(r.grant for r in runs) + grant <= 0.9 * seen.engine.memory_mb * part)

    def spacing(self, slot, seen, g):
        """Below one query, admissions are spaced to match; and the admission delay, never with free cores."""
        gap = slot.latency / slot.limit - slot.latency if slot.limit < 1 and slot.maximum == 1 else 0.0
        r = seen.report or {}
        cores = seen.engine.cores or 1.0
        busy = r.get("cpu", r.get("active", seen.threads() / self.share) * (1 if "cpu" in r else 1 / cores)) >= 1
        if slot.delay and busy and (r.get("x0", 0.0) > 0.5 or self.waiting[g]):
            gap = max(gap, slot.delay)
        return gap

    def down(self, q):
        now = self.door.now_ms
        if self.place(q, now):
            return
        insort(self.waiting[q.group], q, key=self.turn)
        q.held_until = min(now + (q.ends_ms - q.arrived_ms) / 10, q.ends_ms)
        self.door.wake(q.held_until, lambda: self.held_enough(q))

    def held_enough(self, q):
        if not q.over and q in self.waiting[q.group]:
            self.waiting[q.group].remove(q)
            self.give_up(q)

    def place(self, q, now):
        if not self.guards.may_submit(q) or not self.guards.in_budget(q, now):
            return False
        allowed = [s for s in self.fleet.values() if self.guards.allows(q, s, now)]
        tried = {s.engine for s in q.submissions}
        best = {}
        for s in allowed:
            kind = self.free(q, s, now)
            if kind:
                best.setdefault((not self.usable(s, q, now), s.engine in tried, kind == MIN), []).append(s)
        best.pop(next((k for k in best if k[0] and q.group.effect == MUTATING), None), None)
        for doubtful, again, small in sorted(best):
            if doubtful and any(not s.silent for s in allowed):
                continue
            choices = best[doubtful, again, small]
            self.submit(q, self.picker.pick(q, choices, self.fleet, now), MIN if small else MAX, now)
            return True
        return False

    def usable(self, seen, q, now):
        """Not silent; or it is time for a trial, which only a read-only query makes."""
        if not seen.silent:
            return True
        if q.group.effect != READ_ONLY or now < seen.trial_ms or seen.runs:
            return False
        seen.trial_gap = min(2 * seen.trial_gap, q.group.timeout_ms)
        seen.trial_ms = now + seen.trial_gap
        return True

    def submit(self, q, seen, kind, now):
        slot, grant = self.slot(seen, q.group, now), self.grant(q, seen)
        if kind == MIN:
            grant /= 4
        if self.make.grants or self.make.ranks:
            q.rank = self.rank(q, 0.0, seen.pace)
            self.door.allot(q, grant, q.rank)
        sub = self.door.submit(q, seen.engine, q.ends_ms - now)
        run = seen.runs[sub] = Run(sub, seen, kind, grant or q.memory_mb)
        slot.used[kind] += 1
        if slot.pool is None and grant:
            slot.pool = grant * slot.maximum
        if kind == MAX:
            slot.pool_used += run.grant
        slot.admitted_ms = now
        if q.group.is_load and q.tables:
            seen.held[q.tables] = q.ends_ms
        self.guards.sent(q, seen, now)

    def rank(self, q, done=0.0, pace=None):
        """Priority: dashboards, whose work is small, first; then what makes its time only if helped; the late last."""
        now = self.door.now_ms
        left = min(q.arrived_ms + target_of(q), q.ends_ms) - now
        if left <= 0:
            return 0
        if q.group in self.quick:
            return 3
        need = (1 - done) * work_of(q) / q.group.threads
        return 2 if need < left < 1.2 * (pace or 1.0) * need else 1

    def release(self, run):
        if run.seen.runs.pop(run.sub, None) is None:
            return
        slot = run.seen.slots[run.group]
        slot.used[run.kind] -= 1
        if run.kind == MAX:
            slot.pool_used -= run.grant
        if run.group.is_load and run.q.tables:
            run.seen.held.pop(run.q.tables, None)

    def back(self, run, took, ending, cost, now):
        """Feedback: only finished queries beat the target; errors and time-outs are misses."""
        g, seen, slot, q = run.group, run.seen, run.seen.slots[run.group], run.q
        if ending in NEVER_RAN or (ending == CANCELLED and run.called_off):
            if ending == FULL:
                seen.full_ms = now
            return
        late = now - q.arrived_ms - target_of(q)
        if q.work_ms and ending in (FINISHED, TIMED_OUT):
            seen.stretch.add(now, took / (q.work_ms / g.threads))
        if ending != FINISHED:
            late = max(late, target_of(q))
        elif q.work_ms:
            if q.tables:
                self.picker.learn(q, seen, took / (q.work_ms / g.threads), now)
            mean = seen.stretch.mean(now)
            if seen.stretch.count(now) >= 5:
                self.best = min(self.best or mean, mean)
            slot.latency += (took - slot.latency) / 10 if slot.latency else took
            if cost and q.memory_mb:
                self.learn(g, cost[1] > run.grant, cost[1])
        slot.n += 1
        slot.late += late
        slot.late_sq += late * late
        slot.grants += run.grant
        slot.delay = max(0.0, -late) if slot.delay or slot.delay is None else 0.0
        if late > 0:
            slot.delay = 0.0
        self.sample(slot, g)
        if slot.n >= 20:
            self.close(slot, seen, g, now)

    def learn(self, g, short, need):
        """The memory margin climbs on a spill and creeps down without one."""
        self.margin[g] = min(2.0, self.margin[g] * 1.03) if short else max(1.0, self.margin[g] * 0.997)
        if need:
            self.needed[g] += (need - self.needed[g]) / 20 if self.needed[g] else need

    def sample(self, slot, g):
        slot.samples += 1
        slot.waiters += len(self.waiting[g]) / max(1, len(self.fleet))
        slot.running += slot.used[MAX] + slot.used[MIN]

    def close(self, slot, seen, g, now):
        """An interval ends: the paper's Figure 3 on a miss, the admission delay once the target is beaten."""
        n = max(1, slot.n)
        late = slot.late / n
        band = sqrt(max(0.0, slot.late_sq / n - late * late))
        waiters, running = slot.waiters / max(1, slot.samples), slot.running / max(1, slot.samples)
        mean, ours = slot.grants / n, self.share * seen.engine.memory_mb
        unreserved = 0.9 * ours - sum(s.pool or 0.0 for s in seen.slots.values())
        if late > band:
            slot.delay = 0.0
            if waiters >= 0.5 and mean < unreserved and not self.full_use(seen):
                slot.maximum += 1
                slot.pool = (slot.pool or 0.0) + mean
                slot.minimum = max(0, slot.minimum - 1)
            elif waiters >= 0.5 and slot.maximum < 2 and not self.full_use(seen):
                slot.minimum += 1
            else:
                slot.pool = (slot.pool or 0.0) + max(0.0, min(0.05 * ours, unreserved))
        elif late < 0:
            slot.delay = slot.delay or 0.001
            if running < slot.maximum - 1:      # paper, 4.3.3: the limit is higher than what runs
                slot.maximum -= 1
                slot.pool = max(mean, (slot.pool or 0.0) - mean)
        slot.open(now)

    @staticmethod
    def turn(q):
        return q.over_share, work_of(q) / max(q.group.value, 1e-9), q.id

    def stir(self, now):
        """Something may have become free: the waiting, best value for work first, until a few find nothing."""
        for queue in self.waiting.values():
            missed = 0
            for q in list(queue[:20]):
                if self.place(q, now):
                    queue.remove(q)
                else:
                    missed += 1
                    if missed == 3:
                        break


class Order:
    """Where a resource group keeps order, the queries of one key go one at a time, as taken, and the key rests after
    a submission that may still be running."""

    def __init__(self, door, rest_ms, below):
        self.door, self.rest_ms, self.below, self.lines, self.free_ms = door, rest_ms, below, {}, {}

    def down(self, q):
        if not (q.group.in_order and q.key):
            return self.below(q)
        self.lines.setdefault(q.key, []).append(q)
        self.advance(q.key)

    def back(self, q, sub=None):
        """A query leaves its line once it is over and every submission of it has ended."""
        if not (q.group.in_order and q.key):
            return
        if sub and sub.ending in (TIMED_OUT, RESET, CANCELLED):
            self.free_ms[q.key] = self.door.now_ms + self.rest_ms
        if q.over and all(s.ending is not None for s in q.submissions) and q in self.lines.get(q.key, ()):
            self.lines[q.key].remove(q)
            self.advance(q.key)

    def advance(self, key):
        line, free_ms = self.lines.get(key), self.free_ms.get(key, 0.0)
        if line and not line[0].passed:
            if self.door.now_ms < free_ms:
                return self.door.wake(free_ms, lambda: self.advance(key))
            line[0].passed = True
            self.below(line[0])
        elif not line and self.door.now_ms >= free_ms:
            self.lines.pop(key, None)
            self.free_ms.pop(key, None)


class Controller:
    """Duty, at the chain's top: every query gets one final answer in time. It wires the stages together."""

    def __init__(self, door, gateway, groups, tenants, licence, rules, make):
        self.door, self.licence, self.make, self.rules = door, licence, make, rules
        self.fleet, self.tenants = {}, tenants
        self.guards = Guards(licence, rules, gateway.fronts)
        self.picker = Picker(gateway.seed, self.guards)
        self.slots = Slots(door, self.guards, self.picker, make, groups, gateway.fronts, self.fleet)
        self.slots.give_up = self.give_up
        self.order = Order(door, rules.order_rest_ms, self.slots.down)
        self.on_request = gateway.list_on_request
        quickest = min((g.target_ms for g in groups), default=1000.0) or 1000.0
        self.beat = max(gateway.step_ms, quickest / 20)
        self.bucket = quickest / 2
        self.quiet_ms = 1.5 * make.note_every_ms or quickest
        self.traffic = {t: Ring(1000.0, 5) for t in tenants}
        self.ticked_ms = door.now_ms
        door.wake(door.now_ms + self.beat, self.tick)
        if self.on_request:
            door.watch_list()

    # from the front

    def list_news(self, engines, whole):
        now = self.door.now_ms
        for e in engines:
            seen = self.fleet.get(e)
            if seen is None:
                self.fleet[e] = Seen(e, now, self.bucket, (self.rules.cold_window_ms or 1000.0) / 8)
            elif e.started_ms and e.started_ms > seen.heard_ms:     # a new start: what we knew is of the old one
                seen.silent, seen.report, seen.heard_ms = False, None, now
        if whole:
            named = set(engines)
            for e in self.fleet:
                if e not in named:
                    e.state = WITHDRAWN
        for e in [e for e, s in self.fleet.items() if e.state == WITHDRAWN and not s.runs]:
            del self.fleet[e]
        self.picker.ranks.clear()
        self.slots.stir(now)

    def list_failed(self):
        if self.on_request:
            self.door.wake(self.door.now_ms + self.rules.must_ask_ms / 8, self.door.watch_list)

    def take(self, q):
        now = self.door.now_ms
        q.passed, q.over_share = False, self.beyond_share(q, now)
        self.guards.take(q, now)
        self.picker.threads += (q.group.threads - self.picker.threads) / 100
        self.door.wake(q.ends_ms, lambda: self.ends(q))
        self.order.down(q)

    def beyond_share(self, q, now):
        if q.tenant is None:
            return False
        self.traffic[q.tenant].add(now, 1)
        mine = self.traffic[q.tenant].count(now)
        part = mine / max(1, sum(r.count(now) for r in self.traffic.values()))
        return mine > 10 and self.picker.chance() > q.tenant.share / part

    def left(self, q):
        self.unhold(q)
        self.order.back(q)

    def noted(self, sub, what, amount):
        now, run = self.door.now_ms, self.run_of(sub)
        if run is None:
            return
        self.heard(run.seen, now)
        run.heard_ms = now
        if what == SPILLS:
            self.slots.learn(run.group, True, run.grant + amount)
        elif what == WAITS:
            run.waited_ms += self.make.note_every_ms
            if amount == 2 and run.q.tables:
                run.seen.held[run.q.tables] = now + 2 * self.make.note_every_ms
                self.move(run)
        elif what == PROGRESS and run.q.work_ms:
            if run.q.submissions[-1] is sub and self.make.ranks and not run.q.over and run.q.rank:
                rank = self.slots.rank(run.q, min(1.0, amount), run.seen.pace)
                if rank != run.q.rank:
                    run.q.rank = rank
                    self.door.allot(run.q, run.grant, rank)
            pace = (now - sub.sent_ms - run.waited_ms) / max(amount, 0.002) / (run.q.work_ms / run.group.threads)
            usual = run.seen.pace or 1.0
            if pace > 4 * max(1.0, usual):          # far behind the estimate: a bad plan
                self.move(run)

    def move(self, run):
        """Cancel and submit again, where that is heeded and harmless."""
        q = run.q
        if (self.licence.cancel and run.group.effect == READ_ONLY and not run.called_off and not q.over
                and len(q.submissions) < self.licence.most_submissions and self.guards.in_budget(q, self.door.now_ms)):
            run.called_off = True
            self.door.cancel(run.sub)

    def answered(self, sub, took, cost, report):
        now, run, q = self.door.now_ms, self.run_of(sub), sub.query
        seen = self.fleet.get(sub.engine)
        if seen is not None:
            if report:
                seen.report, seen.report_ms = report, now
            if sub.ending in (FINISHED, ERROR, FULL):
                self.heard(seen, now)
            elif sub.ending in (NOT_CONNECTED, RESET):
                self.unheard(seen, now)
        if run is not None:
            self.slots.back(run, took, sub.ending, cost, now)
            self.let_go(run, now)
        self.order.back(q, sub)
        if not q.over:
            self.decide(q, sub)
        self.slots.stir(now)

    def probed(self, engine, ok, took, report):
        seen, now = self.fleet.get(engine), self.door.now_ms
        if seen is None:
            return
        if report:
            seen.report, seen.report_ms = report, now
        if ok:
            self.heard(seen, now)

    # inside

    def run_of(self, sub):
        seen = self.fleet.get(sub.engine)
        return seen.runs.get(sub) if seen else None

    def let_go(self, run, now):
        """Where a time-out stops nothing, the work runs on: its slot and memory stay counted."""
        if run.sub.ending in (TIMED_OUT, CANCELLED) and not self.licence.cancel:
            ran = now - run.sub.sent_ms
            left = max((run.seen.pace or 1.0) * work_of(run.q) / run.group.threads - ran, ran)
            return self.door.wake(now + left, lambda: self.slots.release(run))
        self.slots.release(run)

    def decide(self, q, sub):
        now = self.door.now_ms
        if now >= q.ends_ms - self.beat or not self.guards.may_submit(q):
            return self.finish(q)
        self.slots.down(q)

    def finish(self, q):
        """The final answer of a query that did not finish."""
        self.unhold(q)
        if self.guards.may_defer(q) and self.door.now_ms < q.ends_ms:
            pause = self.licence.longest_pause_ms
            self.door.defer(q, min(pause, (q.ends_ms - self.door.now_ms) / 10))
        else:
            self.door.kill(q)
        self.order.back(q)

    def give_up(self, q):
        self.finish(q)

    def ends(self, q):
        if not q.over:
            self.unhold(q)
            out = [s for s in q.submissions if s.ending is None]
            if out and self.licence.cancel:
                self.door.cancel(out[0])
            self.door.kill(q)
            self.order.back(q)

    def unhold(self, q):
        if q in self.slots.waiting[q.group]:
            self.slots.waiting[q.group].remove(q)

    def heard(self, seen, now):
        seen.heard_ms = now
        if seen.silent:
            seen.silent = False
            self.door.log(f"engine {seen.engine.id} heard again")

    def unheard(self, seen, now):
        """No notes, time-outs, failed connects: one symptom. Nothing new goes there but trials."""
        if not seen.silent:
            seen.silent, seen.trial_gap = True, self.quiet_ms / 2
            seen.trial_ms = now + seen.trial_gap
            self.door.log(f"engine {seen.engine.id} not heard from")
        for run in list(seen.runs.values()):
            self.move(run)

    def lost(self, run, now):
        """Risk: the query or its answer is lost on the way while the engine is heard. No note in a note's time and
        a half, or far past its expected runtime: not heard from."""
        limit = max(4 * (run.seen.pace or 1.0) * work_of(run.q) / run.group.threads, run.group.target_ms / 2)
        return now - run.heard_ms > (min(limit, self.quiet_ms) if self.make.note_every_ms else limit)

    def tick(self):
        now, stood = self.door.now_ms, self.door.now_ms - self.ticked_ms - 2 * self.beat
        self.ticked_ms = now
        if stood > 0:       # risk: a gateway that stood still itself takes every engine for silent
            for seen in self.fleet.values():
                seen.heard_ms += stood
                for run in seen.runs.values():
                    run.heard_ms += stood
        self.picker.look(self.fleet, now)
        for seen in self.fleet.values():
            if seen.runs and now - seen.heard_ms > self.quiet_ms and any(
                    now - r.heard_ms > self.quiet_ms for r in seen.runs.values()):
                self.unheard(seen, now)
            for run in list(seen.runs.values()):
                if self.lost(run, now):
                    self.move(run)
            wants = (self.make.reports == "probe" and now - seen.report_ms > self.bucket) or (
                seen.silent and now >= seen.trial_ms)
            if self.licence.probe and wants and seen.engine.state == LISTED:
                seen.report_ms, seen.trial_ms = now, now + self.bucket
                self.door.probe(seen.engine)
            for g, slot in seen.slots.items():
                if slot.n and now - slot.since > 4 * g.target_ms or now - slot.since > g.timeout_ms:
                    self.slots.close(slot, seen, g, now)        # silence too closes an interval
        self.slots.stir(now)
        self.door.wake(now + self.beat, self.tick)
