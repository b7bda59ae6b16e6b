"""What this gateway knows of one engine, from its own traffic and the engine's reports alone."""

from dataclasses import dataclass, field
from math import inf

from lichenquay.admission.admission_slot import AdmissionSlot
from lichenquay.admission.domain import Attempt, Engine, ResourceGroup
from lichenquay.admission.load_report import LoadReport
from lichenquay.admission.reservation import InFlightTotals, Reservation
from lichenquay.admission.sliding_window import SlidingWindow

DEFAULT_SIZE = 1.0  # cores or megabytes of memory where the settings give no size


@dataclass(eq=False, slots=True)
class EngineState:
    """The state of one engine at this gateway. Times are milliseconds of the gateway's clock."""

    engine: Engine
    last_response_ms: float
    slowdowns: SlidingWindow  # runtime over expected runtime of its finished attempts
    slow_start_work: SlidingWindow  # work sent to it, in milliseconds of one thread
    errors: SlidingWindow  # 1 for an attempt that failed, 0 for any other
    cores: float = field(init=False)
    memory_mb: float = field(init=False)
    reservations: dict[Attempt, Reservation] = field(default_factory=dict)
    slots: dict[ResourceGroup, AdmissionSlot] = field(default_factory=dict)
    in_flight: InFlightTotals = field(default_factory=InFlightTotals)
    table_locks: dict[str | None, float] = field(default_factory=dict)  # until when a bulk load may lock them
    report: LoadReport | None = None
    reported_ms: float = -inf
    report_requested_ms: float = -inf
    is_unresponsive: bool = False
    next_try_ms: float = -inf  # an unresponsive engine is not probed before this
    last_overloaded_ms: float = -inf  # when it last shed an attempt
    last_memory_wait_ms: float = -inf  # when an attempt last had to wait for memory
    slowdown_ratio: float | None = None  # mean of its slowdowns at the last evaluation
    weight: float = 1.0  # weight in the draw of engines
    weight_expires_ms: float = -inf
    serves_constrained_group: bool = False  # whether a group with a placement constraint may use it
    join_number: int = 0  # position in the order of joining the endpoint list
    rank: int = 0  # position in this gateway's own pseudo-random order

    def __post_init__(self) -> None:
        """Copies the engine's size."""
        self.cores = self.engine.cores or DEFAULT_SIZE
        self.memory_mb = self.engine.memory_mb or DEFAULT_SIZE

    def record_response(self, now_ms: float) -> None:
        """Records that the engine responded to this gateway in any way."""
        self.last_response_ms = now_ms
        self.is_unresponsive = False

    def reset_after_restart(self, now_ms: float) -> None:
        """Discards what is known of the previous process of a restarted engine."""
        self.is_unresponsive = False
        self.report = None
        self.last_response_ms = now_ms

    def expire_weight(self) -> None:
        """Invalidates the engine's weight in the draw, after the engine was used or has reported."""
        self.weight_expires_ms = -inf

    def compensate_for_pause(self, pause_ms: float) -> None:
        """Shifts the response times by a pause of this gateway's process.

        Responses that would have arrived during the pause count as if they had arrived.
        """
        self.last_response_ms += pause_ms
        for reservation in self.reservations.values():
            reservation.last_response_ms += pause_ms
            reservation.waited_ms += pause_ms
