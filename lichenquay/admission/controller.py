"""THE decision module: M&M admission control (Brown, Mehta, Carey, Livny, VLDB 1994) at one gateway.

How it is called: a front builds `Controller(door, ...)` with what it read at start, then calls list_news,
list_failed, take, noted, answered, left and probed in the order things happen; the controller answers at once
by calls on the door. Both sides are typed in interface.py. A query goes down the chain Duty -> Order -> Slots
-> Picker -> Guards -> send; what comes back goes up through Slots (feedback) and Order to Duty: an answer, or
down again. "Departure" marks what is neither the paper's nor the design's; docs/design.md says when it acts.
"""
from bisect import insort
from math import sqrt
from zlib import crc32

from lichenquay.admission import interface as io
from lichenquay.admission.rings import Ring

MAX, MIN = "maximum", "minimum"
THREADS_A_CORE = 2.0            # the design's starting limit
FULL_USE = 0.95                 # a report of this share is full utilisation


def work_of(q):
    """The query's work over all threads: its estimate, else what its target runtime leaves room for."""
    return q.work_ms or q.group.target_ms * q.group.threads


def ideal_of(q):
    return work_of(q) / q.group.threads


def target_of(q):
    return q.group.target_ms + q.group.stretch * q.work_ms / q.group.threads


class Run:
    """One submission's hold on its engine: slot, memory and threads, until its work is over."""

    def __init__(self, sub, seen, kind, grant):
        self.sub, self.seen, self.kind, self.grant = sub, seen, kind, grant
        self.q, self.group, self.threads = sub.query, sub.query.group, sub.query.group.threads
        self.heard_ms, self.waited_ms, self.called_off = sub.sent_ms, 0.0, False


class Slot:
    """M&M's state for one engine and resource group (paper, 4.3)."""

    def __init__(self, limit, now):
        self.limit = limit                  # below one query, admissions are spaced to match
        self.maximum, self.minimum = max(1, round(limit)), 0
        self.pool, self.pool_used = None, 0.0               # MB; set from the first grant
        self.used = {MAX: 0, MIN: 0}
        self.home, self.delay, self.admitted_ms, self.latency = False, 0.0, now - 1e9, 0.0
        self.open(now)

    def open(self, now):
        self.since, self.late, self.late_sq, self.n, self.grants = now, 0.0, 0.0, 0, 0.0
        self.waiters = self.running = 0.0


class Seen:
    """What this gateway knows of one engine, from its own traffic and the engine's reports alone."""

    def __init__(self, engine, now, bucket_ms, fall_bucket_ms):
        self.engine, self.runs, self.slots, self.held = engine, {}, {}, {}
        self.report, self.report_ms, self.heard_ms, self.full_ms = None, now, now, now - 1e9
        self.silent, self.trial_ms, self.short_ms = False, 0.0, now - 1e9
        self.stretch, self.pace = Ring(bucket_ms, 8), None  # runtime over work per thread; its mean
        self.cold_sent = Ring(fall_bucket_ms, 9)
        self.threads, self.granted = {True: 0, False: 0}, 0.0   # of our runs: threads (dashboards or not), MB
        self.cores, self.memory_mb = engine.cores or 1.0, engine.memory_mb or 1.0

    def own(self):
        """Our own load on it, in threads a core; granted memory counts like the threads that it serves."""
        return max(sum(self.threads.values()) / self.cores, THREADS_A_CORE * self.granted / self.memory_mb)

    def use(self, threads):
        """Reported utilisation, lacking that held queries, disks, memory-waiting queries; None: unheard."""
        r = self.report
        if not r:
            return None
        if "cpu" in r:
            return r["cpu"]
        return max(r.get("active", 0.0) * threads / THREADS_A_CORE / self.cores, r.get("x1", 0.0),
                   min(1.0, r.get("waiting", 0.0)))


class Guards:
    """What every submission passes: placement, drain, cold budget, submission budget, no duplicate effect."""

    def __init__(self, most_submissions, rules, fronts):
        self.most, self.rules, self.fronts = most_submissions, rules, max(1, fronts)
        bucket = (rules.further_window_ms or 1.0) / 8
        self.further, self.taken = Ring(bucket, 9), Ring(bucket, 8)   # errs low
        self.usual = {}             # mean work of each group: a cold engine counts the usual work

    def take(self, q, now):
        self.taken.add(now, 1)
        self.usual[q.group] = (49 * self.usual.get(q.group, work_of(q)) + work_of(q)) / 50

    def weight(self, q):
        return max(self.usual.get(q.group, 0.0), work_of(q))

    def warmth(self, engine, now):
        """The part of its capacity that an engine surely has; how that rises is not told: taken late."""
        if engine.started_ms is None or not self.rules.cold_ms:
            return 1.0
        age = max(0.0, now - engine.started_ms) / self.rules.cold_ms
        return 1.0 if age >= 1 else self.rules.cold_share + (1 - self.rules.cold_share) * age * age

    def may_submit(self, q, now):
        if q.over or len(q.submissions) >= self.most or any(s.ending is None for s in q.submissions):
            return False
        if q.group.effect == io.MUTATING and any(s.ending not in io.NEVER_RAN for s in q.submissions):
            return False
        free = self.rules.further_free
        return free is None or not q.submissions or (
            self.further.total(now) + 1 <= free + self.rules.further_share * self.taken.total(now))

    def allows(self, q, seen, now):
        e, g = seen.engine, q.group
        if (e.state != io.LISTED or (g.places and e.place not in g.places)
                or (g.kinds and e.kind not in g.kinds)):
            return False
        ran = [s for s in q.submissions if s.ending not in io.NEVER_RAN] if g.effect == io.TOKENED else ()
        if any(now - s.sent_ms >= g.memory_window_ms - self.rules.answer_slack_ms
               or g.dedup == "zone" and s.engine.place != e.place
               or g.dedup == "cell" and s.engine.cell != e.cell for s in ran):
            return False                # sent again only where and while its repeat is dropped
        warmth = self.warmth(e, now)
        if warmth >= 1:
            return True
        # Risk: all fronts push a cold engine over. Ours is one share of the budget, with a fifth kept back.
        budget = 0.8 * self.rules.cold_multiple * self.rules.cold_window_ms / self.fronts
        return seen.cold_sent.total(now) + self.weight(q) <= budget * warmth * 0.85 * e.cores

    def sent(self, q, seen, now):
        if len(q.submissions) > 1:
            self.further.add(now, 1)
        seen.cold_sent.add(now, self.weight(q))

    def may_defer(self, q):
        """A deferral says that trying again is harmless."""
        g = q.group
        return (g.effect == io.READ_ONLY or (g.effect == io.TOKENED and g.dedup == "all")
                or all(s.ending in io.NEVER_RAN for s in q.submissions))


class Picker:
    """Draws among engines with a free slot, weighted against their reports; the unheard count average."""

    def __init__(self, seed, warmth, fleet):
        self.seed, self.drawn, self.warmth, self.fleet = seed, 0, warmth, fleet
        self.threads, self.usual, self.ranks = 1.0, None, {}    # threads of a query; peers' pace
        self.home, self.away = Ring(2000.0, 10), Ring(2000.0, 10)

    def chance(self):
        self.drawn += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn)) / 2 ** 32

    def rank(self, tables):
        """Departure: every gateway ranks the engines for a set of tables alike, by hash: its readers meet on
        few engines, which keep it warm, and its loads on others."""
        if tables not in self.ranks:
            order = sorted(self.fleet, key=lambda e: crc32(f"{tables}:{e.id}".encode()))
            self.ranks[tables] = {e: i for i, e in enumerate(order)}
        return self.ranks[tables]

    def learn(self, q, seen, pace, now):
        """Whether readers run faster where others of their tables run decides how much that draws them."""
        if not q.group.is_load and self.usual and seen.engine in self.ranks.get(q.tables, ()):
            home = self.ranks[q.tables][seen.engine] < 2
            (self.home if home else self.away).add(now, min(pace, 4 * self.usual))

    def load(self, seen):
        use = seen.use(self.threads)
        if use is None:
            return None
        r, waiting = seen.report, seen.report.get("waiting", 0.0) / seen.cores
        return THREADS_A_CORE * use + (r.get("x1", 0.0) if "cpu" in r else 0.0) + waiting

    def pick(self, q, choices, now):
        loads = [self.load(s) for s in choices]
        heard = [x for x in loads if x is not None] or [0.0]
        average = sum(heard) / len(heard)
        ranks = self.rank(q.tables) if q.tables else None
        home, away = self.home.mean(now), self.away.mean(now)
        bonus = min(6.0, max(1.0, away / home) ** 8) if home and away else 1.5
        weights = []
        for s, load in zip(choices, loads):
            warmth = self.warmth(s.engine, now)
            w = warmth / (0.3 + ((average if load is None else load) + s.own()) / warmth) ** 3
            if self.usual and s.pace:   # an engine slower than its peers; a slowdown of all blames none
                w *= min(1.0, max(0.02, self.usual / s.pace))
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

    def look(self, now):
        """Once a beat: each engine's pace, and the usual one among its peers."""
        for s in self.fleet.values():
            s.pace = s.stretch.mean(now, s.pace)
        paces = sorted(s.pace for s in self.fleet.values() if s.pace) or [None]
        self.usual = paces[len(paces) // 2]


class Slots:
    """M&M: a query takes a free maximum slot, else a minimum slot, else is held for a tenth of its time."""

    def __init__(self, door, guards, picker, make, groups, fronts, give_up):
        self.door, self.guards, self.picker, self.make, self.fleet = door, guards, picker, make, picker.fleet
        self.share, self.give_up = 1.0 / max(1, fronts), give_up
        self.waiting = {g: [] for g in groups}      # best value for work first
        self.margin = {g: 1.0 for g in groups}      # memory granted over its estimate, learned
        self.needed = {g: 0.0 for g in groups}      # learned mean need, MB
        self.best = None                            # best pace seen of an engine
        self.rest_ms = min((g.target_ms for g in groups), default=0.0) / 4  # after a full refusal
        # Dashboards (no limit, default grant): one thread, no load, a shorter target than some other group.
        longest = max((g.target_ms + g.stretch * g.timeout_ms for g in groups), default=0.0)
        self.quick = {g for g in groups if g.threads == 1 and not g.is_load
                      and g.target_ms + g.stretch * g.timeout_ms < longest}

    def slot(self, seen, g, now):
        if g not in seen.slots:
            seen.slots[g] = Slot(seen.engine.cores * THREADS_A_CORE * self.share / g.threads or 1.0, now)
        return seen.slots[g]

    def full_use(self, seen):
        return (seen.use(self.picker.threads) or 0.0) >= FULL_USE

    def pressed(self, seen, g, now):
        """Slots bind only under engine pressure: latency well above best, a busy report or a full refusal."""
        return (self.full_use(seen) or now - seen.full_ms < g.target_ms or seen.own() > THREADS_A_CORE
                or bool(seen.pace and self.best and seen.pace > 2 * self.best))

    def overdrawn(self, q, seen):
        """The query's memory would pass our share of the engine's, less the set-aside of a tenth."""
        return seen.granted + (self.grant(q, seen) or q.memory_mb) > 0.9 * seen.memory_mb * self.share

    def room(self, q, seen, pressed):
        """Departure: all groups together keep to our share, under pressure of the threads, and always of the
        memory where too much of it slows all at once. Risk: a jam, in which nothing ends in time."""
        if seen.runs and self.make.when_short == "swap" and self.overdrawn(q, seen):
            return False
        limit, quick = THREADS_A_CORE * seen.cores * self.share, q.group in self.quick
        if not quick:
            limit = max(0.75 * limit, sum(s.maximum * g.threads for g, s in seen.slots.items()
                                          if g not in self.quick))
        return not pressed or not seen.threads[quick] or seen.threads[quick] + q.group.threads <= limit

    def spacing(self, slot, seen, g):
        """Below one query, admissions are spaced to match; and the admission delay, never with free cores."""
        gap = slot.latency / slot.limit - slot.latency if slot.limit < 1 and slot.maximum == 1 else 0.0
        if slot.delay and self.full_use(seen) and (seen.report.get("x0", 0.0) > 0.5 or self.waiting[g]):
            gap = max(gap, slot.delay)
        return gap

    def grant(self, q, seen):
        if not self.make.grants or q.group in self.quick:
            return 0.0
        want = q.memory_mb * self.margin[q.group] or self.needed[q.group]
        return min(want, self.make.most_grant * seen.engine.memory_mb)

    def free(self, q, seen, now):
        """The kind of slot that is free for the query there, if any."""
        g, pressed = q.group, self.pressed(seen, q.group, now)
        short = now - seen.short_ms < self.make.note_every_ms and g not in self.quick
        if short or now - seen.full_ms < self.rest_ms or not self.room(q, seen, pressed):
            return None
        if g in self.quick or not pressed:
            return MAX
        slot = self.slot(seen, g, now)
        if self.spacing(slot, seen, g) > now - slot.admitted_ms:
            return None
        fits = not slot.used[MAX] or slot.pool is None or slot.pool_used + self.grant(q, seen) <= slot.pool
        if fits and slot.used[MAX] < slot.maximum:
            return MAX
        return MIN if slot.used[MIN] < slot.minimum else None

    def usable(self, seen, q, now):
        """Not silent; or it is time for a trial, which only a read-only query makes."""
        if not seen.silent:
            return True
        due = q.group.effect == io.READ_ONLY and now >= seen.trial_ms and not seen.runs
        seen.trial_ms = now + q.group.target_ms if due else seen.trial_ms
        return due

    def place(self, q, now):
        if not self.guards.may_submit(q, now):
            return False
        allowed, best = [s for s in self.fleet.values() if self.guards.allows(q, s, now)], {}
        tried = {s.engine for s in q.submissions}
        hope = any(not s.silent for s in allowed)
        for s in allowed:
            kind = self.free(q, s, now)
            doubt = kind and not self.usable(s, q, now)
            if kind and not (doubt and (hope or q.group.effect == io.MUTATING)):
                best.setdefault((doubt, s.engine in tried, kind == MIN, self.overdrawn(q, s)), []).append(s)
        if best:
            at = min(best)
            self.submit(q, self.picker.pick(q, best[at], now), MIN if at[2] else MAX, now)
        return bool(best)

    def submit(self, q, seen, kind, now):
        slot, grant = self.slot(seen, q.group, now), self.grant(q, seen) / (4 if kind == MIN else 1)
        if self.make.grants or self.make.ranks:
            q.rank = self.rank(q, 0.0, seen.pace)
            self.door.allot(q, grant, q.rank)
        sub = self.door.submit(q, seen.engine, q.ends_ms - now)
        run = seen.runs[sub] = Run(sub, seen, kind, grant or q.memory_mb)
        slot.used[kind] += 1
        seen.threads[q.group in self.quick] += run.threads
        seen.granted, slot.admitted_ms = seen.granted + run.grant, now
        if slot.pool is None and grant:
            slot.pool = grant * slot.maximum
        slot.pool_used += run.grant if kind == MAX else 0.0
        if q.group.is_load and q.tables:
            seen.held[q.tables] = q.ends_ms
        self.guards.sent(q, seen, now)

    def rank(self, q, done=0.0, pace=None):
        """Priority: dashboards first; then what makes its time only if helped; what is late last."""
        left, need = min(q.arrived_ms + target_of(q), q.ends_ms) - self.door.now_ms, (1 - done) * ideal_of(q)
        tight = need < left < 1.2 * (pace or 1.0) * need
        return 0 if left <= 0 else 3 if q.group in self.quick else 2 if tight else 1

    def down(self, q):
        now = self.door.now_ms
        if not self.place(q, now):
            insort(self.waiting[q.group], q,
                   key=lambda x: (x.over_share, work_of(x) / (x.group.value or 1e-9), x.id))
            enough = min(now + (q.ends_ms - q.arrived_ms) / 10, q.ends_ms)
            self.door.wake(enough, lambda: self.unhold(q, self.give_up))

    def unhold(self, q, then=None):
        if q in self.waiting[q.group]:
            self.waiting[q.group].remove(q)
            if then:
                then(q)

    def stir(self, now):
        """Something may be free: the waiting, best value for work first, until a few find nothing."""
        for queue in self.waiting.values():
            missed = 0
            for q in queue[:20]:
                if missed < 3 and self.place(q, now):
                    queue.remove(q)
                else:
                    missed += 1

    def release(self, run):
        if run.seen.runs.pop(run.sub, None) is not None:
            slot = run.seen.slots[run.group]
            slot.used[run.kind] -= 1
            run.seen.threads[run.group in self.quick] -= run.threads
            run.seen.granted -= run.grant
            slot.pool_used -= run.grant if run.kind == MAX else 0.0
            if run.group.is_load and run.q.tables:
                run.seen.held.pop(run.q.tables, None)

    def back(self, run, took, ending, cost, now):
        """Feedback: only finished queries beat the target; errors and time-outs are misses."""
        g, seen, slot, q = run.group, run.seen, run.seen.slots[run.group], run.q
        if ending == io.FULL:
            seen.full_ms = now
        if ending in io.NEVER_RAN or (ending == io.CANCELLED and run.called_off):
            return
        late = now - q.arrived_ms - target_of(q)
        if q.work_ms and ending in (io.FINISHED, io.TIMED_OUT):
            seen.stretch.add(now, took / ideal_of(q))
        if ending != io.FINISHED:
            late = max(late, target_of(q))
        elif q.work_ms:
            if q.tables:
                self.picker.learn(q, seen, took / ideal_of(q), now)
            if seen.stretch.count(now) >= 5:
                self.best = min(self.best or 1e9, seen.stretch.mean(now))
            slot.latency += (took - slot.latency) / 10 if slot.latency else took
            if cost and q.memory_mb:
                self.learn(g, cost[1] > run.grant, cost[1])
        slot.n, slot.late, slot.late_sq = slot.n + 1, slot.late + late, slot.late_sq + late * late
        slot.grants += run.grant
        slot.delay = max(0.0, -late) if slot.home else 0.0      # paper, 4.3.3
        slot.waiters += len(self.waiting[g]) / max(1, len(self.fleet))
        slot.running += slot.used[MAX] + slot.used[MIN]
        if slot.n >= 20:
            self.close(slot, seen, g, now)

    def learn(self, g, short, need):
        """The memory margin climbs on a spill and creeps down without one."""
        self.margin[g] = min(2.0, self.margin[g] * 1.03) if short else max(1.0, self.margin[g] * 0.997)
        self.needed[g] += (need - self.needed[g]) / 20 if self.needed[g] else need

    def close(self, slot, seen, g, now):
        """An interval ends: the paper's Figure 3 on a miss, the admission delay once the target is beaten."""
        n = max(1, slot.n)
        late, mean = slot.late / n, slot.grants / n
        band = sqrt(max(0.0, slot.late_sq / n - late * late))
        waiters, running = slot.waiters / n, slot.running / n
        pool, ours, full = slot.pool or 0.0, self.share * seen.engine.memory_mb, self.full_use(seen)
        unreserved = 0.9 * ours - sum(s.pool or 0.0 for s in seen.slots.values())       # a tenth is set aside
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
            if running < slot.maximum - 1:      # paper, 4.3.3: the limit is higher than what runs
                slot.maximum, slot.pool = slot.maximum - 1, max(mean, pool - mean)
        slot.open(now)


class Order:
    """Where order is kept, queries of one key go one at a time, and it rests after one that may run on."""

    def __init__(self, door, rest_ms, below):
        self.door, self.rest_ms, self.below, self.lines, self.free_ms = door, rest_ms, below, {}, {}

    def down(self, q):
        if not q.group.in_order or not q.key:
            return self.below(q)
        self.lines.setdefault(q.key, []).append(q)
        self.advance(q.key)

    def back(self, q, sub=None):
        """A query leaves its line once it is over and every submission of it has ended."""
        if q not in self.lines.get(q.key, ()):
            return
        if sub and sub.ending in (io.TIMED_OUT, io.RESET, io.CANCELLED):
            self.free_ms[q.key] = self.door.now_ms + self.rest_ms
        if q.over and all(s.ending is not None for s in q.submissions):
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
        self.door, self.licence, self.make, self.rules, self.fleet = door, licence, make, rules, {}
        self.guards = Guards(licence.most_submissions, rules, gateway.fronts)
        self.picker = Picker(gateway.seed, self.guards.warmth, self.fleet)
        self.slots = Slots(door, self.guards, self.picker, make, groups, gateway.fronts, self.finish)
        self.order = Order(door, rules.order_rest_ms, self.slots.down)
        quickest = min((g.target_ms for g in groups if g.target_ms), default=1000.0)
        self.beat, self.bucket = max(gateway.step_ms, quickest / 20), quickest / 2
        self.quiet_ms = 1.5 * make.note_every_ms or quickest    # unheard after a note's time and a half
        self.traffic = {t: Ring(quickest, 8) for t in tenants}
        self.ticked_ms = door.now_ms
        door.wake(door.now_ms + self.beat, self.tick)
        if gateway.list_on_request:
            door.watch_list()

    # from the front

    def list_news(self, engines, whole):
        now = self.door.now_ms
        for e in engines:
            seen = self.fleet.get(e)
            if seen is None:
                self.fleet[e] = Seen(e, now, self.bucket, (self.rules.cold_window_ms or 1000.0) / 8)
            elif e.started_ms and e.started_ms > seen.heard_ms:  # a new start: forget the old one
                seen.silent, seen.report, seen.heard_ms = False, None, now
        for e in list(self.fleet):
            if whole and e not in engines:
                e.state = io.WITHDRAWN
            if e.state == io.WITHDRAWN and not self.fleet[e].runs:
                del self.fleet[e]
        self.picker.ranks.clear()
        self.slots.stir(now)

    def list_failed(self):
        self.door.wake(self.door.now_ms + self.rules.must_ask_ms / 8, self.door.watch_list)

    def take(self, q):
        now = self.door.now_ms
        q.passed, q.over_share = False, self.beyond_share(q, now)
        self.guards.take(q, now)
        self.picker.threads += (q.group.threads - self.picker.threads) / 100
        self.door.wake(q.ends_ms, lambda: self.finish(q))
        self.order.down(q)

    def left(self, q):
        self.slots.unhold(q)
        self.order.back(q)

    def noted(self, sub, what, amount):
        now, run = self.door.now_ms, self.run_of(sub)
        if run is None:
            return
        q, run.heard_ms = run.q, now
        self.heard(run.seen, now)
        if what == io.SPILLS:
            self.slots.learn(run.group, True, run.grant + amount)
        elif what == io.WAITS:
            run.waited_ms += self.make.note_every_ms
            run.seen.short_ms = now if amount == 1 else run.seen.short_ms
            if amount == 2 and q.tables:        # a load of another gateway holds its tables there
                run.seen.held[q.tables] = now + 2 * self.make.note_every_ms
                self.move(run)
        elif what == io.PROGRESS and q.work_ms:
            rank = self.slots.rank(q, min(1.0, amount), run.seen.pace)
            if self.make.ranks and not q.over and rank != q.rank:
                q.rank = rank
                self.door.allot(q, run.grant, rank)
            pace = (now - sub.sent_ms - run.waited_ms) / max(amount, 0.002) / ideal_of(q)
            if pace > 4 * max(1.0, run.seen.pace or 1.0):       # far behind the estimate: a bad plan
                self.move(run)

    def answered(self, sub, took, cost, report):
        now, run, q, seen = self.door.now_ms, self.run_of(sub), sub.query, self.fleet.get(sub.engine)
        if seen is not None:
            self.reported(seen, report)
            if sub.ending in (io.FINISHED, io.ERROR, io.FULL):
                self.heard(seen, now)
            elif sub.ending in (io.NOT_CONNECTED, io.RESET):
                self.unheard(seen, now)
        if run is not None:
            self.slots.back(run, took, sub.ending, cost, now)
            if sub.ending in (io.TIMED_OUT, io.CANCELLED) and not self.licence.cancel:
                # Risk: where a time-out stops nothing, the work runs on uncounted; how long is not told.
                ran = now - sub.sent_ms
                left = max((seen.pace or 1.0) * ideal_of(q) - ran, ran)
                self.door.wake(now + left, lambda: self.slots.release(run))
            else:
                self.slots.release(run)
        self.order.back(q, sub)
        if not q.over:
            if now < q.ends_ms - self.beat and self.guards.may_submit(q, now):
                self.slots.down(q)
            else:
                self.finish(q)
        self.slots.stir(now)

    def probed(self, engine, ok, took, report):
        seen = self.fleet.get(engine)
        if seen and ok:
            self.reported(seen, report)
            self.heard(seen, self.door.now_ms)

    # inside

    def reported(self, seen, report):
        if report:
            seen.report, seen.report_ms = report, self.door.now_ms

    def run_of(self, sub):
        seen = self.fleet.get(sub.engine)
        return seen.runs.get(sub) if seen else None

    def beyond_share(self, q, now):
        """Whether a query counts beyond its tenant's share, by chance, of what this gateway takes."""
        if q.tenant is None:
            return False
        self.traffic[q.tenant].add(now, 1)
        mine = self.traffic[q.tenant].count(now)
        part = mine / max(1, sum(r.count(now) for r in self.traffic.values()))
        return mine > 10 and self.picker.chance() > q.tenant.share / part

    def finish(self, q):
        """The final answer of a query that did not finish; at the latest when its client's time is up."""
        if q.over:
            return
        self.slots.unhold(q)
        out = [s for s in q.submissions if s.ending is None]
        if out and self.licence.cancel:
            self.door.cancel(out[0])
        left = q.ends_ms - self.door.now_ms
        if left > 0 and self.guards.may_defer(q):
            self.door.defer(q, min(self.licence.longest_pause_ms, left / 10))
        else:
            self.door.kill(q)
        self.order.back(q)

    def move(self, run):
        """Cancel and submit again, where that is heeded and harmless."""
        q = run.q
        if (self.licence.cancel and run.group.effect == io.READ_ONLY and not run.called_off and not q.over
                and len(q.submissions) < self.licence.most_submissions and run.sub.ending is None):
            run.called_off = True
            self.door.cancel(run.sub)

    def heard(self, seen, now):
        seen.heard_ms = now
        if seen.silent:
            seen.silent = False
            self.door.log(f"engine {seen.engine.id} heard again")

    def unheard(self, seen, now):
        """No notes, time-outs, failed connects: one symptom. Nothing new goes there but trials."""
        if not seen.silent:
            seen.silent, seen.trial_ms = True, now + self.quiet_ms / 2
            self.door.log(f"engine {seen.engine.id} not heard from")
        for run in list(seen.runs.values()):
            self.move(run)

    def lost(self, run, now):
        """Risk: a query or its answer is lost on the way while its engine is heard. Not heard from: no note
        in a note's time and a half, or far past its expected runtime."""
        limit = max(4 * (run.seen.pace or 1.0) * ideal_of(run.q), run.group.target_ms / 2)
        return now - run.heard_ms > (min(limit, self.quiet_ms) if self.make.note_every_ms else limit)

    def tick(self):
        now = self.door.now_ms
        # Risk: a gateway that stood still itself takes every engine for silent.
        stood, self.ticked_ms = max(0.0, now - self.ticked_ms - 2 * self.beat), now
        self.picker.look(now)
        for seen in self.fleet.values():
            runs = list(seen.runs.values())
            seen.heard_ms += stood
            for run in runs:
                run.heard_ms += stood
                if self.lost(run, now):
                    self.move(run)
            if now - seen.heard_ms > self.quiet_ms and any(now - r.heard_ms > self.quiet_ms for r in runs):
                self.unheard(seen, now)
            wants = (self.make.reports == "probe" and now - seen.report_ms > self.bucket) or (
                seen.silent and now >= seen.trial_ms)
            if self.licence.probe and wants and seen.engine.state == io.LISTED:
                seen.report_ms, seen.trial_ms = now, now + self.bucket
                self.door.probe(seen.engine)
            for g, slot in seen.slots.items():
                if slot.n and now - slot.since > 4 * g.target_ms or now - slot.since > g.timeout_ms:
                    self.slots.close(slot, seen, g, now)        # silence too closes an interval
        self.slots.stir(now)
        self.door.wake(now + self.beat, self.tick)
