"""Bulk loads: they lock their tables on their engine, so that others wait there."""

from lichenquay.admission.domain import Query
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.query_size import expected_runtime_ms


def would_queue_too_long(query: Query, state: EngineState, gateway_share: float, now_ms: float) -> bool:
    """Whether a bulk load would miss its objective behind those of the same tables on the engine.

    They run there one by one. The runtimes of ours are divided by our share of the engine (0 to 1), as the
    other gateways' loads queue there too. Without the rule, each load ends late and makes the next one late.
    """
    if not query.table_group:
        return False
    ahead_ms = sum(
        expected_runtime_ms(reservation.query)
        for reservation in state.reservations.values()
        if reservation.group.is_bulk_load and reservation.query.table_group == query.table_group
    )
    if not ahead_ms:
        return False
    needed_ms = (ahead_ms / gateway_share + expected_runtime_ms(query)) * (state.slowdown_ratio or 1.0)
    return now_ms + needed_ms > query.arrived_ms + query.latency_objective_ms


def waits_for_lock(query: Query, state: EngineState, now_ms: float) -> bool:
    """Whether a bulk load that is known to us locks the query's tables on the engine, and the query minds."""
    if not query.table_group or state.table_locks.get(query.table_group, 0.0) <= now_ms:
        return False
    return query.group.is_bulk_load or query.group.waits_for_bulk_load
