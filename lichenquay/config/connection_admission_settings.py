"""Settings of connection admission (the `gate` section): checks, defaults, and the rules made of them."""

from google.protobuf import text_format

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.connection_admission.limits import ClientLimits, ConnectionRules, parse_networks

DEFAULTS = "prefix4: 24 most_seen: 4096 again_ms: 1000 lag_ms: 50"


def problem_with_connection_admission(gate, path: str) -> str | None:
    """The first thing that cannot be used, beyond the ranges, or None."""
    for holder in ("address", "prefix"):
        limits = getattr(gate, holder)
        if limits.per_s and limits.burst < 1:
            return f"{path}.{holder}.burst: {limits.burst:g} lets nobody in; 1 at least, as per_s is set"
    try:
        parse_networks(gate.known)
    except ValueError as error:
        return f"{path}.known: {error}"
    if gate.reserve and not gate.known:
        return f"{path}.reserve: {gate.reserve}, but no range is known"
    return None


def connection_rules(gate, max_connections: int) -> ConnectionRules:
    """The rules of connection admission for at most `max_connections`, defaults filled in."""
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
