"""Slot feedback: M&M's adjustment of slots and memory pool by the results of an interval (paper, 4.3)."""

from math import sqrt

from lichenquay.admission.admission_slot import AdmissionSlot
from lichenquay.admission.domain import ResourceGroup
from lichenquay.admission.engine_load import EngineLoad
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.memory_grants import USABLE_MEMORY_SHARE
from lichenquay.admission.waiting_queries import WaitingQueries

RESULTS_PER_INTERVAL = 20
RUNTIME_AVERAGE_RESULTS = 10  # number of results over which a slot's mean runtime is averaged
MIN_MEAN_WAITING = 0.5  # with fewer waiting queries, more slots would not help
MAXIMUM_SLOTS_FOR_MINIMUM = 2  # with this many maximum slots, more minimum slots only slow queries down
POOL_STEP_SHARE = 0.05  # of this gateway's share of the memory
STALE_INTERVAL_OBJECTIVES = 4  # an interval with results ends after this multiple of the objective


class SlotFeedback:
    """Collects results, and adjusts a slot at the end of each interval."""

    def __init__(
        self, registry: EngineRegistry, engine_load: EngineLoad, waiting: WaitingQueries, gateway_share: float
    ):
        """Takes `gateway_share`: this gateway's share of all engines, 0 to 1."""
        self.registry = registry
        self.engine_load = engine_load
        self.waiting = waiting
        self.gateway_share = gateway_share

    def record_runtime(self, slot: AdmissionSlot, elapsed_ms: float) -> None:
        """Adds the runtime of a completed attempt with an estimate to the slot's mean."""
        if slot.mean_runtime_ms:
            slot.mean_runtime_ms += (elapsed_ms - slot.mean_runtime_ms) / RUNTIME_AVERAGE_RESULTS
        else:
            slot.mean_runtime_ms += elapsed_ms

    def record_result(
        self,
        slot: AdmissionSlot,
        group: ResourceGroup,
        state: EngineState,
        lateness_ms: float,
        granted_mb: float,
        now_ms: float,
    ) -> None:
        """Records how late an attempt ended, relative to its latency objective (negative: early).

        While the objective is met, the next admission is delayed by as much as this attempt was early (paper,
        4.3.3).
        """
        interval = slot.interval
        interval.results += 1
        interval.lateness_ms += lateness_ms
        interval.lateness_squared += lateness_ms * lateness_ms
        interval.granted_mb += granted_mb
        slot.delay_ms = max(0.0, -lateness_ms) if slot.meets_objective else 0.0
        engines_sharing_queue = 1 if slot.is_pooled else max(1, len(self.registry.states))
        interval.waiting += self.waiting.count(group) / engines_sharing_queue
        interval.running += slot.running_maximum + slot.running_minimum
        if interval.results >= RESULTS_PER_INTERVAL:
            self.end_interval(slot, state, now_ms)

    def end_stale_intervals(
        self, state: EngineState, slots: dict[ResourceGroup, AdmissionSlot], now_ms: float
    ) -> None:
        """Ends intervals that have lasted too long.

        An engine that hangs gives no results that would end them.
        """
        for group, slot in slots.items():
            age_ms = now_ms - slot.interval.started_ms
            is_overdue = (
                slot.interval.results and age_ms > STALE_INTERVAL_OBJECTIVES * group.latency_objective_ms
            )
            if is_overdue or age_ms > group.max_timeout_ms:
                self.end_interval(slot, state, now_ms)

    def end_interval(self, slot: AdmissionSlot, state: EngineState, now_ms: float) -> None:
        """Adjusts the slot by the interval's means, and starts a new interval.

        A mean lateness above one standard deviation misses the objective; a negative one meets it. Values in
        between change nothing, so that no limit changes by chance alone. `state`: the slot's engine, or the
        representative of all engines where the slot is pooled.
        """
        interval = slot.interval
        results = max(1, interval.results)
        lateness_ms = interval.lateness_ms / results
        deviation_ms = sqrt(max(0.0, interval.lateness_squared / results - lateness_ms * lateness_ms))
        if lateness_ms > deviation_ms:
            self._on_objective_missed(slot, state, results)
        elif lateness_ms < 0:
            self._on_objective_met(slot, results)
        slot.start_interval(now_ms)

    def _on_objective_missed(self, slot: AdmissionSlot, state: EngineState, results: int) -> None:
        """Adds a maximum slot that fits, else a minimum slot, else memory to the pool (paper, Figure 3).

        With few waiting queries, or on a full engine, no slot is added.
        """
        engines_of_slot = len(self.registry.states) if slot.is_pooled else 1
        memory_mb = self.gateway_share * state.memory_mb * engines_of_slot
        pools_mb = sum(sibling.pool_mb or 0.0 for sibling in slot.siblings.values())
        unreserved_mb = USABLE_MEMORY_SHARE * memory_mb - pools_mb
        pool_mb = slot.pool_mb or 0.0
        mean_grant_mb = slot.interval.granted_mb / results
        is_contended = slot.interval.waiting / results >= MIN_MEAN_WAITING
        needs_slots = is_contended and not self.engine_load.is_full(state)
        slot.meets_objective = False
        slot.delay_ms = 0.0
        if needs_slots and mean_grant_mb < unreserved_mb:
            slot.maximum += 1
            slot.pool_mb = pool_mb + mean_grant_mb
            slot.minimum = max(0, slot.minimum - 1)
        elif needs_slots and slot.maximum < MAXIMUM_SLOTS_FOR_MINIMUM:
            slot.minimum += 1
        else:
            slot.pool_mb = pool_mb + max(0.0, min(POOL_STEP_SHARE * memory_mb, unreserved_mb))

    def _on_objective_met(self, slot: AdmissionSlot, results: int) -> None:
        """Allows the admission delay, and lowers a limit well above the running attempts (paper, 4.3.3)."""
        slot.meets_objective = True
        if slot.interval.running / results < slot.maximum - 1:
            mean_grant_mb = slot.interval.granted_mb / results
            slot.maximum -= 1
            slot.pool_mb = max(mean_grant_mb, (slot.pool_mb or 0.0) - mean_grant_mb)
