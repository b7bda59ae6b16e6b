"""The publisher accepts proposals and publishes what a majority of the voters has recorded. No I/O.

It does so only while its lease group holds the lease. The host hands the group its messages and the disk's
answers, and empties both outboxes after each call of either: what is recorded there is published here.
"""

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from google.protobuf.message import Message

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.record_log import (
    MAX_UNFOLDED_RECORDS,
    RequestIndex,
    fold,
    make_record,
    read_record,
)
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.source import Source
from lichenquay.distribution.validation import find_change_error
from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.phases import LeaseEvent
from lichenquay.lease.settings import LeaseSettings

LEASE_GROUP_NAME = "distribution"
PUBLISHING_KINDS = {"delta", "offer", "page"}  # Messages that say what is accepted.
HANDLED_KINDS = ("propose", "status_request", "follow", "fetch", "leave")
MAX_PENDING_PROPOSALS = 256
FETCH_WINDOW = 32  # Pieces of a state that a voter requests at once: it has to come within a lease.
MAX_REASON_CHARACTERS = 200
DEFAULT_LEASE_MS = 3000.0
HEARTBEATS_PER_LEASE = 6
RETRIES_PER_LEASE = 20
BACKOFFS_PER_LEASE = 10

OnOutcome = Callable[[float, pb.Proposed], None]
CheckChange = Callable[[Sequence[pb.Entry], KeyStore, Settings], str | None]


class Proposal:
    """A change that is being recorded; `on_outcome` is of the client that asked last."""

    def __init__(self, version: int, entries: Sequence[pb.Entry], request: int, on_outcome: OnOutcome):
        """Make a proposal that is not recorded yet."""
        self.version = version
        self.entries = entries
        self.request = request
        self.on_outcome = on_outcome


class Publisher:
    """One voter's part. `check(entries, store, settings)` returns a line against a change, or None."""

    fold = staticmethod(fold)

    def __init__(
        self,
        name: str,
        group: LeaseGroup | None,
        rng: Random,
        settings: Settings,
        now_ms: float,
        check: CheckChange = find_change_error,
    ):
        """Start without a state; `group` may be set later (see `make_voter`)."""
        self.name = name
        self.group = group
        self.settings = settings
        self.check = check
        self.outbox: list[tuple[str, pb.Message]] = []
        self.source = Source(name, rng, settings, now_ms)
        # The state and the requests with all pending proposals.
        self._speculative_state = KeyStore()
        self._requests = RequestIndex()
        self._pending: dict[int, Proposal] = {}  # By version, in order.

    # Proposals.

    @property
    def speculative_state(self) -> KeyStore:
        """The state once all pending proposals are committed; to be read only."""
        return self._speculative_state

    def propose(
        self, now_ms: float, entries: Sequence[pb.Entry], request: int, on_outcome: OnOutcome
    ) -> None:
        """Accept a change; on_outcome(now_ms, pb.Proposed) is called once, now or later.

        A repeated request gets the same version again.
        """
        if not self.group.holds(now_ms):
            on_outcome(now_ms, _in_doubt(request, "not the leader"))
            return
        version = self._requests.version_of(request)
        if version in self._pending:
            self._repeat(now_ms, self._pending[version], on_outcome)
        elif version is not None:
            on_outcome(now_ms, _accepted(request, version))
        else:
            self._propose(now_ms, list(entries), request, on_outcome)
        self._publish(now_ms)

    def _repeat(self, now_ms: float, proposal: Proposal, on_outcome: OnOutcome) -> None:
        """Let a pending proposal answer the client that asked last, and answer the one before."""
        before = proposal.on_outcome
        proposal.on_outcome = on_outcome
        before(now_ms, _in_doubt(proposal.request, "asked again since"))

    def _propose(
        self, now_ms: float, entries: Sequence[pb.Entry], request: int, on_outcome: OnOutcome
    ) -> None:
        error = self._find_error(entries, request)
        if error is not None:
            on_outcome(now_ms, _refused(request, error))
            return
        version = self._speculative_state.version + 1
        record = make_record(entries, request)
        proposal = Proposal(version, read_record(record, version).entries, request, on_outcome)
        self._pending[version] = proposal
        self._speculative_state.apply(version, proposal.entries)
        self._requests.add(request, version)
        self.group.append(now_ms, record, partial(self._on_written, proposal))

    def _find_error(self, entries: Sequence[pb.Entry], request: int) -> str | None:
        if not request:
            return "a proposal without a request number"
        if len(self._pending) >= MAX_PENDING_PROPOSALS:
            return f"{MAX_PENDING_PROPOSALS} changes are under way"
        return self.check(entries, self._speculative_state, self.settings)

    def _on_written(self, proposal: Proposal, now_ms: float, is_committed: bool | None) -> None:
        """Handle the outcome of the group's write; None: it is in doubt."""
        self._pending.pop(proposal.version, None)
        if is_committed:
            self._on_committed(now_ms, proposal)
        elif is_committed is None:
            answer = _in_doubt(proposal.request, "in doubt: the lease was lost meanwhile")
            proposal.on_outcome(now_ms, answer)
        else:
            # The speculative state must not have a change that was never recorded.
            if self.group.state is not None:
                self._load()
            proposal.on_outcome(now_ms, _refused(proposal.request, "the group cannot take it now"))
        self._publish(now_ms)

    def _on_committed(self, now_ms: float, proposal: Proposal) -> None:
        self.source.advance(
            now_ms, self.group.generation, proposal.version, proposal.entries, confirmed_ms=now_ms
        )
        proposal.on_outcome(now_ms, _accepted(proposal.request, proposal.version))

    # The lease.

    def on_lease_event(self, now_ms: float, event: LeaseEvent) -> None:
        """Begin to publish when the lease is held, or stop when it is lost."""
        if event == LeaseEvent.HOLDS:
            self._begin(now_ms)
        else:
            # What was about to be sent belongs to a lease that has ended.
            self.source.outbox.clear()
            self.outbox[:] = [sent for sent in self.outbox if not _is_publishing(sent[1])]

    def _begin(self, now_ms: float) -> None:
        store, changes = self._load()
        self.source.reset(now_ms, store, self.group.generation)
        for change in changes:
            version = store.version + 1
            self.source.advance(now_ms, self.group.generation, version, change.entries, now_ms)
        self._confirm(now_ms)

    def _load(self) -> tuple[KeyStore, list[pb.Change]]:
        """Return the state of the group's base and the changes after it; build the speculative state."""
        base, records = self.group.state
        state = pb.State.FromString(base)
        changes = [read_record(record, version) for version, record in enumerate(records, state.version + 1)]
        self._speculative_state = KeyStore.from_state(state)
        self._requests = RequestIndex(state.version, state.requests)
        for version, change in enumerate(changes, state.version + 1):
            self._speculative_state.apply(version, change.entries)
            self._requests.add(change.request, version)
        return KeyStore.from_state(state), changes

    # Calls of the host.

    @property
    def due_ms(self) -> float:
        """When to call `tick`."""
        return self.source.due_ms if self.group.generation else float("inf")

    def tick(self, now_ms: float) -> None:
        """Do what is due in the source, if the lease is held."""
        if self.group.holds(now_ms):
            self._confirm(now_ms)
            self.source.tick(now_ms)
        self._publish(now_ms)

    def on_message(self, now_ms: float, sender: tuple[str, int], message: pb.Message) -> None:
        """Handle a message of a relay or a client."""
        kind = message.WhichOneof("kind")
        if kind not in HANDLED_KINDS:
            self.source.counts["malformed"] += 1
        elif not self.group.holds(now_ms):
            self._redirect(sender[0], getattr(message, kind))
        else:
            self._serve(now_ms, sender, kind, message)
        self._publish(now_ms)

    def _redirect(self, receiver: str, body: Message) -> None:
        """Inform a client or a relay who is the leader, as far as it is known here."""
        number = body.request if hasattr(body, "request") else body.session
        leader, generation = self.group.holder
        if leader is None or leader == self.name:
            leader = ""
        answer = pb.NotLeader(session=number, leader=leader, generation=generation)
        self.outbox.append((receiver, pb.Message(not_leader=answer)))

    def _serve(self, now_ms: float, sender: tuple[str, int], kind: str, message: pb.Message) -> None:
        if kind == "propose":
            proposal = message.propose
            self.propose(now_ms, proposal.entries, proposal.request, partial(self._answer, sender[0]))
        elif kind == "status_request":
            status = self.status(now_ms)
            status.request = message.status_request.request
            self.outbox.append((sender[0], pb.Message(status=status)))
        else:
            self._confirm(now_ms)
            self.source.on_message(now_ms, sender, message)

    def _confirm(self, now_ms: float) -> None:
        """Confirm the version: while the lease is held nobody else accepts a change, so it is the newest."""
        self.source.confirm(now_ms, self.group.generation, self.source.version, 0.0)

    def _answer(self, receiver: str, now_ms: float, proposed: pb.Proposed) -> None:
        self.outbox.append((receiver, pb.Message(proposed=proposed)))
        self._publish(now_ms)

    def _publish(self, now_ms: float) -> None:
        """Send what the source has to say, but only while the lease is held.

        The process may be paused after this check. What is sent nevertheless carries the generation.
        """
        messages = list(self.source.outbox)
        self.source.outbox.clear()
        if self.group.holds(now_ms):
            self.outbox.extend(messages)

    def status(self, now_ms: float) -> pb.Status:
        """Return what is accepted, and what is in force where."""
        coverage, store = self.source.coverage(now_ms), self.source.history.store
        return pb.Status(
            generation=self.group.generation,
            newest=store.version,
            in_force=coverage.oldest,
            subscribers=coverage.subscribers,
            refused=coverage.refused,
            stale=coverage.stale,
            keys=len(store.entries),
            bytes=store.bytes,
            digest=store.digest,
        )


def _is_publishing(message: pb.Message) -> bool:
    return message.WhichOneof("kind") in PUBLISHING_KINDS


def _accepted(request: int, version: int) -> pb.Proposed:
    return pb.Proposed(request=request, outcome=pb.Proposed.ACCEPTED, version=version)


def _refused(request: int, reason: str) -> pb.Proposed:
    reason = reason[:MAX_REASON_CHARACTERS]
    return pb.Proposed(request=request, outcome=pb.Proposed.REFUSED, reason=reason)


def _in_doubt(request: int, reason: str) -> pb.Proposed:
    return pb.Proposed(request=request, outcome=pb.Proposed.UNKNOWN, reason=reason)


def group_settings(settings: Settings, lease_ms: float = DEFAULT_LEASE_MS) -> LeaseSettings:
    """Return settings of the group of voters that fit those of distribution."""
    return LeaseSettings(
        lease_ms=lease_ms,
        heartbeat_ms=lease_ms / HEARTBEATS_PER_LEASE,
        retry_ms=lease_ms / RETRIES_PER_LEASE,
        backoff_ms=lease_ms / BACKOFFS_PER_LEASE,
        max_records=MAX_UNFOLDED_RECORDS,
        max_state_bytes=2 * settings.most_state_bytes,
        max_pending_records=MAX_PENDING_PROPOSALS,
        chunk_window=FETCH_WINDOW,
    )


def make_voter(
    name: str,
    incarnation: int,
    voters: Sequence[str],
    rng: Random,
    lease_settings: LeaseSettings,
    settings: Settings,
    now_ms: float,
    sections: dict[str, bytes],
    is_new_disk: bool = False,
    check: CheckChange = find_change_error,
) -> tuple[LeaseGroup, Publisher]:
    """Return the lease group and the publisher of one voter, connected to each other.

    `sections` is the stored state of the group. The host calls `group.set_candidate` to have it acquire the
    lease.
    """
    publisher = Publisher(name, None, rng, settings, now_ms, check)
    publisher.group = LeaseGroup(
        LEASE_GROUP_NAME,
        name,
        incarnation,
        voters,
        rng,
        lease_settings,
        now_ms,
        sections,
        is_new_disk=is_new_disk,
        fold=fold,
        on_lease_event=publisher.on_lease_event,
    )
    return publisher.group, publisher
