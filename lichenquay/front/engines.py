"""Engines as the front reaches them: one call at a time on a connection, connections out of a budget of descriptors.

An engine is its uid: connections belong to the engine, never to its address, which another may have later.
"""
from collections import deque
from socket import MSG_DONTWAIT, MSG_PEEK
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.admission import interface as io
from lichenquay.front.http import MOST_PAGE, BadReply, ReplyReader

REST_S = 0.03           # between an answer and another query's call: a copy of the answer may come behind it
SETTLE_MS = 3.0         # a connection that is reset when new shows it by then, and nothing has been written on it
MOST_SETTLED = 3        # connections tried in that way for a call

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


class Broken(Exception):
    """The connection ended after bytes had been written, and before the answer was whole."""


class Garbled(Exception):
    """An answer that cannot be read, or none to the call."""


class Silent(Exception):
    """No answer in time on a connection that is up."""


class Call:
    """One call: its bytes, what answers to it make sense, and who waits for one. `new`: it starts a submission.
    `line`: the connection that the query's last answer came on."""

    __slots__ = ("engine", "data", "fits", "urgent", "fresh", "new", "line", "on_written", "answer", "timer", "written",
                 "tries")

    def __init__(self, engine, data, fits, urgent=False, fresh=False, new=False, line=None, on_written=None):
        self.engine, self.data, self.fits, self.urgent = engine, data, fits, urgent
        self.fresh, self.new, self.line, self.on_written = fresh, new, line, on_written
        self.answer, self.timer, self.written, self.tries = Deferred(), None, False, 0

    def withdraw(self):
        """True if nothing of it has been written; then nothing will be."""
        if not self.written:
            self.end(NotConnected())
        return not self.written

    def void(self):
        """Nobody waits for it; or it would start something on an engine that drains or is gone.
        Risk: a drain is told while the connection is still on its way."""
        if self.new and self.engine.state != io.LISTED:
            self.withdraw()
        return self.answer is None

    def end(self, outcome):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.errback(outcome) if isinstance(outcome, Exception) else answer.callback(outcome)


class EngineLine(Protocol):
    """One connection to an engine."""

    def __init__(self, hub, first):
        self.hub, self.engine, self.call, self.idle_since = hub, first.engine, first, 0.0
        self.reader = ReplyReader(MOST_PAGE)

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.hub.lines.add(self)
        if self.call.new:
            self.hub.later(SETTLE_MS, self.settled)
        else:
            self.settled()

    def settled(self):
        """Risk: a POST on a connection that is reset when new may have run, for all that this side can tell."""
        call = self.call
        if call is not None and self.clean():
            self.call = None
            self.hub.free(self) if call.void() else self.put(call)
        elif call is not None:
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
        self.call, call.written = call, True
        call.timer = self.hub.later(self.hub.silent_ms, self.silent)
        if call.on_written:
            call.on_written()
        self.transport.write(call.data)

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
        call, self.call, reply.line = self.call, None, self
        if reply.keep:
            self.hub.free(self)
        else:
            self.drop()
        call.end(reply)

    def silent(self):
        self.call.timer = None
        self.drop(Silent())

    def drop(self, why=None):
        """Ends the connection at once."""
        call, self.call = self.call, None
        self.hub.lost(self)
        self.transport.abortConnection()
        if call is not None:
            self.hub.failed(call, why or Broken("ended from this side"))

    def connectionLost(self, reason):
        reply = self.call and self.reader.closed()
        if reply is not None:
            return self.answered(reply)
        call, self.call = self.call, None
        self.hub.lost(self)
        if call is not None:
            self.hub.failed(call, Broken(reason.getErrorMessage()))


class LineFactory(ClientFactory):
    noisy = False

    def __init__(self, hub, call):
        self.hub, self.call = hub, call

    def buildProtocol(self, address):
        return EngineLine(self.hub, self.call)

    def clientConnectionFailed(self, connector, reason):
        self.hub.open -= 1
        self.call.end(NotConnected(reason.check(ConnectionRefusedError) is not None))
        self.hub.serve()


class Engines:
    """All connections to engines: `budget` descriptors for calls (set from the limits), `reserve` more for urgent ones."""

    def __init__(self, reactor, reserve, connect_ms, silent_ms, idle_ms):
        self.reactor, self.budget, self.reserve = reactor, 0, reserve
        self.connect_ms, self.silent_ms, self.idle_ms = connect_ms, silent_ms, idle_ms
        self.waiting, self.lines, self.open, self.most = deque(), set(), 0, 0

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
        if call.written or call.tries >= MOST_SETTLED:
            call.end(why if call.written else NotConnected())
        else:
            self.send(call)

    def idle(self, call):
        """The connection that the query's last answer came on, else the last of those that have rested."""
        if call.fresh:
            return None
        rested = self.reactor.seconds() - REST_S
        for line in reversed(call.engine.idle):
            if line is call.line or line.idle_since <= rested:
                return line
        return None

    def go(self, call):
        """Puts a call on an idle connection or a new one; False if it has to wait for a descriptor."""
        if call.void():
            return True
        while (line := self.idle(call)) is not None:
            if line.clean():
                line.engine.idle.remove(line)
                line.put(call)
                return True
            line.drop()
        if self.open >= self.budget + (self.reserve if call.urgent else 0) and not self.spare():
            return False
        self.open += 1
        self.most = max(self.most, self.open)
        host, _, port = call.engine.address.rpartition(":")
        self.reactor.connectTCP(host, int(port), LineFactory(self, call), timeout=self.connect_ms / 1000)
        return True

    def spare(self):
        """Ends the connection that has been idle longest, so that another can be opened."""
        line = min((x for x in self.lines if x.engine.idle and x.engine.idle[0] is x),
                   key=lambda x: x.idle_since, default=None)
        if line is None:
            return False
        self.forget(line)
        line.drop()
        return True

    def free(self, line):
        line.idle_since = self.reactor.seconds()
        line.engine.idle.append(line)
        self.serve()

    def forget(self, line):
        known = line in self.lines
        if known:
            self.lines.discard(line)
            self.open -= 1
            if line in line.engine.idle:
                line.engine.idle.remove(line)
        return known

    def lost(self, line):
        if self.forget(line):
            self.serve()

    def serve(self):
        """Calls that wait for a descriptor, in turn: connections are shared rather than a call failed."""
        while self.waiting:
            call = self.waiting.popleft()
            if not self.go(call):
                self.waiting.appendleft(call)
                return

    def sweep(self):
        """Drops what has been idle for half the engines' idle time: no POST may meet a connection that closes."""
        oldest = self.reactor.seconds() - self.idle_ms / 2000
        self.end([x for x in self.lines if x.call is None and x.idle_since < oldest])

    def close_idle(self, engine):
        self.end(list(engine.idle))

    def end(self, lines):
        """Risk: each end makes room for a call that waited, and it may be out on one of the others by now."""
        for line in lines:
            if line.call is None:
                line.drop()
