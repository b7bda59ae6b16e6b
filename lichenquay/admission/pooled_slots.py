"""Pooled slots: limits over the whole fleet, for groups whose queries exceed our share of one engine."""

from dataclasses import dataclass

from lichenquay.admission.admission_slot import SlotKind
from lichenquay.admission.domain import Query
from lichenquay.admission.engine_fleet import EngineFleet
from lichenquay.admission.engine_load import THREADS_PER_CORE
from lichenquay.admission.memory_grants import MemoryShare
from lichenquay.admission.pressure import Pressure
from lichenquay.admission.reservation import InFlightTotals
from lichenquay.admission.slot_availability import SlotAvailability
from lichenquay.admission.usable_capacity import UsableCapacity


@dataclass(frozen=True, slots=True)
class PooledAdmission:
    """The latest admission of a pooled group."""

    admitted_ms: float = 0.0
    expected_ms: float = 0.0  # how long it may take
    threads: int = 0
    memory_mb: float = 0.0


class PooledSlots:
    """Keeps pooled groups together within our share of the fleet's threads and memory."""

    def __init__(
        self,
        fleet: EngineFleet,
        capacity: UsableCapacity,
        pressure: Pressure,
        memory_share: MemoryShare,
        availability: SlotAvailability,
        in_flight: InFlightTotals,
    ):
        """`in_flight`: the totals of this gateway, which are read here."""
        self.fleet = fleet
        self.capacity = capacity
        self.pressure = pressure
        self.memory_share = memory_share
        self.availability = availability
        self.in_flight = in_flight
        self.latest = PooledAdmission()

    def record_admission(self, admission: PooledAdmission) -> None:
        """A query of a pooled group was admitted."""
        self.latest = admission

    def free_kind(self, query: Query, now_ms: float) -> SlotKind | None:
        """The kind of pooled slot that is free for the query; None: it must wait.

        Threads and slots bind under pressure of the fleet, memory always where engines swap. The fleet must
        not be empty.
        """
        is_pressed = self.pressure.are_engines_under_pressure(now_ms)
        usable_threads = THREADS_PER_CORE * self.capacity.cores * self.memory_share.gateway_share
        representative = self.fleet.representative()
        in_flight = self.in_flight
        fits_memory = not in_flight.threads or self.memory_share.has_room(
            query, representative, in_flight.granted_mb, self.capacity.memory_mb
        )
        if self._must_space_admissions(is_pressed, usable_threads, now_ms):
            return None
        if self.availability.engines_swap and not fits_memory:
            return None
        if not is_pressed:
            return SlotKind.MAXIMUM
        if not fits_memory or in_flight.threads >= usable_threads:
            return None
        return self.availability.kind_by_slot(query, representative, now_ms)

    def _must_space_admissions(self, is_pressed: bool, usable_threads: float, now_ms: float) -> bool:
        """Whether it is too early for another admission, where one query exceeds our share of the fleet.

        A query that needs k times our share is followed by the next one after k times its runtime. If all
        gateways sent such queries one after the other, the fleet would be overloaded k times.
        """
        latest = self.latest
        thread_excess = latest.threads / usable_threads if is_pressed else 0.0
        memory_excess = 0.0
        if self.availability.engines_swap:
            memory_excess = latest.memory_mb / self.memory_share.usable_mb(self.capacity.memory_mb)
        excess = max(thread_excess, memory_excess)
        return excess > 1 and now_ms - latest.admitted_ms < excess * latest.expected_ms
