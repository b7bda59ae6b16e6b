"""Tenant quota: whether a query counts as over its tenant's quota."""

from collections.abc import Callable, Sequence

from lichenquay.admission.domain import Query, Tenant
from lichenquay.admission.sliding_window import SlidingWindow

WINDOW_BUCKETS = 8
MIN_QUERIES_TO_JUDGE = 10  # fewer in the window say nothing about a tenant's share


class TenantQuota:
    """Marks queries over quota: by the fleet's ledger where there is one, else by our own traffic."""

    def __init__(self, tenants: Sequence[Tenant], bucket_ms: float, draw: Callable[[], float]):
        """`draw`: gives numbers between 0 and 1."""
        self.traffic = {tenant: SlidingWindow(bucket_ms, WINDOW_BUCKETS) for tenant in tenants}
        self.draw = draw

    def record_and_check(self, query: Query, now_ms: float) -> bool:
        """Whether the query counts as over quota; such queries wait behind all others of their group.

        Without a ledger, as many of a tenant's queries count as exceed its share of our traffic, by chance.
        Without the rule, one tenant's burst takes the slots of all others.
        """
        if query.tenant is None or query.over_quota is not None:
            return bool(query.over_quota)
        own_traffic = self.traffic[query.tenant]
        own_traffic.add(now_ms, 1)
        own_count = own_traffic.count(now_ms)
        all_count = sum(window.count(now_ms) for window in self.traffic.values())
        if own_count <= MIN_QUERIES_TO_JUDGE:
            return False
        return self.draw() > query.tenant.quota_share * all_count / own_count
