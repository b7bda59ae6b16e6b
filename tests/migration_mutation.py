"""Mutation of one message at a time: a scenario is recorded, then run again with one message lost, doubled,
late, swapped with the next, sent elsewhere or changed; every audit of `migration_world` holds, and it comes
to rest."""

from google.protobuf.message import DecodeError
from migration_client import Client
from migration_world import World

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator

KINDS = ("lost", "doubled", "late", "late past a life", "swapped")
EDGES = (0, 1, 2**31 - 1, 2**32 - 1, 2**63 - 1, 2**64 - 1)


def scenario(mutate=None, make=Coordinator):
    """f0 leaves and a taker crashes; f2 leaves and, as giver, crashes; f1 leaves and is called off."""
    world = World(7, 3, make=make)
    world.mutate = mutate
    for i in range(4):
        Client(world, f"{'abca'[i]}{i}", f"f{i % 3}", pause=150)
    f0, f1, f2 = (world.processes[f"f{i}"] for i in range(3))
    world.run(600)
    world.leave("f0")
    when(world, "handed")
    f1.kill()
    world.run(900)
    f1.start()
    world.run(3200)
    if f0.up:
        f0.kill()
    f0.start()
    world.run(500)
    world.leave("f2")
    when(world, "offer")
    world.run(75)
    f2.kill()
    world.run(4200)
    f2.start()
    world.run(500)
    world.leave("f1")
    when(world, "offer")
    world.call_off("f1")
    world.run(200)
    mutate, world.mutate = world.mutate, None
    world.rest()
    return world


def when(world, kind):
    """Until the next message of a kind is under way, for half a second at most."""
    known = len(world.kinds)
    for _ in range(20):
        world.run(25)
        if kind in world.kinds[known:]:
            return


def change(number, kind):
    """A `mutate` for that one message; `.hit` is the kind of message that it was."""
    kept = []

    def mutate(world, sent, copies):
        if sent == number + 1 and kept:
            copies = copies + [(to, raw, 6.0) for to, raw, _ in kept]
        if sent != number:
            return copies
        mutate.hit = world.kinds[-1]
        to, raw, delay = copies[0]
        if kind == "lost":
            return []
        if kind == "doubled":
            return copies + [(to, raw, delay + 40)]
        if kind == "late":
            return [(to, raw, delay + 120)]
        if kind == "late past a life":
            return copies + [(to, raw, delay + 5000)]
        if kind == "swapped":
            kept.extend(copies)
            return []
        if isinstance(kind, tuple):
            return [(to, kind[1], delay)]
        return [(kind[3:], raw, delay)] if kind.startswith("to ") else copies

    mutate.hit = None
    return mutate


def fields(message, path=()):
    """(path, value) of each plain field that is set, within others too."""
    for field, value in message.ListFields():
        if field.message_type is None:
            yield (*path, field.name), value
        elif field.is_repeated:
            for i, one in enumerate(value):
                yield from fields(one, (*path, field.name, i))
        else:
            yield from fields(value, (*path, field.name))


def others(value):
    if isinstance(value, bool):
        return [not value]
    if isinstance(value, int):
        return sorted({value - 1, value + 1, *EDGES} - {value})
    return [value[:-1], value + "x", ""] if value else ["x"]


def changed(raw):
    """All that one field's change, a cut or a flipped bit makes of a message."""
    for path, value in fields(pb.Message.FromString(raw)):
        for other in others(value):
            message = pb.Message.FromString(raw)
            at = message
            for step in path[:-1]:
                at = at[step] if isinstance(step, int) else getattr(at, step)
            try:
                setattr(at, path[-1], other)
            except (ValueError, TypeError):
                continue  # no such value in this field's type
            yield ".".join(map(str, path)), message.SerializeToString()
    for cut in range(0, len(raw), 7):
        yield "cut", raw[:cut]
    for bit in range(0, 8 * len(raw), 13):
        flipped = bytearray(raw)
        flipped[bit // 8] ^= 1 << bit % 8
        yield "flipped", bytes(flipped)


def rejected(raw, changed_raw, coordinator):
    """Whether a changed message counts for nothing at the coordinator that it came to (then it is one that
    was lost), or says the same as before."""
    try:
        message = pb.Message.FromString(changed_raw)
    except DecodeError:
        return True  # the host drops it
    if message == pb.Message.FromString(raw):
        return True
    before = coordinator.senseless
    coordinator.heard(0.0, ("x", 1), message)
    return coordinator.senseless == before + 1
