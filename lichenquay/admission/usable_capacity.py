"""Usable capacity: what new work can count on, while engines warm up, drain or leave."""

from lichenquay.admission.engine_fleet import EngineFleet
from lichenquay.admission.engine_state import EngineState
from lichenquay.admission.slow_start import SlowStart

MIN_CAPACITY = 1.0  # cores or megabytes; keeps shares of it finite


class UsableCapacity:
    """Cores and memory of the fleet that new work can count on.

    A gateway that used the size of the whole fleet would overload the engines that are left during a restart.
    """

    def __init__(self, fleet: EngineFleet, slow_start: SlowStart):
        """No engine yet."""
        self.fleet = fleet
        self.slow_start = slow_start
        self.cores = MIN_CAPACITY
        self.memory_mb = MIN_CAPACITY

    def update(self, now_ms: float) -> dict[EngineState, float]:
        """Sums the capacity anew; the usable share (0 to 1) of engines that were not fully usable before."""
        fleet = self.fleet
        usable_share = self.slow_start.usable_share
        shares = {state: usable_share(state.engine, now_ms) for state in fleet.not_fully_usable}
        fleet.not_fully_usable = {state: True for state, share in shares.items() if share < 1}
        # Warming up limits speed alone: memory is missing only where an engine accepts no new work.
        missing_cores = sum((1 - shares[state]) * state.cores for state in fleet.not_fully_usable)
        missing_mb = sum(state.memory_mb for state in fleet.not_fully_usable if not shares[state])
        self.cores = max(MIN_CAPACITY, fleet.cores - missing_cores)
        self.memory_mb = max(MIN_CAPACITY, fleet.memory_mb - missing_mb)
        return shares
