"""What every submission passes, whatever else speaks for it; and the measures of a query's work."""

from operator import attrgetter
from zlib import crc32

from lichenquay.admission import interface as io
from lichenquay.admission.rings import Ring

SCOPES = {"zone": attrgetter("place"), "cell": attrgetter("cell")}  # alike: they drop each other's repeats


def work_of(q):
    """The query's work over all threads: its estimate, else what its target runtime leaves room for."""
    return q.work_ms or q.group.target_ms * q.group.threads


def ideal_of(q):
    return work_of(q) / q.group.threads


def placed(group, engine):  # whether queries of the group may run there
    by_kind = not group.kinds or engine.kind in group.kinds
    return by_kind and (not group.places or engine.place in group.places)


class Guards:
    """What every submission passes: placement, drain, cold budget, submission budget, no duplicate effect."""

    def __init__(self, most_submissions, rules, fronts, number, groups):
        self.most, self.rules, self.fronts, self.number = most_submissions, rules, max(1, fronts), number
        self.query = sum(g.target_ms * g.threads for g in groups) / max(1, len(groups))  # work of one
        bucket = (rules.further_window_ms or 1.0) / 8
        self.further, self.taken = Ring(bucket, 9), Ring(bucket, 8)  # errs low
        self.usual = {}  # mean work of each group: a cold engine counts the usual work
        self.doubt_ms = 0.0  # until then the list of engines may be out of date: nothing is submitted

    def take(self, q, now):
        self.taken.add(now, 1)
        self.usual[q.group] = (49 * self.usual.get(q.group, work_of(q)) + work_of(q)) / 50

    def weight(self, q):
        return max(self.usual.get(q.group, 0.0), work_of(q))

    def warmth(self, engine, now):
        """The part of its capacity that an engine surely has; how that rises is not told: taken late."""
        if engine.started_ms is None or not self.rules.cold_ms:
            return 1.0
        age = max(0.0, now - engine.started_ms) / self.rules.cold_ms
        return 1.0 if age >= 1 else self.rules.cold_share + (1 - self.rules.cold_share) * age * age

    def part(self, engine, now):  # of its capacity, that new work can count on: none while it drains
        return self.warmth(engine, now) if engine.state == io.LISTED else 0.0

    def may_submit(self, q, now):
        if not q.submissions or q.over:
            return not q.over
        ended = io.NEVER_RAN if q.effect == io.MUTATING else io.ENDINGS
        if len(q.submissions) >= self.most or any(s.ending not in ended for s in q.submissions):
            return False
        return self.rationed(now)

    def rationed(self, now):  # whether one further submission more is within their budget
        free, part = self.rules.further_free, self.rules.further_share
        return free is None or self.further.total(now) + 1 <= free + part * self.taken.total(now)

    def allows(self, q, seen, now, due=None):  # due: decided already, about to be written
        e, g = seen.engine, q.group
        if e.state != io.LISTED or not placed(g, e):
            return False
        tokened = q.submissions if q.effect == io.TOKENED else ()
        ran = [s for s in tokened if s is not due and s.ending not in io.NEVER_RAN]
        until = now - g.memory_window_ms + self.rules.answer_slack_ms
        scope = SCOPES.get(g.dedup, lambda engine: None)
        if any(s.sent_ms <= until or scope(s.engine) != scope(e) for s in ran):
            return False  # sent again only where and while its repeat is dropped
        warmth = self.warmth(e, now)
        more = 0.0 if due and now - due.sent_ms < self.rules.cold_window_ms else self.weight(q)
        return warmth >= 1 or seen.cold_sent.total(now) + more <= self.cold_budget(e, warmth)

    def may_go(self, sub, seen, now):
        """The last look, in the instant before a submission's first byte. Risk: its connection took long, or
        it waited for a descriptor, and it is not right any more. It counts in the windows it goes out in."""
        q, late = sub.query, now - sub.sent_ms
        again = sub.number and late > self.further.width_ms
        over = not seen or q.over or sub.ending or now >= q.ends_ms
        if over or not self.allows(q, seen, now, sub) or again and not self.rationed(now):
            return False
        seen.cold_sent.add(now, self.weight(q)) if late > seen.cold_sent.width_ms else None
        self.further.add(now, 1) if again else None
        sub.sent_ms = now
        return True

    def cold_budget(self, e, warmth):
        """Risk: all fronts push a cold engine over. Ours is one share of the budget, a fifth of it kept back.
        Departure: where one share stays below a query until the engine is warm, as many fronts as there is
        room for a query each share it, told by their numbers, and the others leave it alone. Risk: nobody
        uses it. One share more is left, for the next one that joins while the others' work still counts."""
        whole = 0.8 * self.rules.cold_multiple * self.rules.cold_window_ms * 0.85 * e.cores
        if self.number is None or whole >= self.fronts * self.query:
            return whole * warmth / self.fronts
        sharers = max(1, int(whole * warmth / self.query) - 1)
        ours = (crc32(e.id.encode()) + self.number) % self.fronts < sharers
        return whole * warmth / (sharers + 1) if ours else 0.0

    def may_defer(self, q):  # a deferral says that trying again is harmless
        may_have_run = any(s.ending not in io.NEVER_RAN for s in q.submissions)
        repeats_dropped = q.effect == io.TOKENED and q.group.dedup == "all"
        return q.effect == io.READ_ONLY or repeats_dropped or not may_have_run
