"""Usable capacity: what is available to new work while engines warm up, drain or leave."""

from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.slow_start import SlowStart

MIN_CAPACITY = 1.0  # cores or megabytes; keeps ratios to the capacity finite


class UsableCapacity:
    """Cores and memory of all engines that are available to new work.

    A gateway that used the size of all engines would overload the remaining engines during a rolling
    restart.
    """

    def __init__(self, registry: EngineRegistry, slow_start: SlowStart):
        """Starts with no engine."""
        self.registry = registry
        self.slow_start = slow_start
        self.cores = MIN_CAPACITY
        self.memory_mb = MIN_CAPACITY

    def update(self, now_ms: float) -> dict[EngineState, float]:
        """Recomputes the capacity; returns the usable share (0 to 1) of engines not fully usable before."""
        registry = self.registry
        usable_share = self.slow_start.usable_share
        shares = {state: usable_share(state.engine, now_ms) for state in registry.not_fully_usable}
        registry.not_fully_usable = {state: True for state, share in shares.items() if share < 1}
        # Warm-up limits only speed: memory is missing only where an engine accepts no new work.
        missing_cores = sum((1 - shares[state]) * state.cores for state in registry.not_fully_usable)
        missing_mb = sum(state.memory_mb for state in registry.not_fully_usable if not shares[state])
        self.cores = max(MIN_CAPACITY, registry.cores - missing_cores)
        self.memory_mb = max(MIN_CAPACITY, registry.memory_mb - missing_mb)
        return shares
