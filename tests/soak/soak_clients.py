"""Clients of a soak run: they send in pieces, cancel, leave, and go on sending until the gateway ends."""

import itertools
import time

from gateway_world import TENANT
from soak_history import Request
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.gateway import frames

GROUPS = ("status", "status", "report", "manifest")
MAX_OPEN = 8  # requests of one client
CANCEL_SHARE = 0.05
LEAVE_SHARE = 0.02
PIECES_SHARE = 0.15
PIECE_DELAY_S = 0.01
RECONNECT_S = 0.05


class SoakClient(ClientFactory):
    """One client: its connection, and its requests. is_stopping: it sends nothing more."""

    noisy = False
    numbers = itertools.count(1)

    def __init__(self, world):
        """Connects to the gateway."""
        self.world = world
        self.rng = world.rng
        self.protocol = None
        self.is_stopping = False
        self._connect()

    def _connect(self):
        if not self.is_stopping:
            reactor.connectTCP("127.0.0.1", self.world.port, self, timeout=1)

    def buildProtocol(self, address):
        """Returns the protocol of the connection."""
        self.protocol = SoakClientConnection(self)
        return self.protocol

    def clientConnectionLost(self, connector, reason):
        """Connects again after a moment."""
        self.protocol = None
        reactor.callLater(RECONNECT_S, self._connect)

    def clientConnectionFailed(self, connector, reason):
        """Likewise."""
        reactor.callLater(RECONNECT_S, self._connect)


class SoakClientConnection(Protocol):
    """One connection of a client. requests: by stream."""

    def __init__(self, client):
        """Starts without requests."""
        self.client = client
        self.world = client.world
        self.rng = client.rng
        self.reader = frames.FrameReader()
        self.requests = {}
        self.is_up = False
        self.has_left = False
        self.is_in_frame = False

    def connectionMade(self):
        """Starts to send."""
        self.is_up = True
        self.transport.setTcpNoDelay(True)
        self._act()

    def _act(self):
        """Sends a request, cancels one or leaves; repeated at random intervals."""
        if not self.is_up or self.client.is_stopping:
            return
        open_streams = [stream for stream, request in self.requests.items() if not request.answers]
        open_streams = [stream for stream in open_streams if self.requests[stream].left_s is None]
        draw = self.rng.random()
        if draw < LEAVE_SHARE:
            self._leave()
        elif draw < LEAVE_SHARE + CANCEL_SHARE and open_streams and not self.is_in_frame:
            self._cancel(self.rng.choice(open_streams))
        elif len(open_streams) < MAX_OPEN and not self.is_in_frame:
            self._send()
        reactor.callLater(self.rng.uniform(0.002, 0.06), self._act)

    def _send(self):
        stream = len(self.requests) + 1
        ref = f"{next(SoakClient.numbers):016x}"
        request = Request(ref, self.rng.choice(GROUPS), self.rng.choice((200, 600, 1500, 2500)))
        self.requests[stream] = request
        self.world.history.requests.append(request)
        fields = [
            ("service", request.group),
            ("ref", ref),
            ("allow", str(request.allow_ms)),
            ("project", TENANT),
            ("effort", "20.0"),
            ("memory", "96"),
        ]
        data = frames.encode_frame(
            frames.FrameType.QUERY, stream, frames.encode_fields(fields), b"select 1 from sales_17.orders"
        )
        if self.rng.random() < PIECES_SHARE:
            cut = self.rng.randrange(1, len(data))
            self.is_in_frame = True
            self.transport.write(data[:cut])
            reactor.callLater(PIECE_DELAY_S, self._finish, request, data[cut:])
        else:
            self._finish(request, data)

    def _finish(self, request, data):
        self.is_in_frame = False
        if self.is_up:
            self.transport.write(data)
            request.sent_s = time.monotonic()

    def _cancel(self, stream):
        self.requests[stream].left_s = time.monotonic()
        self.transport.write(frames.encode_frame(frames.FrameType.CANCEL, stream))

    def _leave(self):
        self.has_left = True
        self._mark_left()
        self.world.history.note("a client leaves")
        self.transport.abortConnection()

    def leave(self):
        """Closes the connection; its open requests are given up."""
        self.has_left = True
        self._mark_left()
        self.transport.abortConnection()

    def _mark_left(self):
        for request in self.requests.values():
            if not request.answers and request.left_s is None:
                request.left_s = time.monotonic()

    def dataReceived(self, data):
        """Records the answers."""
        for frame in self.reader.feed(data):
            if frame.type != frames.FrameType.ANSWER:
                continue
            code = frame.payload[0]
            if frame.stream in self.requests:
                _, body = frames.read_fields(frame.payload[1:])
                self.requests[frame.stream].answers.append((code, bytes(body), time.monotonic()))
            elif code == frames.AnswerCode.REJECTED:
                for request in self.requests.values():
                    request.is_rejected_connection = True

    def connectionLost(self, reason):
        """Records the end of the connection for the requests that have no answer."""
        self.is_up = False
        for request in self.requests.values():
            if request.closed_s is None:
                request.closed_s = time.monotonic()
