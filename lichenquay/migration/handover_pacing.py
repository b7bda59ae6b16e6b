"""How fast sessions are handed over: backoff after failures, and a budget of bytes."""

from typing import NamedTuple

from lichenquay.migration.settings import MigrationSettings

MAX_DOUBLINGS = 8
BURST_S = 0.25  # of the byte budget that may be saved up


class Backoff(NamedTuple):
    """A session or replica group that is not to be tried before that time."""

    not_before_ms: float = 0
    failures: int = 0


class Backoffs:
    """Of sessions and replica groups, by session id or name."""

    def __init__(self, settings: MigrationSettings):
        """Without failures."""
        self.settings = settings
        self.by_name: dict[str, Backoff] = {}

    def add_failure(self, now_ms: float, name: str) -> None:
        """The wait doubles with each failure."""
        failures = self.by_name.get(name, Backoff()).failures
        doubled_ms = self.settings.backoff_ms * 2 ** min(failures, MAX_DOUBLINGS)
        wait_ms = min(self.settings.max_backoff_ms, doubled_ms)
        self.by_name[name] = Backoff(now_ms + wait_ms, failures + 1)

    def clear(self, name: str) -> None:
        """After a success."""
        self.by_name.pop(name, None)

    def is_waiting(self, now_ms: float, name: str) -> bool:
        """Whether it is not to be tried now."""
        return now_ms < self.by_name.get(name, Backoff()).not_before_ms

    def waiting(self, now_ms: float) -> set[str]:
        """All that are not to be tried now."""
        return {name for name, backoff in self.by_name.items() if now_ms < backoff.not_before_ms}

    def forget_old(self, now_ms: float) -> None:
        """Forgets failures that are long over."""
        kept_ms = 2 * self.settings.max_backoff_ms
        self.by_name = {
            name: backoff
            for name, backoff in self.by_name.items()
            if now_ms < backoff.not_before_ms + kept_ms
        }


class ByteBudget:
    """A token bucket of session bytes; the last session may overdraw it."""

    def __init__(self, bytes_per_s: int):
        """Empty, and not exhausted."""
        self.bytes_per_s = bytes_per_s
        self.available_bytes = 0.0
        self.updated_ms: float | None = None

    def refill(self, now_ms: float) -> None:
        """For the time since the last refill."""
        if self.updated_ms is not None:
            added_bytes = (now_ms - self.updated_ms) / 1000 * self.bytes_per_s
            self.available_bytes = min(self.bytes_per_s * BURST_S, self.available_bytes + added_bytes)
        self.updated_ms = now_ms

    def spend(self, size_bytes: int) -> None:
        """A session of this size is handed over."""
        self.available_bytes -= size_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether no further session may be handed over now."""
        return self.available_bytes < 0
