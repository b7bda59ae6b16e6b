"""Priorities of attempts on their engine."""

from lichenquay.admission.domain import Priority, Query
from lichenquay.admission.query_size import expected_runtime_ms

TIGHT_FACTOR = 1.2  # time left, over the time needed, below which a query is tight


def priority_of(
    query: Query, is_interactive: bool, slowdown_ratio: float | None, done_share: float, now_ms: float
) -> Priority:
    """The priority of the query's attempt.

    Inputs: the engine's slowdown ratio (None: unknown, taken as 1), and the share done (0 to 1).
    Interactive queries come first, as their work is small; then those that meet their objective only if
    favoured; those that have missed it come last, as they have least to lose.
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
