"""Sends a source's deltas: pushes changes at once or merged, and repeats them until they are answered."""

import heapq
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import set_checksum, size_of
from lichenquay.distribution.pacing import PAGE_OVERHEAD_BYTES
from lichenquay.distribution.prefix_view import PrefixView
from lichenquay.distribution.subscriber_sessions import Audience, SubscriberSession

if TYPE_CHECKING:
    from lichenquay.distribution.source import Source

INF = float("inf")
MAX_AGE_MS = 1e12  # The age that is sent while the publisher has confirmed nothing.


class Retry(NamedTuple):
    """A delta that is sent again at `at_ms` unless it has been answered."""

    at_ms: float
    sequence_number: int
    name: str
    session_id: int
    delta_number: int


class DeltaSender:
    """Sends deltas for one source. A session with an unanswered delta gets no further pushes."""

    def __init__(self, source: "Source"):
        """Starts with nothing to push."""
        self.source = source
        self.settings = source.settings
        self._sequence_numbers = count()
        self._retries: list[Retry] = []  # A heap.
        self._changed: dict[tuple[str, ...], Audience] = {}
        self._next_push_ms = INF
        self._last_push_ms = -INF

    @property
    def due_ms(self) -> float:
        """Returns the time at which the host should call `tick` next."""
        return min(self._next_push_ms, self._retries[0].at_ms) if self._retries else self._next_push_ms

    def tick(self, now_ms: float) -> None:
        """Pushes merged changes and repeats unanswered deltas that are due."""
        if now_ms >= self._next_push_ms:
            self.push(now_ms)
        while self._retries and now_ms >= self._retries[0].at_ms:
            self._repeat(now_ms, heapq.heappop(self._retries))

    def record_change(self, views: list[PrefixView]) -> None:
        """Records the audiences that a change concerns; `push_or_merge` sends it to them."""
        for view in views:
            self._changed[view.prefixes] = self.source.registry.audiences[view.prefixes]

    def push_or_merge(self, now_ms: float) -> None:
        """Pushes recorded changes now, or schedules the push for `merge_ms` after the last one."""
        earliest_ms = max(now_ms, self._last_push_ms + self.settings.merge_ms)
        self._next_push_ms = min(self._next_push_ms, earliest_ms)
        if now_ms >= self._next_push_ms:
            self.push(now_ms)

    def push(self, now_ms: float) -> None:
        """Sends one delta to each ready session that the recorded changes concern."""
        self._next_push_ms = INF
        self._last_push_ms = now_ms
        changed = self._changed
        self._changed = {}
        for audience in changed.values():
            for session in list(audience.ready.values()):
                self.send(now_ms, session)

    def forget(self, audience: Audience) -> None:
        """Drops the recorded changes for an audience that has no sessions any more."""
        self._changed.pop(audience.view.prefixes, None)

    def send(self, now_ms: float, session: SubscriberSession) -> None:
        """Sends a delta from the version that a session's subscriber holds; it may be without entries."""
        source, audience = self.source, session.audience
        if session.version < source.history.base_version:
            # The history no longer has all changes after that version. The next Follow gets a snapshot offer.
            audience.ready.pop(session.name, None)
            return
        content = audience.view.delta(session.version, source.version, self.settings.delta_bytes)
        # `from` is a Python keyword, so it cannot be a keyword argument.
        fields = {"from": session.version, "to": content.version, "digest": content.digest}
        delta = pb.Delta(
            session=session.session_id,
            generation=source.generation,
            entries=content.entries,
            age_ms=min(MAX_AGE_MS, max(0.0, now_ms - source.confirmed_ms)),
            newest=source.newest_version,
            follow=session.follow_number,
            **fields,
        )
        source.send(session.name, delta=set_checksum(delta, audience.view.prefixes))
        session.awaits_follow = bool(content.entries)
        if session.awaits_follow:
            audience.ready.pop(session.name, None)
            self._charge_snapshot_bucket(now_ms, content.entries)
            self._schedule_retry(now_ms, session)
        else:
            audience.ready[session.name] = session

    def _charge_snapshot_bucket(self, now_ms: float, entries: list[pb.Entry]) -> None:
        """Charges a delta to the token bucket of the snapshots. The delta itself is not delayed by it."""
        bucket = self.source.snapshots.pacer.bucket
        bucket.refill(now_ms)
        bucket.consume(sum(map(size_of, entries)) + PAGE_OVERHEAD_BYTES)

    def _schedule_retry(self, now_ms: float, session: SubscriberSession) -> None:
        session.deltas_sent += 1
        delay_ms = min(self.settings.report_ms, self.settings.retry_ms * 2**session.unanswered_deltas)
        retry = Retry(
            now_ms + delay_ms,
            next(self._sequence_numbers),
            session.name,
            session.session_id,
            session.deltas_sent,
        )
        heapq.heappush(self._retries, retry)

    def _repeat(self, now_ms: float, retry: Retry) -> None:
        session = self.source.registry.get(retry.name)
        if session is None or not session.awaits_follow:
            return
        if (session.session_id, session.deltas_sent) != (retry.session_id, retry.delta_number):
            return
        session.unanswered_deltas += 1
        self.source.counts["retries"] += 1
        self.send(now_ms, session)
