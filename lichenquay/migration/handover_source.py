"""The source's side of handovers, when a replica group leaves: offers, and the point of no return. No I/O.

    source                                             target
    commit Frozen, Offered (while it leaves)
    Offer                              ->              reserve bytes for a time, in memory only
                                       <-              Room: yes or no
    commit Gone: the point of no return
    Handed, until acknowledged         ->              commit Accepted; from then on the target owns
                                                       the session, with the next generation
                                       <-              Kept
    commit Told

Offer and Room are advisory: an answer to an earlier term, or to another offer, is ignored. Handed and Kept
state only what is committed, so they stay true however late they arrive. A session that is frozen or offered
without an attempt of this term (its source crashed, or leaving was cancelled) is offered again or resumed.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.handover_pacing import Backoffs, ByteBudget
from lichenquay.migration.session import Session, SessionState
from lichenquay.migration.target_selection import (
    GatewayStatus,
    LeavingPhase,
    handover_order,
    may_start_leaving,
    select_target,
)

NEVER_MS = float("inf")
IDLE_TICK_PERIODS = 10  # tick periods between two ticks while nothing is to be handed over


@dataclass
class HandoverAttempt:
    """The attempt of this term to hand over one session.

    `target`: the current one; `tried_targets`: all so far; `offers_sent`: to the current target.
    """

    started_ms: float
    target: str
    next_offer_ms: float
    offers_sent: int = 0
    tried_targets: set[str] = field(default_factory=set)


class HandoverRetry(NamedTuple):
    """The time at which a handover is sent next, and the wait for its acknowledgement after that."""

    due_ms: float
    wait_ms: float


@dataclass
class SourceCounters:
    """Counts of what the source did."""

    offered: int = 0
    handed_over: int = 0
    acknowledged: int = 0
    resumed: int = 0


class HandoverSource:
    """The source's side of the handovers of one coordinator."""

    def __init__(self, coordinator):
        """Starts in phase STAYING. `coordinator`: of the replica group whose sessions are handed over."""
        self.coordinator = coordinator
        self.settings = coordinator.settings
        self.phase = LeavingPhase.STAYING
        self.at_once = False
        self.announced_ms = NEVER_MS
        self.members: tuple[GatewayStatus, ...] = ()
        self.engine_zones: dict[str, str] = {}
        self.counters = SourceCounters()
        self.forget_term()

    def forget_term(self) -> None:
        """Discards the state of the term that has ended; none of it is in the log."""
        self.attempts: dict[str, HandoverAttempt] = {}  # by session id
        self.handover_retries: dict[str, HandoverRetry] = {}  # by session id
        self.backoffs = Backoffs(self.settings)
        self.budget = ByteBudget(self.settings.bytes_per_s)
        self.due_ms = 0.0

    # Called by the host.

    def update_members(
        self, members: Collection[GatewayStatus], engine_zones: Mapping[str, str] | None = None
    ) -> None:
        """Updates the known gateways, this one included, and, unless None, the zone of each engine uid."""
        self.members = tuple(members)
        if engine_zones is not None:
            self.engine_zones = dict(engine_zones)

    def leave(self, now_ms: float, at_once: bool = False) -> None:
        """Announces that this replica group leaves, so that its sessions are to be handed over.

        `at_once`: without waiting for its turn, because its own gateway is gone and this one succeeded it.
        """
        if self.phase is LeavingPhase.STAYING:
            self.phase = LeavingPhase.ANNOUNCED
            self.announced_ms = now_ms
        self.at_once = self.at_once or at_once
        self.due_ms = now_ms

    def stay(self, now_ms: float) -> None:
        """Cancels leaving; sessions that are not handed over yet stay."""
        self.phase = LeavingPhase.STAYING
        self.at_once = False
        self.announced_ms = NEVER_MS
        self.due_ms = now_ms

    @property
    def is_finished(self) -> bool:
        """Whether no session and no change is left, so that the replica group may be released."""
        coordinator = self.coordinator
        return (
            coordinator.committed is not None
            and not coordinator.committed.live_sessions
            and not coordinator.pending_changes
            and not coordinator.pending_write
        )

    # Progress over time.

    def tick(self, now_ms: float) -> None:
        """Advances all handovers, and sets `due_ms`."""
        self.advance(now_ms)
        self.due_ms = now_ms + self.settings.tick_period_ms * (1 if self._is_busy() else IDLE_TICK_PERIODS)

    def _is_busy(self) -> bool:
        if self.phase is not LeavingPhase.STAYING or self.attempts or self.handover_retries:
            return True
        return any(session.is_migrating for session in self.coordinator.speculative.sessions.values())

    def advance(self, now_ms: float) -> None:
        """Advances the phase and all handovers as far as is due now."""
        self._advance_phase(now_ms)
        self.recover_interrupted_handovers(now_ms)
        for session_id, attempt in list(self.attempts.items()):
            self._advance_attempt(now_ms, session_id, attempt)
        if self.phase is LeavingPhase.LEAVING:
            self._start_handovers(now_ms)
        self.send_handovers(now_ms)
        self.coordinator.handover_target.expire_reservations(now_ms)
        self.backoffs.forget_old(now_ms)

    def _advance_phase(self, now_ms: float) -> None:
        if self.phase is not LeavingPhase.ANNOUNCED:
            return
        if self.at_once or (
            now_ms >= self.announced_ms + self.settings.announce_ms and self._may_start_leaving()
        ):
            self.phase = LeavingPhase.LEAVING

    def _may_start_leaving(self) -> bool:
        return may_start_leaving(
            self.coordinator.replica_group, self.members, self.settings.max_leaving_share
        )

    def recover_interrupted_handovers(self, now_ms: float) -> None:
        """Offers sessions that an earlier term froze, or resumes those that cannot or need not go."""
        if self.phase is not LeavingPhase.LEAVING:
            self.attempts = {}
        for session in list(self.coordinator.speculative.sessions.values()):
            if not session.is_migrating or session.session_id in self.attempts:
                continue
            target = self._select_target(now_ms, session) if self.phase is LeavingPhase.LEAVING else None
            if target is None or not self._offer(now_ms, session.session_id, target):
                self._resume(session.session_id)

    # Offers.

    def _select_target(self, now_ms: float, session: Session, excluded: Collection[str] = ()) -> str | None:
        return select_target(
            session.session_id,
            session.max_size_bytes,
            self.engine_zones.get(session.engine, ""),
            self.members,
            self.backoffs.backed_off_names(now_ms) | set(excluded) | {self.coordinator.replica_group},
        )

    def _start_handovers(self, now_ms: float) -> None:
        self.budget.refill(now_ms)
        sessions = self.coordinator.speculative.sessions.values()
        in_flight = sum(
            1 for session in sessions if session.state != SessionState.HELD and not session.is_tombstone
        )
        held = [session for session in sessions if session.state == SessionState.HELD]
        for session in handover_order(held):
            if in_flight >= self.settings.max_concurrent or self.budget.is_exhausted:
                return
            if self.backoffs.is_backing_off(now_ms, session.session_id):
                continue
            if self._start_handover(now_ms, session):
                in_flight += 1
                self.budget.spend(session.max_size_bytes)

    def _start_handover(self, now_ms: float, session: Session) -> bool:
        target = self._select_target(now_ms, session)
        if target is None:
            return False
        change = self.coordinator.speculative.decide_freeze(session.session_id)
        if not self.coordinator.propose(change):
            return False
        self._offer(now_ms, session.session_id, target)
        return True

    def _offer(self, now_ms: float, session_id: str, target: str) -> bool:
        change = self.coordinator.speculative.decide_offer(session_id, target)
        if not self.coordinator.propose(change):
            return False
        attempt = self.attempts.get(session_id)
        if attempt is None:
            attempt = HandoverAttempt(now_ms, target, now_ms)
            self.attempts[session_id] = attempt
        attempt.target = target
        attempt.offers_sent = 0
        attempt.next_offer_ms = now_ms
        attempt.tried_targets.add(target)
        self.counters.offered += 1
        return True

    def _advance_attempt(self, now_ms: float, session_id: str, attempt: HandoverAttempt) -> None:
        committed = self.coordinator.committed.sessions.get(session_id)
        session = self.coordinator.speculative.sessions[session_id]
        if not session.is_owned:
            del self.attempts[session_id]
            return
        if now_ms >= attempt.started_ms + self.settings.max_freeze_ms:
            self.backoffs.add_failure(now_ms, session_id)
            self._resume(session_id)
            return
        is_committed = committed is not None and (committed.state, committed.target) == (
            SessionState.OFFERED,
            attempt.target,
        )
        if not is_committed or now_ms < attempt.next_offer_ms:
            return
        if attempt.offers_sent >= self.settings.max_offers:
            self._offer_elsewhere(now_ms, session_id, attempt)
            return
        attempt.offers_sent += 1
        attempt.next_offer_ms = now_ms + self.settings.answer_timeout_ms
        offer = pb.Offer(id=session_id, generation=session.generation, bytes=session.max_size_bytes)
        self.coordinator.send(attempt.target, offer=offer)

    def _offer_elsewhere(self, now_ms: float, session_id: str, attempt: HandoverAttempt) -> None:
        self.backoffs.add_failure(now_ms, attempt.target)
        session = self.coordinator.speculative.sessions[session_id]
        target = self._select_target(now_ms, session, attempt.tried_targets)
        if target is None or not self._offer(now_ms, session_id, target):
            self.backoffs.add_failure(now_ms, session_id)
            self._resume(session_id)

    def _resume(self, session_id: str) -> None:
        self.attempts.pop(session_id, None)
        if self.coordinator.propose(self.coordinator.speculative.decide_resume(session_id)):
            self.counters.resumed += 1

    # Answers of targets.

    def on_offer_answer(self, now_ms: float, message: pb.Message, answer: pb.Room) -> None:
        """Hands a session over if its offer was accepted, else offers it to another target."""
        attempt = self.attempts.get(answer.id)
        session = self.coordinator.speculative.sessions.get(answer.id)
        if attempt is None or session is None:
            return
        if (message.replica_group, message.term) != (attempt.target, self.coordinator.generation):
            return
        if session.state != SessionState.OFFERED or answer.generation != session.generation:
            return
        self.members = tuple(
            member._replace(free_bytes=answer.free) if member.name == attempt.target else member
            for member in self.members
        )
        if not answer.yes:
            self._offer_elsewhere(now_ms, answer.id, attempt)
            return
        self.backoffs.clear(attempt.target)
        change = self.coordinator.speculative.decide_hand_over(answer.id, attempt.target)
        if self.coordinator.propose(change, self._on_handover_written):
            del self.attempts[answer.id]
            self.counters.handed_over += 1

    def _on_handover_written(self, now_ms: float, committed: bool) -> None:
        if committed and self.coordinator.refresh_leadership(now_ms):
            self.send_handovers(now_ms)

    def send_handovers(self, now_ms: float) -> None:
        """Sends each session that the committed log hands over, and retries until it is acknowledged."""
        retries = {}
        for session in self.coordinator.committed.sessions.values():
            if session.is_owned or session.acknowledged:
                continue
            first = HandoverRetry(now_ms, self.settings.answer_timeout_ms)
            retry = self.handover_retries.get(session.session_id, first)
            if now_ms >= retry.due_ms:
                self.coordinator.send(session.target, handed=self.handover_message(now_ms, session))
                doubled_ms = min(2 * retry.wait_ms, self.settings.max_backoff_ms)
                retry = HandoverRetry(now_ms + retry.wait_ms, doubled_ms)
            retries[session.session_id] = retry
        self.handover_retries = retries

    def handover_message(self, now_ms: float, session: Session) -> pb.Handed:
        """Returns the message that hands a session over, with the session as the target is to store it."""
        wire = session.to_proto()
        for query in wire.refs:
            query.left_ms = self.coordinator.remaining_ms(
                now_ms, session.session_id, session.queries[query.ref]
            )
            query.term = 0
        wire.generation = session.generation + 1
        wire.state = SessionState.HELD
        wire.to = ""
        wire.no = 0
        wire.told = False
        floor = self.coordinator.committed.acknowledged_floor(session.target)
        return pb.Handed(no=session.handover_number, floor=floor, session=wire)

    def on_acknowledgement(self, now_ms: float, message: pb.Message, acknowledgement: pb.Kept) -> None:
        """Records that the target has committed a handover."""
        session = self.coordinator.committed.sessions.get(acknowledgement.id)
        if session is None or acknowledgement.generation != session.generation + 1:
            return
        change = self.coordinator.speculative.decide_acknowledge(
            acknowledgement.id, message.replica_group, acknowledgement.no
        )
        if self.coordinator.propose(change):
            self.counters.acknowledged += 1
            if self.phase is LeavingPhase.LEAVING:
                self._start_handovers(now_ms)
