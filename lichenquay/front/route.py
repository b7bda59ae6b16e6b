"""Route: from a submission to the engine's address and the fields of the call."""
from lichenquay.front.http import request


class Flight:
    """A submission on its way: what the network part keeps of it until its ending."""

    __slots__ = ("sub", "query", "engine", "host", "path", "rank", "until_ms", "asked_ms", "timer", "over",
                 "given_up", "call")

    def __init__(self, sub, host, until_ms):
        self.sub, self.query, self.engine, self.host, self.until_ms = sub, sub.query, sub.engine, host, until_ms
        self.path, self.rank, self.asked_ms = f"/o/{sub.query.ref}/", sub.query.rank_asked, sub.sent_ms
        self.timer, self.over, self.given_up, self.call = None, False, None, None


class Route:
    """Addresses come from the bulletin; grant and priority from the controller, by the query."""

    def __init__(self, engines, send, news):
        self.engines, self.send, self.news = engines, send, news

    def down(self, sub, patience_ms):
        q = sub.query
        flight = Flight(sub, self.engines.addresses[sub.engine], sub.sent_ms + patience_ms)
        headers = [("X-Hop-Id", q.ref), ("X-Sort", q.group.name), ("X-Budget", int(patience_ms))]
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
            self.news.tell(flight, request("PUT", flight.path[:-1], flight.host, body=str(rank).encode()))

    def give_up(self, flight):
        self.news.give_up(flight).addErrback(self.send.fault, flight)

    def listed(self, engine, address):
        if self.engines.addresses.get(engine, address) != address:
            self.engines.close_idle(engine)
        self.engines.addresses[engine] = address

    def withdrawn(self, engine):
        self.engines.close_idle(engine)
