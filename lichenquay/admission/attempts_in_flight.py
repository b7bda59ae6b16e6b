"""Attempts in flight: starts an attempt with its grant and reservation, and releases what it holds."""

from lichenquay.admission.domain import EngineCapabilities, Query
from lichenquay.admission.engine_choice import Candidate
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.memory_grants import MemoryGrants
from lichenquay.admission.pooled_slots import PooledAdmission, PooledSlots
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.pressure import Pressure
from lichenquay.admission.priorities import priority_of
from lichenquay.admission.query_size import expected_runtime_ms
from lichenquay.admission.reservation import InFlightTotals, Reservation
from lichenquay.admission.retry_policy import RetryPolicy
from lichenquay.admission.slot_table import SlotTable
from lichenquay.admission.slow_start import SlowStart


class AttemptsInFlight:
    """Starts attempts and accounts for what they hold, on their engines and in total."""

    def __init__(
        self,
        port: GatewayPort,
        capabilities: EngineCapabilities,
        registry: EngineRegistry,
        totals: InFlightTotals,
        slot_table: SlotTable,
        pooled_slots: PooledSlots,
        grants: MemoryGrants,
        pressure: Pressure,
        retry_policy: RetryPolicy,
        slow_start: SlowStart,
    ):
        """Starts with nothing in flight. `totals`: this gateway's totals, updated by this object."""
        self.port = port
        self.sets_grants = capabilities.honours_memory_grants or capabilities.honours_priorities
        self.registry = registry
        self.totals = totals
        self.slot_table = slot_table
        self.pooled_slots = pooled_slots
        self.grants = grants
        self.pressure = pressure
        self.retry_policy = retry_policy
        self.slow_start = slow_start
        self.busy: dict[EngineState, bool] = {}  # an ordered set of the engines that have reservations

    def start(self, query: Query, chosen: Candidate, now_ms: float) -> None:
        """Starts an attempt on the chosen engine, and charges it to its slot and every budget."""
        state = chosen.state
        group = query.group
        state.next_try_ms = now_ms + group.latency_objective_ms
        slot = self.slot_table.slot_for(state, group, now_ms)
        grant_mb = self.grants.grant_mb(query, state, chosen.slot_kind)
        is_interactive = group in self.grants.interactive
        if self.sets_grants:
            query.priority = priority_of(query, is_interactive, state.slowdown_ratio, 0.0, self.port.now_ms)
            self.port.set_grant(query, grant_mb, query.priority)
        attempt = self.port.start_attempt(query, state.engine, query.deadline_ms - now_ms)
        slot.pool_mb = slot.pool_mb or grant_mb * slot.maximum or None
        granted_mb = grant_mb or query.estimated_memory_mb
        reservation = Reservation(attempt, state, slot, chosen.slot_kind, granted_mb, is_interactive)
        state.reservations[attempt] = reservation
        reservation.acquire(self.totals, now_ms)
        if slot.is_pooled:
            self._record_pooled_admission(reservation, now_ms)
        state.expire_weight()
        self.busy[state] = True
        self.registry.active[state] = True
        if group.is_bulk_load:
            state.table_locks[query.table_group] = query.deadline_ms
        if len(query.attempts) > 1:
            self.retry_policy.record_retry(now_ms)
        self.slow_start.record_attempt(state, query, now_ms)

    def _record_pooled_admission(self, reservation: Reservation, now_ms: float) -> None:
        query = reservation.query
        if query.estimated_work_ms:
            expected_ms = expected_runtime_ms(query) * self.pressure.slowdowns.mean(now_ms, 1.0)
        else:
            expected_ms = reservation.slot.mean_runtime_ms
        self.pooled_slots.record_admission(
            PooledAdmission(now_ms, expected_ms, query.group.threads, reservation.granted_mb)
        )

    def release(self, reservation: Reservation) -> None:
        """Releases everything that the attempt holds; its work has ended."""
        state = reservation.engine_state
        if state.reservations.pop(reservation.attempt, None) is None:
            return
        reservation.release(self.totals)
        state.expire_weight()
        if reservation.group.is_bulk_load:
            state.table_locks.pop(reservation.query.table_group, None)
        if not state.reservations:
            self.busy.pop(state, None)

    def exclude_from_total(self, reservation: Reservation) -> None:
        """Counts the attempt on its engine only: its time is up, but the engine still works on it."""
        reservation.exclude_from_total(self.totals)
