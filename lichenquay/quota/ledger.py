"""The quota's ledger: a state machine without time or chance of its own.

What may change it is a `Change`. The `decide_` methods look and return one, or None; a `Record` of changes is then
made durable by others, and `apply` brings it in. Amounts are whole microseconds of engine work, so that sums are
exact. For each tenant and after each record, `check` holds it to

    issued + borrowed + given back = pool + held + spent + lent + repaid + written off + spilled
    pool + held + what it lent and has not back <= bucket + what it owes

held: granted to books of fronts, neither told as spent nor returned; written off: the same of books that have lapsed;
spilled: came back from such a book when the bucket was full again. Docs: docs/design/quota.md."""

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.account import TOTALS, Account, Row

VERSION = 1
MOST_LAPSED = 64  # books of one front that are written off and remembered
MOST_LOANS = 64  # of one tenant at a time, about


class LedgerError(Exception):
    """A record that the ledger's laws forbid, or a state that breaks them; it never comes from a lost message."""


class Senseless(ValueError):
    """Totals that no front can have: told of more than was granted."""


class Ledger:
    def __init__(self):
        self.no = self.loans_made = 0
        self.accounts = {}  # tenant: Account
        self.books = {}  # (front, incarnation, book): {tenant: Row}, oldest first
        self.lapsed = set()  # of those
        self.latest = {}  # front: (incarnation, book, closed) of the newest book that had rights
        self.loans = {}  # id: pb.Loan, while it is not repaid; oldest first

    # what would change, decided without changing anything

    def decide_open(self, figures):
        have = self.accounts.get(figures.tenant)
        return None if have and have.figures == figures else pb.Change(open=figures)

    def decide_beat(self, elapsed_ms):
        idle = not self.loans and all(a.room <= 0 for a in self.accounts.values())
        return None if elapsed_ms < 1 or idle else pb.Change(beat=pb.Beat(elapsed_ms=elapsed_ms))

    def decide_word(self, front, incarnation, row):
        """A front's totals. Those that are not larger, or of a row that is not there, change nothing."""
        have = self.books.get((front, incarnation, row.book), {}).get(row.tenant)
        if have is None:
            return None
        if row.spent_us + row.returned_us > row.known_us or row.known_us > have.granted:
            raise Senseless(f"{front} tells of more than it was granted of {row.tenant}")
        spent, returned, sealed = self.risen(have, row)
        if (spent, returned, sealed) == (have.spent, have.returned, have.sealed):
            return None
        if spent + returned > have.granted:
            raise Senseless(f"{front} tells of more than it was granted of {row.tenant}")
        told = pb.Row(
            tenant=row.tenant,
            book=row.book,
            known_us=row.known_us,
            spent_us=row.spent_us,
            returned_us=row.returned_us,
            sealed=row.sealed,
        )
        return pb.Change(word=pb.Word(front=front, incarnation=incarnation, row=told))

    @staticmethod
    def risen(have, row):
        """The larger totals. Of a sealed book, what the front had not heard of it never will use."""
        unheard = have.granted - row.known_us if row.sealed else 0
        return (
            max(have.spent, row.spent_us),
            max(have.returned, row.returned_us + unheard),
            have.sealed or row.sealed,
        )

    def decide_lapse(self, front, incarnation, book):
        key = front, incarnation, book
        if key not in self.books or key in self.lapsed:
            return None
        return pb.Change(lapse=pb.Lapse(front=front, incarnation=incarnation, book=book))

    def decide_grant(self, tenant, front, incarnation, book, amount_us):
        account = self.accounts.get(tenant)
        amount = min(amount_us, account.pool) if account else 0
        if amount <= 0 or not self.may_grant(front, incarnation, book):
            return None
        return pb.Change(
            grant=pb.Grant(tenant=tenant, front=front, incarnation=incarnation, book=book, amount_us=amount)
        )

    def may_grant(self, front, incarnation, book):
        """Risk: a late ask of an incarnation or book that ended gets rights that nobody will use or tell of."""
        latest = self.latest.get(front, (0, 0, False))
        return (incarnation, book) > latest[:2] or (incarnation, book) == latest[:2] and not latest[2]

    def overdue(self, tenant):
        term = self.accounts[tenant].figures.term_ms
        return any(x.borrower == tenant and x.age_ms > term for x in self.loans.values())

    def decide_loan(self, borrower, amount_us):
        """From the one with the most unused that owes nothing itself. A loan is at least a part of the limit, so
        that there are few at a time; less where the limit or the lender has less."""
        to = self.accounts.get(borrower)
        if to is None or to.pool or self.overdue(borrower):
            return None
        lender = max(
            (t for t, a in self.accounts.items() if t != borrower and not a.owes),
            key=lambda t: self.accounts[t].spare,
            default=None,
        )
        least = max(1, to.figures.limit_us // MOST_LOANS)
        amount = min(
            max(amount_us, least), to.figures.limit_us - to.owes, self.accounts[lender].spare if lender else 0
        )
        if amount < least:
            return None
        return pb.Change(
            loan=pb.Loan(id=self.loans_made + 1, lender=lender, borrower=borrower, amount_us=amount)
        )

    def decide_recall(self, lender, amount_us, keep):
        """The oldest loan of a lender in need, from its borrower's unspent pool but for `keep[borrower]`."""
        for loan in self.loans.values():
            if loan.lender == lender:
                free = self.accounts[loan.borrower].pool - keep.get(loan.borrower, 0)
                amount = min(amount_us, free, loan.amount_us - loan.repaid_us)
                if amount > 0:
                    return pb.Change(repay=pb.Repay(loan=loan.id, amount_us=amount))
        return None

    # what was decided and made

    def apply(self, record):
        """Brings a record in; one that is in already changes nothing (False). Risk: a gap is a lost loan."""
        if record.no <= self.no:
            return False
        if record.no != self.no + 1:
            raise LedgerError(f"record {record.no} after {self.no}")
        for change in record.changes:
            self.change(change)
        self.no = record.no
        return True

    def change(self, change):
        what = change.WhichOneof("what")
        if what is None:
            raise LedgerError("a change of a kind that is not known")
        getattr(self, "on_" + what)(getattr(change, what))

    def on_open(self, figures):
        kept = pb.Open()
        kept.CopyFrom(figures)
        account = self.accounts.get(kept.tenant)
        if account is None:
            account = self.accounts[kept.tenant] = Account(kept)
            account.issued = account.pool = kept.bucket_us
        account.figures, account.allowed = kept, max(kept.limit_us, account.owes)
        account.brim = max(kept.bucket_us, account.pool + account.held + account.claims - account.owes)

    def on_beat(self, beat):
        for loan in self.loans.values():
            loan.age_ms += beat.elapsed_ms
        for tenant, a in self.accounts.items():
            accrued, a.part = divmod(a.figures.rate_us * beat.elapsed_ms + a.part, 1000)
            share = 0
            if a.owes:
                share, a.part_repay = divmod(a.figures.repay_permille * accrued + a.part_repay, 1000)
                over = accrued - a.room if a.room >= 0 else 0  # what the bucket cannot take costs it nothing
                share = min(max(share, over), a.owes, accrued)
            issue = max(0, min(accrued, a.room + share))
            a.issued, a.pool = a.issued + issue, a.pool + issue
            share = min(share, a.pool)
            if share:
                self.repay_share(tenant, share)

    def repay_share(self, borrower, share):
        for loan in [x for x in self.loans.values() if x.borrower == borrower]:
            amount = min(share, loan.amount_us - loan.repaid_us)
            self.repaid(loan, amount)
            share -= amount
            if not share:
                return

    def repaid(self, loan, amount):
        lender, borrower = self.accounts[loan.lender], self.accounts[loan.borrower]
        if amount <= 0 or amount > min(borrower.pool, loan.amount_us - loan.repaid_us):
            raise LedgerError(f"loan {loan.id} cannot be repaid by {amount}")
        borrower.pool, borrower.repaid = borrower.pool - amount, borrower.repaid + amount
        lender.pool, lender.given_back = lender.pool + amount, lender.given_back + amount
        loan.repaid_us += amount
        borrower.allowed = max(borrower.figures.limit_us, borrower.owes)
        if loan.repaid_us == loan.amount_us:
            del self.loans[loan.id]

    def on_repay(self, repay):
        loan = self.loans.get(repay.loan)
        if loan is None:
            raise LedgerError(f"no loan {repay.loan}")
        self.repaid(loan, repay.amount_us)

    def on_loan(self, loan):
        lender, borrower = self.accounts[loan.lender], self.accounts[loan.borrower]
        if (
            loan.id != self.loans_made + 1
            or loan.lender == loan.borrower
            or not 0 < loan.amount_us <= lender.pool
            or borrower.owes + loan.amount_us > borrower.figures.limit_us
        ):
            raise LedgerError(f"loan {loan.id} cannot be made")
        self.loans_made = loan.id
        kept = self.loans[loan.id] = pb.Loan()
        kept.CopyFrom(loan)
        lender.pool, lender.lent = lender.pool - loan.amount_us, lender.lent + loan.amount_us
        borrower.pool, borrower.borrowed = borrower.pool + loan.amount_us, borrower.borrowed + loan.amount_us

    def on_grant(self, grant):
        account, key = self.accounts[grant.tenant], (grant.front, grant.incarnation, grant.book)
        if not 0 < grant.amount_us <= account.pool or not self.may_grant(*key):
            raise LedgerError(f"no grant of {grant.tenant} to {key}")
        self.latest[grant.front] = grant.incarnation, grant.book, False
        row = self.books.setdefault(key, {}).setdefault(grant.tenant, Row())
        row.granted += grant.amount_us
        account.pool, account.held = account.pool - grant.amount_us, account.held + grant.amount_us

    def on_word(self, word):
        key, tenant = (word.front, word.incarnation, word.row.book), word.row.tenant
        row = self.books.get(key, {}).get(tenant)
        if row is None:
            return
        spent, returned, row.sealed = self.risen(row, word.row)
        if spent + returned > row.granted:
            raise LedgerError(f"{key} spent more of {tenant} than it was granted")
        a, used, back = self.accounts[tenant], spent - row.spent, returned - row.returned
        row.spent, row.returned, a.spent = spent, returned, a.spent + used
        if key in self.lapsed:
            a.written -= used + back
            fits = min(back, max(0, a.room))  # the bucket may have filled since
        else:
            a.held -= used + back
            fits = back
        a.pool, a.spilled = a.pool + fits, a.spilled + back - fits
        if row.sealed:
            self.close(key)
            self.tidy(key)

    def on_lapse(self, lapse):
        key = lapse.front, lapse.incarnation, lapse.book
        if key not in self.books or key in self.lapsed:
            return
        self.lapsed.add(key)
        for tenant, row in self.books[key].items():
            account = self.accounts[tenant]
            account.held, account.written = account.held - row.left, account.written + row.left
        self.close(key)
        self.tidy(key)
        old = [k for k in self.books if k[0] == lapse.front and k in self.lapsed]
        for key in old[:-MOST_LAPSED]:  # Risk: a front that comes and goes fills the ledger with rows
            for tenant, row in self.books.pop(key).items():
                account = self.accounts[tenant]
                account.written, account.lost = account.written - row.left, account.lost + row.left
            self.lapsed.discard(key)

    def close(self, key):
        if self.latest.get(key[0], (0, 0))[:2] == key[1:]:
            self.latest[key[0]] = *key[1:], True

    def tidy(self, key):
        """A row that is closed and has nothing left is in its account's totals; a word of it changes nothing then."""
        rows, lapsed = self.books[key], key in self.lapsed
        for tenant in [t for t, r in rows.items() if not r.left and (r.sealed or lapsed)]:
            del rows[tenant]
        if not rows:
            del self.books[key]
            self.lapsed.discard(key)

    # laws, and the whole of it in bytes

    def check(self):
        """Raises LedgerError where a law of conservation does not hold."""
        held, written = dict.fromkeys(self.accounts, 0), dict.fromkeys(self.accounts, 0)
        for key, rows in self.books.items():
            for tenant, row in rows.items():
                self.law(
                    min(row.granted, row.spent, row.returned, row.left) >= 0, f"row of {tenant} at {key}"
                )
                (written if key in self.lapsed else held)[tenant] += row.left
        claims, owes = dict.fromkeys(self.accounts, 0), dict.fromkeys(self.accounts, 0)
        for loan in self.loans.values():
            self.law(0 <= loan.repaid_us < loan.amount_us and loan.lender != loan.borrower, f"loan {loan.id}")
            claims[loan.lender] += loan.amount_us - loan.repaid_us
            owes[loan.borrower] += loan.amount_us - loan.repaid_us
        for tenant, a in self.accounts.items():
            self.law((a.held, a.written) == (held[tenant], written[tenant]), f"rows of {tenant}")
            self.law(a.claims == claims[tenant] and a.owes == owes[tenant], f"loans of {tenant}")
            self.law(a.owes <= a.allowed, f"limit of {tenant}")
            self.law(a.pool + a.held + a.claims <= a.brim + a.owes, f"bucket of {tenant}")
            self.law(
                a.pool >= 0
                and a.issued + a.borrowed + a.given_back
                == a.pool + a.held + a.spent + a.lent + a.repaid + a.written + a.lost + a.spilled,
                f"account of {tenant}",
            )
        every = self.accounts.values()
        self.law(sum(a.lent for a in every) == sum(a.borrowed for a in every), "lent and borrowed")
        self.law(sum(a.given_back for a in every) == sum(a.repaid for a in every), "repaid and given back")

    @staticmethod
    def law(holds, what):
        if not holds:
            raise LedgerError(f"not conserved: {what}")

    def state(self):
        out = pb.State(version=VERSION, no=self.no, loans_made=self.loans_made, loans=self.loans.values())
        for a in self.accounts.values():
            out.accounts.add(
                figures=a.figures,
                allowed_us=a.allowed,
                brim_us=a.brim,
                pool_us=a.pool,
                part=a.part,
                part_repay=a.part_repay,
                **{f"{n}_us": getattr(a, n) for n in TOTALS},
            )
        for key, rows in self.books.items():
            book = out.books.add(front=key[0], incarnation=key[1], book=key[2], lapsed=key in self.lapsed)
            for tenant, r in rows.items():
                book.rows.add(
                    tenant=tenant,
                    book=key[2],
                    known_us=r.granted,
                    spent_us=r.spent,
                    returned_us=r.returned,
                    sealed=r.sealed,
                )
        for front, (incarnation, book, closed) in self.latest.items():
            out.latest.add(front=front, incarnation=incarnation, book=book)
            out.latest_closed.append(closed)
        return out.SerializeToString(deterministic=True)

    @classmethod
    def load(cls, state=b"", records=()):
        """From a snapshot (empty: a new ledger) and records after it. Errors: LedgerError, protobuf's DecodeError."""
        self, kept = cls(), pb.State.FromString(state)
        if state and kept.version != VERSION:
            raise LedgerError(f"a ledger of version {kept.version}, not {VERSION}")
        self.no, self.loans_made = kept.no, kept.loans_made
        for k in kept.accounts:
            a = self.accounts[k.figures.tenant] = Account(k.figures)
            a.allowed, a.brim, a.pool = k.allowed_us, k.brim_us, k.pool_us
            a.part, a.part_repay = k.part, k.part_repay
            for name in TOTALS:
                setattr(a, name, getattr(k, f"{name}_us"))
        for b in kept.books:
            key = b.front, b.incarnation, b.book
            self.books[key] = {r.tenant: Row(r.known_us, r.spent_us, r.returned_us, r.sealed) for r in b.rows}
            if b.lapsed:
                self.lapsed.add(key)
            for r in b.rows:
                a, left = self.accounts[r.tenant], self.books[key][r.tenant].left
                a.held, a.written = (a.held, a.written + left) if b.lapsed else (a.held + left, a.written)
        self.latest = {x.front: (x.incarnation, x.book, c) for x, c in zip(kept.latest, kept.latest_closed)}
        self.loans = {x.id: x for x in kept.loans}
        for record in records:
            self.apply(record if isinstance(record, pb.Record) else pb.Record.FromString(record))
        self.check()
        return self
