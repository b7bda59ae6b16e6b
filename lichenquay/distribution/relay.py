"""A subscriber of everything whose changes go into a source: one for a zone. No I/O."""

from lichenquay.distribution.source import Source
from lichenquay.distribution.subscriber import Subscriber

DOWNWARDS = {"follow", "fetch", "leave"}  # Messages to a relay's source; all others are for its subscriber.


class Relay:
    """Follows one of the publisher's voters, serves the fronts of its zone, tells what they have in force."""

    def __init__(self, name, publishers, rng, settings, now_ms, told=None):
        """Holds nothing: it tells fronts to wait until it does."""
        self.name = name
        self.source = Source(name, rng, settings, now_ms)
        self.subscriber = Subscriber(name, publishers, [""], rng, settings, now_ms, self._apply, told)
        self.subscriber.took = self._took
        self.subscriber.coverage = self._coverage
        self.outbox = self.subscriber.outbox = self.source.outbox
        self._now_ms = now_ms

    @property
    def due_ms(self):
        """When `tick` is wanted."""
        return min(self.subscriber.due_ms, self.source.due_ms)

    def tick(self, now_ms):
        """What is due in both parts."""
        self._now_ms = now_ms
        if now_ms >= self.subscriber.due_ms:
            self.subscriber.tick(now_ms)
        if now_ms >= self.source.due_ms:
            self.source.tick(now_ms)

    def heard(self, now_ms, sender, message):
        """From a voter above or a subscriber below."""
        self._now_ms = now_ms
        if message.WhichOneof("kind") in DOWNWARDS:
            self.source.heard(now_ms, sender, message)
        else:
            self.subscriber.heard(now_ms, sender, message)
            self._confirm(now_ms)

    def _apply(self, now_ms, changed, whole):
        """A relay puts nothing in force itself; it judges no change."""
        return None

    def _took(self, now_ms, entries):
        upper = self.subscriber
        if entries is None:
            self.source.reset(now_ms, upper.held.copy(), upper.generation)
        else:
            self.source.advance(now_ms, upper.generation, upper.version, entries, upper.newest_ms)

    def _confirm(self, now_ms):
        """What the publisher confirmed, to the fronts; its age goes on by this process's clock."""
        upper = self.subscriber
        if upper.newest_ms > float("-inf"):
            self.source.confirm(now_ms, upper.generation, upper.newest, now_ms - upper.newest_ms)

    def _coverage(self):
        return self.source.coverage(self._now_ms)
