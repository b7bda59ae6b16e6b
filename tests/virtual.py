"""Parts of the one form (heard, tick, due_ms, outbox, store_requests, on_stored) in virtual time: every message, clock, disk
and pause in hand.

Times are milliseconds of true time; each process has a clock of its own with rate and offset. All chance comes from
one seed.
"""

import heapq
from random import Random

INF = float("inf")


class Process:
    """One name: its folder (`kept`), and the part that runs on it now (None: stopped)."""

    def __init__(self, name, rate, offset):
        self.name, self.rate, self.offset = name, rate, offset
        self.incarnation, self.kept, self.part = 0, {}, None
        self.paused_until = 0.0
        self.disk = "well"  # well | full | unsure (there, but said not to be) | slow
        self.disk_free = 0.0
        self.starts = 0  # of whatever was begun before the last stop nothing comes back
        self.tick_no = 0
        self.lost = 0  # times that its folder was

    def local(self, true_ms):
        return self.offset + self.rate * true_ms


class World:
    """make(process, local_ms) -> part. checks: called with the world after every step."""

    def __init__(self, names, make, seed=0, delay=(0.2, 8.0), loss=0.0, double=0.0, late=0.0, drift=0.05):
        self.rng, self.make, self.now = Random(seed), make, 0.0
        self.delay, self.loss, self.double, self.late = delay, loss, double, late
        self.cut, self.checks, self.heeds, self.steps, self.sent = set(), [], [], 0, 0
        self.slow = {}  # (from, to) -> ms more
        self.on_send = None  # (sender, name, message, deliver) -> True: taken care of
        self._heap, self._no = [], 0
        self.all = {
            n: Process(
                n,
                self.rng.choice([1 - drift, 1 + drift, self.rng.uniform(1 - drift, 1 + drift)]),
                self.rng.uniform(0, 1e6),
            )
            for n in names
        }

    # Events.

    def at(self, true_ms, what):
        self._no += 1
        heapq.heappush(self._heap, (max(true_ms, self.now), self._no, what))

    def run(self, until_ms, enough=None, most=500_000):
        """To a time, or until `enough()`; True where that came. Over `most` steps are a loop."""
        while self._heap and self._heap[0][0] <= until_ms:
            most -= 1
            assert most, f"no end of steps at {self.now}"
            self.now, _, what = heapq.heappop(self._heap)
            what()
            self.steps += 1
            for check in self.checks:
                check(self)
            if enough and enough():
                return True
        self.now = max(self.now, until_ms)
        return False

    # Processes.

    def start(self, name, folder=True):
        p = self.all[name]
        assert p.part is None
        if not folder:
            p.kept = {}
            p.lost += 1
        p.incarnation += 1
        p.starts += 1
        p.disk_free = p.paused_until = self.now
        p.part = self.make(p, p.local(self.now))
        self.pump(p)

    def kill(self, name):
        p = self.all[name]
        p.part = None
        p.starts += 1

    def pause(self, name, ms):
        self.all[name].paused_until = self.now + ms

    def call(self, name, what):
        """what(part, local_ms) now, if it runs and is not paused."""
        p = self.all[name]
        if p.part is not None and p.paused_until <= self.now:
            what(p.part, p.local(self.now))
            self.pump(p)

    def _in(self, p, starts, what):
        """Does something in a process unless it stopped since; after its pause, if it is paused."""
        if p.starts != starts:
            return
        if p.paused_until > self.now:
            self.at(p.paused_until, lambda: self._in(p, starts, what))
            return
        what(p.part, p.local(self.now))
        self.pump(p)

    def pump(self, p):
        part = p.part
        sent, part.outbox[:] = list(part.outbox), []
        for name, message in sent:
            self.send(p, name, message)
        stores, part.store_requests[:] = list(part.store_requests), []
        for number, changes in stores:
            self._store(p, number, changes)
        p.tick_no += 1
        if part.due_ms < INF:
            no, starts = p.tick_no, p.starts

            def tick():
                if p.tick_no == no:
                    self._in(p, starts, lambda part, local_ms: part.tick(local_ms))

            self.at((part.due_ms - p.offset) / p.rate + 1e-3, tick)

    # Messages.

    def send(self, p, name, message):
        self.sent += 1
        for heed in self.heeds:  # heed(process, to, message): checks of what is said
            heed(p, name, message)
        sender, data, kind = (p.name, p.incarnation), message.SerializeToString(), type(message)

        def deliver(to=name, data=data):
            q = self.all.get(to)
            if q is not None and q.part is not None:
                self._in(
                    q, q.starts, lambda part, local_ms: part.heard(local_ms, sender, kind.FromString(data))
                )

        if self.on_send and self.on_send(sender, name, message, deliver):
            return
        if (p.name, name) in self.cut or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.double)):
            late = self.rng.uniform(0, 5000) if self.rng.random() < self.late else 0
            self.at(
                self.now + self.rng.uniform(*self.delay) + late + self.slow.get((p.name, name), 0), deliver
            )

    # Disks.

    def _store(self, p, number, changes):
        how, starts = p.disk, p.starts
        takes = self.rng.uniform(3000, 6000) if how == "slow" else self.rng.uniform(0.1, 4)
        begun = p.disk_free = max(self.now, p.disk_free) + takes

        def write():
            if p.starts != starts or how == "full":
                return
            for key, value in changes.items():
                p.kept.pop(key, None) if value is None else p.kept.__setitem__(key, value)

        self.at(begun, write)
        ok = how in ("well", "slow")
        self.at(
            begun + self.rng.uniform(0, 1),
            lambda: self._in(p, starts, lambda part, ms: part.on_stored(ms, number, ok)),
        )
