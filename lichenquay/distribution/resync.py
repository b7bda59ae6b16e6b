"""When a subscriber whose digest does not match asks for a whole snapshot."""

from lichenquay.distribution.settings import Settings

INF = float("inf")
MAX_DOUBLINGS = 6  # Of `report_ms` between two snapshots.
ATTEMPTS_AT_ONE_SOURCE = 2  # After more of them in vain another source is tried.


class Resync:
    """Requests of whole snapshots, with growing delays while they do not help."""

    def __init__(self, settings: Settings):
        """Start without need."""
        self.settings = settings
        self.is_needed = False
        self.not_before_ms = -INF
        self.attempts = 0

    @property
    def should_change_source(self) -> bool:
        """Whether the present source was asked often enough."""
        return self.attempts > ATTEMPTS_AT_ONE_SOURCE

    def begin_attempt(self, now_ms: float) -> bool:
        """Count an attempt and plan the next one; return False if it is too early."""
        if now_ms < self.not_before_ms:
            return False
        self.attempts += 1
        delay_ms = self.settings.report_ms * 2 ** min(self.attempts, MAX_DOUBLINGS)
        self.not_before_ms = now_ms + delay_ms
        return True
