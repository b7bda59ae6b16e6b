"""Mutation of messages: a scenario is recorded once, then replayed for every mutation of every message.

The scenario: a process acquires the lease, appends, and restarts; another one acquires the lease; a folder is
lost and its log is fetched in chunks; the holder releases and another process takes over. Every process has
its own random numbers, so that a run differs only by its mutation.

Excluded are changes that no receiver can detect, as messages are assumed not to be forged:

- `Grant.whole` and `Grant.position` both of an older log: a changed position alone fails its digest.
- `Ack` of an append request with that request's number, its token, and a position that the leader knows: the
  leader has no other source for what is on the voter's disk.
- `Blank.birth` with the voter's own nonce: only the voter knows it.

No mutation of a single field produces any of these: a position has a digest of its parts and of the records,
and an append request and an acquire request have a random number that the reply must echo. So the mutations
cover every single field.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from google.protobuf.message import DecodeError
from invariants import InvariantError, require
from lease_audit import FAST_SETTINGS, append_record, holder_of, make_world

from lichenquay.lease.lease_pb2 import Message

NAMES = "abc"
UINT32_MAX = 2**32 - 1
UINT64_MAX = 2**64 - 1
DELAY_MS = 2.2  # of a mutated message; others take 2 to 2.5
DELAY_AFTER_NEXT_MS = 3


class Transfer(NamedTuple):
    """One message of the scenario, with the function that delivers it."""

    world: object
    sender: tuple  # (name, incarnation)
    to: str
    message: Message
    deliver: Callable
    held_back: list  # deliveries to make after the next message


class Mutation(NamedTuple):
    """A change to one message."""

    name: str
    apply: Callable


class Violation(NamedTuple):
    """An invariant violated by a mutation."""

    message: str
    mutation: str
    error: str


@dataclass
class MutationRun:
    """The numbers of messages and mutants, and the violations found."""

    messages: int
    mutants: int
    violations: list


def play_scenario(seed, mutated=None, apply=None):
    """Plays the scenario with the `mutated`-th message changed; returns the sent (sender, to, message).

    Raises InvariantError, also if no record is committed in time.
    """
    world, audit = make_world(NAMES, seed, delay_ms=(2, 2.5), drift=0.02)
    sent = []
    held_back = []

    def on_send(sender, to, message, deliver):
        number = len(sent)
        sent.append((sender, to, message))
        if held_back and number > mutated:
            world.at(world.now_ms + DELAY_AFTER_NEXT_MS, held_back.pop())
        if number == mutated:
            apply(Transfer(world, sender, to, message, deliver, held_back))
            return True
        return False

    world.on_send = on_send
    for name in NAMES:
        world.start(name)
    first = run_until_committed(world, audit)
    append_records(world, audit, 3, padding=500)
    world.kill(first)
    second = run_until_committed(world, audit)
    append_records(world, audit, 4)
    world.start(first)
    world.run(world.now_ms + FAST_SETTINGS.expiry_wait_ms)
    lost = next(name for name in NAMES if name not in (second, first))
    world.kill(lost)
    world.start(lost, has_folder=False)
    world.run(world.now_ms + 2 * FAST_SETTINGS.expiry_wait_ms)
    has_recovered = not world.processes[lost].group.voter.is_recovering
    require(has_recovered, f"{lost} has not recovered its log after its folder was lost")
    holder = holder_of(world) or run_until_committed(world, audit)
    world.call(holder, lambda group, local_ms: group.release(local_ms))
    run_until_committed(world, audit)
    append_records(world, audit, 2)
    return sent


def run_until_committed(world, audit, max_leases=8):
    """Runs until a record is committed, and returns the holder."""
    committed = len(audit.committed)
    until_ms = world.now_ms + max_leases * FAST_SETTINGS.lease_ms
    while len(audit.committed) == committed and world.now_ms < until_ms:
        for name in NAMES:
            append_record(world, audit, name)
        world.run(world.now_ms + 20)
    is_committed = len(audit.committed) > committed
    require(is_committed, f"no record committed within {max_leases} leases; held by {holder_of(world)}")
    return holder_of(world)


def append_records(world, audit, number, padding=0):
    """Appends records at the holder, 40 ms apart."""
    for _ in range(number):
        for name in NAMES:
            append_record(world, audit, name, padding)
        world.run(world.now_ms + 40)


def mutations_of(message):
    """Yields all mutations of a message."""
    yield from TRANSFER_MUTATIONS
    for path, field, value in fields_of(message):
        for other in other_values(field, value):
            yield Mutation(f"{'.'.join(path)} = {other!r:.40}", change_field(path, other))


def fields_of(message, path=()):
    """Yields (path, descriptor, value) of every field of a message, including unset ones."""
    for field in message.DESCRIPTOR.fields:
        if field.message_type and field.containing_oneof and message.WhichOneof("body") != field.name:
            continue
        if field.message_type:
            yield from fields_of(getattr(message, field.name), (*path, field.name))
        else:
            yield (*path, field.name), field, getattr(message, field.name)


def other_values(field, value):
    """Returns other values for a field."""
    if field.name == "records":
        if not value:
            return [[b"more"]]
        return [list(value)[:-1], list(value)[1:], [*value, b"more"], [*value, *value]]
    if field.type == field.TYPE_STRING:
        return ["", value + "x"]
    if field.type == field.TYPE_BYTES:
        return [b"", value + b"x", value[:-1]]
    if field.type == field.TYPE_DOUBLE:
        return [0.0, -1.0, value + 1, 1e300, float("nan"), float("inf")]
    edges = {
        field.TYPE_UINT64: (0, 1, UINT32_MAX + 1, UINT64_MAX),
        field.TYPE_FIXED64: (0, UINT64_MAX),
        field.TYPE_UINT32: (0, UINT32_MAX),
        field.TYPE_FIXED32: (0, UINT32_MAX),
    }[field.type]
    largest = UINT32_MAX if field.type in (field.TYPE_UINT32, field.TYPE_FIXED32) else UINT64_MAX
    candidates = {value - 1, value + 1, *edges}
    return sorted(other for other in candidates if 0 <= other <= largest and other != value)


def change_field(path, value):
    """Returns a mutation that changes one field."""

    def apply(transfer):
        changed = Message.FromString(transfer.message.SerializeToString())
        owner = changed
        for name in path[:-1]:
            owner = getattr(owner, name)
        if isinstance(value, list):
            del getattr(owner, path[-1])[:]
            getattr(owner, path[-1]).extend(value)
        else:
            setattr(owner, path[-1], value)
        data = changed.SerializeToString()
        transfer.world.at(transfer.world.now_ms + DELAY_MS, lambda: transfer.deliver(data=data))

    return apply


def lose(transfer):
    """Loses the message."""


def duplicate(transfer):
    """Delivers the message twice."""
    world = transfer.world
    world.at(world.now_ms + DELAY_MS, transfer.deliver)
    world.at(world.now_ms + DELAY_MS + 0.5, transfer.deliver)


def delay_past_next(transfer):
    """Delivers the message after the next heartbeat between the same processes."""
    world = transfer.world
    world.at(world.now_ms + FAST_SETTINGS.heartbeat_ms + 20, transfer.deliver)


def delay_past_incarnation(transfer):
    """Delivers the message after the end of these incarnations."""
    world = transfer.world
    world.at(world.now_ms + 2.5 * FAST_SETTINGS.expiry_wait_ms, transfer.deliver)


def swap_with_next(transfer):
    """Delivers the message after the next one."""
    transfer.held_back.append(transfer.deliver)


def misdeliver(transfer):
    """Delivers the message to another process."""
    world = transfer.world
    other = next(name for name in NAMES if name not in (transfer.to, transfer.sender[0]))
    world.at(world.now_ms + DELAY_MS, lambda: transfer.deliver(to=other))


def corrupt(is_truncated):
    """Returns a mutation that truncates the message or flips a bit, at every offset.

    The envelope's checksum detects this, so the message is lost; parsing must raise nothing but DecodeError.
    """

    def apply(transfer):
        data = transfer.message.SerializeToString()
        for offset in range(len(data)):
            flipped = data[:offset] + bytes([data[offset] ^ 0x10]) + data[offset + 1 :]
            try:
                Message.FromString(data[:offset] if is_truncated else flipped)
            except DecodeError:
                continue

    return apply


TRANSFER_MUTATIONS = (
    Mutation("lost", lose),
    Mutation("duplicated", duplicate),
    Mutation("delayed past the next heartbeat", delay_past_next),
    Mutation("delayed past the incarnation", delay_past_incarnation),
    Mutation("swapped with the next", swap_with_next),
    Mutation("delivered to another process", misdeliver),
    Mutation("truncated", corrupt(is_truncated=True)),
    Mutation("bit flipped", corrupt(is_truncated=False)),
)


def run_mutants(seed, is_chosen=None):
    """Plays the scenario once per mutation, or for the mutations with a true `is_chosen(number)`."""
    sent = play_scenario(seed)
    run = MutationRun(len(sent), 0, [])
    number = 0
    for index, (sender, to, message) in enumerate(sent):
        for mutation in mutations_of(message):
            number += 1
            if is_chosen and not is_chosen(number):
                continue
            run.mutants += 1
            try:
                play_scenario(seed, index, mutation.apply)
            except (InvariantError, AssertionError) as error:
                text = f"{index}: {sender[0]} to {to}, {message.WhichOneof('body')}"
                run.violations.append(Violation(text, mutation.name, str(error)))
    return run
