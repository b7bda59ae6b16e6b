"""What the controller keeps between calls: records alone. Every choice on them is a stage's."""

from bisect import bisect_left, insort
from math import inf
from operator import attrgetter

NUMBER, RANK = attrgetter("number"), attrgetter("rank")  # keys to sort engines by


class Held:
    """What all our attempts hold together."""

    def __init__(self):
        self.threads, self.granted = [0, 0], 0.0  # limited groups' and dashboards', MB


class EngineSums:
    """The engines on the list by rank, and sums over them, kept as they come and go: no pass over all."""

    def __init__(self):
        self.by_rank, self.joined = [], 0  # joined: engines so far
        self.cores = self.memory_mb = self.bound_cores = 0.0

    def add(self, seen):
        """An engine that came to the list."""
        self.joined += 1
        seen.number = self.joined
        insort(self.by_rank, seen, key=RANK)
        self._count(seen, 1)

    def remove(self, seen):
        """An engine that left it."""
        del self.by_rank[self.by_rank.index(seen, bisect_left(self.by_rank, seen.rank, key=RANK))]
        self._count(seen, -1)

    def _count(self, seen, sign):
        self.cores += sign * seen.cores
        self.memory_mb += sign * seen.memory_mb
        self.bound_cores += sign * seen.cores * seen.bound


class Run:
    """One attempt's hold on its engine: slot, memory and threads, until its work is over."""

    def __init__(self, attempt, seen, slot, kind, grant, pool_mb, quick):
        self.attempt, self.seen, self.slot, self.kind, self.grant = (
            attempt,
            seen,
            slot,
            kind,
            grant,
        )  # grant in MB
        self.q, self.group = attempt.query, attempt.query.group
        self.pool_mb, self.quick = pool_mb, quick  # of its slot's pool; whether a dashboard
        self.heard_ms, self.called_off, self.noted = attempt.sent_ms, False, False
        self.waits_ms, self.waited_ms = None, 0.0  # waiting since; waited before
        self.total_counts = True  # whether it is in the total of ours

    def begin(self, total, now):
        """It counts from now on: in its slot, on its engine, and in the total of ours."""
        self.slot.admitted_ms = now
        self._count(total, 1)

    def outlives(self, total):
        """Its time is up and its engine works on: it counts there, and not in the total of ours any more."""
        self._hold(total, -1)
        self.total_counts = False

    def end(self, total):
        """It counts no more."""
        self._count(total, -1)

    def _count(self, total, sign):
        self.slot.used[self.kind] += sign
        self.slot.pool_used += sign * self.pool_mb
        self._hold(self.seen, sign)
        if self.total_counts:
            self._hold(total, sign)

    def _hold(self, holder, sign):
        holder.threads[self.quick] += sign * self.group.threads
        holder.granted += sign * self.grant


class Slot:
    """M&M's state for one engine (or for all, pooled) and resource group (paper, 4.3)."""

    def __init__(self, maximum, kinds, peers, now):
        self.maximum, self.minimum, self.peers = maximum, 0, peers  # peers: by group
        self.pool, self.pool_used = None, 0.0  # MB; set from the first grant
        self.used = dict.fromkeys(kinds, 0)
        self.home, self.delay, self.admitted_ms, self.latency = False, 0.0, -inf, 0.0
        self.open(now)

    def open(self, now):
        """A new interval."""
        self.since, self.late, self.late_sq, self.n, self.grants = now, 0.0, 0.0, 0, 0.0
        self.waiters = self.running = 0.0


class Seen:
    """What this gateway knows of one engine, from its own traffic and the engine's reports alone."""

    def __init__(self, engine, now, stretch, cold_sent, faults):
        self.engine, self.cores, self.memory_mb = engine, engine.cores or 1.0, engine.memory_mb or 1.0
        self.runs, self.slots, self.held = {}, {}, {}  # held: tables that a load holds there, until when
        self.report, self.report_ms, self.asked_ms, self.heard_ms = None, -inf, -inf, now
        self.silent, self.trial_ms = False, -inf  # not heard from; when it may be tried again
        self.full_ms, self.short_ms = -inf, -inf  # it last refused; it was last short of memory
        self.stretch, self.pace = stretch, None  # ring of runtime over work per thread; its mean
        self.cold_sent, self.faults = cold_sent, faults  # rings: work sent to it; errors in answers
        self.threads, self.granted = [0, 0], 0.0  # of our runs: limited groups' and dashboards', MB
        self.weight, self.due_ms = 1.0, -inf  # in the draw; when it is weighed anew
        self.bound = False  # whether a group that is bound to some engines may use it
        self.number = self.rank = 0  # in the order of coming to the list; in the gateway's order by chance

    def heard(self, now):
        """Something came from there."""
        self.heard_ms, self.silent = now, False

    def shift(self, stood_ms):
        """This process stood still for so long: what it would have heard meanwhile counts as heard."""
        self.heard_ms += stood_ms
        for run in self.runs.values():
            run.heard_ms, run.waited_ms = run.heard_ms + stood_ms, run.waited_ms + stood_ms
