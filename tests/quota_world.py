"""Virtual time for the quota's decision modules: fronts with clocks of their own, a group in memory that stands in for
`lease`, a network with every fault, and an audit after every step that knows more than any front."""

from heapq import heappop, heappush
from random import Random

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.escrow_demand import idle_stocks
from lichenquay.quota.ledger import Ledger
from lichenquay.quota.ledger_leader import LedgerLeader

TERM_MS, PERIOD_MS, STEP_MS = 2000.0, 200.0, 50.0


def figures(tenant, rate=100, bucket=200, limit=100, term_ms=5000, repay=500, lend=250):
    """Rate, bucket and limit in milliseconds of work."""
    return pb.Open(
        tenant=tenant,
        rate_us=rate * 1000,
        bucket_us=bucket * 1000,
        limit_us=limit * 1000,
        term_ms=term_ms,
        repay_permille=repay,
        lend_permille=lend,
    )


class Violation(AssertionError):
    pass


def must(holds, what):
    if not holds:
        raise Violation(what)


class Kept(dict):
    """Sealed rows of a front; what it forgets, the audit keeps."""

    def __init__(self):
        super().__init__()
        self.forgotten = []

    def __delitem__(self, key):
        self.forgotten.append((key, self[key]))
        super().__delitem__(key)


class Group:
    """The ledger's group, as `lease` promises it: one holder, records in order, endings that are sometimes in
    doubt."""

    def __init__(self, world):
        self.world, self.generation, self.holder, self.out = world, 0, None, []
        self.log, self.kept, self.compacted = [], b"", 0
        self.audit = Ledger()  # all that was made, replayed
        self.entries = {}  # of it, with those that it forgot since
        self.states = {0: self.audit.state()}
        self.doubt = 0.0
        self.delay = lambda: 5.0

    def elect(self, front):
        """A new generation. Writes that are out are kept or not, before the new holder reads; the old one is not
        told."""
        for write in self.out:
            self.end(write, None, self.world.random.random() < 0.5)
        self.out, self.generation, self.holder = [], self.generation + 1, front

    def write(self, seat, record, done):
        write = [seat, record, done, self.generation]
        self.out.append(write)
        self.world.at(self.delay(), lambda: self.ended(write))

    def ended(self, write):
        if write in self.out:
            self.out.remove(write)
            doubt = self.world.random.random() < self.doubt
            self.end(write, None if doubt else True, not doubt or self.world.random.random() < 0.5)
            if doubt:
                self.holder = None

    def end(self, write, ok, made):
        seat, record, done, generation = write
        if made:
            self.make(record)
        front = self.world.fronts[seat.name]
        if front.seat is seat:  # else its process has ended
            front.call(lambda now_ms: done(now_ms, ok))

    def make(self, record):
        record = pb.Record.FromString(record)
        if any(change.HasField("loan") for change in record.changes):
            ledger = Ledger.load(self.states[self.audit.record_number])
            for change in record.changes:
                self.world.audit_change(ledger, change)
                ledger.apply_change(change)
        must(self.audit.apply(record), "a record that was made before")
        self.audit.check()
        self.log.append(record.SerializeToString())
        self.states[self.audit.record_number] = self.audit.state()
        for key, rows in self.audit.epochs.items():
            for tenant, row in rows.items():
                self.entries[*key, tenant] = row

    def snapshot(self):
        """A state, and records of which some are in it already."""
        if len(self.log) > 40:
            self.compacted = len(self.log) - 10
        start = max(0, self.compacted - 3)
        return self.states[self.compacted], self.log[start:]


class Seat:
    """One process's view of the group."""

    def __init__(self, group, name):
        self.group, self.name = group, name

    @property
    def generation(self):
        return self.group.generation

    def holds(self, now_ms):
        return self.group.holder == self.name

    def write(self, now_ms, record, done):
        self.group.write(self, record, done)

    def snapshot(self):
        return self.group.snapshot()


class Front:
    def __init__(self, world, name, rate, offset):
        self.world, self.name, self.rate, self.offset, self.incarnation = world, name, rate, offset, 0
        self.seat = None
        self.lives, self.inbox, self.up, self.paused = [], [], False, False
        self.start()

    @property
    def now_ms(self):
        return self.world.now * self.rate + self.offset

    def start(self):
        world, self.incarnation, self.up, self.paused, self.inbox = (
            self.world,
            self.incarnation + 1,
            True,
            False,
            [],
        )
        stocks = idle_stocks(world.figures, world.count)
        self.seat = Seat(world.group, self.name)
        self.keeper = world.make_keeper(self.seat, world.figures, TERM_MS, PERIOD_MS)
        self.rights = world.make_rights(self.name, self.incarnation, stocks, TERM_MS, PERIOD_MS, world.random)
        self.rights.sealed_holdings = Kept()
        self.lives.append(self.rights)
        self.known = self.checked = None

    def kill(self):
        self.up, self.seat = False, None

    def call(self, what):
        """Something happens to the process: now, or when it runs again."""
        if self.up and self.paused:
            self.inbox.append(what)
        elif self.up:
            what(self.now_ms)

    def resume(self):
        self.paused, inbox, self.inbox = False, self.inbox, []
        for what in inbox:
            self.call(what)

    def step(self):
        """Whether anything happened."""
        if not self.up or self.paused:
            return False
        now, busy = self.now_ms, False
        holder = self.world.group.holder
        if (holder, self.world.group.generation) != self.known:
            self.known = holder, self.world.group.generation
            self.rights.leader = self.known if holder else None
        for part in (self.rights, self.keeper):
            if now >= part.due_ms:
                part.tick(now)
                busy = True
            out, part.outbox[:] = list(part.outbox), []
            for to, message in out:
                self.world.send(self, to, message)
        return busy


class World:
    def __init__(self, seed=0, fronts=3, accounts=(), keeper=LedgerLeader, rights=TokenEscrow, drift=0.024):
        self.random, self.now, self.events, self.number, self.count = Random(seed), 0.0, [], 0, fronts
        self.figures, self.make_keeper, self.make_rights = list(accounts), keeper, rights
        self.lose = self.double = self.late = 0.0
        self.cut, self.sent, self.mutate = set(), 0, None
        self.within, self.beyond, self.ticket = {}, {}, 0
        self.group = Group(self)
        spread = [1 + drift * (2 * i / max(1, fronts - 1) - 1) for i in range(fronts)]
        self.fronts = {f"f{i}": Front(self, f"f{i}", spread[i], 1000.0 * i * i) for i in range(fronts)}

    # time and network

    def at(self, after_ms, what):
        self.number += 1
        heappush(self.events, (self.now + after_ms, self.number, what))

    def run(self, until):
        while self.now < until:
            step, busy = self.now + STEP_MS, False
            while self.events and self.events[0][0] <= step:
                at, _, what = heappop(self.events)
                self.now = max(self.now, at)
                what()
                busy = True
            self.now = step
            for front in self.fronts.values():
                busy = front.step() or busy
            if busy:
                self.audit()

    def send(self, front, to, message):
        """Each message has a number, so that a run can be repeated with one of them changed."""
        self.sent += 1
        link = (front.name, to)
        copies = [(to, front.name, front.incarnation, message, 2 + 8 * self.random.random())]
        if self.mutate:
            copies = self.mutate(self.sent, copies)
        for to, name, incarnation, message, delay in copies:
            if link in self.cut or self.random.random() < self.lose:
                continue
            times = 2 if self.random.random() < self.double else 1
            for _ in range(times):
                more = self.random.expovariate(1 / 2000) if self.random.random() < self.late else 0.0
                self.at(
                    delay + more,
                    lambda d=(to, name, incarnation, message.SerializeToString(), type(message)): (
                        self.deliver(*d)
                    ),
                )

    def deliver(self, to, name, incarnation, raw, kind):
        front = self.fronts.get(to)
        if front is not None:
            part = front.keeper if kind is pb.Ask else front.rights  # the process of then, not of later
            front.call(lambda now_ms: part.heard(now_ms, (name, incarnation), kind.FromString(raw)))

    # queries

    def query(self, front, tenant, estimate_ms, work_ms=None, runs_ms=100.0, ends="settle"):
        if not front.up or front.paused:
            return None
        self.ticket += 1
        ticket, rights, now = self.ticket, front.rights, front.now_ms
        within = rights.reserve(now, tenant, estimate_ms, ticket)
        if within:
            key = front.name, front.incarnation, rights.epoch
            must(key not in self.group.audit.expired, f"{key} spends what was written off")
            must(tenant in self.group.audit.epochs.get(key, {}), f"{key} spends what no record granted")
            work = estimate_ms if work_ms is None else work_ms
            end = (
                (lambda t: rights.settle(t, ticket, work))
                if ends == "settle"
                else (lambda t: rights.settle_at_estimate(t, ticket))
            )
            self.at(runs_ms, lambda: front.rights is rights and front.call(end))
        counts = self.within if within else self.beyond
        counts[tenant] = counts.get(tenant, 0) + 1
        return within

    # the audit

    def audit_change(self, ledger, change):
        """What a record may not do, by what was made before it."""
        if change.HasField("loan"):
            loan, to = change.loan, ledger.accounts[change.loan.borrower]
            ages = [x.age_ms for x in ledger.loans.values() if x.borrower == loan.borrower]
            must(max(ages, default=0) <= to.terms.term_ms, f"{loan.borrower} borrows while a loan is overdue")
            must(to.debt_us + loan.amount_us <= to.terms.limit_us, f"{loan.borrower} borrows over its limit")

    @staticmethod
    def holdings(life):
        yield from (((life.epoch, t), r) for t, r in life.holdings.items())
        yield from life.sealed_holdings.items()
        yield from life.sealed_holdings.forgotten

    def audit(self):
        """`truth`: what fronts of all lives have spent and reserved, which no ledger knows in time."""
        ledger = self.group.audit
        truth = dict.fromkeys(ledger.accounts, 0)
        for f in self.fronts.values():
            for life in f.lives:
                for (book, tenant), mine in self.holdings(life):
                    used = mine.spent_us + mine.reserved_us
                    free = mine.granted_us - used - mine.returned_us
                    must(
                        min(free, mine.spent_us, mine.reserved_us, mine.returned_us) >= 0,
                        f"{f.name} spends what it has not",
                    )
                    row = self.group.entries.get((f.name, life.incarnation, book, tenant))
                    if used:
                        truth[tenant] += used
                    if row is not None:
                        must(mine.granted_us <= row.granted_us, f"{f.name} holds what no record granted")
                        must(used <= row.granted_us - row.returned_us, f"{f.name} spends what went back")
            made = f.keeper.committed
            if made is not None and f.checked != (id(made), made.record_number):
                f.checked = id(made), made.record_number
                must(
                    made.state() == self.group.states.get(made.record_number),
                    f"the keeper at {f.name} has another ledger",
                )
        for tenant, a in ledger.accounts.items():
            must(
                truth[tenant] <= a.spent_us + a.held_us + a.written_off_us + a.lost_us,
                f"{tenant}: spent what was not granted",
            )
            most = a.terms.bucket_us + a.terms.rate_us * self.now * 1.03 / 1000
            must(a.issued_us <= most, f"{tenant}: more issued than its rate and bucket")
            must(truth[tenant] <= most + a.debt_us, f"{tenant}: spent more than its rate, bucket and loans")

    def rest(self, within_ms):
        """No more faults, no more queries: all comes to rest. What fronts that live hold is what the ledger says."""
        self.lose = self.double = self.late = self.group.doubt = 0.0
        self.cut, self.mutate = set(), None
        for f in self.fronts.values():
            if not f.up:
                f.start()
            elif f.paused:
                f.resume()
        if self.group.holder is None:
            self.group.elect("f0")
        until = self.now + within_ms
        while True:
            self.run(self.now + 500)
            try:
                return self.rested()
            except Violation:
                if self.now >= until:
                    raise

    def rested(self):
        ledger = self.group.audit
        must(all(at < self.now + 500 for at, _, _ in self.events), "a message is still under way")
        must(not ledger.loans, "loans are not repaid in time")
        for f in self.fronts.values():
            for life in f.lives:
                told = {}  # a late answer may make an empty row again of one that is noted
                for key, mine in life.sealed_holdings.forgotten:
                    told[key] = max(mine.spent_us, told.get(key, 0))
                for key, spent in told.items():
                    row = self.group.entries.get((f.name, life.incarnation, *key))
                    must(
                        spent == (row.spent_us if row else 0),
                        f"{f.name} spent and told other than the ledger noted",
                    )
            must(not f.rights.leaving or f.rights.is_returned, f"{f.name} has not left")
            must(
                not f.rights.sealed_holdings and not f.rights.reservations,
                f"{f.name} has sealed books that the ledger does not note",
            )
            must(not any(f.rights.overruns_us.values()), f"{f.name} has debts")
            for tenant, mine in f.rights.holdings.items():
                row = ledger.epochs.get((f.name, f.incarnation, f.rights.epoch), {}).get(tenant)
                must(
                    (row.granted_us, row.spent_us, row.returned_us)
                    == (mine.granted_us, mine.spent_us, mine.returned_us)
                    if row
                    else not mine.granted_us,
                    f"{f.name} and the ledger differ on {tenant}",
                )
        for key in ledger.epochs:
            now = self.fronts[key[0]]
            must(
                key in ledger.expired or key[1:] == (now.incarnation, now.rights.epoch),
                f"book {key} was not closed",
            )
            must(
                key not in ledger.expired or key[1] < now.incarnation,
                f"book {key}: its front lives and has told",
            )
