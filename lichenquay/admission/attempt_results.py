"""The end of an attempt: its effect on the engine's state, the reservation and the slot's feedback."""

from lichenquay.admission.attempts_in_flight import AttemptsInFlight
from lichenquay.admission.domain import NEVER_EXECUTED, Attempt, ExecutionCost, GatewayPermissions, Outcome
from lichenquay.admission.engine_load import EngineLoad
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.memory_grants import MemoryGrants
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.pressure import Pressure
from lichenquay.admission.query_size import expected_runtime_ms
from lichenquay.admission.reservation import Reservation
from lichenquay.admission.silence_detection import SilenceDetection
from lichenquay.admission.slot_feedback import SlotFeedback

ENGINE_ANSWERED = (Outcome.COMPLETED, Outcome.FAILED, Outcome.OVERLOADED)
ENGINE_UNREACHABLE = (Outcome.NOT_CONNECTED, Outcome.CONNECTION_RESET)
CHARGED_AFTER_END = (Outcome.TIMED_OUT, Outcome.CANCELLED)  # unless engines heed a cancel


class AttemptResults:
    """Records the results of attempts."""

    def __init__(
        self,
        port: GatewayPort,
        permissions: GatewayPermissions,
        engine_load: EngineLoad,
        silence: SilenceDetection,
        pressure: Pressure,
        grants: MemoryGrants,
        feedback: SlotFeedback,
        attempts_in_flight: AttemptsInFlight,
    ):
        """Each argument but the permissions records a part of a result, or reports it on."""
        self.port = port
        self.permissions = permissions
        self.engine_load = engine_load
        self.silence = silence
        self.pressure = pressure
        self.grants = grants
        self.feedback = feedback
        self.attempts_in_flight = attempts_in_flight

    def on_attempt_ended(
        self,
        attempt: Attempt,
        state: EngineState | None,
        elapsed_ms: float,
        cost: ExecutionCost | None,
        report: dict[str, float] | None,
        now_ms: float,
    ) -> None:
        """An attempt ended; `cost` and `report` are as in `AdmissionPort.on_attempt_ended`."""
        if state is None:
            return
        reservation = state.reservations.get(attempt)
        self.engine_load.record_report(state, report, now_ms)
        if attempt.outcome in ENGINE_ANSWERED or report is not None:
            state.record_response(now_ms)
        elif attempt.outcome in ENGINE_UNREACHABLE:
            self.silence.mark_unresponsive(state, now_ms)
        if reservation is None:
            return
        self._record_result(reservation, elapsed_ms, cost, now_ms)
        if attempt.outcome in CHARGED_AFTER_END and not self.permissions.may_cancel:
            self._release_later(reservation, elapsed_ms, now_ms)
        else:
            self.attempts_in_flight.release(reservation)

    def _release_later(self, reservation: Reservation, elapsed_ms: float, now_ms: float) -> None:
        """The engine works on for an unknown time: to the expected end, or for as long again if that is past.

        Without this, the engine would look free, and get more and more work that nobody waits for.
        """
        slowdown_ratio = reservation.engine_state.slowdown_ratio or 1.0
        left_ms = max(slowdown_ratio * expected_runtime_ms(reservation.query) - elapsed_ms, elapsed_ms)
        self.attempts_in_flight.leave_total(reservation)
        self.port.call_at(now_ms + left_ms, lambda: self.attempts_in_flight.release(reservation))

    def _record_result(
        self, reservation: Reservation, elapsed_ms: float, cost: ExecutionCost | None, now_ms: float
    ) -> None:
        """Feedback: only completed attempts can meet the objective; errors and time-outs miss it.

        Otherwise engines that fail fast would count as fast. Attempts that never ran, or that this gateway
        moved elsewhere, say nothing about the slot.
        """
        state = reservation.engine_state
        query = reservation.query
        outcome = reservation.attempt.outcome
        if outcome == Outcome.OVERLOADED:
            state.last_overloaded_ms = now_ms
        if outcome in NEVER_EXECUTED or (outcome == Outcome.CANCELLED and reservation.is_relocated):
            return
        state.errors.add(now_ms, outcome == Outcome.FAILED)
        has_estimate = bool(query.estimated_work_ms)
        if has_estimate and outcome in (Outcome.COMPLETED, Outcome.TIMED_OUT):
            slowdown = elapsed_ms / (expected_runtime_ms(query) or 1.0)
            state.slowdowns.add(now_ms, slowdown)
            self.pressure.record_slowdown(slowdown, now_ms)
        objective_ms = query.latency_objective_ms
        lateness_ms = now_ms - query.arrived_ms - objective_ms
        if outcome != Outcome.COMPLETED:
            lateness_ms = max(lateness_ms, objective_ms)
        elif has_estimate:
            self.feedback.record_runtime(reservation.slot, elapsed_ms)
            if cost and query.estimated_memory_mb:
                _, used_mb = cost
                self.grants.learn(reservation.group, used_mb > reservation.granted_mb, used_mb)
        self.feedback.record_result(
            reservation.slot, reservation.group, state, lateness_ms, reservation.granted_mb, now_ms
        )
