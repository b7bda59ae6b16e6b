"""Replication of the leader's log to the voters, by append requests or a snapshot. No I/O."""

from collections.abc import Callable
from random import Random

from lichenquay.lease.log import FoldFunction, LogPosition, ReplicatedLog
from lichenquay.lease.messages import AppendRequest, SnapshotRequest
from lichenquay.lease.quorum import INF, Quorum
from lichenquay.lease.settings import LeaseSettings
from lichenquay.lease.snapshot_transfer import LogSnapshot

_RECORD_OVERHEAD_BYTES = 4  # per record in a message
# While a voter catches up, records are not folded, up to these fractions of the limits.
_MAX_UNFOLDED_RECORDS = 64  # times `max_records`
_MAX_UNFOLDED_STATE = 0.9  # of `max_state_bytes`


class LogReplicator:
    """The log of one generation, and the requests that replicate it to the voters."""

    def __init__(
        self,
        generation: int,
        log: ReplicatedLog,
        quorum: Quorum,
        rng: Random,
        settings: LeaseSettings,
        send: Callable,
    ):
        """Adopts `log` and sets its generation to this one."""
        self.generation = generation
        self.inherited_position = log.position  # end of the log under the previous generation
        self.log = log
        self.log.generation = generation
        self.quorum = quorum
        self.rng = rng
        self.settings = settings
        self.send = send
        self.append_number = 0
        self.next_heartbeat_ms = -INF
        self.log_snapshot = None

    def send_append(self, now_ms: float, name: str) -> None:
        """Sends an append request to one voter, with the records that it lacks or the offer of a snapshot."""
        voter = self.quorum.voters[name]
        before = voter.position or LogPosition()
        after = before
        voter.unanswered_since_ms = None
        records = None if voter.recovery_nonce else self._records_after(before)
        offer = None
        if records is None:
            offer = self._snapshot_offer()
        else:
            after = self._position_after(before, records)
        if after != before or offer is not None:
            voter.unanswered_since_ms = now_ms
        self.append_number += 1
        echo_token = self.rng.getrandbits(63) + 1
        voter.record_sent(now_ms, self.append_number, echo_token)
        request = AppendRequest(
            generation=self.generation,
            number=self.append_number,
            echo_token=echo_token,
            before=before,
            records=records or (),
            after=after,
            offer=offer,
            recovery_nonce=voter.recovery_nonce,
        )
        self.send(name, request)

    def _position_after(self, before, records):
        """Returns the position of a voter after the records.

        A part of the inherited log keeps the previous generation.
        """
        index = before.index + len(records)
        is_complete = index >= self.inherited_position.index
        generation = self.generation if is_complete else before.generation
        return LogPosition(generation, index, self.log.digest_at(index))

    def _records_after(self, before):
        """Returns the records after `before` that fit in one request; None if `before` is not in this log."""
        is_inherited = (
            before.generation == self.inherited_position.generation
            and before.index <= self.inherited_position.index
        )
        is_same_log = before.generation == self.generation or is_inherited
        if not is_same_log or self.log.digest_at(before.index) != before.digest:
            return None
        records = []
        size_bytes = 0
        for record in self.log.records_after(before.index):
            size_bytes += len(record) + _RECORD_OVERHEAD_BYTES
            if records and size_bytes > self.settings.max_append_bytes:
                break
            records.append(record)
        return records

    def _snapshot_offer(self):
        """Returns the offer of a snapshot of the log.

        The snapshot is replaced once its end is folded: a voter that installed it could not continue with
        records.
        """
        if self.log_snapshot is None or self.log.digest_at(self.log_snapshot.position.index) is None:
            self.log_snapshot = LogSnapshot(self.log)
        return self.log_snapshot.offer()

    def send_chunks(self, now_ms: float, name: str, request: SnapshotRequest) -> None:
        """Sends the requested chunks of the snapshot; a request beyond the earlier ones is progress."""
        if not self.log_snapshot or request.crc != self.log_snapshot.crc:
            return
        for chunk in self.log_snapshot.chunks(request, self.settings):
            self.send(name, chunk)
        is_valid = request.offset < len(self.log_snapshot.data)
        if is_valid and self.quorum.voters[name].record_chunk_request(request):
            self.quorum.catch_up_ms = now_ms

    def record_position(
        self, now_ms: float, previous: LogPosition | None, position: LogPosition, is_holding: bool
    ) -> None:
        """Records the progress of a voter that lacks records: while the lease is held, more than a few."""
        lag = self.settings.max_records // 2 if is_holding else 0
        has_advanced = previous is not None and position.order > previous.order
        if has_advanced and self.log.index - position.index > lag:
            self.quorum.catch_up_ms = now_ms

    def fold_if_due(self, now_ms: float, fold: FoldFunction) -> None:
        """Folds the older records, unless a voter that catches up would have to begin anew without them."""
        log = self.log
        settings = self.settings
        if len(log.records) <= settings.max_records:
            return
        is_catching_up = now_ms - self.quorum.catch_up_ms <= settings.lease_ms
        has_room = (
            len(log.records) <= _MAX_UNFOLDED_RECORDS * settings.max_records
            and log.size_bytes <= _MAX_UNFOLDED_STATE * settings.max_state_bytes
        )
        if not (is_catching_up and has_room):
            log.fold(fold, settings.max_records // 2)

    def is_consistent(self, position: LogPosition) -> bool:
        """Returns whether a voter's log can end at this position, given this log."""
        if position.generation != self.generation:
            return position.generation < self.generation
        known_digest = self.log.digest_at(position.index)
        is_folded = position.index < self.log.base_index
        return is_folded or known_digest is not None and known_digest == position.digest

    @property
    def is_inherited_log_committed(self) -> bool:
        """Whether a majority has the complete inherited log under this generation."""
        return self.quorum.committed_index >= self.inherited_position.index
