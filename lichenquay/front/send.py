"""Send: the call that starts a submission on its engine."""
from twisted.internet.defer import inlineCallbacks

from lichenquay.admission import interface as io
from lichenquay.front.engines import Broken, NotConnected, Silent


class Send:
    def __init__(self, engines, relay, book, silent_ms, log):
        self.engines, self.relay, self.book, self.silent_ms, self.log = engines, relay, book, silent_ms, log

    def down(self, flight, call, patience_ms):
        self.book.opened()
        self.post(flight, call, patience_ms).addErrback(self.fault, flight)

    def fault(self, failure, flight):
        """Risk: a fault met for one submission leaves its query without an answer."""
        self.book.count("faults")
        self.log("fault", failure.getTraceback())
        self.book.end(flight, io.ERROR)

    @inlineCallbacks
    def post(self, flight, call, patience_ms):
        flight.timer = self.engines.later(patience_ms, lambda: self.relay.give_up(flight))
        try:
            flight.call = self.engines.call(flight.engine, call, self.silent_ms,
                                            on_written=lambda: self.relay.asked(flight))
            reply = yield flight.call.answer
        except NotConnected:
            self.book.end(flight, io.NOT_CONNECTED)
            return
        except Broken:
            # It may have run, and may run on: nothing else goes out for the query until that is over.
            yield self.relay.give_up(flight, io.RESET)
            return
        except Silent:
            reply = None        # it may be there: its news are asked for on another connection
        flight.call = None
        yield self.relay.follow(flight, reply)
