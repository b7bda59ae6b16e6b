"""Reserves quota for a gateway's queries, and settles it when they end."""

from collections.abc import Callable
from dataclasses import dataclass

from lichenquay.admission import domain
from lichenquay.admission.query_size import expected_work_ms


@dataclass
class TenantTotals:
    """Queries of one tenant since the start."""

    within_count: int = 0
    within_ms: float = 0.0
    beyond_count: int = 0


class TenantUsage:
    """Quota decisions on queries, and totals of each tenant that has an account."""

    def __init__(self, quota_participant, now_ms: Callable[[], float], set_timer: Callable[[], None]):
        """set_timer: called after each decision, as the quota part may be due earlier then."""
        self.quota_participant = quota_participant
        self.now_ms = now_ms
        self.set_timer = set_timer
        self.totals = {terms.tenant: TenantTotals() for terms in quota_participant.account_terms}

    def reserve_unless_over_quota(self, query: domain.Query) -> bool | None:
        """Whether the query is over its tenant's quota; None if the tenant has no account.

        The expected work of a query within quota is reserved until it is settled.
        """
        if query.tenant is None or query.tenant.name not in self.totals:
            return None
        work_ms = expected_work_ms(query)
        is_within = self.quota_participant.reserve(self.now_ms(), query, work_ms)
        totals = self.totals[query.tenant.name]
        if is_within:
            totals.within_count += 1
            totals.within_ms += work_ms
        else:
            totals.beyond_count += 1
        self.set_timer()
        return not is_within

    def settle_completed(self, query: domain.Query, cost: tuple[float, float] | None) -> None:
        """cost: work in ms and memory in MB; None if engines do not report it."""
        if cost is None:
            self.quota_participant.escrow.settle_at_estimate(self.now_ms(), query)
            return
        work_ms, _ = cost
        self.quota_participant.escrow.settle(self.now_ms(), query, work_ms)

    def settle_not_completed(self, query: domain.Query) -> None:
        """A query that was certainly never executed costs nothing, any other its estimate."""
        if all(attempt.outcome in domain.NEVER_EXECUTED for attempt in query.attempts):
            self.quota_participant.escrow.settle(self.now_ms(), query, 0.0)
        else:
            self.quota_participant.escrow.settle_at_estimate(self.now_ms(), query)

    def lines(self) -> list[str]:
        """Status lines, one for each tenant, by name."""
        return [
            f"taken {tenant} within {totals.within_count} of {totals.within_ms:.1f} ms, "
            f"beyond {totals.beyond_count}"
            for tenant, totals in sorted(self.totals.items())
        ]
