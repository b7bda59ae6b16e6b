"""Coordinators with one rule broken on purpose; `migration_world` or `migration_explore` must detect each."""

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.handover_source import HandoverRetry, HandoverSource
from lichenquay.migration.handover_target import HandoverKey, HandoverTarget
from lichenquay.migration.messages import Answer, AnswerKind
from lichenquay.migration.session import SessionState
from lichenquay.migration.state_machine import StateMachine

NEVER_MS = 1e18


def ignore(now_ms, answer):
    """Ignores an answer."""


def submit_answer(session_id, engine, mutating):
    """Returns an answer that allows the query to be submitted."""
    return Answer(AnswerKind.SUBMIT, session_id, engine=engine, mutating=mutating)


class LeadsWithoutLease(Coordinator):
    """Goes on leading after the process has lost the lease of the replica group."""

    def refresh_leadership(self, now_ms):
        """Returns True once this process has led."""
        if self.committed is None or self.pending_write:
            return super().refresh_leadership(now_ms)
        return True


class ServesBeforeCommit(Coordinator):
    """Serves a session that it has decided to accept, before that is committed."""

    def find_session(self, tenant, session_id):
        """Finds sessions in the speculative state."""
        session = self.speculative.sessions.get(session_id)
        if session is not None and session.tenant == tenant and session.state == SessionState.HELD:
            return session
        return super().find_session(tenant, session_id)

    def submit(self, now_ms, session_id, query_id, mutating, engine, remaining_ms, done):
        """Submits by the speculative state."""
        committed = self.committed.sessions.get(session_id)
        if mutating or (committed is not None and committed.state == SessionState.HELD):
            if committed is not None:
                super().submit(now_ms, session_id, query_id, mutating, engine, remaining_ms, done)
        elif self.speculative.sessions[session_id].state == SessionState.HELD:
            done(now_ms, submit_answer(session_id, engine, mutating))


class EagerlyAcknowledgingTarget(HandoverTarget):
    """Acknowledges handovers before they are committed."""

    def on_handover(self, now_ms, message, handed):
        """Acknowledges at once."""
        super().on_handover(now_ms, message, handed)
        session = handed.session
        self.send_acknowledgement(
            HandoverKey(message.replica_group, handed.no, session.id, session.generation)
        )


class AcknowledgesBeforeCommit(Coordinator):
    """Acknowledges handovers, as target, before they are committed."""

    handover_target_type = EagerlyAcknowledgingTarget


class EagerSource(HandoverSource):
    """Sends handovers before they are committed."""

    def on_offer_answer(self, now_ms, message, answer):
        """Sends the handover at once."""
        super().on_offer_answer(now_ms, message, answer)
        speculative = self.coordinator.speculative
        session = speculative.sessions.get(answer.id)
        if session is None or session.is_owned or session.acknowledged:
            return
        wire = session.to_proto()
        wire.generation = session.generation + 1
        wire.state = SessionState.HELD
        wire.to = ""
        wire.no = 0
        floor = speculative.acknowledged_floor(session.target)
        handed = pb.Handed(no=session.handover_number, floor=floor, session=wire)
        self.coordinator.send(session.target, handed=handed)


class HandsOverBeforeCommit(Coordinator):
    """Sends handovers, as source, before the point of no return is committed."""

    handover_source_type = EagerSource


class HandoverForgettingStateMachine(StateMachine):
    """Forgets which handovers it received."""

    def has_received(self, source, handover_number):
        """Returns False for every handover."""
        return False

    def decide_accept(self, source, handover_number, floor, wire):
        """Accepts a handover whatever its generation."""
        known = self.sessions.get(wire.id)
        if known and known.is_owned:
            return None
        accepted = pb.Accepted(giver=source, no=handover_number, floor=floor, session=wire)
        return pb.Change(accepted=accepted)


class AcceptsHandoversTwice(Coordinator):
    """Accepts a handover twice if its session has left again in between."""

    state_machine_type = HandoverForgettingStateMachine


class SubmitsBeforeCommit(Coordinator):
    """Submits a mutating query before its record is committed."""

    def submit(self, now_ms, session_id, query_id, mutating, engine, remaining_ms, done):
        """Answers at once."""
        session = self.speculative.sessions[session_id]
        if mutating and query_id not in session.queries and session.state == SessionState.HELD:
            done(now_ms, submit_answer(session_id, engine, True))
            done = ignore
        super().submit(now_ms, session_id, query_id, mutating, engine, remaining_ms, done)


class ReclaimingSource(HandoverSource):
    """Takes back sessions whose handover is not acknowledged."""

    def send_handovers(self, now_ms):
        """Takes a session back once its handover has reached the longest retry interval."""
        super().send_handovers(now_ms)
        for session_id, retry in self.handover_retries.items():
            if retry.wait_ms >= self.settings.max_backoff_ms:
                for machine in (self.coordinator.committed, self.coordinator.speculative):
                    machine.sessions[session_id].state = SessionState.HELD


class ReclaimsUnacknowledged(Coordinator):
    """Takes back a session whose handover is not acknowledged in time."""

    handover_source_type = ReclaimingSource


class ResubmitsMutations(Coordinator):
    """Submits a mutating query again if its engine does not know it, though it may have run."""

    def resubmit_query(self, now_ms, tenant, session_id, query_id, engine, remaining_ms, done):
        """Allows every query to be submitted again."""
        answer = self.attach_query(now_ms, tenant, session_id, query_id)
        if answer.kind is AnswerKind.ATTACH:
            answer = submit_answer(session_id, engine, answer.mutating)
        done(now_ms, answer)


class QueryOmittingSource(HandoverSource):
    """Omits queries from handovers."""

    def handover_message(self, now_ms, session):
        """Returns the handover without queries."""
        handed = super().handover_message(now_ms, session)
        del handed.session.refs[:]
        return handed


class OmitsQueries(Coordinator):
    """Hands sessions over without their queries."""

    handover_source_type = QueryOmittingSource


class NonRetryingSource(HandoverSource):
    """Never retries a handover."""

    def send_handovers(self, now_ms):
        """Sends each handover once."""
        before = set(self.handover_retries)
        super().send_handovers(now_ms)
        self.handover_retries = {
            session_id: HandoverRetry(NEVER_MS, 0) for session_id in set(self.handover_retries) | before
        }


class SendsHandoversOnce(Coordinator):
    """Sends each handover only once."""

    handover_source_type = NonRetryingSource


class NonRecoveringSource(HandoverSource):
    """Does not recover handovers that earlier terms started."""

    def recover_interrupted_handovers(self, now_ms):
        """Recovers nothing."""


class NeverResumesFrozen(Coordinator):
    """Leaves a session frozen that an earlier term froze."""

    handover_source_type = NonRecoveringSource


class SubmitsWhileFrozen(Coordinator):
    """Submits a query while its session is offered, so that the handover lacks the query."""

    def submit(self, now_ms, session_id, query_id, mutating, engine, remaining_ms, done):
        """Submits whatever the state of the session."""
        if self.speculative.sessions[session_id].state == SessionState.HELD:
            super().submit(now_ms, session_id, query_id, mutating, engine, remaining_ms, done)
        else:
            done(now_ms, submit_answer(session_id, engine, mutating))


BROKEN_COORDINATORS = (
    LeadsWithoutLease,
    ServesBeforeCommit,
    AcknowledgesBeforeCommit,
    HandsOverBeforeCommit,
    AcceptsHandoversTwice,
    SubmitsBeforeCommit,
    ReclaimsUnacknowledged,
    ResubmitsMutations,
    OmitsQueries,
    SendsHandoversOnce,
    NeverResumesFrozen,
    SubmitsWhileFrozen,
)
