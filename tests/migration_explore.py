"""Every interleaving of a small world, on the real coordinators: three replica groups, one session whose
replica group leaves, and in any order deliveries, records made, time, crashes and false takeovers, losses,
doubles, and a client that asks the same mutating query anywhere. States are compared, so that none is gone on
from twice; the search is whole where `whole` is True."""

import copyreg
import pickle
from functools import partial
from random import Random

from migration_group import AuditError, must

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.session import GONE, HELD
from lichenquay.migration.settings import Settings
from lichenquay.migration.state_machine import StateMachine
from lichenquay.migration.target_selection import Member

NAMES = "abc"
MUTATING = {
    "q": True,
    "r": True,
    "s": False,
}  # queries that clients ask; q was taken before the replica group leaves
SETTINGS = Settings(
    settle_ms=0.0,
    answer_ms=100.0,
    most_wait_ms=100.0,
    offers=2,
    freeze_ms=450.0,
    back_off_ms=100.0,
    period_ms=100.0,
)


def change_of(raw):
    return pb.Change.FromString(raw)


def bare(change):
    return change_of, (change.SerializeToString(),)


copyreg.pickle(pb.Change, bare)


class Group:
    def __init__(self, replica_group):
        self.replica_group, self.generation, self.holder, self.out = (
            replica_group,
            1,
            (replica_group, 1),
            None,
        )
        self.late = []  # ends in doubt that their writer has not been told
        self.audit, self.log = StateMachine(replica_group), []


class Seat:
    def __init__(self, world, replica_group, process):
        self.world, self.replica_group, self.me = world, replica_group, process

    @property
    def generation(self):
        return self.world.groups[self.replica_group].generation if self.holds(0) else 0

    def holds(self, now_ms):
        return self.world.groups[self.replica_group].holder == self.me

    def snapshot(self):
        return b"", list(self.world.groups[self.replica_group].log)

    def write(self, now_ms, record, done):
        group = self.world.groups[self.replica_group]
        if group.holder != self.me:
            return done(now_ms, False)
        assert group.out is None
        group.out = record, done


class Small:
    """`budget`: how often what may happen on the whole of a run."""

    def __init__(self, make=Coordinator, crashing=NAMES, **budget):
        self.crashing = crashing
        self.budget = {"crash": 2, "depose": 2, "lose": 1, "double": 1, "ask": 2, "tick": 5} | budget
        self.make, self.now, self.net, self.goes, self.lives = make, 0.0, [], [], dict.fromkeys(NAMES, 1)
        self.groups = {n: Group(n) for n in NAMES}
        self.coordinators = {}  # (process, replica group)
        for n in NAMES:
            self.seat(n, n)
        coordinator = self.coordinators["a", "a"]
        coordinator.open(0, "t", "s", self.nothing)
        self.made("a")
        self.id = next(iter(self.groups["a"].audit.sessions))
        self.ask("a", "a", "q")
        self.made("a")
        coordinator.mover.leave(0, rush=True)
        coordinator.tick(0)
        self.pump()

    def nothing(self, now_ms, answer):
        pass

    def seat(self, process, replica_group):
        coordinator = self.make(
            replica_group, Seat(self, replica_group, (process, self.lives[process])), SETTINGS
        )
        coordinator.mover.known([Member(n, 30_000) for n in NAMES])
        coordinator.checked, self.coordinators[process, replica_group] = -1, coordinator
        return coordinator

    def pump(self):
        for coordinator in self.coordinators.values():
            for to, message in coordinator.outbox:
                raw = message.SerializeToString(deterministic=True)
                if (to, raw) not in self.net:
                    self.net.append((to, raw))
            coordinator.outbox[:] = []
        self.check()

    # What may happen next.

    def actions(self):
        yield from (("deliver", i) for i in range(len(self.net)))
        for kind in ("lose", "double"):
            if self.budget[kind]:
                yield from ((kind, i) for i in range(len(self.net)))
        yield from (("made", n) for n, g in self.groups.items() if g.out)
        yield from (("elect", n) for n, g in self.groups.items() if g.holder is None)
        if self.budget["crash"]:
            for n in self.crashing:
                if any(p == n for p, _ in self.coordinators):
                    yield from (("crash", n, kept) for kept in self.ends([n]))
        if self.budget["depose"]:
            for n in self.crashing:
                g = self.groups[n]
                if g.holder:
                    yield from (("depose", n, kept) for kept in ((True, False) if g.out else (False,)))
        if self.budget["ask"]:
            yield from (("ask", *key, ref) for key in self.coordinators for ref in MUTATING)
        if self.budget["tick"]:
            yield ("tick",)

    def ends(self, names):
        out = any(g.out and g.holder and g.holder[0] in names for g in self.groups.values())
        return (True, False) if out else (False,)

    def act(self, action):
        kind, *what = action
        if kind in self.budget:
            self.budget[kind] -= 1
        getattr(self, kind)(*what)
        self.pump()

    def deliver(self, i):
        self._deliver(*self.net.pop(i))

    def _deliver(self, to, raw):
        for (process, replica_group), coordinator in list(self.coordinators.items()):
            if replica_group == to:
                coordinator.heard(self.now, ("x", 1), pb.Message.FromString(raw))

    def lose(self, i):
        self.net.pop(i)

    def double(self, i):
        self._deliver(*self.net[i])

    def made(self, replica_group):
        g = self.groups[replica_group]
        (record, done), g.out = g.out, None
        self.record(g, record)
        done(self.now, True)
        self.pump()

    def record(self, g, record):
        must(g.audit.apply(pb.Record.FromString(record)), "a record that was made before")
        g.audit.check()
        g.log.append(record)

    def crash(self, name, kept):
        for key in [k for k in self.coordinators if k[0] == name]:
            del self.coordinators[key]
        self.lives[name] += 1
        for g in self.groups.values():
            if g.holder and g.holder[0] == name:
                self.vacate(g, kept)
        self.seat(name, name)  # started anew at once; it holds nothing

    def depose(self, replica_group, kept):
        """The holder is alive, but slow: it loses the group and does not know it yet."""
        self.vacate(self.groups[replica_group], kept)

    def vacate(self, g, kept):
        out, g.out, g.holder = g.out, None, None
        if out:
            g.late.append(out[1])
            if kept:
                self.record(g, out[0])

    def elect(self, replica_group):
        """Whoever comes after the last holder, in a ring."""
        g = self.groups[replica_group]
        late, g.late = g.late, []
        for done in late:  # if its process has ended, to nobody
            done(self.now, None)
        g.generation += 1
        process = NAMES[(NAMES.index(replica_group) + g.generation - 1) % 3]
        g.holder = process, self.lives[process]
        coordinator = self.coordinators.get((process, replica_group)) or self.seat(process, replica_group)
        if process != replica_group or replica_group == "a":
            coordinator.mover.leave(self.now, rush=True)
        coordinator.tick(self.now)

    def ask(self, process, replica_group, ref):
        self.coordinators[process, replica_group].take(
            self.now,
            "t",
            self.id,
            ref,
            MUTATING[ref],
            "e",
            1000,
            partial(self.answered, process, replica_group, ref),
        )

    def answered(self, process, replica_group, ref, now_ms, answer):
        if answer.word == "go":
            g = self.groups[replica_group]
            must(
                g.holder == (process, self.lives[process]),
                f"{process} acts for {replica_group}, which it does not hold",
            )
            s = g.audit.sessions.get(self.id)
            must(s is not None and s.acted_for, f"{replica_group} acts for what is not its own")
            if not MUTATING[ref]:
                return
            must(ref in s.refs, "a mutating query goes before it is on record")
            must(ref not in self.goes, "a mutating query goes twice")
            self.goes.append(ref)
        elif answer.word == "attach":
            self.coordinators[process, replica_group].again(
                now_ms,
                "t",
                self.id,
                ref,
                "e",
                1000,
                partial(self.answered_again, process, replica_group, ref),
            )

    def answered_again(self, process, replica_group, ref, now_ms, answer):
        if answer.word == "go":
            self.answered(process, replica_group, ref, now_ms, answer)

    def tick(self):
        self.now += 100
        for key in list(self.coordinators):
            if self.coordinators[key].due_ms <= self.now:
                self.coordinators[key].tick(self.now)

    # What must hold.

    def check(self):
        known = [
            s for g in self.groups.values() for s in [g.audit.sessions.get(getattr(self, "id", ""))] if s
        ]
        acting = [s.generation for s in known if s.acted_for]
        must(len(acting) <= 1, "two owners")
        must(
            not known or not acting or acting[0] == max(s.generation for s in known),
            "an older generation acts",
        )
        must(not known or acting or any(s.state == GONE and not s.told for s in known), "lost: nobody has it")
        for (process, replica_group), coordinator in self.coordinators.items():
            g = self.groups[replica_group]
            if (
                coordinator.made
                and coordinator.group.holds(0)
                and coordinator.out is None
                and coordinator.made.no != coordinator.checked
            ):
                coordinator.checked = coordinator.made.no
                must(
                    coordinator.made.state() == g.audit.state(),
                    f"{process} has another state of {replica_group}",
                )

    def rests(self):
        """With no more faults, nobody leaving, all comes to one owner."""
        self.budget = dict.fromkeys(self.budget, 0)
        for _ in range(60):
            for n, g in self.groups.items():
                if g.holder is None:
                    self.elect(n)
                self.coordinators[g.holder[0], n].mover.stay(self.now)
            for _ in range(40):
                ready = [a for a in self.actions() if a[0] in ("deliver", "made")]
                if not ready:
                    break
                self.act(ready[0])
            self.act(("tick",))
            known = [s for g in self.groups.values() for s in [g.audit.sessions.get(self.id)] if s]
            if [s.state for s in known if s.acted_for] == [HELD] and all(
                s.told for s in known if s.state == GONE
            ):
                return
        raise AuditError("no owner")

    def print(self):
        """Two states with one print go on alike. A coordinator's state machines follow from the log, and what
        is out and pending."""
        coordinators = tuple(
            (
                key,
                d.generation,
                d.doubted,
                d.made and d.made.no,
                d.out and d.out[2],
                [c.SerializeToString() for c, _ in d.pending],
                d.mover.word,
                [(i, vars(t)) for i, t in d.mover.tries.items()],
                d.mover.telling,
                d.mover.reserved,
                d.mover.later,
                d.mover.due_ms,
            )
            for key, d in sorted(self.coordinators.items())
        )
        groups = tuple(
            (g.generation, g.holder, g.out and g.out[0], len(g.late), g.log) for g in self.groups.values()
        )
        return hash(
            repr(
                (coordinators, groups, sorted(self.net), sorted(self.goes), self.now, self.budget, self.lives)
            )
        )


def found(e, path):
    return f"{type(e).__name__}: {e}", path


def explore(make=Coordinator, most=10**9, rest_every=20, **budget):
    """All that can be reached: {'states', 'whole', 'rests', 'found': (what, actions) or None}."""
    first = Small(make, **budget)
    stack, seen, rests = [(pickle.dumps(first), ())], {first.print()}, 0
    while stack and len(seen) < most:
        raw, path = stack.pop()
        base = pickle.loads(raw)
        for action in list(base.actions()):
            world = pickle.loads(raw)
            try:
                world.act(action)
                mark = world.print()
                if mark in seen:
                    continue
                seen.add(mark)
                stack.append((pickle.dumps(world), (*path, action)))
                if len(seen) % rest_every == 0:
                    rests += 1
                    world.rests()
            except Exception as e:
                return {
                    "states": len(seen),
                    "whole": False,
                    "rests": rests,
                    "found": found(e, (*path, action)),
                }
    return {"states": len(seen), "whole": not stack, "rests": rests, "found": None}


def walks(make=Coordinator, seeds=range(100), steps=40, **budget):
    """Ways by chance through more than can be explored whole, each to its rest: (actions done, first found or
    None)."""
    done = 0
    for seed in seeds:
        random, path = Random(seed), ()
        try:
            world = Small(make, **budget)
            for _ in range(steps):
                actions = list(world.actions())
                if not actions:
                    break
                # A kind first: else the many ways to lose and to crash would hide all else.
                kind = random.choice(sorted({a[0] for a in actions}))
                path = *path, random.choice([a for a in actions if a[0] == kind])
                world.act(path[-1])
                done += 1
            world.rests()
        except Exception as e:
            return done, found(e, path)
    return done, None
