"""Pressure: whether one engine, or the fleet, is loaded so much that slots bind.

Without pressure, slots would hold queries back while engines have free cores.
"""

from collections.abc import Sequence

from lichenquay.admission.domain import ResourceGroup
from lichenquay.admission.engine_load import FULL_UTILISATION, THREADS_PER_CORE, EngineLoad, own_load
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.sliding_window import SlidingWindow

SLOW_FACTOR = 2  # latency "well above best": slowdown over the best mean slowdown
MEMORY_WAIT_SHARE = 1 / 3  # share of first progress events that report a wait for memory
MIN_WINDOW_BUCKET_MS = 100.0
SLOWDOWN_BUCKETS = 8
MEMORY_WAIT_BUCKETS = 16
MIN_RESULTS_FOR_BEST = 5  # results in the window before their mean may count as the best


class Pressure:
    """Pressure of engines and of the fleet, from reports and from this gateway's own results."""

    def __init__(self, groups: Sequence[ResourceGroup], engine_load: EngineLoad):
        """No result yet."""
        bucket_ms = min((group.latency_objective_ms for group in groups), default=0.0)
        bucket_ms = max(MIN_WINDOW_BUCKET_MS, bucket_ms)
        self.engine_load = engine_load
        self.slowdowns = SlidingWindow(bucket_ms, SLOWDOWN_BUCKETS)  # of all our attempts
        self.best_slowdown: float | None = None  # least mean so far
        # 1 for an attempt whose first progress event reported a wait for memory, 0 for another:
        self.memory_waits = SlidingWindow(bucket_ms, MEMORY_WAIT_BUCKETS)

    def record_slowdown(self, slowdown: float, now_ms: float) -> None:
        """An attempt took `slowdown` times its expected runtime."""
        self.slowdowns.add(now_ms, slowdown)
        if self.slowdowns.count(now_ms) >= MIN_RESULTS_FOR_BEST:
            mean = self.slowdowns.mean(now_ms)
            self.best_slowdown = min(self.best_slowdown, mean) if self.best_slowdown else mean

    def record_first_progress(self, waits_for_memory: bool, now_ms: float) -> None:
        """The engine reported on an attempt for the first time."""
        self.memory_waits.add(now_ms, waits_for_memory)

    def is_engine_under_pressure(self, state: EngineState, group: ResourceGroup, now_ms: float) -> bool:
        """Whether slots of the group bind on the engine.

        It is full by its report, our own load alone exceeds the starting limit, it shed an attempt less than
        the group's objective ago, or it runs well slower than the best that this gateway saw.
        """
        if self.engine_load.is_full(state) or own_load(state) > THREADS_PER_CORE:
            return True
        if now_ms - state.last_overloaded_ms < group.latency_objective_ms:
            return True
        if not state.slowdown_ratio or not self.best_slowdown:
            return False
        return state.slowdown_ratio > SLOW_FACTOR * self.best_slowdown

    def are_engines_under_pressure(self, now_ms: float) -> bool:
        """Whether the fleet has no room: pooled slots bind, and queries over quota have none.

        All our attempts are well slower than the best mean, many had to wait for memory, or the mean report
        is full. The first two cover engines whose reports say little: a full one reports much as others do.
        """
        if self.best_slowdown and self.slowdowns.mean(now_ms, 0.0) > SLOW_FACTOR * self.best_slowdown:
            return True
        if self.memory_waits.mean(now_ms, 0.0) > MEMORY_WAIT_SHARE:
            return True
        return self.engine_load.mean_utilisation >= FULL_UTILISATION
