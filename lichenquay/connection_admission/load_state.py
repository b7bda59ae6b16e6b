"""How much of the gateway's own resources is used up, as one of four states with hysteresis."""

from enum import StrEnum

from lichenquay.connection_admission.limits import ConnectionRules

MAX_LAG_SAMPLES = 64


class LoadState(StrEnum):
    """From little used to all used up."""

    CALM = "calm"
    TIGHT = "tight"
    CRITICAL = "critical"  # unknown clients get a fair share of the open queries at most
    FULL = "full"  # known clients alone are admitted


LOAD_STATES = tuple(LoadState)


class LoadMonitor:
    """Rises at once, and falls one state at a time after `fall_after_ms` under its lower bound."""

    def __init__(self, rules: ConnectionRules, now_ms: float):
        """Starts calm."""
        self.rules = rules
        self.state = LoadState.CALM
        self.below_since_ms = now_ms
        self.lags: list[tuple[float, float]] = []  # (time, lag) of recent turns

    def update(self, used_share: float, lag_ms: float, now_ms: float) -> LoadState:
        """Takes one measurement and returns the state.

        `used_share` is the largest used share of descriptors, memory and the like; `lag_ms` is how late a
        turn of the event loop came.
        """
        rules = self.rules
        self._add_lag(lag_ms, now_ms)
        lag_share = self._persistent_lag_ms(now_ms) / rules.max_lag_ms if rules.max_lag_ms else 0.0
        used_share = max(used_share, lag_share)
        level = LOAD_STATES.index(self.state)
        reached_level = sum(used_share >= bound for bound in rules.rise_at)
        if reached_level > level:
            self._enter(reached_level, now_ms)
        elif level and used_share < rules.fall_below[level - 1]:
            if now_ms - self.below_since_ms >= rules.fall_after_ms:
                self._enter(level - 1, now_ms)
        else:
            self.below_since_ms = now_ms
        return self.state

    def _enter(self, level, now_ms):
        self.state = LOAD_STATES[level]
        self.below_since_ms = now_ms

    def _add_lag(self, lag_ms, now_ms):
        window_start_ms = now_ms - self.rules.lag_window_ms
        recent = [(at_ms, lag) for at_ms, lag in self.lags if at_ms > window_start_ms]
        self.lags = [*recent[-(MAX_LAG_SAMPLES - 1) :], (now_ms, lag_ms)]

    def _persistent_lag_ms(self, now_ms):
        """The least lag of the window, as in CoDel: a burst passes, a persistent queue does not."""
        oldest_ms, _ = self.lags[0]
        if oldest_ms > now_ms - self.rules.lag_window_ms / 2:
            return 0.0
        return min(lag for _, lag in self.lags)
