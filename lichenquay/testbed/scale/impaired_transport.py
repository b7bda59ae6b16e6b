"""The datagram transport of a production host with network impairment, and counts of received bytes."""

from dataclasses import dataclass

from lichenquay.fleet.datagram_transport import DatagramTransport
from lichenquay.testbed.scale.commands import Counts
from lichenquay.testbed.scale.impairment import Impairment
from lichenquay.testbed.scale.scenario import zone_of_name


@dataclass(frozen=True)
class SharedNetwork:
    """Holds what all sockets of one process share."""

    reactor: object
    impairment: Impairment


class ImpairedTransport(DatagramTransport):
    """Replaces a host's own transport before the host opens its socket."""

    def __init__(self, transport: DatagramTransport, network: SharedNetwork):
        """Copies the configuration of `transport`."""
        super().__init__(
            transport.envelope,
            transport.addresses,
            transport.message_types,
            transport.on_message,
            transport.on_address,
        )
        self.network = network
        self.zone = zone_of_name(transport.envelope.name)
        self.bytes_in = 0

    def send(self, incarnation, name, layer, message):
        """Sends zero, one or two copies, at once or delayed."""
        for delay_ms in self.network.impairment.delays_for(self.zone, zone_of_name(name)):
            if delay_ms:
                later = self.network.reactor.callLater
                later(delay_ms / 1000, super().send, incarnation, name, layer, message)
            else:
                super().send(incarnation, name, layer, message)

    def datagramReceived(self, data, address):
        """Counts the bytes, and handles the datagram."""
        self.bytes_in += len(data)
        super().datagramReceived(data, address)

    def read_slowly(self, on):
        """Stops reading the socket if `on`, so that its kernel buffer fills; else resumes reading."""
        if on:
            self.transport.stopReading()
        else:
            self.transport.startReading()

    def added_to(self, counts):
        """Returns the counts with this socket's own added."""
        dropped = sum(n for counter, n in self.counters.items() if counter.startswith("datagrams dropped"))
        return Counts(
            sent=counts.sent + self.counters["datagrams sent"],
            sent_bytes=counts.sent_bytes + self.bytes_out,
            heard=counts.heard + self.counters["datagrams heard"],
            heard_bytes=counts.heard_bytes + self.bytes_in,
            dropped=counts.dropped + dropped,
        )
