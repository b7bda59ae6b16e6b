"""The state machine of one replica group: decisions on its sessions.

A replica group is a replicated group of `lease` with the name of a gateway; its holder serves its sessions.
The `decide_` methods return a `Change`, or None if it is not allowed; they modify nothing. The replicated
group makes a `Record` of changes durable, and `apply` then applies it.
"""

from collections.abc import Iterable

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.session import (
    MAX_OUTCOME_BYTES,
    Session,
    SessionState,
    are_valid_names,
    session_id_of,
)
from lichenquay.migration.session_log import MAX_SESSION_BYTES, SessionLog
from lichenquay.migration.session_log_snapshot import (
    HANDOVER_FIELDS_BYTES,
    MAX_UNACKNOWLEDGED,
    check_invariants,
    restore,
    snapshot_of,
)

QUERY_FIELD_BYTES = 6  # added to its session by a query, besides the query's own size and outcome
UNKNOWN_OUTCOME = "ended"  # recorded for an outcome that is empty or too long


class StateMachine(SessionLog):
    """The state machine of a replica group's sessions."""

    def decide_open(self, tenant: str, name: str) -> pb.Change | None:
        """Returns the change that opens a session; None if its names are not valid or there is no room."""
        if not are_valid_names(tenant, name) or self.free_bytes < 2 * MAX_SESSION_BYTES:
            return None
        session_number = self.last_session_number + 1
        session_id = session_id_of(name, self.replica_group, session_number)
        return pb.Change(opened=pb.Opened(tenant=tenant, id=session_id, birth=session_number))

    def decide_pin(self, session_id: str, engine: str, load_number: int) -> pb.Change | None:
        """Returns the change that pins a session to the engine of its last completed load.

        None if the session is handed over, nothing changes, or the load number falls.
        """
        session = self.sessions.get(session_id)
        if session is None or not session.is_owned or not are_valid_names(engine):
            return None
        known = (session.engine, session.load_number)
        if load_number < session.load_number or known == (engine, load_number):
            return None
        return pb.Change(pinned=pb.Pinned(id=session_id, engine=engine, order=load_number))

    def decide_submit(
        self, session_id: str, query_id: str, mutating: bool, engine: str, term: int, remaining_ms: int
    ) -> pb.Change | None:
        """Returns the change that adds a submitted query to a session; a read-only one may be added again.

        None if the session is not held or has no room. Applying the change makes room by forgetting queries
        that ended, never one that may still run.
        """
        session = self._held_session(session_id)
        if session is None or not are_valid_names(query_id, engine):
            return None
        known = session.queries.get(query_id)
        if known and (known.mutating or mutating or known.outcome):
            return None
        query = pb.Ref(ref=query_id, mutating=mutating, engine=engine, term=term, left_ms=remaining_ms)
        ended_bytes = sum(ended.to_proto().ByteSize() for ended in session.queries.values() if ended.outcome)
        query_bytes = query.ByteSize() + MAX_OUTCOME_BYTES + QUERY_FIELD_BYTES
        fits_in_session = session.max_size_bytes - ended_bytes + query_bytes <= MAX_SESSION_BYTES
        if not fits_in_session or query_bytes > self.remaining_bytes:
            return None
        return pb.Change(took=pb.Took(id=session_id, ref=query))

    def decide_end(self, session_id: str, query_id: str, outcome: str) -> pb.Change | None:
        """Returns the change that ends a query; None if it is not open or its session is not owned."""
        session = self.sessions.get(session_id)
        if session is None or not session.is_owned:
            return None
        query = session.queries.get(query_id)
        if query is None or query.outcome:
            return None
        recorded = outcome if 0 < len(outcome.encode()) <= MAX_OUTCOME_BYTES else UNKNOWN_OUTCOME
        return pb.Change(ended=pb.Ended(id=session_id, ref=query_id, outcome=recorded))

    def decide_freeze(self, session_id: str) -> pb.Change | None:
        """Returns the change that stops a session from accepting queries; None if it is not held."""
        if self._held_session(session_id) is None:
            return None
        return pb.Change(frozen=pb.Frozen(id=session_id))

    def decide_offer(self, session_id: str, target: str) -> pb.Change | None:
        """Returns the change that offers a session that is frozen, or offered before; None for any other."""
        session = self.sessions.get(session_id)
        if session is None or not session.is_migrating or target == self.replica_group:
            return None
        return pb.Change(offered=pb.Offered(id=session_id, to=target))

    def decide_hand_over(self, session_id: str, target: str) -> pb.Change | None:
        """Returns the change that hands a session over, which is the point of no return.

        None if it is not offered to `target`, or too many handovers to `target` are unacknowledged.
        """
        session = self.sessions.get(session_id)
        if session is None or session.state != SessionState.OFFERED or session.target != target:
            return None
        handover_number = self.last_handover_numbers.get(target, 0) + 1
        if handover_number - self.acknowledged_floor(target) >= MAX_UNACKNOWLEDGED:
            return None
        return pb.Change(gone=pb.Gone(id=session_id, to=target, no=handover_number))

    def decide_acknowledge(self, session_id: str, target: str, handover_number: int) -> pb.Change | None:
        """Returns the change that records the acknowledgement of a handover; None if it does not match."""
        session = self.sessions.get(session_id)
        if session is None or session.is_owned or session.acknowledged:
            return None
        if (session.target, session.handover_number) != (target, handover_number):
            return None
        return pb.Change(told=pb.Told(id=session_id))

    def decide_accept(
        self, source: str, handover_number: int, floor: int, wire: pb.Session
    ) -> pb.Change | None:
        """Returns the change that accepts a session handed over to this replica group.

        None if the handover is not valid or was accepted before.
        """
        if self.has_received(source, handover_number):
            return None
        known = self.sessions.get(wire.id)
        # A session that was handed over may return with a higher generation: its target has received that
        # handover, even if it has not acknowledged it.
        if known and (known.is_owned or wire.generation <= known.generation):
            return None
        is_in_window = 0 < floor <= handover_number < floor + MAX_UNACKNOWLEDGED
        fits = wire.ByteSize() <= MAX_SESSION_BYTES + HANDOVER_FIELDS_BYTES
        if source == self.replica_group or not is_in_window or not fits:
            return None
        accepted = pb.Accepted(giver=source, no=handover_number, floor=floor, session=wire)
        return pb.Change(accepted=accepted)

    def decide_resume(self, session_id: str) -> pb.Change | None:
        """Returns the change that makes a frozen or offered session held again; None for any other."""
        session = self.sessions.get(session_id)
        if session is None or not session.is_migrating:
            return None
        return pb.Change(given_back=pb.GivenBack(id=session_id))

    def decide_evict(self) -> pb.Change | None:
        """Returns the change that evicts the least recently used session without open queries, or None."""
        for session in self.sessions.values():
            if session.state == SessionState.HELD and not session.open_queries:
                return pb.Change(dropped=pb.Dropped(id=session.session_id))
        return None

    def _held_session(self, session_id: str) -> Session | None:
        session = self.sessions.get(session_id)
        return session if session is not None and session.state == SessionState.HELD else None

    def check(self) -> None:
        """Raises StateMachineError if an invariant does not hold."""
        check_invariants(self)

    def state(self) -> bytes:
        """Returns the whole state as a snapshot; equal records give equal bytes."""
        return snapshot_of(self).SerializeToString(deterministic=True)

    @classmethod
    def load(cls, replica_group: str, raw: bytes, records: Iterable[bytes] = ()) -> "StateMachine":
        """Returns the state machine of a snapshot (empty: none yet) and records.

        Records that are already in the snapshot are skipped. Raises StateMachineError, also for the snapshot
        of another replica group, and protobuf's DecodeError.
        """
        machine = cls(replica_group)
        if raw:
            restore(machine, pb.State.FromString(raw))
        for record in records:
            machine.apply(pb.Record.FromString(record))
        machine.check()
        return machine
