"""An in-memory replica group with the guarantees of `lease`, for `migration_world`."""

from invariants import require
from replicated_group import PendingWrite, UncertainGroup

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.state_machine import StateMachine

SNAPSHOT_LAG_RECORDS = 7
OVERLAP_RECORDS = 2  # records that are returned though they are already in the snapshot


class SimulatedGroup(UncertainGroup):
    """One replica group; its holder is (process name, incarnation)."""

    def __init__(self, world, replica_group):
        """Starts without records and without a holder."""
        super().__init__(world)
        self.replica_group = replica_group
        self.state_machine = StateMachine(replica_group)  # all committed records, replayed
        self.states = {0: self.state_machine.state()}
        self.without_holder_since = None

    def elect(self, process):
        """Makes a process the holder, in a new generation.

        Pending writes are committed or dropped before the new holder reads; the old holder learns no result.
        """
        pending, self.pending = self.pending, []
        for write in pending:
            self._end(write, None, self.world.random.random() < 0.5)
        self.generation += 1
        self.holder = (process.name, process.incarnation)

    def append(self, handle, record, done):
        """Writes a record of the holder, with the result 1 to 30 ms later."""
        if (handle.name, handle.incarnation) != self.holder:
            done(self.world.processes[handle.name].now_ms, False)
            return
        write = PendingWrite(handle, record, done)
        self.pending.append(write)
        self.world.at(self.world.random.uniform(1, 30), lambda: self._end_in_time(write))

    def _end(self, write, result, committed):
        if committed:
            self._commit(pb.Record.FromString(write.record))
        process = self.world.processes[write.handle.name]
        if process.incarnation == write.handle.incarnation:
            process.call(lambda now_ms: write.done(now_ms, result))

    def _commit(self, record):
        require(
            self.state_machine.apply(record), f"record {record.no} of {self.replica_group} is committed twice"
        )
        self.state_machine.check()
        self.log.append(record.SerializeToString())
        self.states[self.state_machine.record_number] = self.state_machine.state()
        self.world.audit.record_committed(record)


class GroupHandle:
    """The access of one incarnation of a process to the group."""

    def __init__(self, group, process):
        """`process`: of `migration_world`, in its current incarnation."""
        self.group = group
        self.name = process.name
        self.incarnation = process.incarnation

    @property
    def generation(self):
        """The generation of the group; 0 if this incarnation does not hold it."""
        return self.group.generation if self.holds(0) else 0

    def holds(self, now_ms):
        """Returns whether this incarnation is the holder."""
        return self.group.holder == (self.name, self.incarnation)

    def snapshot(self):
        """Returns a state, and records of which some are already in it."""
        snapshot_number = max(0, len(self.group.log) - SNAPSHOT_LAG_RECORDS)
        later = self.group.log[max(0, snapshot_number - OVERLAP_RECORDS) :]
        return self.group.states[snapshot_number], later

    def append(self, now_ms, record, done):
        """Writes a record, as `quota.ledger_records.PiecewiseGroup.append` does."""
        self.group.append(self, record, done)
