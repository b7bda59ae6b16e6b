"""Route: from a submission to the engine's address and the fields of the call."""

from lichenquay.gateway import http
from lichenquay.gateway.attempt_lifecycle import Life


class Flight:
    """A submission on its way: what the network part keeps of it until its ending."""

    __slots__ = (
        "sub",
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

    def __init__(self, sub, until_ms):
        self.sub, self.query, self.engine, self.until_ms = sub, sub.query, sub.engine, until_ms
        self.host, self.telling = sub.engine.address, False
        self.ref, self.life = sub.query.ref, Life()
        self.rank = self.told = sub.query.rank_asked
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

    def down(self, sub, patience_ms):
        q = sub.query
        flight = Flight(sub, sub.sent_ms + patience_ms)
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
                q.key,
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
