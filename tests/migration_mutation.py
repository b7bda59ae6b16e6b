"""Mutation of one message at a time.

A scenario is recorded, then run again with one message lost, duplicated, delayed, swapped with the next,
misdelivered or changed. All audits of `migration_world` must hold, and it must reach a quiescent state.
"""

from google.protobuf.message import DecodeError
from migration_client import Client
from migration_world import World

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator

DELIVERY_MUTATIONS = ("lost", "duplicated", "delayed", "delayed past a restart", "swapped")
EDGE_VALUES = (0, 1, 2**31 - 1, 2**32 - 1, 2**63 - 1, 2**64 - 1)
TRUNCATION_STEP_BYTES = 7
FLIP_STEP_BITS = 13


def scenario(mutate=None, make_coordinator=Coordinator):
    """Runs the scenario and returns the quiescent world.

    f0 leaves and a target crashes; f2 leaves and crashes as a source; f1 leaves and cancels that.
    """
    world = World(7, 3, make_coordinator=make_coordinator)
    world.mutate = mutate
    for i in range(4):
        Client(world, f"{'abca'[i]}{i}", f"f{i % 3}", pause_ms=150)
    first, second, third = (world.processes[f"f{i}"] for i in range(3))
    world.run(600)
    world.leave("f0")
    run_until_sent(world, "handed")
    second.kill()
    world.run(900)
    second.start()
    world.run(3200)
    if first.up:
        first.kill()
    first.start()
    world.run(500)
    world.leave("f2")
    run_until_sent(world, "offer")
    world.run(75)
    third.kill()
    world.run(4200)
    third.start()
    world.run(500)
    world.leave("f1")
    run_until_sent(world, "offer")
    world.cancel_leaving("f1")
    world.run(200)
    world.mutate = None
    world.run_until_quiescent()
    return world


def run_until_sent(world, kind):
    """Runs until the next message of a kind is sent, for half a second at most."""
    known = len(world.sent_kinds)
    for _ in range(20):
        world.run(25)
        if kind in world.sent_kinds[known:]:
            return


class Mutation:
    """A `World.mutate` that changes one message; `mutated_kind` is the kind of that message."""

    def __init__(self, number, kind, replacement=None):
        """`kind`: of DELIVERY_MUTATIONS, 'to NAME', or 'changed'; `replacement`: for 'changed', the bytes."""
        self.number = number
        self.kind = kind
        self.replacement = replacement
        self.mutated_kind = None
        self._withheld = []

    def __call__(self, world, sent, copies):
        """Returns the copies to deliver of the message with the number `sent`."""
        if sent == self.number + 1 and self._withheld:
            copies = copies + [(to, raw, 6.0) for to, raw, _ in self._withheld]
        if sent != self.number:
            return copies
        self.mutated_kind = world.sent_kinds[-1]
        to, raw, delay_ms = copies[0]
        if self.kind == "lost":
            return []
        if self.kind == "duplicated":
            return [*copies, (to, raw, delay_ms + 40)]
        if self.kind == "delayed":
            return [(to, raw, delay_ms + 120)]
        if self.kind == "delayed past a restart":
            return [*copies, (to, raw, delay_ms + 5000)]
        if self.kind == "swapped":
            self._withheld = copies
            return []
        if self.kind == "changed":
            return [(to, self.replacement, delay_ms)]
        return [(self.kind.removeprefix("to "), raw, delay_ms)]


def scalar_fields(message, path=()):
    """Yields (path, value) of each scalar field that is set, in submessages too."""
    for field, value in message.ListFields():
        if field.message_type is None:
            yield (*path, field.name), value
        elif field.is_repeated:
            for i, one in enumerate(value):
                yield from scalar_fields(one, (*path, field.name, i))
        else:
            yield from scalar_fields(value, (*path, field.name))


def other_values(value):
    """Returns neighbouring values and edge values."""
    if isinstance(value, bool):
        return [not value]
    if isinstance(value, int):
        return sorted({value - 1, value + 1, *EDGE_VALUES} - {value})
    return [value[:-1], value + "x", ""] if value else ["x"]


def changed_messages(raw):
    """Yields (change, changed message) for changes of one field, truncations and flipped bits."""
    for path, value in scalar_fields(pb.Message.FromString(raw)):
        for other in other_values(value):
            message = pb.Message.FromString(raw)
            parent = message
            for step in path[:-1]:
                parent = parent[step] if isinstance(step, int) else getattr(parent, step)
            try:
                setattr(parent, path[-1], other)
            except (ValueError, TypeError):
                continue  # not a value of this field's type
            yield ".".join(map(str, path)), message.SerializeToString()
    for length in range(0, len(raw), TRUNCATION_STEP_BYTES):
        yield "truncated", raw[:length]
    for bit in range(0, 8 * len(raw), FLIP_STEP_BITS):
        flipped = bytearray(raw)
        flipped[bit // 8] ^= 1 << bit % 8
        yield "flipped", bytes(flipped)


def is_rejected(raw, changed_raw, coordinator):
    """Returns whether a changed message is ignored by its coordinator, like a lost one, or is equal."""
    try:
        message = pb.Message.FromString(changed_raw)
    except DecodeError:
        return True  # the host drops what it cannot decode
    if message == pb.Message.FromString(raw):
        return True
    before = coordinator.rejected_messages
    coordinator.on_message(0.0, ("x", 1), message)
    return coordinator.rejected_messages == before + 1
