"""The quota ledger: decisions on its changes, and its snapshots.

The `decide_` methods return a `Change`, or None if nothing changes or the change is not allowed; they modify
nothing. The caller makes a `Record` of changes durable, and `apply` then applies it. Time enters as elapsed
milliseconds. Design: docs/design/quota.md.
"""

from collections.abc import Iterable, Mapping

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import ImplausibleReportError
from lichenquay.quota.ledger_invariants import check_invariants
from lichenquay.quota.ledger_snapshot import restore, snapshot_of
from lichenquay.quota.ledger_state import LedgerState
from lichenquay.quota.tenant_account import EpochKey

MAX_LOANS_PER_TENANT = 64  # approximate: a loan is at least the credit limit divided by this


class Ledger(LedgerState):
    """The ledger of one fleet."""

    def decide_account_terms(self, terms: pb.Open) -> pb.Change | None:
        """Returns the change that opens an account or changes its terms; None if it has these terms."""
        account = self.accounts.get(terms.tenant)
        if account is not None and account.terms == terms:
            return None
        return pb.Change(open=terms)

    def decide_accrual(self, elapsed_ms: int) -> pb.Change | None:
        """Returns the change for elapsed time; None if no account can accrue and no loan ages."""
        idle = not self.loans and all(account.headroom_us <= 0 for account in self.accounts.values())
        if elapsed_ms < 1 or idle:
            return None
        return pb.Change(beat=pb.Beat(elapsed_ms=elapsed_ms))

    def decide_usage(self, gateway: str, incarnation: int, row: pb.Row) -> pb.Change | None:
        """Returns the change for the totals that a gateway reports.

        None if no total is larger than the known one, or the entry is unknown. Raises ImplausibleReportError.
        """
        entry = self.epochs.get(EpochKey(gateway, incarnation, row.book), {}).get(row.tenant)
        if entry is None:
            return None
        if row.spent_us + row.returned_us > row.known_us or row.known_us > entry.granted_us:
            raise _implausible(gateway, row)
        merged = self.merged_totals(entry, row)
        if merged == (entry.spent_us, entry.returned_us, entry.sealed):
            return None
        if merged.spent_us + merged.returned_us > entry.granted_us:
            raise _implausible(gateway, row)
        reported = pb.Row(
            tenant=row.tenant,
            book=row.book,
            known_us=row.known_us,
            spent_us=row.spent_us,
            returned_us=row.returned_us,
            sealed=row.sealed,
        )
        return pb.Change(word=pb.Word(front=gateway, incarnation=incarnation, row=reported))

    def decide_expiry(self, gateway: str, incarnation: int, epoch: int) -> pb.Change | None:
        """Returns the change that writes off the epoch of a silent gateway; None if it is not open."""
        key = EpochKey(gateway, incarnation, epoch)
        if key not in self.epochs or key in self.expired:
            return None
        return pb.Change(lapse=pb.Lapse(front=gateway, incarnation=incarnation, book=epoch))

    def decide_grant(
        self, tenant: str, gateway: str, incarnation: int, epoch: int, amount_us: int
    ) -> pb.Change | None:
        """Returns the grant of an amount, limited by the pool, to an epoch; None if nothing is granted."""
        account = self.accounts.get(tenant)
        granted_us = min(amount_us, account.pool_us) if account else 0
        if granted_us <= 0 or not self.may_grant(gateway, incarnation, epoch):
            return None
        grant = pb.Grant(
            tenant=tenant, front=gateway, incarnation=incarnation, book=epoch, amount_us=granted_us
        )
        return pb.Change(grant=grant)

    def is_overdue(self, tenant: str) -> bool:
        """Returns whether one of the tenant's loans is older than its term."""
        term_ms = self.accounts[tenant].terms.term_ms
        return any(loan.borrower == tenant and loan.age_ms > term_ms for loan in self.loans.values())

    def decide_loan(self, borrower: str, amount_us: int) -> pb.Change | None:
        """Returns a loan from the tenant with the most lendable tokens that has no debt itself.

        None if the borrower has tokens or an overdue loan, or if the limit or the lender does not allow the
        minimum size of a loan. That minimum is a part of the limit, so that there are few loans at a time.
        """
        account = self.accounts.get(borrower)
        if account is None or account.pool_us or self.is_overdue(borrower):
            return None
        lender = max(
            (name for name, other in self.accounts.items() if name != borrower and not other.debt_us),
            key=lambda name: self.accounts[name].lendable_us,
            default=None,
        )
        lendable_us = self.accounts[lender].lendable_us if lender else 0
        min_loan_us = max(1, account.terms.limit_us // MAX_LOANS_PER_TENANT)
        loan_us = min(max(amount_us, min_loan_us), account.terms.limit_us - account.debt_us, lendable_us)
        if loan_us < min_loan_us:
            return None
        loan = pb.Loan(id=self.last_loan_id + 1, lender=lender, borrower=borrower, amount_us=loan_us)
        return pb.Change(loan=loan)

    def decide_recall(self, lender: str, amount_us: int, retained_us: Mapping[str, int]) -> pb.Change | None:
        """Returns a repayment to a lender in need, of its oldest loan whose borrower has tokens to spare.

        A borrower keeps `retained_us[borrower]` in its pool. None if no loan can be recalled.
        """
        for loan in self.loans.values():
            if loan.lender != lender:
                continue
            free_us = self.accounts[loan.borrower].pool_us - retained_us.get(loan.borrower, 0)
            recalled_us = min(amount_us, free_us, loan.amount_us - loan.repaid_us)
            if recalled_us > 0:
                return pb.Change(repay=pb.Repay(loan=loan.id, amount_us=recalled_us))
        return None

    def check(self) -> None:
        """Raises LedgerError if an invariant does not hold."""
        check_invariants(self)

    def state(self) -> bytes:
        """Returns the whole ledger as a snapshot; equal records give equal bytes."""
        return snapshot_of(self).SerializeToString(deterministic=True)

    @classmethod
    def load(cls, state: bytes = b"", records: Iterable[pb.Record | bytes] = ()) -> "Ledger":
        """Returns the ledger of a snapshot (empty: a new ledger) and the records after it.

        Raises LedgerError, and protobuf's DecodeError.
        """
        ledger = cls()
        if state:
            restore(ledger, pb.State.FromString(state))
        for record in records:
            ledger.apply(record if isinstance(record, pb.Record) else pb.Record.FromString(record))
        ledger.check()
        return ledger


def _implausible(gateway: str, row: pb.Row) -> ImplausibleReportError:
    return ImplausibleReportError(f"{gateway} reports more of {row.tenant} than it was granted")
