"""Leadership of one replica group: what was decided, what is committed, and the writes in between. No I/O.

There are two state machines: `speculative` has what was decided, `committed` what the group has committed.
Where the result of a write is not known, this process does not lead until the group's next generation.
"""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.errors import StateMachineError
from lichenquay.migration.state_machine import StateMachine

MAX_CHANGES_PER_RECORD = 16  # the rest waits for the next record
ChangeCallback = Callable[[float, bool], None]  # (now_ms, whether the change is surely committed)


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


class ReplicatedLog:
    """The log of a replica group at a process that may lead it. Subclasses act on it."""

    state_machine_type = StateMachine

    def __init__(self, replica_group: str, group):
        """`group`: a `quota.ledger_records.PiecewiseGroup`."""
        self.replica_group = replica_group
        self.group = group
        self.uncertain_generation: int | None = None  # in which the result of a write is not known
        self.pending_write: PendingWrite | None = None
        self.last_error: str | None = None  # why it does not lead though it holds the group
        self.writes = 0
        self.uncertain_writes = 0
        self._reset()

    def _reset(self) -> None:
        self.committed: StateMachine | None = None
        self.speculative: StateMachine | None = None
        self.generation: int | None = None
        self.pending_changes: list[PendingChange] = []

    def on_step_down(self) -> None:
        """Called when a term ends: forget what belongs to it."""

    def on_write_ended(self, now_ms: float) -> None:
        """Called after the result of a write, while this process leads."""

    def step_down(self, now_ms: float) -> None:
        """Ends the term; changes that were not written yet are surely not committed."""
        waiting = self.pending_changes
        self._reset()
        self.on_step_down()
        for pending in waiting:
            if pending.done is not None:
                pending.done(now_ms, False)

    def is_leader(self, now_ms: float) -> bool:
        """Whether this process may act now; a new term begins with what the group has committed."""
        if not self.group.holds(now_ms) or self.group.generation == self.uncertain_generation:
            if self.committed:
                self.step_down(now_ms)
            return False
        if self.committed is None or self.generation != self.group.generation:
            return self._begin_term(now_ms)
        return True

    def _begin_term(self, now_ms: float) -> bool:
        self.step_down(now_ms)
        if self.pending_write:
            # A record of an earlier term could be committed after the state was read.
            return False
        self.generation = self.group.generation
        try:
            state, records = self.group.snapshot()
            self.committed = self.state_machine_type.load(self.replica_group, state, records)
            self.speculative = self.state_machine_type.load(self.replica_group, state, records)
        except (StateMachineError, DecodeError) as error:
            # A log of a newer version or a damaged one is left alone: with a new one each session would be
            # two.
            self.last_error = f"the replicated log of {self.replica_group} cannot be read: {error}"
            self.uncertain_generation = self.generation
            self.step_down(now_ms)
            return False
        self.term_started_ms = now_ms
        return True

    def propose(self, change: pb.Change | None, done: ChangeCallback | None = None) -> bool:
        """Decides a change; False for None, where nothing was decided.

        `done(now_ms, committed)` is called once it is committed, or surely or perhaps never is.
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
        self.group.write(now_ms, raw_record, partial(self._end_write, self.writes))

    def _end_write(self, number: int, now_ms: float, committed: bool | None) -> None:
        write = self.pending_write
        if not write or write.number != number:
            return
        self.pending_write = None
        if not committed:
            # It may be committed or not; whoever leads next finds out from the group.
            self.uncertain_writes += 1
            if committed is None:
                self.uncertain_generation = write.generation
            self.step_down(now_ms)
        elif self.committed is not None and self.generation == write.generation:
            record = pb.Record.FromString(write.raw_record)
            self.committed.apply(record)
            self.speculative.record_number = record.no
        for done in write.callbacks:
            done(now_ms, bool(committed))
        if self.is_leader(now_ms):
            self.on_write_ended(now_ms)
            self.flush(now_ms)
