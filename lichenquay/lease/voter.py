"""A voter of a group. It stores its promises and accepted records on disk before it reports them. No I/O.

A voter that finds nothing in its folder may have lost promises and records. Such a voter is *recovering*: it
grants nothing, accepts nothing and counts towards no majority, until either

- a leader sends it the complete log. The voter requests that only after `expiry_wait_ms`, with a nonce drawn
  at its own start so that no earlier message can be taken for the answer. By then every lease that it
  supported and every acquire request that it granted has ended: the current leader was elected by other
  voters, or has led throughout; or
- all voters of the group are recovering at once. An acquire request that found this carries the nonce of the
  voter. Then no voter has a record that could be lost, and the group is bootstrapped.

A folder whose content is damaged is not lost: such a voter is recovering as well, but is restored by a holder
only and never joins a bootstrap, which would replace what the folder still holds.

`is_new_disk` means that the folder was not lost: the host knows that it is complete and never contained this
group. Such a voter starts voting with the empty log. A folder whose latest writes may be lost counts as lost:
its host passes no sections and is_new_disk False. If a majority is recovering and the others are not, the
group makes no progress until enough folders are restored.
"""

from collections.abc import Callable
from random import Random

from lichenquay.lease.durable_state import PROMISE_SECTION, VoterState, changes_between, load_voter_state
from lichenquay.lease.lease_pb2 import Promise
from lichenquay.lease.log import FindStateError, FoldFunction, ReplicatedLog
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
from lichenquay.lease.snapshot_transfer import LogSnapshot, LogSnapshotFetch, is_valid_offer
from lichenquay.lease.voter_records import AppendReference, AttemptedPromise, PendingVoterWrite


class Voter:
    """One voter. Its group supplies `send(name, body)` and `store(changes)`, and calls `on_stored`."""

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
        find_state_error: FindStateError,
    ):
        """Loads the stored state, or starts recovering.

        `sections`: the stored sections of this group. `rng` draws the recovery nonce if the folder is lost or
        damaged.
        """
        self.settings = settings
        self.fold = fold
        self.send = send
        self.store = store
        self.find_state_error = find_state_error
        loaded = load_voter_state(sections)
        self.damage = self._damage_of(loaded)  # of the stored state, in one line; None: it is sound
        self.recovery_nonce = None
        if self.damage or not (sections or is_new_disk):
            self.recovery_nonce = rng.getrandbits(63) + 1
            loaded = VoterState(Promise(), ReplicatedLog())
        self.promise = loaded.promise
        self.log = loaded.log
        self.is_log_on_disk = not sections or self.recovery_nonce is None
        # It may have answered this leader just before it stopped and does not know when, so the wait starts
        # now.
        self.supported_leader = ProcessId(self.promise.name, self.promise.incarnation)
        self.abstains_until_ms = now_ms + settings.expiry_wait_ms
        # A voter that never stored anything for the group has answered nobody: an answer requires a stored
        # promise.
        has_never_answered = is_new_disk and not sections
        self.no_grants_until_ms = now_ms if has_never_answered else self.abstains_until_ms
        self.released_generation = 0  # highest generation that its leader released
        self.pending_write = None
        self.last_append = None
        self.fetch = None
        self.fetch_leader = None
        self.stalled_fetch = None  # the latest one that was dropped without all of its chunks
        self.log_snapshot = None
        self.attempted_promise = AttemptedPromise(0, ProcessId("", 0))
        self.asking = None  # while the stored state is damaged: generation and sender of acquire requests ...
        self.asking_since_ms = 0.0  # ... and when the first one came
        self.counts = {"rejected": 0, "disk_failures": 0, "invalid": 0}

    def _damage_of(self, loaded):
        if loaded is None:
            return "sections are missing or inconsistent"
        return self.find_state_error(loaded.log.base, loaded.log.records)

    @property
    def is_recovering(self) -> bool:
        """Whether the folder may be lost and the log has not been restored yet."""
        return self.recovery_nonce is not None

    @property
    def due_ms(self) -> float:
        """The time at which `tick` is due."""
        return self.fetch.due_ms if self.fetch and not self.is_writing else float("inf")

    def tick(self, now_ms: float) -> None:
        """Repeats the request for missing chunks; drops a stalled fetch."""
        if self.fetch and self.fetch.is_stalled(now_ms):
            self.stalled_fetch = self.fetch
            self.fetch = None
        if now_ms >= self.due_ms:
            self.send(self.fetch.source, self.fetch.request(now_ms))

    def handle(self, now_ms: float, sender: ProcessId, kind: MessageKind, body) -> None:
        """Handles a message of a kind in `VOTER_METHODS`."""
        getattr(self, VOTER_METHODS[kind])(now_ms, sender, body)

    # Acquire requests.

    def on_acquire_request(self, now_ms: float, sender: ProcessId, request: AcquireRequest) -> None:
        """Grants or rejects an acquire request.

        While a write is in flight, ignores it: the candidate retries.
        """
        if self.is_writing:
            return
        is_bootstrap = False
        if self.is_recovering:
            if now_ms < self.abstains_until_ms:
                return
            if self.damage and self._may_bootstrap(now_ms, sender, request):
                return
            is_bootstrap = request.bootstrap_nonce == self.recovery_nonce and not self.damage
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
            self._write(PendingVoterWrite(promise, self.log, sender, request))

    def _may_bootstrap(self, now_ms, sender, request):
        """Returns whether the candidate may still be gathering grants, and so may bootstrap the group.

        It does so for a lease at most; a holder goes on asking.
        """
        if self.asking != (request.generation, sender):
            self.asking = request.generation, sender
            self.asking_since_ms = now_ms
        return now_ms < self.asking_since_ms + self.settings.expiry_wait_ms

    def _is_acceptable(self, sender, generation):
        """Returns whether a generation is above all promises, and by at most MAX_GENERATION_STEP.

        A promise whose write failed may be on disk nevertheless: only the same promise may be retried.
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
        self.log_snapshot = LogSnapshot(self.log)
        grant = AcquireGrant(
            generation=request.generation,
            echo_token=request.echo_token,
            position=self.log.position,
            offer=self.log_snapshot.offer(),
        )
        self.send(sender.name, grant)

    def _reject(self, sender, request, wait_ms=0.0):
        self.counts["rejected"] += 1
        rejection = Rejection(
            generation=request.generation,
            echo_token=request.echo_token,
            promised_generation=max(self.promise.generation, self.attempted_promise.generation),
            wait_ms=wait_ms,
        )
        self.send(sender.name, rejection)

    def _send_recovery_notice(self, sender, request):
        notice = RecoveryNotice(
            generation=request.generation, echo_token=request.echo_token, recovery_nonce=self.recovery_nonce
        )
        self.send(sender.name, notice)

    def on_snapshot_request(self, now_ms: float, sender: ProcessId, request: SnapshotRequest) -> None:
        """Sends chunks of the log that was offered to this candidate by the grant."""
        is_granted = (request.generation, sender) == (self.promise.generation, self._promised_process)
        if is_granted and self.log_snapshot and request.crc == self.log_snapshot.crc:
            for chunk in self.log_snapshot.chunks(request, self.settings):
                self.send(sender.name, chunk)

    # Append requests.

    def on_append_request(self, now_ms: float, sender: ProcessId, request: AppendRequest) -> None:
        """Appends records that continue the log, or fetches a newer snapshot; replies with the position."""
        # A reply while a promise to another process is being written would start a lease that overlaps with
        # the lease of that process.
        if self._is_writing_promise or self.is_recovering and now_ms < self.abstains_until_ms:
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
            appended = self._log_with_records(request)
            if appended is None:
                self.counts["invalid"] += 1
                return
        self.last_append = AppendReference(
            sender.name, request.generation, request.number, request.echo_token
        )
        if appended is not None:
            self.fetch = None
            self._write(PendingVoterWrite(self.promise, appended))
            return
        if request.offer is not None and not self.is_writing and self._needs_snapshot(request):
            self._fetch_snapshot(now_ms, sender, request)
        if not self.is_recovering:
            self._reply_to_append(now_ms)

    def _is_outdated(self, sender, message):
        is_promised = (message.generation, sender) == (self.promise.generation, self._promised_process)
        return not is_promised or message.generation <= self.released_generation

    def _matches(self, before):
        # A log with a gap would be taken for a complete one.
        return before == self.log.position

    def _log_with_records(self, request):
        """Returns the log with the records appended; None if that does not end at the requested position."""
        after = request.after
        # Labelled with the generation of a third leader, this log would be taken for that leader's log.
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
        # A late offer would remove records that this voter has acknowledged.
        return position.order > self.log.position.order

    def _fetch_snapshot(self, now_ms, sender, request):
        fetch = LogSnapshotFetch(
            now_ms,
            sender.name,
            request.generation,
            request.offer,
            self.settings,
            self.find_state_error,
            request.recovery_nonce,
        )
        if self.fetch and self.fetch.is_same_transfer(fetch):
            return
        fetch.resume(self.fetch or self.stalled_fetch)
        self.stalled_fetch = None
        self.fetch = fetch
        self.fetch_leader = sender
        self.send(sender.name, self.fetch.request(now_ms))

    def on_snapshot_chunk(self, now_ms: float, sender: ProcessId, chunk: SnapshotChunk) -> None:
        """Records a chunk of the fetched snapshot, and writes the snapshot to disk once it is complete."""
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
                self._write(PendingVoterWrite(promise, log))
        elif self._may_install(fetch, log):
            self._write(PendingVoterWrite(self.promise, log))

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
        # From now on the leader may rely on this voter, which grants nothing to others for the length of a
        # lease.
        self.supported_leader = self._promised_process
        self.no_grants_until_ms = now_ms + self.settings.expiry_wait_ms
        reply = AppendReply(
            generation=append.generation,
            number=append.number,
            echo_token=append.echo_token,
            position=self.log.position,
        )
        self.send(append.leader, reply)

    def on_release_notice(self, now_ms: float, sender: ProcessId, notice: ReleaseNotice) -> None:
        """Lets others acquire the released lease at once."""
        if not self._is_outdated(sender, notice):
            self.released_generation = notice.generation
            self.no_grants_until_ms = now_ms
            self.fetch = None

    # The disk.

    @property
    def is_writing(self) -> bool:
        """Whether a write to disk is in flight. Replies sent meanwhile describe what is on disk."""
        return self.pending_write is not None

    @property
    def _is_writing_promise(self):
        return self.is_writing and self.pending_write.promise is not self.promise

    def _write(self, write):
        """Requests a write; only one may be in flight."""
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
        """Handles the result of the write in flight; `is_stored` False: it may be on disk or not."""
        write = self.pending_write
        self.pending_write = None
        if not is_stored:
            self.is_log_on_disk = False
            self.counts["disk_failures"] += 1
            return
        self.is_log_on_disk = True
        self.recovery_nonce = None
        self.damage = None
        self.promise = write.promise
        self.log = write.log
        if write.request is not None:
            self._grant(write.requester, write.request)
        else:
            self._reply_to_append(now_ms)
