"""Slot feedback: M&M's steps of slots and memory pool, from the results of an interval (paper, 4.3)."""

from math import sqrt

from lichenquay.admission.admission_slot import AdmissionSlot
from lichenquay.admission.domain import ResourceGroup
from lichenquay.admission.engine_fleet import EngineFleet
from lichenquay.admission.engine_load import EngineLoad
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.memory_grants import USABLE_MEMORY_SHARE
from lichenquay.admission.waiting_queries import WaitingQueries

RESULTS_PER_INTERVAL = 20
RUNTIME_AVERAGE_RESULTS = 10  # results over which a slot's mean runtime is averaged
MIN_MEAN_WAITING = 0.5  # fewer waiting queries: slots are not what is missing
MAXIMUM_SLOTS_FOR_MINIMUM = 2  # with as many maximum slots, more minimum slots only slow all down
POOL_STEP_SHARE = 0.05  # of our share of the memory
STALE_INTERVAL_OBJECTIVES = 4  # an interval with results ends after this multiple of the objective


class SlotFeedback:
    """Collects results and adjusts a slot at the end of each interval."""

    def __init__(
        self, fleet: EngineFleet, engine_load: EngineLoad, waiting: WaitingQueries, gateway_share: float
    ):
        """`gateway_share`: our share of the fleet, 0 to 1."""
        self.fleet = fleet
        self.engine_load = engine_load
        self.waiting = waiting
        self.gateway_share = gateway_share

    def record_runtime(self, slot: AdmissionSlot, elapsed_ms: float) -> None:
        """An attempt with an estimate completed."""
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
        """An attempt ended so much after its latency objective (negative: before it).

        While the objective is met, the next admission is delayed for as long as this one was early
        (paper, 4.3.3).
        """
        interval = slot.interval
        interval.results += 1
        interval.lateness_ms += lateness_ms
        interval.lateness_squared += lateness_ms * lateness_ms
        interval.granted_mb += granted_mb
        slot.delay_ms = max(0.0, -lateness_ms) if slot.meets_objective else 0.0
        engines_sharing_queue = 1 if slot.is_pooled else max(1, len(self.fleet.states))
        interval.waiting += self.waiting.count(group) / engines_sharing_queue
        interval.running += slot.running_maximum + slot.running_minimum
        if interval.results >= RESULTS_PER_INTERVAL:
            self.end_interval(slot, state, now_ms)

    def end_stale_intervals(
        self, state: EngineState, slots: dict[ResourceGroup, AdmissionSlot], now_ms: float
    ) -> None:
        """Ends intervals that have lasted too long: an engine that hangs gives no results to end them."""
        for group, slot in slots.items():
            age_ms = now_ms - slot.interval.started_ms
            is_overdue = (
                slot.interval.results and age_ms > STALE_INTERVAL_OBJECTIVES * group.latency_objective_ms
            )
            if is_overdue or age_ms > group.max_timeout_ms:
                self.end_interval(slot, state, now_ms)

    def end_interval(self, slot: AdmissionSlot, state: EngineState, now_ms: float) -> None:
        """Adjusts the slot by the interval's means, and begins a new interval.

        A mean lateness over one standard deviation misses the objective; below 0, the objective is met. In
        between nothing changes, so that chance alone moves no limit. `state`: the slot's engine, or one that
        represents all where the slot is pooled.
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
        """Figure 3 of the paper, in its order: a maximum slot that fits, else a minimum slot, else more pool.

        With few waiting queries, or on a full engine, no slot is added.
        """
        engines_of_slot = len(self.fleet.states) if slot.is_pooled else 1
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
        """The admission delay may act; a limit well above what runs is lowered by one (paper, 4.3.3)."""
        slot.meets_objective = True
        if slot.interval.running / results < slot.maximum - 1:
            mean_grant_mb = slot.interval.granted_mb / results
            slot.maximum -= 1
            slot.pool_mb = max(mean_grant_mb, (slot.pool_mb or 0.0) - mean_grant_mb)
