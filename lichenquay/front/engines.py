"""Engines as the front reaches them: one call at a time on a connection, connections out of a budget of descriptors.

An engine is its uid: connections belong to the engine, never to its address, which another may have later.
"""

from collections import deque
from dataclasses import dataclass, field
from math import inf
from socket import MSG_DONTWAIT, MSG_PEEK

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.admission import interface as io
from lichenquay.front.http import MOST_PAGE, BadReply, ReplyReader

REST_S = 0.03  # between an answer and another query's call: a copy of the answer may come behind it
LEAST_STALE_S = 0.1  # what has rested for less is not taken for closing, whatever breaks
FRESHER, OLDER = (
    0.5,
    1.0006,
)  # of the rest on which a call broke, no more from then on; and more again, twice in 30 s
MOST_UNWRITTEN = 3  # connections tried for a call of which nothing has been written


@dataclass(eq=False)
class FrontEngine(io.Engine):
    """An engine, its address as the bulletin last gave it, and its idle connections, the oldest first."""

    address: str = ""
    idle: deque = field(default_factory=deque)


class NotConnected(Exception):
    """No connection came up: nothing was sent. `refused`: the address itself said so."""

    def __init__(self, refused=False):
        super().__init__("refused" if refused else "no connection in time")
        self.refused = refused


class NeverSent(Exception):
    """It was given up, or is no longer allowed, before a byte was written. Risk: an engine is blamed for it as for one that
    cannot be reached, and is left alone."""


class Broken(Exception):
    """The connection ended after bytes had been written, and before the answer was whole."""


class Garbled(Exception):
    """An answer that cannot be read, or none to the call."""


class Silent(Exception):
    """No answer in time on a connection that is up."""


class Call:
    """One call: its bytes, what answers to it make sense, and who waits for one. `new`: it starts a submission.
    `connection`: the connection that the query's last answer came on. `carrier`: the one that this call is out on, `went_on` also
    when it is not any more.
    `on_late`: told instead when there is no answer in time; the call stays out, for its answer still settles something."""

    __slots__ = (
        "engine",
        "address",
        "owner",
        "data",
        "fits",
        "urgent",
        "fresh",
        "new",
        "connection",
        "carrier",
        "went_on",
        "on_written",
        "on_late",
        "may_go",
        "answer",
        "written",
        "tries",
    )

    def __init__(
        self,
        engine,
        data,
        fits,
        urgent=False,
        fresh=False,
        new=False,
        connection=None,
        on_written=None,
        on_late=None,
        may_go=None,
        address=None,
        owner=None,
    ):
        self.engine, self.address, self.data, self.fits = engine, address or engine.address, data, fits
        self.owner = owner  # the submission that it is for
        self.urgent, self.fresh, self.new, self.connection = urgent, fresh, new, connection
        self.on_written, self.on_late, self.may_go, self.carrier, self.went_on = (
            on_written,
            on_late,
            may_go,
            None,
            None,
        )
        self.answer, self.written, self.tries = Deferred(), False, 0

    def withdraw(self):
        """True if nothing of it has been written; then nothing will be."""
        if not self.written:
            self.end(NeverSent())
        return not self.written

    def abandon(self):
        """Nobody waits for its answer any more: its connection goes."""
        self.answer = None
        if self.carrier is not None:
            self.carrier.drop()

    def void(self):
        """Nobody waits for it; or it would start something on an engine that drains or is gone, or at an address that the engine
        has left. Risk: a drain is told while the connection is still on its way."""
        if self.new and (self.engine.state != io.LISTED or self.engine.address != self.address):
            self.withdraw()
        return self.answer is None

    def stands(self):
        """Asked in the instant before its first byte: whether it still may go. Risk: what was decided when the connection was
        asked for is not right any more once it is up."""
        if not self.void() and self.may_go is not None and not self.may_go():
            self.withdraw()
        return self.answer is not None

    def end(self, outcome):
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.errback(outcome) if isinstance(outcome, Exception) else answer.callback(outcome)


def send_now(transport, data):
    """Sends what the machine takes at once, on a connection with nothing unsent; what is left. It saves a turn of the
    reactor, and telling the machine twice what to watch, for each message."""
    try:
        sent = transport.socket.send(data, MSG_DONTWAIT)
    except OSError:  # full, or broken: the transport will find out
        sent = 0
    return memoryview(data)[sent:] if sent < len(data) else b""


class EngineConnection(Protocol):
    """One connection to an engine."""

    ended = False  # it is no more

    def __init__(self, hub, first):
        self.hub, self.engine, self.call, self.idle_since = hub, first.engine, first, 0.0
        self.address, self.owner = first.address, None  # whose its last call was
        self.silent_s, self.whole = inf, True  # when its call has waited too long; it went out at once
        self.late = False  # its call has, and its answer is still hoped for
        self.rested = 0.0  # before its call
        self.reader = ReplyReader(MOST_PAGE)
        self.ended_here = False  # by this side, so that nothing tells when its process ends
        self.last = None  # (whose, head and rows) of the last answer 200 on it

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.hub.connections.add(self)
        if self.clean():
            call, self.call = self.call, None
            self.put(call) if call.stands() else self.hub.free(self)
        else:
            self.drop(Broken("reset when new"))

    def clean(self):
        """Nothing has come on it that is not read yet, nor its end: no call goes out on one that is closing."""
        try:
            self.transport.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def put(self, call):
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
        # Risk: more may come late on one on which an answer did. Or a copy of a refusal or an error, which names no query, would
        # be the answer to the next POST there: 'never ran' of one that runs, and a mutating query is sent again.
        if reply.keep and self.whole and not self.late and reply.status < 500:
            self.hub.free(self)
        else:
            self.drop()
        call.end(reply)

    def copied(self, reply):
        """Whether an answer is, to the byte, the last one that came on this connection for another submission. Risk: a
        copy of that one comes later than the rest between two calls, on a machine that stands still, and would be taken
        as the answer to this call: served with what no engine made for it. The engine says it again on another
        connection. Only 200 is compared, which brings rows: other answers are the same for many queries (500 and 204
        carry nothing), and a 500 taken for a copy sends its query on to ask for news, which may be those of another query
        that a bad client's id names (seen on the bench: bad clients served)."""
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
        self.ended = True
        reply = self.call and self.reader.closed()
        if reply is not None:
            return self.answered(reply)
        if self.call is not None and not self.late:
            self.hub.aged(self.rested)
        self.drop(Broken(reason.getErrorMessage()))


class ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, hub, call):
        self.hub, self.call = hub, call

    def buildProtocol(self, address):
        return EngineConnection(self.hub, self.call)

    def clientConnectionFailed(self, connector, reason):
        """Refused, or silent: that is the engine. Reset before this side knew that it was up: that is the connection."""
        self.hub.open -= 1
        refused = reason.check(ConnectionRefusedError) is not None
        if refused or reason.check(TimeoutError):
            self.call.end(NotConnected(refused))
        else:
            self.hub.failed(self.call, NotConnected())
        self.hub.serve()


class Engines:
    """All connections to engines: `budget` descriptors for calls (set from the limits), `reserve` more for urgent ones."""

    def __init__(self, reactor, reserve, connect_ms, silent_ms, idle_ms):
        self.reactor, self.budget, self.reserve = reactor, 0, reserve
        self.connect_ms, self.silent_ms, self.idle_s = connect_ms, silent_ms, idle_ms / 2000
        self.stale_s = self.idle_s  # a connection that has rested longer may be closing
        self.waiting, self.connections, self.open, self.most = deque(), set(), 0, 0

    def later(self, ms, call):
        return self.reactor.callLater(max(0.0, ms) / 1000, call)

    def call(self, *call, **more):
        """A call on its way; its `answer` is a Deferred of a Reply. `fresh`: on a new connection."""
        call = Call(*call, **more)
        self.send(call)
        return call

    def ask(self, *call, **more):
        return self.call(*call, **more).answer

    def send(self, call):
        if not self.go(call):
            (self.waiting.appendleft if call.urgent else self.waiting.append)(call)

    def failed(self, call, why):
        """A connection that broke before a byte was written proves nothing of the engine: another is tried."""
        call.tries += 1
        if call.written or call.tries >= MOST_UNWRITTEN:
            call.end(why if call.written else NotConnected())
        else:
            self.send(call)

    def aged(self, rested):
        """A call broke on a connection that had rested. Risk: something on the way ends idle connections sooner than
        the engines say, and shows it only to the next call: a POST that may have run."""
        if rested > LEAST_STALE_S:
            self.stale_s = max(LEAST_STALE_S, min(self.stale_s, rested * FRESHER))

    def idle(self, call):
        """The connection that the query's last answer came on, else the last of those that have rested, not too long.
        Risk: connections to an address that the engine has left reach another."""
        if call.fresh:
            return None
        now = self.reactor.seconds()
        connection = call.connection
        if (
            connection is not None
            and connection.owner is call.owner
            and connection in call.engine.idle
            and now - connection.idle_since <= self.stale_s
        ):
            return connection  # once it was another's, a copy of that one's answer may be on its way
        for connection in reversed(call.engine.idle):
            rested = now - connection.idle_since
            if rested > self.stale_s:
                return None
            if rested >= REST_S and connection.address == call.address:
                return connection
        return None

    def alive(self, engine, address):
        """A connection to it is open on which nothing is overdue: its process, which would have ended it, is there."""
        return any(x.engine is engine and x.address == address and not x.late for x in self.connections)

    def go(self, call):
        """Puts a call on an idle connection or a new one; False if it has to wait for a descriptor."""
        if call.void():
            return True
        while (connection := self.idle(call)) is not None:
            if connection.clean():
                if call.stands():
                    connection.engine.idle.remove(connection)
                    connection.put(call)
                return True
            connection.drop()
        if self.open >= self.budget + (self.reserve if call.urgent else 0) and not self.spare():
            return False
        self.open += 1
        self.most = max(self.most, self.open)
        host, _, port = call.address.rpartition(":")
        self.reactor.connectTCP(
            host, int(port), ConnectionFactory(self, call), timeout=self.connect_ms / 1000
        )
        return True

    def spare(self):
        """Ends the connection that has been idle longest, so that another can be opened."""
        connection = min(
            (x for x in self.connections if x.engine.idle and x.engine.idle[0] is x),
            key=lambda x: x.idle_since,
            default=None,
        )
        if (
            connection is None
        ):  # risk: answers that may never come leave no room for the calls that ask elsewhere
            connection = min((x for x in self.connections if x.late), key=lambda x: x.silent_s, default=None)
        if connection is None:
            return False
        self.forget(connection)
        connection.drop(Silent())
        return True

    def free(self, connection):
        connection.idle_since = self.reactor.seconds()
        connection.engine.idle.append(connection)
        self.serve()

    def forget(self, connection):
        known = connection in self.connections
        if known:
            self.connections.discard(connection)
            self.open -= 1
            if connection in connection.engine.idle:
                connection.engine.idle.remove(connection)
        return known

    def lost(self, connection):
        if self.forget(connection):
            self.serve()

    def serve(self):
        """Calls that wait for a descriptor, in turn: connections are shared rather than a call failed."""
        while self.waiting:
            call = self.waiting.popleft()
            if not self.go(call):
                self.waiting.appendleft(call)
                return

    def watch(self):
        """Ends connections whose call has waited too long, and those that are stale."""
        now, self.stale_s = self.reactor.seconds(), min(self.idle_s, self.stale_s * OLDER)
        for connection in [
            x for x in self.connections if x.call is not None and x.silent_s < now and not x.late
        ]:
            if connection.call is None or connection not in self.connections:
                continue
            if connection.call.on_late:
                connection.late = True
                connection.call.on_late()
            else:
                connection.drop(Silent())
        self.end([x for x in self.connections if x.call is None and now - x.idle_since > self.stale_s])

    def close_idle(self, engine):
        self.end(list(engine.idle))

    def end(self, connections):
        """Risk: each end makes room for a call that waited, and it may be out on one of the others by now."""
        for connection in connections:
            if connection.call is None:
                connection.drop()
