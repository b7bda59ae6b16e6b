"""One connection to an engine, with one call on it at a time."""

from math import inf
from socket import MSG_DONTWAIT, MSG_PEEK

from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.gateway.engine_call import Broken, Garbled, NotConnected
from lichenquay.gateway.http import MOST_PAGE, BadReply, ReplyReader


def send_now(transport, data):
    """Sends what the machine takes at once, on a connection with nothing unsent; what is left. It saves a
    turn of the reactor, and telling the machine twice what to watch, for each message."""
    try:
        sent = transport.socket.send(data, MSG_DONTWAIT)
    except OSError:  # full, or broken: the transport will find out
        sent = 0
    return memoryview(data)[sent:] if sent < len(data) else b""


class EngineConnection(Protocol):
    """One connection to an engine."""

    ended = False  # it is no more

    def __init__(self, hub, first):
        """`hub`: the connections that it is one of; `first`: the call that it was asked for."""
        self.hub, self.engine, self.call, self.idle_since = hub, first.engine, first, 0.0
        self.address, self.owner = first.address, None  # whose its last call was
        self.silent_s, self.whole = inf, True  # when its call has waited too long; it went out at once
        self.late = False  # its call has, and its answer is still hoped for
        self.rested = 0.0  # before its call
        self.reader = ReplyReader(MOST_PAGE)
        self.ended_here = False  # by this side, so that nothing tells when its process ends
        self.last = None  # (whose, head and rows) of the last answer 200 on it
        self.nameless = None  # the last answer on it, where it names no query

    def connectionMade(self):
        """It is up: its first call goes out, if that still may."""
        self.transport.setTcpNoDelay(True)
        self.hub.connections.add(self)
        if self.clean():
            call, self.call = self.call, None
            self.put(call) if call.stands() else self.hub.free(self)
        else:
            self.drop(Broken("reset when new"))

    def clean(self):
        """Nothing has come on it that is not read yet, nor its end: no call goes out on one that closes."""
        try:
            self.transport.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def put(self, call):
        """Sends a call on it; nothing else is out on it."""
        self.call, call.written, call.carrier, call.went_on = call, True, self, self
        self.owner = call.owner
        now = self.hub.reactor.seconds()
        self.silent_s, self.rested = (
            now + self.hub.silent_ms / 1000,
            now - self.idle_since if self.idle_since else 0.0,
        )
        if call.on_written:
            call.on_written()
        rest = send_now(self.transport, call.data)
        if rest:
            self.whole = False
            self.transport.write(bytes(rest))

    def dataReceived(self, data):
        """Part of an answer; bytes that belong to none end the connection."""
        try:
            reply = self.reader.feed(data)
            if self.call is None:
                raise BadReply("bytes that nobody asked for")
        except BadReply as bad:
            return self.drop(Garbled(str(bad)))
        if reply is not None:
            self.answered(reply)

    def answered(self, reply):
        """Risk: an answer to an earlier call, or a copy of one, is taken for the answer to this."""
        if not self.call.fits(reply):
            return self.drop(Garbled("no answer to this call"))
        if self.copied(reply):
            return self.drop(Garbled("the same answer as another query's before"))
        call, self.call, reply.connection = self.call, None, self
        call.carrier = None
        self.nameless = None if reply.status == 200 else reply
        # Risk: more may come late on one on which an answer did. Or a copy of a refusal or an error, which
        # names no query, would be the answer to the next POST there: 'never ran' of one that runs, and a
        # mutating query is sent again.
        if reply.keep and self.whole and not self.late and reply.status < 500:
            self.hub.free(self)
        else:
            self.drop()
        call.end(reply)

    def mistakable(self, call):
        """Whether a late copy of the last answer here, to another attempt, would do as an answer to this
        call. Risk: the copy of a 204 says that an engine has given up what it has not been told to yet; of a
        202, that it has read what still lies there: the next query in its key's order goes out too soon."""
        return call.owner is not self.owner and self.nameless is not None and call.fits(self.nameless)

    def copied(self, reply):
        """Whether an answer is, to the byte, the last one that came on this connection for another
        attempt. Risk: a copy of that one comes later than the rest between two calls, on a machine that
        stands still, and would be taken as the answer to this call: served with what no engine made for it.
        The engine says it again on another connection. Only 200 is compared, which brings rows: other answers
        are the same for many queries (500 and 204 carry nothing), and a 500 taken for a copy sends its query
        on to ask for news, which may be those of another query that a bad client's id names (seen on the
        bench: bad clients served)."""
        if reply.status != 200:
            return False
        what, last = (tuple(reply.headers.items()), bytes(reply.body)), self.last
        self.last = (self.call.owner, what)
        return last is not None and last[0] is not self.call.owner and last[1] == what

    def drop(self, why=None):
        """Ends the connection at once."""
        self.ended_here = (
            self.ended_here or not self.ended
        )  # its loss, told later, does not change who ended it
        call, self.call = self.call, None
        self.hub.lost(self)
        self.transport.abortConnection()
        if call is not None:
            call.carrier = None
            self.hub.failed(call, why or Broken("ended from this side"))

    def connectionLost(self, reason):
        """Its end may be that of an answer; else its call is broken."""
        self.ended = True
        reply = self.call and self.reader.closed()
        if reply is not None:
            return self.answered(reply)
        if self.call is not None and not self.late:
            self.hub.aged(self.rested)
        self.drop(Broken(reason.getErrorMessage()))


class ConnectionFactory(ClientFactory):
    """Makes one connection, for the call that it was asked for."""

    noisy = False

    def __init__(self, hub, call):
        """`hub`: the connections that it will be one of."""
        self.hub, self.call = hub, call

    def buildProtocol(self, address):
        """The connection, once it is up."""
        return EngineConnection(self.hub, self.call)

    def clientConnectionFailed(self, connector, reason):
        """Refused, or silent: that is the engine. Reset before this side knew that it was up: that is the
        connection."""
        self.hub.open -= 1
        refused = reason.check(ConnectionRefusedError) is not None
        if refused or reason.check(TimeoutError):
            self.call.end(NotConnected(refused))
        else:
            self.hub.failed(self.call, NotConnected())
        self.hub.serve()
