"""A source serves subscribers: changes at once, snapshots paced, in sessions that expire. No I/O.

A session has no queue, only the version that its subscriber holds and whether a delta is unanswered; what it
lacks is built from the view that all sessions with the same prefixes share. So a slow subscriber costs the
others nothing; it resumes by the version in its next Follow.
"""

from collections import Counter
from collections.abc import Sequence
from random import Random

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.coverage_tracker import CoverageTracker, coverage_of
from lichenquay.distribution.delta_sender import DeltaSender
from lichenquay.distribution.history import History
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.messages import MAX_KEY_CHARACTERS, VERSION_LIMIT
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.snapshot_server import SnapshotServer
from lichenquay.distribution.subscriber_sessions import (
    Audience,
    SessionRegistry,
    SubscriberSession,
    sorted_prefixes,
)

INF = float("inf")
MAX_LOST_FOLLOWS = 1 << 16  # Between two that are received.


class Source:
    """Serves one state. `outbox` is [(receiver, message)]; a sender is (name, incarnation)."""

    def __init__(self, name: str, rng: Random, settings: Settings, now_ms: float, generation: int = 0):
        """Start without a state: subscribers are asked to wait until `reset`, `advance` or `confirm`."""
        self.name = name
        self.rng = rng
        self.settings = settings
        self.outbox: list[tuple[str, pb.Message]] = []
        self.counts = Counter()
        self._begin(now_ms, KeyStore(), generation)
        self.is_open = False

    def _begin(self, now_ms: float, store: KeyStore, generation: int) -> None:
        self.generation = generation
        self.newest_version = store.version  # The newest known to exist.
        self.confirmed_ms = -INF  # When the publisher confirmed that, by the own clock.
        self.history = History(store, self.settings)
        self.registry = SessionRegistry(self.history, self.settings)
        self.coverage_tracker = CoverageTracker(self.settings)
        self.snapshots = SnapshotServer(self, now_ms)
        self.deltas = DeltaSender(self)

    # What the publisher or the relay reports.

    @property
    def version(self) -> int:
        """The version that is served."""
        return self.history.store.version

    @property
    def sessions(self) -> dict[str, SubscriberSession]:
        """All sessions by the subscriber's name."""
        return self.registry.sessions

    def reset(self, now_ms: float, store: KeyStore, generation: int) -> None:
        """Go on from another state, which belongs to the source from now on; all sessions end."""
        self._begin(now_ms, store, generation)
        self.is_open = True
        self.counts["resets"] += 1

    def advance(
        self,
        now_ms: float,
        generation: int,
        version: int,
        entries: Sequence[pb.Entry],
        confirmed_ms: float,
    ) -> bool:
        """Apply the next change; `confirmed_ms` is when the publisher confirmed `version`, by the own clock.

        Returns False, and applies nothing, if it is of an older generation or not after the version held.
        """
        if self._is_old_generation(generation):
            return False
        if version <= self.version:
            self.counts["old_version"] += 1
            return False
        self.deltas.record_change(self.history.add(version, entries))
        self.confirm(now_ms, generation, version, now_ms - confirmed_ms)
        self.deltas.push_or_merge(now_ms)
        return True

    def confirm(self, now_ms: float, generation: int, newest_version: int, age_ms: float) -> bool:
        """Record the newest version of `age_ms` ago; return False if of an older generation."""
        if self._is_old_generation(generation):
            return False
        self.is_open = True
        self.generation = generation
        if newest_version > self.newest_version:
            self.newest_version = newest_version
            self.confirmed_ms = now_ms - age_ms
        elif newest_version == self.newest_version:
            self.confirmed_ms = max(self.confirmed_ms, now_ms - age_ms)
        return True

    def _is_old_generation(self, generation: int) -> bool:
        is_old = generation < self.generation
        if is_old:
            self.counts["old_generation"] += 1
        return is_old

    def coverage(self, now_ms: float) -> pb.Coverage:
        """Return what the subscribers have in force."""
        return self.coverage_tracker.coverage(self.version)

    # Calls of the host.

    @property
    def due_ms(self) -> float:
        """When to call `tick`."""
        return min(
            self.deltas.due_ms,
            self.snapshots.due_ms,
            self.coverage_tracker.due_ms,
            self.registry.next_expiry_ms,
        )

    def tick(self, now_ms: float) -> None:
        """Push merged changes, repeat deltas, expire sessions, send pages."""
        self.deltas.tick(now_ms)
        while (session := self.registry.expired(now_ms)) is not None:
            self._remove_session(session)
            self.coverage_tracker.mark_silent(now_ms, session.name, session.coverage)
            self.counts["expired"] += 1
        self.coverage_tracker.tick(now_ms)
        self.snapshots.send_pages(now_ms)

    def on_message(self, now_ms: float, sender: tuple[str, int], message: pb.Message) -> None:
        """Handle a Follow, a FetchPages or a Leave."""
        name, incarnation = sender
        kind = message.WhichOneof("kind")
        if kind == "follow":
            self._on_follow(now_ms, name, incarnation, message.follow)
        elif kind == "fetch":
            self._on_fetch(now_ms, name, incarnation, message.fetch)
        elif kind == "leave":
            self._on_leave(name, incarnation, message.leave)
        else:
            self.counts["malformed"] += 1
        self.snapshots.send_pages(now_ms)

    # Messages of subscribers.

    def _on_follow(self, now_ms: float, name: str, incarnation: int, follow: pb.Follow) -> None:
        if follow.version >= VERSION_LIMIT or follow.in_force > follow.version or not follow.session:
            self.counts["malformed"] += 1
            return
        session = self.registry.get(name)
        if session is not None and incarnation < session.incarnation:
            self.counts["late"] += 1
            return
        if session is None or not self._continues(session, incarnation, follow):
            session = self._open_session(name, incarnation, follow)
        if session is not None and self._record_follow(now_ms, session, follow):
            self._answer(now_ms, session, follow)

    @staticmethod
    def _continues(session: SubscriberSession, incarnation: int, follow: pb.Follow) -> bool:
        if not session.is_of(incarnation, follow.session):
            return False
        return not follow.prefixes or sorted_prefixes(follow) == session.audience.view.prefixes

    def _open_session(self, name: str, incarnation: int, follow: pb.Follow) -> SubscriberSession | None:
        """Return a new session, None if there is none; the subscriber is informed why."""
        if not follow.prefixes:
            self.send(name, unknown=pb.UnknownSession(session=follow.session))
            return None
        prefixes = sorted_prefixes(follow)
        is_too_long = any(len(prefix) > MAX_KEY_CHARACTERS for prefix in prefixes)
        if len(prefixes) > self.settings.most_prefixes or is_too_long:
            self.counts["malformed"] += 1
            return None
        may_admit = self.is_open and self.registry.has_room_for(name)
        audience = self.registry.audience(prefixes) if may_admit else None
        if audience is None:
            self.counts["turned_away"] += 1
            self.send_wait(name, follow.session)
            return None
        before = self.registry.get(name)
        if before is not None:
            self._remove_session(before, audience)
        session = SubscriberSession(name, incarnation, follow.session, audience)
        self.registry.add(session)
        self.coverage_tracker.mark_present(name)
        return session

    def _remove_session(self, session: SubscriberSession, keep_audience: Audience | None = None) -> None:
        self.snapshots.pacer.release(session.name)
        if session.coverage is not None:
            self.coverage_tracker.remove(session.coverage)
        if self.registry.remove(session, keep_audience):
            self.deltas.forget(session.audience)

    def _record_follow(self, now_ms: float, session: SubscriberSession, follow: pb.Follow) -> bool:
        """Apply what a Follow reports; return whether it is a later one than the last and valid."""
        last_number = session.follow_number
        if last_number and not last_number < follow.number <= last_number + MAX_LOST_FOLLOWS:
            self.counts["late" if follow.number <= last_number else "malformed"] += 1
            return False
        self._record_coverage(session, follow)
        session.follow_number = follow.number
        session.version = follow.version
        session.awaits_follow = False
        session.unanswered_deltas = 0
        self.registry.record_message(now_ms, session)
        return True

    def _record_coverage(self, session: SubscriberSession, follow: pb.Follow) -> None:
        if self._is_credible(session, follow):
            session.applied_version = min(follow.in_force, self.version)
        coverage = coverage_of(follow, session.applied_version)
        if coverage is None:
            self.counts["malformed"] += 1
            coverage = session.coverage or coverage_of(pb.Follow(version=follow.version), 0)
        if session.coverage is not None:
            self.coverage_tracker.remove(session.coverage)
        self.coverage_tracker.add(coverage)
        session.coverage = coverage

    def _is_credible(self, session: SubscriberSession, follow: pb.Follow) -> bool:
        """Return whether a Follow's digest is that of its version, as far as it is known here."""
        if follow.version > self.version:
            return True
        known_digest = session.audience.view.digest_at(follow.version)
        if known_digest is not None and known_digest != follow.digest:
            self.counts["digest_wrong"] += 1
            return False
        return True

    def _answer(self, now_ms: float, session: SubscriberSession, follow: pb.Follow) -> None:
        if session.version > self.version:
            # Its former source was ahead of this one, or the version is false. A subscriber never goes back.
            self.counts["ahead"] += 1
            session.audience.ready.pop(session.name, None)
            self.send_wait(session.name, session.session_id)
        elif self._needs_snapshot(session, follow):
            session.audience.ready.pop(session.name, None)
            self.snapshots.offer(now_ms, session)
        else:
            self.snapshots.pacer.release(session.name)
            self.deltas.send(now_ms, session)

    def _needs_snapshot(self, session: SubscriberSession, follow: pb.Follow) -> bool:
        if follow.whole or session.version < self.history.floor:
            return True
        known_digest = session.audience.view.digest_at(session.version)
        if known_digest is not None and known_digest != follow.digest:
            return True
        # All that start at once would be sent the whole history in deltas, which are not paced.
        max_delta_bytes = self.settings.window_pages * self.settings.delta_bytes
        return session.version == 0 and session.audience.view.bytes > max_delta_bytes

    def _on_fetch(self, now_ms: float, name: str, incarnation: int, fetch: pb.FetchPages) -> None:
        session = self.registry.get(name)
        if session is None or not session.is_of(incarnation, fetch.session):
            self.send(name, unknown=pb.UnknownSession(session=fetch.session))
            return
        self.registry.record_message(now_ms, session)
        self.snapshots.on_fetch(now_ms, session, fetch)

    def _on_leave(self, name: str, incarnation: int, leave: pb.Leave) -> None:
        """End a session whose subscriber follows another source; it does not count as stale either."""
        session = self.registry.get(name)
        if session is None:
            self.coverage_tracker.mark_present(name)
        elif session.is_of(incarnation, leave.session):
            self._remove_session(session)

    # Messages to subscribers.

    def send_wait(self, name: str, session_id: int) -> None:
        """Ask a subscriber to retry after a random time."""
        wait_ms = self.rng.uniform(self.settings.retry_ms, 2 * self.settings.report_ms)
        self.send(name, wait=pb.Wait(session=session_id, wait_ms=wait_ms))

    def send(self, name: str, **kind) -> None:
        """Send a message of the kind that is given by its field of pb.Message."""
        self.outbox.append((name, pb.Message(**kind)))
