"""The log of one replica group: decided changes, and their writes, one record at a time. No I/O."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.lease.leadership_term import ReplicatedGroup, StateMachineLeader
from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.errors import StateMachineError
from lichenquay.migration.state_machine import StateMachine

MAX_CHANGES_PER_RECORD = 16  # the rest waits for the next record
ChangeCallback = Callable[[float, bool], None]  # (now_ms, whether the change is certainly committed)


class PendingChange(NamedTuple):
    """A change that was decided and is not written yet."""

    change: pb.Change
    done: ChangeCallback | None


class PendingWrite(NamedTuple):
    """A write whose result is not known yet."""

    number: int
    generation: int
    raw_record: bytes
    callbacks: list[ChangeCallback]


class SessionLogLeader(StateMachineLeader[StateMachine]):
    """The log of a replica group at a process that may lead it. Subclasses act on it."""

    state_machine_type = StateMachine
    load_errors = (StateMachineError, DecodeError)

    def __init__(self, replica_group: str, group: ReplicatedGroup):
        """`replica_group`: its name."""
        super().__init__(group, f"the replicated log of {replica_group}")
        self.replica_group = replica_group
        self.writes = 0
        self.pending_changes: list[PendingChange] = []

    def load(self, state: bytes, records: list[bytes]) -> StateMachine:
        """The state machine of a snapshot and the records after it."""
        return self.state_machine_type.load(self.replica_group, state, records)

    def on_step_down(self) -> None:
        """Called when a term ends: forget what belongs to it."""

    def on_write_ended(self, now_ms: float) -> None:
        """Called after the result of a write, while this process leads."""

    def forget_term(self, now_ms: float) -> None:
        """Changes that were not written yet are certainly not committed."""
        waiting, self.pending_changes = self.pending_changes, []
        self.on_step_down()
        for pending in waiting:
            if pending.done is not None:
                pending.done(now_ms, False)

    def propose(self, change: pb.Change | None, done: ChangeCallback | None = None) -> bool:
        """Decides a change; False for None, where nothing was decided.

        `done(now_ms, committed)` is called once it is committed, or certainly or possibly never is.
        """
        if change is None:
            return False
        self.speculative.apply_change(change)
        self.pending_changes.append(PendingChange(change, done))
        return True

    def flush(self, now_ms: float) -> None:
        """Writes what was decided, one record at a time."""
        if self.pending_write or not self.pending_changes or self.committed is None:
            return
        batch = self.pending_changes[:MAX_CHANGES_PER_RECORD]
        self.pending_changes = self.pending_changes[MAX_CHANGES_PER_RECORD:]
        record = pb.Record(no=self.committed.record_number + 1, changes=[pending.change for pending in batch])
        self.writes += 1
        callbacks = [pending.done for pending in batch if pending.done]
        raw_record = record.SerializeToString()
        self.pending_write = PendingWrite(self.writes, self.generation, raw_record, callbacks)
        self.group.append(now_ms, raw_record, partial(self._end_write, self.writes))

    def _end_write(self, number: int, now_ms: float, committed: bool | None) -> None:
        write = self.pending_write
        if not write or write.number != number:
            return
        self.pending_write = None
        if not committed:
            self.step_down_after_write(now_ms, committed, write.generation)
        elif self.committed is not None and self.generation == write.generation:
            record = pb.Record.FromString(write.raw_record)
            self.committed.apply(record)
            self.speculative.record_number = record.no
        for done in write.callbacks:
            done(now_ms, bool(committed))
        if self.refresh_leadership(now_ms):
            self.on_write_ended(now_ms)
            self.flush(now_ms)
