"""The accounts of all client addresses and prefixes, with a bound on the number of idle accounts.

An account that holds a connection, a query or bytes is always kept, so its counts are exact. Of the idle
accounts, only the most recently used are kept, for the state of their token buckets. A discarded account
starts again with full buckets: a sender that uses more addresses than are kept can open `burst` connections
from each of them, and is limited by the account of its prefix only.
"""

from collections import OrderedDict
from collections.abc import Iterator
from ipaddress import ip_address, ip_network

from lichenquay.connection_admission.client_accounts import ClientAccount
from lichenquay.connection_admission.limits import ClientLimits, ConnectionRules

# An IPv6 customer is assigned at least a /64, so limits on single addresses would have no effect.
IPV6_ADDRESS_BITS = 64
IPV6_PREFIX_BITS = 48
# Stands for all peers that have no IP address, such as those of a local socket.
FALLBACK_ADDRESS = "127.0.0.0"
# The account of an address and that of its prefix must both fit.
MIN_IDLE_ACCOUNTS = 2


class AccountRegistry:
    """Holds the accounts of clients by address and by prefix, and owns all `ClientAccount` objects."""

    def __init__(self, rules: ConnectionRules):
        """Starts without accounts."""
        self.rules = rules
        self.accounts: dict[str, ClientAccount] = {}
        self.idle_accounts: OrderedDict[str, ClientAccount] = OrderedDict()  # most recently used last
        self.discarded_account_count = 0

    def get_or_create_account(self, address: str, now_ms: float) -> ClientAccount:
        """Returns the account of an address, linked to that of its prefix; creates what is missing."""
        account = self.accounts.get(address) or self._create_address_account(address, now_ms)
        prefix = account.prefix
        if prefix:
            is_current = account.prefix_account is not None and (
                self.accounts.get(prefix) is account.prefix_account
            )
            if not is_current:  # it was idle and has been discarded
                account.prefix_account = self._add(prefix, False, self.rules.prefix, now_ms)
        return account

    def accounts_with_limits(self, account: ClientAccount) -> Iterator[tuple[ClientAccount, ClientLimits]]:
        """Yields the account of an address and that of its prefix, each with its limits."""
        yield account, self.rules.address
        if account.prefix_account is not None:
            yield account.prefix_account, self.rules.prefix

    def on_usage_changed(self, account: ClientAccount) -> None:
        """Moves an account into or out of the idle accounts, depending on what it holds."""
        if account.is_in_use():
            self.idle_accounts.pop(account.name, None)
        elif account.name not in self.idle_accounts:
            self._add_idle_account(account)

    def _create_address_account(self, address, now_ms):
        try:
            ip = ip_address(address)
        except ValueError:
            ip = ip_address(FALLBACK_ADDRESS)
        is_known = any(ip.version == network.version and ip in network for network in self.rules.known)
        if ip.version == 4:
            name = address
            prefix_bits = self.rules.ipv4_prefix_bits
        else:
            name = str(ip_network(f"{ip}/{IPV6_ADDRESS_BITS}", strict=False))
            prefix_bits = IPV6_PREFIX_BITS
        account = self._add(name, is_known, self.rules.address, now_ms)
        account.prefix = "" if is_known else str(ip_network(f"{ip}/{prefix_bits}", strict=False))
        return account

    def _add(self, name, is_known, limits, now_ms):
        account = self.accounts.get(name)
        if account is None:
            account = ClientAccount(
                name,
                is_known,
                connection_tokens=limits.burst,
                invalid_tokens=limits.invalid_per_s,
                refilled_ms=now_ms,
            )
            self.accounts[name] = account
            self._add_idle_account(account)
        return account

    def _add_idle_account(self, account):
        """Adds an idle account, and discards the least recently used ones beyond the bound."""
        self.idle_accounts[account.name] = account
        self.idle_accounts.move_to_end(account.name)
        while len(self.idle_accounts) > max(MIN_IDLE_ACCOUNTS, self.rules.max_idle_accounts):
            name, _ = self.idle_accounts.popitem(last=False)
            del self.accounts[name]
            self.discarded_account_count += 1
