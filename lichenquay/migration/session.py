"""A session as its replica group stores it: its state, its queries, and its size in bytes. No I/O."""

from enum import IntEnum

from lichenquay.migration import migration_pb2 as pb

MAX_OUTCOME_BYTES = 16
MAX_NAME_BYTES = 64  # of a session's name, a tenant, a query id, an engine uid
OUTCOME_FIELD_BYTES = MAX_OUTCOME_BYTES + 2
FIELD_GROWTH_BYTES = 14  # by which number fields and the header of the engine's field may grow


class SessionState(IntEnum):
    """The state of a session at one replica group; the values are those of migration.proto."""

    HELD = 1  # the replica group serves it
    FROZEN = 2  # no further query is accepted
    OFFERED = 3  # to another replica group
    HANDED_OVER = 4  # this replica group never serves this generation of it again


def are_valid_names(*names: str) -> bool:
    """Returns whether names from outside are neither empty nor longer than MAX_NAME_BYTES."""
    return all(0 < len(name.encode()) <= MAX_NAME_BYTES for name in names)


def session_id_of(name: str, replica_group: str, session_number: int) -> str:
    """Returns the id of a session opened by this replica group; it is unique in the fleet."""
    return f"{name}@{replica_group}.{session_number}"


def session_name_of(session_id: str) -> str:
    """Returns the name by which the client opened the session."""
    return session_id.rpartition("@")[0]


def opening_group_of(session_id: str) -> str:
    """Returns the replica group that opened the session."""
    return session_id.rpartition("@")[2].rpartition(".")[0]


class SessionQuery:
    """A query of a session.

    `term`: the leadership term that submitted it, 0 for an earlier owner; if it is not the current term, the
    query may or may not have run.
    `outcome`: empty while it is not known to have ended.
    `remaining_ms`: until its deadline, counted from its submission or from the handover of its session.
    """

    __slots__ = ("engine", "mutating", "outcome", "query_id", "remaining_ms", "term")

    def __init__(self, wire: pb.Ref):
        """Converts from the form in records and messages."""
        self.query_id = wire.ref
        self.mutating = wire.mutating
        self.engine = wire.engine
        self.term = wire.term
        self.outcome = wire.outcome
        self.remaining_ms = wire.left_ms

    def to_proto(self) -> pb.Ref:
        """Converts to the form in records and messages."""
        return pb.Ref(
            ref=self.query_id,
            mutating=self.mutating,
            engine=self.engine,
            term=self.term,
            outcome=self.outcome,
            left_ms=self.remaining_ms,
        )


class Session:
    """A session at one replica group.

    `engine`: the engine to which it is pinned; `load_number`: of its last completed load.
    `queries`: by query id, the oldest first.
    `target`, `handover_number`, `acknowledged`: of its last handover.
    `size_bytes`: encoded; `max_size_bytes`: to which that can grow without a further query.
    """

    __slots__ = (
        "acknowledged",
        "engine",
        "generation",
        "handover_number",
        "load_number",
        "max_size_bytes",
        "queries",
        "session_id",
        "size_bytes",
        "state",
        "target",
        "tenant",
    )

    def __init__(self, wire: pb.Session):
        """Converts from the form in records, snapshots and messages."""
        self.tenant = wire.tenant
        self.session_id = wire.id
        self.generation = wire.generation
        self.engine = wire.pin
        self.load_number = wire.order
        self.queries = {query.ref: SessionQuery(query) for query in wire.refs}
        self.state = wire.state
        self.target = wire.to
        self.handover_number = wire.no
        self.acknowledged = wire.told
        self.update_size()

    def to_proto(self) -> pb.Session:
        """Converts to the form in records, snapshots and messages."""
        return pb.Session(
            tenant=self.tenant,
            id=self.session_id,
            generation=self.generation,
            pin=self.engine,
            order=self.load_number,
            refs=[query.to_proto() for query in self.queries.values()],
            state=self.state,
            to=self.target,
            no=self.handover_number,
            told=self.acknowledged,
        )

    def update_size(self) -> None:
        """Recomputes the sizes after a change; the maximum includes room for all unknown outcomes."""
        self.size_bytes = self.to_proto().ByteSize()
        engine_growth_bytes = MAX_NAME_BYTES + FIELD_GROWTH_BYTES - len(self.engine.encode())
        outcomes_bytes = OUTCOME_FIELD_BYTES * len(self.open_queries)
        self.max_size_bytes = self.size_bytes + outcomes_bytes + engine_growth_bytes

    @property
    def open_queries(self) -> list[SessionQuery]:
        """Queries that are not known to have ended."""
        return [query for query in self.queries.values() if not query.outcome]

    @property
    def has_open_mutation(self) -> bool:
        """Whether a mutating query is open."""
        return any(query.mutating for query in self.open_queries)

    @property
    def is_migrating(self) -> bool:
        """Whether it is frozen or offered: it may still be handed over or resumed."""
        return self.state in (SessionState.FROZEN, SessionState.OFFERED)

    @property
    def is_owned(self) -> bool:
        """Whether this replica group still owns it: it is not handed over."""
        return self.state != SessionState.HANDED_OVER

    @property
    def is_tombstone(self) -> bool:
        """Whether its handover is acknowledged, so that it is stored only to redirect its client."""
        return self.state == SessionState.HANDED_OVER and self.acknowledged
