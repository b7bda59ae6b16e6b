"""Outlier detection: engines that fail more often, or run slower, than their peers.

A fault that affects all engines alike makes none of them an outlier.
"""

from collections.abc import Sequence

from lichenquay.admission.engine_state import EngineState

MIN_ERRORS = 2  # with fewer errors an engine is never an outlier
ERROR_SHARE_OVER_MEDIAN = 0.25
MIN_SLOWDOWN_WEIGHT = 0.02  # smallest weight factor of a slow engine, so that its recovery is noticed
SLOWDOWN_EXPONENT = 1
SWAPPING_SLOWDOWN_EXPONENT = 2


class OutlierDetection:
    """Medians of error shares and slowdown ratios over all engines, and the comparison with them."""

    def __init__(self, engines_swap: bool):
        """Takes `engines_swap`: an engine short of memory swaps while it reports idle cores."""
        self.slowdown_exponent = SWAPPING_SLOWDOWN_EXPONENT if engines_swap else SLOWDOWN_EXPONENT
        self.median_slowdown: float | None = None
        self.median_error_share = 0.0

    def has_outlying_errors(self, state: EngineState, now_ms: float) -> bool:
        """Returns whether the engine's error share is well above the median of its peers.

        An engine that fails its queries immediately looks idle, and would be drawn more and more often.
        """
        errors = state.errors
        if errors.total(now_ms) < MIN_ERRORS:
            return False
        return errors.mean(now_ms) > self.median_error_share + ERROR_SHARE_OVER_MEDIAN

    def slowdown_weight(self, state: EngineState) -> float:
        """Returns a factor (at most 1) on the engine's weight, below 1 for one slower than its peers.

        Where engines swap, the relative speed is squared, because a swapping engine reports idle cores.
        """
        if not self.median_slowdown or not state.slowdown_ratio:
            return 1.0
        relative_speed = self.median_slowdown / state.slowdown_ratio
        return min(1.0, max(MIN_SLOWDOWN_WEIGHT, relative_speed**self.slowdown_exponent))

    def update_medians(self, active: Sequence[EngineState], engine_count: int, now_ms: float) -> None:
        """Recomputes the slowdown ratios of the active engines, and the medians.

        Engines that are not `active` count as without errors.
        """
        for state in active:
            if not state.slowdowns.is_unused:
                state.slowdown_ratio = state.slowdowns.mean(now_ms, state.slowdown_ratio)
            else:
                state.slowdown_ratio = None
        slowdowns = sorted(state.slowdown_ratio for state in active if state.slowdown_ratio)
        self.median_slowdown = slowdowns[len(slowdowns) // 2] if slowdowns else None
        error_shares = sorted(state.errors.mean(now_ms, 0.0) for state in active)
        # Index of the lower median over all engines; inactive ones would be zeros before the first element.
        median_index = len(active) - 1 - engine_count + (engine_count + 1) // 2
        self.median_error_share = error_shares[median_index] if median_index >= 0 else 0.0
