"""THE decision module: M&M admission control (Brown, Mehta, Carey, Livny, VLDB 1994) at one gateway.

How it is called: a front builds `Controller(door, ...)` with what it read at start and calls it as things
happen; it answers at once by calls on the door. Both sides are typed in interface.py; state.py keeps records.
A query goes down Duty -> Order -> Slots -> Picker -> Guards -> send, and what comes back goes up by Slots and
Order to Duty. "Departure": neither the paper's nor the design's; docs/design.md says when it acts."""
from bisect import insort
from itertools import chain, islice
from math import sqrt
from zlib import crc32

from lichenquay.admission import interface as io
from lichenquay.admission.rings import Ring
from lichenquay.admission.state import Run, Seen, Slot

MAX, MIN = "maximum", "minimum"
THREADS_A_CORE = 2.0            # the design's starting limit


def work_of(q):
    """The query's work over all threads: its estimate, else what its target runtime leaves room for."""
    return q.work_ms or q.group.target_ms * q.group.threads


def ideal_of(q):
    return work_of(q) / q.group.threads


def own_load(seen):
    """Our own load on an engine, in threads a core; granted memory counts like the threads that it serves."""
    return max(sum(seen.threads) / seen.cores, THREADS_A_CORE * seen.granted / seen.memory_mb)


class Guards:
    """What every submission passes: placement, drain, cold budget, submission budget, no duplicate effect."""

    def __init__(self, most_submissions, rules, fronts, number, groups):
        self.most, self.rules, self.fronts, self.number = most_submissions, rules, max(1, fronts), number
        self.query = sum(g.target_ms * g.threads for g in groups) / max(1, len(groups))     # work of one, by targets
        bucket = (rules.further_window_ms or 1.0) / 8
        self.further, self.taken = Ring(bucket, 9), Ring(bucket, 8)   # errs low
        self.usual = {}             # mean work of each group: a cold engine counts the usual work
        self.doubt_ms = 0.0         # until then the list of engines may be out of date: nothing is submitted

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
        if not q.submissions or q.over:
            return not q.over
        ended = io.NEVER_RAN if q.group.effect == io.MUTATING else io.ENDINGS
        if len(q.submissions) >= self.most or any(s.ending not in ended for s in q.submissions):
            return False
        free, part = self.rules.further_free, self.rules.further_share
        return free is None or self.further.total(now) + 1 <= free + part * self.taken.total(now)

    def allows(self, q, seen, now):
        e, g = seen.engine, q.group
        if e.state != io.LISTED or g.places and e.place not in g.places or g.kinds and e.kind not in g.kinds:
            return False
        ran = [s for s in q.submissions if s.ending not in io.NEVER_RAN] if g.effect == io.TOKENED else ()
        if any(now - s.sent_ms >= g.memory_window_ms - self.rules.answer_slack_ms
               or g.dedup == "zone" and s.engine.place != e.place
               or g.dedup == "cell" and s.engine.cell != e.cell for s in ran):
            return False                # sent again only where and while its repeat is dropped
        warmth = self.warmth(e, now)
        return warmth >= 1 or seen.cold_sent.total(now) + self.weight(q) <= self.cold_budget(e, warmth)

    def cold_budget(self, e, warmth):
        """Risk: all fronts push a cold engine over. Ours is one share of the budget, a fifth of it kept back.
        Departure: where one share stays below a query until the engine is warm, as many fronts as there is room
        for a query each share it, told by their numbers, and the others leave it alone. Risk: nobody uses it.
        One share more is left, for the next one that joins while the others' work still counts."""
        whole = 0.8 * self.rules.cold_multiple * self.rules.cold_window_ms * 0.85 * e.cores
        if self.number is None or whole >= self.fronts * self.query:
            return whole * warmth / self.fronts
        sharers = max(1, int(whole * warmth / self.query) - 1)
        return whole * warmth / (sharers + 1) if (crc32(e.id.encode()) + self.number) % self.fronts < sharers else 0.0

    def may_defer(self, q):         # a deferral says that trying again is harmless
        g = q.group
        return (g.effect == io.READ_ONLY or (g.effect == io.TOKENED and g.dedup == "all")
                or all(s.ending in io.NEVER_RAN for s in q.submissions))


class Picker:
    """Draws among engines, weighted against their reports; the unheard count average."""

    def __init__(self, seed, guards, fleet, bucket):
        self.seed, self.drawn, self.guards, self.fleet, self.bucket = seed, 0, guards, fleet, bucket
        self.threads, self.usual, self.homes = 1.0, None, {}        # a query's threads; the peers' usual pace
        self.used = self.average = self.faults = self.fresh_ms = 0.0   # the peers' use, load, errors; since
        self.heard_for, self.taken, self.since = 8 * bucket, Ring(8 * bucket, 4), None  # a report counts so long; traffic
        self.order, self.near = [], []      # the fleet, by chance but always alike; those drawn from first

    def chance(self):
        self.drawn += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn)) / 2 ** 32

    def homes_of(self, tables):
        """Departure: every gateway ranks the engines for a set of tables alike, by hash: its readers meet on
        the first two, which keep it warm, and its loads on the last two."""
        if tables not in self.homes:
            order = sorted(self.fleet.values(), key=lambda s: crc32(f"{tables}:{s.engine.id}".encode()))
            self.homes[tables] = order[:2], order[-2:]
        return self.homes[tables]

    def use(self, seen):
        """Reported utilisation, else held queries, disks, waiting ones; None: unheard, or long ago."""
        r = seen.report if seen.report_ms >= self.fresh_ms else None
        if not r or "cpu" in r:
            return r["cpu"] if r else None
        held = r.get("active", 0.0) * self.threads / THREADS_A_CORE / seen.cores
        return max(held, r.get("x1", 0.0), min(1.0, r.get("waiting", 0.0)))

    def fails(self, seen, now):
        """Departure: its errors stand out among its peers'. Risk: what fails at once draws ever more."""
        return seen.faults.total(now) >= 2 and seen.faults.mean(now) > self.faults + 0.25

    def load(self, seen):
        use = self.use(seen)
        if use is None:
            return self.average
        r, waiting = seen.report, seen.report.get("waiting", 0.0) / seen.cores
        return THREADS_A_CORE * use + (r.get("x1", 0.0) if "cpu" in r else 0.0) + waiting

    def weigh(self, seen, now):
        warmth = self.guards.warmth(seen.engine, now)
        weight = warmth / (0.3 + (self.load(seen) + own_load(seen)) / warmth) ** 3
        if self.usual and seen.pace:    # an engine slower than its peers; a slowdown of all blames none
            weight *= min(1.0, max(0.02, self.usual / seen.pace))
        seen.weight, seen.due_ms = weight, now + self.bucket
        return weight

    def gather(self, now):
        """Departure: where our traffic is too thin to hear of every engine for as long as a report counts, as many are
        drawn from first as it suffices for, by chance from the seed; the others where these have no room. Risk: each of
        many gateways chooses blindly, and opens a connection for every query."""
        if not self.order:
            self.order = sorted(self.fleet.values(), key=lambda s: crc32(f"{self.seed}:{s.engine.id}".encode()))
        count, span = self.taken.count(now), min(4 * self.heard_for, now - (self.since or now))
        often = max(4, round(count * self.heard_for / max(span, self.heard_for / 4)))   # heard of while a report counts
        fit = [s for s in self.order if s.engine.state == io.LISTED and not s.silent]
        warm = {s: self.guards.warmth(s.engine, now) for s in fit}
        self.near = list(islice((s for s in fit if warm[s] >= 1), often))
        self.near += [s for s in fit if warm[s] < 1 and self.guards.cold_budget(s.engine, warm[s])]

    def draw(self, q, now):
        """The engines one after the other, each drawn by weight among those left."""
        if len(self.near) >= len(self.fleet) / 2:
            return self.drawn_from(list(self.fleet.values()), q, now)
        return chain(self.drawn_from(list(self.near), q, now), self.others(q, now))

    def others(self, q, now):       # made only when it is come to
        yield from self.drawn_from([s for s in self.fleet.values() if s not in self.near], q, now)

    def drawn_from(self, left, q, now):
        """Weights are kept until an engine is heard of or used: ranking a large fleet anew costs more than it tells."""
        weights = [s.weight if s.due_ms > now else self.weigh(s, now) for s in left]
        for s in self.homes_of(q.tables)[q.group.is_load] if q.tables else ():
            if s in left:
                weights[left.index(s)] *= max(1.0, len(left) / 5)   # about a third goes home, in any fleet
        total = sum(weights)
        while left:
            mark, i = self.chance() * total, -1
            for i, w in enumerate(weights):
                mark -= w
                if mark < 0:
                    break
            yield left.pop(i)
            total -= weights.pop(i)

    def look(self, now):    # once in a while: engines' paces; the usual pace, errors and load among peers
        for s in self.fleet.values():
            s.pace = s.stretch.mean(now, s.pace) if s.stretch.at is not None else None
        paces = sorted(s.pace for s in self.fleet.values() if s.pace) or [None]
        faults = [0.0, *sorted(s.faults.mean(now, 0.0) for s in self.fleet.values())]
        self.usual, self.faults = paces[len(paces) // 2], faults[len(faults) // 2]
        self.fresh_ms = now - self.heard_for
        self.gather(now)
        heard = [(self.use(s), self.load(s)) for s in self.fleet.values() if self.use(s) is not None]
        self.used, self.average = (sum(x) / len(x) for x in zip(*heard or [(self.used, self.average)]))


class Slots:
    """M&M: a query takes a free maximum slot, else a minimum slot, else is held for a tenth of its time."""

    def __init__(self, door, guards, picker, make, groups, fronts, give_up):
        self.door, self.guards, self.picker, self.make, self.fleet = door, guards, picker, make, picker.fleet
        self.share, self.give_up = 1.0 / max(1, fronts), give_up
        self.waiting = {g: [] for g in groups}      # best value for work first
        self.margin, self.needed = dict.fromkeys(groups, 1.0), dict.fromkeys(groups, 0.0)   # of memory
        self.best, self.busy, self.pool = None, {}, {}      # best pace of an engine; those with runs of ours
        self.rest_ms = min((g.target_ms for g in groups), default=0.0) / 4  # after a full refusal
        self.told = Ring(max(100.0, 4 * self.rest_ms), 16)  # share of submissions told to wait for memory
        # Dashboards (no limit, default grant): one thread, no load, a shorter target than some other group.
        far = {g: g.target_ms + g.stretch * g.timeout_ms for g in groups}
        self.quick = {g for g in groups if g.threads == 1 and not g.is_load and far[g] < max(far.values())}

    def pooled(self, g):
        """Departure: where our share of an engine is below one query, the shares of all are pooled.
        Risk: each of many gateways sends every engine a query of every group."""
        cores = sum(s.cores for s in self.fleet.values()) / max(1, len(self.fleet))
        return g not in self.quick and THREADS_A_CORE * cores * self.share < g.threads

    def slot(self, seen, g, now):
        pooled = self.pooled(g)
        slots = self.pool if pooled else seen.slots
        if g not in slots:
            cores = sum(s.cores for s in (self.fleet.values() if pooled else [seen]))
            limit = cores * THREADS_A_CORE * self.share / g.threads
            slots[g] = Slot(limit, max(1, round(limit)), (MAX, MIN), slots, now)
        return slots[g]

    def full_use(self, seen):
        use = self.picker.use(seen)
        return (self.picker.used if use is None else use) >= 0.95

    def pressed(self, seen, g, now):
        """Slots bind only under engine pressure: latency well above best, a busy report or a full refusal."""
        return (self.full_use(seen) or now - seen.full_ms < g.target_ms or own_load(seen) > THREADS_A_CORE
                or bool(seen.pace and self.best and seen.pace > 2 * self.best))

    def pool_kind(self, q, now):
        """Under pressure of the fleet (a full mean report, or a third of our submissions told to wait for
        memory), pooled groups together keep to our share of its threads and memory, and to their slots."""
        threads, granted = sum(s.threads[0] for s in self.busy), sum(s.granted for s in self.busy)
        fleet = self.fleet.values()
        cores, memory = sum(s.cores for s in fleet), sum(s.memory_mb for s in fleet)
        fits = granted < 0.9 * memory * self.share
        if self.told.mean(now, 0.0) <= 1 / 3 and self.picker.used < 0.95:
            return MAX if fits or self.make.when_short != "swap" else None
        open_ = fits and threads < THREADS_A_CORE * cores * self.share
        return self.kind(q, next(iter(fleet)), now) if open_ else None

    def overdrawn(self, q, seen):   # with it our runs would pass our share of its memory, less a tenth
        want = seen.granted + (self.grant(q, seen) or q.memory_mb)
        return bool(seen.runs) and want > 0.9 * seen.memory_mb * self.share

    def room(self, q, seen, pressed, pooled):
        """Departure: all groups together keep to our share, under pressure of the threads, and always of the
        memory where too much of it slows all at once. Risk: a jam, in which nothing ends in time."""
        if self.make.when_short == "swap" and not pooled and self.overdrawn(q, seen):
            return False
        limit, quick = THREADS_A_CORE * seen.cores * self.share, q.group in self.quick
        if not quick:
            slots = (s.maximum * g.threads for g, s in seen.slots.items() if g not in self.quick)
            limit = max(0.75 * limit, sum(slots))
        return not pressed or not seen.threads[quick] or seen.threads[quick] + q.group.threads <= limit

    def spacing(self, slot, seen, g):
        """Below one query, admissions are spaced to match; and the admission delay, never with free cores."""
        gap = slot.latency / slot.limit - slot.latency if slot.limit < 1 and slot.maximum == 1 else 0.0
        acts = self.waiting[g] or (seen.report or {}).get("x0", 0.0) > 0.5
        return max(gap, slot.delay) if acts and self.full_use(seen) else gap

    def grant(self, q, seen):
        if not self.make.grants or q.group in self.quick:
            return 0.0
        want = q.memory_mb * self.margin[q.group] or self.needed[q.group]
        return min(want, self.make.most_grant * seen.engine.memory_mb)

    def free(self, q, seen, now, kind):
        """The kind of slot that is free for the query there, if any; given for a pooled group."""
        g, pressed = q.group, not kind and self.pressed(seen, q.group, now)
        short = now - seen.short_ms < self.make.note_every_ms and g not in self.quick
        if short or now - seen.full_ms < self.rest_ms or not self.room(q, seen, pressed, kind):
            return None
        return self.kind(q, seen, now) if pressed and g not in self.quick else kind or MAX

    def kind(self, q, seen, now):
        slot = self.slot(seen, q.group, now)
        if self.spacing(slot, seen, q.group) > now - slot.admitted_ms:
            return None
        fits = not slot.used[MAX] or slot.pool is None or slot.pool_used + self.grant(q, seen) <= slot.pool
        if fits and slot.used[MAX] < slot.maximum:
            return MAX
        return MIN if slot.used[MIN] < slot.minimum else None

    def behind(self, q, seen, now):
        """Departure: loads of one set of tables run one by one on an engine, all gateways' in one line.
        Risk: a line in which each ends late, and makes the next one late."""
        ahead = sum(ideal_of(r.q) for r in seen.runs.values() if r.group.is_load and r.q.tables == q.tables)
        need = (ahead / self.share + ideal_of(q)) * (seen.pace or 1.0)
        return q.tables and ahead and now + need > q.arrived_ms + q.target_ms

    def place(self, q, now, only=None):
        """To the first engine drawn with a free slot and nothing against it, else the least against it."""
        if not self.fleet or now < self.guards.doubt_ms or not self.guards.may_submit(q, now):
            return False
        best, least, hope, tried = None, None, bool(only), {s.engine for s in q.submissions}
        pooled = self.pooled(q.group) and self.pool_kind(q, now)
        if pooled is None:
            return False
        for s in (only,) if only else self.picker.draw(q, now):
            if not self.guards.allows(q, s, now) or q.group.is_load and self.behind(q, s, now):
                continue
            hope, kind = hope or not s.silent, self.free(q, s, now, pooled)
            # Where all are silent, one gets a trial now and then, by a read-only query.
            trial = q.group.effect == io.READ_ONLY and now >= s.trial_ms and not s.runs
            if kind and (trial or not s.silent):
                stands = q.tables and s.held.get(q.tables, 0.0) > now and (q.group.is_load or q.group.yields)
                fails, again = self.picker.fails(s, now), s.engine in tried
                against = (s.silent, fails, stands, again, kind == MIN, self.overdrawn(q, s))
                if best is None or against < least:
                    best, least = s, against
                if not any(against):
                    break
        if best is None or best.silent and hope:
            return False
        best.trial_ms = now + q.group.target_ms
        self.submit(q, best, MIN if least[4] else MAX, now)
        return True

    def submit(self, q, seen, kind, now):
        slot, grant = self.slot(seen, q.group, now), self.grant(q, seen) / (4 if kind == MIN else 1)
        if self.make.grants or self.make.ranks:
            q.rank = self.rank(q, 0.0, seen.pace)
            self.door.allot(q, grant, q.rank)
        sub = self.door.submit(q, seen.engine, q.ends_ms - now)
        run = seen.runs[sub] = Run(sub, seen, slot, kind, grant or q.memory_mb)
        slot.used[kind] += 1
        seen.due_ms, self.busy[seen] = 0.0, True
        seen.threads[q.group in self.quick] += q.group.threads
        seen.granted, slot.admitted_ms = seen.granted + run.grant, now
        slot.pool = slot.pool or grant * slot.maximum or None
        slot.pool_used += run.grant if kind == MAX else 0.0
        if q.group.is_load:
            seen.held[q.tables] = q.ends_ms
        self.guards.further.add(now, 1) if len(q.submissions) > 1 else None
        seen.cold_sent.add(now, self.guards.weight(q))

    def rank(self, q, done=0.0, pace=None):
        """Priority: dashboards first; then what makes its time only if helped; what is late last."""
        left, need = min(q.arrived_ms + q.target_ms, q.ends_ms) - self.door.now_ms, (1 - done) * ideal_of(q)
        tight = need < left < 1.2 * (pace or 1.0) * need
        return 0 if left <= 0 else 3 if q.group in self.quick else 2 if tight else 1

    def down(self, q):
        now = self.door.now_ms
        if not self.place(q, now):
            insort(self.waiting[q.group], q, key=lambda x: (x.over_share, work_of(x), x.id))
            enough = now + (q.ends_ms - q.arrived_ms) / 10
            self.door.wake(enough, lambda: q in self.waiting[q.group] and self.give_up(q))

    def stir(self, now, only=None):
        """Something may be free: a few of the waiting are tried, best value for work first."""
        for queue in self.waiting.values():
            for q in queue[:5]:
                if self.place(q, now, only):
                    queue.remove(q)

    def release(self, run):
        seen, slot = run.seen, run.slot
        if seen.runs.pop(run.sub, None):
            slot.used[run.kind] -= 1
            slot.pool_used -= run.grant if run.kind == MAX else 0.0
            seen.threads[run.group in self.quick] -= run.group.threads
            seen.granted, seen.due_ms = seen.granted - run.grant, 0.0
            seen.held.pop(run.q.tables if run.group.is_load else None, None)
            if not seen.runs:
                self.busy.pop(seen, None)

    def back(self, run, took, ending, cost, now):
        """Feedback: only finished queries beat the target; errors and time-outs are misses."""
        g, seen, slot, q = run.group, run.seen, run.slot, run.q
        seen.full_ms = now if ending == io.FULL else seen.full_ms
        if ending in io.NEVER_RAN or (ending == io.CANCELLED and run.called_off):
            return
        seen.faults.add(now, ending == io.ERROR)
        late, pace = now - q.arrived_ms - q.target_ms, took / (ideal_of(q) or 1.0)
        if q.work_ms and ending in (io.FINISHED, io.TIMED_OUT):
            seen.stretch.add(now, pace)
        if ending != io.FINISHED:
            late = max(late, q.target_ms)
        elif q.work_ms:
            if seen.stretch.count(now) >= 5:
                self.best = min(self.best or 1e9, seen.stretch.mean(now))
            slot.latency += (took - slot.latency) / 10 if slot.latency else took
            if cost and q.memory_mb:
                self.learn(g, cost[1] > run.grant, cost[1])
        slot.n, slot.late, slot.late_sq = slot.n + 1, slot.late + late, slot.late_sq + late * late
        slot.grants += run.grant
        slot.delay = max(0.0, -late) if slot.home else 0.0      # paper, 4.3.3
        slot.waiters += len(self.waiting[g]) / (1 if slot.peers is self.pool else max(1, len(self.fleet)))
        slot.running += slot.used[MAX] + slot.used[MIN]
        if slot.n >= 20:
            self.close(slot, seen, g, now)

    def learn(self, g, short, need):    # the memory margin climbs on a spill and creeps down without one
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
        unreserved = 0.9 * ours - sum(s.pool or 0.0 for s in slot.peers.values())       # a tenth is set aside
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
        self.guards = Guards(licence.most_submissions, rules, gateway.fronts, gateway.number, groups)
        quickest = min((g.target_ms for g in groups if g.target_ms), default=1000.0)
        self.step_ms, self.bucket = gateway.step_ms, quickest / 2
        self.beat = max(gateway.step_ms, quickest / 10)
        self.picker = Picker(gateway.seed, self.guards, self.fleet, self.bucket)
        self.slots = Slots(door, self.guards, self.picker, make, groups, gateway.fronts, self.finish)
        self.order = Order(door, rules.order_rest_ms, self.slots.down)
        self.quiet_ms = 1.5 * make.note_every_ms or quickest    # unheard after a note's time and a half
        self.traffic = {t: Ring(quickest, 8) for t in tenants}
        self.due_ms, self.look_ms, self.probes = None, 0.0, 0.0     # next beat (None: nothing to watch), look
        if gateway.list_on_request:
            door.watch_list()

    def list_news(self, engines, whole):
        now = self.door.now_ms
        for e in engines:
            seen = self.fleet.get(e)
            if seen is None:
                cold_sent = Ring(self.rules.cold_window_ms / 8 or 1.0, 9)
                self.fleet[e] = Seen(e, now, Ring(self.bucket, 8), cold_sent, Ring(2 * self.bucket, 8))
            elif e.started_ms and e.started_ms > seen.heard_ms:  # a new start: forget the old one
                seen.silent, seen.report, seen.heard_ms = False, None, now
        for e in list(self.fleet):
            e.state = io.WITHDRAWN if whole and e not in engines else e.state
            if e.state == io.WITHDRAWN and not self.fleet[e].runs:
                del self.fleet[e]
        self.picker.homes.clear()
        self.picker.order.clear()
        self.picker.gather(now)
        self.slots.stir(now)

    def list_doubted(self, most_ms):
        """Departure: what a front knew at its start says nothing of what was announced while it started, and that counts
        as told. Queries wait as for a slot until the list is confirmed; where it cannot be, the last one is in force."""
        self.guards.doubt_ms = self.door.now_ms + most_ms

    def list_confirmed(self):
        self.guards.doubt_ms = 0.0
        self.slots.stir(self.door.now_ms)

    def list_failed(self):
        self.door.wake(self.door.now_ms + self.rules.must_ask_ms / 8, self.door.watch_list)

    def take(self, q):
        now = self.door.now_ms
        q.passed, q.over_share = False, self.beyond_share(q, now)
        self.guards.take(q, now)
        self.picker.taken.add(now, 1)
        self.picker.since = self.picker.since or now
        self.picker.threads += (q.group.threads - self.picker.threads) / 100
        self.door.wake(q.ends_ms, lambda: self.finish(q))
        self.order.down(q)
        self.ask(now)
        self.watch(now)

    def left(self, q):
        self.call_off(q)
        self.order.back(q)

    def noted(self, sub, what, amount):
        now, q, seen = self.awake(), sub.query, self.fleet.get(sub.engine)
        run = seen.runs.get(sub) if seen else None
        if run is None:
            return
        if not run.noted and what != io.ALIVE and run.group not in self.slots.quick:
            self.slots.told.add(now, what == io.WAITS and amount == 1)
        run.heard_ms, run.noted = now, run.noted or what != io.ALIVE
        self.heard(seen, now)
        if what == io.SPILLS:
            self.slots.learn(run.group, True, run.grant + amount)
        elif what == io.WAITS:
            run.waits_ms = run.waits_ms or now
            seen.short_ms = now if amount == 1 else seen.short_ms
            if amount == 2:         # a load of another gateway holds its tables there
                seen.held[q.tables] = now + 2 * self.make.note_every_ms
                self.move(run)
        elif what == io.PROGRESS and q.work_ms and amount > 0:
            if run.waits_ms:
                run.waited_ms, run.waits_ms = run.waited_ms + now - run.waits_ms, None
            rank = self.slots.rank(q, min(1.0, amount), seen.pace)
            if self.make.ranks and not q.over and rank != q.rank:
                q.rank = rank
                self.door.allot(q, run.grant, rank)
            ran = now - sub.sent_ms - run.waited_ms
            pace = ran / max(amount, 0.002) / ideal_of(q)
            if ran >= self.make.note_every_ms and pace > 4 * max(1.0, seen.pace or 1.0):
                self.move(run)      # far behind the estimate: a bad plan

    def answered(self, sub, took, cost, report):
        now, q, seen = self.awake(), sub.query, self.fleet.get(sub.engine)
        run = seen.runs.get(sub) if seen else None
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
                left = max((seen.pace or 1.0) * ideal_of(q) - took, took)
                self.door.wake(now + left, lambda: self.slots.release(run))
            else:
                self.slots.release(run)
        self.order.back(q, sub)
        if not q.over:
            again = now < q.ends_ms - self.step_ms and self.guards.may_submit(q, now)
            (self.slots.down if again else self.finish)(q)
        self.slots.stir(now, seen)

    def probed(self, engine, ok, took, report):
        if ok and engine in self.fleet:
            self.reported(self.fleet[engine], report)
            self.heard(self.fleet[engine], self.door.now_ms)

    def ask(self, now):
        """Where reports must be asked for, one probe for three queries taken: the oldest report's engine."""
        self.probes = min(1.0, self.probes + 1 / 3)
        if self.make.reports == "probe" and self.licence.probe and self.probes >= 1 and self.fleet:
            seen = min(self.fleet.values(), key=lambda s: s.asked_ms + 1e9 * (s.engine.state != io.LISTED))
            if now - seen.asked_ms > self.bucket and seen.engine.state == io.LISTED:
                self.probes, seen.asked_ms = 0.0, now
                self.door.probe(seen.engine)

    def reported(self, seen, report):
        if report:
            seen.report, seen.report_ms, seen.due_ms = report, self.door.now_ms, 0.0

    def beyond_share(self, q, now):
        """Whether a query counts beyond its tenant's share, by chance, of what this gateway takes."""
        if q.tenant is None:
            return False
        self.traffic[q.tenant].add(now, 1)
        mine = self.traffic[q.tenant].count(now)
        all_of = sum(r.count(now) for r in self.traffic.values())
        return mine > 10 and self.picker.chance() > q.tenant.share * all_of / mine

    def finish(self, q):
        """The final answer of a query that did not finish; at the latest when its client's time is up."""
        left = q.ends_ms - self.door.now_ms
        if q.over:
            return
        self.call_off(q)
        if left > 0 and self.guards.may_defer(q):
            self.door.defer(q, min(self.licence.longest_pause_ms, left / 10))
        else:
            self.door.kill(q)
        self.order.back(q)

    def call_off(self, q):
        """Risk: what nobody waits for holds its engine's cores and memory to its end."""
        self.slots.waiting[q.group][:] = (x for x in self.slots.waiting[q.group] if x is not q)
        if self.licence.cancel and q.submissions and q.submissions[-1].ending is None:
            self.door.cancel(q.submissions[-1])

    def move(self, run):
        """Cancel and submit again, where that is heeded and harmless."""
        moves = run.group.effect == io.READ_ONLY and len(run.q.submissions) < self.licence.most_submissions
        if moves and self.licence.cancel and not (run.called_off or run.q.over or run.sub.ending):
            run.called_off = True
            self.door.cancel(run.sub)

    def heard(self, seen, now):
        seen.heard_ms, seen.silent = now, False

    def unheard(self, seen, now):
        """No notes, time-outs, failed connects: one symptom. Nothing new goes there but trials."""
        if not seen.silent:
            seen.silent, seen.trial_ms = True, now + self.quiet_ms / 2
            self.door.log(f"engine {seen.engine.id} not heard from")
        for run in list(seen.runs.values()):
            self.move(run)

    def lost(self, run, now):
        """Risk: a query or its answer is lost while its engine is heard. What waits gives no further note."""
        limit = max(4 * (run.seen.pace or 1.0) * ideal_of(run.q), run.group.target_ms / 2)
        limit = min(limit, self.quiet_ms) if self.make.note_every_ms else limit
        return now - run.heard_ms > limit and not run.waits_ms

    def awake(self):
        """Risk: a gateway that stood still itself takes every engine for silent, all its work for slow."""
        now = self.door.now_ms
        stood = now - (self.due_ms or now) - self.beat
        if stood > 0:
            self.due_ms = now
            for seen in self.fleet.values():
                seen.heard_ms += stood
                for run in seen.runs.values():
                    run.heard_ms, run.waited_ms = run.heard_ms + stood, run.waited_ms + stood
        return now

    def tick(self):
        now = self.awake()
        for seen in list(self.slots.busy):
            runs = list(seen.runs.values())
            for run in filter(lambda r: self.lost(r, now), runs):
                self.move(run)
            quiet = now - self.quiet_ms
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
        if self.due_ms is None:     # a beat follows while anything is out or waiting
            self.due_ms = now + self.beat
            self.door.wake(self.due_ms, self.tick)

    def look(self, now):            # once in a while, over the whole fleet: paces, intervals, trials
        self.picker.look(now)
        for i, seen in enumerate(self.fleet.values()):
            for g, slot in (*seen.slots.items(), *(() if i else self.slots.pool.items())):
                if slot.n and now - slot.since > 4 * g.target_ms or now - slot.since > g.timeout_ms:
                    self.slots.close(slot, seen, g, now)        # silence too closes an interval
            if seen.silent and now >= seen.trial_ms and self.licence.probe and seen.engine.state == io.LISTED:
                seen.trial_ms = now + self.bucket
                self.door.probe(seen.engine)
