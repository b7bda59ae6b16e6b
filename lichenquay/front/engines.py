"""Connections to engines: one call at a time on each, shared out of a budget of descriptors.

An engine is its uid: connections belong to the engine, never to its address, which another may have later.
"""
from collections import deque

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.front.http import BadReply, ReplyReader


class NotConnected(Exception):
    """No connection came up: nothing was sent. `refused`: the address itself said so."""

    def __init__(self, refused):
        super().__init__("refused" if refused else "no connection in time")
        self.refused = refused


class Broken(Exception):
    """The connection ended, or said what cannot be read, after bytes had been written."""


class Silent(Exception):
    """No answer in time on a connection that is up."""


class Call:
    """One call: its bytes, how long to wait for its answer, and who waits."""

    __slots__ = ("engine", "data", "silent_ms", "urgent", "fresh", "answer", "timer", "on_written",
                 "written")

    def __init__(self, engine, data, silent_ms, urgent, fresh, on_written):
        self.engine, self.data, self.silent_ms, self.urgent, self.fresh = engine, data, silent_ms, urgent, fresh
        self.answer, self.timer, self.on_written, self.written = Deferred(), None, on_written, False

    def withdraw(self):
        """True if nothing of it had been written; then nothing will be."""
        if not self.written:
            self.end(NotConnected(False))
        return not self.written

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

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.hub.lines.add(self)
        self.put(self.call)

    def put(self, call):
        if call.answer is None:         # withdrawn on the way
            self.call = None
            return self.hub.free(self)
        self.call, call.written = call, True
        call.timer = self.hub.later(call.silent_ms, self.silent)
        if call.on_written:
            call.on_written()
        self.transport.write(call.data)

    def dataReceived(self, data):
        try:
            if self.call is None:
                raise BadReply("bytes that nobody asked for")
            reply = self.reader.feed(data)
        except BadReply as bad:
            return self.drop(Broken(str(bad)))
        if reply is not None:
            call, self.call = self.call, None
            if reply.keep:
                self.hub.free(self)
            else:
                self.transport.loseConnection()
            call.end(reply)

    def silent(self):
        self.call.timer = None
        self.drop(Silent())

    def drop(self, why):
        call, self.call = self.call, None
        self.hub.lost(self)
        self.transport.abortConnection()
        if call is not None:
            call.end(why)

    def connectionLost(self, reason):
        call, self.call = self.call, None
        self.hub.lost(self)
        if call is not None:
            call.end(self.reader.closed() or Broken(reason.getErrorMessage()))


class LineFactory(ClientFactory):
    noisy = False

    def __init__(self, hub, call):
        self.hub, self.call = hub, call

    def buildProtocol(self, address):
        return EngineLine(self.hub, self.call)

    def clientConnectionFailed(self, connector, reason):
        self.hub.failed(self.call, reason.check(ConnectionRefusedError) is not None)


class Engines:
    """All connections to engines. `budget` descriptors for calls; `reserve` more for the urgent ones."""

    def __init__(self, reactor, budget, reserve, connect_ms, idle_ms):
        self.reactor, self.budget, self.reserve = reactor, budget, reserve
        self.connect_ms, self.idle_ms = connect_ms, idle_ms
        self.idle, self.waiting, self.lines, self.open, self.most = {}, deque(), set(), 0, 0
        self.addresses = {}     # by engine, as the bulletin says

    def later(self, ms, call):
        return self.reactor.callLater(max(0.0, ms) / 1000, call)

    def call(self, engine, data, silent_ms, urgent=False, fresh=False, on_written=None):
        """A call on its way; its `answer` is a Deferred of a Reply. `fresh`: on a new connection."""
        call = Call(engine, data, silent_ms, urgent, fresh, on_written)
        self.go(call) or (self.waiting.appendleft if urgent else self.waiting.append)(call)
        return call

    def ask(self, *call, **more):
        return self.call(*call, **more).answer

    def go(self, call):
        if call.answer is None:
            return True
        idle = self.idle.get(call.engine)
        while idle and not call.fresh:
            line = idle.pop()
            if line in self.lines:
                line.put(call)
                return True
        if self.open >= self.budget + (self.reserve if call.urgent else 0) and not self.spare():
            return False
        self.open += 1
        self.most = max(self.most, self.open)
        host, _, port = self.addresses[call.engine].rpartition(":")
        self.reactor.connectTCP(host, int(port), LineFactory(self, call), timeout=self.connect_ms / 1000)
        return True

    def spare(self):
        """Ends the idle connection that rested longest, so that another can be opened."""
        lines = [idle[0] for idle in self.idle.values() if idle]
        if not lines:
            return False
        line = min(lines, key=lambda x: x.idle_since)
        self.idle[line.engine].popleft()
        line.drop(None)
        return True

    def failed(self, call, refused):
        self.open -= 1
        call.end(NotConnected(refused))
        self.serve()

    def free(self, line):
        line.idle_since = self.reactor.seconds()
        self.idle.setdefault(line.engine, deque()).append(line)
        if self.waiting:
            self.serve()

    def lost(self, line):
        if line in self.lines:
            self.lines.discard(line)
            self.open -= 1
            idle = self.idle.get(line.engine)
            if idle and line in idle:
                idle.remove(line)
            self.serve()

    def serve(self):
        """Calls that wait for a descriptor, in turn."""
        while self.waiting:
            call = self.waiting.popleft()
            if not self.go(call):
                self.waiting.appendleft(call)
                return

    def sweep(self):
        """Drops what has been idle for half the engines' idle time: no POST may meet a connection that closes."""
        oldest = self.reactor.seconds() - self.idle_ms / 2000
        for engine, idle in list(self.idle.items()):
            while idle and idle[0].idle_since < oldest:
                idle.popleft().drop(None)
            if not idle:
                del self.idle[engine]

    def close_idle(self, engine):
        for line in self.idle.pop(engine, ()):
            line.drop(None)
