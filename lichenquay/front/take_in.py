"""Take in: clients' connections, their queries and what else they say; and the answers back to them."""
import re
import traceback

from twisted.internet.protocol import Factory, Protocol

from lichenquay.front import frames
from lichenquay.front.admit import FrontQuery
from lichenquay.front.statement import tables_of

MOST_OPEN = 32                  # PROTOCOL: open requests on one connection
REF = re.compile(r"[0-9a-fA-F]{16}\Z")
IDLE_S = 30.0                   # clients close idle connections after 4 s: what rests longer has no client any more
CLOSE_S = 1.0                   # for the last bytes of a connection that is being closed
MOST_UNSENT = 32 << 20          # bytes of answers that clients do not read, all together
MOST_UNFINISHED = 32 << 20      # bytes of frames that are not whole yet, all together
MOST_HELD = 32 << 20            # bytes of the open queries' statements, all together


class BadQuery(ValueError):
    """A well-formed request that makes no query; the text says why."""


def amount(said, name):
    try:
        got = float(said[name])
    except ValueError:
        got = -1.0
    if not 0 <= got < 1e12:
        raise BadQuery(f"{name}: {said[name][:40]!r}")
    return got


class ClientLine(Protocol):
    """One client's connection. It stops being read while it does not read its own answers."""

    def __init__(self, desk):
        self.desk, self.reader, self.open, self.unsent = desk, frames.FrameReader(), {}, 0
        self.up, self.stuck, self.bad, self.told, self.heard_s = True, False, False, False, desk.seconds()

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.desk.opened(self)

    def dataReceived(self, data):
        self.heard_s = self.desk.seconds()
        if self.bad:
            return
        before = self.reader.unfinished()
        try:
            for kind, stream, payload in self.reader.feed(data):
                self.heard(kind, stream, payload)
            grown = self.reader.unfinished() - before
            if grown > 0 and self.desk.unfinished + grown > MOST_UNFINISHED:
                raise frames.BadFrame("too much that is not whole")
            self.desk.unfinished += grown
        except frames.BadFrame as bad:
            self.desk.book.count("bad frames")
            self.desk.log("client", f"client: {bad}; connection closed")
            self.put(frames.answer(0, frames.KILLED, str(bad).encode()))
            self.desk.unfinished -= before
            self.reader.held = None
            self.bad = True         # nothing more is read from it; what was taken on it is still answered
            self.close_if_done()

    def heard(self, kind, stream, payload):
        if kind == frames.QUERY:
            if stream == 0 or stream in self.open:
                raise frames.BadFrame(f"stream {stream} is not new")
            request = frames.read_query(payload)
            self.desk.book.count("queries taken in")
            try:
                q = self.desk.query(self, stream, *request)
            except BadQuery as bad:
                self.desk.book.count("queries that make no sense")
                self.desk.book.count("answers deferred")
                return self.put(frames.answer(stream, frames.DEFERRED, str(bad).encode()))
            except Exception:       # risk: a fault met for one query ends the connection, and others with it
                self.desk.book.count("faults")
                self.desk.log("fault", traceback.format_exc())
                self.desk.book.count("answers killed")
                return self.put(frames.answer(stream, frames.KILLED, b"a fault in the front"))
            self.open[stream] = q
            self.desk.held += len(q.statement)
            self.desk.admit.take(q)
        elif kind == frames.LEFT:
            q = self.open.pop(stream, None)
            if q is not None:
                self.leave(q)
        elif kind == frames.IS_READY:
            frames.read_fields(payload)
            self.put(frames.readiness(stream, 0 if self.desk.ready() else 1))
        else:
            raise frames.BadFrame(f"a frame of type {kind}")

    def answer(self, q, code, body):
        if self.open.pop(q.stream, None) is not None:
            self.let_go(q)
            self.put(frames.answer(q.stream, code, *body))
            self.desk.book.count(self.desk.ANSWERS[code])
            self.close_if_done()

    def leave(self, q):
        self.let_go(q)
        self.desk.admit.left(q)

    def let_go(self, q):
        """Risk: timers keep a query until its client's time is up, and with it a statement of any length."""
        self.desk.held -= len(q.statement)
        q.statement = b""

    def close_if_done(self):
        if self.bad and not self.open:
            self.close()

    def put(self, data):
        if not self.up:
            return
        if self.stuck:
            self.unsent += len(data)
            self.desk.unsent += len(data)
            if self.desk.unsent > MOST_UNSENT:
                self.desk.book.count("clients that do not read")
                self.desk.log("client", "client: does not read its answers; connection closed")
                return self.transport.abortConnection()
        self.transport.write(data)

    # what the transport says as it fills and empties

    def pauseProducing(self):
        self.stuck = True
        self.transport.pauseProducing()

    def resumeProducing(self):
        self.stuck = False
        self.desk.unsent -= self.unsent
        self.unsent = 0
        if self.up:
            self.transport.resumeProducing()

    def stopProducing(self):
        self.up = False

    def close(self):
        """Ends the connection, on which nothing is open, once what is written has gone."""
        if self.up:
            self.up = False
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            self.desk.reactor.callLater(CLOSE_S, self.transport.abortConnection)

    def tell_no_more(self):
        if not self.told:
            self.told = True
            self.put(frames.frame(frames.NO_MORE, 0))

    def connectionLost(self, reason):
        self.up = False
        self.desk.unsent -= self.unsent
        self.unsent = 0
        queries, self.open = self.open, {}
        for q in queries.values():      # what was taken on it ends at its engine
            self.leave(q)
        self.desk.unfinished -= self.reader.unfinished()
        self.reader.held = None
        self.desk.closed(self)


class TakeIn(Factory):
    """All clients' connections: at most `most` at a time; more wait to be accepted."""

    ANSWERS = {frames.FINISHED: "answers finished", frames.DEFERRED: "answers deferred",
               frames.KILLED: "answers killed"}
    noisy = False

    def __init__(self, opening, reactor, admit, book, log, now_ms, ready, most):
        self.groups, self.tenants = opening.groups, opening.tenants
        self.admit, self.book, self.log, self.now_ms, self.ready, self.most = admit, book, log, now_ms, ready, most
        self.reactor, self.seconds = reactor, reactor.seconds
        self.lines, self.port, self.most_lines = {}, None, 0
        self.unsent = self.unfinished = self.held = 0

    def buildProtocol(self, address):
        return ClientLine(self)

    def opened(self, line):
        self.lines[line] = True
        self.most_lines = max(self.most_lines, len(self.lines))
        if len(self.lines) >= self.most and self.port is not None:
            self.port.pauseProducing()

    def closed(self, line):
        self.lines.pop(line, None)
        if len(self.lines) == self.most - 1 and self.port is not None:
            self.port.resumeProducing()

    def query(self, line, stream, said, twice, body):
        if len(line.open) >= MOST_OPEN:
            raise BadQuery(f"more than {MOST_OPEN} open requests")
        if self.held + len(body) > MOST_HELD:
            raise BadQuery("no room for its statement")
        if twice:
            raise BadQuery(f"{twice}: said twice")
        for name in frames.FIELDS.values():
            if name not in said and (name != "tenant" or self.tenants):
                raise BadQuery(f"{name}: missing")
        group, tenant = self.groups.get(said["group"]), self.tenants.get(said.get("tenant"))
        if group is None:
            raise BadQuery(f"group: {said['group'][:40]!r}")
        if tenant is None and self.tenants:
            raise BadQuery(f"tenant: {said['tenant'][:40]!r}")
        if not REF.match(said["ref"]):
            raise BadQuery(f"ref: {said['ref'][:40]!r}")
        now, statement = self.now_ms(), bytes(body)         # it outlives the buffer
        return FrontQuery(0, group, now, now + amount(said, "allowed"), tenant, "", amount(said, "work"),
                          amount(said, "memory"), tables_of(str(statement, "utf-8", "replace")),
                          client=line, stream=stream, ref=said["ref"], statement=statement)

    def tell_no_more(self):
        for line in list(self.lines):
            line.tell_no_more()

    def close(self, oldest_s):
        """Closes the connections on which nothing is open and nothing has come since."""
        for line in [x for x in self.lines if not x.open and x.heard_s <= oldest_s]:
            line.close()
