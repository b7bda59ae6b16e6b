"""Measures of a query's size, from its estimate or from its group's latency objective."""

from lichenquay.admission.domain import Query


def expected_work_ms(query: Query) -> float:
    """Returns the work of all the query's threads together, in milliseconds of one thread.

    A query without an estimate counts as the work that its group's latency objective leaves time for;
    otherwise it would count as free in every budget.
    """
    return query.estimated_work_ms or query.group.latency_objective_ms * query.group.threads


def expected_runtime_ms(query: Query) -> float:
    """Returns the runtime in milliseconds on an idle engine: the expected work over the group's threads."""
    return expected_work_ms(query) / query.group.threads
