"""The accounts of all addresses and prefixes, with a bound on those that hold nothing.

An address is counted exactly while it holds anything. Of those that hold nothing, the most recently seen
are remembered for their rates. One that was forgotten starts again with a full bucket: a sender with more
addresses than are remembered may open `burst` connections from each, and is limited by its prefix.
"""

from collections import OrderedDict
from collections.abc import Iterator
from ipaddress import ip_address, ip_network

from lichenquay.connection_admission.client_accounts import ClientAccount
from lichenquay.connection_admission.limits import ClientLimits, ConnectionRules

# One IPv6 customer has a /64 at least, so single addresses say nothing.
IPV6_ADDRESS_BITS = 64
IPV6_PREFIX_BITS = 48
# The account of all connections that have no IP address, such as those of a local socket.
NO_ADDRESS = "127.0.0.0"
# An address and its prefix have to be remembered together.
MIN_REMEMBERED = 2


class AccountRegistry:
    """The accounts of clients by address and prefix. Owner of all `ClientAccount` objects."""

    def __init__(self, rules: ConnectionRules):
        """No account yet."""
        self.rules = rules
        self.accounts: dict[str, ClientAccount] = {}
        self.idle: OrderedDict[str, ClientAccount] = OrderedDict()  # hold nothing; last seen last
        self.forgotten_count = 0

    def account_of(self, address: str, now_ms: float) -> ClientAccount:
        """The account of an address, with that of its prefix behind it."""
        account = self.accounts.get(address) or self._account_of_new_address(address, now_ms)
        prefix = account.prefix
        if prefix:
            is_current = account.prefix_account is not None and (
                self.accounts.get(prefix) is account.prefix_account
            )
            if not is_current:  # it held nothing and was forgotten
                account.prefix_account = self._add(prefix, False, self.rules.prefix, now_ms)
        return account

    def with_limits(self, account: ClientAccount) -> Iterator[tuple[ClientAccount, ClientLimits]]:
        """An address's account and that of its prefix, each with its limits."""
        yield account, self.rules.address
        if account.prefix_account is not None:
            yield account.prefix_account, self.rules.prefix

    def on_usage_changed(self, account: ClientAccount) -> None:
        """Keeps an account while it holds something, and remembers it for a while after that."""
        if account.holds_something():
            self.idle.pop(account.name, None)
        elif account.name not in self.idle:
            self._remember(account)

    def _account_of_new_address(self, address, now_ms):
        try:
            ip = ip_address(address)
        except ValueError:
            ip = ip_address(NO_ADDRESS)
        known = any(ip.version == network.version and ip in network for network in self.rules.known)
        if ip.version == 4:
            name = address
            prefix_bits = self.rules.ipv4_prefix_bits
        else:
            name = str(ip_network(f"{ip}/{IPV6_ADDRESS_BITS}", strict=False))
            prefix_bits = IPV6_PREFIX_BITS
        account = self._add(name, known, self.rules.address, now_ms)
        account.prefix = "" if known else str(ip_network(f"{ip}/{prefix_bits}", strict=False))
        return account

    def _add(self, name, known, limits, now_ms):
        account = self.accounts.get(name)
        if account is None:
            account = ClientAccount(
                name,
                known,
                connection_tokens=limits.burst,
                invalid_tokens=limits.invalid_per_s,
                refilled_ms=now_ms,
            )
            self.accounts[name] = account
            self._remember(account)
        return account

    def _remember(self, account):
        self.idle[account.name] = account
        self.idle.move_to_end(account.name)
        while len(self.idle) > max(MIN_REMEMBERED, self.rules.max_idle_accounts):
            name, _ = self.idle.popitem(last=False)
            del self.accounts[name]
            self.forgotten_count += 1
