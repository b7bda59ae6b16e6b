"""The envelope of a datagram between fronts: who sent it, to whom, of which fleet; sealed by a checksum. Free of I/O.

Most layers are for the fleet's named processes alone. In an *open* layer, where thousands may speak that nobody lists, any well-formed
name is taken that shows the layer's own fingerprint; there the receiver may be left out by a client that knows addresses only.

A stranger's, another fleet's or an unreadable datagram is `Dropped`, with a reason that is counted. The checksum (CRC32C, by a
library) turns what was cut off or flipped on its way into what was lost; it keeps nobody out who means harm.
"""

import struct

import google_crc32c
from google.protobuf.message import DecodeError

from lichenquay.config.fleet_settings import NAME_PATTERN
from lichenquay.fleet import fleet_pb2 as pb

VERSION = 1
MEMBERS, OWNER, QUOTA, DISTRIBUTION = 1, 2, 3, 4  # layers
MOST, MOST_BODY = 1200, 1080  # bytes of a datagram, and of the message in it
SUM = struct.Struct("<I")


class Dropped(ValueError):
    """The text is the reason, one of few, to count by."""


class Envelope:
    """Seals and opens for one process. `names`: all that belong to its fleet, itself included. `open_layers`: {layer: fingerprint}."""

    def __init__(self, fleet, fingerprint, name, names, open_layers=None):
        self.fleet, self.fingerprint, self.name, self.names = fleet, fingerprint, name, frozenset(names)
        self.open_layers = open_layers or {}

    def seal(self, incarnation, receiver, layer, body):
        if len(body) > MOST_BODY:
            raise ValueError(f"a message of {len(body)} bytes for layer {layer}")
        data = pb.Datagram(
            version=VERSION,
            fleet=self.fleet,
            fingerprint=self.open_layers.get(layer, self.fingerprint),
            sender=self.name,
            incarnation=incarnation,
            receiver=receiver,
            layer=layer,
            body=body,
        ).SerializeToString()
        return SUM.pack(google_crc32c.value(data)) + data

    def open(self, data):
        """(sender's name, its incarnation, layer, body)."""
        if (
            len(data) > MOST
            or len(data) < SUM.size
            or SUM.unpack_from(data)[0] != google_crc32c.value(bytes(data[SUM.size :]))
        ):
            raise Dropped("unreadable")
        try:
            got = pb.Datagram.FromString(bytes(data[SUM.size :]))
        except DecodeError:
            raise Dropped("unreadable") from None
        if got.version != VERSION:
            raise Dropped("another version")
        if got.fleet != self.fleet:
            raise Dropped("another fleet")
        if got.fingerprint != self.open_layers.get(got.layer, self.fingerprint):
            raise Dropped("other settings")
        if got.sender == self.name or not self.takes(got.sender, got.layer):
            raise Dropped("a stranger")
        if got.receiver != self.name and (got.receiver or got.layer not in self.open_layers):
            raise Dropped("for another")
        if not got.incarnation:
            raise Dropped("no incarnation")
        return got.sender, got.incarnation, got.layer, got.body

    def takes(self, name, layer):
        """Whether a process of this name may speak in this layer."""
        return bool(NAME_PATTERN.match(name)) if layer in self.open_layers else name in self.names
