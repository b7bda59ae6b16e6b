"""The keeper of the quota's ledger: at the front that holds the ledger's group, and at no other.

No I/O: `heard` and `tick` bring time in, `outbox` takes answers out. What asks tell and want is gathered for a
period, decided as one record, made by the group, and only then told. Two ledgers: `ahead` has what was decided,
`made` what the group has made; they differ while a write is out. Where the end of a write is in doubt, the keeper is
none until the group's next generation."""

from collections.abc import Callable
from typing import Protocol

from google.protobuf.message import DecodeError

from lichenquay.lease.settings import CLOCK_DRIFT_BOUND
from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.ledger import Ledger, LedgerError, Senseless

CHUNK = 4  # one ask is granted no more than this part of a bucket
MOST_WORDS = 8192  # gathered in a period; what is over is asked again by its front
ASKS_AT_ONCE = 8  # of a front in a period
LOANS_AT_ONCE = 4  # of a tenant in a period, each from another lender
ANY = 1 << 63  # no total is as large


class Group(Protocol):
    """What the keeper needs of the replicated group that the ledger is. `done(now_ms, ok)` is called once for each
    write, later or within it: made (True), surely not (False), in doubt (None). Without it this process never keeps
    again."""

    generation: int

    def holds(self, now_ms: float) -> bool: ...
    def write(self, now_ms: float, record: bytes, done: Callable[[float, object], None]) -> None: ...
    def snapshot(self) -> tuple: ...  # (state, records after it), in bytes: what the holder found and wrote


def sense(ask):
    """Whether a front can have said this."""
    tenants = {(r.tenant, r.book) for r in ask.rows}
    return (
        bool(ask.book and ask.no)
        and len(tenants) == len(ask.rows)
        and all(
            0 < r.book <= ask.book
            and (r.book == ask.book or r.sealed)
            and r.spent_us + r.returned_us <= r.known_us < ANY
            and r.upto_us < ANY
            and max(r.need_us, r.lack_us) < ANY
            for r in ask.rows
        )
    )


class Keeper:
    def __init__(self, group, figures, term_ms, period_ms=200.0):
        self.group, self.figures, self.term_ms, self.period_ms = group, list(figures), term_ms, period_ms
        self.silence_ms = term_ms * (1 + CLOCK_DRIFT_BOUND)  # then a front's rights have surely lapsed
        self.outbox, self.due_ms = [], 0.0
        self.doubted = None  # generation in which a write's end is in doubt: this front does not act in it
        self.out = None  # the write whose end is not known, and its generation
        self.senseless = self.crowded = self.stray = self.barred = self.records = self.doubts = 0
        self.trouble = None  # why it is no keeper though its front holds the group
        self.leave()

    def leave(self):
        self.made = self.ahead = self.generation = None
        self.last, self.newest, self.fronts = {}, {}, {}
        self.asks, self.words, self.answering, self.scarce = {}, [], [], {}

    def in_office(self, now_ms):
        if not self.group.holds(now_ms) or self.group.generation == self.doubted:
            if self.made:
                self.leave()
            return False
        if self.made is None or self.generation != self.group.generation:
            self.leave()
            if self.out:  # Risk: a record of an office that was left is made after the state was read
                return False
            self.generation = self.group.generation
            try:
                state, records = self.group.snapshot()
                self.made, self.ahead = Ledger.load(state, records), Ledger.load(state, records)
            except (LedgerError, DecodeError) as e:
                # Risk: a ledger of a newer version, or a spoilt one, is begun anew and all loans are forgiven.
                self.trouble, self.doubted = f"the quota's ledger cannot be read: {e}", self.generation
                self.leave()
                return False
            self.office_ms = self.beat_ms = self.batch_ms = now_ms
        return True

    # what fronts say

    def heard(self, now_ms, sender, ask):
        """An ask. Totals count whenever they come; only asks of a front's newest book are granted and answered."""
        if not self.in_office(now_ms):
            self.stray += 1
            return
        if len(self.words) > MOST_WORDS:
            self.crowded += 1
            return
        if not sense(ask):
            self.senseless += 1
            return
        name, incarnation = sender
        self.last[name, incarnation, ask.book] = now_ms
        self.words += [(name, incarnation, row) for row in ask.rows]
        at = incarnation, ask.book, ask.no
        newest = self.newest.get(name, at)
        if at >= newest:
            self.newest[name] = at
            self.fronts[name] = now_ms, ask.pressed
        asks = self.asks.setdefault(name, [])
        if at[:2] >= newest[:2] and len(asks) < ASKS_AT_ONCE:
            asks.append((incarnation, ask))
            if any(r.need_us for r in ask.rows):
                self.due_ms = min(self.due_ms, max(now_ms, self.batch_ms + self.period_ms / 2))
            self.due_ms = min(self.due_ms, max(now_ms, self.batch_ms + self.period_ms))

    def tick(self, now_ms):
        self.due_ms = now_ms + self.period_ms
        if not self.in_office(now_ms) or self.out:
            return
        if self.asks or self.words or now_ms >= self.batch_ms + 5 * self.period_ms:
            self.batch(now_ms)

    # one batch: decided on `ahead`, made by the group, applied to `made`, told

    def batch(self, now_ms):
        self.batch_ms, changes = now_ms, []
        asks, words, self.asks, self.words = self.asks, self.words, {}, []
        asks = {
            name: [(i, a) for i, a in told if (i, a.book) >= self.newest[name][:2]]
            for name, told in asks.items()
        }

        def do(change):
            if change is not None:
                self.ahead.change(change)
                changes.append(change)
            return change is not None

        for figures in self.figures:
            do(self.ahead.decide_open(figures))
        elapsed, self.beat_ms = self.elapsed(now_ms)
        do(self.ahead.decide_beat(elapsed))
        for name, incarnation, row in words:
            try:
                do(self.ahead.decide_word(name, incarnation, row))
            except Senseless:
                self.senseless += 1
        for key in [k for k in self.ahead.books if k not in self.ahead.lapsed]:
            if now_ms >= self.last.get(key, self.office_ms) + self.silence_ms:
                do(self.ahead.decide_lapse(*key))
        self.share_out(now_ms, asks, elapsed, do)
        self.forget(now_ms)
        self.answering = [(name, *said) for name, told in asks.items() for said in told]
        if not changes:
            self.answer(now_ms)
            return
        record = pb.Record(no=self.made.no + 1, changes=changes)
        self.ahead.no, self.out = record.no, (record, self.generation)
        self.group.write(now_ms, record.SerializeToString(), lambda at_ms, ok: self.done(at_ms, record, ok))

    def elapsed(self, now_ms):
        """Whole milliseconds since the last beat, and when they ended."""
        elapsed = int(now_ms - self.beat_ms)
        return elapsed, self.beat_ms + elapsed

    def done(self, now_ms, record, ok):
        if not self.out or record is not self.out[0]:
            return
        generation, self.out = self.out[1], None
        if not ok:
            # Risk: what was decided may be made or not; whoever acts next must find out from the group.
            self.doubts += 1
            self.doubted = generation if ok is None else self.doubted
            self.leave()
        if self.made is None or self.generation != generation:
            return
        self.made.apply(record)
        self.records += 1
        if self.in_office(now_ms):
            self.answer(now_ms)

    def answer(self, now_ms):
        answering, self.answering = self.answering, []
        for name, incarnation, ask in answering:
            out = pb.Answer(
                front=name,
                incarnation=incarnation,
                generation=self.generation,
                book=ask.book,
                no=ask.no,
                closed=not self.made.may_grant(name, incarnation, ask.book),
            )
            for row in ask.rows:
                have = self.made.books.get((name, incarnation, row.book), {}).get(row.tenant)
                told, account = (
                    out.rows.add(tenant=row.tenant, book=row.book),
                    self.made.accounts.get(row.tenant),
                )
                told.gone, told.scarce = have is None, row.tenant in self.scarce
                if account is not None:
                    told.owes_us, told.limit_us = account.owes, account.figures.limit_us
                if have is not None:
                    told.granted_us, told.spent_us, told.returned_us = have.granted, have.spent, have.returned
            self.outbox.append((name, out))

    def forget(self, now_ms):
        """Risk: fronts that come and go fill the memory."""
        old = now_ms - 2 * self.silence_ms
        self.last = {k: at for k, at in self.last.items() if at > old or k in self.ahead.books}
        self.fronts = {n: f for n, f in self.fronts.items() if f[0] > old}

    # who gets what

    def share_out(self, now_ms, asks, elapsed, do):
        wants = self.wanted(asks)
        keep = {}  # what a debtor that asks keeps of this period, so that it never starves
        for tenant in wants:
            f = self.ahead.accounts[tenant].figures
            if any(w.need for w in wants[tenant]):
                keep[tenant] = f.rate_us * elapsed * (1000 - f.repay_permille) // 1000000
        for tenant, rows in wants.items():
            account = self.ahead.accounts[tenant]
            while account.claims and (short := sum(w.need for w in rows) - account.pool) > 0:
                if not do(self.ahead.decide_recall(tenant, short, keep)):
                    break
        for tenant, rows in wants.items():
            self.portion(tenant, rows, "need", do)
            if self.ahead.accounts[tenant].pool:
                self.portion(tenant, rows, "want", do)
            if self.ahead.accounts[tenant].pool:
                self.scarce.pop(tenant, None)
        short = [t for t, rows in wants.items() if any(w.need for w in rows)]
        self.scarce = {t: at for t, at in self.scarce.items() if at > now_ms - 10 * self.period_ms}
        self.scarce |= dict.fromkeys(short, now_ms)
        pressed = [p for at, p in self.fronts.values() if at > now_ms - self.silence_ms]
        if 2 * sum(pressed) >= len(pressed):
            return
        for tenant in short:
            roomy = [w for w in wants[tenant] if w.lack and not w.pressed]
            self.barred += bool(roomy) and self.ahead.overdue(tenant)
            for _ in range(LOANS_AT_ONCE):
                lacks = sum(w.lack for w in roomy)
                if not lacks or not do(self.ahead.decide_loan(tenant, lacks)):
                    break
                self.portion(tenant, roomy, "lack", do)

    def wanted(self, asks):
        """What each front still wants, by tenant. Wants are totals: an ask that comes twice is granted once."""
        out = {}
        for name, incarnation, ask in [(name, *said) for name, told in asks.items() for said in told]:
            for row in ask.rows:
                account = self.ahead.accounts.get(row.tenant)
                if account is None or row.book != ask.book or row.sealed:
                    continue
                have = self.ahead.books.get((name, incarnation, ask.book), {}).get(row.tenant)
                granted = have.granted if have else 0
                want = min(max(0, row.upto_us - granted), account.figures.bucket_us // CHUNK)
                need = min(max(0, row.need_us - (granted - row.known_us)), want)
                lack, key = min(row.lack_us, need), (name, incarnation, ask.book)
                if want and self.ahead.may_grant(*key):
                    w = out.setdefault(row.tenant, {}).setdefault(key, Want(key, ask.pressed))
                    w.lack, w.need, w.want = max(w.lack, lack), max(w.need, need), max(w.want, want)
        return {tenant: list(rows.values()) for tenant, rows in out.items()}

    def portion(self, tenant, rows, what, do):
        """All that is wanted, or of the pool as much as each wants of the whole."""
        pool, total = self.ahead.accounts[tenant].pool, sum(getattr(w, what) for w in rows)
        for w in rows:
            amount = getattr(w, what)
            part = amount if total <= pool else amount * pool // total
            pool, total = pool - part, total - amount
            if do(self.ahead.decide_grant(tenant, *w.key, part)):
                w.lack, w.need, w.want = max(0, w.lack - part), max(0, w.need - part), w.want - part

    # what is seen

    def seen(self):
        """Of each tenant: pool, held, spent, outstanding and limit, in milliseconds. Empty where this is no keeper."""
        accounts = self.made.accounts if self.made else {}
        return {
            t: tuple(v / 1000 for v in (a.pool, a.held, a.spent, a.owes, a.figures.limit_us))
            for t, a in accounts.items()
        }


class Want:
    """What one front still wants of one tenant's rights; `need` is part of `want`, and `lack` of `need`."""

    __slots__ = ("key", "pressed", "lack", "need", "want")

    def __init__(self, key, pressed):
        self.key, self.pressed, self.lack, self.need, self.want = key, pressed, 0, 0, 0
