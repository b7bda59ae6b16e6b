"""Who is there, as one front holds it: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's ideas (Dadgar, Phillips,
Currey 2018); no I/O.

The host calls `heard` for each message, `tick` at `due_ms` (later, never earlier), and after each call sends and
empties `outbox` [(name, message)] and `changes` (table.Change, in the order of the view's numbers). Times are
milliseconds of the host's monotonic clock. Nothing here makes anything safe: a verdict tells whom to try first.
docs/design/members.md has the reasons and the figures.

- A member that leaves a probe unanswered is `suspect`; it is `cut` when nobody had an answer for `hold_ms`, times log10
  of the members from ten on. One accuser alone waits three times as long. A suspect that hears so
  raises its word and is alive.
- A front that itself got no answer lately, or stood still, or is cut, accuses nobody. One that no one answers at all
  (of two or more) holds itself for cut, and says so: then it is cut everywhere, whichever direction of its links is
  broken.
- `cut` is told to whom it concerns, slowly and for ever; it comes back by a higher word once somebody answered it, at
  once the first time, then after a rest that doubles. After `gone_ms` a part with more than half of the members says
  `gone`: final for that incarnation.

Work a period: one probe (1 message if answered, up to 9 if not), rumours in rounds while there are any, slow probes
that add up to about 4 a `slow_ms` for each member that is out, whatever the fleet's size; state: 0.5 KB a member, at
most 1,024 of them.
"""

from collections import Counter
from dataclasses import dataclass
from math import log, log10

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.gossip import Spread
from lichenquay.membership.member_table import ALIVE, CUT, GONE, LEFT, NEVER, STATES, SUSPECT, Table, rank
from lichenquay.membership.message_format import MAX_BY, MAX_INCARNATION, MAX_WORD, good_name, row_of
from lichenquay.membership.message_handling import Hearing
from lichenquay.membership.probing import Ask

INF = float("inf")
MAX_SCORE = 4  # Ill health of our own: a period is at most five times as long.
ACCUSERS = 3  # With so many, waiting longer makes a verdict no surer.
FLOOR = 0.76  # Share of `hold` that a suspicion lasts at the least.
ALONE = 2  # Times `hold` without any answer: it is we who are cut.
AT_ONCE = 16  # About so many members ask a new suspect at once, and each period.
LEAVES, LEAVES_TO = 4, 16  # A leave is told so many times, to so many.
REST_FORGET_MS, MAX_REST = 600_000, 64


@dataclass(frozen=True)
class Settings:
    period_ms: float = 200  # One probe each; answers are expected within a quarter of it.
    hold_ms: float = 2_700  # Silence that makes a cut. Pauses of three quarters of it are borne.
    helpers: int = 3  # Members asked to ping for us, twice.
    gone_ms: float = 300_000
    sync_ms: float = (
        10_000  # Tables are compared with one member so often, and each period while they differ.
    )
    slow_ms: float = 2_000
    stall_ms: float = 300  # A tick later than this: we stood still.
    rest_ms: float = 2_000


class Watch(Hearing):
    def __init__(self, name, incarnation, seeds, rng, settings, now_ms):
        if not good_name(name) or not 0 < incarnation < MAX_INCARNATION:
            raise ValueError(f"{name!r} {incarnation} is no member")
        self.name, self.incarnation, self.rng, self.settings = name, incarnation, rng, settings
        self.seeds = tuple(sorted(set(seeds) - {name}))
        self.now_ms, self.outbox, self.counts = now_ms, [], Counter()
        self.table = Table()
        self.table.take(now_ms, name, incarnation, 0, ALIVE)
        self.own, self.changes = self.table.get(name), self.table.changes
        self.spread, self.ask = Spread(self), Ask(self)
        self.awake_ms = self.answered_ms = now_ms  # Nothing was missed since; somebody answered us.
        self.told_ms, self.rest_until_ms, self.returns = NEVER, NEVER, []
        self.score, self.leaving = 0, 0
        self.over, self.self_gone = (
            None,
            None,
        )  # 'left' or 'gone'; the incarnation that the next one must pass.
        self.gone_ms = settings.gone_ms * rng.uniform(1, 1.1)
        self.probe_ms = now_ms + rng.uniform(0, settings.period_ms / 5)
        self.slow_ms = now_ms + rng.uniform(0, settings.slow_ms)
        self.judge_ms = INF
        self.spread.sync_ms = now_ms + rng.uniform(0, settings.sync_ms)
        self._settle()

    # --- what others build on

    @property
    def view(self):
        return self.table.view

    def members(self):
        """[(name, incarnation, state)] of every name ever heard of, by name."""
        return [(m.name, m.incarnation, STATES[m.state]) for _, m in sorted(self.table.members.items())]

    def state_of(self, name):
        m = self.table.get(name)
        return None if m is None else STATES[m.state]

    @property
    def reach(self):
        """Names that answered us ourselves lately (three turns of a probe, 10 periods at least), and not three times in
        a row not."""
        since = self.now_ms - self.settings.period_ms * max(10, 3 * len(self.table.live()))
        return sorted(
            m.name
            for m in self.table.members.values()
            if m.direct_ms >= since and m.missed < 3 and m.state < LEFT
        )

    def leave(self, now_ms):
        """In order: told several times, then silent (`over` is 'left')."""
        self._enter(now_ms)
        if not self.over and not self.leaving:
            self.table.take(self.now_ms, self.name, self.incarnation, self.own.word, LEFT)
            self.leaving = LEAVES
            self._leave_step()
        self._settle()

    # --- the host's calls

    def tick(self, now_ms):
        self._enter(now_ms)
        now_ms = self.now_ms
        if self.leaving:
            if now_ms >= self.probe_ms:
                self._leave_step()
        elif not self.over:
            for probe in self.ask.step(now_ms):
                self._unanswered(probe)
            if now_ms >= self.probe_ms:
                self._period()
            if now_ms >= self.slow_ms:
                self._slow()
            if now_ms >= self.judge_ms:
                self._judge()
            self._come_back()
            if now_ms >= self.spread.sync_ms:
                self.spread.sync(now_ms)
            if now_ms >= self.spread.round_ms:
                self.spread.round(now_ms)
        self._settle()

    def heard(self, now_ms, sender, message):
        """`sender`: (name, incarnation) of the envelope. Never raises on what a message holds; what is dropped is
        counted."""
        self._enter(now_ms)
        if not self.over:
            self._heard(*sender, message)
        self._settle()

    def _enter(self, now_ms):
        self.now_ms = max(now_ms, self.now_ms)
        if not self.over and self.now_ms - self.due_ms > self.settings.stall_ms:
            self._stood_still(self.now_ms - self.due_ms)

    def _settle(self):
        if self.over:
            self.due_ms = INF
        elif self.leaving:
            self.due_ms = self.probe_ms
        else:
            back = self.rest_until_ms if self.own.state == CUT and self.answered_ms > self.told_ms else INF
            self.due_ms = min(
                self.probe_ms, self.slow_ms, self.judge_ms, self.spread.due_ms, self.ask.due_ms, back
            )

    def _stood_still(self, late_ms):
        """Risk: after a pause every clock here has run out and every answer is late, so that the front that was ill
        accuses all others. So nothing asked before counts, every suspicion starts afresh, and who is there is asked at
        once."""
        self.counts["stood_still"] += 1
        self.awake_ms = self.now_ms
        self.score = min(self.score + 1, MAX_SCORE)
        self.ask.clear()
        for m in self.table.suspects.values():
            m.since_ms = self.now_ms
        for m in self.table.cut.values():
            m.since_ms += late_ms
        if not self.leaving:
            self._ask_some()

    # --- talk

    def jitter(self, ms):
        return ms * self.rng.uniform(0.9, 1.1)

    def some(self, k, besides=()):
        """Up to k live members by chance, not ourselves."""
        live = self.table.live()
        if len(live) <= 4 * (k + len(besides) + 1):
            names = [n for n in live if n != self.name and n not in besides]
            return self.rng.sample(names, min(k, len(names)))
        found = {}
        for _ in range(8 * k):
            name = live[int(self.rng.random() * len(live))]
            if name != self.name and name not in besides:
                found[name] = None
                if len(found) == k:
                    break
        return list(found)

    def row(self, m, bare=False):
        row = row_of(m, self.now_ms - m.sign_ms)
        if bare:
            del row.by[:]
            row.ClearField("silent_ms")
        return row

    def send(self, name, message, first=(), rumours=True):
        self.outbox.append((name, self.spread.dress(message, first, rumours)))

    def send_about(self, name, message, about=None):
        """Who is held for anything but alive is told so before all else, and so is who shall ask for us."""
        first = [
            m
            for m in (self.table.get(name), self.table.get(about) if about else None)
            if m and (m.state != ALIVE or m.name == about)
        ]
        self.send(name, message, first)

    def _join(self, k=3):
        for name in self.rng.sample(self.seeds, min(k, len(self.seeds))):
            self.send(name, pb.Message(join=pb.Join()))

    def _leave_step(self):
        for name in self.some(LEAVES_TO):
            self.send(name, pb.Message(leave=pb.Leave()))
        self.leaving -= 1
        self.probe_ms = self.now_ms + self.jitter(self.settings.period_ms / 4)
        if not self.leaving:
            self.over = "left"

    # --- periods

    def _period(self):
        s = self.settings
        length_ms = s.period_ms * (1 + self.score)
        name = self.ask.next_name()
        if name is None:
            self._join()
        else:
            self.ask.probe(name, length_ms)
        if self.table.suspects and self._by_lot():
            self.ask.probe(self.rng.choice(list(self.table.suspects)), length_ms)
        if self._others() >= 2 and self.own.state == ALIVE and self._silence_ms() > ALONE * self.hold_ms():
            self.counts["alone"] += 1
            self._held_for_cut(self.own.word)
        self.probe_ms = self.now_ms + self.jitter(length_ms)

    def _slow(self):
        """Risk: without it, two parts of a fleet that have cut each other never hear of one another again, and fronts
        that each hold themselves for cut wait for an answer that none of them asks for."""
        out = [n for n in self.table.cut if n != self.name] + [
            n for n in self.seeds if self.table.get(n) is None
        ]
        if out:
            name = self.rng.choice(sorted(out))
            if self.table.get(name) is None:
                self.send(name, pb.Message(join=pb.Join()))
            else:
                self.ask.probe(name, self.settings.period_ms, once=True)
        share = max(1, len(self.table.live()) / (4 * max(1, len(out))))
        self.slow_ms = self.now_ms + self.jitter(self.settings.slow_ms) * share

    def _others(self):
        return len(self.table.live()) - (self.own.state <= SUSPECT)

    def _by_lot(self):
        return self.rng.random() * (self._others() + 1) < AT_ONCE

    def _ask_some(self):
        for name in self.some(8):
            self.ask.probe(name, self.settings.period_ms)

    # --- verdicts

    def hold_ms(self):
        return self.settings.hold_ms * max(1, log10(max(1, len(self.table.live()))))

    def _silence_ms(self):
        return self.now_ms - max(self.answered_ms, self.awake_ms)

    def well(self):
        """Whether our word on others is worth anything. Of two fronts each is the only witness."""
        if self.own.state != ALIVE:
            return False
        return self._others() < 2 or (
            self.answered_ms > self.awake_ms and self._silence_ms() < self.hold_ms()
        )

    def _unanswered(self, probe):
        m = self.table.get(probe.name)
        m.missed += 1
        if probe.helpers and not probe.nacks:
            self.score = min(self.score + 1, MAX_SCORE)
        if m.state > SUSPECT:
            return
        if not self.well() or (self._others() >= 2 and self.answered_ms < probe.sent_ms):
            self.counts["doubted"] += 1  # Nobody at all answered while this one did not.
            return
        if m.state == ALIVE:
            self.table.take(self.now_ms, m.name, m.incarnation, m.word, SUSPECT)
        if self.name not in m.accusers and len(m.accusers) < MAX_BY:
            m.accusers[self.name] = None
            self.spread.rumour(m.name)
        self._judge_at(self._deadline(m))

    def _deadline(self, m):
        """When a suspect is cut. The more accusers, the sooner, down to `hold` after the last answer that anybody told
        us of."""
        hold_ms = self.hold_ms()
        soon = max(m.since_ms + FLOOR * hold_ms, max(m.sign_ms, self.awake_ms) + hold_ms)
        late = max(soon, m.since_ms + 3 * hold_ms)
        wanted = min(ACCUSERS, self._others())
        share = 1 if wanted < 2 else min(1, log(max(1, len(m.accusers))) / log(wanted))
        return max(late - (late - soon) * share, m.later_ms)

    def _judge_at(self, at_ms):
        self.judge_ms = min(self.judge_ms, at_ms)

    def _judge(self):
        now, self.judge_ms = self.now_ms, INF
        for m in list(self.table.suspects.values()):
            if self._deadline(m) <= now:
                if self.well():
                    self.table.take(now, m.name, m.incarnation, m.word, CUT)
                    self.spread.rumour(m.name)
                    continue
                m.later_ms = now + self.settings.period_ms
            self._judge_at(self._deadline(m))
        live, cut = len(self.table.live()), len(self.table.cut)
        for m in list(self.table.cut.values()):
            if m.name == self.name:
                continue
            at = max(m.since_ms + self.gone_ms, m.later_ms)
            if at <= now:
                if self.well() and 2 * live > live + cut:
                    self.table.take(now, m.name, m.incarnation, m.word, GONE)
                    self.spread.rumour(m.name)
                    continue
                at = m.later_ms = now + 10 * self.settings.period_ms
            self._judge_at(at)

    # --- what is said of us

    def _about_me(self, row):
        if row.incarnation < self.incarnation or self.leaving:
            return
        if row.incarnation > self.incarnation or row.state >= LEFT or row.word >= MAX_WORD - 1:
            self._end(row.incarnation)
        elif rank(row.incarnation, row.word, row.state) > rank(
            self.incarnation, self.own.word, self.own.state
        ):
            if row.state == CUT or self.own.state == CUT:
                self._held_for_cut(row.word)
            elif row.state == SUSPECT:
                self.counts["refuted"] += 1
                self.score = min(self.score + 1, MAX_SCORE)
                self._own_row(row.word + 1, ALIVE)
            else:
                self._own_row(row.word, ALIVE)

    def _own_row(self, word, state):
        self.table.take(self.now_ms, self.name, self.incarnation, word, state)
        self.spread.rumour(self.name)

    def _held_for_cut(self, word):
        """The fleet's word, or our own when nobody answers. The first return is free; each further one within ten
        minutes waits longer.
        Risk: a front that comes back by itself on a link that is bad throughout changes every view again and again."""
        if self.own.state != CUT:
            self.told_ms = self.now_ms
            self.returns = [t for t in self.returns if t > self.now_ms - REST_FORGET_MS][-16:]
            rest = (
                0 if not self.returns else min(MAX_REST, 2 ** (len(self.returns) - 1)) * self.settings.rest_ms
            )
            self.rest_until_ms = self.now_ms + self.jitter(rest)
            self._ask_some()
        self._own_row(word, CUT)

    def _come_back(self):
        """Risk: a front that hears and is not heard would hold itself for alive while all others hold it for cut: it
        waits for an answer."""
        if self.own.state == CUT and self.answered_ms > self.told_ms and self.now_ms >= self.rest_until_ms:
            self.returns.append(self.now_ms)
            self._own_row(self.own.word + 1, ALIVE)

    def _end(self, incarnation):
        """This incarnation is over. The host comes again with one above `self_gone`."""
        if incarnation > self.incarnation:
            self.table.take(self.now_ms, self.name, incarnation, 0, ALIVE)
        else:
            self.table.take(self.now_ms, self.name, incarnation, self.own.word, GONE)
        self.over, self.self_gone = "gone", incarnation
