"""The sessions of one replica group as its records have made them: a deterministic state machine without I/O.

A session is

    held -> frozen -> offered(target) -> handed over(target)        resumed: frozen or offered -> held

`handed over` is the point of no return: from that record on this replica group never acts for that generation
of the session. Handovers from one replica group to another are numbered, and the target's log has the numbers
that it received: a handover that comes twice, or late by any time, is not accepted again, even if all else
about the session is forgotten. Design: docs/design/migration.md.
"""

from typing import NamedTuple

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.errors import StateMachineError
from lichenquay.migration.session import Query, Session, SessionState, opening_group_of

# The same in all processes of a fleet, as each folds the same records.
MAX_SESSIONS = 256  # of a replica group, without tombstones
MAX_SESSIONS_BYTES = 40_000  # of these
MAX_TOMBSTONES = 64  # the oldest are forgotten
MAX_SESSION_BYTES = 800  # whatever ends and is pinned later: a session fits in a datagram


class ReceivedHandovers(NamedTuple):
    """Of one replica group: all numbers under `floor` are on record here, and those in `above`."""

    floor: int = 1
    above: tuple[int, ...] = ()


class SessionLocation(NamedTuple):
    """State of a session, None where it is not known, and the replica group to ask for it."""

    state: SessionState | None
    replica_group: str


def require(condition: bool, message: str) -> None:
    """Raises StateMachineError with this message where the condition does not hold."""
    if not condition:
        raise StateMachineError(message)


class SessionLog:
    """The state, and how each kind of change alters it."""

    def __init__(self, replica_group: str):
        """Without sessions."""
        self.replica_group = replica_group
        self.record_number = 0
        self.last_session_number = 0
        self.sessions: dict[str, Session] = {}  # by id, the longest unused first
        self.sent_handovers: dict[str, int] = {}  # by target: number of the last one
        self.received_handovers: dict[str, ReceivedHandovers] = {}  # by source

    # Queries.

    @property
    def live_sessions(self) -> list[Session]:
        """All but tombstones."""
        return [session for session in self.sessions.values() if not session.is_tombstone]

    @property
    def free_bytes(self) -> int:
        """How many bytes further sessions may have; 0 where no further one fits by number."""
        return self.remaining_bytes if len(self.live_sessions) < MAX_SESSIONS else 0

    @property
    def remaining_bytes(self) -> int:
        """How many bytes further sessions and queries may have together."""
        used_bytes = sum(session.max_size_bytes for session in self.live_sessions)
        return max(0, MAX_SESSIONS_BYTES - used_bytes)

    def unacknowledged(self, target: str) -> list[Session]:
        """Sessions that are handed over to that replica group, which has not acknowledged them."""
        return [
            session
            for session in self.sessions.values()
            if session.state == SessionState.HANDED_OVER
            and not session.acknowledged
            and session.target == target
        ]

    def acknowledged_floor(self, target: str) -> int:
        """All handovers to that replica group under this number are known to be on record there."""
        next_number = self.sent_handovers.get(target, 0) + 1
        numbers = (session.handover_number for session in self.unacknowledged(target))
        return min(numbers, default=next_number)

    def has_received(self, source: str, handover_number: int) -> bool:
        """Whether that handover is on record here."""
        received = self.received_handovers.get(source, ReceivedHandovers())
        return handover_number < received.floor or handover_number in received.above

    def locate(self, session_id: str) -> SessionLocation:
        """Where to ask for a session that a client names.

        Where it is not known, the replica group that opened it.
        """
        session = self.sessions.get(session_id)
        if session is None:
            return SessionLocation(None, opening_group_of(session_id))
        handed_over = session.state == SessionState.HANDED_OVER
        return SessionLocation(session.state, session.target if handed_over else self.replica_group)

    # Records.

    def apply(self, record: pb.Record) -> bool:
        """Applies a record; False if it was applied before. Raises StateMachineError."""
        if record.no <= self.record_number:
            return False
        require(record.no == self.record_number + 1, f"record {record.no} after {self.record_number}")
        for change in record.changes:
            self.apply_change(change)
        self.record_number = record.no
        return True

    def apply_change(self, change: pb.Change) -> None:
        """Applies one change. Raises StateMachineError where it breaks an invariant."""
        kind = change.WhichOneof("kind")
        require(bool(kind), "a change of no known kind")
        getattr(self, APPLY_METHODS[kind])(getattr(change, kind))

    def _session_in(self, session_id: str, *states: SessionState) -> Session:
        session = self.sessions.get(session_id)
        if session is None or session.state not in states:
            actual = SessionState(session.state).name if session else None
            expected = [state.name for state in states]
            raise StateMachineError(f"{session_id} is {actual}, not {expected}")
        return session

    def _mark_used(self, session: Session) -> None:
        self.sessions[session.session_id] = self.sessions.pop(session.session_id)

    def _apply_opened(self, opened: pb.Opened) -> None:
        is_next = opened.birth == self.last_session_number + 1
        require(is_next and opened.id not in self.sessions, f"{opened.id} is opened twice")
        self.last_session_number = opened.birth
        self.sessions[opened.id] = Session(
            pb.Session(tenant=opened.tenant, id=opened.id, generation=1, state=SessionState.HELD)
        )

    def _apply_pinned(self, pinned: pb.Pinned) -> None:
        session = self._session_in(pinned.id, SessionState.HELD, SessionState.FROZEN, SessionState.OFFERED)
        require(pinned.order >= session.load_number, f"{pinned.id}: load number falls")
        session.engine = pinned.engine
        session.load_number = pinned.order
        session.update_size()
        self._mark_used(session)

    def _apply_submitted(self, submitted: pb.Took) -> None:
        """A query is submitted, a read-only one perhaps again."""
        session = self._session_in(submitted.id, SessionState.HELD)
        query_id = submitted.ref.ref
        known = session.queries.pop(query_id, None)
        repeatable = known is None or not (known.mutating or submitted.ref.mutating)
        require(repeatable, f"{submitted.id}: {query_id} is submitted twice")
        session.queries[query_id] = Query(submitted.ref)
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
        session = self._session_in(ended.id, SessionState.HELD, SessionState.FROZEN, SessionState.OFFERED)
        require(ended.ref in session.queries, f"{ended.id}: {ended.ref} was not submitted")
        session.queries[ended.ref].outcome = ended.outcome
        session.update_size()
        self._mark_used(session)

    def _apply_frozen(self, frozen: pb.Frozen) -> None:
        self._session_in(frozen.id, SessionState.HELD).state = SessionState.FROZEN

    def _apply_offered(self, offered: pb.Offered) -> None:
        session = self._session_in(offered.id, SessionState.FROZEN, SessionState.OFFERED)
        session.state = SessionState.OFFERED
        session.target = offered.to

    def _apply_handed_over(self, handed_over: pb.Gone) -> None:
        """The point of no return."""
        session = self._session_in(handed_over.id, SessionState.OFFERED)
        target = handed_over.to
        is_next = handed_over.no == self.sent_handovers.get(handed_over.to, 0) + 1
        require(
            session.target == target and is_next,
            f"{handed_over.id}: handed over to {target} by {handed_over.no}",
        )
        session.state = SessionState.HANDED_OVER
        session.handover_number = handed_over.no
        session.acknowledged = False
        self.sent_handovers[handed_over.to] = handed_over.no

    def _apply_acknowledged(self, acknowledged: pb.Told) -> None:
        """The target has the session on record."""
        session = self._session_in(acknowledged.id, SessionState.HANDED_OVER)
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
            f"handover {accepted.no} of {accepted.giver} is accepted twice",
        )
        is_newer = known is None or (not known.is_owned and wire.generation > known.generation)
        require(is_newer, f"{wire.id} of generation {wire.generation} is accepted over a newer one")
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
        """The session is held again."""
        session = self._session_in(resumed.id, SessionState.FROZEN, SessionState.OFFERED)
        session.state = SessionState.HELD
        session.target = ""

    def _apply_evicted(self, evicted: pb.Dropped) -> None:
        session = self._session_in(evicted.id, SessionState.HELD)
        require(not session.open_queries, f"{evicted.id} is evicted with an open query")
        del self.sessions[evicted.id]


# The kinds of migration.proto's Change, by the names of their fields.
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
