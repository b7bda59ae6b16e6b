"""Addresses of other processes: from the settings, or learned from the datagrams that they send."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

MAX_LEARNED_ADDRESSES = 8192
ADDRESS_EXPIRY_MS = 60_000.0  # time without a datagram after which an address may be replaced

Address = tuple  # (host, port)


@dataclass(frozen=True)
class LearnedAddress:
    """The source address of a sender's latest datagram."""

    address: Address
    incarnation: int
    received_ms: float


class Addresses:
    """Maps names of processes to addresses. An address in the settings is never replaced by a learned one.

    The table of learned addresses is bounded, because any number of senders may appear. While it is full of
    recent ones, a new sender is counted and not added.
    """

    def __init__(
        self,
        configured: Mapping[str, Address],
        now_ms: Callable[[], float],
        max_learned: int = MAX_LEARNED_ADDRESSES,
        expire_ms: float = ADDRESS_EXPIRY_MS,
    ):
        """Starts without learned addresses.

        configured: addresses from the settings, by name. now_ms: the clock. max_learned: bound of the table.
        """
        self.configured = configured
        self.now_ms = now_ms
        self.max_learned = max_learned
        self.expire_ms = expire_ms
        self.learned: OrderedDict[str, LearnedAddress] = OrderedDict()  # least recent first
        self.counts: Counter[str] = Counter()

    def get(self, name: str) -> Address | None:
        """Returns (host, port), or None if it is not known."""
        address = self.configured.get(name)
        if address is None and name in self.learned:
            address = self.learned[name].address
        return address

    def learn(self, name: str, incarnation: int, address: Address) -> None:
        """Records the source address of a datagram. Datagrams of earlier incarnations are ignored."""
        if name in self.configured:
            return
        now_ms = self.now_ms()
        known = self.learned.get(name)
        if known is not None and incarnation < known.incarnation:
            self.counts["addresses out of date"] += 1
            return
        if known is None and not self._make_room(now_ms):
            self.counts["addresses without room"] += 1
            return
        self.learned[name] = LearnedAddress(address, incarnation, now_ms)
        self.learned.move_to_end(name)

    def _make_room(self, now_ms):
        """Removes expired addresses; returns whether one more fits."""
        while self.learned:
            name, oldest = next(iter(self.learned.items()))
            if now_ms - oldest.received_ms < self.expire_ms:
                break
            del self.learned[name]
            self.counts["addresses expired"] += 1
        return len(self.learned) < self.max_learned

    def lines(self) -> list[str]:
        """Returns status lines: the size of the table, and counters."""
        counts = [f"{name}: {count}" for name, count in sorted(self.counts.items())]
        return [f"addresses learned: {len(self.learned)}", *counts]
