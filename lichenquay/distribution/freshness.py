"""How old a subscriber's state may be, by its own clock."""

from lichenquay.distribution import distribution_pb2 as pb

INF = float("inf")


class Freshness:
    """The newest version known to exist, and when the held version was confirmed to be the newest."""

    def __init__(self):
        """Start without a confirmation."""
        self.newest_version = 0
        self.newest_confirmed_ms = -INF
        self.held_confirmed_ms = -INF

    def record(self, delta: pb.Delta, held_version: int, follow_sent_ms: float) -> None:
        """Apply what a delta reports about the newest version.

        Its age counts from the sending of the Follow that it answers, so that a message that was in transit
        for an hour does not make an old version look new.
        """
        confirmed_ms = follow_sent_ms - delta.age_ms
        if delta.newest >= self.newest_version:
            before_ms = self.newest_confirmed_ms if delta.newest == self.newest_version else -INF
            self.newest_version = delta.newest
            self.newest_confirmed_ms = max(before_ms, confirmed_ms)
        if held_version == delta.newest:
            self.held_confirmed_ms = max(self.held_confirmed_ms, confirmed_ms)
