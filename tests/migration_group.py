"""A replica group in memory, as `lease` promises it, for `migration_world`; and what an audit raises."""

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.state_machine import StateMachine


class AuditError(AssertionError):
    """A rule that was seen broken."""


def must(holds, what):
    """Raises AuditError with `what` where it does not hold."""
    if not holds:
        raise AuditError(what)


class Group:
    """One replica group: one holder at most, records in order, endings that are sometimes in doubt."""

    def __init__(self, world, replica_group):
        """`replica_group`: its name."""
        self.world, self.replica_group, self.generation, self.holder, self.out = (
            world,
            replica_group,
            0,
            None,
            [],
        )
        self.audit, self.log, self.states = StateMachine(replica_group), [], {}
        self.states[0], self.empty_ms, self.doubt = self.audit.state(), None, 0.0

    def elect(self, process):
        """A new generation. Writes that are out are made or not before it reads; the old holder is not
        told."""
        out, self.out = self.out, []
        for write in out:
            self.end(write, None, self.world.random.random() < 0.5)
        self.generation, self.holder = self.generation + 1, (process.name, process.life)

    def write(self, seat, record, done):
        """By its holder: made 1 to 30 ms later."""
        write = [seat, record, done]
        if (seat.name, seat.life) != self.holder:
            return done(self.world.processes[seat.name].now_ms, False)
        self.out.append(write)
        self.world.at(self.world.random.uniform(1, 30), lambda: self.ended(write))

    def ended(self, write):
        """Its end; sometimes in doubt, and the holder is none any more."""
        if write in self.out:
            doubt = self.world.random.random() < self.doubt
            self.out.remove(write)
            self.end(write, None if doubt else True, not doubt or self.world.random.random() < 0.5)
            if doubt:
                self.holder = None

    def end(self, write, ok, made):
        """`ok` is told to the writer, `made` is what is so."""
        seat, record, done = write
        if made:
            record = pb.Record.FromString(record)
            must(self.audit.apply(record), "a record that was made before")
            self.audit.check()
            self.log.append(record.SerializeToString())
            self.states[self.audit.no] = self.audit.state()
            self.world.made(self, record)
        process = self.world.processes[seat.name]
        if process.life == seat.life:
            process.call(lambda now_ms: done(now_ms, ok))


class Seat:
    """The group as one life of a process has it."""

    def __init__(self, group, process):
        """`process`: of `migration_world`, in its life of now."""
        self.group, self.name, self.life = group, process.name, process.life

    @property
    def generation(self):
        """0 where it does not hold the group."""
        return self.group.generation if self.holds(0) else 0

    def holds(self, now_ms):
        """Whether it is the holder."""
        return self.group.holder == (self.name, self.life)

    def snapshot(self):
        """A state, and records of which some are in it already."""
        at = max(0, len(self.group.log) - 7)
        return self.group.states[at], self.group.log[max(0, at - 2) :]

    def write(self, now_ms, record, done):
        """As `lease.Group.write`."""
        self.group.write(self, record, done)
