"""Engine choice: which of the drawn engines gets a query, and with which kind of slot."""

from dataclasses import dataclass
from typing import NamedTuple

from lichenquay.admission.admission_slot import SlotKind
from lichenquay.admission.bulk_loads import waits_for_lock, would_queue_too_long
from lichenquay.admission.dispatch_checks import DispatchChecks
from lichenquay.admission.domain import Effect, Query
from lichenquay.admission.engine_selection import EngineSelection
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.memory_grants import MemoryShare
from lichenquay.admission.outlier_detection import OutlierDetection
from lichenquay.admission.pooled_slots import PooledSlots
from lichenquay.admission.slot_availability import SlotAvailability
from lichenquay.admission.slot_table import SlotTable


class Penalties(NamedTuple):
    """Reasons against an engine, the most serious first; instances compare in this order."""

    is_unresponsive: bool
    has_outlying_errors: bool
    waits_for_lock: bool
    was_tried: bool  # by an earlier attempt of the query
    has_minimum_slot_only: bool
    is_overcommitted: bool


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may get the query, and the reasons against it."""

    state: EngineState
    penalties: Penalties

    @property
    def slot_kind(self) -> SlotKind:
        """Returns the kind of slot that is free on the engine."""
        return SlotKind.MINIMUM if self.penalties.has_minimum_slot_only else SlotKind.MAXIMUM


class EngineChoice:
    """Tests engines in the order of the weighted draw."""

    def __init__(
        self,
        checks: DispatchChecks,
        selection: EngineSelection,
        slot_table: SlotTable,
        availability: SlotAvailability,
        pooled_slots: PooledSlots,
        outliers: OutlierDetection,
        memory_share: MemoryShare,
    ):
        """Takes `selection`, which orders the engines, and the rules that decide whether one may be used."""
        self.checks = checks
        self.selection = selection
        self.slot_table = slot_table
        self.availability = availability
        self.pooled_slots = pooled_slots
        self.outliers = outliers
        self.memory_share = memory_share

    def choose(self, query: Query, now_ms: float, only: EngineState | None = None) -> Candidate | None:
        """Returns the engine that gets the query now, or None if the query must wait.

        It is the first drawn engine that has capacity and no penalty, else the one with the lowest penalties.
        With `only`, no other engine is considered. There must be an engine.
        """
        pooled_kind = None
        if self.slot_table.is_pooled(query.group):
            pooled_kind = self.pooled_slots.free_slot_kind(query, now_ms)
            if pooled_kind is None:
                return None
        is_bulk_load = query.group.is_bulk_load
        gateway_share = self.slot_table.gateway_share
        satisfies_rules = self.checks.satisfies_rules
        free_slot_kind = self.availability.free_slot_kind
        tried = {attempt.engine for attempt in query.attempts}
        is_any_responsive = only is not None
        best: Candidate | None = None
        for state in (only,) if only is not None else self.selection.draw(query, now_ms):
            if not satisfies_rules(query, state, now_ms):
                continue
            if is_bulk_load and would_queue_too_long(query, state, gateway_share, now_ms):
                continue
            is_any_responsive = is_any_responsive or not state.is_unresponsive
            kind = free_slot_kind(query, state, now_ms, pooled_kind)
            if kind is None or (state.is_unresponsive and not _may_try_unresponsive(query, state, now_ms)):
                continue
            penalties = self._penalties(query, state, kind, state.engine in tried, now_ms)
            if best is None or penalties < best.penalties:
                best = Candidate(state, penalties)
            if not any(penalties):
                break
        if best is not None and best.state.is_unresponsive and is_any_responsive:
            return None
        return best

    def _penalties(
        self, query: Query, state: EngineState, kind: SlotKind, was_tried: bool, now_ms: float
    ) -> Penalties:
        return Penalties(
            is_unresponsive=state.is_unresponsive,
            has_outlying_errors=self.outliers.has_outlying_errors(state, now_ms),
            waits_for_lock=waits_for_lock(query, state, now_ms),
            was_tried=was_tried,
            has_minimum_slot_only=kind is SlotKind.MINIMUM,
            is_overcommitted=self.memory_share.would_overcommit(query, state),
        )


def _may_try_unresponsive(query: Query, state: EngineState, now_ms: float) -> bool:
    """Returns whether the query may probe an unresponsive engine: read-only, one at a time, rate-limited.

    An unresponsive engine is chosen only if no engine that may get the query is responsive. Without such
    probes, the recovery of all engines would go unnoticed.
    """
    return query.group.effect == Effect.READ_ONLY and now_ms >= state.next_try_ms and not state.reservations
