"""A process as a candidate for the lease of a group and as its holder. No I/O.

    IDLE -> ACQUIRING -> FETCHING -> REPLICATING -> HOLDING -> IDLE

ACQUIRING collects grants from a majority. FETCHING gets the newest log among them, by (generation, index).
REPLICATING stores that log on a majority under the new generation. Only then is the lease held, and only
while a majority supports it, that is, has answered append requests sent less than `lease_ms` ago. An expired
lease is never resumed under its generation; the process acquires a new one. An acquisition that a majority
has not granted within `lease_ms` is abandoned; the rules for voters with lost folders rely on this. One that
a majority has granted is abandoned if the transfer of the log makes no progress for `lease_ms`: over a slow
network the transfer may take longer than a lease, and would never end if it began anew each time.
"""

from collections.abc import Callable, Sequence
from random import Random

from lichenquay.lease.acquisition import Acquisition
from lichenquay.lease.errors import RecordSizeError
from lichenquay.lease.log import FindStateError, FoldFunction, ReplicatedLog
from lichenquay.lease.messages import (
    LEADER_METHODS,
    AcquireGrant,
    AppendReply,
    MessageKind,
    ProcessId,
    RecoveryNotice,
    Rejection,
    SnapshotChunk,
    SnapshotRequest,
)
from lichenquay.lease.phases import LeaseEvent, Phase
from lichenquay.lease.quorum import INF, Quorum
from lichenquay.lease.release import ReleaseNotifier
from lichenquay.lease.replication import LogReplicator
from lichenquay.lease.settings import MAX_GENERATION_STEP, LeaseSettings
from lichenquay.lease.snapshot_transfer import is_valid_offer

REACQUIRE_DELAY_HEARTBEATS = 2  # minimum delay from the expiry of the own lease to the next acquisition
MAX_BACKOFF_DOUBLINGS = 4


def _ignore_result(now_ms, result):
    pass


class Leadership:
    """The state machine of one process. Its group supplies `send(name, body)`, `own_log()` and `on_event`."""

    def __init__(
        self,
        voters: Sequence[str],
        rng: Random,
        settings: LeaseSettings,
        now_ms: float,
        fold: FoldFunction,
        send: Callable,
        own_log: Callable,
        on_event: Callable,
        find_state_error: FindStateError,
    ):
        """Starts idle. `voters`: their names. `own_log()`: the log of this process's voter, or None."""
        self.voters = tuple(voters)
        self.rng = rng
        self.settings = settings
        self.fold = fold
        self.send = send
        self.own_log = own_log
        self.on_event = on_event
        self.find_state_error = find_state_error
        self.highest_generation = 0  # known to this process
        self.is_candidate = False
        self.failed_acquisitions = 0  # in a row
        self.counts = {"acquisitions": 0, "expired": 0, "invalid": 0}
        self.release_notifier = ReleaseNotifier(self.voters, settings, send)
        self.acquisition = None  # the latest one
        self.latest_fetch = None  # of the log of another voter; the next acquisition continues it
        self._become_idle(now_ms)

    def _become_idle(self, now_ms, wait_ms=0.0):
        self.phase = Phase.IDLE
        self.generation = 0
        self.replicator = None
        self.pending_results = {}  # by index of the record
        self.is_releasing = False
        self.higher_promised_generation = 0  # that a voter promised while this process holds
        doublings = min(self.failed_acquisitions, MAX_BACKOFF_DOUBLINGS)
        backoff_ms = self.settings.backoff_ms * 2**doublings
        self.next_acquire_ms = now_ms + wait_ms + self.rng.uniform(0, backoff_ms)

    # Time.

    @property
    def quorum(self) -> Quorum:
        """The voters' state under the generation of the latest acquisition."""
        return self.acquisition.quorum

    @property
    def expires_ms(self) -> float:
        """The expiry of the lease: `lease_ms` after the requests that a majority has answered were sent."""
        return self.quorum.supported_since_ms + self.settings.lease_ms

    def holds(self, now_ms: float) -> bool:
        """Returns whether this process may act for the group now."""
        return self.phase is Phase.HOLDING and now_ms < self.expires_ms

    @property
    def is_acquiring(self) -> bool:
        """Whether an acquisition is in progress."""
        return self.phase in (Phase.ACQUIRING, Phase.FETCHING, Phase.REPLICATING)

    @property
    def log(self) -> ReplicatedLog | None:
        """The log of this generation; None until this process replicates it."""
        return None if self.replicator is None else self.replicator.log

    def expire(self, now_ms: float) -> None:
        """Ends a lease or an acquisition that has expired. Must run before any other action at this time."""
        if self.phase is Phase.HOLDING and now_ms >= self.expires_ms:
            self.counts["expired"] += 1
            # After a pause of this process another one may hold: acquiring at once would only disturb it.
            self._drop_lease(now_ms, REACQUIRE_DELAY_HEARTBEATS * self.settings.heartbeat_ms)
        elif self.is_acquiring and now_ms >= self.acquisition.abandoned_ms:
            self._abandon_acquisition(now_ms)

    def _drop_lease(self, now_ms, wait_ms=0.0):
        pending_results = self.pending_results
        was_holding = self.phase is Phase.HOLDING
        self._become_idle(now_ms, wait_ms)
        for on_result in pending_results.values():
            on_result(now_ms, None)
        if was_holding:
            self.on_event(now_ms, LeaseEvent.LOST)

    def _abandon_acquisition(self, now_ms):
        self.failed_acquisitions += 1
        self._become_idle(now_ms, max(self.quorum.rejection_waits_ms(), default=0.0))

    @property
    def due_ms(self) -> float:
        """The time at which `tick` is due."""
        due_ms = self.release_notifier.due_ms
        if self.phase is Phase.IDLE:
            return min(due_ms, self.next_acquire_ms if self.is_candidate else INF)
        if self.phase is Phase.HOLDING:
            due_ms = min(due_ms, self.expires_ms)
        else:
            due_ms = min(due_ms, self.acquisition.abandoned_ms)
        if self.phase is Phase.FETCHING:
            return min(due_ms, self.acquisition.fetch.due_ms)
        due_ms = min(due_ms, self.quorum.retry_due_ms(self._acquire_retry_ms, self.settings.retry_ms))
        if self.phase is Phase.ACQUIRING:
            return due_ms
        return min(due_ms, self.replicator.next_heartbeat_ms)

    @property
    def _acquire_retry_ms(self):
        return self.settings.retry_ms if self.phase is Phase.ACQUIRING else self.settings.heartbeat_ms

    def tick(self, now_ms: float) -> None:
        """Sends the acquire requests, heartbeats and retries that are due."""
        self.release_notifier.tick(now_ms)
        if self.phase is Phase.IDLE:
            if self.is_candidate and now_ms >= self.next_acquire_ms:
                self.acquire(now_ms)
        elif self.phase is Phase.FETCHING:
            if now_ms >= self.acquisition.fetch.due_ms:
                self.acquisition.continue_fetch(now_ms)
        else:
            self._send_due_requests(now_ms)

    def _send_due_requests(self, now_ms):
        is_replicating = self.phase is not Phase.ACQUIRING
        is_heartbeat_due = is_replicating and now_ms >= self.replicator.next_heartbeat_ms
        if is_heartbeat_due:
            self.replicator.next_heartbeat_ms = now_ms + self.settings.heartbeat_ms
        for name, voter in self.quorum.voters.items():
            if voter.needs_acquire_request:
                if now_ms >= voter.acquire_sent_ms + self._acquire_retry_ms:
                    self.acquisition.send_request(now_ms, name)
            elif is_replicating:
                is_late = now_ms >= voter.append_retry_due_ms(self.settings.retry_ms)
                if is_heartbeat_due or is_late:
                    self._send_append(now_ms, name)

    # Acquisition.

    def acquire(self, now_ms: float) -> None:
        """Starts an acquisition under a generation above all known ones."""
        self.highest_generation += 1
        self.generation = self.highest_generation
        self.phase = Phase.ACQUIRING
        self.acquisition = Acquisition(
            now_ms, self.generation, self.voters, self.rng, self.settings, self.send, self.find_state_error
        )
        self.counts["acquisitions"] += 1
        self.acquisition.send_requests(now_ms)

    def handle(self, now_ms: float, sender: ProcessId, kind: MessageKind, body) -> None:
        """Handles a message of a kind in `LEADER_METHODS`."""
        getattr(self, LEADER_METHODS[kind])(now_ms, sender, body)

    def _is_current(self, name, message):
        """Returns whether a message is from a voter and of the generation that is being acquired or held."""
        is_active = self.phase is not Phase.IDLE
        return is_active and name in self.voters and message.generation == self.generation

    def on_acquire_grant(self, now_ms: float, sender: ProcessId, grant: AcquireGrant) -> None:
        """Records a grant; once a majority has granted, adopts the newest log among them."""
        name = sender.name
        position = grant.position
        if (
            not self._is_current(name, grant)
            or grant.echo_token != self.acquisition.echo_token
            or position is None
        ):
            return
        if self.replicator is not None:
            is_consistent = self.replicator.is_consistent(position)
        else:
            is_consistent = position.generation < self.generation
        has_granted = self.quorum.voters[name].position is not None
        if has_granted or not is_consistent or not is_valid_offer(grant.offer, self.settings):
            return
        self.acquisition.record_grant(name, position, grant.offer)
        if self.replicator is not None:
            self._send_append(now_ms, name)
        elif self.phase is Phase.ACQUIRING:
            newest = self.acquisition.newest_granting_voter()
            if newest is not None:
                self._adopt_log_of(now_ms, newest)

    def _adopt_log_of(self, now_ms, name):
        own_log = self.own_log()
        if own_log is not None and own_log.position == self.quorum.voters[name].position:
            self._replicate(now_ms, own_log.copy())
        else:
            self.phase = Phase.FETCHING
            log = self.acquisition.start_fetch(now_ms, name, self.latest_fetch)
            self.latest_fetch = self.acquisition.fetch
            if log is not None:
                self._replicate(now_ms, log)

    def on_snapshot_chunk(self, now_ms: float, sender: ProcessId, chunk: SnapshotChunk) -> None:
        """Records a chunk of the fetched log; replicates the log once it is complete."""
        if self.phase is Phase.FETCHING:
            log = self.acquisition.add_chunk(now_ms, sender.name, chunk)
            if log is not None:
                self._replicate(now_ms, log)

    def on_rejection(self, now_ms: float, sender: ProcessId, rejection: Rejection) -> None:
        """Abandons an acquisition that cannot get a majority; a holder sends that voter a new request."""
        name = sender.name
        if not self._is_current(name, rejection) or not self.acquisition.is_reply(name, rejection):
            return
        if rejection.promised_generation > self.highest_generation + MAX_GENERATION_STEP:
            self.counts["invalid"] += 1
            return
        self.highest_generation = max(self.highest_generation, rejection.promised_generation)
        voter = self.quorum.voters[name]
        voter.record_rejection(rejection.wait_ms, self.settings.expiry_wait_ms)
        if self.is_acquiring:
            if self.quorum.is_rejected:
                self._abandon_acquisition(now_ms)
        elif rejection.promised_generation > self.generation:
            # It promised an acquisition that failed, and no longer answers this generation.
            voter.position = None
            voter.acquire_sent_ms = now_ms
            self.higher_promised_generation = rejection.promised_generation

    def on_recovery_notice(self, now_ms: float, sender: ProcessId, notice: RecoveryNotice) -> None:
        """Bootstraps a group whose voters are all recovering; a holder sends the voter the complete log."""
        name = sender.name
        if (
            not self._is_current(name, notice)
            or not notice.recovery_nonce
            or not self.acquisition.is_reply(name, notice)
        ):
            return
        voter = self.quorum.voters[name]
        known_nonce = voter.recovery_nonce
        voter.record_recovery(notice.recovery_nonce)
        if self.phase is Phase.ACQUIRING and self.acquisition.bootstrap_nonces:
            voter.recovery_nonce = 0
        elif self.phase is Phase.ACQUIRING and self.quorum.is_recovering:
            self.acquisition.bootstrap(now_ms)
        elif self.phase is Phase.HOLDING and known_nonce != notice.recovery_nonce:
            self._send_append(now_ms, name)

    # Replication.

    def _replicate(self, now_ms, log):
        self.phase = Phase.REPLICATING
        self.acquisition.fetch = None
        self.replicator = LogReplicator(self.generation, log, self.quorum, self.rng, self.settings, self.send)
        self._send_due_requests(now_ms)

    def _send_append(self, now_ms, name):
        if self.quorum.voters[name].recovery_nonce and self.phase is not Phase.HOLDING:
            return
        self.replicator.send_append(now_ms, name)

    def on_snapshot_request(self, now_ms: float, sender: ProcessId, request: SnapshotRequest) -> None:
        """Sends chunks of the offered snapshot."""
        if self._is_current(sender.name, request) and self.replicator is not None:
            self.replicator.send_chunks(now_ms, sender.name, request)

    def on_append_reply(self, now_ms: float, sender: ProcessId, reply: AppendReply) -> None:
        """Records what a voter has on disk, and from when its reply supports the lease."""
        name = sender.name
        position = reply.position
        if not self._is_current(name, reply) or self.replicator is None or position is None:
            return
        voter = self.quorum.voters[name]
        append = voter.sent_appends.get(reply.number)
        # A reply to a request that was never sent, or about records that do not exist, must be ignored.
        is_reply = append is not None and append.echo_token == reply.echo_token
        if not is_reply or not self.replicator.is_consistent(position):
            self.counts["invalid"] += 1
            return
        voter.supports_since_ms = max(voter.supports_since_ms, append.sent_ms)
        if position.generation == self.generation:
            voter.match_index = max(voter.match_index, position.index)
        if reply.number > voter.replied_number:
            self._update_position(now_ms, name, reply.number, position)
        self._commit(now_ms)

    def _update_position(self, now_ms, name, number, position):
        voter = self.quorum.voters[name]
        previous = voter.position
        voter.replied_number = number
        voter.position = position
        voter.recovery_nonce = 0
        voter.rejection_wait_ms = None
        self.replicator.record_position(now_ms, previous, position, self.phase is Phase.HOLDING)
        if position != previous:
            voter.unanswered_since_ms = None
            if position != self.log.position:
                self._send_append(now_ms, name)

    def _commit(self, now_ms):
        """Commits what a majority has on disk; takes the lease once the inherited log is committed."""
        committed_index = self.quorum.committed_index
        is_ready = self.phase is Phase.REPLICATING and self.replicator.is_inherited_log_committed
        if is_ready and now_ms < self.expires_ms:
            self.phase = Phase.HOLDING
            self.failed_acquisitions = 0
            self.latest_fetch = None
            self.on_event(now_ms, LeaseEvent.HOLDS)
        if self.phase is Phase.HOLDING:
            for index in [index for index in self.pending_results if index <= committed_index]:
                self.pending_results.pop(index, _ignore_result)(now_ms, True)
            if not self.pending_results and self.phase is Phase.HOLDING:
                self._release_or_reacquire(now_ms)

    def _release_or_reacquire(self, now_ms):
        """Completes a release, or reacquires above a generation promised to another process."""
        # Called only when no record is pending.
        if self.is_releasing:
            generation = self.generation
            index = self.log.index
            self.is_candidate = False
            self._drop_lease(now_ms)
            self.release_notifier.start(now_ms, generation, index)
        elif self.higher_promised_generation and now_ms >= self.acquisition.ends_ms:
            self._drop_lease(now_ms)
            self.acquire(now_ms)

    def append(self, now_ms: float, record: bytes, on_result: Callable) -> None:
        """Appends a record; see `LeaseGroup.append`."""
        if not 0 < len(record) <= self.settings.max_append_bytes:
            raise RecordSizeError(
                f"record of {len(record)} bytes; expected 1 to {self.settings.max_append_bytes} bytes"
            )
        if not self._may_append(now_ms, record):
            on_result(now_ms, False)
            return
        self.log.append(record)
        self.pending_results[self.log.index] = on_result
        self.replicator.fold_if_due(now_ms, self.fold)
        for name, voter in self.quorum.voters.items():
            if voter.position is not None and voter.unanswered_since_ms is None:
                self._send_append(now_ms, name)

    def _may_append(self, now_ms, record):
        if not self.holds(now_ms) or self.is_releasing:
            return False
        fits_state = self.log.size_bytes + len(record) <= self.settings.max_state_bytes
        return fits_state and len(self.pending_results) < self.settings.max_pending_records

    def release(self, now_ms: float) -> None:
        """Releases the lease once no record is pending; see `LeaseGroup.release`."""
        if self.phase is Phase.HOLDING:
            self.is_releasing = True
            if not self.pending_results:
                self._release_or_reacquire(now_ms)
        else:
            self.is_candidate = False
            self._become_idle(now_ms)
