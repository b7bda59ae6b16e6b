"""A front's rights: what it may spend of each tenant's quota without asking anybody.

No I/O. `take` when a query comes, `settle` when its work is told; `heard`, `tick`, `due_ms`, `outbox` for its talk
with the keeper, whom the host names (`keeper`: (name, generation), None: not known). Rights are in a book; they last
`term_ms` from the sending of the last ask that was answered, by this front's clock. A book that lapsed is sealed:
nothing is taken from it again, and the keeper is told its totals until the ledger has them. Amounts are whole
microseconds of engine work, times milliseconds."""

from lichenquay.admission.sliding_window import SlidingWindow
from lichenquay.quota import quota_pb2 as pb

MOST_ROWS = 8  # in one ask: a datagram of under 1,200 bytes
ASKS_AT_ONCE = 4
WINDOW_MS = 8000.0  # of queries that tell what is wanted
AHEAD = 4  # this part of the window's work is held
SENT = 64  # asks remembered


def stocks_of(figures, fronts):
    """What each of so many fronts holds of each tenant without any query: a quarter of the bucket for all of them.
    Risk: more is missed where the queries come, less by the first ones of a front."""
    return {f.tenant: f.bucket_us // (4 * fronts) for f in figures}


class Mine:
    """One tenant's in one book: totals, and what open queries have reserved."""

    __slots__ = ("known", "spent", "returned", "reserved", "noted", "sealed_no", "asked_no", "heard_no")

    def __init__(self, sealed_no=None):
        self.known = self.spent = self.returned = self.reserved = 0
        self.noted, self.sealed_no = (0, 0), sealed_no
        self.asked_no = self.heard_no = (
            0  # of the last ask for more, and of the last one whose answer tells of it
        )

    @property
    def free(self):
        return self.known - self.spent - self.returned - self.reserved

    def seal(self, no):
        """What is not reserved goes back; what is follows when its work is told."""
        self.sealed_no, self.returned = no, self.returned + self.free


class Rights:
    def __init__(self, name, incarnation, stocks, term_ms, period_ms=250.0, chance=None):
        """`stocks`: of each tenant the work in microseconds that is held where no query comes, too."""
        self.name, self.incarnation, self.stocks = name, incarnation, dict(stocks)
        self.term_ms, self.period_ms, self.chance = term_ms, period_ms, chance
        self.book, self.no, self.valid_ms = 1, 0, float("-inf")
        self.rows, self.old, self.tickets, self.debts = {}, {}, {}, {}  # old: {(book, tenant): Mine}, sealed
        self.demand = {t: SlidingWindow(WINDOW_MS / 16, 16) for t in self.stocks}
        self.latest = {t: SlidingWindow(250.0, 4) for t in self.stocks}
        self.largest, self.low = dict.fromkeys(self.stocks, 0), {}  # `low`: under it, an ask goes out at once
        self.scarce, self.owing, self.credit, self.sent, self.turn = (
            {},
            {},
            {},
            {},
            0,
        )  # the first two: until when
        self.pressed = self.leaving = False
        self.outbox, self.due_ms, self.asked_ms = [], float("inf"), float("-inf")
        self.lapses = self.senseless = 0
        self._keeper = None

    @property
    def keeper(self):
        return self._keeper

    @keeper.setter
    def keeper(self, keeper):
        """Who holds the ledger. Unknown: the front spends what it holds while that lasts."""
        if keeper != self._keeper:
            self._keeper = keeper
            self.due_ms = float("-inf") if keeper else float("inf")

    # queries

    def take(self, now_ms, tenant, estimate_ms, ticket):
        """Whether held rights cover a query; then its estimate is reserved until `settle` or `drop` of its ticket."""
        self.lapse(now_ms)
        if tenant not in self.stocks or self.leaving:
            return False
        amount = max(1, round(estimate_ms * 1000))
        self.demand[tenant].add(now_ms, amount)
        self.latest[tenant].add(now_ms, amount)
        self.largest[tenant] = max(amount, self.largest[tenant] * 7 // 8)
        row = self.rows.get(tenant)
        within = (
            row is not None and now_ms < self.valid_ms and not self.debts.get(tenant) and row.free >= amount
        )
        if within:
            row.reserved += amount
            self.tickets[ticket] = tenant, row, amount
        if not within or row.free < self.low.get(tenant, 0):
            self.hurry(now_ms)
        return within

    def settle(self, now_ms, ticket, work_ms):
        """The work told at a query's end: the rest comes back; work over the estimate is paid from what is held,
        then by later grants. 0 for a query that no engine can have run. A ticket not known (beyond quota): nothing."""
        self.lapse(now_ms)
        tenant, row, amount = self.tickets.pop(ticket, (None, None, 0))
        if row is None:
            return
        work = max(0, round(work_ms * 1000))
        row.reserved -= amount
        paid = min(work, row.free)  # of a sealed row: what this query had reserved
        row.spent += paid
        if row.sealed_no is not None:
            row.returned += row.free
        if work > paid:
            self.debts[tenant] = self.debts.get(tenant, 0) + work - paid
            self.pay(tenant)
            self.hurry(now_ms)

    def drop(self, now_ms, ticket):
        """A query that was killed, or whose client left, and that may have run: its work is never told. It costs its
        estimate. Risk: who leaves early runs for nothing."""
        amount = self.tickets.get(ticket, (None, None, 0))[2]
        self.settle(now_ms, ticket, amount / 1000)

    def pay(self, tenant):
        row, debt = self.rows.get(tenant), self.debts.get(tenant, 0)
        if row is not None and debt:
            paid = min(debt, row.free)
            row.spent += paid
            self.debts[tenant] = debt - paid

    # books

    def lapse(self, now_ms):
        """Risk: a front that was cut off or paused spends what the keeper has written off."""
        if self.valid_ms != float("-inf") and now_ms >= self.valid_ms:
            self.lapses += 1
            self.seal()
            if self._keeper:
                self.hurry(now_ms)

    def seal(self):
        for tenant, row in self.rows.items():
            row.seal(self.no)
            self.old[self.book, tenant] = row
        self.rows, self.valid_ms = {}, float("-inf")
        self.book += 1

    def return_all(self, now_ms):
        """The front leaves in order: nothing is taken any more, all that no open query has reserved goes back. What is
        granted after that pays debts alone. `leaving` is set back when it stays after all. Risk: a tenant overruns
        at a front and its debt leaves with it."""
        self.leaving = True
        self.seal()
        if self._keeper:
            self.due_ms = now_ms

    @property
    def returned(self):
        """After `return_all`: whether the ledger has all of it."""
        return self.leaving and not (self.old or self.rows or self.tickets or any(self.debts.values()))

    # talk with the keeper

    def heard(self, now_ms, sender, answer):
        """An answer. Totals only rise, so that one which is late, or comes twice, changes nothing."""
        self.lapse(now_ms)
        if (
            (answer.front, answer.incarnation) != (self.name, self.incarnation)
            or answer.book > self.book
            or any(
                r.tenant not in self.stocks
                or not 0 < r.book <= answer.book
                or r.spent_us + r.returned_us > r.granted_us
                for r in answer.rows
            )
        ):
            self.senseless += 1
            return
        current = answer.book == self.book
        if current and answer.closed:
            self.seal()
            current = False
        elif current:
            self.valid_ms = max(self.valid_ms, self.sent.get(answer.no, float("-inf")) + self.term_ms)
        for told in answer.rows:
            if told.book == self.book and current:
                self.granted(now_ms, answer.no, told)
            elif told.book < self.book:
                self.closed(answer.no, told)
        self.lapse(now_ms)
        if self.leaving and self.rows and not any(self.debts.values()):
            self.seal()
        if current and self.due_ms > now_ms + self.pace(now_ms):
            self.due_ms = now_ms + self.pace(now_ms)

    def granted(self, now_ms, no, told):
        until_ms = now_ms + 10 * self.period_ms
        self.scarce[told.tenant] = until_ms if told.scarce else now_ms
        self.owing[told.tenant] = until_ms if told.owes_us else now_ms
        self.credit[told.tenant] = told.owes_us / 1000, told.limit_us / 1000
        row = self.rows.get(told.tenant) if told.gone else self.rows.setdefault(told.tenant, Mine())
        if row is not None:
            row.heard_no = max(row.heard_no, no)
        if told.gone:
            return
        row.known = max(row.known, told.granted_us)
        row.noted = max(row.noted, (told.spent_us, told.returned_us))
        self.pay(told.tenant)

    def closed(self, no, told):
        """Of a sealed book. Risk: an answer from before the sealing says that a row is not there, and it was made
        later."""
        key = told.book, told.tenant
        row = self.old.get(key)
        if told.gone and row is not None and no > row.sealed_no:
            del self.old[key]
        elif not told.gone and row is None:  # granted to it when it was sealed already: all of it goes back
            self.old[key] = Mine(self.no)

    def target(self, now_ms, tenant):
        """What it wants to hold for the queries that come here: a quarter of the window's work, the last second's,
        or the largest of late. Risk: where queries begin to come, the window knows nothing of them for long."""
        if not self.demand[tenant].count(now_ms):
            return 0
        return max(
            int(self.demand[tenant].total(now_ms)) // AHEAD,
            int(self.latest[tenant].total(now_ms)),
            self.largest[tenant],
        )

    def lack(self, now_ms, tenant):
        """What its queries of the last second took. Only this is borrowed for. Risk: a tenant borrows for queries that come no more,
        and what it holds unspent keeps its debt from being repaid."""
        return (
            max(int(self.latest[tenant].total(now_ms)), self.largest[tenant])
            if self.latest[tenant].count(now_ms)
            else 0
        )

    def row_of(self, now_ms, tenant):
        """What an ask says of a tenant: first, what is over goes back."""
        row, need, lack = (
            self.rows.setdefault(tenant, Mine()),
            self.target(now_ms, tenant),
            self.lack(now_ms, tenant),
        )
        # Risk: a front that wants nothing of what was scarce, or owing, asks nothing, and never hears that it is over. So both are for a time.
        scarce, owing = (now_ms < told.get(tenant, now_ms) for told in (self.scarce, self.owing))
        if self.leaving or owing:  # a debtor holds no more than it needs now
            hold = keep = need = 0 if self.leaving else lack
        else:
            hold = 2 * need + (0 if scarce else self.stocks[tenant])
            keep = need if scarce else hold
        self.low[tenant] = need // 2
        if row.free > keep * 3 // 2:
            row.returned += row.free - keep
        debt = self.debts.get(tenant, 0)
        return pb.Row(
            tenant=tenant,
            book=self.book,
            known_us=row.known,
            spent_us=row.spent,
            returned_us=row.returned,
            upto_us=row.known + max(0, hold - row.free) + debt,
            need_us=max(0, need - row.free) + debt,
            lack_us=max(0, min(need, lack) - row.free) + debt,
        )

    def told(self, now_ms):
        """What asks say: what queries lack, what is sealed, what the ledger has not noted; by turns if too many."""
        rows = [self.row_of(now_ms, t) for t in self.stocks if not self.leaving or self.debts.get(t)]
        # Risk: what was granted to an ask whose answer was lost is never known of, once nothing more is wanted.
        rows = [
            r
            for r in rows
            if r.upto_us > r.known_us
            or self.rows[r.tenant].asked_no > self.rows[r.tenant].heard_no
            or r.known_us
            and (r.spent_us, r.returned_us) != self.rows[r.tenant].noted
        ]
        rows += [
            pb.Row(tenant=t, book=b, known_us=m.known, spent_us=m.spent, returned_us=m.returned, sealed=True)
            for (b, t), m in self.old.items()
        ]
        most = MOST_ROWS * ASKS_AT_ONCE
        if len(rows) > most:
            at, self.turn = self.turn % len(rows), self.turn + most // 2
            rows = rows[at:] + rows[:at]
            first = [r for r in rows if r.need_us][: most // 2]
            rows = first + [r for r in rows if r not in first][: most - len(first)]
        return rows

    def tick(self, now_ms):
        self.lapse(now_ms)
        if self._keeper is None or now_ms < self.due_ms:
            return
        self.asked_ms, rows = now_ms, self.told(now_ms)
        for at in range(0, max(1, len(rows)), MOST_ROWS):
            self.no += 1
            for row in rows[at : at + MOST_ROWS]:
                if row.book == self.book and row.upto_us > row.known_us:
                    self.rows[row.tenant].asked_no = self.no
            self.outbox.append(
                (
                    self._keeper[0],
                    pb.Ask(book=self.book, no=self.no, pressed=self.pressed, rows=rows[at : at + MOST_ROWS]),
                )
            )
            self.sent[self.no] = now_ms
            self.sent.pop(self.no - SENT, None)
        self.due_ms = now_ms + (self.pace(now_ms) if rows or self.leaving else self.term_ms / 4)

    def pace(self, now_ms):
        return self.period_ms * (0.9 + 0.2 * self.chance.random() if self.chance else 1.0)

    def hurry(self, now_ms):
        """An ask at once, but four a period at most."""
        if self._keeper:
            self.due_ms = min(self.due_ms, max(now_ms, self.asked_ms + self.period_ms / 4))

    # what is seen

    def seen(self, now_ms):
        """Of each tenant with rights here: what may be spent now and what was, here; what it owes and may owe, in the
        fleet as last heard. In milliseconds."""
        self.lapse(now_ms)
        return {
            t: (r.free / 1000, r.spent / 1000, *self.credit.get(t, (0.0, 0.0))) for t, r in self.rows.items()
        }
