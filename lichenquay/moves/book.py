"""The book of one home: its sittings, as a state machine without time or chance of its own.

A home is a name (that of a front); whoever holds its group of `owner` acts for it. `decide_` methods look and return a
Change or None; a `Record` of changes is made durable by the group, and then `apply` brings it in, once. A sitting is

    held -> frozen -> offered(to) -> gone(to)       given back: frozen or offered -> held

`gone` is the point of no return: from that record on this home never acts for that generation of it. Hand-overs from
one home to another are numbered, and the taker's book has which of these numbers it took: a hand-over that comes
twice, or late by any time, is not taken again, though all else about the sitting be forgotten.
Docs: docs/design/moves.md."""

from lichenquay.moves import moves_pb2 as pb

VERSION = 1
HELD, FROZEN, OFFERED, GONE = range(1, 5)
WORDS = {HELD: "held", FROZEN: "frozen", OFFERED: "offered", GONE: "gone"}

# The same in all processes of a fleet: a fold decides by them.
MOST_SITTINGS = 256  # of a home, without those that are gone and told
MOST_BYTES = 40_000  # of these
MOST_STONES = 64  # gone and told: kept only to send clients on, the oldest go
SITTING_BYTES = 800  # at most, whatever ends and is pinned later: one fits in a datagram
OUTCOME = 16  # bytes of a query's outcome
MOST_NAME = 64  # bytes of a sitting's name, tenant, ref, engine uid
MOST_UNTOLD = 64  # hand-overs to one home that it has not answered
BORN_BYTES = 96  # most that a home adds to a name


class BookError(Exception):
    """A record that the book's laws forbid, or a state that breaks them; it never comes from a lost message."""


def law(holds, what):
    if not holds:
        raise BookError(what)


def fits(*names):
    return all(0 < len(name.encode()) <= MOST_NAME for name in names)


class Ref:
    """A query as its sitting knows it. `office`: whose generation took it; under another it may have run."""

    __slots__ = ("ref", "mutating", "engine", "office", "outcome", "left_ms")

    def __init__(self, wire):
        for name in self.__slots__:
            setattr(self, name, getattr(wire, name))

    def wire(self):
        return pb.Ref(**{name: getattr(self, name) for name in self.__slots__})


class Sitting:
    __slots__ = (
        "tenant",
        "id",
        "generation",
        "pin",
        "order",
        "refs",
        "state",
        "to",
        "no",
        "told",
        "size",
        "most",
    )
    PLAIN = ("tenant", "id", "generation", "pin", "order", "state", "to", "no", "told")

    def __init__(self, wire):
        for name in self.PLAIN:
            setattr(self, name, getattr(wire, name))
        self.refs = {r.ref: Ref(r) for r in wire.refs}  # oldest first
        self.weigh()

    def wire(self):
        wire = pb.Sitting(**{name: getattr(self, name) for name in self.PLAIN})
        wire.refs.extend(r.wire() for r in self.refs.values())
        return wire

    def weigh(self):
        """`most`: what it can come to without a further query. Risk: news of an end that finds no room for itself."""
        self.size = self.wire().ByteSize()
        self.most = self.size + (OUTCOME + 2) * len(self.open) + MOST_NAME + 14 - len(self.pin.encode())

    @property
    def open(self):
        return [r for r in self.refs.values() if not r.outcome]

    @property
    def writing(self):
        """Whether a mutating query is out."""
        return any(r.mutating for r in self.open)

    @property
    def acted_for(self):
        return self.state != GONE


class Book:
    def __init__(self, home):
        self.home, self.no, self.births = home, 0, 0
        self.sittings = {}  # id: Sitting, longest unused first
        self.given = {}  # home: number of the last hand-over to it
        self.taken = {}  # home: (floor, numbers above it): hand-overs from it that are on record here

    # What is there.

    @property
    def live(self):
        return [s for s in self.sittings.values() if not (s.state == GONE and s.told)]

    @property
    def free(self):
        """Bytes; 0 where no further sitting fits by number."""
        return self.bytes_left if len(self.live) < MOST_SITTINGS else 0

    @property
    def bytes_left(self):
        return max(0, MOST_BYTES - sum(s.most for s in self.live))

    def untold(self, to):
        return [s for s in self.sittings.values() if s.state == GONE and not s.told and s.to == to]

    def floor(self, to):
        """All hand-overs to that home under this number are known to be on record there."""
        return min((s.no for s in self.untold(to)), default=self.given.get(to, 0) + 1)

    def has_taken(self, giver, no):
        floor, above = self.taken.get(giver, (1, ()))
        return no < floor or no in above

    def where(self, id):
        """(state, home to ask) of what a client may name; (None, the home that opened it) where it is not known."""
        s = self.sittings.get(id)
        if s is None:
            return None, id.rpartition("@")[2].rpartition(".")[0]
        return s.state, s.to if s.state == GONE else self.home

    # What may be decided.

    def decide_open(self, tenant, name):
        if not fits(tenant, name) or self.free < 2 * SITTING_BYTES:
            return None
        birth = self.births + 1
        return pb.Change(opened=pb.Opened(tenant=tenant, id=f"{name}@{self.home}.{birth}", birth=birth))

    def held(self, id):
        s = self.sittings.get(id)
        return s if s is not None and s.state == HELD else None

    def decide_pin(self, id, engine, order):
        """The order only rises. Also while it is frozen, as a load may be done then; not once it is gone."""
        s = self.sittings.get(id)
        if (
            s is None
            or not s.acted_for
            or not fits(engine)
            or order < s.order
            or (s.pin, s.order) == (engine, order)
        ):
            return None
        return pb.Change(pinned=pb.Pinned(id=id, engine=engine, order=order))

    def decide_took(self, id, ref, mutating, engine, office, left_ms):
        """Before a mutating query may be submitted. A read-only one may be taken again."""
        s = self.held(id)
        if s is None or not fits(ref, engine):
            return None
        known = s.refs.get(ref)
        if known and (known.mutating or mutating or known.outcome):
            return None
        new = pb.Ref(ref=ref, mutating=mutating, engine=engine, office=office, left_ms=left_ms)
        # Room is made by forgetting ended ones, never by forgetting one that may run.
        fixed = s.most - sum(r.wire().ByteSize() for r in s.refs.values() if r.outcome)
        more = new.ByteSize() + OUTCOME + 6
        if fixed + more > SITTING_BYTES or more > self.bytes_left:
            return None
        return pb.Change(took=pb.Took(id=id, ref=new))

    def decide_ended(self, id, ref, outcome):
        s = self.sittings.get(id)
        if s is None or not s.acted_for or ref not in s.refs or s.refs[ref].outcome:
            return None
        outcome = outcome if 0 < len(outcome.encode()) <= OUTCOME else "ended"
        return pb.Change(ended=pb.Ended(id=id, ref=ref, outcome=outcome))

    def decide_freeze(self, id):
        return pb.Change(frozen=pb.Frozen(id=id)) if self.held(id) else None

    def decide_offer(self, id, to):
        s = self.sittings.get(id)
        if s is None or s.state not in (FROZEN, OFFERED) or to == self.home:
            return None
        return pb.Change(offered=pb.Offered(id=id, to=to))

    def decide_gone(self, id, to):
        s = self.sittings.get(id)
        no = self.given.get(to, 0) + 1
        if s is None or s.state != OFFERED or s.to != to or no - self.floor(to) >= MOST_UNTOLD:
            return None
        return pb.Change(gone=pb.Gone(id=id, to=to, no=no))

    def decide_told(self, id, to, no):
        s = self.sittings.get(id)
        if s is None or s.state != GONE or s.told or (s.to, s.no) != (to, no):
            return None
        return pb.Change(told=pb.Told(id=id))

    def decide_accept(self, giver, no, floor, wire):
        """None also for what is on record already."""
        known = self.sittings.get(wire.id)
        # Where it is gone and comes back by a higher generation, its hand-over arrived, answered or not.
        if (
            self.has_taken(giver, no)
            or known
            and (known.state != GONE or wire.generation <= known.generation)
        ):
            return None
        if (
            giver == self.home
            or not 0 < floor <= no < floor + MOST_UNTOLD
            or wire.ByteSize() > SITTING_BYTES + 128
        ):
            return None
        return pb.Change(accepted=pb.Accepted(giver=giver, no=no, floor=floor, sitting=wire))

    def decide_back(self, id):
        s = self.sittings.get(id)
        return pb.Change(given_back=pb.GivenBack(id=id)) if s and s.state in (FROZEN, OFFERED) else None

    def decide_drop(self):
        """The one that was unused longest, of those with no query out."""
        id = next((s.id for s in self.sittings.values() if s.state == HELD and not s.open), None)
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
        kind = change.WhichOneof("kind")
        law(kind, "a change of no known kind")
        getattr(self, "_" + kind)(getattr(change, kind))

    def _get(self, id, *states):
        s = self.sittings.get(id)
        law(
            s is not None and s.state in states,
            f"{id} is {s and WORDS[s.state]}, not {[WORDS[x] for x in states]}",
        )
        return s

    def _used(self, s):
        self.sittings[s.id] = self.sittings.pop(s.id)
        s.weigh()

    def _opened(self, m):
        law(m.birth == self.births + 1 and m.id not in self.sittings, f"{m.id} is opened twice")
        self.births = m.birth
        self.sittings[m.id] = Sitting(pb.Sitting(tenant=m.tenant, id=m.id, generation=1, state=HELD))

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
            if s.most <= SITTING_BYTES:
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
        stones = [s.id for s in self.sittings.values() if s.state == GONE and s.told]
        for id in stones[:-MOST_STONES]:
            del self.sittings[id]

    def _accepted(self, m):
        known = self.sittings.pop(m.sitting.id, None)
        law(not self.has_taken(m.giver, m.no), f"hand-over {m.no} of {m.giver} is taken twice")
        law(
            known is None or known.state == GONE and m.sitting.generation > known.generation,
            f"{m.sitting.id} of generation {m.sitting.generation} is taken over a newer one",
        )
        s = Sitting(m.sitting)
        s.state, s.to, s.no, s.told = HELD, "", 0, False
        for ref in s.refs.values():
            ref.office = 0
        s.weigh()
        self.sittings[s.id] = s
        floor, above = self.taken.get(m.giver, (1, ()))
        floor, above = max(floor, m.floor), {*above, m.no}
        self.taken[m.giver] = floor, tuple(sorted(n for n in above if n >= floor))

    def _given_back(self, m):
        s = self._get(m.id, FROZEN, OFFERED)
        s.state, s.to = HELD, ""

    def _dropped(self, m):
        law(not self._get(m.id, HELD).open, f"{m.id} is dropped with a query out")
        del self.sittings[m.id]

    # As bytes, and its laws.

    def state(self):
        state = pb.State(version=VERSION, home=self.home, no=self.no, births=self.births)
        state.sittings.extend(s.wire() for s in self.sittings.values())
        for home, no in sorted(self.given.items()):
            state.given.add(home=home, no=no)
        for home, (floor, above) in sorted(self.taken.items()):
            state.taken.add(home=home, no=floor, above=above)
        return state.SerializeToString(deterministic=True)

    @classmethod
    def load(cls, home, raw, records=()):
        """From a state (b"": none yet) and records, of which some may be in it. BookError: it is not this home's."""
        book = cls(home)
        if raw:
            state = pb.State.FromString(raw)
            law(state.version == VERSION, f"a book of version {state.version}, this is {VERSION}")
            law(state.home == home, f"the book of {state.home}, not of {home}")
            book.no, book.births = state.no, state.births
            book.sittings = {s.id: Sitting(s) for s in state.sittings}
            book.given = {p.home: p.no for p in state.given}
            book.taken = {p.home: (p.no, tuple(p.above)) for p in state.taken}
        for record in records:
            book.apply(pb.Record.FromString(record))
        book.check()
        return book

    def check(self):
        for id, s in self.sittings.items():
            law(
                s.id == id and s.state in WORDS and s.generation >= 1,
                f"{id}: state {s.state}, {s.generation}",
            )
            law(fits(s.tenant) and len(id.encode()) <= MOST_NAME + BORN_BYTES, f"{id}: names too long")
            law((s.state in (OFFERED, GONE)) == bool(s.to) and s.to != self.home, f"{id}: to {s.to!r}")
            law((s.state == GONE) == bool(s.no), f"{id}: hand-over {s.no} while {WORDS[s.state]}")
            law(s.size <= SITTING_BYTES + 128, f"{id}: {s.size} bytes")
        for to, no in self.given.items():
            out = [s.no for s in self.untold(to)]
            law(
                len(out) == len(set(out)) and max(out, default=0) <= no and len(out) <= MOST_UNTOLD,
                f"numbers to {to}",
            )
        for home, (floor, above) in self.taken.items():
            law(floor >= 1 and all(n >= floor for n in above), f"numbers from {home}")
        stones = sum(1 for s in self.sittings.values() if s.state == GONE and s.told)
        law(stones <= MOST_STONES, f"{stones} stones")
