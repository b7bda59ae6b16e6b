"""Computes how long changes took until they were in force at the gateways, by the machine's single clock."""

from dataclasses import dataclass

import numpy as np

from lichenquay.testbed.scale.client import TimedProposal
from lichenquay.testbed.scale.record import NEVER, GatewayLifetime

P50, P99 = 50, 99


@dataclass(frozen=True)
class UnreachablePeriod:
    """Holds gateways that were unreachable for a while; pairs that overlap it are left out of the
    percentiles.
    """

    names: frozenset[str]
    from_ms: float
    until_ms: float


@dataclass(frozen=True)
class ConfigFigures:
    """Holds the figures of the changes proposed in some period. A pair is one change at one gateway that had
    a version in force when the change was proposed; times run from its first proposal, in ms.
    """

    changes: int
    pairs: int
    pairs_left_out: int
    in_force_p50_ms: float | None
    in_force_p99_ms: float | None
    in_force_max_ms: float | None
    accepted_p99_ms: float | None  # From the proposal to the publisher's acceptance.
    never_in_force: int


def config_figures(
    changes: list[TimedProposal],
    lifetimes: list[GatewayLifetime],
    unreachable_periods: list[UnreachablePeriod] = (),
) -> ConfigFigures:
    """Returns the figures of accepted changes."""
    if not changes:
        return ConfigFigures(0, 0, 0, None, None, None, None, 0)
    ordered = sorted(changes, key=lambda change: change.version)
    versions = np.array([change.version for change in ordered], dtype=np.int64)
    proposed_ms = np.array([change.proposed_ms for change in ordered])
    accepted = [change.accepted_ms - change.proposed_ms for change in ordered]
    durations_by_gateway, left_out_count, never_count = [], 0, 0
    for lifetime in lifetimes:
        in_force_ms = times_in_force(lifetime, versions)
        counted = had_version(lifetime, proposed_ms)
        if lifetime.ended_ms == NEVER:
            never_count += int((counted & np.isinf(in_force_ms)).sum())
        counted &= np.isfinite(in_force_ms)
        excluded = counted & overlapping_pairs(lifetime.name, proposed_ms, in_force_ms, unreachable_periods)
        left_out_count += int(excluded.sum())
        durations_by_gateway.append((in_force_ms - proposed_ms)[counted & ~excluded])
    elapsed_ms = np.concatenate(durations_by_gateway) if durations_by_gateway else np.empty(0)
    return ConfigFigures(
        changes=len(ordered),
        pairs=len(elapsed_ms),
        pairs_left_out=left_out_count,
        in_force_p50_ms=percentile(elapsed_ms, P50),
        in_force_p99_ms=percentile(elapsed_ms, P99),
        in_force_max_ms=percentile(elapsed_ms, 100),
        accepted_p99_ms=percentile(np.array(accepted), P99),
        never_in_force=never_count,
    )


def times_in_force(lifetime: GatewayLifetime, versions: np.ndarray) -> np.ndarray:
    """Returns when each version, or a later one, first came in force at a gateway; inf where it never did."""
    highest = np.maximum.accumulate(np.array(lifetime.versions, dtype=np.int64))
    at_ms = np.append(np.array(lifetime.at_ms), np.inf)
    return at_ms[np.searchsorted(highest, versions, side="left")]


def had_version(lifetime: GatewayLifetime, proposed_ms: np.ndarray) -> np.ndarray:
    """Returns whether the gateway had some version in force at these times."""
    joined_ms = first_version_ms(lifetime)
    return (proposed_ms >= joined_ms) & (proposed_ms < lifetime.ended_ms)


def first_version_ms(lifetime: GatewayLifetime) -> float:
    """Returns when the gateway first had a version in force; inf where it never had."""
    for version, at_ms in zip(lifetime.versions, lifetime.at_ms, strict=True):
        if version > 0:
            return at_ms
    return NEVER


def overlapping_pairs(
    name: str, proposed_ms: np.ndarray, in_force_ms: np.ndarray, unreachable_periods: list[UnreachablePeriod]
) -> np.ndarray:
    """Returns which pairs overlap a period in which the gateway was unreachable."""
    overlapping = np.zeros(len(proposed_ms), dtype=bool)
    for period in unreachable_periods:
        if name in period.names:
            overlapping |= (proposed_ms <= period.until_ms) & (in_force_ms >= period.from_ms)
    return overlapping


def recovery_seconds(
    lifetimes: list[GatewayLifetime], names: frozenset[str], recovered_ms: float, version: int
) -> float | None:
    """Returns the seconds from a recovery until all of these gateways had a version in force; None where some
    never had.
    """
    versions = np.array([version], dtype=np.int64)
    latest_ms = recovered_ms
    for lifetime in lifetimes:
        if lifetime.name in names and lifetime.started_ms <= recovered_ms < lifetime.ended_ms:
            latest_ms = max(latest_ms, float(times_in_force(lifetime, versions)[0]))
    return round((latest_ms - recovered_ms) / 1000, 3) if np.isfinite(latest_ms) else None


def startup_seconds(
    lifetimes: list[GatewayLifetime], names: frozenset[str], started_ms: float, version: int
) -> float | None:
    """Returns the seconds from a start until all of these gateways had a version in force; None where some
    never had, or did not start.
    """
    versions = np.array([version], dtype=np.int64)
    started = {}
    for lifetime in sorted(lifetimes, key=lambda lifetime: lifetime.started_ms):
        if lifetime.name in names and lifetime.started_ms >= started_ms:
            started.setdefault(lifetime.name, lifetime)  # A later lifetime belongs to another start.
    if not names or set(started) != set(names):
        return None
    latest_ms = max(float(times_in_force(lifetime, versions)[0]) for lifetime in started.values())
    return round((latest_ms - started_ms) / 1000, 3) if np.isfinite(latest_ms) else None


def percentile(values: np.ndarray, percent: float) -> float | None:
    """Returns a percentile rounded to microseconds; None where there are no values."""
    return round(float(np.percentile(values, percent)), 3) if len(values) else None
