"""Take in: which of the clients' connections and queries are taken, within what limits, and which are closed in time."""

import errno
import os
import re
from socket import AF_INET, AF_INET6, MSG_DONTWAIT

from twisted.internet.protocol import Factory

from lichenquay.connection_admission import decisions, limits
from lichenquay.gateway import frames
from lichenquay.gateway.client_connection import BadQuery, ClientConnection
from lichenquay.gateway.controller_adapter import FrontQuery
from lichenquay.gateway.statement import tables_of

MOST_OPEN = 32  # PROTOCOL: open requests on one connection
REF = re.compile(r"[0-9a-fA-F]{16}\Z")
MARK = re.compile(r"[!-~]{0,256}\Z")  # a token or key; risk: another header, or another call, is said in it
IDLE_S = 4.5  # PROTOCOL: clients close idle connections after 4 s; some hold theirs for good
WHOLE_S = 2.0  # for a first frame, and for one that has begun: LATER owes an answer or a close within 3 s
QUIET_S = 0.02  # a client that has something to say says it by then, when there is no room for others
PATIENCE_S = 0.03  # room that is about to come is waited for this long before a connection is refused
FLOOD, MOST_WAITS = 20, 12  # refusals, and waits for room, in a second, from which on nobody is waited for
ACCEPTS, REFUSALS = 8, 64  # connections accepted, and refused, at a time
BACKLOG = 4096  # refusing is quick; what the machine drops comes again after a second
ROOM_EACH = 16  # one frame or statement takes this part of the free room at most
MOST_MS, MOST_MB = (
    86_400_000.0,
    1_048_576.0,
)  # a day, and a terabyte: what is said to need more makes no sense


class NoRoom(BadQuery):
    """It would make one at another time."""

    code = frames.DEFERRED


def amount(said, name, most):
    try:
        got = float(said[name])
    except ValueError:
        got = -1.0
    if not 0 <= got <= most:
        raise BadQuery(f"{name}: {said[name][:40]!r}")
    return got


def refuse(skt, text):
    """Tells a connection that is not taken why, and ends it, without a transport of its own. Risk: refusing costs more than
    serving. What has come is read first, as closing on unread bytes may take the words back."""
    try:
        skt.send(frames.answer(0, frames.DEFERRED, text), MSG_DONTWAIT)
        skt.recv(65_536, MSG_DONTWAIT)
    except OSError:  # nothing has come, or it has gone already
        pass
    skt.close()


class TakeIn(Factory):
    """All clients' connections: at most `most` at a time; more wait to be accepted. What they make the front hold
    (open queries' statements, frames that are not whole, answers that are not read) has `room` bytes, all together."""

    ANSWERS = {
        frames.FINISHED: "answers finished",
        frames.DEFERRED: "answers deferred",
        frames.KILLED: "answers killed",
    }
    noisy = False

    def __init__(self, opening, reactor, admit, metrics, log, now_ms, ready):
        self.groups, self.tenants = opening.groups, opening.tenants
        self.admit, self.metrics, self.log, self.now_ms, self.ready = admit, metrics, log, now_ms, ready
        self.reactor, self.seconds = reactor, reactor.seconds
        self.connections, self.refs, self.port, self.accept, self.most_connections = {}, {}, None, None, 0
        self.most = self.room = self.held = self.turned = self.waits = 0
        self.full = False  # nothing more is taken in: the front ends
        self.turned_s = 0.0  # since when `turned` counts refusals, for a second
        self.gate, self.waits_s = (
            decisions.ConnectionAdmission(limits.ConnectionRules(0, 0), self.gate_ms()),
            None,
        )

    def gate_ms(self):
        return self.seconds() * 1000

    def bound(self, room, rules):
        """Limits, as they are now; what is open stays open."""
        self.most, self.room = rules.max_connections, room
        self.gate.set_rules(rules)

    def listen(self, host, port):
        self.port = self.reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)
        self.accept, self.port.doRead = self.port.doRead, self.come
        self.in_hand = os.open(os.devnull, os.O_RDONLY)

    def come(self):
        """Risk: what is returned to the reactor here ends the listening."""
        self.accept_some()

    def accept_some(self, last=False):
        """Accepts what has come; the gate says what is taken. True if more may wait. Risk: what waits in the listening queue is
        told nothing. Room that comes in a moment, as those before have had their time to speak, is waited for, but not in a
        flood, nor as the door closes (`last`)."""
        now, taken = self.seconds(), 0
        if now - self.turned_s > 1.0:
            self.turned_s, self.turned, self.waits = now, 0, 0
        if (
            not last
            and self.turned < FLOOD
            and self.waits < MOST_WAITS
            and self.gate.is_full()
            and self.gate.expects_capacity_soon(now * 1000)
            and now - (self.waits_s or now) < PATIENCE_S
        ):
            self.waits_s, self.waits = self.waits_s or now, self.waits + 1
            self.port.pauseProducing()
            self.reactor.callLater(QUIET_S / 2, self.accept_on)
            return
        self.waits_s = None
        for _ in range(REFUSALS):
            try:
                skt, address = self.port.socket.accept()
            except BlockingIOError:
                return False
            except OSError as why:
                return self.no_descriptor() if why.errno in (errno.EMFILE, errno.ENFILE) else False
            verdict = self.gate.admit_connection(address[0], self.gate_ms())
            if not verdict.is_admitted:
                self.turned += 1
                self.metrics.count(f"connections refused: {verdict.reason}")
                refuse(
                    skt,
                    b"%s; come back in %.0f ms" % (verdict.reason.encode(), max(1.0, verdict.retry_after_ms)),
                )
                continue
            self.make_way(verdict)
            skt.setblocking(False)
            try:
                self.reactor.adoptStreamConnection(
                    skt.fileno(), AF_INET6 if len(address) > 2 else AF_INET, self
                )
            except OSError:  # no descriptor for its copy
                self.metrics.count("connections refused: no descriptor")
            finally:
                skt.close()
            taken += 1
            if taken == ACCEPTS:
                break
        return True

    def close_door(self):
        """No more connections. Risk: what the machine accepted, and nobody here, is reset with the door."""
        for _ in range(BACKLOG):
            if not self.accept_some(last=True):
                break
        self.port.stopListening()
        self.port = None
        self.tell_no_more()

    def no_descriptor(self):
        """Risk: at the limit, what waits to be accepted waits for ever and keeps the reactor busy. The descriptor in hand is
        given for it, so that it can be told."""
        self.metrics.count("connections refused: no descriptor")
        os.close(self.in_hand)
        try:
            refuse(self.port.socket.accept()[0], b"no descriptor; come back in 1000 ms")
            return True
        except OSError:
            return False
        finally:
            self.in_hand = os.open(os.devnull, os.O_RDONLY)

    def make_way(self, verdict):
        if verdict.abort is not None:
            verdict.abort.handler.transport.abortConnection()
            self.gate.on_connection_closed(verdict.abort, self.gate_ms())
        if verdict.evict is not None:
            verdict.evict.handler.gives_way()

    def accept_on(self):
        if self.port is not None:
            self.port.resumeProducing()

    def buildProtocol(self, address):
        return ClientConnection(self, getattr(address, "host", ""))

    def opened(self, connection):
        self.connections[connection] = True
        self.most_connections = max(self.most_connections, len(self.connections))

    def closed(self, connection):
        self.connections.pop(connection, None)
        self.gate.on_connection_closed(connection.place, self.gate_ms())

    def query(self, connection, stream, said, twice, body, now):
        if self.full:
            raise NoRoom("this front ends")
        if len(connection.open) >= MOST_OPEN:
            raise NoRoom(f"more than {MOST_OPEN} open requests")
        if twice:
            raise BadQuery(f"{twice}: said twice")
        for name in frames.FIELDS.values():
            if name not in said and name not in frames.OPTIONAL and (name != "tenant" or self.tenants):
                raise BadQuery(f"{name}: missing")
        group, tenant = self.groups.get(said["group"]), self.tenants.get(said.get("tenant"))
        if group is None:
            raise BadQuery(f"group: {said['group'][:40]!r}")
        if tenant is None and self.tenants:
            raise BadQuery(f"tenant: {said['tenant'][:40]!r}")
        token, key = said.get("token", ""), said.get("key", "")
        if not MARK.match(token) or not MARK.match(key):
            raise BadQuery(f"token or key: {token[:40]!r}, {key[:40]!r}")
        if not REF.match(said["ref"]):
            raise BadQuery(f"ref: {said['ref'][:40]!r}")
        if said["ref"] in self.refs:  # risk: one query's result becomes the answer to another statement
            raise BadQuery("ref: it is open already")
        if not self.fits(len(body)):
            raise NoRoom("no room for its statement")
        verdict = self.gate.admit_query(connection.place, len(body), self.gate_ms())
        if not verdict.is_admitted:
            raise NoRoom(f"{verdict.reason}; come back in {max(1.0, verdict.retry_after_ms):.0f} ms")
        if verdict.evict is not None:  # the youngest of its queries has its final answer now
            self.admit.give_up(next(reversed(verdict.evict.handler.open.values())))
        statement = bytes(body)  # it outlives the buffer
        longest = group.queue_timeout_ms or MOST_MS
        return FrontQuery(
            0,
            group,
            now,
            now + min(longest, amount(said, "allowed", 2 * longest)),
            tenant,
            key,
            amount(said, "work", MOST_MS),
            amount(said, "memory", MOST_MB),
            tables_of(str(statement, "utf-8", "replace")),
            has_idempotency_key=bool(token),
            client=connection,
            stream=stream,
            ref=said["ref"],
            token=token,
            statement=statement,
        )

    def fits(self, size, had=0):
        """Risk: a few that send much take the room of the many that send little."""
        return size <= (self.room - self.held + had) / ROOM_EACH

    def tell_no_more(self):
        for connection in list(self.connections):
            connection.tell_no_more()

    def sweep(self):
        """Closes what has outlived its use: connections without a whole frame in time, and idle ones."""
        now = self.seconds()
        for connection in [x for x in self.connections if x.up and not x.bad]:
            if now - connection.begun_s > WHOLE_S and (
                not connection.known or connection.reader.unfinished()
            ):
                connection.ends("no whole frame in time")
            elif connection.is_idle() and now - connection.heard_s > IDLE_S:
                connection.tell_no_more()
                connection.close()

    def close_all(self):
        for connection in [x for x in self.connections if x.is_idle()]:
            connection.close()
