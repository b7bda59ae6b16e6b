"""Snapshots of the ledger as `State` messages of quota.proto; maps wire names to the names in the code."""

from collections.abc import Container, Hashable

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import LedgerError, UnknownVersionError
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
    """Fills an empty ledger from a snapshot.

    Raises UnknownVersionError, and LedgerError for a damaged snapshot: with a part missing, or a part twice.
    """
    if state.version != VERSION:
        raise UnknownVersionError(f"ledger snapshot of version {state.version}, expected {VERSION}")
    ledger.record_number = state.no
    ledger.last_loan_id = state.loans_made
    for stored in state.accounts:
        _require_new(stored.figures.tenant, ledger.accounts, "account")
        account = TenantAccount.opened(stored.figures)
        for wire, name in ACCOUNT_FIELDS.items():
            setattr(account, name, getattr(stored, wire))
        ledger.accounts[stored.figures.tenant] = account
    for book in state.books:
        _restore_epoch(ledger, book)
    _restore_latest(ledger, state)
    for loan in state.loans:
        _require_new(loan.id, ledger.loans, "loan")
        ledger.loans[loan.id] = loan


def _restore_latest(ledger: LedgerState, state: pb.State) -> None:
    """Restores each gateway's latest epoch: without it, an epoch that was written off gets tokens again."""
    if len(state.latest) != len(state.latest_closed):
        raise LedgerError(
            f"damaged ledger snapshot: {len(state.latest)} latest epochs, "
            f"but {len(state.latest_closed)} marks whether they are closed"
        )
    for latest, closed in zip(state.latest, state.latest_closed, strict=True):
        _require_new(latest.front, ledger.latest, "latest epoch of")
        ledger.latest[latest.front] = LatestEpoch(latest.incarnation, latest.book, closed)


def _require_new(key: Hashable, restored: Container, what: str) -> None:
    if key in restored:
        raise LedgerError(f"damaged ledger snapshot: {what} {key} is there twice")


def _restore_epoch(ledger: LedgerState, book: pb.Book) -> None:
    key = EpochKey(book.front, book.incarnation, book.book)
    _require_new(key, ledger.epochs, "epoch")
    entries = {}
    for row in book.rows:
        _require_new(row.tenant, entries, f"{tuple(key)}: tenant")
        if row.tenant not in ledger.accounts:
            raise LedgerError(f"damaged ledger snapshot: {tuple(key)}: no account of {row.tenant}")
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
