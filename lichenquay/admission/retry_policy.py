"""Retry eligibility: the number of attempts a query gets, and the budget of retries over all queries."""

from lichenquay.admission.domain import Query, SafetyLimits
from lichenquay.admission.idempotency import have_all_attempts_ended_harmlessly
from lichenquay.admission.sliding_window import SlidingWindow

BUCKETS_PER_WINDOW = 8  # of the settings' retry budget window
NO_WINDOW_MS = 1.0  # in place of a window that the settings do not give


class RetryPolicy:
    """Decides whether a query may get an(other) attempt.

    Retries are counted over a little more than the window and queries over a little less, so that the budget
    is kept at every instant although both are counted in buckets.
    """

    def __init__(self, max_attempts: int, limits: SafetyLimits, min_loop_interval_ms: float):
        """No query and no retry so far. `min_loop_interval_ms`: least time between two turns of the event loop."""
        self.max_attempts = max_attempts
        self.min_loop_interval_ms = min_loop_interval_ms
        self.free_retries = limits.retry_budget_free
        self.retries_per_query = limits.retry_budget_ratio
        self.bucket_ms = (limits.retry_budget_window_ms or NO_WINDOW_MS) / BUCKETS_PER_WINDOW
        self.retries = SlidingWindow(self.bucket_ms, BUCKETS_PER_WINDOW + 1)
        self.queries = SlidingWindow(self.bucket_ms, BUCKETS_PER_WINDOW)

    def record_query(self, now_ms: float) -> None:
        """A query was admitted; it adds to the retry budget."""
        self.queries.add(now_ms, 1)

    def record_retry(self, now_ms: float) -> None:
        """An attempt other than a query's first was started; it is charged to the retry budget."""
        self.retries.add(now_ms, 1)

    def may_attempt(self, query: Query, now_ms: float) -> bool:
        """Whether the query may get an attempt now: it is open, and a retry is harmless and in budget.

        Without it, queries that fail at once would multiply the load on engines that are failing already.
        """
        if query.is_done:
            return False
        if not query.attempts:
            return True
        if len(query.attempts) >= self.max_attempts or not have_all_attempts_ended_harmlessly(query):
            return False
        return self.has_budget(now_ms)

    def may_retry_in_time(self, query: Query, now_ms: float) -> bool:
        """As `may_attempt`, for a query that has a turn of the event loop left before its deadline."""
        return now_ms < query.deadline_ms - self.min_loop_interval_ms and self.may_attempt(query, now_ms)

    def has_budget(self, now_ms: float) -> bool:
        """Whether one more retry is within the budget of the settings' window."""
        if self.free_retries is None:
            return True
        allowed = self.free_retries + self.retries_per_query * self.queries.total(now_ms)
        return self.retries.total(now_ms) + 1 <= allowed
