"""Where other processes are: named ones by the settings, others by where their datagrams came from."""

from collections import Counter, OrderedDict
from dataclasses import dataclass

MOST_LEARNED = 8192  # senders that no settings name
EXPIRE_MS = 60_000.0  # one not heard for so long gives way to a new one


@dataclass
class Learned:
    """Where a sender was last heard from. A lower incarnation of it is out of date."""

    address: tuple
    incarnation: int
    heard_ms: float


class Addresses:
    """As a mapping for `get`. Settings win: what a datagram says of a named process changes nothing.

    Risk: senders by the thousand fill the memory. The table is bounded; where all in it are fresh a new one
    is not learned, and counted.
    """

    def __init__(self, named, now_ms, most=MOST_LEARNED, expire_ms=EXPIRE_MS):
        """named: {name: address}. now_ms: a function."""
        self.named, self.now_ms, self.most, self.expire_ms = named, now_ms, most, expire_ms
        self.learned = OrderedDict()  # by when it was last heard
        self.counts = Counter()

    def get(self, name):
        """(host, port), or None."""
        address = self.named.get(name)
        if address is None and name in self.learned:
            address = self.learned[name].address
        return address

    def learn(self, name, incarnation, address):
        """A datagram of this sender came from this address."""
        if name in self.named:
            return
        now_ms, known = self.now_ms(), self.learned.get(name)
        if known is not None and incarnation < known.incarnation:
            self.counts["addresses out of date"] += 1
            return
        if known is None and not self._has_room(now_ms):
            self.counts["addresses without room"] += 1
            return
        self.learned[name] = Learned(address, incarnation, now_ms)
        self.learned.move_to_end(name)

    def _has_room(self, now_ms):
        """Whether one more fits; who has not been heard for long goes."""
        while self.learned:
            oldest = next(iter(self.learned))
            if now_ms - self.learned[oldest].heard_ms < self.expire_ms:
                break
            del self.learned[oldest]
            self.counts["addresses expired"] += 1
        return len(self.learned) < self.most

    def lines(self):
        """What the table holds, and what it did not take."""
        counts = [f"{what}: {number}" for what, number in sorted(self.counts.items())]
        return [f"addresses learned: {len(self.learned)}", *counts]
