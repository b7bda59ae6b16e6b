"""The log of one replica group: proposed changes, written one record at a time. No I/O."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.lease.leadership_term import ReplicatedGroup, StateMachineLeader
from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.errors import StateMachineError
from lichenquay.migration.state_machine import StateMachine

MAX_CHANGES_PER_RECORD = 16  # further changes wait for the next record
ChangeCallback = Callable[[float, bool], None]  # (now_ms, whether the change is certainly committed)


class ProposedChange(NamedTuple):
    """A change that was proposed and is not written yet."""

    change: pb.Change
    done: ChangeCallback | None


class PendingLogWrite(NamedTuple):
    """A write whose result is not known yet."""

    number: int
    lease_generation: int
    raw_record: bytes
    callbacks: list[ChangeCallback]


class SessionLogLeader(StateMachineLeader[StateMachine]):
    """The log of a replica group at a process that may lead it. Subclasses propose changes."""

    state_machine_type = StateMachine
    load_errors = (StateMachineError, DecodeError)

    def __init__(self, replica_group: str, group: ReplicatedGroup):
        """Creates the log of the named replica group, stored in `group`."""
        super().__init__(group, f"the replicated log of {replica_group}")
        self.replica_group = replica_group
        self.writes = 0
        self.pending_changes: list[ProposedChange] = []

    def load(self, state: bytes, records: list[bytes]) -> StateMachine:
        """Returns the state machine of a snapshot and the records after it."""
        return self.state_machine_type.load(self.replica_group, state, records)

    def on_step_down(self) -> None:
        """Discards the state of a term that has ended; for subclasses."""

    def on_write_ended(self, now_ms: float) -> None:
        """Continues after the result of a write, while this process leads; for subclasses."""

    def forget_term(self, now_ms: float) -> None:
        """Discards the state of the term; changes that were not written yet are reported as not committed."""
        dropped, self.pending_changes = self.pending_changes, []
        self.on_step_down()
        for pending in dropped:
            if pending.done is not None:
                pending.done(now_ms, False)

    def propose(self, change: pb.Change | None, done: ChangeCallback | None = None) -> bool:
        """Applies a change speculatively and queues it for writing; returns False if the change is None.

        `done(now_ms, committed)` is called once. `committed` is False where the change is not committed, and
        also where that is not known.
        """
        if change is None:
            return False
        self.speculative.apply_change(change)
        self.pending_changes.append(ProposedChange(change, done))
        return True

    def flush(self, now_ms: float) -> None:
        """Writes the next record of proposed changes, unless a write is pending."""
        if self.pending_write or not self.pending_changes or self.committed is None:
            return
        batch = self.pending_changes[:MAX_CHANGES_PER_RECORD]
        self.pending_changes = self.pending_changes[MAX_CHANGES_PER_RECORD:]
        record = pb.Record(no=self.committed.record_number + 1, changes=[pending.change for pending in batch])
        self.writes += 1
        callbacks = [pending.done for pending in batch if pending.done]
        raw_record = record.SerializeToString()
        self.pending_write = PendingLogWrite(self.writes, self.generation, raw_record, callbacks)
        self.group.append(now_ms, raw_record, partial(self._end_write, self.writes))

    def _end_write(self, number: int, now_ms: float, committed: bool | None) -> None:
        write = self.pending_write
        if not write or write.number != number:
            return
        self.pending_write = None
        if not committed:
            self.step_down_after_write(now_ms, committed, write.lease_generation)
        elif self.committed is not None and self.generation == write.lease_generation:
            record = pb.Record.FromString(write.raw_record)
            self.committed.apply(record)
            self.speculative.record_number = record.no
        for done in write.callbacks:
            done(now_ms, bool(committed))
        if self.refresh_leadership(now_ms):
            self.on_write_ended(now_ms)
            self.flush(now_ms)
