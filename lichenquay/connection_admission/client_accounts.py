"""Accounts of what client addresses and prefixes hold, and records of their connections."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from lichenquay.connection_admission.limits import ClientLimits

MS_PER_S = 1000


class ConnectionState(StrEnum):
    """The state of a client connection. Connections in the first three states are evicted in this order."""

    SILENT = "silent"  # has not sent a complete frame yet
    IDLE = "idle"  # has no open query
    BUSY = "busy"  # has open queries
    ENDING = "ending"  # will be closed once its open queries are answered
    CLOSING = "going"  # has no open query; its last answers are being sent


ENDING_STATES = (ConnectionState.ENDING, ConnectionState.CLOSING)


@dataclass(eq=False)
class ClientAccount:
    """What one address or prefix holds, and its token buckets."""

    name: str
    is_known: bool  # whether it belongs to a known client
    connections: OrderedDict = field(default_factory=OrderedDict)  # that of the most recent query last
    connection_count: int = 0
    active_count: int = 0  # connections that are not ending
    query_count: int = 0
    held_bytes: int = 0
    connection_tokens: float = 0.0
    invalid_tokens: float = 0.0
    refilled_ms: float = 0.0
    prefix: str = ""  # of an address; empty for known clients, which have no limit in common
    prefix_account: ClientAccount | None = None

    def refill(self, now_ms: float, limits: ClientLimits) -> None:
        """Refills the token buckets for the time elapsed; adds nothing if the clock has stepped back."""
        elapsed_s = max(0.0, now_ms - self.refilled_ms) / MS_PER_S
        self.refilled_ms = now_ms
        connection_tokens = self.connection_tokens + elapsed_s * limits.connections_per_s
        self.connection_tokens = min(limits.burst, connection_tokens)
        invalid_tokens = self.invalid_tokens + elapsed_s * limits.invalid_per_s
        self.invalid_tokens = min(limits.invalid_per_s, invalid_tokens)

    def is_in_use(self) -> bool:
        """Returns whether the account holds connections, queries or bytes, and must be kept."""
        return bool(self.connection_count or self.query_count or self.held_bytes)


@dataclass(eq=False)
class ClientConnectionRecord:
    """An admitted connection: its account, its state and what it holds."""

    account: ClientAccount
    state: ConnectionState = ConnectionState.SILENT
    state_since_ms: float = 0.0
    query_count: int = 0
    held_bytes: int = 0
    handler: object = None  # the gateway's object for the connection

    def is_ending(self) -> bool:
        """Returns whether the connection is being closed."""
        return self.state in ENDING_STATES


class UsageRanking:
    """Accounts grouped by number of active connections; finds the largest account without a search."""

    def __init__(self):
        """Starts without accounts."""
        self.by_count: dict[int, OrderedDict] = {}
        self.largest_count = 0

    def update(self, account: ClientAccount, old_count: int, new_count: int) -> None:
        """Moves an account between groups as its active connections change; accounts with 0 have no group."""
        if old_count:
            group = self.by_count[old_count]
            del group[account]
            if not group:
                del self.by_count[old_count]
        if new_count:
            self.by_count.setdefault(new_count, OrderedDict())[account] = True
            self.largest_count = max(self.largest_count, new_count)
        while self.largest_count and self.largest_count not in self.by_count:
            self.largest_count -= 1

    def largest(self) -> ClientAccount | None:
        """Returns the account with most active connections; of equals, the first to reach the count."""
        return next(iter(self.by_count[self.largest_count])) if self.largest_count else None

    def accounts(self) -> Iterator[ClientAccount]:
        """Yields all ranked accounts."""
        for group in self.by_count.values():
            yield from group

    def __len__(self) -> int:
        """Returns the number of ranked accounts."""
        return sum(len(group) for group in self.by_count.values())
