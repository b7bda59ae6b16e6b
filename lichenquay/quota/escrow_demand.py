"""How many tokens a gateway should hold of one tenant, by its queries and by what the leader says."""

from collections.abc import Iterable

from lichenquay.admission.sliding_window import SlidingWindow
from lichenquay.quota import quota_pb2 as pb

DEMAND_WINDOW_MS = 8000.0
DEMAND_WINDOW_BUCKETS = 16
DEMAND_SHARE = 4  # one part in so many of the window's work is held
LAST_SECOND_BUCKET_MS = 250.0
LAST_SECOND_BUCKETS = 4
IDLE_STOCK_SHARE = 4  # of a bucket, one part in so many lies at gateways without queries


def idle_stocks(accounts: Iterable[pb.Open], gateway_count: int) -> dict[str, int]:
    """Tokens (us) that each of so many gateways holds of each tenant without any query.

    With more of it, less is left for the gateways where the queries come; with less, a gateway's first
    queries find too little.
    """
    return {terms.tenant: terms.bucket_us // (IDLE_STOCK_SHARE * gateway_count) for terms in accounts}


class TenantDemand:
    """One tenant at one gateway."""

    def __init__(self, idle_stock_us: int):
        """`idle_stock_us`: held without any query."""
        self.idle_stock_us = idle_stock_us
        self.low_water_us = 0  # with less than this free, tokens are requested at once
        self.scarce_until_ms = float("-inf")
        self.in_debt_until_ms = float("-inf")
        self.debt_ms = 0.0
        self.limit_ms = 0.0
        self._recent = SlidingWindow(DEMAND_WINDOW_MS / DEMAND_WINDOW_BUCKETS, DEMAND_WINDOW_BUCKETS)
        self._last_second = SlidingWindow(LAST_SECOND_BUCKET_MS, LAST_SECOND_BUCKETS)
        self._largest_us = 0

    def record_query(self, now_ms: float, estimate_us: int) -> None:
        """A query came, admitted or not."""
        self._recent.add(now_ms, estimate_us)
        self._last_second.add(now_ms, estimate_us)
        self._largest_us = max(estimate_us, self._largest_us * 7 // 8)

    def record_grant(self, now_ms: float, until_ms: float, granted: pb.Granted) -> None:
        """The leader's answer, valid until then.

        Both states end by themselves: a gateway that needs nothing of a scarce tenant requests nothing, and
        would never learn that tokens are plentiful again.
        """
        self.scarce_until_ms = until_ms if granted.scarce else now_ms
        self.in_debt_until_ms = until_ms if granted.owes_us else now_ms
        self.debt_ms = granted.owes_us / 1000
        self.limit_ms = granted.limit_us / 1000

    def is_scarce(self, now_ms: float) -> bool:
        """Whether other gateways lack tokens of this tenant."""
        return now_ms < self.scarce_until_ms

    def is_in_debt(self, now_ms: float) -> bool:
        """Whether the tenant has loans to repay."""
        return now_ms < self.in_debt_until_ms

    def needed_us(self, now_ms: float) -> int:
        """A part of the window's work, the last second's work, or the largest estimate.

        The last second counts in full because the window takes long to show that queries have begun to come.
        """
        if not self._recent.count(now_ms):
            return 0
        return max(
            int(self._recent.total(now_ms)) // DEMAND_SHARE,
            int(self._last_second.total(now_ms)),
            self._largest_us,
        )

    def borrowable_us(self, now_ms: float) -> int:
        """What the queries of the last second took; loans are for nothing else.

        A tenant that borrowed for queries which come no more would hold tokens that could repay its debt.
        """
        if not self._last_second.count(now_ms):
            return 0
        return max(int(self._last_second.total(now_ms)), self._largest_us)
