"""Rules broken on purpose: each must be found by the audit of `migration_world`."""

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Answer, Coordinator
from lichenquay.migration.handover import Mover
from lichenquay.migration.session import GONE, HELD
from lichenquay.migration.state_machine import StateMachine


def nobody(now_ms, answer):
    pass


class NoFence(Coordinator):
    """Who once held the replica group goes on acting."""

    def is_leader(self, now_ms):
        return super().is_leader(now_ms) if self.made is None or self.out else True


class ActsBeforeRecord(Coordinator):
    """The taker acts once it decided to take it, before Accepted is on record."""

    def _of(self, tenant, id):
        s = self.ahead.sessions.get(id)
        return (
            (s, None) if s is not None and s.tenant == tenant and s.state == HELD else super()._of(tenant, id)
        )

    def _take(self, now_ms, id, ref, mutating, engine, left_ms, done):
        if mutating or id in self.made.sessions and self.made.sessions[id].state == HELD:
            if id in self.made.sessions:
                super()._take(now_ms, id, ref, mutating, engine, left_ms, done)
        elif self.ahead.sessions[id].state == HELD:
            done(now_ms, Answer("go", id, engine=engine, mutating=mutating))


class KeptBeforeRecord(Coordinator):
    """The taker says that it is on record before it is."""

    class make_mover(Mover):
        def handed(self, now_ms, message, m):
            super().handed(now_ms, message, m)
            self._say_kept(message.replica_group, m.no, m.session.id, m.session.generation)


class CommitBeforeRecord(Coordinator):
    """The giver hands over what it decided to, before Gone is on record."""

    class make_mover(Mover):
        def room(self, now_ms, message, m):
            super().room(now_ms, message, m)
            s = self.coordinator.ahead.sessions.get(m.id)
            if s is not None and s.state == GONE and not s.told:
                wire = s.wire()
                wire.generation, wire.state, wire.to, wire.no = s.generation + 1, HELD, "", 0
                self.coordinator.send(
                    s.to, handed=pb.Handed(no=s.no, floor=self.coordinator.ahead.floor(s.to), session=wire)
                )


class TakesOlder(Coordinator):
    """A hand-over that was taken, and left again since, is taken anew."""

    class make_machine(StateMachine):
        def has_taken(self, giver, no):
            return False

        def decide_accept(self, giver, no, floor, wire):
            known = self.sessions.get(wire.id)
            if known and known.state != GONE:
                return None
            return pb.Change(accepted=pb.Accepted(giver=giver, no=no, floor=floor, session=wire))


class TookLater(Coordinator):
    """A mutating query goes at once, its record follows."""

    def _take(self, now_ms, id, ref, mutating, engine, left_ms, done):
        if mutating and ref not in self.ahead.sessions[id].refs and self.ahead.sessions[id].state == HELD:
            done(now_ms, Answer("go", id, engine=engine, mutating=True))
            super()._take(now_ms, id, ref, mutating, engine, left_ms, nobody)
        else:
            super()._take(now_ms, id, ref, mutating, engine, left_ms, done)


class ComesBack(Coordinator):
    """What is gone and not answered for a second is held again."""

    class make_mover(Mover):
        def _tell(self, now_ms):
            super()._tell(now_ms)
            for id, (_, wait) in self.telling.items():
                if wait >= self.settings.most_wait_ms:
                    for machine in (self.coordinator.made, self.coordinator.ahead):
                        machine.sessions[id].state = HELD


class RunsAgain(Coordinator):
    """A mutating query that its engine does not know is taken for one that did not run."""

    def again(self, now_ms, tenant, id, ref, engine, left_ms, done):
        answer = self.attach(now_ms, tenant, id, ref)
        if answer.word == "attach":
            answer = Answer("go", id, engine=engine, mutating=answer.mutating)
        done(now_ms, answer)


class ForgetsRefs(Coordinator):
    """A session is handed over without what it took."""

    class make_mover(Mover):
        def _handed(self, now_ms, s):
            handed = super()._handed(now_ms, s)
            del handed.session.refs[:]
            return handed


class TellsOnce(Coordinator):
    """A hand-over is sent once."""

    class make_mover(Mover):
        def _tell(self, now_ms):
            before = set(self.telling)
            super()._tell(now_ms)
            self.telling = {id: (1e18, 0) for id in set(self.telling) | before}


class ThawsNever(Coordinator):
    """What an earlier term froze stays so."""

    class make_mover(Mover):
        def _untried(self, now_ms):
            pass


class ActsWhileFrozen(Coordinator):
    """A query goes while its session is offered: what is handed over does not have it."""

    def _take(self, now_ms, id, ref, mutating, engine, left_ms, done):
        if self.ahead.sessions[id].state == HELD:
            super()._take(now_ms, id, ref, mutating, engine, left_ms, done)
        else:
            done(now_ms, Answer("go", id, engine=engine, mutating=mutating))


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
