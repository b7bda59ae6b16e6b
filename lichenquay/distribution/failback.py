"""Back to the preferred source once it answers again, tried beside the session at another one. No I/O."""

from lichenquay.distribution.source_session import Link

INF = float("inf")
MOST_DOUBLINGS = 5  # Of `silent_ms` between two trials, while they are in vain or the source fails again.


class Failback:
    """A trial session at the first source, begun ever later while it is in vain or does not last."""

    def __init__(self, sources, rng, settings):
        """Nothing is due until a source was left for another one."""
        self.sources, self.rng, self.settings = tuple(sources), rng, settings
        self.trial = None  # The session that is tried; its Follows are sent beside those of the present one.
        self._begin_ms, self._back_ms, self._in_vain = INF, -INF, 0

    @property
    def due_ms(self):
        """When `tick` is wanted."""
        return min(self.trial.follow_ms, self.trial.leave_ms) if self.trial else self._begin_ms

    def moved(self, now_ms, source):
        """Another source is followed from now on."""
        if source == self.sources[0]:
            self.cancel()
        elif self.trial is None and self._begin_ms == INF:
            if now_ms >= self._back_ms + self.settings.forget_ms:
                self._in_vain = 0
            self._put_off(now_ms)

    def cancel(self):
        """The first source is followed, or which one it is is told."""
        self.trial, self._begin_ms = None, INF

    def tick(self, now_ms):
        """The session in which a Follow is due, if one is."""
        if self.trial is None:
            self.trial = Link(self.sources, self.rng, self.settings, now_ms)
            return None
        if now_ms >= self.trial.leave_ms:
            self.in_vain(now_ms)
            return None
        return self.trial

    def is_answer(self, source, session):
        """Whether a message belongs to the trial."""
        return self.trial is not None and (source, session) == (self.trial.source, self.trial.session)

    def in_vain(self, now_ms):
        """The first source does not answer, or has nothing for us now."""
        self.trial = None
        self._put_off(now_ms)

    def done(self, now_ms, link):
        """The trial, which takes the place of the present session `link`."""
        trial, self.trial = self.trial, None
        self._begin_ms, self._back_ms = INF, now_ms
        trial.follows_on(link)
        return trial

    def _put_off(self, now_ms):
        # Risk: all subscribers of a relay that is back would come at once; one that fails again and again
        # would cost each of them `silent_ms` every time.
        most_ms = self.settings.silent_ms * 2**self._in_vain
        self._begin_ms = now_ms + most_ms * self.rng.uniform(0.5, 1.5)
        self._in_vain = min(self._in_vain + 1, MOST_DOUBLINGS)
