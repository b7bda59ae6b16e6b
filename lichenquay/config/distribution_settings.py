"""Settings of gateways that follow distributed configuration (`distribution`), and its common timing."""

import hashlib
from dataclasses import fields as dataclass_fields

from lichenquay.config.endpoint_list import COMPLETE_KEY, ENGINE_PREFIX
from lichenquay.config.process_entries import problem_with_identity, problem_with_name, problem_with_relays
from lichenquay.distribution.settings import Settings as DistributionSettings

MAX_PREFIX_CHARACTERS = 64  # as of a key
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
# A timeout has to leave time for a second report, or one lost datagram would trigger it.
REPORTS_IN_A_TIMEOUT = 2


def problem_with_distribution(settings) -> str | None:
    """The first thing that cannot be used in what a gateway follows, or None."""
    distribution = settings.distribution
    if settings.HasField("fleet"):
        for field in ("fleet", "name", "listen"):
            if distribution.HasField(field):
                return f"distribution.{field}: said by `fleet` already"
    elif problem := problem_with_identity(distribution, "distribution"):
        return problem
    if not distribution.relays:
        return "distribution.relays: missing"
    listen = settings.fleet.listen or distribution.listen
    return (
        problem_with_relays(distribution.relays, "distribution", listen)
        or _problem_with_gateway_zone(distribution)
        or _problem_with_relay_names(settings)
        or _problem_with_prefixes(distribution.prefixes)
        or _problem_with_engines(distribution)
        or problem_with_timing(distribution.figures, "distribution")
    )


def problem_with_timing(figures, section: str) -> str | None:
    """The first timeout that is too short for its report interval, or None."""
    settings = distribution_settings(figures)
    for field in ("silent_ms", "expire_ms", "stale_ms"):
        value = getattr(settings, field)
        if value < REPORTS_IN_A_TIMEOUT * settings.report_ms:
            return f"{section}.figures.{field}: {value:g} is under two reports of {settings.report_ms:g}"
    return None


def distribution_settings(figures) -> DistributionSettings:
    """The settings of distribution, with the given values in place of the defaults."""
    known = {field.name for field in dataclass_fields(DistributionSettings)}
    given = {field.name: value for field, value in figures.ListFields() if field.name in known}
    return DistributionSettings(**given)


def followed_prefixes(distribution) -> tuple[str, ...]:
    """The key prefixes that a gateway subscribes to."""
    if distribution.prefixes:
        return tuple(distribution.prefixes)
    return (*DEFAULT_PREFIXES, ENGINE_PREFIX) if distribution.engines else DEFAULT_PREFIXES


def distribution_fingerprint(fleet: str) -> int:
    """64 bits that publishers, relays, gateways and clients of one fleet share."""
    return fingerprint_of("distribution", fleet)


def fingerprint_of(*values) -> int:
    """64 bits over values and the protocol's revision."""
    text = repr((PROTOCOL_REVISION, *values)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def _problem_with_gateway_zone(distribution):
    if not distribution.zone:
        return "distribution.zone: missing"
    if problem := problem_with_name(distribution.zone, "distribution.zone"):
        return problem
    if all(relay.zone != distribution.zone for relay in distribution.relays):
        return f"distribution.zone: no relay is in {distribution.zone!r}"
    return None


def _problem_with_relay_names(settings):
    peers = (peer.name for peer in settings.fleet.peers)
    gateways = {settings.fleet.name, settings.distribution.name, *peers}
    for index, relay in enumerate(settings.distribution.relays):
        if relay.name in gateways:
            return f"distribution.relays[{index}].name: {relay.name!r} is a front's"
    return None


def _problem_with_prefixes(prefixes):
    if len(prefixes) > MAX_PREFIXES:
        return f"distribution.prefixes: {len(prefixes)}, {MAX_PREFIXES} at most"
    for index, prefix in enumerate(prefixes):
        here = f"distribution.prefixes[{index}]"
        if len(prefix) > MAX_PREFIX_CHARACTERS:
            return f"{here}: {len(prefix)} characters, {MAX_PREFIX_CHARACTERS} at most"
        if prefix in prefixes[:index]:
            return f"{here}: {prefix!r} is said twice"
    return None


def _problem_with_engines(distribution):
    """A gateway that takes its endpoint list from here has to follow it, and its completeness marker."""
    if not distribution.engines:
        return None
    prefixes = followed_prefixes(distribution)
    covers_engines = any(
        prefix.startswith(ENGINE_PREFIX) or ENGINE_PREFIX.startswith(prefix) for prefix in prefixes
    )
    if not covers_engines or not COMPLETE_KEY.startswith(prefixes):
        return f"distribution.engines: `prefixes` have to cover {ENGINE_PREFIX} and {COMPLETE_KEY}"
    return None
