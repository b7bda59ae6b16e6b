"""The one UDP socket of a front among others: datagrams out and in, sealed and opened, and counted."""

from collections import Counter

from google.protobuf.message import DecodeError
from twisted.internet.protocol import DatagramProtocol

from lichenquay.fleet.message_envelope import Dropped


class Post(DatagramProtocol):
    """`addresses`: where each peer is, seen from here. `kinds`: each layer's message class. `heard(layer, sender, message)` gets
    what was opened, the sender being (name, incarnation). `learn(name, incarnation, address)`, where given, is told where the sender in an open layer is."""

    noisy = False

    def __init__(self, envelope, addresses, kinds, heard, learn=None):
        self.envelope, self.addresses, self.kinds, self.heard = envelope, addresses, kinds, heard
        self.learn = learn
        self.counters, self.bytes_out = Counter(), 0

    def send(self, incarnation, name, layer, message):
        address = self.addresses.get(name)
        if address is None or self.transport is None:
            self.counters["datagrams for nobody"] += 1
            return
        data = self.envelope.seal(incarnation, name, layer, message.SerializeToString())
        try:
            self.transport.write(data, address)
            self.counters["datagrams sent"] += 1
            self.bytes_out += len(data)
        except OSError:  # a link that is down says so: as good as lost
            self.counters["datagrams not sent"] += 1

    def datagramReceived(self, data, address):
        try:
            name, incarnation, layer, body = self.envelope.open(data)
            kind = self.kinds.get(layer)
            if kind is None:
                raise Dropped("of no layer here")
            message = kind.FromString(body)
        except Dropped as why:
            self.counters[f"datagrams dropped: {why}"] += 1
        except DecodeError:
            self.counters["datagrams dropped: unreadable"] += 1
        else:
            self.counters["datagrams heard"] += 1
            if self.learn is not None and layer in self.envelope.open_layers:
                self.learn(name, incarnation, address)
            self.heard(layer, (name, incarnation), message)

    def lines(self):
        return [f"{what}: {n}" for what, n in sorted(self.counters.items())]
