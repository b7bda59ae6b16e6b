"""Engines as the front reaches them: one call at a time on a connection, connections out of a budget of descriptors.

An engine is its uid: connections belong to the engine, never to its address, which another may have later.
"""
from collections import deque
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.admission import interface as io
from lichenquay.front.http import BadReply, ReplyReader


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
    """An answer that cannot be read."""


class Silent(Exception):
    """No answer in time on a connection that is up."""


class Call:
    """One call: its bytes, and who waits for its answer. `new`: it starts a submission."""

    __slots__ = ("engine", "data", "urgent", "fresh", "new", "on_written", "answer", "timer", "written")

    def __init__(self, engine, data, urgent, fresh, new, on_written):
        self.engine, self.data, self.urgent = engine, data, urgent
        self.fresh, self.new, self.on_written = fresh, new, on_written
        self.answer, self.timer, self.written = Deferred(), None, False

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
        self.hub, self.engine, self.call, self.reader, self.idle_since = hub, first.engine, first, ReplyReader(), 0.0
        self.spoilt = False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.hub.lines.add(self)
        call, self.call = self.call, None
        self.hub.free(self) if call.void() else self.put(call)

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
            call, self.call, reply.line = self.call, None, self
            if reply.keep and not self.spoilt:
                self.hub.free(self)
            else:
                self.transport.loseConnection()
            call.end(reply)

    def silent(self):
        self.call.timer = None
        self.drop(Silent())

    def spoil(self):
        """What came on it made no sense: it is not used again.
        Risk: by now it carries another call, which must not end with it."""
        self.spoilt = True
        if self.call is None:
            self.drop()

    def drop(self, why=None):
        """Ends the connection at once."""
        call, self.call = self.call, None
        self.hub.lost(self)
        self.transport.abortConnection()
        if call is not None:
            call.end(why)

    def connectionLost(self, reason):
        call, self.call = self.call, None
        self.hub.lost(self)
        if call is not None:
            reply = self.reader.closed()
            if reply is not None:
                reply.line = self
            call.end(reply or Broken(reason.getErrorMessage()))


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

    def call(self, engine, data, urgent=False, fresh=False, new=False, on_written=None):
        """A call on its way; its `answer` is a Deferred of a Reply. `fresh`: on a new connection."""
        call = Call(engine, data, urgent, fresh, new, on_written)
        if not self.go(call):
            (self.waiting.appendleft if urgent else self.waiting.append)(call)
        return call

    def ask(self, *call, **more):
        return self.call(*call, **more).answer

    def go(self, call):
        """Puts a call on an idle connection or a new one; False if it has to wait for a descriptor."""
        if call.void():
            return True
        if call.engine.idle and not call.fresh:
            call.engine.idle.pop().put(call)
            return True
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
        for line in [x for x in self.lines if x.call is None and x.idle_since < oldest]:
            line.drop()

    def close_idle(self, engine):
        for line in list(engine.idle):
            line.drop()
