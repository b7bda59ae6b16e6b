"""Route: from a submission to the engine's address and the fields of the call."""
from lichenquay.front.http import request


class Flight:
    """A submission on its way: what the network part keeps of it until its ending."""

    __slots__ = ("sub", "query", "engine", "host", "path", "rank", "until_ms", "asked_ms", "timer", "over",
                 "given_up", "call", "told", "telling")

    def __init__(self, sub, until_ms):
        self.sub, self.query, self.engine, self.until_ms = sub, sub.query, sub.engine, until_ms
        self.host, self.telling = sub.engine.address, False
        self.path, self.asked_ms = f"/o/{sub.query.ref}/", sub.sent_ms
        self.rank = self.told = sub.query.rank_asked
        self.timer, self.over, self.given_up, self.call = None, False, None, None


class Route:
    """Addresses come from the bulletin; grant and priority from the controller, by the query."""

    def __init__(self, send, relay):
        self.send, self.relay = send, relay

    def down(self, sub, patience_ms):
        q = sub.query
        flight = Flight(sub, sub.sent_ms + patience_ms)
        headers = [("X-Hop-Id", q.ref), ("X-Sort", q.group.name), ("X-Budget", max(1, int(patience_ms)))]
        if q.grant_mb > 0:
            headers.append(("X-Mem-Limit", f"{q.grant_mb:.1f}"))
        if q.rank_asked is not None:
            headers.append(("X-Nice", q.rank_asked))
        self.send.down(flight, request("POST", "/o", flight.host, headers, q.statement), patience_ms)
        return flight

    def rerank(self, flight, rank):
        """A new priority for what is out already."""
        if flight.rank != rank and not flight.over and not flight.given_up:
            flight.rank = rank
            self.relay.tell_rank(flight).addErrback(self.send.fault, flight)

    def give_up(self, flight):
        self.relay.give_up(flight).addErrback(self.send.fault, flight)
