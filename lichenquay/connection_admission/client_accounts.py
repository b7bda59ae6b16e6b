"""What each client holds: accounts of addresses and prefixes, and records of their connections."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from lichenquay.connection_admission.limits import ClientLimits

MS_PER_S = 1000


class ConnectionState(StrEnum):
    """What a connection is doing. The first three are evicted in this order."""

    SILENT = "silent"  # no whole frame yet
    IDLE = "idle"  # no open query
    BUSY = "busy"  # with open queries
    ENDING = "ending"  # is closed once its open queries are answered
    CLOSING = "going"  # only its last answers are still to be sent


ENDING_STATES = (ConnectionState.ENDING, ConnectionState.CLOSING)


@dataclass(eq=False)
class ClientAccount:
    """An address or a prefix, and what it holds."""

    name: str
    known: bool  # whether it belongs to a known client
    connections: OrderedDict = field(default_factory=OrderedDict)  # the one with the youngest query last
    connection_count: int = 0
    active_count: int = 0  # connections that are not ending
    query_count: int = 0
    held_bytes: int = 0
    connection_tokens: float = 0.0
    invalid_tokens: float = 0.0
    refilled_ms: float = 0.0
    prefix: str = ""  # of an address; known clients have none, as they share nothing
    prefix_account: ClientAccount | None = None

    def refill(self, now_ms: float, limits: ClientLimits) -> None:
        """Refills the token buckets for the time that has passed; a clock that went back gives nothing."""
        passed_s = max(0.0, now_ms - self.refilled_ms) / MS_PER_S
        self.refilled_ms = now_ms
        self.connection_tokens = min(limits.burst, self.connection_tokens + passed_s * limits.per_s)
        invalid_tokens = self.invalid_tokens + passed_s * limits.invalid_per_s
        self.invalid_tokens = min(limits.invalid_per_s, invalid_tokens)

    def holds_something(self) -> bool:
        """Whether the account has to be kept."""
        return bool(self.connection_count or self.query_count or self.held_bytes)


@dataclass(eq=False)
class ClientConnectionRecord:
    """A connection that was admitted."""

    account: ClientAccount
    state: ConnectionState = ConnectionState.SILENT
    since_ms: float = 0.0  # when it came to this state
    query_count: int = 0
    held_bytes: int = 0
    handler: object = None  # the gateway's connection

    def is_ending(self) -> bool:
        """Whether it is being closed."""
        return self.state in ENDING_STATES


class UsageRanking:
    """Accounts grouped by their number of active connections; the largest is at hand without a search."""

    def __init__(self):
        """No account yet."""
        self.by_count: dict[int, OrderedDict] = {}
        self.largest_count = 0

    def move(self, account: ClientAccount, before: int, after: int) -> None:
        """An account's number of active connections changed; 0 is not ranked."""
        if before:
            group = self.by_count[before]
            del group[account]
            if not group:
                del self.by_count[before]
        if after:
            self.by_count.setdefault(after, OrderedDict())[account] = True
            self.largest_count = max(self.largest_count, after)
        while self.largest_count and self.largest_count not in self.by_count:
            self.largest_count -= 1

    def largest(self) -> ClientAccount | None:
        """The account with most active connections; of several, the one that has had as many for longest."""
        return next(iter(self.by_count[self.largest_count])) if self.largest_count else None

    def accounts(self) -> Iterator[ClientAccount]:
        """All ranked accounts."""
        for group in self.by_count.values():
            yield from group

    def __len__(self) -> int:
        """How many accounts are ranked."""
        return sum(len(group) for group in self.by_count.values())
