"""Send: the call that starts a submission on its engine."""
from twisted.internet.defer import inlineCallbacks

from lichenquay.admission import interface as io
from lichenquay.front.engines import Broken, Garbled, NotConnected, Silent


class Send:
    def __init__(self, engines, relay, book):
        self.engines, self.relay, self.book = engines, relay, book

    def down(self, flight, call, patience_ms):
        self.book.opened()
        flight.timer = self.engines.later(patience_ms, lambda: self.relay.call_off(flight))
        self.post(flight, call).addErrback(self.relay.fault, flight)

    @inlineCallbacks
    def post(self, flight, call):
        flight.call = self.engines.call(flight.engine, call, new=True,
                                        on_written=lambda: self.relay.asked(flight))
        try:
            reply = yield flight.call.answer
        except NotConnected:
            return self.book.end(flight, io.NOT_CONNECTED)
        except (Broken, Garbled) as why:
            # It may have run, and may run on: nothing else goes out for the query until that is over.
            yield self.relay.give_up(flight, io.RESET if isinstance(why, Broken) else io.ERROR)
            return
        except Silent:
            reply = None        # it may be there: its news are asked for on another connection
        flight.call = None
        yield self.relay.follow(flight, reply)
