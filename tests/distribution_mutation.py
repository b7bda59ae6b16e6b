"""Records one scenario in a small world, then repeats it with one message changed in one way.

The scenario: a publisher is elected and changes are accepted; a gateway and a relay restart, and need
snapshots as the history is short; the publisher is killed, and another change is accepted. With each changed
message the audit's invariants have to hold at each step, and at the end all accepted changes have to be in
force everywhere within `SETTLE_TIMEOUT_MS`.

Messages are not protected against forgery. A wrong `Follow.in_force` or `Follow.below` cannot be detected,
but only makes the coverage wrong until the next Follow. Delta, SnapshotOffer and Page carry a checksum, so
that a single wrong field is detected; the version and the digest of a Follow have to match each other.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from distribution_world import SETTINGS, World

from lichenquay.distribution import distribution_pb2 as pb

SETTLE_TIMEOUT_MS = 20_000.0
DELAY_MS = 0.6
MESSAGE_MUTATIONS = (
    "lost",
    "duplicated",
    "delayed past the next message",
    "delayed past the source timeout",
    "to another receiver",
    "lost with those that follow",
)
EDGE_VALUES = {
    "uint64": (0, 1, 2**32, 2**64 - 1),
    "fixed64": (0, 1, 2**64 - 1),
    "uint32": (0, 1, 2**32 - 1),
}
TYPE_NAMES = {4: "uint64", 6: "fixed64", 13: "uint32"}  # By protobuf's type number.
SETTINGS_WITH_SHORT_HISTORY = replace(SETTINGS, most_changes=6, delta_bytes=300)


class SentMessage(NamedTuple):
    """A message that was sent in the scenario."""

    sender: str
    receiver: str
    message: pb.Message


class Mutation(NamedTuple):
    """One change of one message.

    `deliveries(world, receiver, message)` returns [(receiver, delay in ms, message)] in its place.
    """

    name: str
    deliveries: Callable[[World, str, pb.Message], list]


class MessageField(NamedTuple):
    """A field of a message; `path` holds the names and indexes that lead to it."""

    path: tuple
    descriptor: Any
    value: Any


@dataclass
class MutationRun:
    """The result of a run over all messages."""

    message_count: int
    mutant_count: int = 0
    mutants_run: int = 0
    failures: list = field(default_factory=list)


def play_scenario(seed, number=None, mutation=None):
    """Plays the scenario with one message changed; returns the messages of distribution that were sent."""
    world = World(seed, zones=1, gateways=2, settings=SETTINGS_WITH_SHORT_HISTORY)
    sent = []

    def intercept(_number, sender, receiver, _layer, message):
        if not isinstance(message, pb.Message):
            return None
        sent.append(SentMessage(sender, receiver, message))
        if len(sent) - 1 != number:
            return None
        return mutation.deliveries(world, receiver, message)

    world.net.intercept = intercept
    world.settle(SETTLE_TIMEOUT_MS)
    for change in range(8):
        world.propose_until_accepted(
            {f"config/k{change % 5}": b"%d" % change + bytes(90), "engine/z0/e": b"%d" % change}
        )
        world.run(150)
    world.net.kill("f0-0")
    world.net.kill("r0b")
    world.propose_until_accepted({"config/k1": None, "config/k9": b"9"})
    world.net.start("f0-0")
    world.net.start("r0b")
    world.run(1500)
    world.net.kill(world.leader())
    world.propose_until_accepted({"config/last": b"1"})
    world.settle(SETTLE_TIMEOUT_MS)
    return sent


def mutations(message):
    """Yields all mutations of a message."""
    for name in MESSAGE_MUTATIONS:
        yield _message_mutation(name)
    kind = message.WhichOneof("kind")
    for message_field in fields_of(getattr(message, kind), (kind,)):
        for value in other_values(message_field):
            yield _field_mutation(message_field.path, value)


def fields_of(body, path):
    """Yields every field of a message, set or not; of its entries those of the first and the last."""
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
    """Returns values at the edges of a field's range and next to its current value."""
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
    """Returns the neighbours of an unsigned number and edge values of its type."""
    largest = 2 ** (32 if type_name.endswith("32") else 64) - 1
    candidates = {value - 1, value + 1, *EDGE_VALUES[type_name]} - {value}
    return sorted(number for number in candidates if 0 <= number <= largest)


def _field_mutation(path, value):
    def deliveries(_world, receiver, message):
        changed = pb.Message.FromString(message.SerializeToString())
        parent = changed
        for name in path[:-1]:
            parent = parent[name] if isinstance(name, int) else getattr(parent, name)
        if isinstance(value, list):
            del getattr(parent, path[-1])[:]
            getattr(parent, path[-1]).extend(value)
        else:
            setattr(parent, path[-1], value)
        return [(receiver, DELAY_MS, changed)]

    return Mutation(f"{'.'.join(map(str, path))} = {value!r:.40}", deliveries)


def _message_mutation(name):
    def deliveries(world, receiver, message):
        other = next(host for host in (*world.gateways, *world.relays) if host != receiver)
        if name == "lost with those that follow":
            senders = [host for host in world.net.hosts if host != receiver]
            world.net.between(senders, [receiver], cut=True)
            world.net.at(world.net.now_ms + 400, world.net.reset_links)
        by_name = {
            "duplicated": [(receiver, DELAY_MS, message), (receiver, 0.9, message)],
            "delayed past the next message": [(receiver, 1300.0, message)],
            "delayed past the source timeout": [(receiver, 4000.0, message)],
            "to another receiver": [(other, DELAY_MS, message)],
        }
        return by_name.get(name, [])

    return Mutation(name, deliveries)


def run_mutations(seed, is_selected):
    """Runs the mutants for which `is_selected(number)` is true and returns the result."""
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
