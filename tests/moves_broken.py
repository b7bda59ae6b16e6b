"""Rules broken on purpose: each must be found by the audit of `moves_world`."""

from lichenquay.moves import moves_pb2 as pb
from lichenquay.moves.book import GONE, HELD, Book
from lichenquay.moves.desk import Answer, Desk
from lichenquay.moves.mover import Mover


def nobody(now_ms, answer):
    pass


class NoFence(Desk):
    """Who once held the home goes on acting."""

    def in_office(self, now_ms):
        return super().in_office(now_ms) if self.made is None or self.out else True


class ActsBeforeRecord(Desk):
    """The taker acts once it decided to take it, before Accepted is on record."""

    def _of(self, tenant, id):
        s = self.ahead.sittings.get(id)
        return (
            (s, None) if s is not None and s.tenant == tenant and s.state == HELD else super()._of(tenant, id)
        )

    def _take(self, now_ms, id, ref, mutating, engine, left_ms, done):
        if mutating or id in self.made.sittings and self.made.sittings[id].state == HELD:
            if id in self.made.sittings:
                super()._take(now_ms, id, ref, mutating, engine, left_ms, done)
        elif self.ahead.sittings[id].state == HELD:
            done(now_ms, Answer("go", id, engine=engine, mutating=mutating))


class KeptBeforeRecord(Desk):
    """The taker says that it is on record before it is."""

    class make_mover(Mover):
        def handed(self, now_ms, message, m):
            super().handed(now_ms, message, m)
            self._say_kept(message.home, m.no, m.sitting.id, m.sitting.generation)


class CommitBeforeRecord(Desk):
    """The giver hands over what it decided to, before Gone is on record."""

    class make_mover(Mover):
        def room(self, now_ms, message, m):
            super().room(now_ms, message, m)
            s = self.desk.ahead.sittings.get(m.id)
            if s is not None and s.state == GONE and not s.told:
                wire = s.wire()
                wire.generation, wire.state, wire.to, wire.no = s.generation + 1, HELD, "", 0
                self.desk.send(
                    s.to, handed=pb.Handed(no=s.no, floor=self.desk.ahead.floor(s.to), sitting=wire)
                )


class TakesOlder(Desk):
    """A hand-over that was taken, and left again since, is taken anew."""

    class make_book(Book):
        def has_taken(self, giver, no):
            return False

        def decide_accept(self, giver, no, floor, wire):
            known = self.sittings.get(wire.id)
            if known and known.state != GONE:
                return None
            return pb.Change(accepted=pb.Accepted(giver=giver, no=no, floor=floor, sitting=wire))


class TookLater(Desk):
    """A mutating query goes at once, its record follows."""

    def _take(self, now_ms, id, ref, mutating, engine, left_ms, done):
        if mutating and ref not in self.ahead.sittings[id].refs and self.ahead.sittings[id].state == HELD:
            done(now_ms, Answer("go", id, engine=engine, mutating=True))
            super()._take(now_ms, id, ref, mutating, engine, left_ms, nobody)
        else:
            super()._take(now_ms, id, ref, mutating, engine, left_ms, done)


class ComesBack(Desk):
    """What is gone and not answered for a second is held again."""

    class make_mover(Mover):
        def _tell(self, now_ms):
            super()._tell(now_ms)
            for id, (_, wait) in self.telling.items():
                if wait >= self.settings.most_wait_ms:
                    for book in (self.desk.made, self.desk.ahead):
                        book.sittings[id].state = HELD


class RunsAgain(Desk):
    """A mutating query that its engine does not know is taken for one that did not run."""

    def again(self, now_ms, tenant, id, ref, engine, left_ms, done):
        answer = self.attach(now_ms, tenant, id, ref)
        if answer.word == "attach":
            answer = Answer("go", id, engine=engine, mutating=answer.mutating)
        done(now_ms, answer)


class ForgetsRefs(Desk):
    """A sitting is handed over without what it took."""

    class make_mover(Mover):
        def _handed(self, now_ms, s):
            handed = super()._handed(now_ms, s)
            del handed.sitting.refs[:]
            return handed


class TellsOnce(Desk):
    """A hand-over is sent once."""

    class make_mover(Mover):
        def _tell(self, now_ms):
            before = set(self.telling)
            super()._tell(now_ms)
            self.telling = {id: (1e18, 0) for id in set(self.telling) | before}


class ThawsNever(Desk):
    """What an earlier office froze stays so."""

    class make_mover(Mover):
        def _untried(self, now_ms):
            pass


class ActsWhileFrozen(Desk):
    """A query goes while its sitting is offered: what is handed over does not have it."""

    def _take(self, now_ms, id, ref, mutating, engine, left_ms, done):
        if self.ahead.sittings[id].state == HELD:
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
