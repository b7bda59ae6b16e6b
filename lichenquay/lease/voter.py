"""A voter of a group: it keeps what it promised and accepted on its disk before it says so. No I/O.

A voter that finds nothing in its folder may have lost it, and with it promises and records. Such a voter is
*recovering*: it grants nothing, accepts nothing and counts nowhere, until either

- a leader sends it the whole log. The voter asks for that, with a nonce drawn at its own start so that no
  earlier message can answer, only after `expiry_wait_ms`. By then every lease that it supported and every
  acquire request that it granted has ended: whoever leads then was elected by other voters, or has led all
  along; or
- all voters of the group are recovering at once. An acquire request that found this says so with the nonce
  of each voter. Then nothing can be lost, and the group is bootstrapped.

`is_new_disk` says that the folder was not lost: it is whole and never knew this group, as the host knows.
Such a voter votes from the empty log on. A folder that may have lost its end counts as lost: its host
passes no sections and is_new_disk False. With a majority recovering and the others not, the group stands
still until enough folders are back.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from lichenquay.lease.durable_state import PROMISE_SECTION, VoterState, changes_between, load
from lichenquay.lease.lease_pb2 import Promise
from lichenquay.lease.log import FoldFunction, ReplicatedLog
from lichenquay.lease.messages import (
    VOTER_METHODS,
    AcquireGrant,
    AcquireRequest,
    AppendReply,
    AppendRequest,
    MessageKind,
    ProcessId,
    RecoveryNotice,
    Rejection,
    ReleaseNotice,
    SnapshotChunk,
    SnapshotRequest,
)
from lichenquay.lease.settings import MAX_GENERATION_STEP, LeaseSettings
from lichenquay.lease.snapshot_transfer import SealedLog, SnapshotFetch, is_valid_offer


class AttemptedPromise(NamedTuple):
    """The latest promise that went to the disk, whether or not it got there."""

    generation: int
    process: ProcessId


class AppendReference(NamedTuple):
    """The append request that a reply answers."""

    leader: str
    generation: int
    number: int
    token: int


@dataclass(frozen=True)
class PendingWrite:
    """What is being written to the disk; `requester` and `request`: the acquire request to grant then."""

    promise: Promise
    log: ReplicatedLog
    requester: ProcessId | None = None
    request: AcquireRequest | None = None


class Voter:
    """One voter. Its group gives `send(name, body)` and `store(changes)`, calls `on_stored`."""

    def __init__(
        self,
        rng: Random,
        settings: LeaseSettings,
        now_ms: float,
        sections: dict[str, bytes],
        is_new_disk: bool,
        fold: FoldFunction,
        send: Callable,
        store: Callable,
    ):
        """`sections`: what the folder has of this group. `rng` gives the recovery nonce of a lost folder."""
        self.settings = settings
        self.fold = fold
        self.send = send
        self.store = store
        loaded = load(sections)
        self.recovery_nonce = None
        if loaded is None or not (sections or is_new_disk):
            self.recovery_nonce = rng.getrandbits(63) + 1
            loaded = VoterState(Promise(), ReplicatedLog())
        self.promise = loaded.promise
        self.log = loaded.log
        self.is_log_on_disk = not sections or self.recovery_nonce is None
        # It may have answered this leader just before it stopped, and has forgotten when: so it waits from
        # here on.
        self.supported_leader = ProcessId(self.promise.name, self.promise.incarnation)
        self.silent_until_ms = now_ms + settings.expiry_wait_ms
        # A voter that never knew the group has answered nobody: an answer needs a promise on the disk.
        has_never_answered = is_new_disk and not sections
        self.no_grants_until_ms = now_ms if has_never_answered else self.silent_until_ms
        self.released_generation = 0  # the highest that its leader released
        self.pending_write = None
        self.last_append = None
        self.fetch = None
        self.fetch_leader = None
        self.sealed_log = None
        self.attempted_promise = AttemptedPromise(0, ProcessId("", 0))
        self.counts = {"rejected": 0, "disk_failures": 0, "invalid": 0}

    @property
    def is_recovering(self) -> bool:
        """Whether its folder may be lost, and the log has not come back yet."""
        return self.recovery_nonce is not None

    @property
    def due_ms(self) -> float:
        """When `tick` is due."""
        return self.fetch.due_ms if self.fetch and not self.is_writing else float("inf")

    def tick(self, now_ms: float) -> None:
        """Asks again for chunks that did not come; drops a fetch that has stalled."""
        if self.fetch and self.fetch.is_stalled(now_ms):
            self.fetch = None
        if now_ms >= self.due_ms:
            self.send(self.fetch.source, self.fetch.request(now_ms))

    def handle(self, now_ms: float, sender: ProcessId, kind: MessageKind, body) -> None:
        """Handles a message of a kind in `VOTER_METHODS`."""
        getattr(self, VOTER_METHODS[kind])(now_ms, sender, body)

    # Acquire requests.

    def on_acquire_request(self, now_ms: float, sender: ProcessId, request: AcquireRequest) -> None:
        """Grants, rejects, or (while a write is under way) leaves the request to be sent again."""
        if self.is_writing:
            return
        is_bootstrap = False
        if self.is_recovering:
            if now_ms < self.silent_until_ms:
                return
            is_bootstrap = request.bootstrap_nonce == self.recovery_nonce
            if not is_bootstrap:
                self._send_recovery_notice(sender, request)
                return
        if request.generation == self.promise.generation and sender == self._promised_process:
            self._grant(sender, request)
        elif not self._is_acceptable(sender, request.generation):
            self._reject(sender, request)
        elif now_ms < self.no_grants_until_ms and sender != self.supported_leader and not is_bootstrap:
            self._reject(sender, request, wait_ms=self.no_grants_until_ms - now_ms)
        else:
            self.attempted_promise = AttemptedPromise(request.generation, sender)
            promise = Promise(generation=request.generation, name=sender.name, incarnation=sender.incarnation)
            self._write(PendingWrite(promise, self.log, sender, request))

    def _is_acceptable(self, sender, generation):
        """Whether a generation is above all promises and not out of reach.

        A promise whose write failed may be on the disk nevertheless: only the same may be tried again.
        """
        if self.attempted_promise == (generation, sender):
            return True
        promised = self.promise.generation
        lowest = max(promised, self.attempted_promise.generation) + 1
        return lowest <= generation <= promised + MAX_GENERATION_STEP

    @property
    def _promised_process(self):
        return ProcessId(self.promise.name, self.promise.incarnation)

    def _grant(self, sender, request):
        self.sealed_log = SealedLog(self.log)
        grant = AcquireGrant(
            generation=request.generation,
            token=request.token,
            position=self.log.position,
            offer=self.sealed_log.offer(),
        )
        self.send(sender.name, grant)

    def _reject(self, sender, request, wait_ms=0.0):
        self.counts["rejected"] += 1
        rejection = Rejection(
            generation=request.generation,
            token=request.token,
            promised_generation=max(self.promise.generation, self.attempted_promise.generation),
            wait_ms=wait_ms,
        )
        self.send(sender.name, rejection)

    def _send_recovery_notice(self, sender, request):
        notice = RecoveryNotice(
            generation=request.generation, token=request.token, recovery_nonce=self.recovery_nonce
        )
        self.send(sender.name, notice)

    def on_snapshot_request(self, now_ms: float, sender: ProcessId, request: SnapshotRequest) -> None:
        """Sends chunks of the log that was granted to this candidate."""
        is_granted = (request.generation, sender) == (self.promise.generation, self._promised_process)
        if is_granted and self.sealed_log and request.crc == self.sealed_log.crc:
            for chunk in self.sealed_log.chunks(request, self.settings):
                self.send(sender.name, chunk)

    # Append requests.

    def on_append_request(self, now_ms: float, sender: ProcessId, request: AppendRequest) -> None:
        """Appends the records that fit or fetches a newer snapshot, and answers with its position."""
        # An answer while a promise to another process is being written would begin a lease beside that
        # process's.
        if self._is_promising or self.is_recovering and now_ms < self.silent_until_ms:
            return
        if self.is_recovering and request.recovery_nonce != self.recovery_nonce:
            self._send_recovery_notice(sender, request)
            return
        if not self.is_recovering and self._is_outdated(sender, request):
            self._reject(sender, request)
            return
        is_offer_invalid = request.offer is not None and not is_valid_offer(request.offer, self.settings)
        if request.before is None or request.after is None or is_offer_invalid:
            self.counts["invalid"] += 1
            return
        appended = None
        is_ready = not self.is_writing and not self.is_recovering
        if is_ready and self._matches(request.before) and request.after != request.before:
            appended = self._with_records(request)
            if appended is None:
                self.counts["invalid"] += 1
                return
        self.last_append = AppendReference(sender.name, request.generation, request.number, request.token)
        if appended is not None:
            self.fetch = None
            self._write(PendingWrite(self.promise, appended))
            return
        if request.offer is not None and not self.is_writing and self._needs_snapshot(request):
            self._fetch_snapshot(now_ms, sender, request)
        if not self.is_recovering:
            self._reply_to_append(now_ms)

    def _is_outdated(self, sender, message):
        is_promised = (message.generation, sender) == (self.promise.generation, self._promised_process)
        return not is_promised or message.generation <= self.released_generation

    def _matches(self, before):
        # Records after a gap would pass for the whole log.
        return before == self.log.position

    def _with_records(self, request):
        """The log with the records; None where they do not lead to the position after them."""
        after = request.after
        # With the generation of a third leader this log would pass for one that it is not.
        if after.generation not in (request.generation, request.before.generation):
            return None
        log = self.log.copy()
        log.generation = after.generation
        for record in request.records:
            log.append(record)
        return log if log.position == after else None

    def _needs_snapshot(self, request):
        return self.is_recovering or self._is_newer(request.offer.position)

    def _is_newer(self, position):
        # An offer that comes late would take back records that this voter has acknowledged.
        return position.order > self.log.position.order

    def _fetch_snapshot(self, now_ms, sender, request):
        fetch = SnapshotFetch(
            now_ms, sender.name, request.generation, request.offer, self.settings, request.recovery_nonce
        )
        if self.fetch and self.fetch.is_same_transfer(fetch):
            return
        self.fetch = fetch
        self.fetch_leader = sender
        self.send(sender.name, self.fetch.request(now_ms))

    def on_snapshot_chunk(self, now_ms: float, sender: ProcessId, chunk: SnapshotChunk) -> None:
        """Records a chunk of the snapshot that is being fetched; a whole one is written to the disk."""
        fetch = self.fetch
        if fetch is None or self.is_writing or not fetch.add_chunk(now_ms, sender.name, chunk):
            return
        log = fetch.assembled_log()
        if log is None:
            self.send(fetch.source, fetch.request(now_ms))
            return
        self.fetch = None
        if self.is_recovering:
            if fetch.recovery_nonce == self.recovery_nonce:
                leader = self.fetch_leader
                promise = Promise(
                    generation=fetch.generation, name=leader.name, incarnation=leader.incarnation
                )
                self._write(PendingWrite(promise, log))
        elif self._may_install(fetch, log):
            self._write(PendingWrite(self.promise, log))

    def _may_install(self, fetch, log):
        promised = self.promise.generation, self._promised_process
        return (
            (fetch.generation, self.fetch_leader) == promised
            and log.generation == fetch.generation
            and self._is_newer(log.position)
        )

    def _reply_to_append(self, now_ms):
        append = self.last_append
        if append.generation != self.promise.generation:
            return
        # From here on the leader may count on this voter: it grants nothing to others for the length of a
        # lease.
        self.supported_leader = self._promised_process
        self.no_grants_until_ms = now_ms + self.settings.expiry_wait_ms
        reply = AppendReply(
            generation=append.generation,
            number=append.number,
            token=append.token,
            position=self.log.position,
        )
        self.send(append.leader, reply)

    def on_release_notice(self, now_ms: float, sender: ProcessId, notice: ReleaseNotice) -> None:
        """The leader gave its lease up: others may acquire it at once."""
        if not self._is_outdated(sender, notice):
            self.released_generation = notice.generation
            self.no_grants_until_ms = now_ms
            self.fetch = None

    # The disk.

    @property
    def is_writing(self) -> bool:
        """Whether a write to the disk is in flight. Meanwhile answers are about what is on disk."""
        return self.pending_write is not None

    @property
    def _is_promising(self):
        return self.is_writing and self.pending_write.promise is not self.promise

    def _write(self, write):
        """Asks for the write; one at a time."""
        log = write.log
        if len(log.records) > self.settings.max_records:
            log.fold(self.fold, self.settings.max_records // 2)
        is_known = self.is_log_on_disk and not self.is_recovering
        changes = changes_between(self.log, log, is_known)
        if write.promise is not self.promise:
            changes[PROMISE_SECTION] = write.promise.SerializeToString()
        self.pending_write = write
        self.store(changes)

    def on_stored(self, now_ms: float, is_stored: bool) -> None:
        """The disk's answer to the write under way; `is_stored` False: it may be on disk or not."""
        write = self.pending_write
        self.pending_write = None
        if not is_stored:
            self.is_log_on_disk = False
            self.counts["disk_failures"] += 1
            return
        self.is_log_on_disk = True
        self.recovery_nonce = None
        self.promise = write.promise
        self.log = write.log
        if write.request is not None:
            self._grant(write.requester, write.request)
        else:
            self._reply_to_append(now_ms)
