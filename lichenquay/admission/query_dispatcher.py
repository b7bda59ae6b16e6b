"""Dispatch: whether a query runs now, on which engine, and with which grant; else it waits for a slot."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from lichenquay.admission.admission_slot import SlotKind
from lichenquay.admission.bulk_loads import waits_for_lock, would_queue_too_long
from lichenquay.admission.dispatch_checks import DispatchChecks
from lichenquay.admission.domain import Effect, EngineCapabilities, Query
from lichenquay.admission.endpoint_list import EndpointStaleness
from lichenquay.admission.engine_fleet import EngineFleet
from lichenquay.admission.engine_selection import EngineSelection
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.memory_grants import MemoryGrants, MemoryShare
from lichenquay.admission.outlier_detection import OutlierDetection
from lichenquay.admission.pooled_slots import PooledAdmission, PooledSlots
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.pressure import Pressure
from lichenquay.admission.priorities import priority_of
from lichenquay.admission.query_size import expected_runtime_ms
from lichenquay.admission.reservation import InFlightTotals, Reservation
from lichenquay.admission.retry_policy import RetryPolicy
from lichenquay.admission.slot_availability import SlotAvailability
from lichenquay.admission.slot_table import SlotTable
from lichenquay.admission.slow_start import SlowStart
from lichenquay.admission.waiting_queries import WaitingQueries

WAITING_TIME_DIVISOR = 10  # a query waits for a slot for 1/10 of its time, then gets its final answer


class Objections(NamedTuple):
    """What speaks against an engine, the most serious first; objections compare in this order."""

    is_unresponsive: bool
    has_outlying_errors: bool
    waits_for_lock: bool
    was_tried: bool  # by an earlier attempt of the query
    has_minimum_slot_only: bool
    is_overcommitted: bool


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may get the query, and what speaks against it."""

    state: EngineState
    objections: Objections


class QueryDispatcher:
    """Starts attempts where engines have room, and keeps the other queries waiting."""

    def __init__(
        self,
        port: GatewayPort,
        capabilities: EngineCapabilities,
        fleet: EngineFleet,
        staleness: EndpointStaleness,
        retry_policy: RetryPolicy,
        checks: DispatchChecks,
        slow_start: SlowStart,
        selection: EngineSelection,
        outliers: OutlierDetection,
        pressure: Pressure,
        slot_table: SlotTable,
        availability: SlotAvailability,
        pooled_slots: PooledSlots,
        grants: MemoryGrants,
        memory_share: MemoryShare,
        waiting: WaitingQueries,
        in_flight: InFlightTotals,
        give_final_answer: Callable[[Query], None],
    ):
        """`give_final_answer`: called with a query that has waited for too long."""
        self.port = port
        self.sets_grants = capabilities.honours_memory_grants or capabilities.honours_priorities
        self.fleet = fleet
        self.staleness = staleness
        self.retry_policy = retry_policy
        self.checks = checks
        self.slow_start = slow_start
        self.selection = selection
        self.outliers = outliers
        self.pressure = pressure
        self.slot_table = slot_table
        self.availability = availability
        self.pooled_slots = pooled_slots
        self.grants = grants
        self.memory_share = memory_share
        self.waiting = waiting
        self.in_flight = in_flight
        self.give_final_answer = give_final_answer
        self.busy: dict[EngineState, bool] = {}  # an ordered set: engines with reservations

    def submit(self, query: Query) -> None:
        """Starts an attempt now, or lets the query wait for a tenth of its time (paper, 4.5).

        A query that waits longer has little time left for an attempt; its client can retry elsewhere instead.
        """
        now_ms = self.port.now_ms
        if self._try_start(query, now_ms):
            return
        self.waiting.add(query)
        waits_until_ms = now_ms + (query.deadline_ms - query.arrived_ms) / WAITING_TIME_DIVISOR
        self.port.call_at(waits_until_ms, lambda: self._end_wait(query))

    def _end_wait(self, query: Query) -> None:
        if self.waiting.contains(query):
            self.give_final_answer(query)

    def dispatch_waiting(self, now_ms: float, only: EngineState | None = None) -> None:
        """Something may have become free (on the engine `only`): a few waiting queries are tried."""
        for query in self.waiting.next_candidates():
            if self._try_start(query, now_ms, only):
                self.waiting.remove(query)

    def _try_start(self, query: Query, now_ms: float, only: EngineState | None = None) -> bool:
        """Starts an attempt of the query if an engine (or the engine `only`) has room; whether it did."""
        if not self.fleet.states or self.staleness.is_stale(now_ms):
            return False
        if not self.retry_policy.may_attempt(query, now_ms):
            return False
        pooled_kind = None
        if self.slot_table.is_pooled(query.group):
            pooled_kind = self.pooled_slots.free_kind(query, now_ms)
            if pooled_kind is None:
                return False
        chosen = self._choose_engine(query, now_ms, only, pooled_kind)
        if chosen is None:
            return False
        chosen.state.next_probe_ms = now_ms + query.group.latency_objective_ms
        kind = SlotKind.MINIMUM if chosen.objections.has_minimum_slot_only else SlotKind.MAXIMUM
        self._start_attempt(query, chosen.state, kind, now_ms)
        return True

    def _choose_engine(
        self, query: Query, now_ms: float, only: EngineState | None, pooled_kind: SlotKind | None
    ) -> Candidate | None:
        """The first engine drawn that has room and no objection, else the one with the least objections.

        An unresponsive engine is chosen only if no engine that may get the query is responsive; then one gets
        a read-only query as a probe now and then. Otherwise a fleet that recovers would not be noticed.
        """
        group = query.group
        is_bulk_load = group.is_bulk_load
        may_probe = group.effect == Effect.READ_ONLY
        gateway_share = self.slot_table.gateway_share
        may_send = self.checks.may_send
        free_kind = self.availability.free_kind
        tried = {attempt.engine for attempt in query.attempts}
        is_any_responsive = only is not None
        best: Candidate | None = None
        for state in (only,) if only is not None else self.selection.draw(query, now_ms):
            if not may_send(query, state, now_ms):
                continue
            if is_bulk_load and would_queue_too_long(query, state, gateway_share, now_ms):
                continue
            is_any_responsive = is_any_responsive or not state.is_unresponsive
            kind = free_kind(query, state, now_ms, pooled_kind)
            if kind is None:
                continue
            if state.is_unresponsive and not (
                may_probe and now_ms >= state.next_probe_ms and not state.reservations
            ):
                continue
            objections = Objections(
                state.is_unresponsive,
                self.outliers.has_outlying_errors(state, now_ms),
                waits_for_lock(query, state, now_ms),
                state.engine in tried,
                kind is SlotKind.MINIMUM,
                self.memory_share.would_overcommit(query, state),
            )
            if best is None or objections < best.objections:
                best = Candidate(state, objections)
            if not any(objections):
                break
        if best is not None and best.state.is_unresponsive and is_any_responsive:
            return None
        return best

    def _start_attempt(self, query: Query, state: EngineState, kind: SlotKind, now_ms: float) -> None:
        """Starts an attempt on the engine, and counts it everywhere."""
        group = query.group
        slot = self.slot_table.slot_for(state, group, now_ms)
        grant_mb = self.grants.grant_mb(query, state, kind)
        is_interactive = group in self.grants.interactive
        if self.sets_grants:
            query.priority = priority_of(query, is_interactive, state.slowdown_ratio, 0.0, self.port.now_ms)
            self.port.set_grant(query, grant_mb, query.priority)
        attempt = self.port.start_attempt(query, state.engine, query.deadline_ms - now_ms)
        slot.pool_mb = slot.pool_mb or grant_mb * slot.maximum or None
        granted_mb = grant_mb or query.estimated_memory_mb
        reservation = Reservation(attempt, state, slot, kind, granted_mb, is_interactive)
        state.reservations[attempt] = reservation
        reservation.acquire(self.in_flight, now_ms)
        if slot.is_pooled:
            self._record_pooled_admission(reservation, now_ms)
        state.expire_weight()
        self.busy[state] = True
        self.fleet.active[state] = True
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
        """The attempt's work is over: it holds nothing any more."""
        state = reservation.engine_state
        if state.reservations.pop(reservation.attempt, None) is None:
            return
        reservation.release(self.in_flight)
        state.expire_weight()
        if reservation.group.is_bulk_load:
            state.table_locks.pop(reservation.query.table_group, None)
        if not state.reservations:
            self.busy.pop(state, None)
