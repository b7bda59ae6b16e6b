"""An in-memory stand-in for the ledger's replicated group, with the guarantees of `lease`."""

from invariants import require
from replicated_group import PendingWrite, UncertainGroup

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.ledger import Ledger

RECORDS_BEFORE_COMPACTION = 40
RECORDS_AFTER_COMPACTION = 10
OVERLAP_RECORDS = 3  # records that are returned though they are already in the snapshot
DEFAULT_WRITE_MS = 5.0


class SimulatedGroup(UncertainGroup):
    """The ledger's replicated group; its holder is the name of a gateway."""

    def __init__(self, world):
        """Starts without records and without a holder. `world`: a quota_world.World."""
        super().__init__(world)
        self.compacted = 0  # records in the latest snapshot
        self.ledger = Ledger()  # all committed records, replayed
        self.entries = {}  # its latest escrow entries, also those that it has removed
        self.states = {0: self.ledger.state()}
        self.write_delay_ms = lambda: DEFAULT_WRITE_MS

    def elect(self, gateway_name):
        """Makes a gateway the holder, in a new generation.

        Pending writes are committed or dropped before the new holder reads; the old holder learns no result.
        """
        for write in self.pending:
            self._end(write, None, self.world.random.random() < 0.5)
        self.pending = []
        self.generation += 1
        self.holder = gateway_name

    def append(self, handle, record, done):
        """Writes a record, with the result after `write_delay_ms()`."""
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
        require(self.ledger.apply(record), f"record {record.no} is committed twice")
        self.ledger.check()
        self.log.append(record.SerializeToString())
        self.states[self.ledger.record_number] = self.ledger.state()
        for key, entries in self.ledger.epochs.items():
            for tenant, entry in entries.items():
                self.entries[*key, tenant] = entry

    def snapshot(self):
        """Returns a state, and records of which some are already in it."""
        if len(self.log) > RECORDS_BEFORE_COMPACTION:
            self.compacted = len(self.log) - RECORDS_AFTER_COMPACTION
        start = max(0, self.compacted - OVERLAP_RECORDS)
        return self.states[self.compacted], self.log[start:]


class GroupHandle:
    """The access of one process to the group."""

    def __init__(self, group, name):
        """`name`: the name of the gateway."""
        self.group = group
        self.name = name

    @property
    def generation(self):
        """The generation of the current holder."""
        return self.group.generation

    def holds(self, now_ms):
        """Returns whether this gateway is the holder."""
        return self.group.holder == self.name

    def append(self, now_ms, record, done):
        """Writes a record, as `ReplicatedGroup.append` does."""
        self.group.append(self, record, done)

    def snapshot(self):
        """Returns a state and records, as `ReplicatedGroup.snapshot` does."""
        return self.group.snapshot()
