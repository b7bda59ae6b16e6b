"""What can happen to one datagram between fronts: on its way, and in its fields, as an honest process of another time
or place had them.

`mutations(mail, starts)`: [(name, change(world, mail))], the same for the same datagram. A change does all of its
delivery.
"""

import zlib

from google.protobuf.descriptor import FieldDescriptor as Field
from google.protobuf.message import DecodeError

from lichenquay.fleet import fleet_pb2
from lichenquay.fleet.errors import DroppedDatagramError, MessageTooLargeError
from lichenquay.fleet.message_envelope import CHECKSUM, Layer, MessageEnvelope
from lichenquay.lease import lease_pb2
from lichenquay.membership import members_pb2
from lichenquay.quota import quota_pb2

KINDS = {
    Layer.MEMBERS: (members_pb2.Message, "kind"),
    Layer.LEASE: (lease_pb2.Message, "body"),
    Layer.QUOTA: (quota_pb2.Message, "what"),
}
LAYERS = {Layer.MEMBERS: "members", Layer.LEASE: "owner", Layer.QUOTA: "quota"}
LATE_MS, LONG_MS, AFTER_MS = 400.0, 1500.0, 0.1
MOST_OF = {Field.CPPTYPE_UINT32: 2**32 - 1, Field.CPPTYPE_UINT64: 2**64 - 1}


def opened(data):
    """(datagram, message) of what a front sent."""
    datagram = fleet_pb2.Datagram.FromString(data[CHECKSUM.size :])
    return datagram, KINDS[datagram.layer][0].FromString(datagram.body)


def kind_of(data):
    datagram, message = opened(data)
    return f"{LAYERS[datagram.layer]} {message.WhichOneof(KINDS[datagram.layer][1])}"


def sealed(datagram, receiver=None, body=None):
    to = receiver or datagram.receiver
    return MessageEnvelope(datagram.fleet, datagram.fingerprint, datagram.sender, ()).seal(
        datagram.incarnation, to, datagram.layer, datagram.body if body is None else body
    )


# on its way


def lost(world, mail):
    """Nothing comes."""


def doubled(world, mail):
    world.deliver(mail, mail.delay)
    world.deliver(mail, mail.delay + AFTER_MS)


def doubled_late(world, mail):
    world.deliver(mail, mail.delay)
    world.deliver(mail, mail.delay + LONG_MS)


def late_by(ms):
    def late(world, mail):
        world.wait_for(("next", mail.sender, mail.to), lambda: arrive_later(world, mail, ms))

    return late


def late_past(name):
    """Past the next start of a front."""

    def late(world, mail):
        world.wait_for(("start", name(mail)), lambda: arrive_later(world, mail, AFTER_MS))

    return late


def arrive_later(world, mail, ms):
    """It was under way before whatever was cut since."""
    world.at(world.now + ms, lambda: world.arrive(world.all[mail.to], mail.data))


def third(world, mail):
    return next(n for n in world.all if n not in (mail.sender, mail.to))


def other(world, mail):
    world.deliver(mail, mail.delay, to=third(world, mail), whole=False)


def other_sealed(world, mail):
    to = third(world, mail)
    world.deliver(mail, mail.delay, to=to, data=sealed(opened(mail.data)[0], to))


def cut_off(world, mail):
    world.deliver(mail, mail.delay, data=mail.data[: len(mail.data) * 2 // 3], whole=False)


def flipped(world, mail):
    data, bit = bytearray(mail.data), zlib.crc32(b"%d" % mail.no) % (8 * len(mail.data))
    data[bit // 8] ^= 1 << bit % 8
    world.deliver(mail, mail.delay, data=bytes(data), whole=False)


WAYS = {
    "lost": lost,
    "doubled": doubled,
    "doubled, late": doubled_late,
    "late past the next": late_by(LATE_MS),
    "late by long": late_by(LONG_MS),
    "late past its receiver": late_past(lambda m: m.to),
    "late past its sender": late_past(lambda m: m.sender),
    "swapped with the next": late_by(AFTER_MS),
    "to another": other,
    "sealed for another": other_sealed,
    "cut off": cut_off,
    "flipped": flipped,
}
PAST = {"late past its receiver": "to", "late past its sender": "sender"}


# in its fields


def field_changes(message, path=""):
    """[(path, value's name, do)]: each scalar to its neighbours and edges; a list empty, its first and last entry."""
    for field in message.DESCRIPTOR.fields:
        name, at = field.name, f"{path}{field.name}"
        many = field.is_repeated if hasattr(field, "is_repeated") else field.label == Field.LABEL_REPEATED
        value = getattr(message, name)
        if many:
            if len(value):
                yield at, "empty", lambda m=message, n=name: m.ClearField(n)
                if len(value) > 1:
                    yield at, "one less", lambda v=value: v.pop()
                for i in sorted({0, len(value) - 1}):
                    if field.message_type:
                        yield from field_changes(value[i], f"{at}[{i}].")
                    else:
                        yield from values(
                            field, value[i], f"{at}[{i}]", lambda new, v=value, i=i: v.__setitem__(i, new)
                        )
        elif field.message_type:
            if message.HasField(name):
                yield from field_changes(value, at + ".")
                if not field.containing_oneof:
                    yield at, "empty", lambda m=message, n=name: m.ClearField(n)
        else:
            yield from values(field, value, at, lambda new, m=message, n=name: setattr(m, n, new))


def values(field, value, at, put):
    if field.cpp_type in (Field.CPPTYPE_STRING,):
        wanted = {"empty": b"" if field.type == Field.TYPE_BYTES else ""}
    elif field.cpp_type == Field.CPPTYPE_BOOL:
        wanted = {"other": not value}
    elif field.cpp_type == Field.CPPTYPE_ENUM:
        wanted = {v.name: v.number for v in field.enum_type.values}
    elif field.cpp_type in MOST_OF:
        most = MOST_OF[field.cpp_type]
        wanted = {"+1": min(value + 1, most), "-1": max(value - 1, 0), "0": 0, "most": most}
    else:
        wanted = {"+1": value + 1.0, "-1": value - 1.0, "0": 0.0, "most": 1e300}
    told = {value}
    for what, new in wanted.items():
        if new not in told:
            told.add(new)
            yield at, what, lambda new=new: put(new)


def changed(mail, index):
    """The datagram with the field change of that number, sealed rightly."""
    datagram, message = opened(mail.data)
    _, _, do = list(field_changes(message))[index]
    do()
    body = message.SerializeToString()
    try:
        return sealed(datagram, body=body)
    except MessageTooLargeError:
        return None


def field_mutation(index):
    def change(world, mail):
        world.deliver(mail, mail.delay, data=changed(mail, index))

    return change


def mutations(mail, starts):
    """starts: {name: times of all its starts in the record}."""
    out = []
    for name, change in WAYS.items():
        of = PAST.get(name)
        if of is None or any(t > mail.at for t in starts[getattr(mail, of)]):
            out.append((name, change))
    _, message = opened(mail.data)
    for i, (path, what, _) in enumerate(list(field_changes(message))):
        out.append((f"{path} {what}", field_mutation(i)))
    return out


def is_field(name):
    return name not in WAYS


def dropped(world, mail, name):
    """Whether nobody would open what comes of it: then it is as good as lost."""
    if name not in ("to another", "cut off", "flipped"):
        return False
    catch = []
    WAYS[name](Catch(world, catch), mail)
    to, data = catch[0]
    process = world.all[to]
    if process.fleet is None:
        return True
    try:
        process.fleet.datagrams.envelope.open(data)
    except (DroppedDatagramError, DecodeError):
        return True
    return False


class Catch:
    """Takes what would be delivered."""

    def __init__(self, world, caught):
        self.all, self.caught = world.all, caught

    def deliver(self, mail, delay, to=None, data=None, whole=True):
        self.caught.append((to or mail.to, mail.data if data is None else data))
