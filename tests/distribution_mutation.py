"""One scenario on a small world, recorded; then run again for its messages, each changed in one way.

The scenario: a publisher is elected, changes, a gateway and a relay restart (a short history: snapshots), the
publisher is killed, changes. Required with each change of one message: the audit's invariants at each step,
and all that was accepted in force everywhere at the end, within `REST_MS`.

Fields whose neighbouring values no receiver can distinguish from the true one ('nobody forges messages') only
change figures: `Follow.in_force` and `Follow.below` in what is known of coverage until the next Follow. Those
of Delta, SnapshotOffer and Page carry a mark, so that a single wrong one is detected; Follow's version and
digest have to match each other.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from distribution_world import SETTINGS, World

from lichenquay.distribution import distribution_pb2 as pb

REST_MS = 20_000.0
DELAY_MS = 0.6
WHOLE_MESSAGE = (
    "lost",
    "doubled",
    "late past the next",
    "late past the source",
    "to another",
    "lost, and the next",
)
EDGES = {
    "uint64": (0, 1, 2**32, 2**64 - 1),
    "fixed64": (0, 1, 2**64 - 1),
    "uint32": (0, 1, 2**32 - 1),
}
TYPE_NAMES = {4: "uint64", 6: "fixed64", 13: "uint32"}  # By protobuf's numbers of types.
MUTATED = replace(SETTINGS, most_changes=6, delta_bytes=300)


class SentMessage(NamedTuple):
    """A message of the scenario."""

    sender: str
    receiver: str
    message: pb.Message


class Mutation(NamedTuple):
    """One change of one message: `deliveries` gives [(receiver, delay in ms, message)] in its place."""

    name: str
    deliveries: Callable[[World, str, pb.Message], list]


class MessageField(NamedTuple):
    """A field of a message, with the names and indexes that lead to it."""

    path: tuple
    descriptor: Any
    value: Any


@dataclass
class MutationRun:
    """What a run over all messages found."""

    message_count: int
    mutant_count: int = 0
    mutants_run: int = 0
    failures: list = field(default_factory=list)


def play_scenario(seed, number=None, mutation=None):
    """Runs it with the message of a number changed; returns the messages of distribution that were sent."""
    world = World(seed, zones=1, gateways=2, settings=MUTATED)
    sent = []

    def intercept(_number, sender, receiver, _layer, message):
        if not isinstance(message, pb.Message):
            return None
        sent.append(SentMessage(sender, receiver, message))
        if len(sent) - 1 != number:
            return None
        return mutation.deliveries(world, receiver, message)

    world.net.meddle = intercept
    world.settle(REST_MS)
    for change in range(8):
        world.accept({f"config/k{change % 5}": b"%d" % change + bytes(90), "engine/z0/e": b"%d" % change})
        world.run(150)
    world.net.kill("f0-0")
    world.net.kill("r0b")
    world.accept({"config/k1": None, "config/k9": b"9"})
    world.net.start("f0-0")
    world.net.start("r0b")
    world.run(1500)
    world.net.kill(world.leader())
    world.accept({"config/last": b"1"})
    world.settle(REST_MS)
    return sent


def mutations(message):
    """All mutations of a message."""
    for name in WHOLE_MESSAGE:
        yield _mutation_of_whole(name)
    kind = message.WhichOneof("kind")
    for message_field in fields_of(getattr(message, kind), (kind,)):
        for value in other_values(message_field):
            yield _mutation_of_field(message_field.path, value)


def fields_of(body, path):
    """Every field of a message, set or not; of a list of entries those of the first and the last."""
    for descriptor in body.DESCRIPTOR.fields:
        field_path = (*path, descriptor.name)
        value = getattr(body, descriptor.name)
        if descriptor.name == "entries":
            yield MessageField(field_path, descriptor, value)
            for index in sorted({0, len(value) - 1}) if value else ():
                yield from fields_of(value[index], (*field_path, index))
        elif descriptor.message_type:
            yield from fields_of(value, field_path)
        else:
            yield MessageField(field_path, descriptor, value)


def other_values(message_field):
    """Values at the edges of a field's range, and neighbours of the present one."""
    descriptor, value = message_field.descriptor, message_field.value
    if descriptor.name == "entries":
        added = pb.Entry(key="config/odd", value=b"1", version=1)
        entries = list(value)
        return [[], entries[:-1], entries + entries, [*entries, added]] if entries else [[added]]
    if descriptor.name == "prefixes":
        too_many = [str(number) for number in range(40)]
        return [[], ["odd/"], [*value, "config/k"], ["x" * 90], too_many]
    if descriptor.type == descriptor.TYPE_STRING:
        return ["", value + "x"]
    if descriptor.type == descriptor.TYPE_BYTES:
        return [b"", value + b"x"]
    if descriptor.type == descriptor.TYPE_BOOL:
        return [not value]
    if descriptor.type == descriptor.TYPE_DOUBLE:
        return [0.0, -1.0, value + 1, 1e300, float("nan"), float("inf")]
    return other_numbers(TYPE_NAMES[descriptor.type], value)


def other_numbers(type_name, value):
    """The neighbours of an unsigned number and the edges of its type."""
    largest = 2 ** (32 if type_name.endswith("32") else 64) - 1
    candidates = {value - 1, value + 1, *EDGES[type_name]} - {value}
    return sorted(number for number in candidates if 0 <= number <= largest)


def _mutation_of_field(path, value):
    def deliveries(_world, receiver, message):
        changed = pb.Message.FromString(message.SerializeToString())
        holder = changed
        for name in path[:-1]:
            holder = holder[name] if isinstance(name, int) else getattr(holder, name)
        if isinstance(value, list):
            del getattr(holder, path[-1])[:]
            getattr(holder, path[-1]).extend(value)
        else:
            setattr(holder, path[-1], value)
        return [(receiver, DELAY_MS, changed)]

    return Mutation(f"{'.'.join(map(str, path))} = {value!r:.40}", deliveries)


def _mutation_of_whole(name):
    def deliveries(world, receiver, message):
        other = next(host for host in (*world.gateways, *world.relays) if host != receiver)
        if name == "lost, and the next":
            senders = [host for host in world.net.hosts if host != receiver]
            world.net.between(senders, [receiver], cut=True)
            world.net.at(world.net.now_ms + 400, world.net.mend)
        by_name = {
            "doubled": [(receiver, DELAY_MS, message), (receiver, 0.9, message)],
            "late past the next": [(receiver, 1300.0, message)],
            "late past the source": [(receiver, 4000.0, message)],
            "to another": [(other, DELAY_MS, message)],
        }
        return by_name.get(name, [])

    return Mutation(name, deliveries)


def run_mutations(seed, is_selected):
    """Runs the mutants whose number is selected."""
    sent = play_scenario(seed)
    result = MutationRun(len(sent))
    for number, (sender, receiver, message) in enumerate(sent):
        for mutation in mutations(message):
            result.mutant_count += 1
            if not is_selected(result.mutant_count):
                continue
            result.mutants_run += 1
            try:
                play_scenario(seed, number, mutation)
            except AssertionError as failure:
                kind = message.WhichOneof("kind")
                where = f"{number}: {sender} to {receiver}, {kind}"
                result.failures.append((where, mutation.name, str(failure)[:300]))
    return result
