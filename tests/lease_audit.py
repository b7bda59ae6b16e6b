"""What must be true of a group after every step, whatever happens; and a world of such groups to try it on."""

from random import Random

from virtual import World

from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.lease_pb2 import Promise, State
from lichenquay.lease.phases import LeaseEvent
from lichenquay.lease.settings import LeaseSettings

QUICK = LeaseSettings(lease_ms=1000, heartbeat_ms=200, retry_ms=50, backoff_ms=100, max_records=8)
SIZE = 8  # of a record: its number


class InvariantError(AssertionError):
    """An invariant does not hold."""


def demand(true, what):
    if not true:
        raise InvariantError(what)


class Audit:
    """Knows all that was written, all answers, and every state that a holder was given."""

    def __init__(self):
        self.next, self.answers, self.made, self.never = 0, {}, [], set()
        self.promised, self.held, self.answered, self.taken = {}, [], {}, []

    def record(self, pad=0):
        self.next += 1
        self.answers[self.next] = []
        return self.next.to_bytes(SIZE, "big") + bytes(pad)

    def done(self, number, part, ok):
        self.answers[number].append(ok)
        demand(len(self.answers[number]) == 1, f"record {number}: answered twice, {self.answers[number]}")
        if ok is True:
            self.made.append(number)
            self.right(part, f"record {number} said to be made")
        elif ok is False:
            self.never.add(number)

    def right(self, part, when):
        """The holder's state: no record twice, none that was refused, all that were made and in that order."""
        base, records = part.state
        whole = [int.from_bytes(r[:SIZE], "big") for r in [*split(base), *records]]
        demand(len(set(whole)) == len(whole), f"{when}: a record twice in {whole}")
        demand(not self.never & set(whole), f"{when}: a refused record in {whole}")
        made = set(self.made)
        demand(
            [n for n in whole if n in made] == self.made,
            f"{when}: {whole} lacks some of {self.made} or their order",
        )
        return whole

    def on_lease_event(self, part, event, generation):
        """No generation is held twice, and each holder begins with what the one before had."""
        if event is LeaseEvent.HOLDS:
            demand(generation not in self.held, f"generation {generation} held twice")
            self.held.append(generation)
            whole = self.right(part, f"{part.name} holds {generation}")
            # What one holder began with, in doubt or not, is the beginning for all later ones.
            demand(
                whole[: len(self.taken)] == self.taken,
                f"{part.name} holds {generation} with {whole}, one before with {self.taken}",
            )
            self.taken = whole

    def step(self, processes, local):
        """processes: things with name, kept, part; local(process) its clock now."""
        holders = [
            (p.name, p.part.generation) for p in processes if p.part is not None and p.part.holds(local(p))
        ]
        demand(len(holders) <= 1, f"two hold at once: {holders}")
        for p in processes:
            is_, (lost, was) = promise_of(p.kept), self.promised.get(p.name, (0, 0))
            demand(is_ >= was or lost != p.lost, f"{p.name}: generation {was}, then {is_} on its disk")
            self.promised[p.name] = p.lost, is_
            if p.name in self.answered:
                has, said = position_of(p.kept), self._answered(p)
                demand(has >= said, f"{p.name} answered for {said}, its disk has {has}")

    def spoken(self, p, to, message):
        """What a voter says is on its disk first."""
        kind = message.WhichOneof("body")
        if kind == "grant":
            demand(
                promise_of(p.kept) >= message.grant.generation,
                f"{p.name} grants {message.grant.generation} before its disk has it",
            )
        if kind == "ack":
            said = message.ack.position.label, message.ack.position.index
            demand(
                position_of(p.kept) >= said,
                f"{p.name} answers for {said}, its disk has {position_of(p.kept)}",
            )
            self.answered[p.name] = p.lost, max(said, self._answered(p))

    def _answered(self, p):
        lost, said = self.answered.get(p.name, (0, (0, 0)))
        return said if lost == p.lost else (0, 0)


def promise_of(kept):
    return Promise.FromString(kept.get("promise", b"")).generation


def position_of(kept):
    position = State.FromString(kept.get("state", b"")).position
    return position.label, position.index


def fold(base, records):
    return base + b"".join(len(r).to_bytes(2, "big") + r for r in records)


def split(base):
    at = 0
    while at < len(base):
        size = int.from_bytes(base[at : at + 2], "big")
        yield base[at + 2 : at + 2 + size]
        at += 2 + size


def group_of(
    audit, name, incarnation, voters, now_ms, kept, seed=0, settings=QUICK, is_new_disk=False, kind=LeaseGroup
):
    made = []
    part = kind(
        "g",
        name,
        incarnation,
        voters,
        Random(f"{seed}/{name}/{incarnation}"),
        settings,
        now_ms,
        dict(kept),
        is_new_disk=is_new_disk,
        fold=fold,
        on_lease_event=lambda now, event: audit.on_lease_event(made[0], event, made[0].generation),
    )
    made.append(part)
    return part


def world_of(voters, seed=0, settings=QUICK, more=(), fresh=True, kind=LeaseGroup, **net):
    """(world, audit): processes that all want the group; `more` are no voters."""
    audit = Audit()

    def make(p, local_ms):
        part = group_of(
            audit,
            p.name,
            p.incarnation,
            voters,
            local_ms,
            p.kept,
            seed,
            settings,
            is_new_disk=fresh and not p.lost,
            kind=kind,
        )
        part.set_candidate(local_ms, True)
        return part

    world = World([*voters, *more], make, seed, **net)
    world.heeds.append(audit.spoken)
    world.checks.append(lambda w: audit.step(w.all.values(), lambda p: p.local(w.now)))
    return world, audit


def write(world, audit, name, pad=0):
    """One record by whoever thinks that it holds."""

    def what(part, local_ms):
        if part.holds(local_ms):
            record = audit.record(pad)
            number = audit.next
            part.append(local_ms, record, lambda now, ok: audit.done(number, part, ok))

    world.call(name, what)


def holder(world):
    return next(
        (p.name for p in world.all.values() if p.part is not None and p.part.holds(p.local(world.now))), None
    )
