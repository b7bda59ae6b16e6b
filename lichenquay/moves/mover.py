"""Handing over: what a desk does about its sittings when its home leaves, and about those of others that come. No I/O.

    giver                                       taker
    record Frozen, Offered (while it leaves)
    Offer                      ->               room kept for a time, not on record
                               <-               Room yes
    record Gone: the point of no return
    Handed, until answered     ->               record Accepted; from then on it acts, a generation higher
                               <-               Kept
    record Told

Offer and Room are advice: an answer to an earlier office, or to another offer, counts for nothing. Handed and Kept say
only what is on record already, so that it stays true however late it comes. What is frozen or offered and in no try
of this office (its giver died, or the swap was called off) is tried anew, or given back."""

from functools import partial

from lichenquay.moves import choose, moves_pb2 as pb
from lichenquay.moves.book import FROZEN, GONE, HELD, MOST_BYTES, OFFERED, SITTING_BYTES, Sitting

INF = float("inf")
KEPT_BACK = MOST_BYTES // 5  # of a home's bytes: for hand-overs whose reservation was forgotten in a crash
MOST_RESERVED = 512


class Try:
    """Of one sitting: since when it is frozen, whom it is offered to, how often that was said."""

    def __init__(self, now_ms, to):
        self.begun_ms, self.to, self.next_ms, self.said, self.asked = now_ms, to, now_ms, 0, {to}


class Mover:
    def __init__(self, desk):
        self.desk, self.settings = desk, desk.settings
        self.word, self.rush, self.wants_ms = "", False, INF
        self.members, self.zones = (), {}
        self.counts = dict.fromkeys(("offered", "gone", "told", "accepted", "back", "no_room"), 0)
        self.due_ms = INF
        self.forget()

    def forget(self):
        """What is not on record and belongs to one office."""
        self.tries, self.telling, self.reserved = {}, {}, {}
        self.later = {}  # sitting or home: (not before, failures)
        self.budget, self.budget_ms = 0.0, None
        self.due_ms = 0.0

    # What the host says.

    def known(self, members, zones=None):
        """Fronts as they are known here (with this one), and {engine uid: zone}."""
        self.members = tuple(members)
        self.zones = self.zones if zones is None else dict(zones)

    def leave(self, now_ms, rush=False):
        """Its sittings are to go. `rush`: without waiting for its turn (its front is gone, this is the successor)."""
        if not self.word:
            self.word, self.wants_ms = choose.WANTS, now_ms
        self.rush = self.rush or rush
        self.due_ms = now_ms

    def stay(self, now_ms):
        """Called off: what is not yet gone stays."""
        self.word, self.rush, self.wants_ms = "", False, INF
        self.due_ms = now_ms

    @property
    def empty(self):
        """Nothing is left to be moved or told: the home's group may be given up."""
        return (
            self.desk.made is not None
            and not self.desk.made.live
            and not self.desk.pending
            and not self.desk.out
        )

    # Time.

    def tick(self, now_ms):
        self.look(now_ms)
        ahead = self.desk.ahead
        busy = (
            self.tries or self.telling or any(s.state in (FROZEN, OFFERED) for s in ahead.sittings.values())
        )
        self.due_ms = now_ms + self.settings.period_ms * (1 if busy or self.word else 10)

    def look(self, now_ms):
        self._turn(now_ms)
        self._untried(now_ms)
        for id, t in list(self.tries.items()):
            self._go_on(now_ms, id, t)
        if self.word == choose.LEAVES:
            self._begin(now_ms)
        self._tell(now_ms)
        self.reserved = {k: r for k, r in self.reserved.items() if now_ms < r[0]}
        self.later = {k: x for k, x in self.later.items() if now_ms < x[0] + 2 * self.settings.most_wait_ms}

    def _turn(self, now_ms):
        waited = self.rush or now_ms >= self.wants_ms + self.settings.settle_ms
        if self.word == choose.WANTS and waited:
            if self.rush or choose.may_leave(self.desk.home, self.members, self.settings.share):
                self.word = choose.LEAVES

    def _untried(self, now_ms):
        """Frozen or offered by an earlier office, or no longer to go."""
        if self.word != choose.LEAVES:
            self.tries = {}
        for s in list(self.desk.ahead.sittings.values()):
            if s.state in (FROZEN, OFFERED) and s.id not in self.tries:
                to = self._taker(now_ms, s) if self.word == choose.LEAVES else None
                if to is None or not self._offer(now_ms, s.id, to):
                    self._back(now_ms, s.id)

    # Giving.

    def _taker(self, now_ms, s, without=()):
        late = {name for name, (until, _) in self.later.items() if now_ms < until}
        return choose.taker(
            s.id, s.most, self.zones.get(s.pin, ""), self.members, late | set(without) | {self.desk.home}
        )

    def _begin(self, now_ms):
        settings, ahead = self.settings, self.desk.ahead
        if self.budget_ms is not None:
            more = (now_ms - self.budget_ms) / 1000 * settings.bytes_s
            self.budget = min(settings.bytes_s / 4, self.budget + more)
        self.budget_ms = now_ms
        under_way = sum(
            1 for s in ahead.sittings.values() if s.state != HELD and not (s.state == GONE and s.told)
        )
        held = [s for s in ahead.sittings.values() if s.state == HELD]
        for s in choose.in_order(held):
            if under_way >= settings.at_once or self.budget < 0:
                return
            if now_ms < self.later.get(s.id, (0, 0))[0]:
                continue
            to = self._taker(now_ms, s)
            if to is not None and self.desk.do(ahead.decide_freeze(s.id)):
                self._offer(now_ms, s.id, to)
                under_way += 1
                self.budget -= s.most

    def _offer(self, now_ms, id, to):
        done = self.desk.do(self.desk.ahead.decide_offer(id, to))
        if done:
            t = self.tries.get(id)
            if t is None:
                self.tries[id] = Try(now_ms, to)
            else:
                t.to, t.said, t.next_ms = to, 0, now_ms
                t.asked.add(to)
            self.counts["offered"] += 1
        return done

    def _go_on(self, now_ms, id, t):
        made, s = self.desk.made.sittings.get(id), self.desk.ahead.sittings[id]
        if s.state == GONE:
            del self.tries[id]
        elif now_ms >= t.begun_ms + self.settings.freeze_ms:
            self._not_before(now_ms, id)
            self._back(now_ms, id)
        elif made is not None and (made.state, made.to) == (OFFERED, t.to) and now_ms >= t.next_ms:
            if t.said >= self.settings.offers:
                self._elsewhere(now_ms, id, t)
            else:
                t.said, t.next_ms = t.said + 1, now_ms + self.settings.answer_ms
                self.desk.send(t.to, offer=pb.Offer(id=id, generation=s.generation, bytes=s.most))

    def _elsewhere(self, now_ms, id, t):
        self._not_before(now_ms, t.to)
        s = self.desk.ahead.sittings[id]
        to = self._taker(now_ms, s, t.asked)
        if to is None or not self._offer(now_ms, id, to):
            self._not_before(now_ms, id)
            self._back(now_ms, id)

    def _back(self, now_ms, id):
        self.tries.pop(id, None)
        if self.desk.do(self.desk.ahead.decide_back(id)):
            self.counts["back"] += 1

    def _not_before(self, now_ms, what):
        failures = self.later.get(what, (0, 0))[1]
        wait = min(self.settings.most_wait_ms, self.settings.back_off_ms * 2 ** min(failures, 8))
        self.later[what] = now_ms + wait, failures + 1

    def room(self, now_ms, message, m):
        t, s = self.tries.get(m.id), self.desk.ahead.sittings.get(m.id)
        if t is None or s is None or message.home != t.to or message.office != self.desk.generation:
            return
        if s.state != OFFERED or m.generation != s.generation:
            return
        self.members = tuple(p._replace(room=m.free) if p.name == t.to else p for p in self.members)
        if not m.yes:
            self._elsewhere(now_ms, m.id, t)
            return
        self.later.pop(t.to, None)
        if self.desk.do(self.desk.ahead.decide_gone(m.id, t.to), partial(self._gone, m.id)):
            del self.tries[m.id]
            self.counts["gone"] += 1

    def _gone(self, id, now_ms, ok):
        if ok and self.desk.in_office(now_ms):
            self._tell(now_ms)

    def _tell(self, now_ms):
        """What is gone, by the book that is made, until it is answered."""
        made, telling = self.desk.made, {}
        for s in made.sittings.values():
            if s.state != GONE or s.told:
                continue
            due_ms, wait = self.telling.get(s.id, (now_ms, self.settings.answer_ms))
            if now_ms >= due_ms:
                self.desk.send(s.to, handed=self._handed(now_ms, s))
                due_ms, wait = now_ms + wait, min(2 * wait, self.settings.most_wait_ms)
            telling[s.id] = due_ms, wait
        self.telling = telling

    def _handed(self, now_ms, s):
        wire = s.wire()
        for ref in wire.refs:
            ref.left_ms = self.desk.left_ms(now_ms, s.id, s.refs[ref.ref])
            ref.office = 0
        wire.generation, wire.state, wire.to, wire.no, wire.told = s.generation + 1, HELD, "", 0, False
        return pb.Handed(no=s.no, floor=self.desk.made.floor(s.to), sitting=wire)

    def kept(self, now_ms, message, m):
        s = self.desk.made.sittings.get(m.id)
        if s is not None and m.generation == s.generation + 1:
            if self.desk.do(self.desk.ahead.decide_told(m.id, message.home, m.no)):
                self.counts["told"] += 1
                self._begin(now_ms) if self.word == choose.LEAVES else None

    # Taking.

    @property
    def free(self):
        """For what is offered."""
        kept = sum(size for _, size in self.reserved.values())
        return max(0, self.desk.ahead.free - KEPT_BACK - kept)

    def offer(self, now_ms, message, m):
        key = message.home, m.id
        self.reserved.pop(key, None)
        size = max(m.bytes, 64)
        yes = (
            not self.word
            and size <= min(self.free, SITTING_BYTES + 128)
            and len(self.reserved) < MOST_RESERVED
        )
        if yes:
            self.reserved[key] = now_ms + self.settings.reserve_ms, size
        else:
            self.counts["no_room"] += 1
        self.desk.send(
            message.home,
            office=message.office,
            room=pb.Room(id=m.id, generation=m.generation, yes=yes, free=self.free),
        )

    def handed(self, now_ms, message, m):
        """Its giver never acts for it again: it is taken whenever there is room, even if this home leaves."""
        desk, giver, s = self.desk, message.home, m.sitting
        if self._on_record(giver, m):
            self._say_kept(giver, m.no, s.id, s.generation)
            return
        most = Sitting(s).most
        for _ in range(8):
            if desk.ahead.free >= most or not desk.drop():
                break
        if desk.ahead.free < most:
            self.counts["no_room"] += 1
            return
        self.reserved.pop((giver, s.id), None)
        change = desk.ahead.decide_accept(giver, m.no, m.floor, s)
        desk.do(change, partial(self._accepted, giver, m.no, s.id, s.generation, now_ms))

    def _on_record(self, giver, m):
        return self.desk.made.has_taken(giver, m.no)

    def _accepted(self, giver, no, id, generation, heard_ms, now_ms, ok):
        if ok and self.desk.in_office(now_ms):
            self.counts["accepted"] += 1
            s = self.desk.made.sittings.get(id)
            for ref in s.refs if s else ():
                self.desk.told_ms[id, ref] = heard_ms
            self._say_kept(giver, no, id, generation)

    def _say_kept(self, giver, no, id, generation):
        self.desk.send(giver, kept=pb.Kept(no=no, id=id, generation=generation))
