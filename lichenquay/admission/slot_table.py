"""Slots by engine and group, and pooled slots of groups whose queries exceed the gateway's engine share."""

from lichenquay.admission.admission_slot import AdmissionSlot
from lichenquay.admission.domain import ResourceGroup
from lichenquay.admission.engine_load import THREADS_PER_CORE
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState


class SlotTable:
    """The admission slots by engine and group; a slot is created at its first use."""

    def __init__(self, registry: EngineRegistry, gateway_share: float, interactive: frozenset[ResourceGroup]):
        """Takes `gateway_share`: this gateway's share of each engine, 0 to 1."""
        self.registry = registry
        self.gateway_share = gateway_share
        self.interactive = interactive
        self.pooled: dict[ResourceGroup, AdmissionSlot] = {}

    def is_pooled(self, group: ResourceGroup) -> bool:
        """Returns whether the group's slots are shared by all engines.

        Where a gateway's share of an engine is below one query, each of many gateways would otherwise send
        every engine one query of every group.
        """
        if group in self.interactive:
            return False
        mean_cores = self.registry.cores / max(1, len(self.registry.states))
        return THREADS_PER_CORE * mean_cores * self.gateway_share < group.threads

    def slot_for(self, state: EngineState, group: ResourceGroup, now_ms: float) -> AdmissionSlot:
        """Returns the group's slot on the engine, or its pooled slot.

        A new slot gets the design's initial limit.
        """
        is_pooled = self.is_pooled(group)
        slots = self.pooled if is_pooled else state.slots
        slot = slots.get(group)
        if slot is None:
            cores = self.registry.cores if is_pooled else state.cores
            limit = cores * THREADS_PER_CORE * self.gateway_share / group.threads
            slot = AdmissionSlot(max(1, round(limit)), slots, is_pooled, now_ms)
            slots[group] = slot
        return slot
