"""Settings of gateways that subscribe to distributed configuration, and the shared timing settings."""

import hashlib
from dataclasses import fields as dataclass_fields

from lichenquay.config.endpoint_list import COMPLETE_KEY, ENGINE_PREFIX
from lichenquay.config.process_entries import find_identity_error, find_name_error, find_relay_list_error
from lichenquay.distribution.settings import Settings as DistributionSettings

MAX_PREFIX_LENGTH = 64  # in characters; the maximum length of a key
MAX_PREFIXES = DistributionSettings.most_prefixes
DEFAULT_PREFIXES = ("config/",)
PROTOCOL_REVISION = 1
TIMING_RANGES = {
    "report_ms": (50, 60_000),
    "silent_ms": (100, 600_000),
    "expire_ms": (200, 3.6e6),
    "stale_ms": (100, 3.6e6),
    "merge_ms": (0, 10_000),
    "snapshot_bytes_per_s": (1e4, 1e10),
    "most_snapshots": (1, 4096),
    "most_sessions": (1, 65_536),
}
# A timeout shorter than two report intervals would expire after one lost datagram.
MIN_REPORTS_PER_TIMEOUT = 2


def find_distribution_error(settings) -> str | None:
    """Returns the first error in the `distribution` section of a gateway, or None."""
    distribution = settings.distribution
    if settings.HasField("fleet"):
        for field in ("fleet", "name", "listen"):
            if distribution.HasField(field):
                return f"distribution.{field}: not allowed, as the `fleet` section sets it"
    elif error := find_identity_error(distribution, "distribution"):
        return error
    if not distribution.relays:
        return "distribution.relays: missing"
    listen = settings.fleet.listen or distribution.listen
    return (
        find_relay_list_error(distribution.relays, "distribution", listen)
        or _find_gateway_zone_error(distribution)
        or _find_relay_name_error(settings)
        or _find_prefixes_error(distribution.prefixes)
        or _find_engines_error(distribution)
        or find_timing_error(distribution.figures, "distribution")
    )


def find_timing_error(figures, section: str) -> str | None:
    """Returns an error for the first timeout that is too short for the report interval, or None."""
    settings = distribution_settings(figures)
    for field in ("silent_ms", "expire_ms", "stale_ms"):
        value = getattr(settings, field)
        if value < MIN_REPORTS_PER_TIMEOUT * settings.report_ms:
            return (
                f"{section}.figures.{field}: {value:g} is less than "
                f"{MIN_REPORTS_PER_TIMEOUT} report intervals of {settings.report_ms:g}"
            )
    return None


def distribution_settings(figures) -> DistributionSettings:
    """Returns the timing settings, with defaults for missing values."""
    known = {field.name for field in dataclass_fields(DistributionSettings)}
    given = {field.name: value for field, value in figures.ListFields() if field.name in known}
    return DistributionSettings(**given)


def followed_prefixes(distribution) -> tuple[str, ...]:
    """Returns the key prefixes that a gateway subscribes to."""
    if distribution.prefixes:
        return tuple(distribution.prefixes)
    return (*DEFAULT_PREFIXES, ENGINE_PREFIX) if distribution.engines else DEFAULT_PREFIXES


def distribution_fingerprint(fleet: str) -> int:
    """Returns the 64-bit fingerprint shared by the publishers, relays, gateways and clients of a fleet."""
    return fingerprint_of("distribution", fleet)


def fingerprint_of(*values) -> int:
    """Returns a 64-bit hash of the values and the protocol revision."""
    text = repr((PROTOCOL_REVISION, *values)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def _find_gateway_zone_error(distribution):
    if not distribution.zone:
        return "distribution.zone: missing"
    if error := find_name_error(distribution.zone, "distribution.zone"):
        return error
    if all(relay.zone != distribution.zone for relay in distribution.relays):
        return f"distribution.zone: no relay is in {distribution.zone!r}"
    return None


def _find_relay_name_error(settings):
    peers = (peer.name for peer in settings.fleet.peers)
    gateways = {settings.fleet.name, settings.distribution.name, *peers}
    for index, relay in enumerate(settings.distribution.relays):
        if relay.name in gateways:
            return f"distribution.relays[{index}].name: {relay.name!r} is already the name of a gateway"
    return None


def _find_prefixes_error(prefixes):
    if len(prefixes) > MAX_PREFIXES:
        return f"distribution.prefixes: {len(prefixes)} prefixes; at most {MAX_PREFIXES} are allowed"
    for index, prefix in enumerate(prefixes):
        path = f"distribution.prefixes[{index}]"
        if len(prefix) > MAX_PREFIX_LENGTH:
            return f"{path}: {len(prefix)} characters; at most {MAX_PREFIX_LENGTH} are allowed"
        if prefix in prefixes[:index]:
            return f"{path}: {prefix!r} is a duplicate"
    return None


def _find_engines_error(distribution):
    """Returns an error if `engines` is set and the prefixes omit the endpoint list or its marker."""
    if not distribution.engines:
        return None
    prefixes = followed_prefixes(distribution)
    covers_engines = any(
        prefix.startswith(ENGINE_PREFIX) or ENGINE_PREFIX.startswith(prefix) for prefix in prefixes
    )
    if not covers_engines or not COMPLETE_KEY.startswith(prefixes):
        return f"distribution.engines: `prefixes` must cover {ENGINE_PREFIX} and {COMPLETE_KEY}"
    return None
