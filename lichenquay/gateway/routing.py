"""Route: from an attempt to the engine's address and the fields of the call."""

from lichenquay.gateway import http
from lichenquay.gateway.attempt_lifecycle import Life


class Flight:
    """An attempt on its way: what the network part keeps of it until its ending."""

    __slots__ = (
        "attempt",
        "query",
        "engine",
        "host",
        "ref",
        "rank",
        "until_ms",
        "life",
        "over",
        "given_up",
        "call",
        "told",
        "telling",
        "connection",
        "late",
        "pausing",
        "missed",
    )

    def __init__(self, attempt, until_ms):
        self.attempt, self.query, self.engine, self.until_ms = (
            attempt,
            attempt.query,
            attempt.engine,
            until_ms,
        )
        self.host, self.telling = attempt.engine.address, False
        self.ref, self.life = attempt.query.ref, Life()
        self.rank = self.told = attempt.query.rank_asked
        self.over, self.given_up, self.call, self.connection = False, None, None, None
        self.missed = False  # an answer to a call for it was lost
        self.late = None  # the answer to its first call, after others went out
        self.pausing = set()  # pauses between two calls for it

    def settle(self):
        """Its first call has nothing more to tell: its connection goes. Risk: it is held for an answer that never comes."""
        call, self.call = self.call, None
        if call is not None:
            call.abandon()

    def wake(self, *pauses):
        """Ends its pauses, or those given: there is something to go on with. Risk: one that nobody ends holds it for ever."""
        for pause in pauses or list(self.pausing):
            if pause in self.pausing:
                self.pausing.remove(pause)
                pause.callback(None)


class Route:
    """Addresses come from the bulletin; grant and priority from the controller, by the query."""

    def __init__(self, send, relay):
        self.send, self.relay = send, relay

    def down(self, attempt, patience_ms):
        q = attempt.query
        flight = Flight(attempt, attempt.sent_ms + patience_ms)
        self.send.down(
            flight,
            http.start(
                flight.host,
                q.ref,
                q.group.name,
                patience_ms,
                q.grant_mb,
                q.rank_asked,
                q.statement,
                q.token,
                q.ordering_key,
            ),
        )
        return flight

    def rerank(self, flight, rank):
        """A new priority for what is out already."""
        if flight.rank != rank and not flight.over and not flight.given_up:
            flight.rank = rank
            self.relay.rerank(flight)

    def give_up(self, flight):
        self.relay.call_off(flight)
