"""Status lines of a gateway's part in the quota. No I/O."""

from lichenquay.lease.group import LeaseGroup
from lichenquay.quota.errors import LedgerError
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.ledger_leader import LedgerLeader


def quota_lines(quota_participant, now_ms: float) -> list[str]:
    """Status lines of a `QuotaPart`. Amounts are milliseconds of engine work."""
    lines = _escrow_lines(quota_participant.escrow, now_ms)
    if quota_participant.group is not None:
        lines.append(_group_line(quota_participant.group, now_ms))
    if quota_participant.is_leading:
        lines += _ledger_lines(quota_participant.leader)
    return lines


def _escrow_lines(escrow: TokenEscrow, now_ms):
    tenants = [
        f"quota {tenant} {' '.join(f'{amount_ms:.1f}' for amount_ms in status)}"
        for tenant, status in sorted(escrow.status(now_ms).items())
    ]
    name, generation = escrow.leader or ("-", 0)
    return [
        *tenants,
        f"ledger leader {name} {generation}",
        f"escrow tokens expired: {escrow.expiries}",
        f"quota messages implausible: {escrow.implausible_answers}",
    ]


def _group_line(group: LeaseGroup, now_ms):
    voter = group.voter
    leadership = group.leadership
    recovering = "recovering " if voter.is_recovering else ""
    return (
        f"group {group.group_id} {leadership.phase} generation {leadership.generation} "
        f"promised {voter.promise.generation} to {voter.promise.name or '-'} "
        f"candidate {leadership.is_candidate} failed {leadership.failed_acquisitions} "
        f"{recovering}waits {max(0.0, voter.no_grants_until_ms - now_ms):.0f} "
        f"acquires in {leadership.next_acquire_ms - now_ms:.0f} counts {leadership.counts} {voter.counts}"
    )


def _ledger_lines(leader: LedgerLeader):
    accounts = [
        f"ledger {tenant} {' '.join(f'{amount_ms:.1f}' for amount_ms in status)}"
        for tenant, status in sorted(leader.status().items())
    ]
    return [
        *accounts,
        f"ledger records: {leader.records_committed}",
        f"ledger writes uncertain: {leader.uncertain_writes}",
        f"ledger conserved: {_conservation(leader)}",
        f"loans barred: {leader.loans_barred}",
        f"ledger last error: {leader.last_error or 'none'}",
    ]


def _conservation(leader):
    """Whether the ledger's amounts add up; a program fault that creates tokens from nothing shows here."""
    if leader.committed is None:
        return "not in office"
    try:
        leader.committed.check()
    except LedgerError as error:
        return str(error)
    return "yes"
