"""The envelope of a datagram between processes of a fleet: sender, receiver, fleet, layer, checksum. No I/O.

Most layers accept only the processes that the settings name. An *open* layer accepts any sender with a
well-formed name and the layer's own fingerprint, as thousands of gateways that no settings list follow
distributed configuration. In an open layer a client that knows only addresses may leave the receiver empty.

The checksum (CRC32C) turns a truncated or altered datagram into a lost one. It does not protect against
attackers.
"""

import struct
from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

import google_crc32c
from google.protobuf.message import DecodeError

from lichenquay.config.process_entries import NAME_PATTERN
from lichenquay.fleet import fleet_pb2
from lichenquay.fleet.errors import DroppedDatagramError, DropReason, MessageTooLargeError

WIRE_VERSION = 1
MAX_DATAGRAM_BYTES = 1200
MAX_BODY_BYTES = 1080
CHECKSUM = struct.Struct("<I")


class Layer(IntEnum):
    """The protocol that a datagram belongs to. The numbers are part of the wire format."""

    MEMBERS = 1
    LEASE = 2
    QUOTA = 3
    DISTRIBUTION = 4


class Sender(NamedTuple):
    """One start of a process: its name and the incarnation that it drew at that start."""

    name: str
    incarnation: int


class OpenedDatagram(NamedTuple):
    """A datagram that passed all checks. `layer` may be a number that this process does not know."""

    name: str
    incarnation: int
    layer: int
    body: bytes

    @property
    def sender(self) -> Sender:
        """Who sent it."""
        return Sender(self.name, self.incarnation)


class MessageEnvelope:
    """Seals and opens the datagrams of one process."""

    def __init__(
        self,
        fleet: str,
        fingerprint: int,
        name: str,
        names: Iterable[str],
        open_layers: Mapping[int, int] | None = None,
    ):
        """Parameters.

        fleet: the fleet's name. fingerprint: of the settings that all named processes share. name: of this
        process. names: all named processes, this one included. open_layers: {layer: its fingerprint}.
        """
        self.fleet = fleet
        self.fingerprint = fingerprint
        self.name = name
        self.names = frozenset(names)
        self.open_layers = open_layers or {}

    def seal(self, incarnation: int, receiver: str, layer: int, body: bytes) -> bytes:
        """The datagram with its checksum. Raises MessageTooLargeError."""
        if len(body) > MAX_BODY_BYTES:
            raise MessageTooLargeError(
                f"a message of {len(body)} bytes for layer {layer}, at most {MAX_BODY_BYTES} fit"
            )
        data = fleet_pb2.Datagram(
            version=WIRE_VERSION,
            fleet=self.fleet,
            fingerprint=self._fingerprint_of(layer),
            sender=self.name,
            incarnation=incarnation,
            receiver=receiver,
            layer=layer,
            body=body,
        ).SerializeToString()
        return CHECKSUM.pack(google_crc32c.value(data)) + data

    def open(self, data: bytes) -> OpenedDatagram:
        """Checks a received datagram. Raises DroppedDatagramError."""
        datagram = _parse(data)
        self._check_fleet(datagram)
        self._check_processes(datagram)
        return OpenedDatagram(datagram.sender, datagram.incarnation, datagram.layer, datagram.body)

    def _check_fleet(self, datagram):
        if datagram.version != WIRE_VERSION:
            raise DroppedDatagramError(DropReason.WRONG_VERSION)
        if datagram.fleet != self.fleet:
            raise DroppedDatagramError(DropReason.WRONG_FLEET)
        if datagram.fingerprint != self._fingerprint_of(datagram.layer):
            raise DroppedDatagramError(DropReason.WRONG_SETTINGS)

    def _check_processes(self, datagram):
        if datagram.sender == self.name or not self._accepts_sender(datagram.sender, datagram.layer):
            raise DroppedDatagramError(DropReason.UNKNOWN_SENDER)
        may_omit_receiver = datagram.layer in self.open_layers
        if datagram.receiver != self.name and (datagram.receiver or not may_omit_receiver):
            raise DroppedDatagramError(DropReason.WRONG_RECEIVER)
        if not datagram.incarnation:
            raise DroppedDatagramError(DropReason.NO_INCARNATION)

    def _fingerprint_of(self, layer):
        return self.open_layers.get(layer, self.fingerprint)

    def _accepts_sender(self, name, layer):
        if layer in self.open_layers:
            return bool(NAME_PATTERN.match(name))
        return name in self.names


def _parse(data):
    if not CHECKSUM.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise DroppedDatagramError(DropReason.UNREADABLE)
    payload = bytes(data[CHECKSUM.size :])
    if CHECKSUM.unpack_from(data)[0] != google_crc32c.value(payload):
        raise DroppedDatagramError(DropReason.UNREADABLE)
    try:
        return fleet_pb2.Datagram.FromString(payload)
    except DecodeError:
        raise DroppedDatagramError(DropReason.UNREADABLE) from None
