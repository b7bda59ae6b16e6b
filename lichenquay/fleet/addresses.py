"""Addresses of other processes: from the settings, or discovered from the datagrams that they send."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

MAX_DISCOVERED = 8192
EXPIRE_MS = 60_000.0  # without a datagram, after which an address may give way to a new one

Address = tuple  # (host, port)


@dataclass(frozen=True)
class DiscoveredAddress:
    """Where the last datagram of a sender came from."""

    address: Address
    incarnation: int
    received_ms: float


class Addresses:
    """Finds a process by its name. An address in the settings is never replaced by a discovered one.

    The table of discovered addresses is bounded, as any number of senders may appear. If it is full of recent
    ones, a new sender is counted and not added.
    """

    def __init__(
        self,
        named: Mapping[str, Address],
        now_ms: Callable[[], float],
        max_discovered: int = MAX_DISCOVERED,
        expire_ms: float = EXPIRE_MS,
    ):
        """named: addresses from the settings, by name."""
        self.named = named
        self.now_ms = now_ms
        self.max_discovered = max_discovered
        self.expire_ms = expire_ms
        self.discovered: OrderedDict[str, DiscoveredAddress] = OrderedDict()  # least recent first
        self.counts: Counter[str] = Counter()

    def get(self, name: str) -> Address | None:
        """(host, port), or None if it is not known."""
        address = self.named.get(name)
        if address is None and name in self.discovered:
            address = self.discovered[name].address
        return address

    def learn(self, name: str, incarnation: int, address: Address) -> None:
        """Records the source address of a datagram. Those of earlier incarnations are ignored."""
        if name in self.named:
            return
        now_ms = self.now_ms()
        known = self.discovered.get(name)
        if known is not None and incarnation < known.incarnation:
            self.counts["addresses out of date"] += 1
            return
        if known is None and not self._make_room(now_ms):
            self.counts["addresses without room"] += 1
            return
        self.discovered[name] = DiscoveredAddress(address, incarnation, now_ms)
        self.discovered.move_to_end(name)

    def _make_room(self, now_ms):
        """Removes expired addresses; returns whether one more fits."""
        while self.discovered:
            name, oldest = next(iter(self.discovered.items()))
            if now_ms - oldest.received_ms < self.expire_ms:
                break
            del self.discovered[name]
            self.counts["addresses expired"] += 1
        return len(self.discovered) < self.max_discovered

    def lines(self) -> list[str]:
        """Status lines: the size of the table, and counts."""
        counts = [f"{name}: {count}" for name, count in sorted(self.counts.items())]
        return [f"addresses learned: {len(self.discovered)}", *counts]
