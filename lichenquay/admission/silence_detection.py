"""Silence detection: unresponsive engines, and attempts that were lost on a responsive engine.

Missing progress events, timeouts and failed connections are one symptom. An unresponsive engine gets no new
attempts but single probe queries, and its attempts that are safe to repeat are relocated.
"""

from lichenquay.admission.domain import EngineCapabilities
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.ports import GatewayPort
from lichenquay.admission.query_size import expected_runtime_ms
from lichenquay.admission.relocation import Relocation
from lichenquay.admission.reservation import Reservation

SILENCE_PROGRESS_INTERVALS = 1.5  # an engine is silent after this many progress intervals without a response
TRY_DELAY_DIVISOR = 2  # the first probe query follows after 1/2 of the silence limit
LOST_RUNTIME_FACTOR = 4  # an attempt is lost after this multiple of its expected runtime on the engine
LOST_OBJECTIVE_DIVISOR = 2  # no attempt is lost before 1/2 of its group's objective


class SilenceDetection:
    """Detects unresponsive engines and lost attempts by the time since their last response."""

    def __init__(
        self,
        port: GatewayPort,
        capabilities: EngineCapabilities,
        shortest_objective_ms: float,
        relocation: Relocation,
    ):
        """Sets the silence limit; without progress events it is `shortest_objective_ms`."""
        self.port = port
        self.has_progress_events = bool(capabilities.progress_interval_ms)
        self.silence_limit_ms = (
            SILENCE_PROGRESS_INTERVALS * capabilities.progress_interval_ms or shortest_objective_ms
        )
        self.relocation = relocation

    def mark_unresponsive(self, state: EngineState, now_ms: float) -> None:
        """Marks the engine as unresponsive and relocates its attempts that may be retried."""
        if not state.is_unresponsive:
            state.is_unresponsive = True
            state.next_try_ms = now_ms + self.silence_limit_ms / TRY_DELAY_DIVISOR
            self.port.log(f"engine {state.engine.id} not heard from")
        for reservation in list(state.reservations.values()):
            self.relocation.cancel_and_retry(reservation)

    def is_lost(self, reservation: Reservation, now_ms: float) -> bool:
        """Returns whether the attempt has been silent too long, even if its engine is responsive.

        A query or its answer can be lost in transit. An attempt that waits on its engine reports that only
        once, so its silence is not a symptom.
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
        """Relocates lost attempts, and marks the engine unresponsive if it and an attempt are silent.

        Without progress events an engine sends nothing while it works on long queries; in that case it is
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
