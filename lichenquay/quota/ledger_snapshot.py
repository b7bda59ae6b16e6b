"""Snapshots of the ledger as `State` messages of quota.proto; maps wire names to the names in the code."""

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import LedgerError
from lichenquay.quota.ledger_state import LedgerState
from lichenquay.quota.tenant_account import EpochKey, EscrowEntry, LatestEpoch, TenantAccount

VERSION = 1
ACCOUNT_FIELDS = {  # field of pb.Account: attribute of TenantAccount
    "allowed_us": "debt_ceiling_us",
    "brim_us": "capacity_ceiling_us",
    "pool_us": "pool_us",
    "part": "accrual_remainder",
    "part_repay": "repayment_remainder",
    "issued_us": "issued_us",
    "spilled_us": "overflowed_us",
    "spent_us": "spent_us",
    "lent_us": "lent_us",
    "given_back_us": "collected_us",
    "borrowed_us": "borrowed_us",
    "repaid_us": "repaid_us",
    "lost_us": "lost_us",
}


def snapshot_of(ledger: LedgerState) -> pb.State:
    """Returns the whole ledger as a message."""
    state = pb.State(
        version=VERSION,
        no=ledger.record_number,
        loans_made=ledger.last_loan_id,
        loans=ledger.loans.values(),
    )
    for account in ledger.accounts.values():
        amounts = {wire: getattr(account, name) for wire, name in ACCOUNT_FIELDS.items()}
        state.accounts.add(figures=account.terms, **amounts)
    for key, entries in ledger.epochs.items():
        book = state.books.add(
            front=key.gateway, incarnation=key.incarnation, book=key.epoch, lapsed=key in ledger.expired
        )
        for tenant, entry in entries.items():
            book.rows.add(
                tenant=tenant,
                book=key.epoch,
                known_us=entry.granted_us,
                spent_us=entry.spent_us,
                returned_us=entry.returned_us,
                sealed=entry.sealed,
            )
    for gateway, latest in ledger.latest.items():
        state.latest.add(front=gateway, incarnation=latest.incarnation, book=latest.epoch)
        state.latest_closed.append(latest.closed)
    return state


def restore(ledger: LedgerState, state: pb.State) -> None:
    """Fills an empty ledger from a snapshot. Raises LedgerError for another version."""
    if state.version != VERSION:
        raise LedgerError(f"ledger snapshot of version {state.version}, expected {VERSION}")
    ledger.record_number = state.no
    ledger.last_loan_id = state.loans_made
    for stored in state.accounts:
        account = TenantAccount.opened(stored.figures)
        for wire, name in ACCOUNT_FIELDS.items():
            setattr(account, name, getattr(stored, wire))
        ledger.accounts[stored.figures.tenant] = account
    for book in state.books:
        _restore_epoch(ledger, book)
    ledger.latest = {
        latest.front: LatestEpoch(latest.incarnation, latest.book, closed)
        for latest, closed in zip(state.latest, state.latest_closed, strict=False)
    }
    ledger.loans = {loan.id: loan for loan in state.loans}


def _restore_epoch(ledger: LedgerState, book: pb.Book) -> None:
    key = EpochKey(book.front, book.incarnation, book.book)
    entries = {}
    for row in book.rows:
        entries[row.tenant] = EscrowEntry(row.known_us, row.spent_us, row.returned_us, row.sealed)
    ledger.epochs[key] = entries
    if book.lapsed:
        ledger.expired.add(key)
    for row in book.rows:
        account = ledger.accounts[row.tenant]
        if book.lapsed:
            account.written_off_us += entries[row.tenant].unsettled_us
        else:
            account.held_us += entries[row.tenant].unsettled_us
