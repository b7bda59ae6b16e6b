"""A relay: a subscriber of everything whose changes go into a source for the gateways of its zone. No I/O."""

from collections.abc import Sequence
from random import Random

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.applied_state import Report
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.source import Source
from lichenquay.distribution.subscriber import Subscriber

MESSAGES_TO_SOURCE = {"follow", "fetch", "leave"}  # All others are for the relay's subscriber.
EVERYTHING = [""]  # The prefix of all keys.


class Relay:
    """Follows one of the publisher's voters, serves its zone, and reports upwards what is in force there."""

    def __init__(
        self,
        name: str,
        publishers: Sequence[str],
        rng: Random,
        settings: Settings,
        now_ms: float,
        report: Report | None = None,
    ):
        """Start without a state: gateways are asked to wait until there is one."""
        self.name = name
        self.source = Source(name, rng, settings, now_ms)
        self.subscriber = Subscriber(name, publishers, EVERYTHING, rng, settings, now_ms, self._apply, report)
        self.subscriber.state.on_changed = self._on_state_changed
        self.subscriber.make_coverage = self._make_coverage
        self.subscriber.outbox = self.source.outbox
        self.outbox = self.source.outbox
        self._now_ms = now_ms

    @property
    def due_ms(self) -> float:
        """When to call `tick`."""
        return min(self.subscriber.due_ms, self.source.due_ms)

    def tick(self, now_ms: float) -> None:
        """Do what is due in both parts."""
        self._now_ms = now_ms
        if now_ms >= self.subscriber.due_ms:
            self.subscriber.tick(now_ms)
        if now_ms >= self.source.due_ms:
            self.source.tick(now_ms)

    def on_message(self, now_ms: float, sender: tuple[str, int], message: pb.Message) -> None:
        """Handle a message of a voter or of a subscriber."""
        self._now_ms = now_ms
        if message.WhichOneof("kind") in MESSAGES_TO_SOURCE:
            self.source.on_message(now_ms, sender, message)
        else:
            self.subscriber.on_message(now_ms, sender, message)
            self._confirm(now_ms)

    def _apply(self, now_ms: float, changed: dict[str, bytes | None], is_whole: bool) -> None:
        """Accept every change, as a relay itself uses none."""

    def _on_state_changed(self, now_ms: float, entries: list[pb.Entry] | None) -> None:
        upper = self.subscriber
        if entries is None:
            self.source.reset(now_ms, upper.state.store.copy(), upper.generation)
        else:
            confirmed_ms = upper.freshness.newest_confirmed_ms
            self.source.advance(now_ms, upper.generation, upper.version, entries, confirmed_ms)

    def _confirm(self, now_ms: float) -> None:
        """Pass on what the publisher confirmed; its age grows by this process's clock."""
        freshness = self.subscriber.freshness
        if freshness.newest_confirmed_ms > float("-inf"):
            age_ms = now_ms - freshness.newest_confirmed_ms
            self.source.confirm(now_ms, self.subscriber.generation, freshness.newest_version, age_ms)

    def _make_coverage(self) -> pb.Coverage:
        return self.source.coverage(self._now_ms)
