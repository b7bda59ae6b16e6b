"""How a leader brings its log to the voters: append requests, or the offer of a snapshot. No I/O."""

from collections.abc import Callable
from random import Random

from lichenquay.lease.log import LogPosition, ReplicatedLog
from lichenquay.lease.messages import AppendRequest, SnapshotRequest
from lichenquay.lease.quorum import INF, Quorum
from lichenquay.lease.settings import LeaseSettings
from lichenquay.lease.snapshot_transfer import SealedLog

_RECORD_OVERHEAD_BYTES = 4  # of a record in a message


class LogReplicator:
    """The log of one generation and its way to the voters."""

    def __init__(
        self,
        generation: int,
        log: ReplicatedLog,
        quorum: Quorum,
        rng: Random,
        settings: LeaseSettings,
        send: Callable,
    ):
        """Adopts `log`: from here on it is of this generation."""
        self.generation = generation
        self.inherited_position = log.position  # where the log ended under the generation before
        self.log = log
        self.log.generation = generation
        self.quorum = quorum
        self.rng = rng
        self.settings = settings
        self.send = send
        self.append_number = 0
        self.next_heartbeat_ms = -INF
        self.sealed_log = None

    def send_append(self, now_ms: float, name: str) -> None:
        """An append request to one voter: with the records that it lacks, or with the offer of a snapshot."""
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
        token = self.rng.getrandbits(63) + 1
        voter.record_sent(now_ms, self.append_number, token)
        request = AppendRequest(
            generation=self.generation,
            number=self.append_number,
            token=token,
            before=before,
            records=records or (),
            after=after,
            offer=offer,
            recovery_nonce=voter.recovery_nonce,
        )
        self.send(name, request)

    def _position_after(self, before, records):
        """The position of a voter with the records. Half an inherited log keeps the generation before."""
        index = before.index + len(records)
        is_complete = index >= self.inherited_position.index
        generation = self.generation if is_complete else before.generation
        return LogPosition(generation, index, self.log.digest_at(index))

    def _records_after(self, before):
        """As many records after `before` as one request holds; None where this log does not continue it."""
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
        """The sealed log, made anew once a voter that has it could not continue with records."""
        if self.sealed_log is None or self.log.digest_at(self.sealed_log.position.index) is None:
            self.sealed_log = SealedLog(self.log)
        return self.sealed_log.offer()

    def send_chunks(self, name: str, request: SnapshotRequest) -> None:
        """The chunks of the sealed log that a voter asks for."""
        if self.sealed_log and request.crc == self.sealed_log.crc:
            for chunk in self.sealed_log.chunks(request, self.settings):
                self.send(name, chunk)

    def is_possible(self, position: LogPosition) -> bool:
        """Whether a voter can have its log at this position."""
        if position.generation != self.generation:
            return position.generation < self.generation
        known_digest = self.log.digest_at(position.index)
        is_folded = position.index < self.log.base_index
        return is_folded or known_digest is not None and known_digest == position.digest

    @property
    def is_inherited_log_committed(self) -> bool:
        """Whether a majority has the whole inherited log under this generation."""
        return self.quorum.committed_index >= self.inherited_position.index
