"""Pacing of handovers: backoff after failures, and a byte budget."""

from typing import NamedTuple

from lichenquay.migration.settings import MigrationSettings

MAX_DOUBLINGS = 8
BURST_S = 0.25  # seconds of the byte rate that the budget accumulates at most


class Backoff(NamedTuple):
    """The backoff of a session or replica group: no attempt before `not_before_ms`."""

    not_before_ms: float = 0
    failures: int = 0


class Backoffs:
    """The backoffs of sessions, by session id, and of replica groups, by name."""

    def __init__(self, settings: MigrationSettings):
        """Starts without failures."""
        self.settings = settings
        self.by_name: dict[str, Backoff] = {}

    def add_failure(self, now_ms: float, name: str) -> None:
        """Records a failure; the wait doubles with each further one."""
        failures = self.by_name.get(name, Backoff()).failures
        doubled_ms = self.settings.backoff_ms * 2 ** min(failures, MAX_DOUBLINGS)
        wait_ms = min(self.settings.max_backoff_ms, doubled_ms)
        self.by_name[name] = Backoff(now_ms + wait_ms, failures + 1)

    def clear(self, name: str) -> None:
        """Ends the backoff after a success."""
        self.by_name.pop(name, None)

    def is_backing_off(self, now_ms: float, name: str) -> bool:
        """Returns whether no attempt is to be made now."""
        return now_ms < self.by_name.get(name, Backoff()).not_before_ms

    def backed_off_names(self, now_ms: float) -> set[str]:
        """Returns the names for which no attempt is to be made now."""
        return {name for name, backoff in self.by_name.items() if now_ms < backoff.not_before_ms}

    def forget_old(self, now_ms: float) -> None:
        """Forgets backoffs that ended at least twice the maximum backoff ago."""
        kept_ms = 2 * self.settings.max_backoff_ms
        self.by_name = {
            name: backoff
            for name, backoff in self.by_name.items()
            if now_ms < backoff.not_before_ms + kept_ms
        }


class ByteBudget:
    """A token bucket of session bytes that one session may overdraw."""

    def __init__(self, bytes_per_s: int):
        """Starts empty, but not exhausted: one session may be handed over."""
        self.bytes_per_s = bytes_per_s
        self.available_bytes = 0.0
        self.updated_ms: float | None = None

    def refill(self, now_ms: float) -> None:
        """Adds the bytes for the time since the last refill."""
        if self.updated_ms is not None:
            added_bytes = (now_ms - self.updated_ms) / 1000 * self.bytes_per_s
            self.available_bytes = min(self.bytes_per_s * BURST_S, self.available_bytes + added_bytes)
        self.updated_ms = now_ms

    def spend(self, size_bytes: int) -> None:
        """Deducts a session that is handed over."""
        self.available_bytes -= size_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether the budget is overdrawn, so that no further session may be handed over now."""
        return self.available_bytes < 0
