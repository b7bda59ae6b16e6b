"""Relay: the news of an attempt, the pages of its result, and giving it up."""

from twisted.internet.defer import Deferred, inlineCallbacks

from lichenquay.admission import domain
from lichenquay.gateway import http
from lichenquay.gateway.engine_call import Broken, Garbled, NotConnected, Silent

MOST_RESULT = 48_000  # PROTOCOL: bytes of a result
MOST_UNREADABLE = 6  # answers to one call; then the engine itself is at fault
AGAIN_MS = 50.0  # between two tries to reach an engine, doubled up to ...
MOST_AGAIN_MS = 400.0  # ... this, so that it is still asked well within 2 s


class Relay:
    def __init__(self, engines, metrics, noted, now_ms, log):
        self.engines, self.metrics, self.noted, self.now_ms, self.log = engines, metrics, noted, now_ms, log

    def fault(self, failure, flight):
        """Risk: a fault met for one attempt leaves its query without an answer, or the engine at work on it."""
        self.metrics.count("faults")
        self.log("fault", failure.getTraceback())
        if flight.given_up:
            self.metrics.end(flight, flight.given_up)
        else:
            self.call_off(flight, domain.Outcome.FAILED)

    def call_off(self, flight, ending=None):
        self.give_up(flight, ending).addErrback(self.fault, flight)

    def rerank(self, flight):
        self.tell_rank(flight).addErrback(self.fault, flight)

    def heard(self, flight, reply):
        """An answer of the engine's own to the first call, or for it: it settles what the engine has."""
        if reply.status in (200, 202):
            flight.life.known(self.now_ms())
        else:
            flight.life.ended()

    def pause(self, flight, tries):
        """Risk: an engine that takes connections and ends them at once keeps the front busy with nothing else."""
        done = Deferred()
        flight.pausing.add(done)
        delayed = self.engines.later(min(AGAIN_MS * 2**tries, MOST_AGAIN_MS), lambda: flight.wake(done))
        return done.addCallback(lambda _: delayed.active() and delayed.cancel())

    def alive(self, flight):
        """Its engine's process may be there, whatever its door says: the first call is still out, another connection is open, this
        side ended the one that it was last known on, or it leaves. Risk: one that takes no more connections, and works on, is taken
        for gone; a reset under a request beside it proves no more."""
        known_on = flight.connection
        return (
            flight.call is not None
            or known_on is not None
            and known_on.ended_here
            or flight.engine.state != domain.EndpointState.SERVING
            or self.engines.alive(flight.engine, flight.host)
        )

    def stranger(self, flight, connection):
        """Whether what came on a connection may be another engine's word. Risk: an engine that leaves, or has left, the list
        works on behind a closed door, or cut off, and its address has gone to one that knows nothing of its queries."""
        return flight.engine.state != domain.EndpointState.SERVING and connection is not flight.connection

    @inlineCallbacks
    def ask(self, flight, page):
        """A call for news or for a page, put again on another connection while the engine may still know the
        query; None once the attempt has been ended otherwise."""
        fresh, tries, unreadable, call = False, 0, 0, http.page(flight.host, flight.ref, page)
        fits, life = http.is_page(page) if page else http.is_news, flight.life
        while not (flight.over or flight.given_up):
            if flight.late is not None and not page:
                reply, flight.late = flight.late, None
                return reply
            try:
                reply, written = yield self.put(flight, call, fits, fresh)
                if flight.over or flight.given_up:
                    return None
                if reply.status != 500:
                    flight.connection, flight.late = reply.connection, None
                    self.heard(flight, reply)
                    flight.settle()
                    return reply
                if life.unknown(written, self.now_ms(), self.stranger(flight, reply.connection)):
                    return reply
                self.metrics.count("unknown without proof")
                fresh = False
            except NotConnected as failed:
                # Its process is gone, refused twice, or nothing has reached it for so long that the query is over.
                # Risk: another attempt comes to an engine while a dying process still holds this one.
                if failed.refused:
                    life.refused(self.now_ms(), self.alive(flight))
                    fresh = False
                if life.passed(self.now_ms()):
                    if not flight.given_up:
                        self.metrics.count(f"reset: {life.proof}")
                        self.metrics.end(flight, domain.Outcome.CONNECTION_RESET)
                    return None
            except (Broken, Silent, Garbled) as why:
                # The connection's fault, or its peer's for once: the engine gives the same answer again.
                self.metrics.count("news asked again")
                flight.missed = True
                if isinstance(why, Garbled):
                    self.metrics.count("answers unreadable")
                    unreadable += 1
                    if unreadable >= MOST_UNREADABLE:
                        yield self.give_up(flight, domain.Outcome.FAILED)
                        return None
                if not fresh:  # at once on another connection; then with pauses
                    fresh = True
                    continue
            yield self.pause(flight, tries)
            tries += 1

    @inlineCallbacks
    def put(self, flight, data, fits, fresh, keeps=True):
        """One call for an attempt: its answer, and when its first byte was written. `keeps`: it keeps its engine at it."""
        written = [0.0]

        def wrote():
            written[0] = self.now_ms()
            if keeps:
                flight.life.asked(written[0])

        call = self.engines.call(
            flight.engine,
            data,
            fits,
            fresh=fresh,
            urgent=not keeps,
            connection=flight.connection,
            on_written=wrote,
            address=flight.host,
            owner=flight,
        )
        try:
            reply = yield call.answer
        except Broken:
            if call.went_on is flight.connection:
                flight.life.cut(self.now_ms())
            raise
        return reply, written[0]

    @inlineCallbacks
    def follow(self, flight, reply):
        """From the answer to the first call to the ending."""
        self.rerank(flight)  # a priority that was set while the first call was on its way
        while reply is None or reply.status == 202:
            if reply and not flight.given_up:
                note = http.note_of(reply)
                if note or flight.missed:  # a note may have gone with an answer that was lost
                    self.noted(flight.attempt, *(note or (domain.ProgressKind.RESPONSIVE, 0.0)))
                flight.missed = False
            reply = yield self.ask(flight, 0)
            if reply is None:
                return
        if flight.over or flight.given_up:
            return
        if http.is_full(reply):
            self.metrics.end(flight, domain.Outcome.OVERLOADED, reply)
        else:
            result = yield self.gather(flight, reply)
            if result is not None:
                self.metrics.end(flight, domain.Outcome.COMPLETED, reply, result)

    @inlineCallbacks
    def gather(self, flight, reply):
        """The whole result, page after page; None once the attempt has been ended otherwise."""
        parts, pages, size, n = reply.whole("x-parts", 1), [], 0, 0
        while True:
            if reply.status == 500:  # it failed, or its pages are lost
                self.metrics.end(flight, domain.Outcome.FAILED, reply)
                return None
            size += len(reply.body)
            if size > MOST_RESULT:
                self.metrics.count("results too long")
                yield self.give_up(flight, domain.Outcome.FAILED)
                return None
            pages.append(reply.body)
            n += 1
            if n == parts:
                return pages
            reply = yield self.ask(flight, n)
            if reply is None:
                return None

    @inlineCallbacks
    def give_up(self, flight, ending=None):
        """Ends an attempt from this side. Its ending is told once the engine surely works on it no longer, for
        only then may another go out: its answer to DELETE, its death, or two seconds without a call."""
        if flight.over or flight.given_up:
            return
        if flight.call is not None and flight.call.withdraw():
            return self.metrics.end(flight, domain.Outcome.NEVER_SENT)
        flight.given_up = ending or (
            domain.Outcome.TIMED_OUT if self.now_ms() >= flight.until_ms - 1 else domain.Outcome.CANCELLED
        )
        flight.wake()
        call, fresh, tries, life = http.give_up(flight.host, flight.ref), False, 0, flight.life
        last_word = None
        while not life.passed(self.now_ms()):
            try:
                reply, written = yield self.put(flight, call, http.is_done, fresh, keeps=False)
                other = self.stranger(flight, reply.connection)
                if life.unknown(written, self.now_ms(), other, keeps=False):
                    last_word = None if other else reply
                    break
                # Risk: a DELETE that came before its POST was read ends nothing.
                self.metrics.count("given up without proof")
                fresh = False
            except NotConnected as failed:
                if failed.refused and life.refused(self.now_ms(), self.alive(flight)):
                    break
            except (Broken, Silent, Garbled):
                fresh = True
            yield self.pause(flight, tries)
            tries += 1
        self.metrics.end(flight, flight.given_up, last_word)

    @inlineCallbacks
    def tell_rank(self, flight):
        """A new priority, one call after the other, once the engine has the attempt."""
        while (
            not (flight.telling or flight.call or flight.over or flight.given_up)
            and flight.told != flight.rank
        ):
            flight.telling, flight.told = True, flight.rank
            try:
                yield self.engines.ask(
                    flight.engine,
                    http.priority(flight.host, flight.ref, flight.rank),
                    http.is_done,
                    address=flight.host,
                    owner=flight,
                )
                self.metrics.count("priorities told")
            except (Broken, Garbled, NotConnected, Silent):
                self.metrics.count("priorities not told")
            flight.telling = False
