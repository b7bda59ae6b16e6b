"""The age of a subscriber's state, measured by the subscriber's own clock."""

from lichenquay.distribution import distribution_pb2 as pb

INF = float("inf")


class Freshness:
    """Holds the newest version known to exist, and when the held version was last confirmed as newest."""

    def __init__(self):
        """Starts without a confirmation."""
        self.newest_version = 0
        self.newest_confirmed_ms = -INF
        self.held_confirmed_ms = -INF

    def record(self, delta: pb.Delta, held_version: int, follow_sent_ms: float) -> None:
        """Records what a delta reports about the newest version.

        Its age counts from when the Follow that it answers was sent, so that a delta that was in transit for
        an hour does not make an old version look new.
        """
        confirmed_ms = follow_sent_ms - delta.age_ms
        if delta.newest >= self.newest_version:
            previous_ms = self.newest_confirmed_ms if delta.newest == self.newest_version else -INF
            self.newest_version = delta.newest
            self.newest_confirmed_ms = max(previous_ms, confirmed_ms)
        if held_version == delta.newest:
            self.held_confirmed_ms = max(self.held_confirmed_ms, confirmed_ms)
