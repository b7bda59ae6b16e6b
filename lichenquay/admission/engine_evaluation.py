"""Periodic comparison of engines with their peers: medians, means, usable capacity, and the subset."""

from lichenquay.admission.constrained_groups import ConstrainedGroups
from lichenquay.admission.engine_load import EngineLoad
from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.engine_subset import EngineSubset
from lichenquay.admission.health_checks import HealthChecks
from lichenquay.admission.outlier_detection import OutlierDetection
from lichenquay.admission.slot_feedback import SlotFeedback
from lichenquay.admission.slot_table import SlotTable
from lichenquay.admission.usable_capacity import UsableCapacity


class EngineEvaluation:
    """Evaluates the engines that this gateway used or has reports of, once in each evaluation interval."""

    def __init__(
        self,
        registry: EngineRegistry,
        engine_load: EngineLoad,
        outliers: OutlierDetection,
        capacity: UsableCapacity,
        subset: EngineSubset,
        constrained_groups: ConstrainedGroups,
        slot_table: SlotTable,
        feedback: SlotFeedback,
        health_checks: HealthChecks,
        interval_ms: float,
    ):
        """Schedules the first evaluation for the first tick."""
        self.registry = registry
        self.engine_load = engine_load
        self.outliers = outliers
        self.capacity = capacity
        self.subset = subset
        self.constrained_groups = constrained_groups
        self.slot_table = slot_table
        self.feedback = feedback
        self.health_checks = health_checks
        self.interval_ms = interval_ms
        self.next_ms = 0.0

    def evaluate_if_due(self, now_ms: float) -> None:
        """Compares engines, ends stale slot intervals, and checks the health of unresponsive engines."""
        if now_ms < self.next_ms:
            return
        self.next_ms = now_ms + self.interval_ms
        states = self.compare_with_peers(now_ms)
        representative = self.registry.representative()  # stands for all engines where slots are pooled
        if representative is not None and representative not in self.registry.active:
            states = [representative, *states]
        for state in states:
            self.feedback.end_stale_intervals(state, state.slots, now_ms)
            if state is representative:
                self.feedback.end_stale_intervals(state, self.slot_table.pooled, now_ms)
            self.health_checks.health_check_if_unresponsive(state, now_ms)

    def compare_with_peers(self, now_ms: float) -> list[EngineState]:
        """Updates all statistics across engines; returns the active engines in the order of joining."""
        active = self.registry.active_in_join_order()
        self.outliers.update_medians(active, len(self.registry.states), now_ms)
        self.engine_load.expire_reports(now_ms)
        self.update_subset(now_ms)
        self.engine_load.update_means(active)
        self.constrained_groups.update_spare_share(self.registry, self.engine_load, active)
        return active

    def update_subset(self, now_ms: float) -> None:
        """Recomputes usable capacity and the subset after a change of the endpoint list or of capacity."""
        usable_shares = self.capacity.update(now_ms)
        self.subset.update(now_ms, usable_shares)
