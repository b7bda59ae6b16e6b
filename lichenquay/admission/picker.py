"""Which engines come first: a draw weighted by load, pace and warmth, among few where traffic is thin."""

from itertools import chain, islice
from zlib import crc32

from lichenquay.admission import interface as io
from lichenquay.admission.rings import Ring

THREADS_A_CORE = 2.0  # the design's starting limit


def own_load(seen):
    """Our own load on an engine, in threads a core; granted memory counts like the threads that it serves."""
    return max(sum(seen.threads) / seen.cores, THREADS_A_CORE * seen.granted / seen.memory_mb)


class Picker:
    """Draws among engines, weighted against their reports; the unheard count average."""

    def __init__(self, seed, guards, fleet, bucket):
        self.seed, self.drawn, self.guards, self.fleet, self.bucket = seed, 0, guards, fleet, bucket
        self.threads, self.usual, self.homes = 1.0, None, {}  # a query's threads; the peers' usual pace
        self.used = self.average = self.faults = self.fresh_ms = 0.0  # the peers' use, load, errors; since
        self.heard_for = 8 * bucket  # a report counts so long
        self.taken, self.since = Ring(8 * bucket, 4), None  # our traffic
        self.order, self.near = [], []  # the fleet, by chance but always alike; those drawn from first

    def chance(self):
        self.drawn += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn)) / 2**32

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
        if self.usual and seen.pace:  # an engine slower than its peers; a slowdown of all blames none
            weight *= min(1.0, max(0.02, self.usual / seen.pace))
        seen.weight, seen.due_ms = weight, now + self.bucket
        return weight

    def gather(self, now):
        """Departure: where our traffic is too thin to hear of every engine for as long as a report counts, as
        many are drawn from first as it suffices for, by chance from the seed; the others where these have no
        room. Risk: each of many gateways chooses blindly, and opens a connection for every query."""
        if not self.order:
            self.order = sorted(
                self.fleet.values(), key=lambda s: crc32(f"{self.seed}:{s.engine.id}".encode())
            )
        count, span = self.taken.count(now), min(4 * self.heard_for, now - (self.since or now))
        # As many as are heard of while a report counts.
        often = max(4, round(count * self.heard_for / max(span, self.heard_for / 4)))
        fit = [s for s in self.order if s.engine.state == io.LISTED and not s.silent]
        warm = {s: self.guards.warmth(s.engine, now) for s in fit}
        self.near = list(islice((s for s in fit if warm[s] >= 1), often))
        self.near += [s for s in fit if warm[s] < 1 and self.guards.cold_budget(s.engine, warm[s])]

    def draw(self, q, now):
        """The engines one after the other, each drawn by weight among those left."""
        if len(self.near) >= len(self.fleet) / 2:
            return self.drawn_from(list(self.fleet.values()), q, now)
        return chain(self.drawn_from(list(self.near), q, now), self.others(q, now))

    def others(self, q, now):  # made only when it is come to
        yield from self.drawn_from([s for s in self.fleet.values() if s not in self.near], q, now)

    def drawn_from(self, left, q, now):
        """Weights are kept until an engine is heard of or used: ranking a large fleet anew costs
        more than it tells."""
        weights = [s.weight if s.due_ms > now else self.weigh(s, now) for s in left]
        for s in self.homes_of(q.tables)[q.group.is_load] if q.tables else ():
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

    def look(self, now):  # once in a while: engines' paces; the usual pace, errors and load among peers
        for s in self.fleet.values():
            s.pace = s.stretch.mean(now, s.pace) if s.stretch.at is not None else None
        paces = sorted(s.pace for s in self.fleet.values() if s.pace) or [None]
        faults = [0.0, *sorted(s.faults.mean(now, 0.0) for s in self.fleet.values())]
        self.usual, self.faults = paces[len(paces) // 2], faults[len(faults) // 2]
        self.fresh_ms = now - self.heard_for
        self.gather(now)
        heard = [(self.use(s), self.load(s)) for s in self.fleet.values() if self.use(s) is not None]
        self.used, self.average = (sum(x) / len(x) for x in zip(*heard or [(self.used, self.average)]))
