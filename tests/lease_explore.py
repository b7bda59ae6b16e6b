"""All interleavings of a small group on the real decision code: breadth first, each state once.

A state is each process (as pickled), the folders, the messages under way, and what is left of the budget. From it:
any message under way comes (and with `doubles` stays under way too); a disk answers (well, or with `fails` not); with
`claims`, `writes`, `crashes` and `leaves` a process claims, writes, stops and starts with its folder, gives up; with
`steps` time goes on by `step` of a lease for all, at each one's rate, and what is due is done (renewals, asking
again). A message that never comes is a lost one: that needs no step; `cut` links (from, to) take nothing.
"""

import copyreg
import pickle
from collections import deque
from dataclasses import dataclass, replace

from lease_audit import QUICK, InvariantError, demand, fold, position_of, promise_of, split

from lichenquay.lease import lease_pb2
from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.lease_pb2 import Message
from lichenquay.lease.phases import Phase

RATES = {"a": 0.95, "b": 1.05, "c": 1.05}


def wire(kind, data):
    return getattr(lease_pb2, kind).FromString(data)


def bare(message):
    return wire, (type(message).__name__, message.SerializeToString())


for one in ("Promise", "Claim", "Whole", "Position"):
    copyreg.pickle(getattr(lease_pb2, one), bare)


class Counter:
    """Chance without chance: the n-th number drawn by a process in its incarnation."""

    def __init__(self, start):
        self.at = start

    def getrandbits(self, bits):
        self.at += 1
        return self.at

    def uniform(self, low, high):
        return low


class Node:
    """One process; what it tells is read and emptied after each step."""

    def __init__(self, kind, name, incarnation, now_ms, kept):
        self.said, self.incarnation = [], incarnation
        chance = Counter((ord(name) << 32) + (incarnation << 16))
        self.group = kind(
            "g",
            name,
            incarnation,
            "abc",
            chance,
            QUICK,
            now_ms,
            kept,
            is_new_disk=True,
            fold=fold,
            on_lease_event=self.told,
        )

    def told(self, now_ms, what):
        self.said.append((what, self.group.state))

    def done(self, now_ms, ok):
        self.said.append(("done", ok))


@dataclass(frozen=True)
class Budget:
    claims: tuple = ()  # who claims, in this order
    writes: int = 0
    crashes: int = 0
    steps: int = 0
    doubles: int = 0
    fails: int = 0
    leaves: int = 0
    step: float = 0.6
    cut: tuple = ()
    slow_disks: bool = False  # else a disk answers within the step


@dataclass(frozen=True)
class State:
    nodes: tuple  # of (name, pickled Node)
    kept: tuple  # of (name, sorted items)
    disks: tuple  # of (name, number, changes), under way
    net: frozenset  # of (sender, to, bytes)
    budget: Budget
    time: int = 0
    asked: int = 0
    made: tuple = ()

    def local(self, name):
        """A process's clock."""
        return self.time * self.budget.step * QUICK.lease_ms * RATES[name]


class Explorer:
    """kind: the class under test. explore() gives the number of states; InvariantError carries the way to it in `way`."""

    def __init__(self, budget, kind=LeaseGroup, begin=""):
        self.budget, self.kind, self.begin = budget, kind, begin
        self.memory, self._holds = {}, {}

    def start(self):
        nodes = {n: Node(self.kind, n, 1, 0.0, {}) for n in "abc"}
        s = State(
            tuple((n, pickled(nodes[n])) for n in "abc"),
            tuple((n, ()) for n in "abc"),
            (),
            frozenset(),
            self.budget,
        )
        for name in self.begin:
            # Before the exploration: it claims, and all goes well.
            s = self.act(replace(s, budget=Budget()), name, claim, claim)
            while s.net:
                m = min(s.net)
                s = self.act(
                    replace(s, net=s.net - {m}),
                    m[1],
                    m,
                    lambda n, now: n.group.heard(now, m[0], Message.FromString(m[2])),
                )
            demand(self.holds(dict(s.nodes)[name], 0), f"{name} does not hold")
        return replace(s, budget=self.budget)

    def explore(self, most):
        first = self.start()
        came, line, self.whole = {first: None}, deque([first]), True
        while line:
            if len(came) >= most:
                self.whole = False
                break
            state = line.popleft()
            for what, move in self.moves(state):
                try:
                    new = move()
                except InvariantError as fault:
                    fault.way = [*way(came, state), what]
                    raise
                if new is not None and new not in came:
                    came[new] = (state, what)
                    line.append(new)
        return len(came)

    def follow(self, names):
        """One way only: the moves of these names, of messages that of the latest round; what cannot be done is left
        out."""
        s, self.done = self.start(), []
        for name in names:
            moves = [(latest, move()) for what, move, latest in self.named(s) if what == name]
            new = max((m for m in moves if m[1] is not None), key=lambda m: m[0], default=(0, None))[1]
            if new is not None:
                s = new
                self.done.append(name)

    def named(self, s):
        numbers = [Message.FromString(m[2]).round.number for m in s.net]
        for at, (what, move) in enumerate(self.moves(s)):
            yield what, move, numbers[at] if at < len(numbers) and not s.budget.doubles else 0

    def moves(self, s):
        b = s.budget
        for m in s.net:
            sender, to, data = m
            text = f"{to} hears {Message.FromString(data).WhichOneof('body')} of {sender[0]}"

            def hear(n, now, m=m):
                n.group.heard(now, m[0], Message.FromString(m[2]))

            yield text, lambda m=m, hear=hear: self.act(replace(s, net=s.net - {m}), m[1], m, hear)
            if b.doubles:
                less = replace(s, budget=replace(b, doubles=b.doubles - 1))
                yield text + ", and it stays", lambda m=m, hear=hear, less=less: self.act(less, m[1], m, hear)
        for disk in s.disks:
            yield f"{disk[0]}'s disk", lambda d=disk: self.disk(s, d, True)
            if b.fails:
                yield (
                    f"{disk[0]}'s disk fails",
                    lambda d=disk: self.disk(replace(s, budget=replace(b, fails=b.fails - 1)), d, False),
                )
        if b.claims:
            less = replace(s, budget=replace(b, claims=b.claims[1:]))
            yield f"{b.claims[0]} claims", lambda: self.act(less, b.claims[0], claim, claim)
        if b.steps:
            yield "time", lambda: self.time(replace(s, budget=replace(b, steps=b.steps - 1), time=s.time + 1))
        for name in "abc":
            if b.crashes:
                less = replace(s, budget=replace(b, crashes=b.crashes - 1))
                yield f"{name} stops and starts", lambda n=name, less=less: self.crash(less, n)
            if b.writes:
                less = replace(s, budget=replace(b, writes=b.writes - 1), asked=s.asked + 1)
                yield f"{name} writes", lambda n=name, less=less: self.act(less, n, write, write)
            if b.leaves:
                less = replace(s, budget=replace(b, leaves=b.leaves - 1))
                yield f"{name} gives up", lambda n=name, less=less: self.act(less, n, leave, leave)

    def act(self, s, name, key, what):
        """One step of one process; the same step from the same state is taken from memory."""
        now = s.local(name)
        data = dict(s.nodes)[name]
        key = data, now, key
        if key not in self.memory:
            node = pickle.loads(data)
            self.memory[key] = None if what(node, now) is False else self.taken(name, node)
        return self.memory[key] and self.after(s, name, *self.memory[key])

    def taken(self, name, node):
        """(node pickled, messages, stores, told): taken out of the node."""
        group = node.group
        sent = frozenset(((name, node.incarnation), to, m.SerializeToString()) for to, m in group.outbox)
        disks, said = tuple((name, no, tuple(c.items())) for no, c in group.store_requests), node.said
        group.outbox, group.store_requests, node.said = [], [], []
        group.leadership.counts = dict.fromkeys(group.leadership.counts, 0)
        group.voter.counts = dict.fromkeys(group.voter.counts, 0)
        return pickled(node), sent, disks, said

    def after(self, s, name, node, sent, disks, said):
        made, kept = s.made, dict(dict(s.kept)[name])
        for _, _, data in sent:
            m = Message.FromString(data)
            if m.WhichOneof("body") == "grant":
                demand(
                    promise_of(kept) >= m.grant.generation,
                    f"{name} grants {m.grant.generation} before its disk has it",
                )
            elif m.WhichOneof("body") == "ack":
                at = m.ack.position.label, m.ack.position.index
                demand(position_of(kept) >= at, f"{name} answers for {at}, its disk has {position_of(kept)}")
        for what, it in said:
            if what == "done" and it is True:
                made += (s.asked,)
            if what == "holds":
                has = records(it)
                demand(
                    [r for r in has if r in made] == list(made), f"{name} holds with {has}, made is {made}"
                )
        nodes = tuple((n, node if n == name else p) for n, p in s.nodes)
        net = s.net | {m for m in sent if (m[0][0], m[1]) not in s.budget.cut}
        new = replace(s, nodes=nodes, net=net, disks=s.disks + disks, made=made)
        self.check(new)
        if disks and not s.budget.slow_disks:
            return self.disk(new, disks[-1], True)
        return new

    def disk(self, s, disk, ok):
        name, number, changes = disk
        kept = dict(s.kept)
        if ok:
            there = dict(kept[name])
            for key, value in changes:
                there.pop(key, None) if value is None else there.__setitem__(key, value)
            was, now = promise_of(dict(kept[name])), promise_of(there)
            demand(now >= was, f"{name}: generation {was}, then {now} on its disk")
            kept[name] = tuple(sorted(there.items()))
        s = replace(s, kept=tuple(kept.items()), disks=tuple(d for d in s.disks if d != disk))
        return self.act(s, name, (number, ok), lambda n, now: n.group.on_stored(now, number, ok))

    def crash(self, s, name):
        node = pickle.loads(dict(s.nodes)[name])
        now = s.local(name)
        new = Node(self.kind, name, node.incarnation + 1, now, dict(dict(s.kept)[name]))
        return self.after(
            replace(s, disks=tuple(d for d in s.disks if d[0] != name)), name, *self.taken(name, new)
        )

    def time(self, s):
        for name in "abc":
            s = self.act(s, name, tick, tick)
        return s

    def check(self, s):
        holders = [n for n, p in s.nodes if self.holds(p, s.local(n))]
        demand(len(holders) <= 1, f"two hold at once: {holders}")

    def holds(self, data, now):
        key = data, now
        if key not in self._holds:
            self._holds[key] = pickle.loads(data).group.holds(now)
        return self._holds[key]


def pickled(node):
    return pickle.dumps(node, 5)


def way(came, state):
    steps = []
    while came[state] is not None:
        state, what = came[state]
        steps.append(what)
    return steps[::-1]


def records(state):
    base, after = state
    return [int.from_bytes(r, "big") for r in [*split(base), *after]]


def claim(node, now):
    if node.group.leadership.phase is not Phase.IDLE:
        return False
    node.group.leadership.acquire(now)
    node.group._settle(now)


def tick(node, now):
    node.group.tick(now)


def write(node, now):
    if not node.group.holds(now):
        return False
    node.group.append(now, (1).to_bytes(8, "big"), node.done)


def leave(node, now):
    if not node.group.holds(now):
        return False
    node.group.release(now)
