"""Send: the call that starts a submission on its engine."""
from twisted.internet.defer import inlineCallbacks

from lichenquay.admission import interface as io
from lichenquay.front import http
from lichenquay.front.engines import Broken, Garbled, NotConnected, Silent


class Send:
    def __init__(self, engines, relay, book, wake):
        self.engines, self.relay, self.book, self.wake = engines, relay, book, wake

    def down(self, flight, call):
        self.book.opened()
        self.wake(flight.until_ms, lambda: flight.over or self.relay.call_off(flight))
        self.post(flight, call).addErrback(self.relay.fault, flight)

    @inlineCallbacks
    def post(self, flight, call):
        flight.call = self.engines.call(flight.engine, call, http.is_news, new=True,
                                        on_written=lambda: self.relay.asked(flight))
        try:
            reply = yield flight.call.answer
            flight.line = reply.line
        except NotConnected:
            return self.book.end(flight, io.NOT_CONNECTED)
        except (Broken, Garbled, Silent) as why:
            # Risk: it may have run, and may run on. Its news, asked for on another connection, tell: the engine
            # goes on with it, gives its end again, or knows nothing of it.
            self.book.count(f"first calls {type(why).__name__.lower()}")
            reply, flight.missed = None, True
        flight.call = None
        yield self.relay.follow(flight, reply)
