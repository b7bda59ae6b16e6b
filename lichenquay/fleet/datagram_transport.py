"""The UDP socket of a process: seals, sends, receives, opens and counts datagrams."""

from collections import Counter
from collections.abc import Callable, Mapping

from google.protobuf.message import DecodeError, Message
from twisted.internet.protocol import DatagramProtocol

from lichenquay.fleet.errors import DroppedDatagramError, DropReason
from lichenquay.fleet.message_envelope import MessageEnvelope, Sender


class DatagramTransport(DatagramProtocol):
    """Messages of several layers over one UDP socket.

    `counters` counts datagrams by outcome; `bytes_out` is the number of bytes sent.
    """

    noisy = False

    def __init__(
        self,
        envelope: MessageEnvelope,
        addresses,
        message_types: Mapping[int, type[Message]],
        on_message: Callable[[int, Sender, Message], None],
        on_address: Callable[[str, int, tuple], None] | None = None,
    ):
        """Creates a transport that Twisted connects to a socket later.

        addresses: its `get(name)` returns (host, port) or None. message_types: {layer: protobuf class}.
        on_message: called with layer, sender and message. on_address: called with name, incarnation and
        address of each sender in an open layer.
        """
        self.envelope = envelope
        self.addresses = addresses
        self.message_types = message_types
        self.on_message = on_message
        self.on_address = on_address
        self.counters = Counter()
        self.bytes_out = 0

    def send(self, incarnation: int, name: str, layer: int, message: Message) -> None:
        """Sends a message once. It may be lost without notice. Raises MessageTooLargeError."""
        address = self.addresses.get(name)
        if address is None or self.transport is None:
            self.counters["datagrams for nobody"] += 1
            return
        data = self.envelope.seal(incarnation, name, layer, message.SerializeToString())
        try:
            self.transport.write(data, address)
        except OSError:  # Raised while a network link is down, for example; the datagram counts as lost.
            self.counters["datagrams not sent"] += 1
        else:
            self.counters["datagrams sent"] += 1
            self.bytes_out += len(data)

    def datagramReceived(self, data, address):
        """Delivers a datagram, or drops and counts it."""
        try:
            datagram = self.envelope.open(data)
            message = self._parse_body(datagram)
        except DroppedDatagramError as error:
            self.counters[f"datagrams dropped: {error.reason}"] += 1
            return
        self.counters["datagrams heard"] += 1
        if self.on_address is not None and datagram.layer in self.envelope.open_layers:
            self.on_address(datagram.name, datagram.incarnation, address)
        self.on_message(datagram.layer, datagram.sender, message)

    def _parse_body(self, datagram):
        message_type = self.message_types.get(datagram.layer)
        if message_type is None:
            raise DroppedDatagramError(DropReason.UNKNOWN_LAYER)
        try:
            return message_type.FromString(datagram.body)
        except DecodeError:
            raise DroppedDatagramError(DropReason.UNREADABLE) from None

    def lines(self) -> list[str]:
        """Returns status lines: the counters by name."""
        return [f"{name}: {count}" for name, count in sorted(self.counters.items())]
