"""A client's connection: what is said on it, in order, and the answers back to it."""

import fcntl
import struct
import termios
import traceback

from twisted.internet.protocol import Protocol

from lichenquay.gateway import frames
from lichenquay.gateway.engine_connection import send_now

CLOSE_S = 0.3  # for the other side to close as well; then again, while it still reads its last answers
REST_S, MOST_SENSELESS = 0.05, 16  # after a request that makes no sense; so many of them end a connection
MOST_STREAMS = 4096  # numbers of streams that are kept of a connection
MOST_UNSENT = (
    65_536  # bytes of answers that a client has not read before nothing more is taken in from it, and
)
# bytes of requests that wait for that before it is read no further


def untaken(transport):
    """Bytes that the machine holds for a connection whose other side has not taken them; 0 where it does not say."""
    try:
        return struct.unpack("i", fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]
    except OSError:
        return 0


class BadQuery(ValueError):
    """A well-formed request that makes no query; the text says why."""

    code = frames.KILLED


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


class ClientConnection(Protocol):
    """One client's connection. While it does not read its own answers it is `stuck`: `unsent` bytes of them wait in the transport,
    which asks for more (`resumeProducing`) once it is empty. Until then its requests are `kept`; what else it says is heard. Risk:
    with nothing read, a cancel waits in the machine while its query is sent again."""

    def __init__(self, desk, address):
        self.desk, self.reader, self.open, self.unsent, self.used = (
            desk,
            frames.FrameReader(),
            {},
            0,
            Streams(),
        )
        self.place = desk.gate.on_connection_opened(address, desk.gate_ms(), self)
        self.up, self.stuck, self.bad, self.told, self.heard_s = True, False, False, False, desk.seconds()
        self.known, self.begun_s, self.senseless, self.rests = False, self.heard_s, 0, None
        self.kept, self.kept_size = {}, 0  # requests that wait while it is stuck, by stream
        self.wanted_ms, self.ending = (
            0.0,
            None,
        )  # until when its last answers are waited for; a timer once it closes

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        self.desk.opened(self)

    def dataReceived(self, data):
        if self.bad or not self.up:
            return (
                self.rest()
            )  # risk: unread, it hides that the client leaves, or resets our last words on closing
        before, self.heard_s = self.reader.unfinished(), self.desk.seconds()
        try:
            for kind, stream, payload in self.reader.feed(data):
                if not self.known:
                    self.desk.gate.on_frame_received(self.place, self.desk.gate_ms())
                self.known, self.begun_s = True, self.heard_s
                if self.stuck and kind == frames.QUERY:
                    self.keep(stream, payload)
                else:
                    self.heard(kind, stream, payload)
            grown = self.reader.unfinished() - before
            if not before:
                self.begun_s = self.heard_s
            if grown > 0 and not self.desk.fits(before + grown, before):
                raise frames.BadFrame("too much that is not whole")
            self.hold(grown)
        except frames.BadFrame as bad:
            self.hold(-before)
            self.reader.held = None
            self.ends(str(bad))

    def keep(self, stream, payload):
        self.use(stream)
        self.kept[stream] = bytes(payload), self.desk.now_ms()
        self.count_kept(len(payload))
        if self.kept_size > MOST_UNSENT:
            self.transport.pauseProducing()

    def count_kept(self, more):
        self.kept_size += more
        self.hold(more)

    def forget(self, *streams):
        for stream in streams:
            self.count_kept(-len(self.kept.pop(stream)[0]))

    def hear_kept(self):
        """In turn, what was kept; its time counts from when it was read."""
        try:
            while self.kept and not self.stuck and self.up and not self.bad:
                stream, (payload, read_ms) = next(iter(self.kept.items()))
                self.forget(stream)
                self.taken(stream, payload, read_ms)
        except frames.BadFrame as bad:
            self.ends(str(bad))

    def hold(self, more):
        """So many bytes more, or less, that it makes the front hold."""
        if more:
            self.desk.held += more
            self.desk.gate.on_held_bytes_changed(self.place, more)

    def gives_way(self):
        """Its place goes to another one: what was taken on it gets its final answer now, then it is closed."""
        self.desk.metrics.count("clients closed for room")
        if self.is_idle():
            self.tell_no_more()
            return self.close()
        self.ends("its place is needed by others", frames.DEFERRED)
        for q in list(self.open.values()):
            self.desk.admit.give_up(q)

    def ends(self, why, code=frames.KILLED):
        """Nothing more is read from it; what was taken on it is still answered."""
        if self.bad:
            return
        self.desk.metrics.count("bad frames" if code == frames.KILLED else "busy clients closed for room")
        self.desk.log("client", f"client: {why}; connection closed")
        self.put(frames.answer(0, code, why.encode()))
        self.bad = True
        for stream in list(self.kept):  # taken, for its client: it gets its answer, if it reads
            self.forget(stream)
            self.put(frames.answer(stream, code, why.encode()))
        self.desk.gate.on_connection_ending(self.place, self.desk.gate_ms())
        self.close_if_done()

    def heard(self, kind, stream, payload):
        if kind == frames.QUERY:
            self.use(stream)
            self.taken(stream, payload, self.desk.now_ms())
        elif kind == frames.LEFT:
            q = self.open.pop(stream, None)
            if q is not None:
                self.leave(q)
            elif stream in self.kept:
                self.forget(stream)
        elif kind == frames.IS_READY:
            frames.read_fields(payload)
            self.put(frames.readiness(stream, 0 if self.desk.ready() else 1))
        else:
            raise frames.BadFrame(f"a frame of type {kind}")

    def use(self, stream):
        if stream == 0 or not self.used.use(stream):
            raise frames.BadFrame(f"stream {stream} is not new")
        if len(self.used.above) > MOST_STREAMS:
            raise frames.BadFrame("too many numbers of streams left out")

    def taken(self, stream, payload, read_ms):
        request = frames.read_query(payload)
        self.desk.metrics.count("queries taken in")
        try:
            q = self.desk.query(self, stream, *request, read_ms)
        except BadQuery as bad:
            return self.makes_no_sense(stream, bad)
        except Exception:  # risk: a fault met for one query ends the connection, and others with it
            self.desk.metrics.count("faults")
            self.desk.log("fault", traceback.format_exc())
            self.desk.metrics.count("answers killed")
            return self.put(frames.answer(stream, frames.KILLED, b"a fault in the front"))
        self.open[stream] = self.desk.refs[q.ref] = q
        self.desk.gate.on_query_admitted(self.place, self.desk.gate_ms())
        self.hold(len(q.statement))
        self.desk.admit.take(q)

    def makes_no_sense(self, stream, why):
        """Answered at once, and read on after a rest.
        Risk: one that comes back at once with the same thing takes the turns of others."""
        self.desk.metrics.count("queries that make no sense")
        self.desk.metrics.count(self.desk.ANSWERS[why.code])
        self.put(frames.answer(stream, why.code, str(why).encode()))
        self.senseless += why.code == frames.KILLED
        if (
            self.senseless > MOST_SENSELESS
            or why.code == frames.KILLED
            and self.desk.gate.on_invalid_request(self.place, self.desk.gate_ms())
        ):
            raise frames.BadFrame("too many requests that make no sense")
        self.rest()

    def rest(self):
        """Read on after a while. Risk: what nobody wants, at full speed, takes the turns of others."""
        if self.rests is None:
            self.transport.pauseProducing()
            self.rests = self.desk.reactor.callLater(REST_S, self.read_on)

    def read_on(self):
        self.rests = None
        if self.kept_size <= MOST_UNSENT:
            self.transport.resumeProducing()

    def answer(self, q, code, body):
        if self.open.pop(q.stream, None) is not None:
            self.let_go(q)
            self.heard_s = self.desk.seconds()  # it is idle from now on
            self.wanted_ms = max(self.wanted_ms, q.deadline_ms)
            self.put(frames.answer(q.stream, code, *body))
            self.desk.metrics.count(self.desk.ANSWERS[code])
            self.close_if_done()

    def leave(self, q):
        self.let_go(q)
        self.desk.admit.left(q)

    def let_go(self, q):
        """Risk: timers keep a query until its client's time is up, and with it a statement of any length and its
        connection."""
        self.hold(-len(q.statement))
        self.desk.gate.on_query_finished(self.place, self.desk.gate_ms())
        self.desk.refs.pop(q.ref, None)
        q.statement, q.client = b"", None

    def is_idle(self):
        """Nothing that was taken on it waits for an answer."""
        return not self.open and not self.kept

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
        self.hold(len(rest))
        if self.desk.held > self.desk.room:
            self.desk.metrics.count("clients that do not read")
            self.desk.log("client", "client: does not read its answers; connection closed")
            return self.transport.abortConnection()
        self.transport.write(bytes(rest))  # risk: anything else is refused there, and an answer is cut off
        self.stuck = self.stuck or self.unsent > MOST_UNSENT

    def resumeProducing(self):
        self.hold(-self.unsent)
        self.unsent = 0
        if self.stuck:
            self.stuck = False
            self.hear_kept()
            if self.rests is None and self.kept_size <= MOST_UNSENT:
                self.transport.resumeProducing()
        if self.ending is not None:
            self.shut()

    def stopProducing(self):
        self.up = False

    def close(self):
        """Ends the connection, on which nothing is open: our side once what is written has gone, all of it once the client
        has ended its own, or after a while. Risk: closing on unread bytes, or at a fixed time, takes back last words that a
        client has not read yet."""
        if self.up:
            self.up = False
            self.desk.gate.on_connection_ending(self.place, self.desk.gate_ms())
            self.ending = self.desk.reactor.callLater(CLOSE_S, self.over)
            if not self.unsent:
                self.shut()

    def shut(self):
        """No more comes from this side."""
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def over(self):
        """What a slow client has not taken is waited for as long as its queries might have taken."""
        rest = self.unsent or untaken(self.transport)
        if rest and self.desk.now_ms() < self.wanted_ms:
            self.ending = self.desk.reactor.callLater(CLOSE_S, self.over)
        elif rest:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def tell_no_more(self):
        if not self.told:
            self.told = True
            self.put(frames.frame(frames.NO_MORE, 0))

    def connectionLost(self, reason):
        self.up = False
        self.hold(-self.unsent - self.reader.unfinished())
        self.unsent, self.reader.held = 0, None
        self.forget(*self.kept)
        for timer in (self.rests, self.ending):
            if timer is not None and timer.active():
                timer.cancel()
        queries, self.open = self.open, {}
        for q in queries.values():  # what was taken on it ends at its engine
            self.leave(q)
        self.desk.closed(self)
