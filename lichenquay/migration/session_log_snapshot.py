"""Snapshots of a session log as `State` messages of migration.proto, and the invariants of the log."""

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.session import MAX_NAME_BYTES, Session, SessionState, are_valid_names
from lichenquay.migration.session_log import (
    MAX_SESSION_BYTES,
    MAX_TOMBSTONES,
    ReceivedHandovers,
    SessionLog,
    require,
)

VERSION = 1
MAX_UNACKNOWLEDGED = 64  # handovers to one target
ID_SUFFIX_BYTES = 96  # maximum that a replica group adds to a session's name
HANDOVER_FIELDS_BYTES = 128  # maximum that a handover adds to a session's size
SESSION_STATES = frozenset(SessionState)


def snapshot_of(log: SessionLog) -> pb.State:
    """Returns the whole state; equal records give equal snapshots."""
    state = pb.State(
        version=VERSION,
        replica_group=log.replica_group,
        no=log.record_number,
        births=log.last_session_number,
        sessions=[session.to_proto() for session in log.sessions.values()],
    )
    for target, handover_number in sorted(log.last_handover_numbers.items()):
        state.given.add(replica_group=target, no=handover_number)
    for source, received in sorted(log.received_handovers.items()):
        state.taken.add(replica_group=source, no=received.floor, above=received.above)
    return state


def restore(log: SessionLog, state: pb.State) -> None:
    """Fills an empty log. Raises StateMachineError for another version, or another replica group's state."""
    require(state.version == VERSION, f"snapshot of version {state.version}, expected {VERSION}")
    require(
        state.replica_group == log.replica_group,
        f"the state of {state.replica_group}, not of {log.replica_group}",
    )
    log.record_number = state.no
    log.last_session_number = state.births
    log.sessions = {session.id: Session(session) for session in state.sessions}
    log.last_handover_numbers = {pair.replica_group: pair.no for pair in state.given}
    log.received_handovers = {
        pair.replica_group: ReceivedHandovers(pair.no, tuple(pair.above)) for pair in state.taken
    }


def check_invariants(log: SessionLog) -> None:
    """Raises StateMachineError, which names the invariant, if one does not hold."""
    for session_id, session in log.sessions.items():
        _check_session(log, session_id, session)
    for target, last_number in log.last_handover_numbers.items():
        numbers = [session.handover_number for session in log.unacknowledged(target)]
        are_distinct = len(numbers) == len(set(numbers)) and len(numbers) <= MAX_UNACKNOWLEDGED
        require(
            are_distinct and max(numbers, default=0) <= last_number,
            f"handovers to {target}: unacknowledged {numbers}, last {last_number}",
        )
    for source, received in log.received_handovers.items():
        are_above = all(number >= received.floor for number in received.above)
        require(received.floor >= 1 and are_above, f"handovers from {source}: {received}")
    tombstones = sum(1 for session in log.sessions.values() if session.is_tombstone)
    require(tombstones <= MAX_TOMBSTONES, f"{tombstones} tombstones, at most {MAX_TOMBSTONES} allowed")


def _check_session(log: SessionLog, session_id: str, session: Session) -> None:
    require(
        session.session_id == session_id and session.state in SESSION_STATES and session.generation >= 1,
        f"session {session_id}: id {session.session_id}, state {session.state}, "
        f"generation {session.generation}",
    )
    id_fits = len(session_id.encode()) <= MAX_NAME_BYTES + ID_SUFFIX_BYTES
    require(
        are_valid_names(session.tenant) and id_fits, f"session {session_id}: tenant or id of invalid length"
    )
    has_target = session.state in (SessionState.OFFERED, SessionState.HANDED_OVER)
    require(
        has_target == bool(session.target) and session.target != log.replica_group,
        f"session {session_id}: target {session.target!r} in state {session.state}",
    )
    require(
        session.is_owned != bool(session.handover_number),
        f"session {session_id}: handover {session.handover_number} in state {session.state}",
    )
    require(
        session.size_bytes <= MAX_SESSION_BYTES + HANDOVER_FIELDS_BYTES,
        f"session {session_id}: {session.size_bytes} bytes, at most "
        f"{MAX_SESSION_BYTES + HANDOVER_FIELDS_BYTES} allowed",
    )
