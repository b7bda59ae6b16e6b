"""Slot availability: which kind of slot, if any, a query gets on one engine."""

from collections.abc import Sequence

from lichenquay.admission.admission_slot import SlotKind
from lichenquay.admission.domain import (
    EngineCapabilities,
    MemoryShortageBehaviour,
    Query,
    ResourceGroup,
)
from lichenquay.admission.engine_load import THREADS_PER_CORE, EngineLoad
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.memory_grants import MemoryGrants, MemoryShare
from lichenquay.admission.pressure import Pressure
from lichenquay.admission.slot_table import SlotTable
from lichenquay.admission.waiting_queries import WaitingQueries

OVERLOAD_BACKOFF_DIVISOR = 4  # an engine that shed an attempt rests for 1/4 of the shortest objective
MIN_THREAD_SHARE = 0.75  # of our share of threads, that all groups with slots together may use
SCARCE_MEMORY_SHARE = 0.5  # more of its memory granted than this: the admission delay acts


class SlotAvailability:
    """Decides on an engine's free slots, in the order of `free_kind`."""

    def __init__(
        self,
        capabilities: EngineCapabilities,
        groups: Sequence[ResourceGroup],
        interactive: frozenset[ResourceGroup],
        slot_table: SlotTable,
        grants: MemoryGrants,
        memory_share: MemoryShare,
        engine_load: EngineLoad,
        pressure: Pressure,
        waiting: WaitingQueries,
    ):
        """Derives the pauses after overload and memory waits from the groups and the engines' settings."""
        shortest_ms = min((group.latency_objective_ms for group in groups), default=0.0)
        self.overload_backoff_ms = shortest_ms / OVERLOAD_BACKOFF_DIVISOR
        self.memory_wait_ms = capabilities.progress_interval_ms
        self.engines_swap = capabilities.memory_shortage == MemoryShortageBehaviour.SWAP
        self.interactive = interactive
        self.slot_table = slot_table
        self.grants = grants
        self.memory_share = memory_share
        self.engine_load = engine_load
        self.pressure = pressure
        self.waiting = waiting

    def free_kind(
        self, query: Query, state: EngineState, now_ms: float, pooled_kind: SlotKind | None
    ) -> SlotKind | None:
        """The kind of slot that is free for the query on the engine; None: it must not be sent there now.

        `pooled_kind`: what the pooled slots gave, for a group that uses them. Tested in this order:

        1. An engine that made an attempt wait for memory gets only interactive queries for one progress
           interval, as others would queue for its memory too.
        2. An engine that shed an attempt gets none for a quarter of the shortest objective: it is overloaded.
        3. The query must fit into our share of the engine (`_has_room`).
        4. Without pressure no slot is needed, and interactive and pooled queries need none of the engine: the
           result is a maximum slot, or the pooled kind.
        5. Under pressure, one of the engine's slots must be free (`kind_by_slot`).
        """
        group = query.group
        is_interactive = group in self.interactive
        if not is_interactive and now_ms - state.last_memory_wait_ms < self.memory_wait_ms:
            return None
        if now_ms - state.last_overloaded_ms < self.overload_backoff_ms:
            return None
        is_pressed = pooled_kind is None and self.pressure.is_engine_under_pressure(state, group, now_ms)
        if not self._has_room(query, state, is_pressed, pooled_kind is not None):
            return None
        if is_pressed and not is_interactive:
            return self.kind_by_slot(query, state, now_ms)
        return pooled_kind or SlotKind.MAXIMUM

    def kind_by_slot(self, query: Query, state: EngineState, now_ms: float) -> SlotKind | None:
        """A free maximum slot, else a free minimum slot, else None; None too during the admission delay.

        The delay (paper, 4.3.3) acts only on a full engine, and where queries wait or memory is scarce: with
        free cores it would only waste them.
        """
        slot = self.slot_table.slot_for(state, query.group, now_ms)
        if slot.delay_ms > now_ms - slot.admitted_ms and self._is_contended(query.group, state):
            return None
        if slot.has_free_maximum(self.grants.full_grant_mb(query, state)):
            return SlotKind.MAXIMUM
        return SlotKind.MINIMUM if slot.has_free_minimum() else None

    def _is_contended(self, group: ResourceGroup, state: EngineState) -> bool:
        report = state.report
        is_memory_scarce = report is not None and report.granted_memory_share > SCARCE_MEMORY_SHARE
        if not is_memory_scarce and not self.waiting.count(group):
            return False
        return self.engine_load.is_full(state)

    def _has_room(self, query: Query, state: EngineState, is_pressed: bool, is_pooled: bool) -> bool:
        """Whether our attempts and this query stay within our share of the engine.

        Memory binds always where engines swap, threads under pressure only. The limits of single groups add
        up to far more than an engine holds; without a limit for all of them, an engine can be overloaded so
        that nothing ends in time. One attempt always fits.
        """
        if self.engines_swap and not is_pooled and self.memory_share.would_overcommit(query, state):
            return False
        if not is_pressed:
            return True
        limit = THREADS_PER_CORE * state.cores * self.slot_table.gateway_share
        if query.group in self.interactive:
            used = state.in_flight.interactive_threads
        else:
            used = state.in_flight.threads
            slot_threads = sum(
                slot.maximum * group.threads
                for group, slot in state.slots.items()
                if group not in self.interactive
            )
            limit = max(MIN_THREAD_SHARE * limit, slot_threads)
        return not used or used + query.group.threads <= limit
