"""What must be true of fronts in virtual time after every step, and at rest; it knows more than any front. Amounts are
microseconds."""

from hashlib import blake2b

from virtual_fleet import ACCOUNTS

from lichenquay.membership.member_state import MemberState
from lichenquay.quota.errors import LedgerError
from lichenquay.quota.ledger import Ledger

LIMITS = {a[0]: a[3] * 1000 for a in ACCOUNTS}
FAST = 1.05  # no clock is faster


class Broken(AssertionError):
    """An invariant does not hold."""


class Kept(dict):
    """Sealed rows of a front; what it forgets, the audit keeps."""

    def __init__(self, old):
        super().__init__(old)
        self.forgotten = []

    def __delitem__(self, key):
        self.forgotten.append((key, self[key]))
        super().__delitem__(key)


class Audit:
    def __init__(self):
        self.ledger, self.digests, self.rows, self.closed = Ledger(), {}, {}, set()
        self.lapsed, self.spent, self.found, self.generations = set(), {}, [], {}
        self.within = self.beyond = 0
        self.most_owed, self.lent, self.repaid = 0, 0, 0

    def broken(self, what):
        """Risk: a part that bears every error bears ours. So what was found is kept, and looked at by the run."""
        self.found.append(what)
        raise Broken(what)

    def must(self, holds, what, *more):
        if not holds:
            self.broken(what.format(*more))

    # after every step

    def step(self, p):
        holders = [
            q
            for q in self.world.all.values()
            if q.fleet is not None
            and q.fleet.quota_participant is not None
            and q.fleet.quota_participant.group.holds(q.now_ms())
        ]
        if holders:
            self.must(len(holders) < 2, "two hold the ledger: {}", [q.name for q in holders])
            q = holders[0]
            g = q.fleet.quota_participant.group.generation
            first = self.generations.setdefault(g, (q.name, q.starts))
            self.must(first == (q.name, q.starts), "generation {} is held by {} and {}", g, first, q.name)
        if p.fleet is None:
            return
        self.members(p)
        self.keeper(p)
        self.rights(p)

    def members(self, p):
        watch, seen = p.fleet.detector, getattr(p, "seen_of", None)
        if seen is None or seen[0] is not watch:
            seen = p.seen_of = [watch, 0, {}]
            if watch.incarnation not in p.incarnations:
                p.incarnations.append(watch.incarnation)
        for name, m in watch.table.members.items():
            is_over = m.state in (MemberState.LEFT, MemberState.REMOVED)
            now = (m.incarnation, is_over, 0 if is_over else m.refutation, m.state.number)
            old = seen[2].get(name)
            if now == old:
                continue
            self.must(old is None or now > old, "{} goes back on {}: {} after {}", p.name, name, now, old)
            of = self.world.all.get(name)
            self.must(
                of and m.incarnation in of.incarnations,
                "{} holds {} {}, who never was",
                p.name,
                name,
                m.incarnation,
            )
            self.must(
                m.state is not MemberState.LEFT or m.incarnation in of.left,
                "{} holds {} for left, which it has not",
                p.name,
                name,
            )
            self.must(old is None or watch.view.number >= seen[1], "{}: a lower view", p.name)
            seen[2][name] = now
        seen[1] = watch.view.number

    def keeper(self, p):
        made, old = p.fleet.quota_participant.leader.committed, getattr(p, "made_of", (None, 0))
        if made is None or made is old[0] and made.record_number == old[1]:
            return
        fresh = made is not old[0]
        p.made_of = made, made.record_number
        try:
            made.check()
        except LedgerError as bad:
            self.broken(f"the ledger at {p.name}: {bad}")
        state = made.state()
        digest = blake2b(state, digest_size=8).digest()
        self.must(
            not fresh or made.record_number >= self.ledger.record_number,
            "{} begins at record {}, {} was made",
            p.name,
            made.record_number,
            self.ledger.record_number,
        )
        self.must(
            self.digests.setdefault(made.record_number, digest) == digest,
            "record {} is another one at {}",
            made.record_number,
            p.name,
        )
        if made.record_number > self.ledger.record_number:
            self.learn(Ledger.load(state))

    def learn(self, ledger):
        """Another record was made."""
        for key, rows in ledger.epochs.items():
            for tenant, row in rows.items():
                at = *key, tenant
                before = self.rows.get(at)
                if before:
                    risen = (
                        row.granted_us - before.granted_us,
                        row.spent_us - before.spent_us,
                        row.returned_us - before.returned_us,
                    )
                    self.must(min(risen) >= 0, "totals of {} fall", at)
                self.must(
                    key not in self.lapsed or before and row.granted_us == before.granted_us,
                    "{} is granted to after it was written off",
                    at,
                )
                self.rows[at] = row
        self.lapsed |= ledger.expired
        for tenant, a in ledger.accounts.items():
            old = self.ledger.accounts.get(tenant)
            self.must(a.debt_us <= LIMITS[tenant], "{} owes more than its limit", tenant)
            self.must(old is None or a.spent_us >= old.spent_us, "the work of {} falls", tenant)
            self.must(a.issued_us <= self.most(a), "more of {} is issued than its rate and bucket", tenant)
            self.most_owed, self.lent = max(self.most_owed, a.debt_us), max(self.lent, a.lent_us)
            self.repaid = max(self.repaid, a.repaid_us)
        self.ledger = ledger
        self.truths()

    def most(self, account):
        return account.terms.bucket_us + account.terms.rate_us * self.world.now * FAST / 1000

    def rights(self, p):
        rights = p.fleet.quota_participant.escrow
        if not p.lives or p.lives[-1][1] is not rights:
            rights.sealed_holdings = Kept(rights.sealed_holdings)
            p.lives.append((rights.incarnation, rights))
        for (book, tenant), mine in [((rights.epoch, t), m) for t, m in rights.holdings.items()] + list(
            rights.sealed_holdings.items()
        ):
            used = mine.spent_us + mine.reserved_us
            least = min(mine.free_us, mine.spent_us, mine.reserved_us, mine.returned_us)
            self.must(least >= 0, "{} spends what it has not", p.name)
            if mine.granted_us or used:
                row = self.rows.get((p.name, rights.incarnation, book, tenant))
                self.must(
                    row and mine.granted_us <= row.granted_us, "{} holds what no record granted", p.name
                )
                self.must(used <= row.granted_us - row.returned_us, "{} spends what went back", p.name)

    def took(self, p, tenant, within):
        self.within, self.beyond = self.within + within, self.beyond + (not within)
        if within:
            rights = p.fleet.quota_participant.escrow
            key = p.name, rights.incarnation, rights.epoch
            self.must(key not in self.lapsed, "{} spends what was written off", key)
            self.must((*key, tenant) in self.rows, "{} spends what no record granted", key)
            self.truths()

    def truth(self, tenant, told=False):
        """What fronts of all lives have spent, and reserved."""
        total = 0
        for p in self.world.all.values():
            for _, rights in p.lives:
                rows = [m for t, m in rights.holdings.items() if t == tenant]
                rows += [
                    m
                    for (_, t), m in [*rights.sealed_holdings.items(), *rights.sealed_holdings.forgotten]
                    if t == tenant
                ]
                total += sum(
                    m.spent_us + (0 if told else m.reserved_us) for m in {id(m): m for m in rows}.values()
                )
        return total

    def truths(self):
        for tenant, a in self.ledger.accounts.items():
            truth = self.truth(tenant)
            granted = a.spent_us + a.held_us + a.written_off_us + a.lost_us
            self.must(truth <= granted, "{}: taken as within quota, and not granted", tenant)
            self.must(truth <= self.most(a) + a.debt_us, "{}: taken beyond rate, bucket and credit", tenant)
            self.must(a.spent_us <= self.truth(tenant, True), "{}: counted as spent, and nobody did", tenant)

    # at rest

    def unrest(self):
        """What has not come to rest, or None."""
        up = [p for p in self.world.all.values() if p.fleet is not None]
        holders = [p for p in up if p.fleet.quota_participant.group.holds(p.now_ms())]
        if len(holders) != 1 or holders[0].fleet.quota_participant.leader.committed is None:
            return "no keeper in office"
        if len({p.fleet.detector.view.digest for p in up}) > 1:
            return f"views differ: {[(p.name, p.fleet.detector.members()) for p in up]}"
        group = holders[0].fleet.quota_participant.group
        for p in up:
            states = {n: p.fleet.detector.state_of(n) for n in self.world.all}
            for q in self.world.all.values():
                if states[q.name] not in (
                    ("alive",) if q.fleet is not None else ("left", "faulty", "removed")
                ):
                    return f"{p.name} holds {q.name} for {states[q.name]}"
            rights = p.fleet.quota_participant.escrow
            if (
                p.fleet.is_leaving
                or rights.sealed_holdings
                or rights.reservations
                or any(rights.overruns_us.values())
            ):
                return (
                    f"{p.name}: {'leaves' if p.fleet.is_leaving else 'sealed books, open queries or debts'}"
                )
            if rights.leader != (holders[0].name, group.generation):
                return f"{p.name} takes {rights.leader} for the keeper"
            for tenant, mine in rights.holdings.items():
                row = self.ledger.epochs.get((p.name, rights.incarnation, rights.epoch), {}).get(tenant)
                noted = (row.granted_us, row.spent_us, row.returned_us) if row else (0, 0, 0)
                if noted != (mine.granted_us, mine.spent_us, mine.returned_us):
                    return f"{p.name} and the ledger differ on {tenant}"
        if self.ledger.loans:
            return "loans are not repaid"
        for key in self.ledger.epochs:
            f = self.world.all[key[0]].fleet
            if key not in self.ledger.expired and not (
                f and key[1:] == (f.incarnation, f.quota_participant.escrow.epoch)
            ):
                return f"book {key} is not closed"
        for p in self.world.all.values():
            for incarnation, rights in p.lives:
                for (book, tenant), mine in rights.sealed_holdings.forgotten:
                    row = self.rows.get((p.name, incarnation, book, tenant))
                    self.must(
                        mine.spent_us <= (row.granted_us if row else 0),
                        "{} spent other than was noted",
                        p.name,
                    )
        return None
