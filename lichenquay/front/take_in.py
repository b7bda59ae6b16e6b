"""Take in: clients' connections, their queries and what else they say; and the answers back to them."""
import re
import traceback

from twisted.internet.protocol import Factory, Protocol

from lichenquay.front import frames
from lichenquay.front.admit import FrontQuery
from lichenquay.front.engines import send_now
from lichenquay.front.statement import tables_of

MOST_OPEN = 32                  # PROTOCOL: open requests on one connection
REF = re.compile(r"[0-9a-fA-F]{16}\Z")
IDLE_S = 4.5                    # PROTOCOL: clients close idle connections after 4 s; some hold theirs for good
WHOLE_S = 2.0                   # for a first frame, and for one that has begun: LATER owes an answer or a close within 3 s
CLOSE_S = 0.3                   # for the last bytes of a connection that is being closed
QUIET_S = 0.02                  # a client that has something to say says it by then, when there is no room for others
ACCEPTS = 8                     # connections accepted, or ended for room, at a time
REST_S, MOST_SENSELESS = 0.05, 16   # after a request that makes no sense; so many of them end a connection
MOST_STREAMS = 4096             # numbers of streams that are kept of a connection
BACKLOG = 511
MOST_UNSENT = 65_536            # bytes of answers that a client has not read before it is read no further
ROOM_EACH = 16                  # one frame or statement takes this part of the free room at most
MOST_MS, MOST_MB = 86_400_000.0, 1_048_576.0    # a day, and a terabyte: what is said to need more makes no sense


class BadQuery(ValueError):
    """A well-formed request that makes no query; the text says why."""

    code = frames.KILLED


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


class Streams:
    """The numbers of the streams that a connection has used: all up to one, and some above."""

    __slots__ = ("below", "above")

    def __init__(self):
        self.below, self.above = 0, set()

    def use(self, stream):
        """False if it was used before."""
        if stream <= self.below or stream in self.above:
            return False
        self.above.add(stream)
        while self.below + 1 in self.above:
            self.below += 1
            self.above.discard(self.below)
        return True


class ClientLine(Protocol):
    """One client's connection. It stops being read while it does not read its own answers: `unsent` bytes of them
    wait in the transport, which asks for more (`resumeProducing`) once it is empty."""

    def __init__(self, desk):
        self.desk, self.reader, self.open, self.unsent, self.used = desk, frames.FrameReader(), {}, 0, Streams()
        self.up, self.stuck, self.bad, self.told, self.heard_s = True, False, False, False, desk.seconds()
        self.known, self.begun_s, self.senseless, self.rests = False, self.heard_s, 0, None

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        self.desk.opened(self)

    def dataReceived(self, data):
        if self.bad or not self.up:
            return
        before, self.heard_s = self.reader.unfinished(), self.desk.seconds()
        try:
            for kind, stream, payload in self.reader.feed(data):
                self.known, self.begun_s = True, self.heard_s
                self.heard(kind, stream, payload)
                if self.senseless > MOST_SENSELESS:
                    raise frames.BadFrame("too many requests that make no sense")
            grown = self.reader.unfinished() - before
            if not before:
                self.begun_s = self.heard_s
            if grown > 0 and not self.desk.fits(before + grown, before):
                raise frames.BadFrame("too much that is not whole")
            self.desk.held += grown
        except frames.BadFrame as bad:
            self.desk.held -= before
            self.reader.held = None
            self.ends(str(bad))

    def ends(self, why):
        """Nothing more is read from it; what was taken on it is still answered."""
        self.desk.book.count("bad frames")
        self.desk.log("client", f"client: {why}; connection closed")
        self.put(frames.answer(0, frames.KILLED, why.encode()))
        self.bad = True
        if self.up:
            self.transport.pauseProducing()
        self.close_if_done()

    def heard(self, kind, stream, payload):
        if kind == frames.QUERY:
            if stream == 0 or not self.used.use(stream):
                raise frames.BadFrame(f"stream {stream} is not new")
            if len(self.used.above) > MOST_STREAMS:
                raise frames.BadFrame("too many numbers of streams left out")
            request = frames.read_query(payload)
            self.desk.book.count("queries taken in")
            try:
                q = self.desk.query(self, stream, *request)
            except BadQuery as bad:
                return self.makes_no_sense(stream, bad)
            except Exception:       # risk: a fault met for one query ends the connection, and others with it
                self.desk.book.count("faults")
                self.desk.log("fault", traceback.format_exc())
                self.desk.book.count("answers killed")
                return self.put(frames.answer(stream, frames.KILLED, b"a fault in the front"))
            self.open[stream] = self.desk.refs[q.ref] = q
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

    def makes_no_sense(self, stream, why):
        """Answered at once, and read on after a rest.
        Risk: one that comes back at once with the same thing takes the turns of others."""
        self.desk.book.count("queries that make no sense")
        self.desk.book.count(self.desk.ANSWERS[why.code])
        self.put(frames.answer(stream, why.code, str(why).encode()))
        self.senseless += 1
        if self.up and self.rests is None:
            self.transport.pauseProducing()
            self.rests = self.desk.reactor.callLater(REST_S, self.read_on)

    def read_on(self):
        self.rests = None
        if self.up and not self.stuck and not self.bad:
            self.transport.resumeProducing()

    def answer(self, q, code, body):
        if self.open.pop(q.stream, None) is not None:
            self.let_go(q)
            self.heard_s = self.desk.seconds()      # it is idle from now on
            self.put(frames.answer(q.stream, code, *body))
            self.desk.book.count(self.desk.ANSWERS[code])
            self.close_if_done()

    def leave(self, q):
        self.let_go(q)
        self.desk.admit.left(q)

    def let_go(self, q):
        """Risk: timers keep a query until its client's time is up, and with it a statement of any length and its
        connection."""
        self.desk.held -= len(q.statement)
        self.desk.refs.pop(q.ref, None)
        q.statement, q.client = b"", None

    def close_if_done(self):
        if self.bad and not self.open:
            self.close()

    def put(self, data):
        if not self.up:
            return
        rest = data if self.unsent else send_now(self.transport, data)
        if not rest:
            return
        self.unsent += len(rest)
        self.desk.held += len(rest)
        if self.desk.held > self.desk.room:
            self.desk.book.count("clients that do not read")
            self.desk.log("client", "client: does not read its answers; connection closed")
            return self.transport.abortConnection()
        self.transport.write(rest)
        if self.unsent > MOST_UNSENT:
            self.stuck = True
            self.transport.pauseProducing()

    def resumeProducing(self):
        self.desk.held -= self.unsent
        self.unsent = 0
        if self.stuck:
            self.stuck = False
            if self.up and not self.bad and self.rests is None:
                self.transport.resumeProducing()

    def stopProducing(self):
        self.up = False

    def close(self):
        """Ends the connection, on which nothing is open, once what is written has gone. A client that has more to
        say gets our last words first: closing on unread bytes would take them back."""
        if self.up:
            self.up = False
            self.transport.unregisterProducer()
            if self.bad:
                self.transport.loseWriteConnection()
            else:
                self.transport.loseConnection()
            self.desk.reactor.callLater(CLOSE_S, self.transport.abortConnection)

    def tell_no_more(self):
        if not self.told:
            self.told = True
            self.put(frames.frame(frames.NO_MORE, 0))

    def connectionLost(self, reason):
        self.up = False
        self.desk.held -= self.unsent + self.reader.unfinished()
        self.unsent, self.reader.held = 0, None
        if self.rests is not None:
            self.rests.cancel()
            self.rests = None
        queries, self.open = self.open, {}
        for q in queries.values():      # what was taken on it ends at its engine
            self.leave(q)
        self.desk.closed(self)


class TakeIn(Factory):
    """All clients' connections: at most `most` at a time; more wait to be accepted. What they make the front hold
    (open queries' statements, frames that are not whole, answers that are not read) has `room` bytes, all together."""

    ANSWERS = {frames.FINISHED: "answers finished", frames.DEFERRED: "answers deferred",
               frames.KILLED: "answers killed"}
    noisy = False

    def __init__(self, opening, reactor, admit, book, log, now_ms, ready):
        self.groups, self.tenants = opening.groups, opening.tenants
        self.admit, self.book, self.log, self.now_ms, self.ready = admit, book, log, now_ms, ready
        self.reactor, self.seconds = reactor, reactor.seconds
        self.lines, self.refs, self.port, self.accept, self.most_lines = {}, {}, None, None, 0
        self.most = self.room = self.held = 0

    def listen(self, host, port):
        self.port = self.reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)
        self.accept, self.port.doRead = self.port.doRead, self.accept_some

    def accept_some(self):
        """Accepts what there is room for, making room first. Risk: connections by the hundreds that say nothing, or
        that rest after one query, take the descriptors of engines or keep the usual clients out."""
        free = self.most - len(self.lines)
        if free > 0:
            self.port.numberAccepts = min(ACCEPTS, free)
            return self.accept()
        self.make_room(ACCEPTS)
        self.port.pauseProducing()
        self.reactor.callLater(QUIET_S / 2, self.accept_on)

    def accept_on(self):
        if self.port is not None:
            self.port.resumeProducing()

    def make_room(self, n):
        """Ends connections on which nothing is open: first those that are ending, then those that have said nothing
        yet, then the longest idle."""
        quiet = self.seconds() - QUIET_S
        for line in [x for x in self.lines if not x.up][:n]:
            line.transport.abortConnection()
            n -= 1
        idle = sorted((line.known, line.heard_s, i, line) for i, line in enumerate(self.lines)
                      if line.up and not line.open and line.heard_s < quiet)
        for *_, line in idle[:n]:
            self.book.count("clients closed for room")
            line.tell_no_more()
            line.close()

    def buildProtocol(self, address):
        return ClientLine(self)

    def opened(self, line):
        self.lines[line] = True
        self.most_lines = max(self.most_lines, len(self.lines))

    def closed(self, line):
        self.lines.pop(line, None)

    def query(self, line, stream, said, twice, body):
        if len(line.open) >= MOST_OPEN:
            raise NoRoom(f"more than {MOST_OPEN} open requests")
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
        if said["ref"] in self.refs:        # risk: one query's result becomes the answer to another statement
            raise BadQuery("ref: it is open already")
        if not self.fits(len(body)):
            raise NoRoom("no room for its statement")
        now, statement = self.now_ms(), bytes(body)         # it outlives the buffer
        longest = group.timeout_ms or MOST_MS
        return FrontQuery(0, group, now, now + min(longest, amount(said, "allowed", 2 * longest)), tenant, "",
                          amount(said, "work", MOST_MS), amount(said, "memory", MOST_MB),
                          tables_of(str(statement, "utf-8", "replace")),
                          client=line, stream=stream, ref=said["ref"], statement=statement)

    def fits(self, size, had=0):
        """Risk: a few that send much take the room of the many that send little."""
        return size <= (self.room - self.held + had) / ROOM_EACH

    def tell_no_more(self):
        for line in list(self.lines):
            line.tell_no_more()

    def sweep(self):
        """Closes what has outlived its use: connections without a whole frame in time, and idle ones."""
        now = self.seconds()
        for line in [x for x in self.lines if x.up and not x.bad]:
            if now - line.begun_s > WHOLE_S and (not line.known or line.reader.unfinished()):
                line.ends("no whole frame in time")
            elif not line.open and now - line.heard_s > IDLE_S:
                line.tell_no_more()
                line.close()

    def close_all(self):
        for line in [x for x in self.lines if not x.open]:
            line.close()
