"""The mutations of one datagram between gateways: of its delivery, and of its fields, to values that an
honest process could have sent at another time or place.

`mutations(packet, start_times_ms)` returns [(name, change(world, packet))], the same for the same datagram. A
change replaces all of the datagram's delivery.
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

MESSAGE_TYPES = {
    Layer.MEMBERS: (members_pb2.Message, "kind"),
    Layer.LEASE: (lease_pb2.Message, "body"),
    Layer.QUOTA: (quota_pb2.Message, "what"),
}
LAYER_NAMES = {Layer.MEMBERS: "members", Layer.LEASE: "owner", Layer.QUOTA: "quota"}
DELAY_PAST_NEXT_MS, LONG_DELAY_MS, MIN_DELAY_MS = 400.0, 1500.0, 0.1
MAX_VALUES = {Field.CPPTYPE_UINT32: 2**32 - 1, Field.CPPTYPE_UINT64: 2**64 - 1}


def parse(data):
    """Returns (datagram, message) of sent bytes."""
    datagram = fleet_pb2.Datagram.FromString(data[CHECKSUM.size :])
    return datagram, MESSAGE_TYPES[datagram.layer][0].FromString(datagram.body)


def kind_of(data):
    """Returns the layer and kind of a message, such as "quota ask"."""
    datagram, message = parse(data)
    return f"{LAYER_NAMES[datagram.layer]} {message.WhichOneof(MESSAGE_TYPES[datagram.layer][1])}"


def seal(datagram, receiver=None, body=None):
    """Returns the bytes of a datagram, sealed for another receiver or with another body if given."""
    receiver = receiver or datagram.receiver
    return MessageEnvelope(datagram.fleet, datagram.fingerprint, datagram.sender, ()).seal(
        datagram.incarnation, receiver, datagram.layer, datagram.body if body is None else body
    )


# of the delivery


def drop(world, packet):
    """Delivers nothing."""


def duplicate(world, packet):
    """Delivers twice, at nearly the same time."""
    world.deliver(packet, packet.delay_ms)
    world.deliver(packet, packet.delay_ms + MIN_DELAY_MS)


def duplicate_late(world, packet):
    """Delivers twice, the second time much later."""
    world.deliver(packet, packet.delay_ms)
    world.deliver(packet, packet.delay_ms + LONG_DELAY_MS)


def delay_past_next(ms):
    """Returns a change that delivers `ms` after the link's next datagram."""

    def change(world, packet):
        world.call_after(("next", packet.sender, packet.receiver), lambda: arrive_later(world, packet, ms))

    return change


def delay_past_start(name):
    """Returns a change that delivers after the next start of the process that `name(packet)` names."""

    def change(world, packet):
        world.call_after(("start", name(packet)), lambda: arrive_later(world, packet, MIN_DELAY_MS))

    return change


def arrive_later(world, packet, ms):
    """Delivers in `ms`, across links that were cut since: the datagram was under way before."""
    world.at(world.now_ms + ms, lambda: world.arrive(world.processes[packet.receiver], packet.data))


def third_process(world, packet):
    """Returns a process that is neither sender nor receiver."""
    return next(name for name in world.processes if name not in (packet.sender, packet.receiver))


def misdeliver(world, packet):
    """Delivers to a third process, which must not accept it."""
    world.deliver(packet, packet.delay_ms, receiver=third_process(world, packet), is_valid=False)


def seal_for_another(world, packet):
    """Delivers to a third process, sealed for it."""
    receiver = third_process(world, packet)
    world.deliver(packet, packet.delay_ms, receiver=receiver, data=seal(parse(packet.data)[0], receiver))


def truncate(world, packet):
    """Delivers two thirds of the bytes, which must not be accepted."""
    world.deliver(packet, packet.delay_ms, data=packet.data[: len(packet.data) * 2 // 3], is_valid=False)


def flip_bit(world, packet):
    """Delivers with one bit flipped, which must not be accepted."""
    data, bit = bytearray(packet.data), zlib.crc32(b"%d" % packet.number) % (8 * len(packet.data))
    data[bit // 8] ^= 1 << bit % 8
    world.deliver(packet, packet.delay_ms, data=bytes(data), is_valid=False)


DELIVERY_MUTATIONS = {
    "lost": drop,
    "doubled": duplicate,
    "doubled, late": duplicate_late,
    "late past the next": delay_past_next(DELAY_PAST_NEXT_MS),
    "late by long": delay_past_next(LONG_DELAY_MS),
    "late past its receiver": delay_past_start(lambda packet: packet.receiver),
    "late past its sender": delay_past_start(lambda packet: packet.sender),
    "swapped with the next": delay_past_next(MIN_DELAY_MS),
    "to another": misdeliver,
    "sealed for another": seal_for_another,
    "cut off": truncate,
    "flipped": flip_bit,
}
RESTART_OF = {"late past its receiver": "receiver", "late past its sender": "sender"}


# of the fields


def field_changes(message, path=""):
    """Yields (path, value's name, function that sets it): each scalar with its neighbours and edges; lists
    emptied, shortened, and changed in their first and last entries.
    """
    for field in message.DESCRIPTOR.fields:
        name, field_path = field.name, f"{path}{field.name}"
        is_list = field.is_repeated if hasattr(field, "is_repeated") else field.label == Field.LABEL_REPEATED
        value = getattr(message, name)
        if is_list:
            if len(value):
                yield field_path, "empty", lambda m=message, n=name: m.ClearField(n)
                if len(value) > 1:
                    yield field_path, "one less", lambda v=value: v.pop()
                for i in sorted({0, len(value) - 1}):
                    if field.message_type:
                        yield from field_changes(value[i], f"{field_path}[{i}].")
                    else:
                        yield from value_changes(
                            field,
                            value[i],
                            f"{field_path}[{i}]",
                            lambda new, v=value, i=i: v.__setitem__(i, new),
                        )
        elif field.message_type:
            if message.HasField(name):
                yield from field_changes(value, field_path + ".")
                if not field.containing_oneof:
                    yield field_path, "empty", lambda m=message, n=name: m.ClearField(n)
        else:
            yield from value_changes(
                field, value, field_path, lambda new, m=message, n=name: setattr(m, n, new)
            )


def value_changes(field, value, field_path, set_value):
    """Yields the changes of one scalar field."""
    if field.cpp_type in (Field.CPPTYPE_STRING,):
        new_values = {"empty": b"" if field.type == Field.TYPE_BYTES else ""}
    elif field.cpp_type == Field.CPPTYPE_BOOL:
        new_values = {"other": not value}
    elif field.cpp_type == Field.CPPTYPE_ENUM:
        new_values = {entry.name: entry.number for entry in field.enum_type.values}
    elif field.cpp_type in MAX_VALUES:
        maximum = MAX_VALUES[field.cpp_type]
        new_values = {"+1": min(value + 1, maximum), "-1": max(value - 1, 0), "0": 0, "most": maximum}
    else:
        new_values = {"+1": value + 1.0, "-1": value - 1.0, "0": 0.0, "most": 1e300}
    tried = {value}
    for value_name, new in new_values.items():
        if new not in tried:
            tried.add(new)
            yield field_path, value_name, lambda new=new: set_value(new)


def packet_with_field_change(packet, index):
    """Returns the datagram with the field change of that index, validly sealed; None if it is too large."""
    datagram, message = parse(packet.data)
    _, _, apply_change = list(field_changes(message))[index]
    apply_change()
    body = message.SerializeToString()
    try:
        return seal(datagram, body=body)
    except MessageTooLargeError:
        return None


def field_mutation(index):
    """Returns the change that delivers the datagram with that field change."""

    def change(world, packet):
        world.deliver(packet, packet.delay_ms, data=packet_with_field_change(packet, index))

    return change


def mutations(packet, start_times_ms):
    """Returns all mutations of a packet. `start_times_ms`: {name: times of all its starts in the recorded
    run}.
    """
    result = []
    for name, change in DELIVERY_MUTATIONS.items():
        attribute = RESTART_OF.get(name)
        if attribute is None or any(
            start_ms > packet.sent_ms for start_ms in start_times_ms[getattr(packet, attribute)]
        ):
            result.append((name, change))
    _, message = parse(packet.data)
    for i, (path, value_name, _) in enumerate(list(field_changes(message))):
        result.append((f"{path} {value_name}", field_mutation(i)))
    return result


def is_field(name):
    """Returns whether a mutation changes a field."""
    return name not in DELIVERY_MUTATIONS


def is_dropped(world, packet, name):
    """Returns whether the mutated datagram is dropped by its receiver, which equals its loss."""
    if name not in ("to another", "cut off", "flipped"):
        return False
    deliveries = []
    DELIVERY_MUTATIONS[name](DeliveryRecorder(world, deliveries), packet)
    receiver, data = deliveries[0]
    process = world.processes[receiver]
    if process.runtime is None:
        return True
    try:
        process.runtime.datagrams.envelope.open(data)
    except (DroppedDatagramError, DecodeError):
        return True
    return False


class DeliveryRecorder:
    """Stands in for the world, and records what a change would deliver."""

    def __init__(self, world, deliveries):
        """Appends (receiver, data) to `deliveries`."""
        self.processes, self.deliveries = world.processes, deliveries

    def deliver(self, packet, delay_ms, receiver=None, data=None, is_valid=True):
        """Records a delivery."""
        self.deliveries.append((receiver or packet.receiver, packet.data if data is None else data))
