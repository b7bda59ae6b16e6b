"""Pressure: whether one engine, or all together, are loaded so much that slot limits apply.

Without pressure, slots would hold queries back while engines have free cores.
"""

from collections.abc import Sequence

from lichenquay.admission.domain import ResourceGroup
from lichenquay.admission.engine_load import FULL_UTILISATION, THREADS_PER_CORE, EngineLoad, own_load
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.sliding_window import SlidingWindow

SLOW_FACTOR = 2  # a mean slowdown above this multiple of the best one counts as pressure
MEMORY_WAIT_SHARE = 1 / 3  # share of first progress events reporting a memory wait that counts as pressure
MIN_WINDOW_BUCKET_MS = 100.0
SLOWDOWN_BUCKETS = 8
MEMORY_WAIT_BUCKETS = 16
MIN_RESULTS_FOR_BEST = 5  # results in the window before their mean may count as the best one


class Pressure:
    """Pressure on single engines and on all together, from load reports and this gateway's own results."""

    def __init__(self, groups: Sequence[ResourceGroup], engine_load: EngineLoad):
        """Starts with no result."""
        bucket_ms = min((group.latency_objective_ms for group in groups), default=0.0)
        bucket_ms = max(MIN_WINDOW_BUCKET_MS, bucket_ms)
        self.engine_load = engine_load
        self.slowdowns = SlidingWindow(bucket_ms, SLOWDOWN_BUCKETS)  # of all attempts of this gateway
        self.best_slowdown: float | None = None  # lowest mean so far
        # 1 for an attempt whose first progress event reported a wait for memory, 0 for any other:
        self.memory_waits = SlidingWindow(bucket_ms, MEMORY_WAIT_BUCKETS)

    def record_slowdown(self, slowdown: float, now_ms: float) -> None:
        """Records that an attempt took `slowdown` times its expected runtime."""
        self.slowdowns.add(now_ms, slowdown)
        if self.slowdowns.count(now_ms) >= MIN_RESULTS_FOR_BEST:
            mean = self.slowdowns.mean(now_ms)
            self.best_slowdown = min(self.best_slowdown, mean) if self.best_slowdown else mean

    def record_first_progress(self, waits_for_memory: bool, now_ms: float) -> None:
        """Records an attempt's first progress event."""
        self.memory_waits.add(now_ms, waits_for_memory)

    def is_engine_under_pressure(self, state: EngineState, group: ResourceGroup, now_ms: float) -> bool:
        """Returns whether the group's slot limits apply on the engine.

        They do if the engine reports full, if this gateway's load on it exceeds the initial thread limit, if
        it shed an attempt less than the group's objective ago, or if it is much slower than the best mean of
        this gateway.
        """
        if self.engine_load.is_full(state) or own_load(state) > THREADS_PER_CORE:
            return True
        if now_ms - state.last_overloaded_ms < group.latency_objective_ms:
            return True
        if not state.slowdown_ratio or not self.best_slowdown:
            return False
        return state.slowdown_ratio > SLOW_FACTOR * self.best_slowdown

    def are_engines_under_pressure(self, now_ms: float) -> bool:
        """Returns whether the engines are at capacity: pooled limits apply; queries over quota have no room.

        They are if this gateway's attempts are much slower than the best mean, if many attempts had to wait
        for memory, or if the mean reported utilisation is full. The first two conditions cover engines that
        report little: their reports hardly differ between a full engine and others.
        """
        if self.best_slowdown and self.slowdowns.mean(now_ms, 0.0) > SLOW_FACTOR * self.best_slowdown:
            return True
        if self.memory_waits.mean(now_ms, 0.0) > MEMORY_WAIT_SHARE:
            return True
        return self.engine_load.mean_utilisation >= FULL_UTILISATION
