"""A source: serves changes at once and snapshots paced, in sessions that expire. No I/O.

A session has no queue, only the version that its subscriber holds and whether a delta is unanswered. The
missing changes are built from the view that all sessions with the same prefixes share, so a slow subscriber
does not slow down others; it resumes at the version in its next Follow.
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
MAX_LOST_FOLLOWS = 1 << 16  # In a row. A Follow with a higher number is invalid.


class Source:
    """Serves one state to subscribers. `outbox` is [(receiver, message)]; a sender is (name, incarnation)."""

    def __init__(self, name: str, rng: Random, settings: Settings, now_ms: float, generation: int = 0):
        """Starts without a state; subscribers are asked to wait until `reset`, `advance` or `confirm`."""
        self.name = name
        self.rng = rng
        self.settings = settings
        self.outbox: list[tuple[str, pb.Message]] = []
        self.counts = Counter()
        self._set_state(now_ms, KeyStore(), generation)
        self.has_state = False

    def _set_state(self, now_ms: float, store: KeyStore, generation: int) -> None:
        self.generation = generation
        self.newest_version = store.version  # The newest known to exist.
        self.confirmed_ms = -INF  # When the publisher confirmed that, by this process's clock.
        self.history = History(store, self.settings)
        self.registry = SessionRegistry(self.history, self.settings)
        self.coverage_tracker = CoverageTracker(self.settings)
        self.snapshots = SnapshotServer(self, now_ms)
        self.deltas = DeltaSender(self)

    # Called by the publisher or the relay.

    @property
    def version(self) -> int:
        """Returns the version that is served."""
        return self.history.store.version

    @property
    def sessions(self) -> dict[str, SubscriberSession]:
        """Returns all sessions by the subscriber's name."""
        return self.registry.sessions

    def reset(self, now_ms: float, store: KeyStore, generation: int) -> None:
        """Serves another state from now on, which the source takes over; all sessions end."""
        self._set_state(now_ms, store, generation)
        self.has_state = True
        self.counts["resets"] += 1

    def advance(
        self,
        now_ms: float,
        generation: int,
        version: int,
        entries: Sequence[pb.Entry],
        confirmed_ms: float,
    ) -> bool:
        """Applies the next change; the publisher confirmed it at `confirmed_ms`, by this process's clock.

        Returns False and applies nothing if it is of an older generation or not newer than the held version.
        """
        if self._reject_old_generation(generation):
            return False
        if version <= self.version:
            self.counts["old_version"] += 1
            return False
        self.deltas.record_change(self.history.add(version, entries))
        self.confirm(now_ms, generation, version, now_ms - confirmed_ms)
        self.deltas.push_or_merge(now_ms)
        return True

    def confirm(self, now_ms: float, generation: int, newest_version: int, age_ms: float) -> bool:
        """Records the version that was the newest `age_ms` ago; returns False for an older generation."""
        if self._reject_old_generation(generation):
            return False
        self.has_state = True
        self.generation = generation
        if newest_version > self.newest_version:
            self.newest_version = newest_version
            self.confirmed_ms = now_ms - age_ms
        elif newest_version == self.newest_version:
            self.confirmed_ms = max(self.confirmed_ms, now_ms - age_ms)
        return True

    def _reject_old_generation(self, generation: int) -> bool:
        """Returns whether a generation is older than the known one, and counts it if so."""
        is_old = generation < self.generation
        if is_old:
            self.counts["old_generation"] += 1
        return is_old

    def coverage(self, now_ms: float) -> pb.Coverage:
        """Returns the coverage: what the subscribers have in force."""
        return self.coverage_tracker.coverage(self.version)

    # Called by the host.

    @property
    def due_ms(self) -> float:
        """Returns the time at which the host should call `tick` next."""
        return min(
            self.deltas.due_ms,
            self.snapshots.due_ms,
            self.coverage_tracker.due_ms,
            self.registry.next_expiry_ms,
        )

    def tick(self, now_ms: float) -> None:
        """Pushes merged changes, repeats deltas, expires sessions and sends pages."""
        self.deltas.tick(now_ms)
        while (session := self.registry.next_expired(now_ms)) is not None:
            self._remove_session(session)
            self.coverage_tracker.mark_silent(now_ms, session.name, session.coverage)
            self.counts["expired"] += 1
        self.coverage_tracker.tick(now_ms)
        self.snapshots.send_pages(now_ms)

    def on_message(self, now_ms: float, sender: tuple[str, int], message: pb.Message) -> None:
        """Handles a Follow, a FetchPages or a Leave."""
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

    # Messages from subscribers.

    def _on_follow(self, now_ms: float, name: str, incarnation: int, follow: pb.Follow) -> None:
        if follow.version >= VERSION_LIMIT or follow.in_force > follow.version or not follow.session:
            self.counts["malformed"] += 1
            return
        session = self.registry.get(name)
        if session is not None and incarnation < session.incarnation:
            self.counts["late"] += 1
            return
        if session is None or not self._continues_session(session, incarnation, follow):
            session = self._open_session(name, incarnation, follow)
        if session is not None and self._record_follow(now_ms, session, follow):
            self._answer(now_ms, session, follow)

    @staticmethod
    def _continues_session(session: SubscriberSession, incarnation: int, follow: pb.Follow) -> bool:
        if not session.matches(incarnation, follow.session):
            return False
        return not follow.prefixes or sorted_prefixes(follow) == session.audience.view.prefixes

    def _open_session(self, name: str, incarnation: int, follow: pb.Follow) -> SubscriberSession | None:
        """Returns a new session; None if it is refused.

        The subscriber is asked for its prefixes or to wait; invalid prefixes are only counted.
        """
        if not follow.prefixes:
            self.send(name, unknown=pb.UnknownSession(session=follow.session))
            return None
        prefixes = sorted_prefixes(follow)
        is_too_long = any(len(prefix) > MAX_KEY_CHARACTERS for prefix in prefixes)
        if len(prefixes) > self.settings.most_prefixes or is_too_long:
            self.counts["malformed"] += 1
            return None
        may_admit = self.has_state and self.registry.has_room_for(name)
        audience = self.registry.audience(prefixes) if may_admit else None
        if audience is None:
            self.counts["turned_away"] += 1
            self.send_wait(name, follow.session)
            return None
        previous = self.registry.get(name)
        if previous is not None:
            self._remove_session(previous, audience)
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
        """Records what a Follow reports; returns False if it is invalid or not newer than the last one."""
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
        if self._check_reported_digest(session, follow):
            session.applied_version = min(follow.in_force, self.version)
        coverage = coverage_of(follow, session.applied_version)
        if coverage is None:
            self.counts["malformed"] += 1
            coverage = session.coverage or coverage_of(pb.Follow(version=follow.version), 0)
        if session.coverage is not None:
            self.coverage_tracker.remove(session.coverage)
        self.coverage_tracker.add(coverage)
        session.coverage = coverage

    def _check_reported_digest(self, session: SubscriberSession, follow: pb.Follow) -> bool:
        """Returns whether a Follow's digest matches its version, as far as known here; counts a mismatch."""
        if follow.version > self.version:
            return True
        known_digest = session.audience.view.digest_at(follow.version)
        if known_digest is not None and known_digest != follow.digest:
            self.counts["digest_wrong"] += 1
            return False
        return True

    def _answer(self, now_ms: float, session: SubscriberSession, follow: pb.Follow) -> None:
        if session.version > self.version:
            # Its former source was ahead of this one, or the version is wrong. A subscriber never goes back.
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
        if follow.whole or session.version < self.history.base_version:
            return True
        known_digest = session.audience.view.digest_at(session.version)
        if known_digest is not None and known_digest != follow.digest:
            return True
        # Deltas are not paced, so many new subscribers at once would be sent the whole history unpaced.
        max_delta_bytes = self.settings.window_pages * self.settings.delta_bytes
        return session.version == 0 and session.audience.view.bytes > max_delta_bytes

    def _on_fetch(self, now_ms: float, name: str, incarnation: int, fetch: pb.FetchPages) -> None:
        session = self.registry.get(name)
        if session is None or not session.matches(incarnation, fetch.session):
            self.send(name, unknown=pb.UnknownSession(session=fetch.session))
            return
        self.registry.record_message(now_ms, session)
        self.snapshots.on_fetch(now_ms, session, fetch)

    def _on_leave(self, name: str, incarnation: int, leave: pb.Leave) -> None:
        """Ends a session whose subscriber follows another source now; it does not count as stale either."""
        session = self.registry.get(name)
        if session is None:
            self.coverage_tracker.mark_present(name)
        elif session.matches(incarnation, leave.session):
            self._remove_session(session)

    # Messages to subscribers.

    def send_wait(self, name: str, session_id: int) -> None:
        """Asks a subscriber to retry after a random time."""
        wait_ms = self.rng.uniform(self.settings.retry_ms, 2 * self.settings.report_ms)
        self.send(name, wait=pb.Wait(session=session_id, wait_ms=wait_ms))

    def send(self, name: str, **kind) -> None:
        """Sends a message whose kind is the keyword, a field of pb.Message."""
        self.outbox.append((name, pb.Message(**kind)))
