"""Effects of the progress events of attempts in flight."""

from lichenquay.admission.domain import Attempt, EngineCapabilities, ProgressKind, Query, WaitReason
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.memory_grants import MemoryGrants
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.pressure import Pressure
from lichenquay.admission.priorities import priority_of
from lichenquay.admission.query_size import expected_runtime_ms
from lichenquay.admission.relocation import Relocation
from lichenquay.admission.reservation import Reservation

BAD_PLAN_FACTOR = 4  # a plan is bad above this multiple of the engine's usual slowdown
MIN_DONE_SHARE = 0.002  # lower bound of the completed share: the first events are inexact
LOCK_PROGRESS_INTERVALS = 2  # assumed duration of a lock that an attempt waits for, in progress intervals


class ProgressEvents:
    """Records progress, updates priorities, and relocates attempts that are far behind their estimate."""

    def __init__(
        self,
        port: GatewayPort,
        capabilities: EngineCapabilities,
        grants: MemoryGrants,
        pressure: Pressure,
        relocation: Relocation,
    ):
        """Takes `capabilities`, which determine the events that have an effect."""
        self.port = port
        self.progress_interval_ms = capabilities.progress_interval_ms
        self.honours_priorities = capabilities.honours_priorities
        self.grants = grants
        self.pressure = pressure
        self.relocation = relocation

    def on_progress(
        self, attempt: Attempt, state: EngineState | None, kind: ProgressKind, amount: float, now_ms: float
    ) -> None:
        """Handles a progress event of an attempt; `kind` determines what `amount` means."""
        reservation = state.reservations.get(attempt) if state is not None else None
        if reservation is None:
            return
        if kind != ProgressKind.RESPONSIVE:
            self._record_first_progress(reservation, kind, amount, now_ms)
        reservation.last_response_ms = now_ms
        state.record_response(now_ms)
        if kind == ProgressKind.SPILLING:
            self.grants.record_memory_need(reservation.group, True, reservation.granted_mb + amount)
        elif kind == ProgressKind.WAITING:
            self._on_waiting(reservation, state, amount, now_ms)
        elif kind == ProgressKind.PROGRESS and attempt.query.estimated_work_ms and amount > 0:
            self._on_share_done(reservation, state, amount, now_ms)

    def _record_first_progress(
        self, reservation: Reservation, kind: ProgressKind, amount: float, now_ms: float
    ) -> None:
        if not reservation.has_progress and not reservation.is_interactive:
            waits_for_memory = kind == ProgressKind.WAITING and amount == WaitReason.MEMORY
            self.pressure.record_first_progress(waits_for_memory, now_ms)
        reservation.has_progress = True

    def _on_waiting(self, reservation: Reservation, state: EngineState, reason: float, now_ms: float) -> None:
        """Records that the attempt waits, which its engine reports once.

        An attempt that waits for another query's bulk load is relocated.
        """
        reservation.waiting_since_ms = reservation.waiting_since_ms or now_ms
        if reason == WaitReason.MEMORY:
            state.last_memory_wait_ms = now_ms
        elif reason == WaitReason.BULK_LOAD:
            locked_until_ms = now_ms + LOCK_PROGRESS_INTERVALS * self.progress_interval_ms
            state.table_locks[reservation.query.table_group] = locked_until_ms
            self.relocation.cancel_and_retry(reservation)

    def _on_share_done(
        self, reservation: Reservation, state: EngineState, amount: float, now_ms: float
    ) -> None:
        """Records progress; an attempt far behind its estimate has a bad plan and is relocated.

        The retry may get a better plan.
        """
        query = reservation.query
        if reservation.waiting_since_ms:
            reservation.waited_ms = reservation.waited_ms + now_ms - reservation.waiting_since_ms
            reservation.waiting_since_ms = None
        self._update_priority(query, reservation, state, min(1.0, amount))
        running_ms = now_ms - reservation.attempt.sent_ms - reservation.waited_ms
        slowdown = running_ms / max(amount, MIN_DONE_SHARE) / expected_runtime_ms(query)
        usual_slowdown = max(1.0, state.slowdown_ratio or 1.0)
        if running_ms >= self.progress_interval_ms and slowdown > BAD_PLAN_FACTOR * usual_slowdown:
            self.relocation.cancel_and_retry(reservation)

    def _update_priority(
        self, query: Query, reservation: Reservation, state: EngineState, done_share: float
    ) -> None:
        if not self.honours_priorities or query.is_done:
            return
        is_interactive = reservation.is_interactive
        priority = priority_of(query, is_interactive, state.slowdown_ratio, done_share, self.port.now_ms)
        if priority != query.priority:
            query.priority = priority
            self.port.set_grant(query, reservation.granted_mb, priority)
