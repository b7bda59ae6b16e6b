"""Priorities of attempts on their engine."""

from lichenquay.admission.domain import Priority, Query
from lichenquay.admission.query_size import expected_runtime_ms

TIGHT_FACTOR = 1.2  # a query is tight below this ratio of the time left to the time needed


def priority_of(
    query: Query, is_interactive: bool, slowdown_ratio: float | None, done_share: float, now_ms: float
) -> Priority:
    """Returns the priority of the query's attempt.

    `slowdown_ratio`: the engine's; None: unknown, taken as 1. `done_share`: the completed share, 0 to 1.
    Interactive queries come first, because their work is small; then queries that meet their objective only
    if the engine prefers them. Queries that have missed their objective come last, because little more can be
    lost on them.
    """
    limit_ms = min(query.arrived_ms + query.latency_objective_ms, query.deadline_ms)
    left_ms = limit_ms - now_ms
    if left_ms <= 0:
        return Priority.LATE
    if is_interactive:
        return Priority.INTERACTIVE
    needed_ms = (1 - done_share) * expected_runtime_ms(query)
    if needed_ms < left_ms < TIGHT_FACTOR * (slowdown_ratio or 1.0) * needed_ms:
        return Priority.TIGHT
    return Priority.NORMAL
