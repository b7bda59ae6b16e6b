"""The ledger's replicated group in memory, with the promises of `lease`."""

from invariants import require
from replicated_group import PendingWrite, UncertainGroup

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.ledger import Ledger

RECORDS_BEFORE_COMPACTION = 40
RECORDS_AFTER_COMPACTION = 10
OVERLAP_RECORDS = 3  # a snapshot comes with some records that are in it already
USUAL_WRITE_MS = 5.0


class SimulatedGroup(UncertainGroup):
    """The ledger's group; its holder is the name of a gateway."""

    def __init__(self, world):
        """`world`: a quota_world.World."""
        super().__init__(world)
        self.compacted = 0  # records in the latest snapshot
        self.ledger = Ledger()  # all committed records, replayed
        self.entries = {}  # its escrow entries, with those that it forgot since
        self.states = {0: self.ledger.state()}
        self.write_delay_ms = lambda: USUAL_WRITE_MS

    def elect(self, gateway_name):
        """A new generation.

        Pending writes are committed or not before the new holder reads; the old holder is told neither.
        """
        for write in self.pending:
            self._end(write, None, self.world.random.random() < 0.5)
        self.pending = []
        self.generation += 1
        self.holder = gateway_name

    def append(self, handle, record, done):
        """A holder's write, with its result later."""
        write = PendingWrite(handle, record, done)
        self.pending.append(write)
        self.world.at(self.write_delay_ms(), lambda: self._end_in_time(write))

    def _end(self, write, result, committed):
        if committed:
            self._commit(write.record)
        gateway = self.world.gateways[write.handle.name]
        if gateway.group_handle is write.handle:  # otherwise its process has ended
            gateway.call(lambda now_ms: write.done(now_ms, result))

    def _commit(self, raw_record):
        record = pb.Record.FromString(raw_record)
        if any(change.HasField("loan") for change in record.changes):
            ledger = Ledger.load(self.states[self.ledger.record_number])
            for change in record.changes:
                self.world.audit.check_change(ledger, change)
                ledger.apply_change(change)
        require(self.ledger.apply(record), "a record that was committed before")
        self.ledger.check()
        self.log.append(record.SerializeToString())
        self.states[self.ledger.record_number] = self.ledger.state()
        for key, entries in self.ledger.epochs.items():
            for tenant, entry in entries.items():
                self.entries[*key, tenant] = entry

    def snapshot(self):
        """A state, and records of which some are in it already."""
        if len(self.log) > RECORDS_BEFORE_COMPACTION:
            self.compacted = len(self.log) - RECORDS_AFTER_COMPACTION
        start = max(0, self.compacted - OVERLAP_RECORDS)
        return self.states[self.compacted], self.log[start:]


class GroupHandle:
    """The group as one process has it."""

    def __init__(self, group, name):
        """`name`: of the gateway."""
        self.group = group
        self.name = name

    @property
    def generation(self):
        """Of the present holder."""
        return self.group.generation

    def holds(self, now_ms):
        """Whether this gateway is the holder."""
        return self.group.holder == self.name

    def append(self, now_ms, record, done):
        """As `ledger_leader.ReplicatedGroup.write`."""
        self.group.append(self, record, done)

    def snapshot(self):
        """As `ledger_leader.ReplicatedGroup.snapshot`."""
        return self.group.snapshot()
