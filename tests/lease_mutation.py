"""One scenario on a group, recorded; then once more for every message in it and every mutation of that
message.

The scenario: a process acquires the lease and appends, stops and starts; another acquires it; a folder is
lost and its log comes back in chunks; the holder releases and another takes over. All chance is a
process's own, so that a run differs only by its mutation.

Left out are changes that no receiver can tell from truth (the assumption 'nobody forges messages'):

- `Grant.whole` and `Grant.position` lowered together: a position alone is found out by its digest; both as
  of an older log are not.
- `Ack` of an append request with that request's own number, token, and a position that the leader knows:
  the voter's word for its disk is all there is.
- `Blank.birth` as the voter's own nonce: it is the voter's own word.

No mutation of one field gives any of these: a position carries a digest of its parts and of the records,
an append request and an acquire request carry a random number that the reply must bring back. So every
single field is tried.
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
DELAY_MS = 2.2  # of a message that arrives changed; others take 2 to 2.5
BEHIND_NEXT_MS = 3


class Transfer(NamedTuple):
    """One message of the scenario, with what delivers it."""

    world: object
    sender: tuple  # (name, incarnation)
    to: str
    message: Message
    deliver: Callable
    held_back: list  # deliveries to be made behind the next message


class Mutation(NamedTuple):
    """A change of one message."""

    name: str
    apply: Callable


class Violation(NamedTuple):
    """What a mutation broke."""

    message: str
    mutation: str
    error: str


@dataclass
class MutationRun:
    """What was tried and what it broke."""

    messages: int
    mutants: int
    violations: list


def play_scenario(seed, mutated=None, apply=None):
    """Plays it with the `mutated`-th message changed; gives the messages sent, as (sender, to, message).

    Raises InvariantError, also where no record is committed in time.
    """
    world, audit = make_world(NAMES, seed, delay_ms=(2, 2.5), drift=0.02)
    sent = []
    held_back = []

    def on_send(sender, to, message, deliver):
        number = len(sent)
        sent.append((sender, to, message))
        if held_back and number > mutated:
            world.at(world.now_ms + BEHIND_NEXT_MS, held_back.pop())
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
    is_back = not world.processes[lost].group.voter.is_recovering
    require(is_back, f"{lost} has no log after its folder was lost")
    holder = holder_of(world) or run_until_committed(world, audit)
    world.call(holder, lambda group, local_ms: group.release(local_ms))
    run_until_committed(world, audit)
    append_records(world, audit, 2)
    return sent


def run_until_committed(world, audit, max_leases=8):
    """Until somebody holds and a record is committed; the holder."""
    committed = len(audit.committed)
    until_ms = world.now_ms + max_leases * FAST_SETTINGS.lease_ms
    while len(audit.committed) == committed and world.now_ms < until_ms:
        for name in NAMES:
            append_record(world, audit, name)
        world.run(world.now_ms + 20)
    is_committed = len(audit.committed) > committed
    require(is_committed, f"nothing committed after {max_leases} leases; held by {holder_of(world)}")
    return holder_of(world)


def append_records(world, audit, number, padding=0):
    """Records by whoever holds, 40 ms apart."""
    for _ in range(number):
        for name in NAMES:
            append_record(world, audit, name, padding)
        world.run(world.now_ms + 40)


def mutations_of(message):
    """All that can become of a message."""
    yield from TRANSFER_MUTATIONS
    for path, field, value in fields_of(message):
        for other in other_values(field, value):
            yield Mutation(f"{'.'.join(path)} = {other!r:.40}", change_field(path, other))


def fields_of(message, path=()):
    """(path, descriptor, value) of every field of a message, also of those that are not set."""
    for field in message.DESCRIPTOR.fields:
        if field.message_type and field.containing_oneof and message.WhichOneof("body") != field.name:
            continue
        if field.message_type:
            yield from fields_of(getattr(message, field.name), (*path, field.name))
        else:
            yield (*path, field.name), field, getattr(message, field.name)


def other_values(field, value):
    """Values that a field may have instead."""
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
    """Delivers a message with one field changed."""

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
    """It never arrives."""


def double(transfer):
    """It arrives twice."""
    world = transfer.world
    world.at(world.now_ms + DELAY_MS, transfer.deliver)
    world.at(world.now_ms + DELAY_MS + 0.5, transfer.deliver)


def delay_past_next(transfer):
    """It arrives behind the next heartbeat of the same two."""
    world = transfer.world
    world.at(world.now_ms + FAST_SETTINGS.heartbeat_ms + 20, transfer.deliver)


def delay_past_incarnation(transfer):
    """It arrives behind all that these incarnations do."""
    world = transfer.world
    world.at(world.now_ms + 2.5 * FAST_SETTINGS.expiry_wait_ms, transfer.deliver)


def swap_with_next(transfer):
    """It arrives behind the next message."""
    transfer.held_back.append(transfer.deliver)


def misdeliver(transfer):
    """It arrives at another process."""
    world = transfer.world
    other = next(name for name in NAMES if name not in (transfer.to, transfer.sender[0]))
    world.at(world.now_ms + DELAY_MS, lambda: transfer.deliver(to=other))


def damage(cut_off):
    """The envelope's checksum finds it, so it is lost; reading it must raise nothing but DecodeError."""

    def apply(transfer):
        data = transfer.message.SerializeToString()
        for offset in range(len(data)):
            flipped = data[:offset] + bytes([data[offset] ^ 0x10]) + data[offset + 1 :]
            try:
                Message.FromString(data[:offset] if cut_off else flipped)
            except DecodeError:
                continue

    return apply


TRANSFER_MUTATIONS = (
    Mutation("lost", lose),
    Mutation("doubled", double),
    Mutation("late past the next", delay_past_next),
    Mutation("late past the incarnation", delay_past_incarnation),
    Mutation("swapped with the next", swap_with_next),
    Mutation("to another", misdeliver),
    Mutation("cut off", damage(cut_off=True)),
    Mutation("flipped", damage(cut_off=False)),
)


def run_mutants(seed, is_chosen=None):
    """Plays the scenario once for each mutation, or for those of which `is_chosen(number)` is true."""
    sent = play_scenario(seed)
    run = MutationRun(len(sent), 0, [])
    number = 0
    for place, (sender, to, message) in enumerate(sent):
        for mutation in mutations_of(message):
            number += 1
            if is_chosen and not is_chosen(number):
                continue
            run.mutants += 1
            try:
                play_scenario(seed, place, mutation.apply)
            except (InvariantError, AssertionError) as error:
                text = f"{place}: {sender[0]} to {to}, {message.WhichOneof('body')}"
                run.violations.append(Violation(text, mutation.name, str(error)))
    return run
