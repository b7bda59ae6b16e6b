"""Clients of the load generator: a query as its client keeps it, and the connection that it goes out on."""

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.gateway import frames
from lichenquay.load.task import statement_of

STREAMS = 32  # PROTOCOL: open queries on a connection
AGAIN_S = 0.05  # before a connection that did not come up is tried again


RECORDED = (  # of a query, in a worker's table
    "ref",
    "group",
    "tenant",
    "address",
    "at_ms",
    "reached_ms",
    "sent_ms",
    "answered_ms",
    "code",
    "answers",
    "odd",
    "left",
    "cut",
    "waited",
    "tries",
    "allowed",
)


class Ask:
    """A query as its client keeps it; times in ms of its worker's run, NaN for what has not happened."""

    __slots__ = (
        *RECORDED,
        "task",
        "effort",
        "claim",
        "leave_ms",
        "line",
        "stream",
    )

    def __init__(self, **facts):
        """`facts`: what is known of it before it goes, each a slot."""
        self.reached_ms = self.sent_ms = self.answered_ms = float("nan")
        self.code, self.answers, self.tries, self.line, self.stream = -1, 0, 0, None, 0
        self.odd = self.left = self.cut = self.waited = False
        for name, value in facts.items():
            setattr(self, name, value)


class Line(Protocol):
    """A client's connection."""

    def __init__(self, worker, address):
        """`address`: the client's own, that the connection is bound to."""
        self.worker, self.address, self.reader = worker, address, frames.FrameReader()
        self.open, self.streams, self.old, self.told = {}, 0, {}, False

    def connectionMade(self):
        """It is up: the worker counts it in."""
        self.transport.setTcpNoDelay(True)
        self.worker.connected(self)

    def dataReceived(self, data):
        """Answers go to their queries; one for a stream that is not known is counted as strange."""
        now = self.worker.now_ms()
        for kind, stream, payload in self.reader.feed(data):
            if kind == frames.FrameType.ANSWER:
                ask = self.open.pop(stream, None)
                if ask is not None:
                    self.old[stream] = ask
                    self.worker.answered(ask, payload, now)
                elif stream in self.old:
                    self.old[stream].answers += 1
                elif stream:
                    self.worker.strange += 1
                else:
                    self.worker.told += 1
            elif kind == frames.FrameType.GO_AWAY:
                self.told = True
                self.worker.replace(self)
        self.worker.more(self)

    def connectionLost(self, reason):
        """What is open on it is cut off."""
        self.worker.lost(self)

    def ask(self, ask):
        """Sends a query on its next stream."""
        self.streams += 1
        ask.line, ask.stream = self, self.streams
        self.open[self.streams] = ask
        fields = frames.encode_fields(
            [
                ("service", ask.group),
                ("ref", ask.ref),
                ("allow", str(ask.allowed)),
                ("project", ask.tenant),
                ("effort", f"{ask.effort:.1f}"),
                ("memory", f"{ask.claim:.0f}"),
            ]
        )
        self.transport.write(
            frames.encode_frame(frames.FrameType.QUERY, self.streams, fields, statement_of(ask.task))
        )


class LineFactory(ClientFactory):
    """Makes one connection of a client, again until it is up."""

    noisy = False

    def __init__(self, worker, address):
        """`address`: the client's own."""
        self.worker, self.address = worker, address

    def buildProtocol(self, peer):
        """The connection, once it is up."""
        return Line(self.worker, self.address)

    def clientConnectionFailed(self, connector, reason):
        """It did not come up: it is counted, and tried again a moment later."""
        self.worker.refused += 1
        reactor.callLater(AGAIN_S, self.worker.connect, self.address)
