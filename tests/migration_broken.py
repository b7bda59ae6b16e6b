"""Rules broken on purpose: each must be found by the audits of `migration_world` or `migration_explore`."""

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.handover_source import HandoverSource, Repetition
from lichenquay.migration.handover_target import HandoverKey, HandoverTarget
from lichenquay.migration.messages import Answer, AnswerKind
from lichenquay.migration.session import SessionState
from lichenquay.migration.state_machine import StateMachine

NEVER_MS = 1e18


def ignore(now_ms, answer):
    """An AnswerCallback."""


def submit_answer(session_id, engine, mutating):
    """As if the query were allowed to run."""
    return Answer(AnswerKind.SUBMIT, session_id, engine=engine, mutating=mutating)


class NoFence(Coordinator):
    """A process that once held the replica group goes on acting."""

    def refresh_leadership(self, now_ms):
        """For ever."""
        if self.committed is None or self.pending_write:
            return super().refresh_leadership(now_ms)
        return True


class ActsBeforeRecord(Coordinator):
    """The target acts once it has decided to accept a session, before that is on record."""

    def find_session(self, tenant, session_id):
        """By what was decided."""
        session = self.speculative.sessions.get(session_id)
        if session is not None and session.tenant == tenant and session.state == SessionState.HELD:
            return session
        return super().find_session(tenant, session_id)

    def submit(self, now_ms, session_id, query_id, mutating, engine, remaining_ms, done):
        """By what was decided."""
        committed = self.committed.sessions.get(session_id)
        if mutating or (committed is not None and committed.state == SessionState.HELD):
            if committed is not None:
                super().submit(now_ms, session_id, query_id, mutating, engine, remaining_ms, done)
        elif self.speculative.sessions[session_id].state == SessionState.HELD:
            done(now_ms, submit_answer(session_id, engine, mutating))


class KeptTarget(HandoverTarget):
    """Acknowledges at once."""

    def on_handed(self, now_ms, message, handed):
        """Before the record."""
        super().on_handed(now_ms, message, handed)
        session = handed.session
        self.send_kept(HandoverKey(message.replica_group, handed.no, session.id, session.generation))


class KeptBeforeRecord(Coordinator):
    """The target says that a session is on record before it is."""

    handover_target_type = KeptTarget


class HastySource(HandoverSource):
    """Hands over at once."""

    def on_room(self, now_ms, message, room):
        """Before the record."""
        super().on_room(now_ms, message, room)
        speculative = self.coordinator.speculative
        session = speculative.sessions.get(room.id)
        if session is None or session.is_owned or session.acknowledged:
            return
        wire = session.wire()
        wire.generation = session.generation + 1
        wire.state = SessionState.HELD
        wire.to = ""
        wire.no = 0
        floor = speculative.acknowledged_floor(session.target)
        handed = pb.Handed(no=session.handover_number, floor=floor, session=wire)
        self.coordinator.send(session.target, handed=handed)


class CommitBeforeRecord(Coordinator):
    """The source hands over what it decided to, before the point of no return is on record."""

    handover_source_type = HastySource


class ForgetfulStateMachine(StateMachine):
    """Does not know which handovers it received."""

    def has_received(self, source, handover_number):
        """None."""
        return False

    def decide_accept(self, source, handover_number, floor, wire):
        """Whatever the generation."""
        known = self.sessions.get(wire.id)
        if known and known.is_owned:
            return None
        accepted = pb.Accepted(giver=source, no=handover_number, floor=floor, session=wire)
        return pb.Change(accepted=accepted)


class TakesOlder(Coordinator):
    """A handover that was accepted, and whose session left again since, is accepted anew."""

    state_machine_type = ForgetfulStateMachine


class TookLater(Coordinator):
    """A mutating query is submitted at once, its record follows."""

    def submit(self, now_ms, session_id, query_id, mutating, engine, remaining_ms, done):
        """Without waiting."""
        session = self.speculative.sessions[session_id]
        if mutating and query_id not in session.queries and session.state == SessionState.HELD:
            done(now_ms, submit_answer(session_id, engine, True))
            done = ignore
        super().submit(now_ms, session_id, query_id, mutating, engine, remaining_ms, done)


class ReclaimingSource(HandoverSource):
    """Takes sessions back."""

    def send_handovers(self, now_ms):
        """Those that were not acknowledged for a second."""
        super().send_handovers(now_ms)
        for session_id, repetition in self.repetitions.items():
            if repetition.wait_ms >= self.settings.max_backoff_ms:
                for machine in (self.coordinator.committed, self.coordinator.speculative):
                    machine.sessions[session_id].state = SessionState.HELD


class ComesBack(Coordinator):
    """A session that was handed over and not acknowledged for a second is held again."""

    handover_source_type = ReclaimingSource


class RunsAgain(Coordinator):
    """A mutating query that its engine does not know is taken for one that did not run."""

    def resubmit_query(self, now_ms, tenant, session_id, query_id, engine, remaining_ms, done):
        """Whatever the query."""
        answer = self.attach_query(now_ms, tenant, session_id, query_id)
        if answer.kind is AnswerKind.ATTACH:
            answer = submit_answer(session_id, engine, answer.mutating)
        done(now_ms, answer)


class ForgetfulSource(HandoverSource):
    """Forgets queries."""

    def handover_of(self, now_ms, session):
        """Without queries."""
        handed = super().handover_of(now_ms, session)
        del handed.session.refs[:]
        return handed


class ForgetsRefs(Coordinator):
    """A session is handed over without its queries."""

    handover_source_type = ForgetfulSource


class SilentSource(HandoverSource):
    """Never repeats a message."""

    def send_handovers(self, now_ms):
        """Once."""
        before = set(self.repetitions)
        super().send_handovers(now_ms)
        self.repetitions = {
            session_id: Repetition(NEVER_MS, 0) for session_id in set(self.repetitions) | before
        }


class TellsOnce(Coordinator):
    """A handover is sent once."""

    handover_source_type = SilentSource


class CarelessSource(HandoverSource):
    """Looks at nothing of earlier terms."""

    def adopt_unattended(self, now_ms):
        """Does nothing."""


class ThawsNever(Coordinator):
    """A session that an earlier term froze stays frozen."""

    handover_source_type = CarelessSource


class ActsWhileFrozen(Coordinator):
    """A query is submitted while its session is offered: the handover does not have it."""

    def submit(self, now_ms, session_id, query_id, mutating, engine, remaining_ms, done):
        """Whatever the state."""
        if self.speculative.sessions[session_id].state == SessionState.HELD:
            super().submit(now_ms, session_id, query_id, mutating, engine, remaining_ms, done)
        else:
            done(now_ms, submit_answer(session_id, engine, mutating))


BROKEN = (
    NoFence,
    ActsBeforeRecord,
    KeptBeforeRecord,
    CommitBeforeRecord,
    TakesOlder,
    TookLater,
    ComesBack,
    RunsAgain,
    ForgetsRefs,
    TellsOnce,
    ThawsNever,
    ActsWhileFrozen,
)
