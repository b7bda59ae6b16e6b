"""Retry eligibility: the number of attempts a query gets, and the budget of retries over all queries."""

from lichenquay.admission.domain import Query, SafetyLimits
from lichenquay.admission.idempotency import have_all_attempts_ended_harmlessly
from lichenquay.admission.sliding_window import SlidingWindow

BUCKETS_PER_WINDOW = 8  # of the retry budget window in the settings
DEFAULT_WINDOW_MS = 1.0  # used where the settings give no window


class RetryPolicy:
    """Decides whether a query may get another attempt.

    Retries are counted over slightly more than the window and queries over slightly less, so that the budget
    holds at every instant although both are counted in buckets.
    """

    def __init__(self, max_attempts: int, limits: SafetyLimits, min_loop_interval_ms: float):
        """Starts empty. `min_loop_interval_ms`: shortest time between event loop iterations."""
        self.max_attempts = max_attempts
        self.min_loop_interval_ms = min_loop_interval_ms
        self.free_retries = limits.retry_budget_free
        self.retries_per_query = limits.retry_budget_ratio
        self.bucket_ms = (limits.retry_budget_window_ms or DEFAULT_WINDOW_MS) / BUCKETS_PER_WINDOW
        self.retries = SlidingWindow(self.bucket_ms, BUCKETS_PER_WINDOW + 1)
        self.queries = SlidingWindow(self.bucket_ms, BUCKETS_PER_WINDOW)

    def record_query(self, now_ms: float) -> None:
        """Counts an admitted query, which adds to the retry budget."""
        self.queries.add(now_ms, 1)

    def record_retry(self, now_ms: float) -> None:
        """Charges a started attempt, other than a query's first, to the retry budget."""
        self.retries.add(now_ms, 1)

    def may_attempt(self, query: Query, now_ms: float) -> bool:
        """Returns whether the query may get an attempt: it is open, and a retry is harmless and in budget.

        Without this limit, queries that fail immediately would multiply the load on engines that are already
        failing.
        """
        if query.is_done:
            return False
        if not query.attempts:
            return True
        if len(query.attempts) >= self.max_attempts or not have_all_attempts_ended_harmlessly(query):
            return False
        return self.has_budget(now_ms)

    def may_retry_in_time(self, query: Query, now_ms: float) -> bool:
        """Returns whether the query may get an attempt and has an event loop iteration left for it."""
        return now_ms < query.deadline_ms - self.min_loop_interval_ms and self.may_attempt(query, now_ms)

    def has_budget(self, now_ms: float) -> bool:
        """Returns whether one more retry is within the budget of the window."""
        if self.free_retries is None:
            return True
        allowed = self.free_retries + self.retries_per_query * self.queries.total(now_ms)
        return self.retries.total(now_ms) + 1 <= allowed
