"""Settings of connection admission (the `gate` section): checks, defaults, and conversion to rules."""

from google.protobuf import text_format

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.connection_admission.limits import ClientLimits, ConnectionRules, parse_networks

DEFAULTS = "prefix4: 24 most_seen: 4096 again_ms: 1000 lag_ms: 50"


def find_connection_admission_error(gate, path: str) -> str | None:
    """Returns the first error that is not a number out of its range, or None."""
    for section in ("address", "prefix"):
        limits = getattr(gate, section)
        if limits.per_s and limits.burst < 1:
            return f"{path}.{section}.burst: {limits.burst:g} is below 1, the minimum with per_s"
    try:
        parse_networks(gate.known)
    except ValueError as error:
        return f"{path}.known: {error}"
    if gate.reserve and not gate.known:
        return f"{path}.reserve: {gate.reserve}, but no range is known"
    return None


def connection_rules(gate, max_connections: int) -> ConnectionRules:
    """Returns the rules for at most `max_connections` connections, with defaults for missing values."""
    effective = pb.Gate()
    text_format.Parse(DEFAULTS, effective)
    effective.MergeFrom(gate)
    return ConnectionRules(
        max_connections,
        effective.most_queries,
        _client_limits(effective.address),
        _client_limits(effective.prefix),
        effective.prefix4,
        parse_networks(effective.known),
        effective.reserve,
        max_idle_accounts=effective.most_seen,
        retry_after_ms=effective.again_ms,
        max_lag_ms=effective.lag_ms,
    )


def _client_limits(caps):
    return ClientLimits(
        caps.connections,
        caps.per_s,
        caps.burst,
        caps.queries,
        caps.held_bytes,
        caps.senseless_per_s,
    )
