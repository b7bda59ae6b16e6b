"""The load on the gateway's own resources, as one of four states with hysteresis."""

from enum import StrEnum

from lichenquay.connection_admission.limits import ConnectionRules

MAX_LAG_SAMPLES = 64


class LoadState(StrEnum):
    """Load states, in ascending order."""

    CALM = "calm"
    TIGHT = "tight"
    CRITICAL = "critical"  # unknown clients get at most a fair share of the open queries
    FULL = "full"  # only known clients are admitted


LOAD_STATES = tuple(LoadState)


class LoadMonitor:
    """Tracks the load state, which rises at once and falls by one after `fall_delay_ms` below a threshold."""

    def __init__(self, rules: ConnectionRules, now_ms: float):
        """Starts in the state CALM."""
        self.rules = rules
        self.state = LoadState.CALM
        self.below_since_ms = now_ms
        self.lags: list[tuple[float, float]] = []  # (time, lag) of recent measurements, in ms

    def update(self, used_share: float, lag_ms: float, now_ms: float) -> LoadState:
        """Records one measurement and returns the state.

        `used_share` is the largest used share of any resource, such as descriptors or memory; `lag_ms` is the
        delay of a timer of the event loop.
        """
        rules = self.rules
        self._add_lag(lag_ms, now_ms)
        lag_share = self._persistent_lag_ms(now_ms) / rules.max_lag_ms if rules.max_lag_ms else 0.0
        used_share = max(used_share, lag_share)
        level = LOAD_STATES.index(self.state)
        reached_level = sum(used_share >= threshold for threshold in rules.rise_thresholds)
        if reached_level > level:
            self._enter(reached_level, now_ms)
        elif level and used_share < rules.fall_thresholds[level - 1]:
            if now_ms - self.below_since_ms >= rules.fall_delay_ms:
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
        """Returns the smallest lag of the window, as CoDel does.

        A burst does not raise it, a standing queue does. Returns 0 while the measurements cover less than
        half of the window.
        """
        oldest_ms, _ = self.lags[0]
        if oldest_ms > now_ms - self.rules.lag_window_ms / 2:
            return 0.0
        return min(lag for _, lag in self.lags)
