"""Engines as the front reaches them: the connections to all of them, out of a budget of descriptors.

An engine is its uid: connections belong to the engine, never to its address, which another may have later.
"""

from collections import deque
from dataclasses import dataclass, field

from lichenquay.admission import domain
from lichenquay.gateway.engine_call import Call, NotConnected, Silent
from lichenquay.gateway.engine_connection import ConnectionFactory

REST_S = 0.03  # between an answer and another query's call: a copy of the answer may come behind it
LEAST_STALE_S = 0.1  # what has rested for less is not taken for closing, whatever breaks
FRESHER, OLDER = (
    0.5,
    1.0006,
)  # of the rest on which a call broke, no more from then on; and more again, twice in 30 s
MOST_UNWRITTEN = 3  # connections tried for a call of which nothing has been written


@dataclass(eq=False)
class FrontEngine(domain.Engine):
    """An engine, its address as the bulletin last gave it, and its idle connections, the oldest first."""

    address: str = ""
    idle: deque = field(default_factory=deque)


class Engines:
    """All connections to engines: `budget` descriptors for calls (set from the limits), `reserve` more for
    urgent ones."""

    def __init__(self, reactor, reserve, connect_ms, silent_ms, idle_ms):
        """`idle_ms`: for how long engines keep an idle connection; half of that is used."""
        self.reactor, self.budget, self.reserve = reactor, 0, reserve
        self.connect_ms, self.silent_ms, self.idle_s = connect_ms, silent_ms, idle_ms / 2000
        self.stale_s = self.idle_s  # a connection that has rested longer may be closing
        self.waiting, self.connections, self.open, self.most = deque(), set(), 0, 0

    def later(self, ms, call):
        """Calls `call` in so many milliseconds; the timer."""
        return self.reactor.callLater(max(0.0, ms) / 1000, call)

    def call(self, *call, **more):
        """A call on its way; its `answer` is a Deferred of a Reply. `fresh`: on a new connection."""
        call = Call(*call, **more)
        self.send(call)
        return call

    def ask(self, *call, **more):
        """Like `call`: its `answer` alone."""
        return self.call(*call, **more).answer

    def send(self, call):
        """Puts a call on its way, or in the queue: an urgent one goes to its head."""
        if not self.go(call):
            (self.waiting.appendleft if call.urgent else self.waiting.append)(call)

    def failed(self, call, why):
        """A connection that broke before a byte was written proves nothing of the engine: another is
        tried."""
        call.tries += 1
        if call.written or call.tries >= MOST_UNWRITTEN:
            call.end(why if call.written else NotConnected())
        else:
            self.send(call)

    def aged(self, rested):
        """A call broke on a connection that had rested. Risk: something on the way ends idle connections
        sooner than the engines say, and shows it only to the next call: a POST that may have run."""
        if rested > LEAST_STALE_S:
            self.stale_s = max(LEAST_STALE_S, min(self.stale_s, rested * FRESHER))

    def idle(self, call):
        """The connection that the query's last answer came on, else the last of those that have rested, not
        too long. Risk: connections to an address that the engine has left reach another."""
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
            if rested >= REST_S and connection.address == call.address and not connection.mistakable(call):
                return connection
        return None

    def alive(self, engine, address):
        """A connection to it is open on which nothing is overdue: its process is there, or had ended it."""
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
        """Its call has been answered: another may use it."""
        connection.idle_since = self.reactor.seconds()
        connection.engine.idle.append(connection)
        self.serve()

    def forget(self, connection):
        """Takes it out of the account of descriptors; whether it was in there."""
        known = connection in self.connections
        if known:
            self.connections.discard(connection)
            self.open -= 1
            if connection in connection.engine.idle:
                connection.engine.idle.remove(connection)
        return known

    def lost(self, connection):
        """It has ended: its descriptor is for a call that waits."""
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
        """Ends the connections to an engine on which no call is out."""
        self.end(list(engine.idle))

    def end(self, connections):
        """Risk: each end makes room for a call that waited, and it may be out on one of the others by now."""
        for connection in connections:
            if connection.call is None:
                connection.drop()
