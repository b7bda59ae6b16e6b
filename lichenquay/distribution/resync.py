"""Requests of a whole snapshot by a subscriber whose digest does not match its source's."""

from lichenquay.distribution.settings import Settings

INF = float("inf")
MAX_DELAY_DOUBLINGS = 6  # Of `report_ms`, the delay between two requests.
MAX_ATTEMPTS_PER_SOURCE = 2  # After more failed attempts the next source is tried.


class Resync:
    """Schedules requests of whole snapshots, with backoff while the digests still do not match."""

    def __init__(self, settings: Settings):
        """Starts without a snapshot being needed."""
        self.settings = settings
        self.is_needed = False
        self.not_before_ms = -INF
        self.attempts = 0

    @property
    def should_change_source(self) -> bool:
        """Returns whether the current source has failed often enough to try the next one."""
        return self.attempts > MAX_ATTEMPTS_PER_SOURCE

    def begin_attempt(self, now_ms: float) -> bool:
        """Counts an attempt and sets the earliest time of the next; returns False if it is too early."""
        if now_ms < self.not_before_ms:
            return False
        self.attempts += 1
        delay_ms = self.settings.report_ms * 2 ** min(self.attempts, MAX_DELAY_DOUBLINGS)
        self.not_before_ms = now_ms + delay_ms
        return True
