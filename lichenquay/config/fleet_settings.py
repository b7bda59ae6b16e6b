"""Settings of a gateway among others (`fleet`): checks, defaults, and the fingerprint that all share."""

import hashlib
from typing import NamedTuple

from lichenquay.config.process_entries import parse_address, problem_with_name, problem_with_process_names
from lichenquay.quota.account_settings import account_terms

MAX_GATEWAYS = 1024
VOTER_COUNTS = (2, 3, 5)
DEFAULT_LEASE_MS = 1500.0
DEFAULT_TERM_MS = 4000.0
# A term has to outlive a lease that is renewed late, or a leader would lose its grants while it leads.
LEASES_IN_A_TERM = 2
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
    bucket_ms: float  # unused quota that is kept at most
    credit_ms: float  # outstanding loans at most
    due_ms: float  # a loan that is older is overdue
    repay_share: float  # of the rate that repays loans
    lend_share: float  # of the bucket that others may borrow


def problem_with_fleet(fleet) -> str | None:
    """The first thing that cannot be used, or None.

    The section is checked whole, since a gateway that starts on a part of it would act as nobody meant.
    """
    return (
        problem_with_process_names(fleet, "fleet")
        or _problem_with_peers(fleet)
        or _problem_with_addresses(fleet)
        or _problem_with_voters(fleet)
        or _problem_with_accounts(fleet)
    )


def gateway_names(fleet) -> list[str]:
    """The names of all gateways, sorted."""
    return sorted({fleet.name, *(peer.name for peer in fleet.peers)})


def voter_names(fleet) -> list[str]:
    """The gateways that vote on the ledger: as given, else the first five, three or two by name."""
    if fleet.voters:
        return sorted(fleet.voters)
    names = gateway_names(fleet)
    if len(names) >= 5:
        return names[:5]
    return names[:3] if len(names) >= 3 else names[:2]


def quota_account(account) -> QuotaAccount:
    """An account with its defaults."""
    optional = (
        getattr(account, field) if account.HasField(field) else default
        for field, default in DEFAULT_ACCOUNT.items()
    )
    return QuotaAccount(account.tenant, account.rate_ms, account.bucket_ms, *optional)


def ledger_account(account):
    """An account as the ledger takes it. Errors: ValueError, in one line."""
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
    """64 bits over all that must be the same on all gateways; addresses and folders may differ."""
    accounts = sorted(tuple(quota_account(account)) for account in fleet.accounts)
    values = (
        1,  # revision of the protocol
        fleet.fleet,
        voter_names(fleet),
        fleet.lease_ms or DEFAULT_LEASE_MS,
        fleet.term_ms or DEFAULT_TERM_MS,
        accounts,
    )
    return int.from_bytes(hashlib.blake2b(repr(values).encode(), digest_size=8).digest(), "big")


def _problem_with_peers(fleet):
    if not fleet.peers:
        return "fleet.peers: missing; a fleet is two fronts at least"
    if len(fleet.peers) >= MAX_GATEWAYS:
        return f"fleet.peers: {len(fleet.peers)}, but a fleet is {MAX_GATEWAYS} fronts at most"
    names = {fleet.name}
    addresses = {fleet.listen}
    for index, peer in enumerate(fleet.peers):
        here = f"fleet.peers[{index}]"
        if problem := problem_with_name(peer.name, f"{here}.name"):
            return problem
        if peer.name == fleet.name:
            return f"{here}.name: {peer.name!r} is this front itself"
        if peer.name in names:
            return f"{here}.name: {peer.name!r} is another peer's"
        if peer.address in addresses:
            return f"{here}.address: {peer.address!r} is another's"
        names.add(peer.name)
        addresses.add(peer.address)
    return None


def _problem_with_addresses(fleet):
    addresses = {"listen": fleet.listen}
    addresses |= {f"peers[{index}].address": peer.address for index, peer in enumerate(fleet.peers)}
    for path, text in addresses.items():
        try:
            parse_address(text)
        except ValueError as error:
            return f"fleet.{path}: {error}"
    return None


def _problem_with_voters(fleet):
    count = len(fleet.voters)
    is_unique = len(set(fleet.voters)) == count
    if count and (not is_unique or count not in VOTER_COUNTS):
        return f"fleet.voters: {count} of them; 3 or 5 names are wanted, 2 where there are no more"
    names = gateway_names(fleet)
    for name in fleet.voters:
        if name not in names:
            return f"fleet.voters: {name!r} is no front of this fleet"
    return None


def _problem_with_accounts(fleet):
    if fleet.accounts and not fleet.folder:
        return "fleet.folder: missing; accounts need one that lasts"
    tenants = [account.tenant for account in fleet.accounts]
    if "" in tenants or len(set(tenants)) < len(tenants):
        return "fleet.accounts: each needs a tenant of its own"
    for index, account in enumerate(fleet.accounts):
        if problem := _problem_with_account(account):
            return f"fleet.accounts[{index}]{problem}"
    lease_ms = fleet.lease_ms or DEFAULT_LEASE_MS
    if fleet.HasField("term_ms") and fleet.term_ms < LEASES_IN_A_TERM * lease_ms:
        return f"fleet.term_ms: {fleet.term_ms:g} is under two leases of {lease_ms:g}"
    return None


def _problem_with_account(account):
    for field in ("rate_ms", "bucket_ms"):
        if not account.HasField(field):
            return f".{field}: missing"
    try:
        ledger_account(account)
    except ValueError as error:
        return f": {error}"
    return None
