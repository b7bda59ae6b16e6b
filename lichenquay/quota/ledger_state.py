"""The state of the ledger: a deterministic state machine without I/O, clock or random source.

A replicated group makes a `Record` of changes durable; `apply` applies it once, by its number.
"""

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import LedgerError
from lichenquay.quota.tenant_account import EntryTotals, EpochKey, EscrowEntry, LatestEpoch, TenantAccount

MAX_EXPIRED_EPOCHS = 64  # of one gateway; the amounts of older ones count as lost
NO_EPOCH = LatestEpoch(0, 0, False)


class LedgerState:
    """Accounts, escrow entries and loans, and the transitions for each kind of change."""

    def __init__(self):
        """Creates a ledger without accounts."""
        self.record_number = 0
        self.last_loan_id = 0
        self.accounts: dict[str, TenantAccount] = {}
        self.epochs: dict[EpochKey, dict[str, EscrowEntry]] = {}  # entries by tenant; the oldest epoch first
        self.expired: set[EpochKey] = set()
        self.latest: dict[str, LatestEpoch] = {}  # by gateway
        self.loans: dict[int, pb.Loan] = {}  # by id; open ones only, the oldest first

    def apply(self, record: pb.Record) -> bool:
        """Applies a record; returns False if it was applied before.

        Raises LedgerError for a gap in the numbers: the missing record may contain a loan.
        """
        if record.no <= self.record_number:
            return False
        if record.no != self.record_number + 1:
            raise LedgerError(f"record {record.no} after {self.record_number}: records are missing")
        for change in record.changes:
            self.apply_change(change)
        self.record_number = record.no
        return True

    def apply_change(self, change: pb.Change) -> None:
        """Applies one change. Raises LedgerError if it breaks an invariant."""
        kind = change.WhichOneof("what")
        if kind is None:
            raise LedgerError("a change of a kind that is not known")
        getattr(self, APPLY_METHODS[kind])(getattr(change, kind))

    def apply_account_terms(self, terms: pb.Open) -> None:
        """Opens an account with a full bucket, or changes the terms of an account."""
        stored = pb.Open()
        stored.CopyFrom(terms)
        account = self.accounts.get(stored.tenant)
        if account is None:
            account = TenantAccount.opened(stored)
            account.issued_us = stored.bucket_us
            account.pool_us = stored.bucket_us
            self.accounts[stored.tenant] = account
        account.terms = stored
        account.debt_ceiling_us = max(stored.limit_us, account.debt_us)
        present_us = account.pool_us + account.held_us + account.receivable_us - account.debt_us
        account.capacity_ceiling_us = max(stored.bucket_us, present_us)

    def apply_accrual(self, accrual: pb.Beat) -> None:
        """Applies elapsed time: accounts accrue, debtors repay their share, and loans age."""
        for loan in self.loans.values():
            loan.age_ms += accrual.elapsed_ms
        for tenant, account in self.accounts.items():
            accrued_us, account.accrual_remainder = divmod(
                account.terms.rate_us * accrual.elapsed_ms + account.accrual_remainder, 1000
            )
            repayment_us = self._take_repayment_us(account, accrued_us)
            issued_us = max(0, min(accrued_us, account.headroom_us + repayment_us))
            account.issued_us += issued_us
            account.pool_us += issued_us
            repayment_us = min(repayment_us, account.pool_us)
            if repayment_us:
                self._repay_oldest_first(tenant, repayment_us)

    @staticmethod
    def _take_repayment_us(account: TenantAccount, accrued_us: int) -> int:
        if not account.debt_us:
            return 0
        share_us, account.repayment_remainder = divmod(
            account.terms.repay_permille * accrued_us + account.repayment_remainder, 1000
        )
        # Accrual that overflows the bucket repays debt at no cost to the debtor.
        headroom_us = account.headroom_us
        excess_us = accrued_us - headroom_us if headroom_us >= 0 else 0
        return min(max(share_us, excess_us), account.debt_us, accrued_us)

    def _repay_oldest_first(self, borrower: str, repayment_us: int) -> None:
        for loan in [loan for loan in self.loans.values() if loan.borrower == borrower]:
            amount_us = min(repayment_us, loan.amount_us - loan.repaid_us)
            self._repay_loan(loan, amount_us)
            repayment_us -= amount_us
            if not repayment_us:
                return

    def _repay_loan(self, loan: pb.Loan, amount_us: int) -> None:
        lender = self.accounts[loan.lender]
        borrower = self.accounts[loan.borrower]
        if amount_us <= 0 or amount_us > min(borrower.pool_us, loan.amount_us - loan.repaid_us):
            raise LedgerError(f"loan {loan.id} cannot be repaid by {amount_us} us")
        borrower.pool_us -= amount_us
        borrower.repaid_us += amount_us
        lender.pool_us += amount_us
        lender.collected_us += amount_us
        loan.repaid_us += amount_us
        borrower.debt_ceiling_us = max(borrower.terms.limit_us, borrower.debt_us)
        if loan.repaid_us == loan.amount_us:
            del self.loans[loan.id]

    def apply_repayment(self, repayment: pb.Repay) -> None:
        """Repays part of one loan from its borrower's pool."""
        loan = self.loans.get(repayment.loan)
        if loan is None:
            raise LedgerError(f"repayment of unknown loan {repayment.loan}")
        self._repay_loan(loan, repayment.amount_us)

    def apply_loan(self, loan: pb.Loan) -> None:
        """Debits the lender and credits the borrower."""
        lender = self.accounts[loan.lender]
        borrower = self.accounts[loan.borrower]
        if (
            loan.id != self.last_loan_id + 1
            or loan.lender == loan.borrower
            or not 0 < loan.amount_us <= lender.pool_us
            or borrower.debt_us + loan.amount_us > borrower.terms.limit_us
        ):
            raise LedgerError(
                f"loan {loan.id} of {loan.amount_us} us from {loan.lender} to {loan.borrower} is not allowed"
            )
        self.last_loan_id = loan.id
        stored = pb.Loan()
        stored.CopyFrom(loan)
        self.loans[loan.id] = stored
        lender.pool_us -= loan.amount_us
        lender.lent_us += loan.amount_us
        borrower.pool_us += loan.amount_us
        borrower.borrowed_us += loan.amount_us

    def may_grant(self, gateway: str, incarnation: int, epoch: int) -> bool:
        """Returns whether tokens may be granted to an epoch: the latest one, if not closed, or a newer one.

        Otherwise a late request of an incarnation or epoch that has ended would be granted tokens that nobody
        will spend or return.
        """
        latest = self.latest.get(gateway, NO_EPOCH)
        if (incarnation, epoch) == (latest.incarnation, latest.epoch):
            return not latest.closed
        return (incarnation, epoch) > (latest.incarnation, latest.epoch)

    def apply_grant(self, grant: pb.Grant) -> None:
        """Moves tokens from a tenant's pool to an epoch of a gateway."""
        account = self.accounts[grant.tenant]
        key = EpochKey(grant.front, grant.incarnation, grant.book)
        if not 0 < grant.amount_us <= account.pool_us or not self.may_grant(*key):
            raise LedgerError(
                f"grant of {grant.amount_us} us of {grant.tenant} to {tuple(key)} is not allowed"
            )
        self.latest[grant.front] = LatestEpoch(grant.incarnation, grant.book, False)
        entry = self.epochs.setdefault(key, {}).setdefault(grant.tenant, EscrowEntry())
        entry.granted_us += grant.amount_us
        account.pool_us -= grant.amount_us
        account.held_us += grant.amount_us

    @staticmethod
    def merged_totals(entry: EscrowEntry, row: pb.Row) -> EntryTotals:
        """Returns the larger totals of an entry and a report.

        A sealed epoch also returns the tokens of grants that never reached its gateway.
        """
        never_received_us = entry.granted_us - row.known_us if row.sealed else 0
        return EntryTotals(
            spent_us=max(entry.spent_us, row.spent_us),
            returned_us=max(entry.returned_us, row.returned_us + never_received_us),
            sealed=entry.sealed or row.sealed,
        )

    def apply_usage(self, report: pb.Word) -> None:
        """Applies a gateway's totals of one tenant in one epoch; those of an unknown entry are ignored."""
        key = EpochKey(report.front, report.incarnation, report.row.book)
        tenant = report.row.tenant
        entry = self.epochs.get(key, {}).get(tenant)
        if entry is None:
            return
        spent_us, returned_us, entry.sealed = self.merged_totals(entry, report.row)
        if spent_us + returned_us > entry.granted_us:
            raise LedgerError(f"{tuple(key)} spent more of {tenant} than it was granted")
        account = self.accounts[tenant]
        newly_spent_us = spent_us - entry.spent_us
        newly_returned_us = returned_us - entry.returned_us
        entry.spent_us = spent_us
        entry.returned_us = returned_us
        account.spent_us += newly_spent_us
        if key in self.expired:
            account.written_off_us -= newly_spent_us + newly_returned_us
            # The bucket may have been refilled since the epoch expired.
            credited_us = min(newly_returned_us, max(0, account.headroom_us))
        else:
            account.held_us -= newly_spent_us + newly_returned_us
            credited_us = newly_returned_us
        account.pool_us += credited_us
        account.overflowed_us += newly_returned_us - credited_us
        if entry.sealed:
            self._close(key)
            self._remove_settled(key)

    def apply_expiry(self, expiry: pb.Lapse) -> None:
        """Writes off an epoch: tokens that its gateway held count as spent until it reports."""
        key = EpochKey(expiry.front, expiry.incarnation, expiry.book)
        if key not in self.epochs or key in self.expired:
            return
        self.expired.add(key)
        for tenant, entry in self.epochs[key].items():
            account = self.accounts[tenant]
            account.held_us -= entry.unsettled_us
            account.written_off_us += entry.unsettled_us
        self._close(key)
        self._remove_settled(key)
        self._forget_oldest_expired(key.gateway)

    def _forget_oldest_expired(self, gateway: str) -> None:
        """Bounds the number of expired epochs that a gateway with frequent restarts leaves in the ledger."""
        expired = [key for key in self.epochs if key.gateway == gateway and key in self.expired]
        for key in expired[:-MAX_EXPIRED_EPOCHS]:
            for tenant, entry in self.epochs.pop(key).items():
                account = self.accounts[tenant]
                account.written_off_us -= entry.unsettled_us
                account.lost_us += entry.unsettled_us
            self.expired.discard(key)

    def _close(self, key: EpochKey) -> None:
        latest = self.latest.get(key.gateway, NO_EPOCH)
        if (latest.incarnation, latest.epoch) == (key.incarnation, key.epoch):
            self.latest[key.gateway] = LatestEpoch(key.incarnation, key.epoch, True)

    def _remove_settled(self, key: EpochKey) -> None:
        """Removes closed entries that are fully settled; their amounts remain in the account's totals."""
        entries = self.epochs[key]
        expired = key in self.expired
        settled = [
            tenant
            for tenant, entry in entries.items()
            if not entry.unsettled_us and (entry.sealed or expired)
        ]
        for tenant in settled:
            del entries[tenant]
        if not entries:
            del self.epochs[key]
            self.expired.discard(key)


# The method for each kind of quota.proto's Change, by field name.
APPLY_METHODS = {
    "open": "apply_account_terms",
    "beat": "apply_accrual",
    "word": "apply_usage",
    "lapse": "apply_expiry",
    "loan": "apply_loan",
    "repay": "apply_repayment",
    "grant": "apply_grant",
}
