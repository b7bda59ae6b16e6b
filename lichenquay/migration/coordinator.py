"""The coordinator of one replica group, at the process that holds it: what its sessions may do now. No I/O.

    open, take, pin, ended, attach      what the front asks; answers come by `done(now_ms, Answer)` or are
                                        returned
    heard(now_ms, sender, message)      from other replica groups
    tick(now_ms), due_ms                as everywhere
    outbox                              [(replica group, message)]: for whoever holds that replica group, as
                                        far as is known

Two state machines: `ahead` has what was decided, `made` what the group has made. Whoever acts for a session
looks at both: it must be held in `made`, so that no act comes before its record, and in `ahead`, so that
nothing begins after a freeze was decided. Where the end of a write is in doubt the coordinator is shut until
the group's next generation."""

from functools import partial
from typing import NamedTuple

from google.protobuf.message import DecodeError

from lichenquay.lease.digest import digest
from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.handover import Mover
from lichenquay.migration.session import GONE, HELD, WORDS, fits
from lichenquay.migration.settings import Settings
from lichenquay.migration.state_machine import MOST_SESSIONS, StateMachine, StateMachineError

MOST_CHANGES = 16  # of one record; the rest waits for the next


class Answer(NamedTuple):
    """go: submit it. attach: it was taken before; ask `engine` for news of it. ended: with `outcome`. wait:
    not now, ask again (frozen, or not yet on record). moved: ask at `replica_group`. unknown: no such session
    or ref here; `replica_group` may know. refused: not this tenant's. full: no room in the session or the
    replica group. lost: this process does not lead (any more); a query so answered was not submitted by
    it."""

    word: str
    id: str = ""
    replica_group: str = ""
    engine: str = ""
    mutating: bool = False
    outcome: str = ""


LOST = Answer("lost")
DEFAULTS = Settings()


def marked(message):
    """Risk: a field that changed on its way is taken for what its sender said."""
    message.mark = 0
    message.mark = digest(message.SerializeToString(deterministic=True))
    return message


class Coordinator:
    """See the module."""

    make_machine, make_mover = StateMachine, Mover

    def __init__(self, replica_group, group, settings=DEFAULTS):
        """`replica_group`: its name; `group`: the Seat at it, as `kept.Seat`."""
        self.replica_group, self.group, self.settings = replica_group, group, settings
        self.outbox = []
        self.doubted = None  # generation in which a write's end is in doubt
        self.out = None  # (number of the write, generation, record, callbacks) whose end is not known
        self.writes = self.stray = self.senseless = self.doubts = self.dropped = 0
        self.trouble = None
        self.mover = self.make_mover(self)
        self._shut(0.0)

    # The term.

    def _shut(self, now_ms):
        waiting = getattr(self, "pending", [])
        self.made = self.ahead = self.generation = None
        self.pending, self.told_ms = [], {}
        self.mover.forget()
        for _, done in waiting:
            done and done(now_ms, False)

    def is_leader(self, now_ms):
        """Whether this process may act now; a new term begins with what the group has made."""
        if not self.group.holds(now_ms) or self.group.generation == self.doubted:
            if self.made:
                self._shut(now_ms)
            return False
        if self.made is None or self.generation != self.group.generation:
            self._shut(now_ms)
            if self.out:  # Risk: a record of a term that has ended is made after the state was read
                return False
            self.generation = self.group.generation
            try:
                state, records = self.group.snapshot()
                self.made, self.ahead = (
                    self.make_machine.load(self.replica_group, state, records) for _ in range(2)
                )
            except (StateMachineError, DecodeError) as e:
                # Risk: a log of a newer version, or a spoilt one, is begun anew, and its sessions are two.
                self.trouble, self.doubted = (
                    f"the replicated log of {self.replica_group} cannot be read: {e}",
                    self.generation,
                )
                self._shut(now_ms)
                return False
            self.term_ms = now_ms
        return True

    @property
    def due_ms(self):
        """When `tick` is to be called next."""
        return self.mover.due_ms

    def tick(self, now_ms):
        """What time brings: hand-overs, and what is told again."""
        if self.is_leader(now_ms):
            self.mover.tick(now_ms)
            self.flush(now_ms)
            if len(self.told_ms) > 2 * MOST_SESSIONS:
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
        """Writes what was decided, one record at a time."""
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
        if self.is_leader(now_ms):
            self.mover.look(now_ms)
            self.flush(now_ms)

    # What the front asks.

    def _of(self, tenant, id):
        """(its session in `made`, None), or (None, the answer)."""
        s = self.made.sessions.get(id)
        if s is None:
            there = self.ahead.sessions.get(id)
            if there is not None and there.tenant == tenant:
                return None, Answer("wait", id)
            return None, Answer("unknown", id, replica_group=self.made.where(id)[1])
        if s.tenant != tenant:
            return None, Answer("refused", id)
        if s.state == GONE:
            return None, Answer("moved", id, replica_group=s.to)
        if id not in self.ahead.sessions:  # dropped, but not yet on record
            return None, Answer("unknown", id, replica_group=self.replica_group)
        return s, None

    def open(self, now_ms, tenant, name, done):
        """A session of that name, with the id that the client is to name from now on. One that was opened
        here for the tenant by the same name, and is held, is answered again (the client may not have got its
        id)."""
        if not self.is_leader(now_ms):
            return done(now_ms, LOST)
        if not fits(tenant, name):
            return done(now_ms, Answer("refused"))
        known = [
            s
            for s in self.made.sessions.values()
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
        """A query of a session that is to be submitted. A mutating one goes once it is on record, a read-only
        one at once. A ref that is known is not taken again, but a read-only one whose engine does not know
        it: see `again`."""
        if not self.is_leader(now_ms):
            return done(now_ms, LOST)
        s, answer = self._of(tenant, id)
        if s is None:
            return done(now_ms, answer)
        if ref in self.ahead.sessions[id].refs:
            return done(now_ms, self.attach(now_ms, tenant, id, ref))
        self._take(now_ms, id, ref, mutating, engine, left_ms, done)

    def _take(self, now_ms, id, ref, mutating, engine, left_ms, done):
        if self.made.sessions[id].state != HELD or self.ahead.sessions[id].state != HELD:
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
        # Risk: on record, but its term ended meanwhile: whoever has it now may be answering 'failed' already.
        done(now_ms, go if ok and self.is_leader(now_ms) else LOST)

    def again(self, now_ms, tenant, id, ref, engine, left_ms, done):
        """The engine of a ref that was attached to does not know it. Read-only: taken again. Mutating: it may
        have run, or may yet (an earlier owner that was paused): it ends here as 'failed', on record, and
        never runs by this. One that this term took itself stays as it is: whoever submitted it notes its
        end."""
        answer = self.attach(now_ms, tenant, id, ref)
        if answer.word != "attach":
            return done(now_ms, answer)
        if not answer.mutating:
            return self._take(now_ms, id, ref, False, engine, left_ms, done)
        if self.ahead.sessions[id].refs[ref].term == self.generation:
            return done(now_ms, answer)
        failed = Answer("ended", id, outcome="failed", mutating=True)
        if not self.do(self.ahead.decide_ended(id, ref, "failed"), partial(self._took, failed, done)):
            return done(now_ms, Answer("wait", id))  # gone by what was decided
        self.flush(now_ms)

    def attach(self, now_ms, tenant, id, ref):
        """A client asks again with an earlier ref. A ref belongs to the session and tenant that asked it."""
        if not self.is_leader(now_ms):
            return LOST
        s, answer = self._of(tenant, id)
        if s is None:
            return answer
        known = self.ahead.sessions[id].refs.get(ref)
        if known is None:
            others = (o for o in self.made.sessions.values() if ref in o.refs)
            return Answer("refused" if next(others, None) else "unknown", id)
        if known.outcome:
            return Answer("ended", id, outcome=known.outcome, mutating=known.mutating)
        if known.mutating and ref not in s.refs:
            return Answer("wait", id)
        return Answer("attach", id, engine=known.engine, mutating=known.mutating)

    def ended(self, now_ms, tenant, id, ref, outcome):
        """News that a query ended. False: not for this replica group to note (any more); nothing is lost by
        that."""
        return self._note(now_ms, tenant, id, lambda: self.ahead.decide_ended(id, ref, outcome))

    def pin(self, now_ms, tenant, id, engine, order):
        """The engine that its tables are at, and the number of its last load that is done."""
        return self._note(now_ms, tenant, id, lambda: self.ahead.decide_pin(id, engine, order))

    def _note(self, now_ms, tenant, id, decide):
        noted = self.is_leader(now_ms) and self._of(tenant, id)[0] is not None and self.do(decide())
        self.flush(now_ms)
        return noted

    def left_ms(self, now_ms, id, ref):
        """Of a query's time, by this process's clock; from the begin of its term where it was taken before
        that."""
        return int(max(0, ref.left_ms - (now_ms - self.told_ms.get((id, ref.ref), self.term_ms))))

    # What replica groups tell each other.

    def heard(self, now_ms, sender, message):
        """A message, checked; what is not whole, or not for here, counts for nothing."""
        kind = message.WhichOneof("body")
        mark = message.mark
        if (
            kind is None
            or message.to != self.replica_group
            or message.replica_group == self.replica_group
            or marked(message).mark != mark
        ):
            self.senseless += 1
            return
        if not self.is_leader(now_ms):
            self.stray += 1
            return
        getattr(self.mover, kind)(now_ms, message, getattr(message, kind))
        self.flush(now_ms)

    def send(self, to, term=None, **body):
        """A message to another replica group; an answer brings back the term of its question."""
        term = self.generation if term is None else term
        self.outbox.append(
            (to, marked(pb.Message(replica_group=self.replica_group, to=to, term=term, **body)))
        )

    # What is seen.

    def seen(self):
        """(id, replica group to ask, generation, state) of each session known here."""
        known = self.made.live if self.made else ()
        return [(s.id, self.made.where(s.id)[1], s.generation, WORDS[s.state]) for s in known]
