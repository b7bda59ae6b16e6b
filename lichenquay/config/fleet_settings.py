"""The settings of a front among others (`fleet`): checked whole, with usual values, and the fingerprint that all must share."""

import hashlib
import re

from lichenquay.quota.account_settings import account_terms

MOST_FRONTS = 1024
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,23}\Z")  # bounded: every datagram carries some
USUAL_ACCOUNT = {"credit_ms": 0.0, "due_ms": 30_000.0, "repay_share": 0.25, "lend_share": 0.5}
USUAL_LEASE_MS, USUAL_TERM_MS = 1500.0, 4000.0
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


def address_of(text):
    """(address, port); ValueError for what is none."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is no address:port")
    return host, int(port)


def fault_of_fleet(fleet):
    """The first thing that makes no sense, or None. Risk: a front that starts on half of it talks as nobody meant."""
    for field in ("fleet", "name", "listen"):
        if not getattr(fleet, field):
            return f"fleet.{field}: missing"
    for field in ("fleet", "name"):
        if not NAME.match(getattr(fleet, field)):
            return f"fleet.{field}: {getattr(fleet, field)[:40]!r} is no name of 1 to 24 letters, digits, dots and dashes"
    if not fleet.peers:
        return "fleet.peers: missing; a fleet is two fronts at least"
    if len(fleet.peers) >= MOST_FRONTS:
        return f"fleet.peers: {len(fleet.peers)}, but a fleet is {MOST_FRONTS} fronts at most"
    names, addresses = {fleet.name}, {fleet.listen}
    for i, peer in enumerate(fleet.peers):
        if not NAME.match(peer.name):
            return f"fleet.peers[{i}].name: {peer.name[:40]!r} is no name of 1 to 24 letters, digits, dots and dashes"
        if peer.name == fleet.name:
            return f"fleet.peers[{i}].name: {peer.name!r} is this front itself"
        if peer.name in names:
            return f"fleet.peers[{i}].name: {peer.name!r} is another peer's"
        if peer.address in addresses:
            return f"fleet.peers[{i}].address: {peer.address!r} is another's"
        names.add(peer.name)
        addresses.add(peer.address)
    for name, text in (
        ("listen", fleet.listen),
        *((f"peers[{i}].address", p.address) for i, p in enumerate(fleet.peers)),
    ):
        try:
            address_of(text)
        except ValueError as bad:
            return f"fleet.{name}: {bad}"
    return fault_of_voters(fleet, names) or fault_of_accounts(fleet)


def fault_of_voters(fleet, names):
    if fleet.voters and (len(set(fleet.voters)) < len(fleet.voters) or len(fleet.voters) not in (2, 3, 5)):
        return (
            f"fleet.voters: {len(fleet.voters)} of them; 3 or 5 names are wanted, 2 where there are no more"
        )
    for name in fleet.voters:
        if name not in names:
            return f"fleet.voters: {name!r} is no front of this fleet"
    return None


def fault_of_accounts(fleet):
    if fleet.accounts and not fleet.folder:
        return "fleet.folder: missing; accounts need one that lasts"
    tenants = [a.tenant for a in fleet.accounts]
    if "" in tenants or len(set(tenants)) < len(tenants):
        return "fleet.accounts: each needs a tenant of its own"
    for i, account in enumerate(fleet.accounts):
        for field in ("rate_ms", "bucket_ms"):
            if not account.HasField(field):
                return f"fleet.accounts[{i}].{field}: missing"
        try:
            figures(account)
        except ValueError as bad:
            return f"fleet.accounts[{i}]: {bad}"
    if fleet.HasField("term_ms") and fleet.term_ms < 2 * (fleet.lease_ms or USUAL_LEASE_MS):
        return f"fleet.term_ms: {fleet.term_ms:g} is under two leases of {fleet.lease_ms or USUAL_LEASE_MS:g}"
    return None


def names_of(fleet):
    return sorted({fleet.name, *(p.name for p in fleet.peers)})


def voters_of(fleet):
    """Who keeps the ledger: as set, else the first five, three or two fronts by name."""
    if fleet.voters:
        return sorted(fleet.voters)
    names = names_of(fleet)
    return names[: 5 if len(names) >= 5 else 3 if len(names) >= 3 else 2]


def account_of(account):
    """(tenant, rate_ms, bucket_ms, credit_ms, due_ms, repay_share, lend_share)."""
    more = (getattr(account, f) if account.HasField(f) else usual for f, usual in USUAL_ACCOUNT.items())
    return account.tenant, account.rate_ms, account.bucket_ms, *more


def figures(account):
    """As the ledger takes them. Errors: ValueError, in one line."""
    tenant, rate_ms, bucket_ms, credit_ms, due_ms, repay_share, lend_share = account_of(account)
    return account_terms(tenant, rate_ms, bucket_ms, credit_ms, due_ms, repay_share, 1.0 - lend_share)


def fingerprint(fleet):
    """Of all that must be alike on all fronts: 64 bits. Addresses and folders are each front's own."""
    said = (
        1,
        fleet.fleet,
        voters_of(fleet),
        fleet.lease_ms or USUAL_LEASE_MS,
        fleet.term_ms or USUAL_TERM_MS,
        sorted(map(account_of, fleet.accounts)),
    )
    return int.from_bytes(hashlib.blake2b(repr(said).encode(), digest_size=8).digest(), "big")
