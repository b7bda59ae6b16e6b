"""Stand-ins for a replicated group of `lichenquay.lease`."""


class PendingWrite:
    """A write whose result is not known yet."""

    def __init__(self, handle, record, done):
        """`handle`: the GroupHandle of the writer."""
        self.handle = handle
        self.record = record
        self.done = done


class UncertainGroup:
    """One holder at most, records in order, results that are sometimes uncertain.

    Subclasses have `_end(write, result, committed)`: `result` is what the writer is told, `committed` is what
    is true.
    """

    def __init__(self, world):
        """Nothing is written, and nobody holds it."""
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
    """A group with one holder that stays; a record is made in the next step."""

    def __init__(self, generation):
        """Nothing is written yet."""
        self.generation = generation
        self.records = []
        self.writes = []

    def holds(self, now_ms):
        """The holder never changes."""
        return True

    def snapshot(self):
        """An empty state."""
        return b"", []

    def append(self, now_ms, record, done):
        """Made by `complete_writes`."""
        self.writes.append((record, done))

    def complete_writes(self, now_ms):
        """Makes what was written in the step before."""
        writes, self.writes = self.writes, []
        for record, done in writes:
            self.records.append(record)
            done(now_ms, True)
