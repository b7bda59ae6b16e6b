"""Settings of a gateway in a fleet (the `fleet` section): checks, defaults, and the shared fingerprint."""

import hashlib
from typing import NamedTuple

from lichenquay.config.process_entries import find_name_error, find_process_name_error, parse_address
from lichenquay.quota.account_settings import account_terms

MAX_GATEWAYS = 1024
VOTER_COUNTS = (2, 3, 5)
DEFAULT_LEASE_MS = 1500.0
DEFAULT_TERM_MS = 4000.0
# Grants must outlive a lease that is renewed late, or a leader would lose its own grants while it leads.
MIN_LEASES_PER_TERM = 2
DEFAULT_ACCOUNT = {"credit_ms": 0.0, "due_ms": 30_000.0, "repay_share": 0.25, "lend_share": 0.5}
RANGES = {
    "fleet.lease_ms": (200, 60_000),
    "fleet.term_ms": (500, 600_000),
    "fleet.accounts.rate_ms": (0.001, 1e9),
    "fleet.accounts.bucket_ms": (0.001, 1e12),
    "fleet.accounts.credit_ms": (0, 1e12),
    "fleet.accounts.due_ms": (100, 1e9),
    "fleet.accounts.repay_share": (0.01, 1),
    "fleet.accounts.lend_share": (0, 1),
}


class QuotaAccount(NamedTuple):
    """A tenant's quota over the whole fleet, in milliseconds of engine work."""

    tenant: str
    rate_ms: float  # per second
    bucket_ms: float  # the most unused quota that accumulates
    credit_ms: float  # the limit of outstanding loans
    due_ms: float  # the age at which a loan is overdue
    repay_share: float  # share of the rate that repays loans
    lend_share: float  # share of the bucket that other tenants may borrow


def find_fleet_error(fleet) -> str | None:
    """Returns the first error in the `fleet` section, or None.

    The whole section is checked: a gateway that applied a part of it would differ from the operator's intent.
    """
    return (
        find_process_name_error(fleet, "fleet")
        or _find_peers_error(fleet)
        or _find_addresses_error(fleet)
        or _find_voters_error(fleet)
        or _find_accounts_error(fleet)
    )


def gateway_names(fleet) -> list[str]:
    """Returns the sorted names of all gateways of the fleet."""
    return sorted({fleet.name, *(peer.name for peer in fleet.peers)})


def voter_names(fleet) -> list[str]:
    """Returns the sorted names of the gateways that vote on the ledger.

    By default these are the first five by name, or the first three or two if there are fewer gateways.
    """
    if fleet.voters:
        return sorted(fleet.voters)
    names = gateway_names(fleet)
    if len(names) >= 5:
        return names[:5]
    return names[:3] if len(names) >= 3 else names[:2]


def quota_account(account) -> QuotaAccount:
    """Returns an account, with defaults for missing values."""
    optional = (
        getattr(account, field) if account.HasField(field) else default
        for field, default in DEFAULT_ACCOUNT.items()
    )
    return QuotaAccount(account.tenant, account.rate_ms, account.bucket_ms, *optional)


def ledger_account(account):
    """Returns the ledger's form of an account. Raises ValueError with a one-line message."""
    quota = quota_account(account)
    return account_terms(
        quota.tenant,
        quota.rate_ms,
        quota.bucket_ms,
        quota.credit_ms,
        quota.due_ms,
        quota.repay_share,
        1.0 - quota.lend_share,
    )


def fingerprint(fleet) -> int:
    """Returns a 64-bit hash of the settings that must be the same on all gateways of the fleet."""
    accounts = sorted(tuple(quota_account(account)) for account in fleet.accounts)
    values = (
        1,  # protocol revision
        fleet.fleet,
        voter_names(fleet),
        fleet.lease_ms or DEFAULT_LEASE_MS,
        fleet.term_ms or DEFAULT_TERM_MS,
        accounts,
    )
    return int.from_bytes(hashlib.blake2b(repr(values).encode(), digest_size=8).digest(), "big")


def _find_peers_error(fleet):
    if not fleet.peers:
        return "fleet.peers: missing; a fleet has at least two gateways"
    if len(fleet.peers) >= MAX_GATEWAYS:
        return f"fleet.peers: {len(fleet.peers)} peers; a fleet has at most {MAX_GATEWAYS} gateways"
    names = {fleet.name}
    addresses = {fleet.listen}
    for index, peer in enumerate(fleet.peers):
        path = f"fleet.peers[{index}]"
        if error := find_name_error(peer.name, f"{path}.name"):
            return error
        if peer.name == fleet.name:
            return f"{path}.name: {peer.name!r} is the name of this gateway"
        if peer.name in names:
            return f"{path}.name: {peer.name!r} is already the name of another peer"
        if peer.address in addresses:
            return f"{path}.address: {peer.address!r} is already the address of another gateway"
        names.add(peer.name)
        addresses.add(peer.address)
    return None


def _find_addresses_error(fleet):
    addresses = {"listen": fleet.listen}
    addresses |= {f"peers[{index}].address": peer.address for index, peer in enumerate(fleet.peers)}
    for path, text in addresses.items():
        try:
            parse_address(text)
        except ValueError as error:
            return f"fleet.{path}: {error}"
    return None


def _find_voters_error(fleet):
    count = len(fleet.voters)
    is_unique = len(set(fleet.voters)) == count
    if count and (not is_unique or count not in VOTER_COUNTS):
        return f"fleet.voters: {count} voters; expected 3 or 5 unique names, or 2 in a fleet of two"
    names = gateway_names(fleet)
    for name in fleet.voters:
        if name not in names:
            return f"fleet.voters: {name!r} is not a gateway of this fleet"
    return None


def _find_accounts_error(fleet):
    if fleet.accounts and not fleet.folder:
        return "fleet.folder: missing; accounts require durable storage"
    tenants = [account.tenant for account in fleet.accounts]
    if "" in tenants or len(set(tenants)) < len(tenants):
        return "fleet.accounts: each account requires a unique tenant"
    for index, account in enumerate(fleet.accounts):
        if error := _find_account_error(account):
            return f"fleet.accounts[{index}]{error}"
    lease_ms = fleet.lease_ms or DEFAULT_LEASE_MS
    if fleet.HasField("term_ms") and fleet.term_ms < MIN_LEASES_PER_TERM * lease_ms:
        return f"fleet.term_ms: {fleet.term_ms:g} is less than {MIN_LEASES_PER_TERM} leases of {lease_ms:g}"
    return None


def _find_account_error(account):
    for field in ("rate_ms", "bucket_ms"):
        if not account.HasField(field):
            return f".{field}: missing"
    try:
        ledger_account(account)
    except ValueError as error:
        return f": {error}"
    return None
