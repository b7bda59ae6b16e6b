"""What a control process shows of its parts, as lines of text."""

from lichenquay.fleet.applied_configuration import subscriber_lines


def publisher_lines(group, publisher, now_ms):
    """A voter's: its part in the group, and what is published while it holds the lease."""
    voter, leadership, source = group.voter, group.leadership, publisher.source
    holder, generation = group.holder
    lines = [
        f"lease {'holds' if group.holds(now_ms) else 'follows'} {holder or '-'} generation {generation}",
        f"group {leadership.phase} promised {voter.promise.generation} to {voter.promise.name or '-'} "
        f"record {voter.log.index} {'recovering ' * voter.is_recovering}"
        f"waits {max(0.0, voter.no_grants_until_ms - now_ms):.0f}",
        *_count_lines("leadership", leadership.counts),
        *_count_lines("votes", voter.counts),
    ]
    if group.holds(now_ms):
        lines += status_lines(publisher.status(now_ms))
    return lines + _count_lines("source", source.counts)


def status_lines(status):
    """What is accepted, and what is in force where."""
    return [
        f"published newest {status.newest} generation {status.generation} digest {status.digest:016x}",
        f"published in force {status.in_force} subscribers {status.subscribers} refused {status.refused} "
        f"stale {status.stale}",
        f"published keys {status.keys} bytes {status.bytes}",
    ]


def relay_lines(relay, now_ms):
    """A relay's: what it holds, and what its subscribers have in force."""
    coverage = relay.source.coverage(now_ms)
    return [
        *subscriber_lines(relay.subscriber, now_ms),
        f"below in force {coverage.oldest} subscribers {coverage.subscribers} refused {coverage.refused} "
        f"stale {coverage.stale}",
        *_count_lines("source", relay.source.counts),
    ]


def _count_lines(of, counts):
    return [f"{of} {what}: {number}" for what, number in sorted(counts.items())]
