"""The rules that an installation sets for connection admission."""

from collections.abc import Iterable
from dataclasses import dataclass
from ipaddress import IPv4Network, IPv6Network, ip_network


@dataclass(frozen=True)
class ClientLimits:
    """Limits for one address or one prefix; 0 is no limit."""

    connections: int = 0
    per_s: float = 0.0  # new connections per second, a token bucket of `burst`
    burst: float = 0.0
    queries: int = 0  # open ones
    held_bytes: int = 0
    invalid_per_s: float = 0.0  # invalid requests per second, a token bucket of as many


@dataclass(frozen=True)
class ConnectionRules:
    """Limits for all clients together and for each."""

    max_connections: int  # those that are ending not counted
    max_queries: int  # open ones; 0: no limit
    address: ClientLimits = ClientLimits()
    prefix: ClientLimits = ClientLimits()
    ipv4_prefix_bits: int = 24
    known: tuple[IPv4Network | IPv6Network, ...] = ()  # networks of known clients
    reserve: int = 0  # connections reserved for known clients
    max_ending: int = 8  # connections that are ending, beyond `max_connections`
    max_idle_accounts: int = (
        4096  # addresses and prefixes that hold nothing and are remembered for their rates
    )
    quiet_ms: float = 20.0  # a client that has something to send has begun by then
    retry_after_ms: float = 1000.0  # sent with a rejection whose limit gives no better value
    rise_at: tuple[float, ...] = (0.75, 0.9, 0.98)  # used share (0 to 1) from which each load state holds ...
    fall_below: tuple[float, ...] = (0.65, 0.8, 0.92)  # ... and under which it ends, ...
    fall_after_ms: float = 250.0  # ... after this time
    max_lag_ms: float = 50.0  # a persistent event-loop lag that counts as all used up; 0: not regarded
    lag_window_ms: float = 200.0  # the least lag within this window is the persistent one


def parse_networks(texts: Iterable[str]) -> tuple[IPv4Network | IPv6Network, ...]:
    """Address ranges from text. Errors: ValueError names the text that is none."""
    return tuple(ip_network(text, strict=False) for text in texts)
