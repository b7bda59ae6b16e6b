"""The sessions of one replica group, as defined by its records: a deterministic state machine without I/O.

The states of a session are

    held -> frozen -> offered(target) -> handed over(target)        resumed: frozen or offered -> held

`handed over` is the point of no return: from that record on, this replica group never serves that generation
of the session. Handovers from one replica group to another are numbered, and the target's log records the
numbers that it received: a handover that arrives again, however late, is not accepted twice, even if
everything else about the session is forgotten. Design: docs/design/migration.md.
"""

from typing import NamedTuple

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.errors import StateMachineError
from lichenquay.migration.session import Session, SessionQuery, SessionState, opening_group_of

# All processes of a fleet must have the same limits, because each applies the same records.
MAX_SESSIONS = 256  # of a replica group, without tombstones
MAX_SESSIONS_BYTES = 40_000  # maximum sizes of all these sessions together
MAX_TOMBSTONES = 64  # beyond, the oldest are forgotten
MAX_SESSION_BYTES = 800  # of one session, with later outcomes and pins: a handover fits in a datagram


class ReceivedHandovers(NamedTuple):
    """The accepted handovers of one source: all numbers below `floor`, and those in `above`."""

    floor: int = 1
    above: tuple[int, ...] = ()


class SessionLocation(NamedTuple):
    """The state of a session, None where it is not known, and the replica group to ask for it."""

    state: SessionState | None
    replica_group: str


def require(condition: bool, message: str) -> None:
    """Raises StateMachineError with this message if the condition does not hold."""
    if not condition:
        raise StateMachineError(message)


class SessionLog:
    """The sessions of a replica group, and the transitions for each kind of change."""

    def __init__(self, replica_group: str):
        """Creates a log without sessions."""
        self.replica_group = replica_group
        self.record_number = 0
        self.last_session_number = 0
        self.sessions: dict[str, Session] = {}  # by id, the least recently used first
        self.last_handover_numbers: dict[str, int] = {}  # of sent handovers, by target
        self.received_handovers: dict[str, ReceivedHandovers] = {}  # by source

    # Reading.

    @property
    def live_sessions(self) -> list[Session]:
        """All sessions but tombstones."""
        return [session for session in self.sessions.values() if not session.is_tombstone]

    @property
    def free_bytes(self) -> int:
        """Bytes that further sessions may take; 0 once there are MAX_SESSIONS."""
        return self.remaining_bytes if len(self.live_sessions) < MAX_SESSIONS else 0

    @property
    def remaining_bytes(self) -> int:
        """Bytes that further sessions and queries together may take."""
        used_bytes = sum(session.max_size_bytes for session in self.live_sessions)
        return max(0, MAX_SESSIONS_BYTES - used_bytes)

    def unacknowledged(self, target: str) -> list[Session]:
        """Returns the sessions handed over to that replica group that it has not acknowledged."""
        return [
            session
            for session in self.sessions.values()
            if session.state == SessionState.HANDED_OVER
            and not session.acknowledged
            and session.target == target
        ]

    def acknowledged_floor(self, target: str) -> int:
        """Returns the lowest handover number to that replica group that it has not acknowledged."""
        next_number = self.last_handover_numbers.get(target, 0) + 1
        numbers = (session.handover_number for session in self.unacknowledged(target))
        return min(numbers, default=next_number)

    def has_received(self, source: str, handover_number: int) -> bool:
        """Returns whether that handover was accepted here."""
        received = self.received_handovers.get(source, ReceivedHandovers())
        return handover_number < received.floor or handover_number in received.above

    def locate(self, session_id: str) -> SessionLocation:
        """Returns the state of a session that a client names, and the replica group to ask for it.

        For an unknown session this is the replica group that opened it.
        """
        session = self.sessions.get(session_id)
        if session is None:
            return SessionLocation(None, opening_group_of(session_id))
        handed_over = session.state == SessionState.HANDED_OVER
        return SessionLocation(session.state, session.target if handed_over else self.replica_group)

    # Applying records.

    def apply(self, record: pb.Record) -> bool:
        """Applies a record; returns False if it was applied before. Raises StateMachineError."""
        if record.no <= self.record_number:
            return False
        require(
            record.no == self.record_number + 1,
            f"record {record.no} after {self.record_number}: records are missing",
        )
        for change in record.changes:
            self.apply_change(change)
        self.record_number = record.no
        return True

    def apply_change(self, change: pb.Change) -> None:
        """Applies one change. Raises StateMachineError if it breaks an invariant."""
        kind = change.WhichOneof("kind")
        require(bool(kind), "change of unknown kind")
        getattr(self, APPLY_METHODS[kind])(getattr(change, kind))

    def _require_session(self, session_id: str, *states: SessionState) -> Session:
        session = self.sessions.get(session_id)
        if session is None or session.state not in states:
            actual = SessionState(session.state).name if session else None
            expected = [state.name for state in states]
            raise StateMachineError(f"session {session_id} is {actual}, expected one of {expected}")
        return session

    def _mark_used(self, session: Session) -> None:
        self.sessions[session.session_id] = self.sessions.pop(session.session_id)

    def _apply_opened(self, opened: pb.Opened) -> None:
        is_next = opened.birth == self.last_session_number + 1
        require(is_next and opened.id not in self.sessions, f"session {opened.id} is opened twice")
        self.last_session_number = opened.birth
        self.sessions[opened.id] = Session(
            pb.Session(tenant=opened.tenant, id=opened.id, generation=1, state=SessionState.HELD)
        )

    def _apply_pinned(self, pinned: pb.Pinned) -> None:
        session = self._require_session(
            pinned.id, SessionState.HELD, SessionState.FROZEN, SessionState.OFFERED
        )
        require(
            pinned.order >= session.load_number, f"session {pinned.id}: load number falls to {pinned.order}"
        )
        session.engine = pinned.engine
        session.load_number = pinned.order
        session.update_size()
        self._mark_used(session)

    def _apply_submitted(self, submitted: pb.Took) -> None:
        """Adds a submitted query; a read-only one may be submitted again."""
        session = self._require_session(submitted.id, SessionState.HELD)
        query_id = submitted.ref.ref
        known = session.queries.pop(query_id, None)
        repeatable = known is None or not (known.mutating or submitted.ref.mutating)
        require(repeatable, f"session {submitted.id}: query {query_id} is submitted twice")
        session.queries[query_id] = SessionQuery(submitted.ref)
        session.update_size()
        self._forget_ended_queries(session)
        self._mark_used(session)

    @staticmethod
    def _forget_ended_queries(session: Session) -> None:
        for ended in [query for query in session.queries.values() if query.outcome]:
            if session.max_size_bytes <= MAX_SESSION_BYTES:
                break
            del session.queries[ended.query_id]
            session.update_size()

    def _apply_ended(self, ended: pb.Ended) -> None:
        session = self._require_session(
            ended.id, SessionState.HELD, SessionState.FROZEN, SessionState.OFFERED
        )
        require(ended.ref in session.queries, f"session {ended.id}: query {ended.ref} was not submitted")
        session.queries[ended.ref].outcome = ended.outcome
        session.update_size()
        self._mark_used(session)

    def _apply_frozen(self, frozen: pb.Frozen) -> None:
        self._require_session(frozen.id, SessionState.HELD).state = SessionState.FROZEN

    def _apply_offered(self, offered: pb.Offered) -> None:
        session = self._require_session(offered.id, SessionState.FROZEN, SessionState.OFFERED)
        session.state = SessionState.OFFERED
        session.target = offered.to

    def _apply_handed_over(self, handed_over: pb.Gone) -> None:
        """Hands a session over: the point of no return."""
        session = self._require_session(handed_over.id, SessionState.OFFERED)
        target = handed_over.to
        is_next = handed_over.no == self.last_handover_numbers.get(handed_over.to, 0) + 1
        require(
            session.target == target and is_next,
            f"session {handed_over.id} is offered to {session.target}: "
            f"unexpected handover {handed_over.no} to {target}",
        )
        session.state = SessionState.HANDED_OVER
        session.handover_number = handed_over.no
        session.acknowledged = False
        self.last_handover_numbers[handed_over.to] = handed_over.no

    def _apply_acknowledged(self, acknowledged: pb.Told) -> None:
        """Makes a session a tombstone: its target has committed the handover."""
        session = self._require_session(acknowledged.id, SessionState.HANDED_OVER)
        session.acknowledged = True
        session.queries.clear()
        session.update_size()
        self._mark_used(session)
        tombstones = [session.session_id for session in self.sessions.values() if session.is_tombstone]
        for session_id in tombstones[:-MAX_TOMBSTONES]:
            del self.sessions[session_id]

    def _apply_accepted(self, accepted: pb.Accepted) -> None:
        wire = accepted.session
        known = self.sessions.pop(wire.id, None)
        require(
            not self.has_received(accepted.giver, accepted.no),
            f"handover {accepted.no} from {accepted.giver} is accepted twice",
        )
        is_newer = known is None or (not known.is_owned and wire.generation > known.generation)
        require(is_newer, f"session {wire.id}: generation {wire.generation} is not newer than the known one")
        session = Session(wire)
        session.state = SessionState.HELD
        session.target = ""
        session.handover_number = 0
        session.acknowledged = False
        for query in session.queries.values():
            query.term = 0
        session.update_size()
        self.sessions[wire.id] = session
        self._record_received(accepted)

    def _record_received(self, accepted: pb.Accepted) -> None:
        received = self.received_handovers.get(accepted.giver, ReceivedHandovers())
        floor = max(received.floor, accepted.floor)
        numbers = {*received.above, accepted.no}
        above = tuple(sorted(number for number in numbers if number >= floor))
        self.received_handovers[accepted.giver] = ReceivedHandovers(floor, above)

    def _apply_resumed(self, resumed: pb.GivenBack) -> None:
        """Returns a frozen or offered session to held."""
        session = self._require_session(resumed.id, SessionState.FROZEN, SessionState.OFFERED)
        session.state = SessionState.HELD
        session.target = ""

    def _apply_evicted(self, evicted: pb.Dropped) -> None:
        session = self._require_session(evicted.id, SessionState.HELD)
        require(not session.open_queries, f"session {evicted.id} is evicted with an open query")
        del self.sessions[evicted.id]


# The method for each kind of migration.proto's Change, by field name.
APPLY_METHODS = {
    "opened": "_apply_opened",
    "pinned": "_apply_pinned",
    "took": "_apply_submitted",
    "ended": "_apply_ended",
    "frozen": "_apply_frozen",
    "offered": "_apply_offered",
    "gone": "_apply_handed_over",
    "told": "_apply_acknowledged",
    "accepted": "_apply_accepted",
    "given_back": "_apply_resumed",
    "dropped": "_apply_evicted",
}
