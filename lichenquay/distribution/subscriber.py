"""A subscriber: follows one of several sources and holds a state whose version only rises. No I/O."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from random import Random

from google.protobuf.message import Message

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.applied_state import AppliedState, Apply, Report, ignore_report
from lichenquay.distribution.errors import DigestError, SubscriptionError, VersionGapError
from lichenquay.distribution.failback import Failback
from lichenquay.distribution.freshness import Freshness
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.messages import (
    VERSION_LIMIT,
    has_valid_checksum,
    is_duration,
    is_valid_delta,
    is_valid_subscription,
)
from lichenquay.distribution.replicated_state import ReplicatedState
from lichenquay.distribution.resync import Resync
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.snapshot_fetch import SnapshotFetch, is_valid_offer
from lichenquay.distribution.source_session import SourceSession

INF = float("inf")
CHECKSUMMED_KINDS = ("delta", "offer", "page")


class Subscriber:
    """Holds a state (`state`) and has it applied by its host; see AppliedState for `apply`.

    Calls `report(now_ms, line)` for errors. A relay sets two callbacks: `make_coverage()` returns the
    coverage of its own subscribers, and `state.on_changed` is called after each change of the state.
    """

    def __init__(
        self,
        name: str,
        sources: Sequence[str],
        prefixes: Iterable[str],
        rng: Random,
        settings: Settings,
        now_ms: float,
        apply: Apply,
        report: Report | None = None,
    ):
        """Starts without a state; `sources` are in order of preference.

        Raises SubscriptionError if there is no source or if the prefixes do not fit into a message.
        """
        self.name = name
        self.prefixes = tuple(sorted(set(prefixes)))
        self.settings = settings
        self.outbox: list[tuple[str, pb.Message]] = []
        self.counts = Counter()
        self.make_coverage: Callable[[], pb.Coverage] | None = None
        self.session = SourceSession(sources, rng, settings, now_ms)
        self.failback = Failback(sources, rng, settings)
        self.generation = 0
        self.snapshot_fetch: SnapshotFetch | None = None
        self.freshness = Freshness()
        self.resync = Resync(settings)
        self.report = report or ignore_report
        applied = AppliedState(apply, self.report, settings, self.counts)
        self.state = ReplicatedState(applied, self.prefixes, self.counts)
        self._is_stopped = False
        self._handlers = {
            "delta": self._on_delta,
            "offer": self._on_offer,
            "page": self._on_page,
            "wait": self._on_wait,
            "unknown": self._on_unknown_session,
            "not_leader": self._on_not_leader,
        }
        if not is_valid_subscription(self.prefixes, settings):
            raise SubscriptionError(f"prefixes: {len(self.prefixes)} do not fit into one subscription")

    # State of the subscriber.

    @property
    def version(self) -> int:
        """Returns the version that is held."""
        return self.state.store.version

    @property
    def digest(self) -> int:
        """Returns the digest of the held state."""
        return self.state.store.digest

    @property
    def applied_version(self) -> int:
        """Returns the version in force."""
        return self.state.applied.version

    @property
    def applied_values(self) -> dict[str, bytes]:
        """Returns the values in force."""
        return self.state.applied.values

    @property
    def newest_version(self) -> int:
        """Returns the newest version known to exist."""
        return self.freshness.newest_version

    @property
    def source(self) -> str:
        """Returns the name of the source that is followed."""
        return self.session.source

    def age_ms(self, now_ms: float) -> float:
        """Returns how long ago, at most, the held version was the newest; infinite if that is unknown."""
        return now_ms - self.freshness.held_confirmed_ms

    def is_stale(self, now_ms: float) -> bool:
        """Returns whether the held version may be outdated, by its age."""
        return self.age_ms(now_ms) > self.settings.stale_ms

    # Called by the host.

    @property
    def due_ms(self) -> float:
        """Returns the time at which the host should call `tick` next."""
        if self._is_stopped:
            return INF
        return min(
            self.session.next_follow_ms,
            self.session.fail_over_due_ms,
            self.failback.due_ms,
            self.state.applied.due_ms,
            self.snapshot_fetch.due_ms if self.snapshot_fetch else INF,
        )

    def tick(self, now_ms: float) -> None:
        """Runs due work: failover, failback, a Follow, a request of pages, another attempt to apply."""
        if self._is_stopped:
            return
        if now_ms >= self.session.fail_over_due_ms:
            self._fail_over(now_ms)
        if now_ms >= self.session.next_follow_ms:
            self._send_follow(now_ms)
        if now_ms >= self.failback.due_ms:
            self._try_failback(now_ms)
        if self.snapshot_fetch and now_ms >= self.snapshot_fetch.due_ms:
            self._send(fetch=self.snapshot_fetch.make_request(now_ms))
        if now_ms >= self.state.applied.due_ms:
            self.state.applied.apply_pending(now_ms, self.state.store)
            self.session.follow_soon(now_ms)

    def stop(self) -> None:
        """Stops sending and handling messages; the values in force stay."""
        self._is_stopped = True
        self.outbox.clear()

    def on_message(self, now_ms: float, sender: tuple[str, int], message: pb.Message) -> None:
        """Handles a message from a source; drops and counts those of other sessions."""
        kind = message.WhichOneof("kind")
        handler = self._handlers.get(kind)
        if self._is_stopped:
            return
        if handler is None:
            self.counts["malformed"] += 1
            return
        source = sender[0]
        body = getattr(message, kind)
        if self.failback.is_from_trial(source, body.session):
            self._on_failback_answer(now_ms, kind, body)
        if source != self.source or body.session != self.session.session_id:
            self.counts["other_session"] += 1
            return
        if kind not in CHECKSUMMED_KINDS or self._check_and_record_generation(body):
            handler(now_ms, body)

    def _check_and_record_generation(self, body: pb.Delta | pb.SnapshotOffer | pb.Page) -> bool:
        """Returns whether a message is intact and not of an older generation; records a newer generation."""
        if not has_valid_checksum(body, self.prefixes):
            self.counts["malformed"] += 1
            return False
        # A publisher that lost its lease may still send for a moment, or again after its process was paused.
        if body.generation < self.generation:
            self.counts["old_generation"] += 1
            return False
        self.generation = body.generation
        return True

    # Deltas.

    def _on_delta(self, now_ms: float, delta: pb.Delta) -> None:
        if not is_valid_delta(delta, self.prefixes):
            self.counts["malformed"] += 1
            return
        self._on_useful_message(now_ms)
        try:
            entries = self.state.apply_delta(now_ms, delta)
        except VersionGapError:
            self.counts["gaps"] += 1
            self.session.follow_soon(now_ms)
        except DigestError as error:
            self._on_wrong_digest(now_ms, str(error))
        else:
            if entries is not None:
                self._on_delta_applied(now_ms, entries)
            self._record_freshness(delta)

    def _on_useful_message(self, now_ms: float) -> None:
        """Records that the source serves this subscriber, and leaves former sources, which still count it."""
        self.session.on_useful_message(now_ms)
        for former in self.session.pop_former_sessions():
            leave = pb.Leave(session=former.session_id)
            self.outbox.append((former.source, pb.Message(leave=leave)))

    def _on_delta_applied(self, now_ms: float, entries: list[pb.Entry]) -> None:
        self.resync.is_needed = False
        if entries:
            self.resync.attempts = 0
            self._send_follow(now_ms)
        if self.snapshot_fetch is not None and self.snapshot_fetch.version <= self.version:
            self.snapshot_fetch = None

    def _record_freshness(self, delta: pb.Delta) -> None:
        follow_sent_ms = self.session.sent_ms.get(delta.follow)
        if follow_sent_ms is not None:
            self.freshness.record(delta, self.version, follow_sent_ms)

    # Snapshots.

    def _on_offer(self, now_ms: float, offer: pb.SnapshotOffer) -> None:
        if offer.version >= VERSION_LIMIT or not is_valid_offer(offer, self.settings):
            self.counts["malformed"] += 1
            return
        self._on_useful_message(now_ms)
        if self.snapshot_fetch is not None and self.snapshot_fetch.matches_offer(offer):
            return
        if not self._is_wanted(offer):
            self.counts["old_version"] += 1
            return
        self.snapshot_fetch = SnapshotFetch(offer, self.settings, now_ms)
        self._continue_fetch(now_ms)

    def _is_wanted(self, offer: pb.SnapshotOffer) -> bool:
        """Returns whether an offered snapshot is newer than the held state, or repairs it."""
        if offer.version == self.version:
            return self.resync.is_needed or offer.digest != self.digest
        return offer.version > self.version

    def _on_page(self, now_ms: float, page: pb.Page) -> None:
        if self.snapshot_fetch is None:
            self.counts["other_session"] += 1
            return
        self.session.on_page(now_ms)
        try:
            if self.snapshot_fetch.add_page(now_ms, page):
                self._continue_fetch(now_ms)
        except DigestError as error:
            self.snapshot_fetch = None
            self._on_wrong_digest(now_ms, str(error))

    def _continue_fetch(self, now_ms: float) -> None:
        fetch = self.snapshot_fetch
        if fetch.is_complete:
            self.snapshot_fetch = None
            self._install_snapshot(now_ms, fetch)
        elif fetch.needs_request or not fetch.requested_end:
            self._send(fetch=fetch.make_request(now_ms))

    def _install_snapshot(self, now_ms: float, fetch: SnapshotFetch) -> None:
        try:
            store = fetch.result()
        except DigestError as error:
            self._on_wrong_digest(now_ms, str(error))
            return
        if self.state.check_replacement(store):
            self._replace_state(now_ms, store)

    def _replace_state(self, now_ms: float, store: KeyStore) -> None:
        self.counts["snapshots"] += 1
        self.resync.is_needed = False
        self.state.replace(now_ms, store)
        self._send_follow(now_ms)

    def _on_wrong_digest(self, now_ms: float, line: str) -> None:
        """Schedules a snapshot request, with backoff while mismatches recur; reports only the first one."""
        self.counts["digest_wrong"] += 1
        if self.resync.is_needed:
            return
        if not self.resync.attempts:
            self.report(now_ms, f"{line} from {self.source}")
        self.resync.is_needed = True
        soon_ms = max(now_ms, self.resync.not_before_ms)
        self.session.next_follow_ms = min(self.session.next_follow_ms, soon_ms)

    # Other messages.

    def _on_wait(self, now_ms: float, wait: pb.Wait) -> None:
        if not is_duration(wait.wait_ms):
            self.counts["malformed"] += 1
            return
        self.session.on_wait(now_ms, wait.wait_ms)

    def _on_unknown_session(self, now_ms: float, _: pb.UnknownSession) -> None:
        self.snapshot_fetch = None
        self.session.on_unknown_session(now_ms)

    def _on_not_leader(self, now_ms: float, answer: pb.NotLeader) -> None:
        self.counts["redirects"] += 1
        self.snapshot_fetch = None
        self.session.redirect(now_ms, answer.leader if answer.generation >= self.generation else "")
        self.failback.cancel()  # The leader is followed regardless of the order of preference.

    # Failover and failback.

    def _fail_over(self, now_ms: float) -> None:
        self.counts["failovers"] += 1
        self.snapshot_fetch = None
        self.session.fail_over(now_ms)
        self.failback.on_failover(now_ms, self.source)

    def _try_failback(self, now_ms: float) -> None:
        trial = self.failback.tick(now_ms)
        if trial is not None:
            self.outbox.append((trial.source, pb.Message(follow=self._make_follow(now_ms, trial))))

    def _on_failback_answer(self, now_ms: float, kind: str, body: Message) -> None:
        """Completes the failback if the preferred source serves this subscriber, or ends the trial."""
        if kind == "not_leader":
            self.failback.cancel()
        elif kind not in ("delta", "offer"):
            self.failback.on_trial_failed(now_ms)
        elif self._check_and_record_generation(body):
            self.counts["failbacks"] += 1
            self.snapshot_fetch = None
            self.session = self.failback.complete(now_ms, self.session)

    # Messages to sources.

    def _send_follow(self, now_ms: float) -> None:
        wants_snapshot = self._begin_snapshot_request(now_ms)
        self._send(follow=self._make_follow(now_ms, self.session, wants_snapshot))

    def _make_follow(self, now_ms: float, session: SourceSession, wants_snapshot: bool = False) -> pb.Follow:
        follow = session.make_follow(now_ms, self.prefixes)
        follow.generation = self.generation
        follow.version = self.version
        follow.digest = self.digest
        follow.in_force = self.applied_version
        follow.whole = wants_snapshot
        if self.make_coverage is not None:
            follow.below.CopyFrom(self.make_coverage())
        return follow

    def _begin_snapshot_request(self, now_ms: float) -> bool:
        """Returns whether to request a whole snapshot now; counts the attempt and may fail over first."""
        if not self.resync.is_needed or self.snapshot_fetch is not None:
            return self.resync.is_needed
        if not self.resync.begin_attempt(now_ms):
            return False
        if self.resync.should_change_source and len(self.session.sources) > 1:
            self._fail_over(now_ms)
        return True

    def _send(self, **kind) -> None:
        self.outbox.append((self.source, pb.Message(**kind)))
