"""The state of a control process as status lines, for SIGUSR1."""

from collections.abc import Mapping

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.publisher import Publisher
from lichenquay.distribution.relay import Relay
from lichenquay.fleet.applied_configuration import subscriber_lines
from lichenquay.lease.group import LeaseGroup


def voter_lines(group: LeaseGroup, publisher: Publisher, now_ms: float) -> list[str]:
    """Returns a voter's lines: its state in the lease group, and what it publishes while it leads."""
    lines = [
        _lease_line(group, now_ms),
        _group_line(group, now_ms),
        *_count_lines("leadership", group.leadership.counts),
        *_count_lines("votes", group.voter.counts),
    ]
    if group.holds(now_ms):
        lines += _status_lines(publisher.status(now_ms))
    return lines + _count_lines("source", publisher.source.counts)


def relay_lines(relay: Relay, now_ms: float) -> list[str]:
    """Returns a relay's lines: what it holds, and what its subscribers have in force."""
    coverage = relay.source.coverage(now_ms)
    return [
        *subscriber_lines(relay.subscriber, now_ms),
        f"downstream in force {coverage.oldest} subscribers {coverage.subscribers} "
        f"refused {coverage.refused} stale {coverage.stale}",
        *_count_lines("source", relay.source.counts),
    ]


def _lease_line(group, now_ms):
    relation = "holds" if group.holds(now_ms) else "follows"
    return f"lease {relation} {group.holder.name or '-'} generation {group.holder.generation}"


def _group_line(group, now_ms):
    voter = group.voter
    recovering = "recovering " if voter.is_recovering else ""
    wait_ms = max(0.0, voter.no_grants_until_ms - now_ms)
    return (
        f"group {group.leadership.phase} promised {voter.promise.generation} to {voter.promise.name or '-'} "
        f"record {voter.log.index} {recovering}waits {wait_ms:.0f}"
    )


def _status_lines(status: pb.Status) -> list[str]:
    """Returns what is accepted, and what of it is in force at the subscribers."""
    return [
        f"published newest {status.newest} generation {status.generation} digest {status.digest:016x}",
        f"published in force {status.in_force} subscribers {status.subscribers} "
        f"refused {status.refused} stale {status.stale}",
        f"published keys {status.keys} bytes {status.bytes}",
    ]


def _count_lines(prefix: str, counts: Mapping[str, int]) -> list[str]:
    return [f"{prefix} {name}: {count}" for name, count in sorted(counts.items())]
