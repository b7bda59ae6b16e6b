"""Send: the call that starts an attempt on its engine."""

from twisted.internet.defer import Deferred, inlineCallbacks

from lichenquay.admission import domain
from lichenquay.gateway import http
from lichenquay.gateway.engine_call import Broken, NeverSent, NotConnected, Silent


class Send:
    def __init__(self, engines, relay, metrics, wake, may_go, now_ms):
        self.engines, self.relay, self.metrics, self.wake, self.now_ms = engines, relay, metrics, wake, now_ms
        self.may_go = may_go

    def down(self, flight, call):
        self.metrics.opened()
        self.wake(flight.until_ms, lambda: flight.over or self.relay.call_off(flight))
        self.post(flight, call).addErrback(self.relay.fault, flight)

    @inlineCallbacks
    def post(self, flight, call):
        """Its answer, or that it broke or is late, whatever comes first; then the relay asks for news. The call stays out
        when it is late: it may not have been read, and its answer tells that it has."""
        first = Deferred()
        flight.call = self.engines.call(
            flight.engine,
            call,
            http.is_news,
            new=True,
            address=flight.host,
            owner=flight,
            may_go=lambda: self.may_go(flight),
            on_written=lambda: flight.life.wrote(self.now_ms()),
            on_late=lambda: first.callback(Silent()),
        )
        flight.call.answer.addCallbacks(
            lambda reply: self.answered(flight, first, reply),
            lambda failure: self.broke(flight, first, failure),
        )
        reply = yield first
        if isinstance(reply, NeverSent):
            return self.metrics.end(flight, domain.Outcome.NEVER_SENT)
        if isinstance(reply, NotConnected):
            return self.metrics.end(flight, domain.Outcome.NOT_CONNECTED)
        if isinstance(reply, Exception):
            # Risk: it may have run, and may run on. Its news, asked for on another connection, tell: the engine
            # goes on with it, gives its end again, or knows nothing of it, which proves little (`certainty`).
            self.metrics.count(f"first calls {type(reply).__name__.lower()}")
            reply, flight.missed = None, True
        yield self.relay.follow(flight, reply)

    def answered(self, flight, first, reply):
        """Risk: what the first call tells late is lost, or taken twice; the loop that asks for news takes it up."""
        flight.call = None
        flight.connection = reply.connection
        self.relay.heard(flight, reply)
        if first.called:
            self.metrics.count("first calls answered late")
            if (
                not flight.over and reply.status != 200
            ):  # its result is told again to whoever asks for the news
                flight.late = reply
        else:
            first.callback(reply)
        flight.wake()

    def broke(self, flight, first, failure):
        flight.connection, flight.call = flight.connection or flight.call.went_on, None
        if failure.check(Broken):  # not what this side ended: what has come whole there is still read
            flight.life.cut(self.now_ms())
        if not first.called:
            return first.callback(failure.value)
        flight.wake()
