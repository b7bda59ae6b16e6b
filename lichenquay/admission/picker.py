"""Which engines come first: a draw weighted by load, pace and warmth, among few where traffic is thin."""

from itertools import islice
from random import Random
from zlib import crc32

from lichenquay.admission import domain
from lichenquay.admission.guards import placed, work_of
from lichenquay.admission.sliding_window import SlidingWindow
from lichenquay.admission.state import NUMBER, RANK, EngineSums

THREADS_A_CORE = 2.0  # the design's starting limit
OWN_PLACE = 2.0  # times as often as others, all else alike: a query that crosses places costs
MOST_HOMES = 4096  # sets of tables whose homes are remembered


def home_rank(tables):
    """The key that ranks engines for a set of tables, alike at every gateway."""
    return lambda seen: crc32(f"{tables}:{seen.engine.id}".encode())


def own_load(seen):
    """Our own load on an engine, in threads a core; granted memory counts like the threads that it serves."""
    return max(sum(seen.threads) / seen.cores, THREADS_A_CORE * seen.granted / seen.memory_mb)


class Picker:
    """Draws among engines, weighted against their reports; the unheard count average."""

    def __init__(self, gateway, guards, fleet, bucket, groups, capabilities):
        self.seed, self.drawn, self.guards, self.fleet, self.bucket = gateway.seed, 0, guards, fleet, bucket
        self.coin = Random(gateway.seed).random  # a chance that has nothing to do with the draw after it
        self.own_place, self.bound = gateway.zone, [g for g in groups if g.allowed_zones or g.allowed_kinds]
        self.work, self.bound_work, self.spare = 0.0, 0.0, 0.0  # mean work of a query; of bound groups' alone
        self.threads, self.usual, self.homes, self.swaps = (
            1.0,
            None,
            {},
            capabilities.memory_shortage == "swap",
        )
        self.used = self.average = self.faults = self.fresh_ms = 0.0  # the peers' use, load, errors; since
        self.heard_for = 8 * bucket  # a report counts so long
        self.taken, self.since = SlidingWindow(8 * bucket, 4), None  # our traffic
        self.sums, self.near = EngineSums(), []  # of the fleet, by chance but always alike; drawn from first
        self.cold, self.touched = {}, {}  # engines: not warm or not listed; that we used or heard of
        self.usable_cores = self.usable_mb = 1.0  # sums over the fleet of what new work can count on

    def take(self, q, now):
        work, self.since = work_of(q), self.since or now
        self.taken.add(now, 1)
        self.threads += (q.group.threads - self.threads) / 100
        self.work = (99 * (self.work or work) + work) / 100
        self.bound_work = (99 * (self.bound_work or work) + work * (q.group in self.bound)) / 100

    def chance(self):
        self.drawn += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn)) / 2**32

    def homes_of(self, tables):
        """Departure: every gateway ranks the engines for a set of tables alike, by hash: its readers meet on
        the first two, which keep it warm, and its loads on the last two."""
        if tables not in self.homes:
            if len(self.homes) >= MOST_HOMES:
                self.homes.clear()
            order = sorted(self.fleet.values(), key=home_rank(tables))
            self.homes[tables] = order[:2], order[-2:]
        return self.homes[tables]

    def joins(self, seen):
        """A new engine: what is ranked or summed takes it in without a pass over the fleet."""
        self.fleet[seen.engine] = seen
        seen.rank = crc32(f"{self.seed}:{seen.engine.id}".encode())
        seen.bound = any(placed(g, seen.engine) for g in self.bound)
        self.sums.add(seen)
        for tables, (first, last) in self.homes.items():
            rank = home_rank(tables)
            self.homes[tables] = sorted([*first, seen], key=rank)[:2], sorted([*last, seen], key=rank)[-2:]

    def leaves(self, seen):
        self.sums.remove(seen)
        self.cold.pop(seen, None)
        self.touched.pop(seen, None)
        for tables in [t for t, homes in self.homes.items() if any(seen in h for h in homes)]:
            del self.homes[tables]

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
        weight *= OWN_PLACE if seen.engine.zone == self.own_place else 1.0
        if self.usual and seen.pace:  # slower than its peers. Risk: one that swaps reports idle cores
            weight *= min(1.0, max(0.02, (self.usual / seen.pace) ** (1 + self.swaps)))
        seen.weight, seen.due_ms = weight, now + self.bucket
        return weight

    def gather(self, now):
        """Departure: where our traffic is too thin to hear of every engine while a report counts, as many are
        drawn from first as it suffices for (`often`), by chance from the seed; the others where these have no
        room. Risk: each of many gateways chooses blindly, and opens a connection for every query."""
        count, span = self.taken.count(now), min(4 * self.heard_for, now - (self.since or now))
        often = max(4, round(count * self.heard_for / max(span, self.heard_for / 4)))
        part = {s: self.guards.part(s.engine, now) for s in self.cold}
        self.cold = {s: True for s in self.cold if part[s] < 1}
        self.usable_cores = max(1.0, self.sums.cores - sum((1 - part[s]) * s.cores for s in self.cold))
        self.usable_mb = max(1.0, self.sums.memory_mb - sum(s.memory_mb for s in self.cold if not part[s]))
        fit = (
            s for s in self.sums.by_rank if s.engine.state == domain.EndpointState.SERVING and not s.silent
        )
        self.near = list(islice((s for s in fit if s not in self.cold), often))
        fit = (s for s in sorted(self.cold, key=RANK) if part[s] and not s.silent)
        self.near += [s for s in fit if self.guards.cold_budget(s.engine, part[s])]

    def draw(self, q, now):
        """The engines one after the other, each drawn by weight among those left. Departure: a bound group's
        engines are left to it, as far as the others are not full. Risk: it waits there, and others idle."""
        first = self.near if len(self.near) < len(self.fleet) / 2 else list(self.fleet.values())
        last = self.bound and q.group not in self.bound and self.coin() >= self.spare
        yield from self.drawn_from([s for s in first if not (last and s.bound)], q, now)
        near, fleet = set(first), self.fleet.values()  # come to only where `first` has no room
        yield from self.drawn_from([s for s in fleet if last and not s.bound and s not in near], q, now)
        yield from self.drawn_from([s for s in fleet if (s.bound if last else s not in near)], q, now)

    def drawn_from(self, left, q, now):
        """Weights are kept until an engine is heard of or used: ranking all anew costs more than it tells."""
        weights = [s.weight if s.due_ms > now else self.weigh(s, now) for s in left]
        for s in self.homes_of(q.table_group)[q.group.is_bulk_load] if q.table_group else ():
            if s in left:
                weights[left.index(s)] *= max(1.0, len(left) / 5)  # about a third goes home, in any fleet
        total = sum(weights)
        while left:
            mark, i = self.chance() * total, -1
            for i, w in enumerate(weights):
                mark -= w
                if mark < 0:
                    break
            yield left.pop(i)
            total -= weights.pop(i)

    def look(self, now):
        """Once in a while: paces, errors and load among peers. Gives engines used or heard of, in order."""
        touched = sorted(self.touched, key=NUMBER)
        for s in touched:
            s.pace = s.stretch.mean(now, s.pace) if s.stretch.at is not None else None
        paces = sorted(s.pace for s in touched if s.pace) or [None]
        faults = sorted(s.faults.mean(now, 0.0) for s in touched)
        middle = len(touched) - 1 - len(self.fleet) + (len(self.fleet) + 1) // 2  # all others: no errors
        self.usual, self.faults = paces[len(paces) // 2], faults[middle] if middle >= 0 else 0.0
        self.fresh_ms = now - self.heard_for
        self.gather(now)
        heard = [(use, self.load(s)) for s in touched if (use := self.use(s)) is not None]
        self.used, self.average = (sum(x) / len(x) for x in zip(*heard or [(self.used, self.average)]))
        full = [use >= 0.95 for s in touched if not s.bound and (use := self.use(s)) is not None] or [0.0]
        need = self.bound_work * self.sums.cores / (self.work * self.sums.bound_cores or 1.0)
        self.spare = max(0.0, 1 - need) * max(1 - need, sum(full) / len(full))  # need: of their engines
        return touched
