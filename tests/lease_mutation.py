"""One scenario on a group, recorded; then once more for every message in it and every mutation of that one.

The scenario: claim, write, renew, a process stops and starts, another claims, a folder is lost and its state comes
back in pieces, the holder gives up and another takes over. All chance is a process's own, so that a run differs only
by its mutation.

Fields whose neighbour would be a lie that no receiver can tell from truth (the assumption 'nobody forges messages')
are left out:

- `Grant.whole` and `Grant.position` together lowered: a position alone is found out by its mark; both as of an older
  state are not.
- `Ack` of a round with that round's own number, token, and a position that the holder knows: the voter's word for its
  disk is all there is.
- `Blank.birth` as the voter's own number: it is the voter's own word.

No mutation of one field gives any of these: a position carries a digest of its parts and of the records, a round and
a claim a number drawn by chance that its answer must bring back. So every single field is tried.
"""

from google.protobuf.message import DecodeError
from lease_audit import QUICK, InvariantError, demand, holder, world_of, write

from lichenquay.lease.lease_pb2 import Message

EDGES = {
    "uint64": (0, 1, 2**32, 2**64 - 1),
    "fixed64": (0, 2**64 - 1),
    "uint32": (0, 2**32 - 1),
    "fixed32": (0, 2**32 - 1),
}
WHOLE = (
    "lost",
    "doubled",
    "late past the next",
    "late past the incarnation",
    "swapped with the next",
    "to another",
    "cut off",
    "flipped",
)
NAMES = "abc"


def scenario(seed, at=None, change=None):
    """Runs it with the `at`-th message changed; gives (messages sent, audit). InvariantError (also: did not come to rest)
    with its cause."""
    world, audit = world_of(NAMES, seed, delay=(2, 2.5), drift=0.02)
    sent, held = [], []

    def on_send(sender, to, message, deliver):
        number = len(sent)
        sent.append((sender, to, message))
        if held and number > at:
            # The one that was held back goes behind this one.
            world.at(world.now + 3, held.pop())
        if number == at:
            change(world, sender, to, message, deliver, held)
            return True
        return False

    world.on_send = on_send
    for name in NAMES:
        world.start(name)
    first = rest(world, audit)
    busy(world, audit, 3, pad=500)
    world.kill(first)
    second = rest(world, audit, 8)
    busy(world, audit, 4)
    world.start(first)
    world.run(world.now + QUICK.expiry_wait_ms)
    lost = next(n for n in NAMES if n not in (second, first))
    world.kill(lost)
    world.start(lost, folder=False)
    world.run(world.now + 2 * QUICK.expiry_wait_ms)
    demand(
        world.all[lost].part.voter.recovery_nonce is None, f"{lost} has no state after its folder was lost"
    )
    who = holder(world) or rest(world, audit)
    world.call(who, lambda part, ms: part.release(ms))
    rest(world, audit)
    busy(world, audit, 2)
    return sent, audit


def rest(world, audit, leases=8):
    """Somebody holds, and a record is made."""
    made, until = len(audit.made), world.now + leases * QUICK.lease_ms
    while len(audit.made) == made and world.now < until:
        for name in NAMES:
            write(world, audit, name)
        world.run(world.now + 20)
    demand(len(audit.made) > made, f"not at rest after {leases} leases; held by {holder(world)}")
    return holder(world)


def busy(world, audit, writes, pad=0):
    for _ in range(writes):
        for name in NAMES:
            write(world, audit, name, pad)
        world.run(world.now + 40)


def mutations(message):
    """(name, change) for all that can become of a message."""
    for name in WHOLE:
        yield name, WAYS[name.split()[0]](name)
    for path, field, value in fields(message):
        for other in others(field, value):
            yield f"{'.'.join(path)} = {other!r:.40}", changed(path, other)


def fields(message, path=()):
    """Every field of a message, also those that are not set."""
    for f in message.DESCRIPTOR.fields:
        if f.message_type and f.containing_oneof and message.WhichOneof("body") != f.name:
            continue
        if f.message_type:
            yield from fields(getattr(message, f.name), (*path, f.name))
        else:
            yield (*path, f.name), f, getattr(message, f.name)


KINDS = {4: "uint64", 6: "fixed64", 13: "uint32", 7: "fixed32"}  # protobuf's numbers of types


def others(field, value):
    if field.name == "records":
        return (
            [list(value)[:-1], list(value)[1:], [*value, b"more"], [*value, *value]] if value else [[b"more"]]
        )
    if field.type == field.TYPE_STRING:
        return ["", value + "x"]
    if field.type == field.TYPE_BYTES:
        return [b"", value + b"x", value[:-1]]
    if field.type == field.TYPE_DOUBLE:
        return [0.0, -1.0, value + 1, 1e300, float("nan"), float("inf")]
    kind = KINDS[field.type]
    most = 2 ** (32 if kind.endswith("32") else 64) - 1
    return sorted({v for v in (value - 1, value + 1, *EDGES[kind]) if 0 <= v <= most and v != value})


def changed(path, value):
    def change(world, sender, to, message, deliver, held):
        new = Message.FromString(message.SerializeToString())
        inner = new
        for name in path[:-1]:
            inner = getattr(inner, name)
        if isinstance(value, list):
            del getattr(inner, path[-1])[:]
            getattr(inner, path[-1]).extend(value)
        else:
            setattr(inner, path[-1], value)
        world.at(world.now + 2.2, lambda: deliver(data=new.SerializeToString()))

    return change


def _lost(name):
    return lambda world, sender, to, message, deliver, held: None


def _doubled(name):
    def change(world, sender, to, message, deliver, held):
        world.at(world.now + 2.2, deliver)
        world.at(world.now + 2.7, deliver)

    return change


def _late(name):
    def change(world, sender, to, message, deliver, held):
        # Past the next round of the same two, or past all that these incarnations do.
        world.at(
            world.now + (QUICK.heartbeat_ms + 20 if name.endswith("next") else 2.5 * QUICK.expiry_wait_ms),
            deliver,
        )

    return change


def _swapped(name):
    return lambda world, sender, to, message, deliver, held: held.append(deliver)


def _to(name):
    def change(world, sender, to, message, deliver, held):
        other = next(n for n in NAMES if n not in (to, sender[0]))
        world.at(world.now + 2.2, lambda: deliver(to=other))

    return change


def _damaged(name):
    """What the envelope's checksum finds is lost; read all the same, it must not throw anything but what says that it
    cannot be read."""

    def change(world, sender, to, message, deliver, held):
        data = message.SerializeToString()
        for at in range(len(data)):
            try:
                flipped = data[:at] + bytes([data[at] ^ 0x10]) + data[at + 1 :]
                Message.FromString(data[:at] if name == "cut off" else flipped)
            except DecodeError:
                pass

    return change


WAYS = {
    "lost": _lost,
    "doubled": _doubled,
    "late": _late,
    "swapped": _swapped,
    "to": _to,
    "cut": _damaged,
    "flipped": _damaged,
}


def run(seed, take=None, first=False):
    """(messages, mutants, faults): all of them, or those of which `take(n)` is true. A fault: (message, mutation,
    what)."""
    sent, _ = scenario(seed)
    mutants, faults, no = 0, [], 0
    for at, (sender, to, message) in enumerate(sent):
        for name, change in mutations(message):
            no += 1
            if take and not take(no):
                continue
            mutants += 1
            try:
                scenario(seed, at, change)
            except (InvariantError, AssertionError) as fault:
                faults.append((f"{at}: {sender[0]} to {to}, {message.WhichOneof('body')}", name, str(fault)))
                if first:
                    return len(sent), mutants, faults
    return len(sent), mutants, faults
