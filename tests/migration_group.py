"""A replica group in memory, with the promises of `lease`, for `migration_world`."""

from invariants import require
from replicated_group import PendingWrite, UncertainGroup

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.state_machine import StateMachine

SNAPSHOT_LAG_RECORDS = 7
OVERLAP_RECORDS = 2  # a snapshot comes with some records that are in it already


class SimulatedGroup(UncertainGroup):
    """One replica group; its holder is a process name with its life."""

    def __init__(self, world, replica_group):
        """`replica_group`: its name."""
        super().__init__(world)
        self.replica_group = replica_group
        self.state_machine = StateMachine(replica_group)  # all committed records, replayed
        self.states = {0: self.state_machine.state()}
        self.without_holder_since = None

    def elect(self, process):
        """A new generation.

        Pending writes are committed or not before the new holder reads; the old holder is told neither.
        """
        pending, self.pending = self.pending, []
        for write in pending:
            self._end(write, None, self.world.random.random() < 0.5)
        self.generation += 1
        self.holder = (process.name, process.life)

    def append(self, handle, record, done):
        """By its holder: committed 1 to 30 ms later."""
        if (handle.name, handle.life) != self.holder:
            done(self.world.processes[handle.name].now_ms, False)
            return
        write = PendingWrite(handle, record, done)
        self.pending.append(write)
        self.world.at(self.world.random.uniform(1, 30), lambda: self._end_in_time(write))

    def _end(self, write, result, committed):
        if committed:
            self._commit(pb.Record.FromString(write.record))
        process = self.world.processes[write.handle.name]
        if process.life == write.handle.life:
            process.call(lambda now_ms: write.done(now_ms, result))

    def _commit(self, record):
        require(self.state_machine.apply(record), "a record that was committed before")
        self.state_machine.check()
        self.log.append(record.SerializeToString())
        self.states[self.state_machine.record_number] = self.state_machine.state()
        self.world.audit.record_committed(record)


class GroupHandle:
    """The group as one life of a process has it."""

    def __init__(self, group, process):
        """`process`: of `migration_world`, in its present life."""
        self.group = group
        self.name = process.name
        self.life = process.life

    @property
    def generation(self):
        """0 where it does not hold the group."""
        return self.group.generation if self.holds(0) else 0

    def holds(self, now_ms):
        """Whether it is the holder."""
        return self.group.holder == (self.name, self.life)

    def snapshot(self):
        """A state, and records of which some are in it already."""
        snapshot_number = max(0, len(self.group.log) - SNAPSHOT_LAG_RECORDS)
        later = self.group.log[max(0, snapshot_number - OVERLAP_RECORDS) :]
        return self.group.states[snapshot_number], later

    def append(self, now_ms, record, done):
        """As `quota.ledger_records.PiecewiseGroup.write`."""
        self.group.append(self, record, done)
