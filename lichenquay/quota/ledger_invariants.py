"""The invariants of the ledger, checked on loading, and after every record in the tests.

For each tenant:

    issued + borrowed + collected = pool + held + spent + lent + repaid + written off + lost + overflowed
    pool + held + receivable <= bucket size + debt
"""

from lichenquay.quota.errors import LedgerError
from lichenquay.quota.ledger_state import LedgerState
from lichenquay.quota.tenant_account import TenantAccount


def check_invariants(ledger: LedgerState) -> None:
    """Raises LedgerError, which names the invariant, if one does not hold."""
    _check_latest(ledger)
    _check_entries(ledger)
    _check_loans(ledger)
    for tenant, account in ledger.accounts.items():
        _check_account(tenant, account)
    accounts = ledger.accounts.values()
    _require(
        sum(account.lent_us for account in accounts) == sum(account.borrowed_us for account in accounts),
        "sums of lent and borrowed amounts differ",
    )
    _require(
        sum(account.collected_us for account in accounts) == sum(account.repaid_us for account in accounts),
        "sums of repaid and collected amounts differ",
    )


def _check_latest(ledger: LedgerState) -> None:
    for key in ledger.epochs:
        latest = ledger.latest.get(key.gateway)
        _require(
            latest is not None and (key.incarnation, key.epoch) <= (latest.incarnation, latest.epoch),
            f"{tuple(key)} is newer than the latest epoch of its gateway",
        )


def _check_entries(ledger: LedgerState) -> None:
    held_us = dict.fromkeys(ledger.accounts, 0)
    written_off_us = dict.fromkeys(ledger.accounts, 0)
    for key, entries in ledger.epochs.items():
        sums_us = written_off_us if key in ledger.expired else held_us
        for tenant, entry in entries.items():
            amounts_us = (entry.granted_us, entry.spent_us, entry.returned_us, entry.unsettled_us)
            _require(min(amounts_us) >= 0, f"negative amount of {tenant} at {tuple(key)}")
            sums_us[tenant] += entry.unsettled_us
    for tenant, account in ledger.accounts.items():
        sums_match = (account.held_us, account.written_off_us) == (held_us[tenant], written_off_us[tenant])
        _require(sums_match, f"escrow entries and account of {tenant} differ")


def _check_loans(ledger: LedgerState) -> None:
    receivable_us = dict.fromkeys(ledger.accounts, 0)
    debt_us = dict.fromkeys(ledger.accounts, 0)
    for loan in ledger.loans.values():
        open_us = loan.amount_us - loan.repaid_us
        valid = 0 <= loan.repaid_us < loan.amount_us and loan.lender != loan.borrower
        _require(valid, f"amounts of loan {loan.id}")
        are_known = loan.lender in ledger.accounts and loan.borrower in ledger.accounts
        _require(are_known, f"no account of {loan.lender} or {loan.borrower}, of loan {loan.id}")
        receivable_us[loan.lender] += open_us
        debt_us[loan.borrower] += open_us
    for tenant, account in ledger.accounts.items():
        sums_match = (account.receivable_us, account.debt_us) == (receivable_us[tenant], debt_us[tenant])
        _require(sums_match, f"loans and account of {tenant} differ")


def _check_account(tenant: str, account: TenantAccount) -> None:
    _require(account.debt_us <= account.debt_ceiling_us, f"debt of {tenant} exceeds its ceiling")
    present_us = account.pool_us + account.held_us + account.receivable_us
    _require(
        present_us <= account.capacity_ceiling_us + account.debt_us,
        f"tokens of {tenant} exceed its bucket and debt",
    )
    received_us = account.issued_us + account.borrowed_us + account.collected_us
    accounted_us = (
        account.pool_us
        + account.held_us
        + account.spent_us
        + account.lent_us
        + account.repaid_us
        + account.written_off_us
        + account.lost_us
        + account.overflowed_us
    )
    _require(
        account.pool_us >= 0 and received_us == accounted_us,
        f"received and accounted amounts of {tenant} differ",
    )


def _require(condition: bool, violation: str) -> None:
    if not condition:
        raise LedgerError(f"not conserved: {violation}")
