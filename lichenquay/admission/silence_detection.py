"""Silence detection: engines that do not respond, and attempts that were lost on a responsive engine.

Missing progress events, time-outs and failed connections are one symptom. An unresponsive engine gets nothing
new but single queries on trial, and attempts that may run twice move elsewhere.
"""

from lichenquay.admission.domain import EngineCapabilities
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.query_size import expected_runtime_ms
from lichenquay.admission.relocation import Relocation
from lichenquay.admission.reservation import Reservation

SILENCE_PROGRESS_INTERVALS = 1.5  # without a response for as many progress intervals: silent
TRY_DELAY_DIVISOR = 2  # the first query is tried there after 1/2 of the silence limit
LOST_RUNTIME_FACTOR = 4  # times the expected runtime on this engine
LOST_OBJECTIVE_DIVISOR = 2  # no attempt counts as lost before 1/2 of its group's objective


class SilenceDetection:
    """Judges engines and attempts by the time since their last response."""

    def __init__(
        self,
        port: GatewayPort,
        capabilities: EngineCapabilities,
        shortest_objective_ms: float,
        relocation: Relocation,
    ):
        """The silence limit is the shortest objective where engines send no progress events."""
        self.port = port
        self.has_progress_events = bool(capabilities.progress_interval_ms)
        self.silence_limit_ms = (
            SILENCE_PROGRESS_INTERVALS * capabilities.progress_interval_ms or shortest_objective_ms
        )
        self.relocation = relocation

    def mark_unresponsive(self, state: EngineState, now_ms: float) -> None:
        """The engine does not respond: what may be retried moves away from it."""
        if not state.is_unresponsive:
            state.is_unresponsive = True
            state.next_try_ms = now_ms + self.silence_limit_ms / TRY_DELAY_DIVISOR
            self.port.log(f"engine {state.engine.id} not heard from")
        for reservation in list(state.reservations.values()):
            self.relocation.cancel_and_retry(reservation)

    def is_lost(self, reservation: Reservation, now_ms: float) -> bool:
        """Whether the attempt has been silent for too long, though its engine may be responsive.

        A query or its answer can be lost on the way. An attempt that waits on its engine reports that once
        only, so its silence means nothing.
        """
        if reservation.waiting_since_ms:
            return False
        slowdown_ratio = reservation.engine_state.slowdown_ratio or 1.0
        limit_ms = max(
            LOST_RUNTIME_FACTOR * slowdown_ratio * expected_runtime_ms(reservation.query),
            reservation.group.latency_objective_ms / LOST_OBJECTIVE_DIVISOR,
        )
        if self.has_progress_events:
            limit_ms = min(limit_ms, self.silence_limit_ms)
        return now_ms - reservation.last_response_ms > limit_ms

    def check_engine(self, state: EngineState, now_ms: float) -> None:
        """Moves lost attempts away, and marks the engine unresponsive if it and an attempt there are silent.

        Without progress events an engine sends nothing while it works on long queries; then it is
        unresponsive only if all its attempts are overdue.
        """
        reservations = list(state.reservations.values())
        lost = [reservation for reservation in reservations if self.is_lost(reservation, now_ms)]
        for reservation in lost:
            self.relocation.cancel_and_retry(reservation)
        if not self.has_progress_events and len(lost) != len(reservations):
            return
        silent_since_ms = now_ms - self.silence_limit_ms
        if state.last_response_ms >= silent_since_ms:
            return
        for reservation in reservations:
            if reservation.last_response_ms < silent_since_ms and not reservation.waiting_since_ms:
                self.mark_unresponsive(state, now_ms)
                return
