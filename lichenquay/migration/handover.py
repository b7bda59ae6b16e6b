"""Handing over: what a coordinator does about its sessions when its replica group leaves, and about those of
others that come. No I/O.

    giver                                       taker
    record Frozen, Offered (while it leaves)
    Offer                      ->               room kept for a time, not on record
                               <-               Room yes
    record Gone: the point of no return
    Handed, until answered     ->               record Accepted; from then on it acts, a generation higher
                               <-               Kept
    record Told

Offer and Room are advice: an answer to an earlier term, or to another offer, counts for nothing. Handed and
Kept say only what is on record already, so that it stays true however late it comes. What is frozen or
offered and in no try of this term (its giver died, or the swap was called off) is tried anew, or given
back."""

from functools import partial

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration import target_selection as choose
from lichenquay.migration.session import FROZEN, GONE, HELD, OFFERED, Session
from lichenquay.migration.state_machine import MOST_BYTES, SESSION_BYTES

INF = float("inf")
KEPT_BACK = (
    MOST_BYTES // 5
)  # of a replica group's bytes: for hand-overs whose reservation was forgotten in a crash
MOST_RESERVED = 512


class Try:
    """Of one session: since when it is frozen, whom it is offered to, how often that was said."""

    def __init__(self, now_ms, to):
        """`to`: whom it is offered to first."""
        self.begun_ms, self.to, self.next_ms, self.said, self.asked = now_ms, to, now_ms, 0, {to}


class Mover:
    """Hands sessions over, and takes them; see the module."""

    def __init__(self, coordinator):
        """`coordinator`: of the replica group whose sessions it moves."""
        self.coordinator, self.settings = coordinator, coordinator.settings
        self.word, self.rush, self.wants_ms = "", False, INF
        self.members, self.zones = (), {}
        self.counts = dict.fromkeys(("offered", "gone", "told", "accepted", "back", "no_room"), 0)
        self.due_ms = INF
        self.forget()

    def forget(self):
        """What is not on record and belongs to one term."""
        self.tries, self.telling, self.reserved = {}, {}, {}
        self.later = {}  # session or replica group: (not before, failures)
        self.budget, self.budget_ms = 0.0, None
        self.due_ms = 0.0

    # What the host says.

    def known(self, members, zones=None):
        """Fronts as they are known here (with this one), and {engine uid: zone}."""
        self.members = tuple(members)
        self.zones = self.zones if zones is None else dict(zones)

    def leave(self, now_ms, rush=False):
        """Its sessions are to go. `rush`: without waiting for its turn (its front is gone, this is the
        successor)."""
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
        """Nothing is left to be moved or told: the replica group may be given up."""
        return (
            self.coordinator.made is not None
            and not self.coordinator.made.live
            and not self.coordinator.pending
            and not self.coordinator.out
        )

    # Time.

    def tick(self, now_ms):
        """A look, and when the next is due."""
        self.look(now_ms)
        ahead = self.coordinator.ahead
        busy = (
            self.tries or self.telling or any(s.state in (FROZEN, OFFERED) for s in ahead.sessions.values())
        )
        self.due_ms = now_ms + self.settings.period_ms * (1 if busy or self.word else 10)

    def look(self, now_ms):
        """All that is due by now."""
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
        if self.word == choose.WANTS and waited and (self.rush or self._may_leave()):
            self.word = choose.LEAVES

    def _may_leave(self):
        return choose.may_leave(self.coordinator.replica_group, self.members, self.settings.share)

    def _untried(self, now_ms):
        """Frozen or offered by an earlier term, or no longer to go."""
        if self.word != choose.LEAVES:
            self.tries = {}
        for s in list(self.coordinator.ahead.sessions.values()):
            if s.state in (FROZEN, OFFERED) and s.id not in self.tries:
                to = self._taker(now_ms, s) if self.word == choose.LEAVES else None
                if to is None or not self._offer(now_ms, s.id, to):
                    self._back(now_ms, s.id)

    # Giving.

    def _taker(self, now_ms, s, without=()):
        late = {name for name, (until, _) in self.later.items() if now_ms < until}
        return choose.taker(
            s.id,
            s.most,
            self.zones.get(s.pin, ""),
            self.members,
            late | set(without) | {self.coordinator.replica_group},
        )

    def _begin(self, now_ms):
        settings, ahead = self.settings, self.coordinator.ahead
        if self.budget_ms is not None:
            more = (now_ms - self.budget_ms) / 1000 * settings.bytes_s
            self.budget = min(settings.bytes_s / 4, self.budget + more)
        self.budget_ms = now_ms
        under_way = sum(
            1 for s in ahead.sessions.values() if s.state != HELD and not (s.state == GONE and s.told)
        )
        held = [s for s in ahead.sessions.values() if s.state == HELD]
        for s in choose.in_order(held):
            if under_way >= settings.at_once or self.budget < 0:
                return
            if now_ms < self.later.get(s.id, (0, 0))[0]:
                continue
            to = self._taker(now_ms, s)
            if to is not None and self.coordinator.do(ahead.decide_freeze(s.id)):
                self._offer(now_ms, s.id, to)
                under_way += 1
                self.budget -= s.most

    def _offer(self, now_ms, id, to):
        done = self.coordinator.do(self.coordinator.ahead.decide_offer(id, to))
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
        made, s = self.coordinator.made.sessions.get(id), self.coordinator.ahead.sessions[id]
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
                self.coordinator.send(t.to, offer=pb.Offer(id=id, generation=s.generation, bytes=s.most))

    def _elsewhere(self, now_ms, id, t):
        self._not_before(now_ms, t.to)
        s = self.coordinator.ahead.sessions[id]
        to = self._taker(now_ms, s, t.asked)
        if to is None or not self._offer(now_ms, id, to):
            self._not_before(now_ms, id)
            self._back(now_ms, id)

    def _back(self, now_ms, id):
        self.tries.pop(id, None)
        if self.coordinator.do(self.coordinator.ahead.decide_back(id)):
            self.counts["back"] += 1

    def _not_before(self, now_ms, what):
        failures = self.later.get(what, (0, 0))[1]
        wait = min(self.settings.most_wait_ms, self.settings.back_off_ms * 2 ** min(failures, 8))
        self.later[what] = now_ms + wait, failures + 1

    def room(self, now_ms, message, m):
        """The answer to an offer: yes makes it gone, no sends it elsewhere."""
        t, s = self.tries.get(m.id), self.coordinator.ahead.sessions.get(m.id)
        if (
            t is None
            or s is None
            or message.replica_group != t.to
            or message.term != self.coordinator.generation
        ):
            return
        if s.state != OFFERED or m.generation != s.generation:
            return
        self.members = tuple(p._replace(room=m.free) if p.name == t.to else p for p in self.members)
        if not m.yes:
            self._elsewhere(now_ms, m.id, t)
            return
        self.later.pop(t.to, None)
        if self.coordinator.do(self.coordinator.ahead.decide_gone(m.id, t.to), partial(self._gone, m.id)):
            del self.tries[m.id]
            self.counts["gone"] += 1

    def _gone(self, id, now_ms, ok):
        if ok and self.coordinator.is_leader(now_ms):
            self._tell(now_ms)

    def _tell(self, now_ms):
        """What is gone, by the log that is made, until it is answered."""
        made, telling = self.coordinator.made, {}
        for s in made.sessions.values():
            if s.state != GONE or s.told:
                continue
            due_ms, wait = self.telling.get(s.id, (now_ms, self.settings.answer_ms))
            if now_ms >= due_ms:
                self.coordinator.send(s.to, handed=self._handed(now_ms, s))
                due_ms, wait = now_ms + wait, min(2 * wait, self.settings.most_wait_ms)
            telling[s.id] = due_ms, wait
        self.telling = telling

    def _handed(self, now_ms, s):
        wire = s.wire()
        for ref in wire.refs:
            ref.left_ms = self.coordinator.left_ms(now_ms, s.id, s.refs[ref.ref])
            ref.term = 0
        wire.generation, wire.state, wire.to, wire.no, wire.told = s.generation + 1, HELD, "", 0, False
        return pb.Handed(no=s.no, floor=self.coordinator.made.floor(s.to), session=wire)

    def kept(self, now_ms, message, m):
        """The answer to a hand-over: it is on record there."""
        s = self.coordinator.made.sessions.get(m.id)
        if s is None or m.generation != s.generation + 1:
            return
        if self.coordinator.do(self.coordinator.ahead.decide_told(m.id, message.replica_group, m.no)):
            self.counts["told"] += 1
            self._begin(now_ms) if self.word == choose.LEAVES else None

    # Taking.

    @property
    def free(self):
        """For what is offered."""
        kept = sum(size for _, size in self.reserved.values())
        return max(0, self.coordinator.ahead.free - KEPT_BACK - kept)

    def offer(self, now_ms, message, m):
        """Another wants to hand a session over: room is kept for it for a time, or there is none."""
        key = message.replica_group, m.id
        self.reserved.pop(key, None)
        size = max(m.bytes, 64)
        yes = (
            not self.word
            and size <= min(self.free, SESSION_BYTES + 128)
            and len(self.reserved) < MOST_RESERVED
        )
        if yes:
            self.reserved[key] = now_ms + self.settings.reserve_ms, size
        else:
            self.counts["no_room"] += 1
        self.coordinator.send(
            message.replica_group,
            term=message.term,
            room=pb.Room(id=m.id, generation=m.generation, yes=yes, free=self.free),
        )

    def handed(self, now_ms, message, m):
        """Its giver never acts for it again: it is taken whenever there is room, even if this replica group
        leaves."""
        coordinator, giver, s = self.coordinator, message.replica_group, m.session
        if self._on_record(giver, m):
            self._say_kept(giver, m.no, s.id, s.generation)
            return
        most = Session(s).most
        for _ in range(8):
            if coordinator.ahead.free >= most or not coordinator.drop():
                break
        if coordinator.ahead.free < most:
            self.counts["no_room"] += 1
            return
        self.reserved.pop((giver, s.id), None)
        change = coordinator.ahead.decide_accept(giver, m.no, m.floor, s)
        coordinator.do(change, partial(self._accepted, giver, m.no, s.id, s.generation, now_ms))

    def _on_record(self, giver, m):
        return self.coordinator.made.has_taken(giver, m.no)

    def _accepted(self, giver, no, id, generation, heard_ms, now_ms, ok):
        if ok and self.coordinator.is_leader(now_ms):
            self.counts["accepted"] += 1
            s = self.coordinator.made.sessions.get(id)
            for ref in s.refs if s else ():
                self.coordinator.told_ms[id, ref] = heard_ms
            self._say_kept(giver, no, id, generation)

    def _say_kept(self, giver, no, id, generation):
        self.coordinator.send(giver, kept=pb.Kept(no=no, id=id, generation=generation))
