"""Deltas of a source: changes are pushed at once or merged, and repeated until the subscriber answers."""

import heapq
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import marked, size_of
from lichenquay.distribution.pacing import PAGE_OVERHEAD_BYTES
from lichenquay.distribution.prefix_view import PrefixView
from lichenquay.distribution.subscriber_sessions import Audience, SubscriberSession

if TYPE_CHECKING:
    from lichenquay.distribution.source import Source

INF = float("inf")
MAX_AGE_MS = 1e12  # Sent where nothing was confirmed.


class Retry(NamedTuple):
    """A delta that is sent again if it was not answered by then."""

    at_ms: float
    order: int
    name: str
    session_id: int
    delta_number: int


class DeltaSender:
    """Sends deltas for one source. A session that has not answered is pushed nothing more."""

    def __init__(self, source: "Source"):
        """Start with nothing to push."""
        self.source = source
        self.settings = source.settings
        self._order = count()
        self._retries: list[Retry] = []  # A heap.
        self._changed: dict[tuple[str, ...], Audience] = {}
        self._next_push_ms = INF
        self._last_push_ms = -INF

    @property
    def due_ms(self) -> float:
        """When to call `tick`."""
        return min(self._next_push_ms, self._retries[0].at_ms) if self._retries else self._next_push_ms

    def tick(self, now_ms: float) -> None:
        """Push merged changes and repeat unanswered deltas."""
        if now_ms >= self._next_push_ms:
            self.push(now_ms)
        while self._retries and now_ms >= self._retries[0].at_ms:
            self._repeat(now_ms, heapq.heappop(self._retries))

    def record_change(self, views: list[PrefixView]) -> None:
        """Record which audiences a change concerns; `push_or_merge` sends it to them."""
        for view in views:
            self._changed[view.prefixes] = self.source.registry.audiences[view.prefixes]

    def push_or_merge(self, now_ms: float) -> None:
        """Push what changed now, or plan it at `merge_ms` after the last push."""
        earliest_ms = max(now_ms, self._last_push_ms + self.settings.merge_ms)
        self._next_push_ms = min(self._next_push_ms, earliest_ms)
        if now_ms >= self._next_push_ms:
            self.push(now_ms)

    def push(self, now_ms: float) -> None:
        """Send one delta to each session that is up to date and that the changes concern."""
        self._next_push_ms = INF
        self._last_push_ms = now_ms
        changed = self._changed
        self._changed = {}
        for audience in changed.values():
            for session in list(audience.ready.values()):
                self.send(now_ms, session)

    def forget(self, audience: Audience) -> None:
        """Push nothing to an audience that has no sessions any more."""
        self._changed.pop(audience.view.prefixes, None)

    def send(self, now_ms: float, session: SubscriberSession) -> None:
        """Send a delta from the version that a session's subscriber holds; it may be without entries."""
        source, audience = self.source, session.audience
        if session.version < source.history.floor:
            # A part of what it lacks is forgotten here. Its next Follow gets a snapshot.
            audience.ready.pop(session.name, None)
            return
        content = audience.view.delta(session.version, source.version, self.settings.delta_bytes)
        # `from` is a keyword, so these three fields are given by name.
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
        source.send(session.name, delta=marked(delta, audience.view.prefixes))
        session.awaits_follow = bool(content.entries)
        if session.awaits_follow:
            audience.ready.pop(session.name, None)
            self._charge(now_ms, content.entries)
            self._plan_retry(now_ms, session)
        else:
            audience.ready[session.name] = session

    def _charge(self, now_ms: float, entries: list[pb.Entry]) -> None:
        """Let snapshots wait for a delta, which itself does not wait."""
        bucket = self.source.snapshots.pacer.bucket
        bucket.fill(now_ms)
        bucket.spend(sum(map(size_of, entries)) + PAGE_OVERHEAD_BYTES)

    def _plan_retry(self, now_ms: float, session: SubscriberSession) -> None:
        session.deltas_sent += 1
        delay_ms = min(self.settings.report_ms, self.settings.retry_ms * 2**session.unanswered_deltas)
        retry = Retry(
            now_ms + delay_ms, next(self._order), session.name, session.session_id, session.deltas_sent
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
