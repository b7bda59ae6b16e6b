"""The limits and thresholds of connection admission, which the deployment sets."""

from collections.abc import Iterable
from dataclasses import dataclass
from ipaddress import IPv4Network, IPv6Network, ip_network


@dataclass(frozen=True)
class ClientLimits:
    """Limits for each address or each prefix; 0 means no limit."""

    connections: int = 0
    connections_per_s: float = 0.0  # rate of new connections, a token bucket of size `burst`
    burst: float = 0.0
    queries: int = 0  # open at one time
    held_bytes: int = 0
    invalid_per_s: float = 0.0  # rate of invalid requests, a token bucket of one second's worth


@dataclass(frozen=True)
class ConnectionRules:
    """Limits for all clients together and for each address and prefix."""

    max_connections: int  # not counting those that are ending
    max_queries: int  # open at one time; 0: no limit
    address: ClientLimits = ClientLimits()
    prefix: ClientLimits = ClientLimits()
    ipv4_prefix_bits: int = 24
    known: tuple[IPv4Network | IPv6Network, ...] = ()  # networks of known clients
    reserve: int = 0  # connections reserved for known clients
    max_ending: int = 8  # connections that are ending, in addition to `max_connections`
    max_idle_accounts: int = 4096  # idle accounts of addresses and prefixes that are kept
    eviction_grace_ms: float = 20.0  # a client with a request to send has sent it by then
    retry_after_ms: float = 1000.0  # Retry-After of a rejection whose limit gives no more exact value
    # By load state after the first: entered at this used share (0 to 1) ...
    rise_thresholds: tuple[float, ...] = (0.75, 0.9, 0.98)
    # ... and left after `fall_delay_ms` below this one.
    fall_thresholds: tuple[float, ...] = (0.65, 0.8, 0.92)
    fall_delay_ms: float = 250.0
    max_lag_ms: float = 50.0  # persistent event-loop lag that counts as a used share of 1; 0: lag is ignored
    lag_window_ms: float = 200.0  # the smallest lag within this window counts as persistent


def parse_networks(texts: Iterable[str]) -> tuple[IPv4Network | IPv6Network, ...]:
    """Parses address ranges. Errors: ValueError, which names the text that is not one."""
    return tuple(ip_network(text, strict=False) for text in texts)
