"""Bulk loads: they lock their tables on their engine, so other queries wait for them there."""

from lichenquay.admission.domain import Query
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.query_size import expected_runtime_ms


def would_queue_too_long(query: Query, state: EngineState, gateway_share: float, now_ms: float) -> bool:
    """Returns whether a bulk load would miss its objective behind loads of the same tables on the engine.

    Loads of the same tables run one at a time. The expected runtimes of this gateway's loads are divided by
    its share of the engine (0 to 1), because the loads of the other gateways wait there too. Without this
    rule, each load ends late and delays the next one.
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
    """Returns whether a known bulk load locks the query's tables on the engine and blocks the query."""
    if not query.table_group or state.table_locks.get(query.table_group, 0.0) <= now_ms:
        return False
    return query.group.is_bulk_load or query.group.waits_for_bulk_load
