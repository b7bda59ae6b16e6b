"""The socket of a production host amid the faults of a network, with what it takes in counted."""

from dataclasses import dataclass

from lichenquay.fleet.datagram_transport import DatagramTransport
from lichenquay.testbed.scale.commands import Counts
from lichenquay.testbed.scale.impairment import Impairment
from lichenquay.testbed.scale.scenario import zone_of_name


@dataclass(frozen=True)
class Network:
    """What all sockets of one process share."""

    reactor: object
    impairment: Impairment


class LabPost(DatagramTransport):
    """Takes the place of a host's own post, before the host opens its socket."""

    def __init__(self, post: DatagramTransport, network: Network):
        """All that `post` has."""
        super().__init__(post.envelope, post.addresses, post.message_types, post.on_message, post.on_address)
        self.network = network
        self.zone = zone_of_name(post.envelope.name)
        self.bytes_in = 0

    def send(self, incarnation, name, layer, message):
        """Sends none, one or two copies, at once or later."""
        for delay_ms in self.network.impairment.delays_of(self.zone, zone_of_name(name)):
            if delay_ms:
                later = self.network.reactor.callLater
                later(delay_ms / 1000, super().send, incarnation, name, layer, message)
            else:
                super().send(incarnation, name, layer, message)

    def datagramReceived(self, data, address):
        """Counts the bytes."""
        self.bytes_in += len(data)
        super().datagramReceived(data, address)

    def read_slowly(self, on):
        """Stops to read the socket, whose buffer in the kernel then fills; or reads on."""
        if on:
            self.transport.stopReading()
        else:
            self.transport.startReading()

    def add_to(self, counts):
        """The counts with this socket's own added."""
        dropped = sum(n for what, n in self.counters.items() if what.startswith("datagrams dropped"))
        return Counts(
            sent=counts.sent + self.counters["datagrams sent"],
            sent_bytes=counts.sent_bytes + self.bytes_out,
            heard=counts.heard + self.counters["datagrams heard"],
            heard_bytes=counts.heard_bytes + self.bytes_in,
            dropped=counts.dropped + dropped,
        )
