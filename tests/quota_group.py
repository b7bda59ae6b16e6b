"""The ledger's replicated group in memory, with the promises of `lease`; and what an audit raises."""

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.ledger import Ledger

RECORDS_BEFORE_COMPACTION = 40
RECORDS_AFTER_COMPACTION = 10
OVERLAP_RECORDS = 3  # a snapshot comes with some records that are in it already
USUAL_WRITE_MS = 5.0


class AuditError(AssertionError):
    """An invariant was seen broken."""


def require(condition, message):
    """Raises AuditError with this message where the condition does not hold."""
    if not condition:
        raise AuditError(message)


class PendingWrite:
    """A write whose result is not known yet."""

    def __init__(self, handle, record, done):
        """`handle`: the GroupHandle of the writer."""
        self.handle = handle
        self.record = record
        self.done = done


class SimulatedGroup:
    """One holder, records in order, results that are sometimes uncertain."""

    def __init__(self, world):
        """`world`: a quota_world.World."""
        self.world = world
        self.generation = 0
        self.holder = None
        self.pending = []
        self.log = []
        self.compacted = 0  # records in the latest snapshot
        self.ledger = Ledger()  # all committed records, replayed
        self.entries = {}  # its escrow entries, with those that it forgot since
        self.states = {0: self.ledger.state()}
        self.uncertain_share = 0.0
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

    def _end_in_time(self, write):
        if write not in self.pending:
            return
        self.pending.remove(write)
        uncertain = self.world.random.random() < self.uncertain_share
        result = None if uncertain else True
        self._end(write, result, not uncertain or self.world.random.random() < 0.5)
        if uncertain:
            self.holder = None

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
