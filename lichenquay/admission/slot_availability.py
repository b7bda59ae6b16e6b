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

OVERLOAD_BACKOFF_DIVISOR = 4  # an engine that shed an attempt gets none for 1/4 of the shortest objective
MIN_THREAD_SHARE = 0.75  # least share of this gateway's threads that its groups with slots may use together
SCARCE_MEMORY_SHARE = 0.5  # the admission delay applies above this granted share of an engine's memory


class SlotAvailability:
    """Determines the free slots of an engine, in the order given at `free_slot_kind`."""

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
        """Derives the backoffs after overload and memory waits from the groups and engine capabilities."""
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

    def free_slot_kind(
        self, query: Query, state: EngineState, now_ms: float, pooled_kind: SlotKind | None
    ) -> SlotKind | None:
        """Returns the kind of slot that is free for the query on the engine, or None if there is none.

        `pooled_kind`: the free kind of pooled slot, for a group that uses them. The checks are, in this
        order:

        1. An engine that made an attempt wait for memory gets only interactive queries for one progress
           interval, because others would wait for its memory too.
        2. An engine that shed an attempt gets no query for a quarter of the shortest objective, because it is
           overloaded.
        3. The query must fit into this gateway's share of the engine (`_has_room`).
        4. Without pressure no slot is needed, and interactive and pooled queries need no slot of the engine:
           the result is a maximum slot, or the pooled kind.
        5. Under pressure, one of the engine's slots must be free (`kind_of_free_slot`).
        """
        group = query.group
        is_interactive = group in self.interactive
        if not is_interactive and now_ms - state.last_memory_wait_ms < self.memory_wait_ms:
            return None
        if now_ms - state.last_overloaded_ms < self.overload_backoff_ms:
            return None
        is_under_pressure = pooled_kind is None and self.pressure.is_engine_under_pressure(
            state, group, now_ms
        )
        if not self._has_room(query, state, is_under_pressure, pooled_kind is not None):
            return None
        if is_under_pressure and not is_interactive:
            return self.kind_of_free_slot(query, state, now_ms)
        return pooled_kind or SlotKind.MAXIMUM

    def kind_of_free_slot(self, query: Query, state: EngineState, now_ms: float) -> SlotKind | None:
        """Returns a free maximum slot's kind, else a free minimum slot's, else None.

        Also returns None during the admission delay (paper, 4.3.3). The delay applies only on a full engine,
        and only while queries wait or memory is scarce: with free cores it would only waste them.
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

    def _has_room(self, query: Query, state: EngineState, is_under_pressure: bool, is_pooled: bool) -> bool:
        """Returns whether this gateway's attempts and the query fit into its share of the engine.

        Memory is always limited where engines swap; threads are limited only under pressure. The limits of
        the single groups add up to far more than an engine holds; without a limit on their sum, an engine can
        be so overloaded that no query ends in time. One attempt always fits.
        """
        if self.engines_swap and not is_pooled and self.memory_share.would_overcommit(query, state):
            return False
        if not is_under_pressure:
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
