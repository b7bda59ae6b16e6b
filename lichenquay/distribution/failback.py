"""Failback to the preferred source, tried in a session beside the present one."""

from collections.abc import Sequence
from random import Random

from lichenquay.distribution.settings import Settings
from lichenquay.distribution.source_session import SourceSession

INF = float("inf")
MAX_DOUBLINGS = 5  # Of `silent_ms` between two trials, while they fail or the source fails again.
MIN_DELAY_SHARE = 0.5
MAX_DELAY_SHARE = 1.5


class Failback:
    """Trial sessions at the preferred source, ever later while they fail or the failback does not last."""

    def __init__(self, sources: Sequence[str], rng: Random, settings: Settings):
        """Start with nothing due, as the first source is followed."""
        self.sources = tuple(sources)
        self.rng = rng
        self.settings = settings
        self.trial: SourceSession | None = None
        self._next_trial_ms = INF
        self._failed_back_ms = -INF
        self._doublings = 0

    @property
    def due_ms(self) -> float:
        """When to call `tick`."""
        if self.trial is None:
            return self._next_trial_ms
        return min(self.trial.next_follow_ms, self.trial.fail_over_due_ms)

    def on_failover(self, now_ms: float, source: str) -> None:
        """Plan a trial after another source is followed."""
        if source == self.sources[0]:
            self.cancel()
        elif self.trial is None and self._next_trial_ms == INF:
            if now_ms >= self._failed_back_ms + self.settings.forget_ms:
                self._doublings = 0
            self._plan_trial(now_ms)

    def cancel(self) -> None:
        """Try nothing: the preferred source is followed, or the leader is known."""
        self.trial = None
        self._next_trial_ms = INF

    def tick(self, now_ms: float) -> SourceSession | None:
        """Return the trial session if a Follow is due in it."""
        if self.trial is None:
            self.trial = SourceSession(self.sources, self.rng, self.settings, now_ms)
            return None
        if now_ms >= self.trial.fail_over_due_ms:
            self.on_trial_failed(now_ms)
            return None
        return self.trial

    def is_answer(self, source: str, session_id: int) -> bool:
        """Return whether a message belongs to the trial."""
        return self.trial is not None and (source, session_id) == (self.trial.source, self.trial.session_id)

    def on_trial_failed(self, now_ms: float) -> None:
        """End the trial: the preferred source does not answer, or has nothing for this subscriber now."""
        self.trial = None
        self._plan_trial(now_ms)

    def complete(self, now_ms: float, present: SourceSession) -> SourceSession:
        """Return the trial session, which takes the place of the present one."""
        trial = self.trial
        self.trial = None
        self._next_trial_ms = INF
        self._failed_back_ms = now_ms
        trial.replace(present)
        return trial

    def _plan_trial(self, now_ms: float) -> None:
        # All subscribers of a relay that is back would come at once, and a relay that fails again and again
        # would cost each of them `silent_ms` every time.
        delay_ms = self.settings.silent_ms * 2**self._doublings
        self._next_trial_ms = now_ms + delay_ms * self.rng.uniform(MIN_DELAY_SHARE, MAX_DELAY_SHARE)
        self._doublings = min(self._doublings + 1, MAX_DOUBLINGS)
