"""Pooled slots: limits over all engines together, for groups whose queries exceed the share of one engine."""

from dataclasses import dataclass

from lichenquay.admission.admission_slot import SlotKind
from lichenquay.admission.domain import Query
from lichenquay.admission.engine_load import THREADS_PER_CORE
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.memory_grants import MemoryShare
from lichenquay.admission.pressure import Pressure
from lichenquay.admission.reservation import InFlightTotals
from lichenquay.admission.slot_availability import SlotAvailability
from lichenquay.admission.usable_capacity import UsableCapacity


@dataclass(frozen=True, slots=True)
class PooledAdmission:
    """The latest admission of a pooled group."""

    admitted_ms: float = 0.0
    expected_ms: float = 0.0  # expected runtime of the query
    threads: int = 0
    memory_mb: float = 0.0


class PooledSlots:
    """Limits all pooled groups together to this gateway's share of all threads and memory."""

    def __init__(
        self,
        registry: EngineRegistry,
        capacity: UsableCapacity,
        pressure: Pressure,
        memory_share: MemoryShare,
        availability: SlotAvailability,
        in_flight: InFlightTotals,
    ):
        """Takes `in_flight`: the totals of this gateway, which are only read here."""
        self.registry = registry
        self.capacity = capacity
        self.pressure = pressure
        self.memory_share = memory_share
        self.availability = availability
        self.in_flight = in_flight
        self.latest = PooledAdmission()

    def record_admission(self, admission: PooledAdmission) -> None:
        """Stores the admission of a query of a pooled group."""
        self.latest = admission

    def free_slot_kind(self, query: Query, now_ms: float) -> SlotKind | None:
        """Returns the kind of pooled slot that is free for the query; None: it must wait.

        Threads and slots limit admission while the engines are under pressure; memory always does where
        engines swap. There must be an engine.
        """
        is_under_pressure = self.pressure.are_engines_under_pressure(now_ms)
        usable_threads = THREADS_PER_CORE * self.capacity.cores * self.memory_share.gateway_share
        representative = self.registry.representative()
        in_flight = self.in_flight
        fits_memory = not in_flight.threads or self.memory_share.has_room(
            query, representative, in_flight.granted_mb, self.capacity.memory_mb
        )
        if self._must_space_admissions(is_under_pressure, usable_threads, now_ms):
            return None
        if self.availability.engines_swap and not fits_memory:
            return None
        if not is_under_pressure:
            return SlotKind.MAXIMUM
        if not fits_memory or in_flight.threads >= usable_threads:
            return None
        return self.availability.kind_of_free_slot(query, representative, now_ms)

    def _must_space_admissions(self, is_under_pressure: bool, usable_threads: float, now_ms: float) -> bool:
        """Returns whether it is too early for another admission after a query larger than the share.

        A query that needs k times this gateway's share of all engines is followed by the next one after k
        times its runtime. If all gateways sent such queries one after the other, the engines would be
        overloaded k times.
        """
        latest = self.latest
        thread_excess = latest.threads / usable_threads if is_under_pressure else 0.0
        memory_excess = 0.0
        if self.availability.engines_swap:
            memory_excess = latest.memory_mb / self.memory_share.usable_mb(self.capacity.memory_mb)
        excess = max(thread_excess, memory_excess)
        return excess > 1 and now_ms - latest.admitted_ms < excess * latest.expected_ms
