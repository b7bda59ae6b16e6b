"""The desk of one home, at the process that holds the home's group: what its sittings may do now. No I/O.

    open, take, pin, ended, attach      what the front asks; answers come by `done(now_ms, Answer)` or are returned
    heard(now_ms, sender, message)      from other homes
    tick(now_ms), due_ms                as everywhere
    outbox                              [(home, message)]: for whoever holds that home's group, as far as is known

Two books: `ahead` has what was decided, `made` what the group has made. Whoever acts for a sitting looks at both: it
must be held in `made`, so that no act comes before its record, and in `ahead`, so that nothing begins after a
freeze was decided. Where the end of a write is in doubt the desk is shut until the group's next generation."""

from functools import partial
from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.moves import moves_pb2 as pb
from lichenquay.moves.book import GONE, HELD, MOST_SITTINGS, WORDS, Book, BookError, fits
from lichenquay.moves.mover import Mover
from lichenquay.moves.settings import Settings
from lichenquay.owner.kept import digest

MOST_CHANGES = 16  # of one record; the rest waits for the next


class Answer(NamedTuple):
    """go: submit it. attach: it was taken before; ask `engine` for news of it. ended: with `outcome`. wait: not now,
    ask again (frozen, or not yet on record). moved: ask at `home`. unknown: no such sitting or ref here; `home` may
    know. refused: not this tenant's. full: no room in the sitting or the home. lost: this process has no office (any
    more); a query so answered was not submitted by it."""

    word: str
    id: str = ""
    home: str = ""
    engine: str = ""
    mutating: bool = False
    outcome: str = ""


LOST = Answer("lost")


def marked(message):
    """Risk: a field that changed on its way is taken for what its sender said."""
    message.mark = 0
    message.mark = digest(message.SerializeToString(deterministic=True))
    return message


class Desk:
    make_book, make_mover = Book, Mover

    def __init__(self, home, group, settings=Settings()):
        self.home, self.group, self.settings = home, group, settings
        self.outbox = []
        self.doubted = None  # generation in which a write's end is in doubt
        self.out = None  # (number of the write, generation, record, callbacks) whose end is not known
        self.writes = self.stray = self.senseless = self.doubts = self.dropped = 0
        self.trouble = None
        self.mover = self.make_mover(self)
        self._shut(0.0)

    # The office.

    def _shut(self, now_ms):
        waiting = getattr(self, "pending", [])
        self.made = self.ahead = self.generation = None
        self.pending, self.told_ms = [], {}
        self.mover.forget()
        for _, done in waiting:
            done and done(now_ms, False)

    def in_office(self, now_ms):
        if not self.group.holds(now_ms) or self.group.generation == self.doubted:
            if self.made:
                self._shut(now_ms)
            return False
        if self.made is None or self.generation != self.group.generation:
            self._shut(now_ms)
            if self.out:  # Risk: a record of an office that was left is made after the state was read
                return False
            self.generation = self.group.generation
            try:
                state, records = self.group.snapshot()
                self.made, self.ahead = (self.make_book.load(self.home, state, records) for _ in range(2))
            except (BookError, DecodeError) as e:
                # Risk: a book of a newer version, or a spoilt one, is begun anew, and its sittings are two.
                self.trouble, self.doubted = f"the book of {self.home} cannot be read: {e}", self.generation
                self._shut(now_ms)
                return False
            self.office_ms = now_ms
        return True

    @property
    def due_ms(self):
        return self.mover.due_ms

    def tick(self, now_ms):
        if self.in_office(now_ms):
            self.mover.tick(now_ms)
            self.flush(now_ms)
            if len(self.told_ms) > 2 * MOST_SITTINGS:
                open_ = {(s.id, r.ref) for s in self.ahead.live for r in s.open}
                self.told_ms = {k: at for k, at in self.told_ms.items() if k in open_}
        else:
            self.mover.due_ms = now_ms + self.settings.period_ms * 10

    # Records.

    def do(self, change, done=None):
        """Decides a change; done(now_ms, ok) when it is on record, or surely or perhaps never is."""
        if change is None:
            return False
        self.ahead.change(change)
        self.pending.append((change, done))
        return True

    def flush(self, now_ms):
        if self.out or not self.pending or self.made is None:
            return
        batch, self.pending = self.pending[:MOST_CHANGES], self.pending[MOST_CHANGES:]
        record = pb.Record(no=self.made.no + 1, changes=[change for change, _ in batch])
        self.writes += 1
        self.out = (
            self.writes,
            self.generation,
            record.SerializeToString(),
            [done for _, done in batch if done],
        )
        self.group.write(now_ms, self.out[2], partial(self._written, self.writes))

    def _written(self, number, now_ms, ok):
        if not self.out or self.out[0] != number:
            return
        _, generation, raw, waiting = self.out
        self.out = None
        if not ok:
            # Risk: what was decided may be made or not; whoever acts next must find out from the group.
            self.doubts += 1
            self.doubted = generation if ok is None else self.doubted
            self._shut(now_ms)
        elif self.made is not None and self.generation == generation:
            record = pb.Record.FromString(raw)
            self.made.apply(record)
            self.ahead.no = record.no
        for done in waiting:
            done(now_ms, bool(ok))
        if self.in_office(now_ms):
            self.mover.look(now_ms)
            self.flush(now_ms)

    # What the front asks.

    def _of(self, tenant, id):
        """(its sitting in `made`, None), or (None, the answer)."""
        s = self.made.sittings.get(id)
        if s is None:
            there = self.ahead.sittings.get(id)
            if there is not None and there.tenant == tenant:
                return None, Answer("wait", id)
            return None, Answer("unknown", id, home=self.made.where(id)[1])
        if s.tenant != tenant:
            return None, Answer("refused", id)
        if s.state == GONE:
            return None, Answer("moved", id, home=s.to)
        if id not in self.ahead.sittings:  # dropped, but not yet on record
            return None, Answer("unknown", id, home=self.home)
        return s, None

    def open(self, now_ms, tenant, name, done):
        """A sitting of that name, with the id that the client is to name from now on. One that was opened here for the
        tenant by the same name, and is held, is answered again (the client may not have got its id)."""
        if not self.in_office(now_ms):
            return done(now_ms, LOST)
        if not fits(tenant, name):
            return done(now_ms, Answer("refused"))
        known = [
            s
            for s in self.made.sittings.values()
            if s.tenant == tenant and s.acted_for and s.id.rpartition("@")[0] == name
        ]
        if known:
            return done(now_ms, Answer("go", known[-1].id))
        change = self.ahead.decide_open(tenant, name)
        if change is None and self.drop():
            change = self.ahead.decide_open(tenant, name)
        if change is None:
            return done(now_ms, Answer("full"))
        self.do(change, partial(self._opened, change.opened.id, done))
        self.flush(now_ms)

    def _opened(self, id, done, now_ms, ok):
        done(now_ms, Answer("go", id) if ok else LOST)

    def drop(self):
        """Room by dropping the longest idle; its client is told 'unknown'."""
        dropped = self.do(self.ahead.decide_drop())
        self.dropped += dropped
        return dropped

    def take(self, now_ms, tenant, id, ref, mutating, engine, left_ms, done):
        """A query of a sitting that is to be submitted. A mutating one goes once it is on record, a read-only one at
        once. A ref that is known is not taken again, but a read-only one whose engine does not know it: see `again`."""
        if not self.in_office(now_ms):
            return done(now_ms, LOST)
        s, answer = self._of(tenant, id)
        if s is None:
            return done(now_ms, answer)
        if ref in self.ahead.sittings[id].refs:
            return done(now_ms, self.attach(now_ms, tenant, id, ref))
        self._take(now_ms, id, ref, mutating, engine, left_ms, done)

    def _take(self, now_ms, id, ref, mutating, engine, left_ms, done):
        if self.made.sittings[id].state != HELD or self.ahead.sittings[id].state != HELD:
            return done(now_ms, Answer("wait", id))
        change = self.ahead.decide_took(
            id, ref, mutating, engine, self.generation, int(max(0, min(left_ms, 1 << 31)))
        )
        if change is None:
            return done(now_ms, Answer("full", id))
        self.told_ms[id, ref] = now_ms
        go = Answer("go", id, engine=engine, mutating=mutating)
        if mutating:
            self.do(change, partial(self._took, go, done))
        else:
            self.do(change)
            done(now_ms, go)
        self.flush(now_ms)

    def _took(self, go, done, now_ms, ok):
        # Risk: on record, but its office was left meanwhile: whoever has it now may be answering 'failed' already.
        done(now_ms, go if ok and self.in_office(now_ms) else LOST)

    def again(self, now_ms, tenant, id, ref, engine, left_ms, done):
        """The engine of a ref that was attached to does not know it. Read-only: taken again. Mutating: it may have run,
        or may yet (an earlier owner that was paused): it ends here as 'failed', on record, and never runs by this. One
        that this office took itself stays as it is: whoever submitted it notes its end."""
        answer = self.attach(now_ms, tenant, id, ref)
        if answer.word != "attach":
            return done(now_ms, answer)
        if not answer.mutating:
            return self._take(now_ms, id, ref, False, engine, left_ms, done)
        if self.ahead.sittings[id].refs[ref].office == self.generation:
            return done(now_ms, answer)
        failed = Answer("ended", id, outcome="failed", mutating=True)
        if not self.do(self.ahead.decide_ended(id, ref, "failed"), partial(self._took, failed, done)):
            return done(now_ms, Answer("wait", id))  # gone by what was decided
        self.flush(now_ms)

    def attach(self, now_ms, tenant, id, ref):
        """A client asks again with an earlier ref. A ref belongs to the sitting and tenant that asked it."""
        if not self.in_office(now_ms):
            return LOST
        s, answer = self._of(tenant, id)
        if s is None:
            return answer
        known = self.ahead.sittings[id].refs.get(ref)
        if known is None:
            others = (o for o in self.made.sittings.values() if ref in o.refs)
            return Answer("refused" if next(others, None) else "unknown", id)
        if known.outcome:
            return Answer("ended", id, outcome=known.outcome, mutating=known.mutating)
        if known.mutating and ref not in s.refs:
            return Answer("wait", id)
        return Answer("attach", id, engine=known.engine, mutating=known.mutating)

    def ended(self, now_ms, tenant, id, ref, outcome):
        """News that a query ended. False: not for this home to note (any more); nothing is lost by that."""
        return self._note(now_ms, tenant, id, lambda: self.ahead.decide_ended(id, ref, outcome))

    def pin(self, now_ms, tenant, id, engine, order):
        """The engine that its tables are at, and the number of its last load that is done."""
        return self._note(now_ms, tenant, id, lambda: self.ahead.decide_pin(id, engine, order))

    def _note(self, now_ms, tenant, id, decide):
        noted = self.in_office(now_ms) and self._of(tenant, id)[0] is not None and self.do(decide())
        self.flush(now_ms)
        return noted

    def left_ms(self, now_ms, id, ref):
        """Of a query's time, by this process's clock; from taking office where it was taken before that."""
        return int(max(0, ref.left_ms - (now_ms - self.told_ms.get((id, ref.ref), self.office_ms))))

    # What homes tell each other.

    def heard(self, now_ms, sender, message):
        kind = message.WhichOneof("body")
        mark = message.mark
        if (
            kind is None
            or message.to != self.home
            or message.home == self.home
            or marked(message).mark != mark
        ):
            self.senseless += 1
            return
        if not self.in_office(now_ms):
            self.stray += 1
            return
        getattr(self.mover, kind)(now_ms, message, getattr(message, kind))
        self.flush(now_ms)

    def send(self, to, office=None, **body):
        office = self.generation if office is None else office
        self.outbox.append((to, marked(pb.Message(home=self.home, to=to, office=office, **body))))

    # What is seen.

    def seen(self):
        """(id, home to ask, generation, state) of each sitting known here."""
        known = self.made.live if self.made else ()
        return [(s.id, self.made.where(s.id)[1], s.generation, WORDS[s.state]) for s in known]
