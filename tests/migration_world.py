"""Virtual time for `lichenquay.migration`: replica groups, the groups that keep their logs (in memory, as
`lease` promises it), processes that stop, pause and start, a network with every fault, engines and clients;
and an audit after every step that knows more than any process."""

from heapq import heappop, heappush
from random import Random

from migration_group import AuditError, Group, Seat, must

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.session import GONE, HELD
from lichenquay.migration.settings import Settings
from lichenquay.migration.target_selection import Member

STEP_MS, LEASE_MS, REST_MS = 25.0, 3500.0, 12_000.0


class Process:
    def __init__(self, world, name, rate):
        self.world, self.name, self.rate, self.life, self.up, self.paused = world, name, rate, 0, False, False
        self.coordinators, self.inbox, self.ends = {}, [], False

    @property
    def now_ms(self):
        return self.world.now * self.rate + 1000.0 * len(self.name)

    def start(self):
        self.life, self.up, self.paused, self.inbox, self.coordinators, self.ends = (
            self.life + 1,
            True,
            False,
            [],
            {},
            False,
        )
        self.coordinator(self.name)

    def coordinator(self, replica_group):
        if replica_group not in self.coordinators:
            coordinator = self.world.make(
                replica_group, Seat(self.world.groups[replica_group], self), self.world.settings
            )
            coordinator.checked, self.coordinators[replica_group] = -1, coordinator
        return self.coordinators[replica_group]

    def kill(self):
        self.up, self.coordinators, self.inbox = False, {}, []

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
            for coordinator in list(self.coordinators.values()):
                if self.now_ms >= coordinator.due_ms:
                    coordinator.tick(self.now_ms)
            self.pump()

    def pump(self):
        for coordinator in list(self.coordinators.values()):
            out, coordinator.outbox[:] = list(coordinator.outbox), []
            for to, message in out:
                self.world.send(self.name, to, message)


class World:
    def __init__(
        self, seed=0, replica_groups=3, make=Coordinator, settings=Settings(settle_ms=300.0, share=0.34)
    ):
        self.random, self.now, self.events, self.number = Random(seed), 0.0, [], 0
        self.make, self.settings = make, settings
        self.lose = self.double = self.late = self.false = 0.0
        self.cut, self.sent, self.mutate, self.kinds = set(), 0, None, []
        self.opened, self.dropped, self.submitted, self.refs, self.goes = {}, set(), {}, {}, 0
        self.runs, self.clients, self.moved, self.frozen_ms, self.freezes, self.new = {}, [], 0, {}, [], set()
        names = [f"f{i}" for i in range(replica_groups)]
        self.groups = {n: Group(self, n) for n in names}
        self.processes = {
            n: Process(self, n, 1 + 0.05 * (i / replica_groups - 0.5)) for i, n in enumerate(names)
        }
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
        """To all that may hold that replica group: who does is not known for sure."""
        for p in self.processes.values():
            if p.up and to in p.coordinators:
                coordinator = p.coordinators[to]
                p.call(lambda now_ms, d=coordinator: d.heard(now_ms, (frm, 1), pb.Message.FromString(raw)))

    # Who holds which replica group; members as known; what a host does.

    def govern(self):
        self.at(100, self.govern)
        for replica_group, g in self.groups.items():
            own = self.processes[replica_group]
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
                coordinator = p.coordinator(replica_group)
                if p is not own:
                    p.call(lambda now_ms, d=coordinator: d.mover.leave(now_ms, rush=True))
        self.tell_members()

    def yields(self, group, holder, own):
        coordinator = holder.coordinators.get(group.replica_group)
        if (
            holder is own
            and holder.ends
            and all(d.mover.empty for d in holder.coordinators.values() if d.made)
        ):
            holder.kill()
        elif (
            coordinator
            and holder is not own
            and own.up
            and not own.paused
            and not own.ends
            and coordinator.mover.empty
        ):
            group.elect(own)
            del holder.coordinators[group.replica_group]
        elif coordinator and holder is not own and not coordinator.mover.word:
            holder.call(lambda now_ms: coordinator.mover.leave(now_ms, rush=True))

    def tell_members(self):
        members = []
        for name, p in self.processes.items():
            coordinator = p.coordinators.get(name)
            room = coordinator.mover.free if coordinator and coordinator.made else 0
            alive = p.up and not p.paused
            members.append(
                Member(name, room, alive, coordinator.mover.word if coordinator else "", new=name in self.new)
            )
        for p in self.processes.values():
            mine = [m._replace(alive=m.alive != (self.random.random() < self.false)) for m in members]
            for coordinator in p.coordinators.values():
                coordinator.mover.known(mine, {"e1": "a", "e2": "b"})

    def leave(self, name):
        p = self.processes[name]
        p.ends = True
        p.call(lambda now_ms: p.coordinators[name].mover.leave(now_ms))

    def call_off(self, name):
        p = self.processes[name]
        p.ends = False
        p.call(lambda now_ms: p.coordinators[name].mover.stay(now_ms))

    # Engines.

    def submit(self, process, life, replica_group, tenant, id, ref, mutating):
        """The act itself. It comes some time after 'go'; a pause may lie between."""
        if process.life != life or not process.up:
            return
        self.submitted[ref] = self.submitted.get(ref, 0) + 1
        must(not mutating or self.submitted[ref] == 1, f"{ref} is submitted twice")
        self.runs[ref] = self.now + self.random.choice([30, 100, 400, 2500])
        self.poll(process, life, replica_group, tenant, id, ref)

    def poll(self, process, life, replica_group, tenant, id, ref):
        if process.life == life and process.up:
            if self.now >= self.runs[ref]:

                def end(now_ms):
                    if replica_group in process.coordinators:
                        process.coordinators[replica_group].ended(now_ms, tenant, id, ref, "done")

                process.call(end)
            else:
                self.at(100, lambda: self.poll(process, life, replica_group, tenant, id, ref))

    def go(self, process, replica_group, tenant, id, ref, mutating):
        """An act is allowed now: audited by what is on record."""
        group = self.groups[replica_group]
        must(
            group.holder == (process.name, process.life),
            f"{process.name} acts for {replica_group}, which it does not hold",
        )
        s = group.audit.sessions.get(id)
        must(s is not None and s.acted_for, f"{replica_group} acts for {id}, which is not its own")
        must(
            all(
                g is group or id not in g.audit.sessions or g.audit.sessions[id].generation < s.generation
                for g in self.groups.values()
            ),
            f"{replica_group} acts for {id} by an older generation",
        )
        must(not mutating or ref in s.refs, f"{ref} goes before it is on record")
        must(s.tenant == tenant, f"{id} is not of {tenant}")
        self.goes += 1
        life = process.life
        self.at(
            self.random.choice([0, 1, 15]),
            lambda: process.call(
                lambda now_ms: self.submit(process, life, replica_group, tenant, id, ref, mutating)
            ),
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
                self.freezes.append(self.now - self.frozen_ms[change.accepted.session.id])
        self.owners()

    def owners(self):
        for id in self.opened:
            acting = [
                (g.replica_group, s.generation)
                for g in self.groups.values()
                for s in [g.audit.sessions.get(id)]
                if s is not None and s.acted_for
            ]
            must(len(acting) <= 1, f"{id} has two owners: {acting}")
            there = [s.generation for g in self.groups.values() for s in [g.audit.sessions.get(id)] if s]
            must(id in self.dropped or there, f"{id} is lost")
            must(not acting or acting[0][1] == max(there), f"{id} is acted for by an older generation")

    def audit(self):
        for p in self.processes.values():
            for replica_group, coordinator in p.coordinators.items() if p.up and not p.paused else ():
                must(coordinator.trouble is None, coordinator.trouble)
                if (
                    coordinator.made
                    and coordinator.group.holds(0)
                    and coordinator.out is None
                    and coordinator.made.no != coordinator.checked
                ):
                    coordinator.checked = coordinator.made.no
                    must(
                        coordinator.made.state()
                        == self.groups[replica_group].states.get(coordinator.made.no),
                        f"{p.name}: another state",
                    )

    def rest(self):
        """No more faults: within REST_MS each session has one owner that acts, and no client waits."""
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
            except AuditError:
                if self.now >= until:
                    raise

    def rested(self):
        for id in self.opened:
            states = [s for g in self.groups.values() for s in [g.audit.sessions.get(id)] if s]
            must(
                id in self.dropped or [s.state for s in states if s.acted_for] == [HELD], f"{id} has no owner"
            )
            must(
                all(s.told for s in states if s.state == GONE), f"{id} was handed over and that is not known"
            )
        for c in self.clients:
            must(c.ref is None and c.id, f"{c.name} waits: {c.id} {c.ref} {c.replica_group} {c.last}")
