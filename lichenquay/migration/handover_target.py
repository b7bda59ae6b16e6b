"""The target's side of handovers: reservations for offered sessions, and acceptance of sessions.

The protocol is described in `handover_source`. No I/O.
"""

from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.session import Session
from lichenquay.migration.session_log import MAX_SESSION_BYTES, MAX_SESSIONS_BYTES
from lichenquay.migration.session_log_snapshot import HANDOVER_FIELDS_BYTES
from lichenquay.migration.target_selection import LeavingPhase

HEADROOM_BYTES = MAX_SESSIONS_BYTES // 5  # for handovers whose reservation was lost in a crash
MAX_RESERVATIONS = 512
MIN_RESERVATION_BYTES = 64
MAX_EVICTIONS = 8  # of idle sessions, to make room for one handover


class ReservationKey(NamedTuple):
    """An offered session and the replica group that offers it."""

    source: str
    session_id: str


class HandoverKey(NamedTuple):
    """One handover: its source, its number there, the session, and the session's generation here."""

    source: str
    number: int
    session_id: str
    session_generation: int


class SessionReservation(NamedTuple):
    """Bytes reserved for an offered session until `until_ms`."""

    until_ms: float
    size_bytes: int


@dataclass
class TargetCounters:
    """Counts of what the target did."""

    accepted: int = 0
    rejected: int = 0  # offers and handovers for which there was no room


class HandoverTarget:
    """The target's side of the handovers to one coordinator."""

    def __init__(self, coordinator):
        """Starts without reservations. `coordinator`: of the replica group that receives sessions."""
        self.coordinator = coordinator
        self.settings = coordinator.settings
        self.counters = TargetCounters()
        self.forget_term()

    def forget_term(self) -> None:
        """Discards reservations, which are not in the log."""
        self.reservations: dict[ReservationKey, SessionReservation] = {}

    def expire_reservations(self, now_ms: float) -> None:
        """Removes reservations whose time has ended."""
        self.reservations = {
            key: reservation
            for key, reservation in self.reservations.items()
            if now_ms < reservation.until_ms
        }

    @property
    def free_bytes(self) -> int:
        """Bytes that further offered sessions may take."""
        reserved_bytes = sum(reservation.size_bytes for reservation in self.reservations.values())
        return max(0, self.coordinator.speculative.free_bytes - HEADROOM_BYTES - reserved_bytes)

    def on_offer(self, now_ms: float, message: pb.Message, offer: pb.Offer) -> None:
        """Reserves bytes for an offered session for a time, or rejects the offer."""
        key = ReservationKey(message.replica_group, offer.id)
        self.reservations.pop(key, None)
        size_bytes = max(offer.bytes, MIN_RESERVATION_BYTES)
        is_staying = self.coordinator.handover_source.phase is LeavingPhase.STAYING
        max_size_bytes = min(self.free_bytes, MAX_SESSION_BYTES + HANDOVER_FIELDS_BYTES)
        accepts = is_staying and size_bytes <= max_size_bytes and len(self.reservations) < MAX_RESERVATIONS
        if accepts:
            self.reservations[key] = SessionReservation(now_ms + self.settings.reservation_ms, size_bytes)
        else:
            self.counters.rejected += 1
        answer = pb.Room(id=offer.id, generation=offer.generation, yes=accepts, free=self.free_bytes)
        self.coordinator.send(message.replica_group, term=message.term, room=answer)

    def on_handover(self, now_ms: float, message: pb.Message, handed: pb.Handed) -> None:
        """Accepts a session that was handed over, if there is room for it.

        Its source never acts for it again, so it is accepted even while this replica group itself leaves.
        """
        coordinator = self.coordinator
        wire = handed.session
        handover = HandoverKey(message.replica_group, handed.no, wire.id, wire.generation)
        if coordinator.committed.has_received(handover.source, handover.number):
            self.send_acknowledgement(handover)
            return
        needed_bytes = Session(wire).max_size_bytes
        for _ in range(MAX_EVICTIONS):
            if coordinator.speculative.free_bytes >= needed_bytes or not coordinator.evict_idle_session():
                break
        if coordinator.speculative.free_bytes < needed_bytes:
            self.counters.rejected += 1
            return
        self.reservations.pop(ReservationKey(handover.source, wire.id), None)
        change = coordinator.speculative.decide_accept(handover.source, handed.no, handed.floor, wire)
        coordinator.propose(change, partial(self._accepted, handover, now_ms))

    def _accepted(self, handover: HandoverKey, received_ms: float, now_ms: float, committed: bool) -> None:
        if not committed or not self.coordinator.refresh_leadership(now_ms):
            return
        self.counters.accepted += 1
        session = self.coordinator.committed.sessions.get(handover.session_id)
        for query_id in session.queries if session else ():
            self.coordinator.deadline_reference_ms[handover.session_id, query_id] = received_ms
        self.send_acknowledgement(handover)

    def send_acknowledgement(self, handover: HandoverKey) -> None:
        """Acknowledges a handover that is committed here."""
        acknowledgement = pb.Kept(
            no=handover.number, id=handover.session_id, generation=handover.session_generation
        )
        self.coordinator.send(handover.source, kept=acknowledgement)
