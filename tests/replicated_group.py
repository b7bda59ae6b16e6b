"""Test doubles for a replicated group of `lichenquay.lease`."""


class PendingWrite:
    """A write without a result yet."""

    def __init__(self, handle, record, done):
        """Holds the record and its callback. `handle`: the GroupHandle of the writer."""
        self.handle = handle
        self.record = record
        self.done = done


class UncertainGroup:
    """A group with at most one holder, ordered records, and results that are sometimes unknown.

    Subclasses define `_end(write, result, committed)`: `result` is reported to the writer, `committed` is
    whether the record is actually committed.
    """

    def __init__(self, world):
        """Starts without records or a holder."""
        self.world = world
        self.generation = 0
        self.holder = None
        self.pending = []
        self.log = []
        self.uncertain_share = 0.0

    def _end_in_time(self, write):
        if write not in self.pending:
            return
        self.pending.remove(write)
        uncertain = self.world.random.random() < self.uncertain_share
        result = None if uncertain else True
        self._end(write, result, not uncertain or self.world.random.random() < 0.5)
        if uncertain:
            self.holder = None


class StableGroup:
    """A group with a permanent holder, whose records are committed by `complete_writes`."""

    def __init__(self, generation):
        """Starts without records."""
        self.generation = generation
        self.records = []
        self.writes = []

    def holds(self, now_ms):
        """Returns True: the holder never changes."""
        return True

    def snapshot(self):
        """Returns an empty state."""
        return b"", []

    def append(self, now_ms, record, done):
        """Queues a record for `complete_writes`."""
        self.writes.append((record, done))

    def complete_writes(self, now_ms):
        """Commits the queued records."""
        writes, self.writes = self.writes, []
        for record, done in writes:
            self.records.append(record)
            done(now_ms, True)
