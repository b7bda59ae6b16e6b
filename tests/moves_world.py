"""Virtual time for `lichenquay.moves`: homes, the groups that keep their books (in memory, as `owner` promises it),
processes that stop, pause and start, a network with every fault, engines and clients; and an audit after every step
that knows more than any process."""

from heapq import heappop, heappush
from random import Random

from lichenquay.moves import moves_pb2 as pb
from lichenquay.moves.book import GONE, HELD, Book
from lichenquay.moves.choose import Member
from lichenquay.moves.desk import Desk
from lichenquay.moves.settings import Settings

STEP_MS, LEASE_MS, REST_MS = 25.0, 3500.0, 12_000.0


class Violation(AssertionError):
    pass


def must(holds, what):
    if not holds:
        raise Violation(what)


class Group:
    """One home's group: one holder at most, records in order, endings that are sometimes in doubt."""

    def __init__(self, world, home):
        self.world, self.home, self.generation, self.holder, self.out = world, home, 0, None, []
        self.audit, self.log, self.states = Book(home), [], {}
        self.states[0], self.empty_ms, self.doubt = self.audit.state(), None, 0.0

    def elect(self, process):
        """A new generation. Writes that are out are made or not before it reads; the old holder is not told."""
        out, self.out = self.out, []
        for write in out:
            self.end(write, None, self.world.random.random() < 0.5)
        self.generation, self.holder = self.generation + 1, (process.name, process.life)

    def write(self, seat, record, done):
        write = [seat, record, done]
        if (seat.name, seat.life) != self.holder:
            return done(self.world.processes[seat.name].now_ms, False)
        self.out.append(write)
        self.world.at(self.world.random.uniform(1, 30), lambda: self.ended(write))

    def ended(self, write):
        if write in self.out:
            doubt = self.world.random.random() < self.doubt
            self.out.remove(write)
            self.end(write, None if doubt else True, not doubt or self.world.random.random() < 0.5)
            if doubt:
                self.holder = None

    def end(self, write, ok, made):
        seat, record, done = write
        if made:
            record = pb.Record.FromString(record)
            must(self.audit.apply(record), "a record that was made before")
            self.audit.check()
            self.log.append(record.SerializeToString())
            self.states[self.audit.no] = self.audit.state()
            self.world.made(self, record)
        process = self.world.processes[seat.name]
        if process.life == seat.life:
            process.call(lambda now_ms: done(now_ms, ok))


class Seat:
    def __init__(self, group, process):
        self.group, self.name, self.life = group, process.name, process.life

    @property
    def generation(self):
        return self.group.generation if self.holds(0) else 0

    def holds(self, now_ms):
        return self.group.holder == (self.name, self.life)

    def snapshot(self):
        """A state, and records of which some are in it already."""
        at = max(0, len(self.group.log) - 7)
        return self.group.states[at], self.group.log[max(0, at - 2) :]

    def write(self, now_ms, record, done):
        self.group.write(self, record, done)


class Process:
    def __init__(self, world, name, rate):
        self.world, self.name, self.rate, self.life, self.up, self.paused = world, name, rate, 0, False, False
        self.desks, self.inbox, self.ends = {}, [], False

    @property
    def now_ms(self):
        return self.world.now * self.rate + 1000.0 * len(self.name)

    def start(self):
        self.life, self.up, self.paused, self.inbox, self.desks, self.ends = (
            self.life + 1,
            True,
            False,
            [],
            {},
            False,
        )
        self.desk(self.name)

    def desk(self, home):
        if home not in self.desks:
            desk = self.world.make(home, Seat(self.world.groups[home], self), self.world.settings)
            desk.checked, self.desks[home] = -1, desk
        return self.desks[home]

    def kill(self):
        self.up, self.desks, self.inbox = False, {}, []

    def resume(self):
        self.paused, inbox, self.inbox = False, self.inbox, []
        for what in inbox:
            self.call(what)

    def call(self, what):
        if self.up and self.paused:
            self.inbox.append(what)
        elif self.up:
            what(self.now_ms)
            self.pump()

    def step(self):
        if self.up and not self.paused:
            for desk in list(self.desks.values()):
                if self.now_ms >= desk.due_ms:
                    desk.tick(self.now_ms)
            self.pump()

    def pump(self):
        for desk in list(self.desks.values()):
            out, desk.outbox[:] = list(desk.outbox), []
            for to, message in out:
                self.world.send(self.name, to, message)


class World:
    def __init__(self, seed=0, homes=3, make=Desk, settings=Settings(settle_ms=300.0, share=0.34)):
        self.random, self.now, self.events, self.number = Random(seed), 0.0, [], 0
        self.make, self.settings = make, settings
        self.lose = self.double = self.late = self.false = 0.0
        self.cut, self.sent, self.mutate, self.kinds = set(), 0, None, []
        self.opened, self.dropped, self.submitted, self.refs, self.goes = {}, set(), {}, {}, 0
        self.runs, self.clients, self.moved, self.frozen_ms, self.freezes, self.new = {}, [], 0, {}, [], set()
        names = [f"f{i}" for i in range(homes)]
        self.groups = {n: Group(self, n) for n in names}
        self.processes = {n: Process(self, n, 1 + 0.05 * (i / homes - 0.5)) for i, n in enumerate(names)}
        for n, p in self.processes.items():
            p.start()
            self.groups[n].elect(p)
        self.at(10, self.govern)

    # Time and network.

    def at(self, after_ms, what):
        self.number += 1
        heappush(self.events, (self.now + after_ms, self.number, what))

    def run(self, for_ms):
        until = self.now + for_ms
        while self.now < until:
            step = self.now + STEP_MS
            while self.events and self.events[0][0] <= step:
                self.now = max(self.now, self.events[0][0])
                heappop(self.events)[2]()
                self.audit()
            self.now = step
            for p in self.processes.values():
                p.step()
            self.audit()

    def send(self, frm, to, message):
        self.sent += 1
        self.kinds.append(message.WhichOneof("body"))
        copies = [(to, message.SerializeToString(), 1 + 4 * self.random.random())]
        if self.mutate:
            copies = self.mutate(self, self.sent, copies)
        for to, raw, delay in copies:
            if (frm, to) in self.cut or self.random.random() < self.lose:
                continue
            for _ in range(1 + (self.random.random() < self.double)):
                more = self.random.expovariate(1 / 2000) if self.random.random() < self.late else 0.0
                self.at(delay + more, lambda to=to, raw=raw, frm=frm: self.deliver(frm, to, raw))

    def deliver(self, frm, to, raw):
        """To all that may hold that home's group: who does is not known for sure."""
        for p in self.processes.values():
            if p.up and to in p.desks:
                desk = p.desks[to]
                p.call(lambda now_ms, d=desk: d.heard(now_ms, (frm, 1), pb.Message.FromString(raw)))

    # Who holds which home; members as known; what a host does.

    def govern(self):
        self.at(100, self.govern)
        for home, g in self.groups.items():
            own = self.processes[home]
            holder = g.holder and self.processes[g.holder[0]]
            lives = holder and holder.up and not holder.paused and holder.life == g.holder[1]
            if lives:
                g.empty_ms = None
                self.yields(g, holder, own)
                continue
            g.empty_ms = self.now if g.empty_ms is None else g.empty_ms
            up = [p for p in self.processes.values() if p.up and not p.paused and not p.ends]
            if self.now >= g.empty_ms + LEASE_MS and up:
                p = own if own in up else self.random.choice(up)
                g.elect(p)
                g.empty_ms = None
                desk = p.desk(home)
                if p is not own:
                    p.call(lambda now_ms, d=desk: d.mover.leave(now_ms, rush=True))
        self.tell_members()

    def yields(self, group, holder, own):
        desk = holder.desks.get(group.home)
        if holder is own and holder.ends and all(d.mover.empty for d in holder.desks.values() if d.made):
            holder.kill()
        elif desk and holder is not own and own.up and not own.paused and not own.ends and desk.mover.empty:
            group.elect(own)
            del holder.desks[group.home]
        elif desk and holder is not own and not desk.mover.word:
            holder.call(lambda now_ms: desk.mover.leave(now_ms, rush=True))

    def tell_members(self):
        members = []
        for name, p in self.processes.items():
            desk = p.desks.get(name)
            room = desk.mover.free if desk and desk.made else 0
            alive = p.up and not p.paused
            members.append(Member(name, room, alive, desk.mover.word if desk else "", new=name in self.new))
        for p in self.processes.values():
            mine = [m._replace(alive=m.alive != (self.random.random() < self.false)) for m in members]
            for desk in p.desks.values():
                desk.mover.known(mine, {"e1": "a", "e2": "b"})

    def leave(self, name):
        p = self.processes[name]
        p.ends = True
        p.call(lambda now_ms: p.desks[name].mover.leave(now_ms))

    def call_off(self, name):
        p = self.processes[name]
        p.ends = False
        p.call(lambda now_ms: p.desks[name].mover.stay(now_ms))

    # Engines.

    def submit(self, process, life, home, tenant, id, ref, mutating):
        """The act itself. It comes some time after 'go'; a pause may lie between."""
        if process.life != life or not process.up:
            return
        self.submitted[ref] = self.submitted.get(ref, 0) + 1
        must(not mutating or self.submitted[ref] == 1, f"{ref} is submitted twice")
        self.runs[ref] = self.now + self.random.choice([30, 100, 400, 2500])
        self.poll(process, life, home, tenant, id, ref)

    def poll(self, process, life, home, tenant, id, ref):
        if process.life == life and process.up:
            if self.now >= self.runs[ref]:

                def end(now_ms):
                    if home in process.desks:
                        process.desks[home].ended(now_ms, tenant, id, ref, "done")

                process.call(end)
            else:
                self.at(100, lambda: self.poll(process, life, home, tenant, id, ref))

    def go(self, process, home, tenant, id, ref, mutating):
        """An act is allowed now: audited by what is on record."""
        group = self.groups[home]
        must(
            group.holder == (process.name, process.life),
            f"{process.name} acts for {home}, which it does not hold",
        )
        s = group.audit.sittings.get(id)
        must(s is not None and s.acted_for, f"{home} acts for {id}, which is not its own")
        must(
            all(
                g is group or id not in g.audit.sittings or g.audit.sittings[id].generation < s.generation
                for g in self.groups.values()
            ),
            f"{home} acts for {id} by an older generation",
        )
        must(not mutating or ref in s.refs, f"{ref} goes before it is on record")
        must(s.tenant == tenant, f"{id} is not of {tenant}")
        self.goes += 1
        life = process.life
        self.at(
            self.random.choice([0, 1, 15]),
            lambda: process.call(lambda now_ms: self.submit(process, life, home, tenant, id, ref, mutating)),
        )

    # The audit.

    def made(self, group, record):
        for change in record.changes:
            kind = change.WhichOneof("kind")
            if kind == "opened":
                self.opened[change.opened.id] = change.opened.tenant
            elif kind == "dropped":
                self.dropped.add(change.dropped.id)
            elif kind == "frozen":
                self.frozen_ms[change.frozen.id] = self.now
            elif kind == "accepted":
                self.moved += 1
                self.freezes.append(self.now - self.frozen_ms[change.accepted.sitting.id])
        self.owners()

    def owners(self):
        for id in self.opened:
            acting = [
                (g.home, s.generation)
                for g in self.groups.values()
                for s in [g.audit.sittings.get(id)]
                if s is not None and s.acted_for
            ]
            must(len(acting) <= 1, f"{id} has two owners: {acting}")
            there = [s.generation for g in self.groups.values() for s in [g.audit.sittings.get(id)] if s]
            must(id in self.dropped or there, f"{id} is lost")
            must(not acting or acting[0][1] == max(there), f"{id} is acted for by an older generation")

    def audit(self):
        for p in self.processes.values():
            for home, desk in p.desks.items() if p.up and not p.paused else ():
                must(desk.trouble is None, desk.trouble)
                if desk.made and desk.group.holds(0) and desk.out is None and desk.made.no != desk.checked:
                    desk.checked = desk.made.no
                    must(
                        desk.made.state() == self.groups[home].states.get(desk.made.no),
                        f"{p.name}: another book",
                    )

    def rest(self):
        """No more faults: within REST_MS each sitting has one owner that acts, and no client waits."""
        self.lose = self.double = self.late = self.false = 0.0
        self.cut, self.mutate = set(), None
        for g in self.groups.values():
            g.doubt = 0.0
        for p in self.processes.values():
            if not p.up:
                p.start()
            elif p.paused:
                p.resume()
            if p.ends:
                self.call_off(p.name)
        for c in self.clients:
            c.quiet = True
        until = self.now + REST_MS
        while True:
            self.run(500)
            try:
                return self.rested()
            except Violation:
                if self.now >= until:
                    raise

    def rested(self):
        for id in self.opened:
            states = [s for g in self.groups.values() for s in [g.audit.sittings.get(id)] if s]
            must(
                id in self.dropped or [s.state for s in states if s.acted_for] == [HELD], f"{id} has no owner"
            )
            must(
                all(s.told for s in states if s.state == GONE), f"{id} was handed over and that is not known"
            )
        for c in self.clients:
            must(c.ref is None and c.id, f"{c.name} waits: {c.id} {c.ref} {c.home} {c.last}")
