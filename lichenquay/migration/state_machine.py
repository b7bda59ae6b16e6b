"""The state machine of one replica group: its sessions, without time or chance of its own.

A replica group is a group of `lease` under the name of a front; whoever holds it acts for it. `decide_`
methods look and return a Change or None; a `Record` of changes is made durable by the group, and then `apply`
brings it in, once. A session is

    held -> frozen -> offered(to) -> gone(to)       given back: frozen or offered -> held

`gone` is the point of no return: from that record on this replica group never acts for that generation of it.
Hand-overs from one replica group to another are numbered, and the taker's log has which of these numbers it
took: a hand-over that comes twice, or late by any time, is not taken again, though all else about the session
be forgotten. Docs: docs/design/migration.md."""

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.session import (
    FROZEN,
    GONE,
    HELD,
    MOST_NAME,
    OFFERED,
    OUTCOME,
    WORDS,
    Ref,
    Session,
    fits,
)

VERSION = 1

# The same in all processes of a fleet: a fold decides by them.
MOST_SESSIONS = 256  # of a replica group, without those that are gone and told
MOST_BYTES = 40_000  # of these
MOST_STONES = 64  # gone and told: kept only to send clients on, the oldest go
SESSION_BYTES = 800  # at most, whatever ends and is pinned later: one fits in a datagram
MOST_UNTOLD = 64  # hand-overs to one replica group that it has not answered
BORN_BYTES = 96  # most that a replica group adds to a name


class StateMachineError(Exception):
    """A record that the state machine's laws forbid, or a state that breaks them; it never comes from a lost
    message."""


def law(holds, what):
    """Raises StateMachineError with `what` where it does not hold."""
    if not holds:
        raise StateMachineError(what)


class StateMachine:
    """What the records made of a replica group come to."""

    def __init__(self, replica_group):
        """A new one, without sessions; `replica_group`: its name."""
        self.replica_group, self.no, self.births = replica_group, 0, 0
        self.sessions = {}  # id: Session, longest unused first
        self.given = {}  # replica group: number of the last hand-over to it
        self.taken = {}  # replica group: (floor, numbers above it) of what is on record here

    # What is there.

    @property
    def live(self):
        """Its sessions but for those that are gone and told."""
        return [s for s in self.sessions.values() if not (s.state == GONE and s.told)]

    @property
    def free(self):
        """Bytes; 0 where no further session fits by number."""
        return self.bytes_left if len(self.live) < MOST_SESSIONS else 0

    @property
    def bytes_left(self):
        """Bytes for further sessions and queries."""
        return max(0, MOST_BYTES - sum(s.most for s in self.live))

    def untold(self, to):
        """Sessions that are gone to that replica group, which has not said that it has them."""
        return [s for s in self.sessions.values() if s.state == GONE and not s.told and s.to == to]

    def floor(self, to):
        """All hand-overs to that replica group under this number are known to be on record there."""
        return min((s.no for s in self.untold(to)), default=self.given.get(to, 0) + 1)

    def has_taken(self, giver, no):
        """Whether that hand-over from `giver` is on record here."""
        floor, above = self.taken.get(giver, (1, ()))
        return no < floor or no in above

    def where(self, id):
        """(state, replica group to ask) of what a client may name; (None, the replica group that opened it)
        where it is not known."""
        s = self.sessions.get(id)
        if s is None:
            return None, id.rpartition("@")[2].rpartition(".")[0]
        return s.state, s.to if s.state == GONE else self.replica_group

    # What may be decided.

    def decide_open(self, tenant, name):
        """A new session; None where its names do not fit, or there is no room."""
        if not fits(tenant, name) or self.free < 2 * SESSION_BYTES:
            return None
        birth = self.births + 1
        return pb.Change(
            opened=pb.Opened(tenant=tenant, id=f"{name}@{self.replica_group}.{birth}", birth=birth)
        )

    def held(self, id):
        """The session, where it is held; else None."""
        s = self.sessions.get(id)
        return s if s is not None and s.state == HELD else None

    def decide_pin(self, id, engine, order):
        """The order only rises. Also while it is frozen, as a load may be done then; not once it is gone."""
        s = self.sessions.get(id)
        if (
            s is None
            or not s.acted_for
            or not fits(engine)
            or order < s.order
            or (s.pin, s.order) == (engine, order)
        ):
            return None
        return pb.Change(pinned=pb.Pinned(id=id, engine=engine, order=order))

    def decide_took(self, id, ref, mutating, engine, term, left_ms):
        """Before a mutating query may be submitted. A read-only one may be taken again."""
        s = self.held(id)
        if s is None or not fits(ref, engine):
            return None
        known = s.refs.get(ref)
        if known and (known.mutating or mutating or known.outcome):
            return None
        new = pb.Ref(ref=ref, mutating=mutating, engine=engine, term=term, left_ms=left_ms)
        # Room is made by forgetting ended ones, never by forgetting one that may run.
        fixed = s.most - sum(r.wire().ByteSize() for r in s.refs.values() if r.outcome)
        more = new.ByteSize() + OUTCOME + 6
        if fixed + more > SESSION_BYTES or more > self.bytes_left:
            return None
        return pb.Change(took=pb.Took(id=id, ref=new))

    def decide_ended(self, id, ref, outcome):
        """The end of a query; None where it is not out, or not for this replica group to note."""
        s = self.sessions.get(id)
        if s is None or not s.acted_for or ref not in s.refs or s.refs[ref].outcome:
            return None
        outcome = outcome if 0 < len(outcome.encode()) <= OUTCOME else "ended"
        return pb.Change(ended=pb.Ended(id=id, ref=ref, outcome=outcome))

    def decide_freeze(self, id):
        """From here on it takes no further query; None where it is not held."""
        return pb.Change(frozen=pb.Frozen(id=id)) if self.held(id) else None

    def decide_offer(self, id, to):
        """A frozen one is offered to `to`, or to another than before."""
        s = self.sessions.get(id)
        if s is None or s.state not in (FROZEN, OFFERED) or to == self.replica_group:
            return None
        return pb.Change(offered=pb.Offered(id=id, to=to))

    def decide_gone(self, id, to):
        """The point of no return; None where it is not offered to `to`, or too much there is untold."""
        s = self.sessions.get(id)
        no = self.given.get(to, 0) + 1
        if s is None or s.state != OFFERED or s.to != to or no - self.floor(to) >= MOST_UNTOLD:
            return None
        return pb.Change(gone=pb.Gone(id=id, to=to, no=no))

    def decide_told(self, id, to, no):
        """`to` has it on record."""
        s = self.sessions.get(id)
        if s is None or s.state != GONE or s.told or (s.to, s.no) != (to, no):
            return None
        return pb.Change(told=pb.Told(id=id))

    def decide_accept(self, giver, no, floor, wire):
        """None also for what is on record already."""
        known = self.sessions.get(wire.id)
        # Where it is gone and comes back by a higher generation, its hand-over arrived, answered or not.
        if (
            self.has_taken(giver, no)
            or known
            and (known.state != GONE or wire.generation <= known.generation)
        ):
            return None
        if (
            giver == self.replica_group
            or not 0 < floor <= no < floor + MOST_UNTOLD
            or wire.ByteSize() > SESSION_BYTES + 128
        ):
            return None
        return pb.Change(accepted=pb.Accepted(giver=giver, no=no, floor=floor, session=wire))

    def decide_back(self, id):
        """What is frozen or offered is held again."""
        s = self.sessions.get(id)
        return pb.Change(given_back=pb.GivenBack(id=id)) if s and s.state in (FROZEN, OFFERED) else None

    def decide_drop(self):
        """The one that was unused longest, of those with no query out."""
        id = next((s.id for s in self.sessions.values() if s.state == HELD and not s.open), None)
        return id and pb.Change(dropped=pb.Dropped(id=id))

    # What was made.

    def apply(self, record):
        """False: it was in already."""
        if record.no <= self.no:
            return False
        law(record.no == self.no + 1, f"record {record.no} after {self.no}")
        for change in record.changes:
            self.change(change)
        self.no = record.no
        return True

    def change(self, change):
        """Brings one change in; raises StateMachineError where a law forbids it."""
        kind = change.WhichOneof("kind")
        law(kind, "a change of no known kind")
        getattr(self, "_" + kind)(getattr(change, kind))

    def _get(self, id, *states):
        s = self.sessions.get(id)
        law(
            s is not None and s.state in states,
            f"{id} is {s and WORDS[s.state]}, not {[WORDS[x] for x in states]}",
        )
        return s

    def _used(self, s):
        self.sessions[s.id] = self.sessions.pop(s.id)
        s.weigh()

    def _opened(self, m):
        law(m.birth == self.births + 1 and m.id not in self.sessions, f"{m.id} is opened twice")
        self.births = m.birth
        self.sessions[m.id] = Session(pb.Session(tenant=m.tenant, id=m.id, generation=1, state=HELD))

    def _pinned(self, m):
        s = self._get(m.id, HELD, FROZEN, OFFERED)
        law(m.order >= s.order, f"{m.id}: order falls")
        s.pin, s.order = m.engine, m.order
        self._used(s)

    def _took(self, m):
        s = self._get(m.id, HELD)
        known = s.refs.pop(m.ref.ref, None)
        law(not known or not known.mutating and not m.ref.mutating, f"{m.id}: {m.ref.ref} is taken twice")
        s.refs[m.ref.ref] = Ref(m.ref)
        s.weigh()
        for old in [r for r in s.refs.values() if r.outcome]:
            if s.most <= SESSION_BYTES:
                break
            del s.refs[old.ref]
            s.weigh()
        self._used(s)

    def _ended(self, m):
        s = self._get(m.id, HELD, FROZEN, OFFERED)
        law(m.ref in s.refs, f"{m.id}: {m.ref} was not taken")
        s.refs[m.ref].outcome = m.outcome
        self._used(s)

    def _frozen(self, m):
        self._get(m.id, HELD).state = FROZEN

    def _offered(self, m):
        s = self._get(m.id, FROZEN, OFFERED)
        s.state, s.to = OFFERED, m.to

    def _gone(self, m):
        s = self._get(m.id, OFFERED)
        law(s.to == m.to and m.no == self.given.get(m.to, 0) + 1, f"{m.id}: gone to {m.to} by {m.no}")
        s.state, s.no, s.told = GONE, m.no, False
        self.given[m.to] = m.no

    def _told(self, m):
        s = self._get(m.id, GONE)
        s.told = True
        s.refs.clear()
        self._used(s)
        stones = [s.id for s in self.sessions.values() if s.state == GONE and s.told]
        for id in stones[:-MOST_STONES]:
            del self.sessions[id]

    def _accepted(self, m):
        known = self.sessions.pop(m.session.id, None)
        law(not self.has_taken(m.giver, m.no), f"hand-over {m.no} of {m.giver} is taken twice")
        law(
            known is None or known.state == GONE and m.session.generation > known.generation,
            f"{m.session.id} of generation {m.session.generation} is taken over a newer one",
        )
        s = Session(m.session)
        s.state, s.to, s.no, s.told = HELD, "", 0, False
        for ref in s.refs.values():
            ref.term = 0
        s.weigh()
        self.sessions[s.id] = s
        floor, above = self.taken.get(m.giver, (1, ()))
        floor, above = max(floor, m.floor), {*above, m.no}
        self.taken[m.giver] = floor, tuple(sorted(n for n in above if n >= floor))

    def _given_back(self, m):
        s = self._get(m.id, FROZEN, OFFERED)
        s.state, s.to = HELD, ""

    def _dropped(self, m):
        law(not self._get(m.id, HELD).open, f"{m.id} is dropped with a query out")
        del self.sessions[m.id]

    # As bytes, and its laws.

    def state(self):
        """As bytes, the same for the same records: a migration_pb2.State."""
        state = pb.State(version=VERSION, replica_group=self.replica_group, no=self.no, births=self.births)
        state.sessions.extend(s.wire() for s in self.sessions.values())
        for replica_group, no in sorted(self.given.items()):
            state.given.add(replica_group=replica_group, no=no)
        for replica_group, (floor, above) in sorted(self.taken.items()):
            state.taken.add(replica_group=replica_group, no=floor, above=above)
        return state.SerializeToString(deterministic=True)

    @classmethod
    def load(cls, replica_group, raw, records=()):
        """From a state (b"": none yet) and records, of which some may be in it. StateMachineError: it is not
        this replica group's."""
        machine = cls(replica_group)
        if raw:
            state = pb.State.FromString(raw)
            law(state.version == VERSION, f"a state of version {state.version}, this is {VERSION}")
            law(
                state.replica_group == replica_group,
                f"the state of {state.replica_group}, not of {replica_group}",
            )
            machine.no, machine.births = state.no, state.births
            machine.sessions = {s.id: Session(s) for s in state.sessions}
            machine.given = {p.replica_group: p.no for p in state.given}
            machine.taken = {p.replica_group: (p.no, tuple(p.above)) for p in state.taken}
        for record in records:
            machine.apply(pb.Record.FromString(record))
        machine.check()
        return machine

    def check(self):
        """Raises StateMachineError where a law does not hold."""
        for id, s in self.sessions.items():
            law(
                s.id == id and s.state in WORDS and s.generation >= 1,
                f"{id}: state {s.state}, {s.generation}",
            )
            law(fits(s.tenant) and len(id.encode()) <= MOST_NAME + BORN_BYTES, f"{id}: names too long")
            law(
                (s.state in (OFFERED, GONE)) == bool(s.to) and s.to != self.replica_group,
                f"{id}: to {s.to!r}",
            )
            law((s.state == GONE) == bool(s.no), f"{id}: hand-over {s.no} while {WORDS[s.state]}")
            law(s.size <= SESSION_BYTES + 128, f"{id}: {s.size} bytes")
        for to, no in self.given.items():
            out = [s.no for s in self.untold(to)]
            law(
                len(out) == len(set(out)) and max(out, default=0) <= no and len(out) <= MOST_UNTOLD,
                f"numbers to {to}",
            )
        for replica_group, (floor, above) in self.taken.items():
            law(floor >= 1 and all(n >= floor for n in above), f"numbers from {replica_group}")
        stones = sum(1 for s in self.sessions.values() if s.state == GONE and s.told)
        law(stones <= MOST_STONES, f"{stones} stones")
