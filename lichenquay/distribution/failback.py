"""Failback to the preferred source, which is tried in a second session beside the current one."""

from collections.abc import Sequence
from random import Random

from lichenquay.distribution.settings import Settings
from lichenquay.distribution.source_session import SourceSession

INF = float("inf")
MAX_DELAY_DOUBLINGS = 5  # Of `silent_ms`, the delay before a trial, while failback does not succeed for long.
MIN_DELAY_FACTOR = 0.5  # Jitter of that delay.
MAX_DELAY_FACTOR = 1.5


class Failback:
    """Schedules trial sessions at the preferred source, with backoff while failback does not last."""

    def __init__(self, sources: Sequence[str], rng: Random, settings: Settings):
        """Starts with nothing scheduled, as the preferred source is followed."""
        self.sources = tuple(sources)
        self.rng = rng
        self.settings = settings
        self.trial: SourceSession | None = None
        self._next_trial_ms = INF
        self._failed_back_ms = -INF
        self._doublings = 0

    @property
    def due_ms(self) -> float:
        """Returns the time at which the host should call `tick` next."""
        if self.trial is None:
            return self._next_trial_ms
        return min(self.trial.next_follow_ms, self.trial.fail_over_due_ms)

    def on_failover(self, now_ms: float, source: str) -> None:
        """Schedules a trial if a source other than the preferred one is followed now."""
        if source == self.sources[0]:
            self.cancel()
        elif self.trial is None and self._next_trial_ms == INF:
            if now_ms >= self._failed_back_ms + self.settings.forget_ms:
                self._doublings = 0
            self._schedule_trial(now_ms)

    def cancel(self) -> None:
        """Cancels trials: the preferred source is followed, or the leader is known."""
        self.trial = None
        self._next_trial_ms = INF

    def tick(self, now_ms: float) -> SourceSession | None:
        """Begins or ends a trial if that is due; returns the trial session if a Follow is due in it."""
        if self.trial is None:
            self.trial = SourceSession(self.sources, self.rng, self.settings, now_ms)
            return None
        if now_ms >= self.trial.fail_over_due_ms:
            self.on_trial_failed(now_ms)
            return None
        return self.trial

    def is_from_trial(self, source: str, session_id: int) -> bool:
        """Returns whether a message belongs to the trial session."""
        return self.trial is not None and (source, session_id) == (self.trial.source, self.trial.session_id)

    def on_trial_failed(self, now_ms: float) -> None:
        """Ends the trial: the preferred source does not answer or cannot serve this subscriber now."""
        self.trial = None
        self._schedule_trial(now_ms)

    def complete(self, now_ms: float, current: SourceSession) -> SourceSession:
        """Returns the trial session, which replaces the current session."""
        trial = self.trial
        self.trial = None
        self._next_trial_ms = INF
        self._failed_back_ms = now_ms
        trial.replace(current)
        return trial

    def _schedule_trial(self, now_ms: float) -> None:
        # Without jitter, all subscribers of a relay that has recovered would return at once. Without backoff,
        # a relay that fails repeatedly would cost each of them `silent_ms` every time.
        delay_ms = self.settings.silent_ms * 2**self._doublings
        self._next_trial_ms = now_ms + delay_ms * self.rng.uniform(MIN_DELAY_FACTOR, MAX_DELAY_FACTOR)
        self._doublings = min(self._doublings + 1, MAX_DELAY_DOUBLINGS)
