"""A relay: subscribes to all keys and serves them as a source to the gateways of its zone. No I/O."""

from collections.abc import Sequence
from random import Random

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.applied_state import Report
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.source import Source
from lichenquay.distribution.subscriber import Subscriber

SOURCE_MESSAGE_KINDS = {"follow", "fetch", "leave"}  # Others are for the relay's own subscriber.
ALL_KEYS_PREFIXES = [""]  # The empty prefix matches every key.


class Relay:
    """Follows one of the publisher's voters, serves a zone, and reports the zone's coverage to the voter."""

    def __init__(
        self,
        name: str,
        publishers: Sequence[str],
        rng: Random,
        settings: Settings,
        now_ms: float,
        report: Report | None = None,
    ):
        """Starts without a state; gateways are asked to wait until there is one."""
        self.name = name
        self.source = Source(name, rng, settings, now_ms)
        self.subscriber = Subscriber(
            name, publishers, ALL_KEYS_PREFIXES, rng, settings, now_ms, self._apply, report
        )
        self.subscriber.state.on_changed = self._on_state_changed
        self.subscriber.make_coverage = self._make_coverage
        self.subscriber.outbox = self.source.outbox
        self.outbox = self.source.outbox
        self._now_ms = now_ms

    @property
    def due_ms(self) -> float:
        """Returns the time at which the host should call `tick` next."""
        return min(self.subscriber.due_ms, self.source.due_ms)

    def tick(self, now_ms: float) -> None:
        """Runs the due work of the subscriber and of the source."""
        self._now_ms = now_ms
        if now_ms >= self.subscriber.due_ms:
            self.subscriber.tick(now_ms)
        if now_ms >= self.source.due_ms:
            self.source.tick(now_ms)

    def on_message(self, now_ms: float, sender: tuple[str, int], message: pb.Message) -> None:
        """Handles a message from a voter or a subscriber."""
        self._now_ms = now_ms
        if message.WhichOneof("kind") in SOURCE_MESSAGE_KINDS:
            self.source.on_message(now_ms, sender, message)
        else:
            self.subscriber.on_message(now_ms, sender, message)
            self._confirm(now_ms)

    def _apply(self, now_ms: float, changed: dict[str, bytes | None], is_whole: bool) -> None:
        """Accepts every change, as the relay itself uses no value."""

    def _on_state_changed(self, now_ms: float, entries: list[pb.Entry] | None) -> None:
        subscriber = self.subscriber
        if entries is None:
            self.source.reset(now_ms, subscriber.state.store.copy(), subscriber.generation)
        else:
            confirmed_ms = subscriber.freshness.newest_confirmed_ms
            self.source.advance(now_ms, subscriber.generation, subscriber.version, entries, confirmed_ms)

    def _confirm(self, now_ms: float) -> None:
        """Passes the publisher's last confirmation on to the source, aged by this process's clock."""
        freshness = self.subscriber.freshness
        if freshness.newest_confirmed_ms > float("-inf"):
            age_ms = now_ms - freshness.newest_confirmed_ms
            self.source.confirm(now_ms, self.subscriber.generation, freshness.newest_version, age_ms)

    def _make_coverage(self) -> pb.Coverage:
        return self.source.coverage(self._now_ms)
