"""A session as its replica group has it: its state, its queries, and what room it takes. No I/O."""

from lichenquay.migration import migration_pb2 as pb

HELD, FROZEN, OFFERED, GONE = range(1, 5)
WORDS = {HELD: "held", FROZEN: "frozen", OFFERED: "offered", GONE: "gone"}
OUTCOME = 16  # bytes of a query's outcome
MOST_NAME = 64  # bytes of a session's name, tenant, ref, engine uid


def fits(*names):
    """Whether names from outside are neither empty nor too long."""
    return all(0 < len(name.encode()) <= MOST_NAME for name in names)


class Ref:
    """A query as its session knows it. `term`: whose generation took it; under another it may have run."""

    __slots__ = ("ref", "mutating", "engine", "term", "outcome", "left_ms")

    def __init__(self, wire):
        """`wire`: a migration_pb2.Ref."""
        for name in self.__slots__:
            setattr(self, name, getattr(wire, name))

    def wire(self):
        """The migration_pb2.Ref of it."""
        return pb.Ref(**{name: getattr(self, name) for name in self.__slots__})


class Session:
    """A session at one replica group: `state` is one of WORDS, `to` and `no` are of its last hand-over."""

    __slots__ = (
        "tenant",
        "id",
        "generation",
        "pin",
        "order",
        "refs",
        "state",
        "to",
        "no",
        "told",
        "size",
        "most",
    )
    PLAIN = ("tenant", "id", "generation", "pin", "order", "state", "to", "no", "told")

    def __init__(self, wire):
        """`wire`: a migration_pb2.Session."""
        for name in self.PLAIN:
            setattr(self, name, getattr(wire, name))
        self.refs = {r.ref: Ref(r) for r in wire.refs}  # oldest first
        self.weigh()

    def wire(self):
        """The migration_pb2.Session of it."""
        wire = pb.Session(**{name: getattr(self, name) for name in self.PLAIN})
        wire.refs.extend(r.wire() for r in self.refs.values())
        return wire

    def weigh(self):
        """`most`: what it can come to without a further query. Risk: news of an end that finds no room for
        itself."""
        self.size = self.wire().ByteSize()
        self.most = self.size + (OUTCOME + 2) * len(self.open) + MOST_NAME + 14 - len(self.pin.encode())

    @property
    def open(self):
        """Its queries that are not known to have ended."""
        return [r for r in self.refs.values() if not r.outcome]

    @property
    def writing(self):
        """Whether a mutating query is out."""
        return any(r.mutating for r in self.open)

    @property
    def acted_for(self):
        """Whether its replica group still acts for it."""
        return self.state != GONE
