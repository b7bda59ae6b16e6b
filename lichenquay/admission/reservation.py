"""Reservations: what an attempt holds on its engine, from its start until its work has ended."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lichenquay.admission.admission_slot import AdmissionSlot, SlotKind
from lichenquay.admission.domain import Attempt, Query, ResourceGroup

if TYPE_CHECKING:
    from lichenquay.admission.engine_state import EngineState


@dataclass(slots=True)
class InFlightTotals:
    """Threads and memory that attempts of this gateway hold."""

    threads: int = 0  # threads of groups with slots
    interactive_threads: int = 0
    granted_mb: float = 0.0


@dataclass(eq=False, slots=True)
class Reservation:
    """What one attempt holds on its engine: its slot, memory and threads."""

    attempt: Attempt
    engine_state: "EngineState"
    slot: AdmissionSlot
    slot_kind: SlotKind
    granted_mb: float
    is_interactive: bool
    query: Query = field(init=False)
    group: ResourceGroup = field(init=False)
    last_response_ms: float = field(init=False)
    has_progress: bool = False  # the engine has sent a progress event
    is_relocated: bool = False  # cancelled by this gateway, to run elsewhere
    waiting_since_ms: float | None = None  # start of a wait for memory or a lock on the engine
    waited_ms: float = 0.0  # total of earlier waits and of pauses of this process
    counts_in_total: bool = True

    def __post_init__(self) -> None:
        """Copies frequently used values from the attempt."""
        self.query = self.attempt.query
        self.group = self.attempt.query.group
        self.last_response_ms = self.attempt.sent_ms

    def acquire(self, total: InFlightTotals, now_ms: float) -> None:
        """Adds the attempt to its slot, its engine and this gateway's total."""
        self.slot.admitted_ms = now_ms
        self._count(total, 1)

    def exclude_from_total(self, total: InFlightTotals) -> None:
        """Removes the attempt from the total: its time is up, but its engine still works on it.

        Otherwise one engine that continues to run a few long queries would use up this gateway's share of all
        engines.
        """
        self._add_to(total, -1)
        self.counts_in_total = False

    def release(self, total: InFlightTotals) -> None:
        """Removes the attempt from everything that still counts it."""
        self._count(total, -1)

    def _count(self, total: InFlightTotals, sign: int) -> None:
        slot = self.slot
        if self.slot_kind is SlotKind.MAXIMUM:
            slot.running_maximum += sign
            slot.pool_used_mb += sign * self.granted_mb
        else:
            slot.running_minimum += sign
        self._add_to(self.engine_state.in_flight, sign)
        if self.counts_in_total:
            self._add_to(total, sign)

    def _add_to(self, totals: InFlightTotals, sign: int) -> None:
        if self.is_interactive:
            totals.interactive_threads += sign * self.group.threads
        else:
            totals.threads += sign * self.group.threads
        totals.granted_mb += sign * self.granted_mb
