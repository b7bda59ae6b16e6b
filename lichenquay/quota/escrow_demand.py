"""How many tokens of a tenant a gateway should hold, from its queries and the leader's answers."""

from collections.abc import Iterable

from lichenquay.admission.sliding_window import SlidingWindow
from lichenquay.quota import quota_pb2 as pb

DEMAND_WINDOW_MS = 8000.0
DEMAND_WINDOW_BUCKETS = 16
DEMAND_DIVISOR = 4  # the window's work divided by this is held
LAST_SECOND_BUCKET_MS = 250.0
LAST_SECOND_BUCKETS = 4
IDLE_STOCK_DIVISOR = 4  # the bucket divided by this is held by all gateways together without queries


def idle_stocks(accounts: Iterable[pb.Open], gateway_count: int) -> dict[str, int]:
    """Returns, by tenant, the tokens (us) that each gateway of the fleet holds without any query.

    A larger stock leaves less for the gateways that receive the queries; with a smaller one, a gateway's
    first queries find too few tokens.
    """
    return {terms.tenant: terms.bucket_us // (IDLE_STOCK_DIVISOR * gateway_count) for terms in accounts}


class TenantDemand:
    """The demand for tokens of one tenant at one gateway."""

    def __init__(self, idle_stock_us: int):
        """Starts without queries. `idle_stock_us`: tokens to hold without any query."""
        self.idle_stock_us = idle_stock_us
        self.low_water_us = 0  # with fewer free tokens, a request is sent at once
        self.scarce_until_ms = float("-inf")
        self.in_debt_until_ms = float("-inf")
        self.debt_ms = 0.0
        self.limit_ms = 0.0
        self._recent = SlidingWindow(DEMAND_WINDOW_MS / DEMAND_WINDOW_BUCKETS, DEMAND_WINDOW_BUCKETS)
        self._last_second = SlidingWindow(LAST_SECOND_BUCKET_MS, LAST_SECOND_BUCKETS)
        self._largest_us = 0

    def record_query(self, now_ms: float, estimate_us: int) -> None:
        """Records a query that arrived, admitted or not."""
        self._recent.add(now_ms, estimate_us)
        self._last_second.add(now_ms, estimate_us)
        self._largest_us = max(estimate_us, self._largest_us * 7 // 8)

    def record_grant(self, now_ms: float, until_ms: float, granted: pb.Granted) -> None:
        """Records the scarcity and debt of the leader's answer, which apply until `until_ms`.

        Both expire without a further answer: a gateway that needs no tokens of a scarce tenant requests none,
        and would never learn that they are plentiful again.
        """
        self.scarce_until_ms = until_ms if granted.scarce else now_ms
        self.in_debt_until_ms = until_ms if granted.owes_us else now_ms
        self.debt_ms = granted.owes_us / 1000
        self.limit_ms = granted.limit_us / 1000

    def is_scarce(self, now_ms: float) -> bool:
        """Returns whether other gateways lack tokens of this tenant."""
        return now_ms < self.scarce_until_ms

    def is_in_debt(self, now_ms: float) -> bool:
        """Returns whether the tenant has loans to repay."""
        return now_ms < self.in_debt_until_ms

    def needed_us(self, now_ms: float) -> int:
        """Returns the maximum of part of the window's work, the last second's work and the largest estimate.

        The last second counts in full because the window is slow to show that queries have started to arrive.
        """
        if not self._recent.count(now_ms):
            return 0
        return max(
            int(self._recent.total(now_ms)) // DEMAND_DIVISOR,
            int(self._last_second.total(now_ms)),
            self._largest_us,
        )

    def borrowable_us(self, now_ms: float) -> int:
        """Returns the work of the last second's queries; loans are granted for nothing else.

        A tenant that borrowed for queries that no longer arrive would hold tokens that could repay its debt.
        """
        if not self._last_second.count(now_ms):
            return 0
        return max(int(self._last_second.total(now_ms)), self._largest_us)
