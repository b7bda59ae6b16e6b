"""What a subscriber has in force: applied by its host as a whole, or not at all."""

from collections import Counter
from collections.abc import Callable, Iterable

from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.settings import Settings

INF = float("inf")
MAX_DOUBLINGS = 3  # Of `report_ms` between two attempts to apply what was refused.

Apply = Callable[[float, dict[str, bytes | None], bool], str | None]
Report = Callable[[float, str], None]


def ignore_report(now_ms: float, line: str) -> None:
    """Report nothing."""


class AppliedState:
    """The values in force, and the keys whose present values are not.

    `apply(now_ms, changed, is_whole)` of the host applies all of `changed`, or returns one line that says why
    it cannot. `changed` is {key: value, or None if the key is deleted}; `is_whole`: there are no other keys.
    """

    def __init__(self, apply: Apply, report: Report, settings: Settings, counts: Counter):
        """Start without values at version 0; `report(now_ms, line)` is called once a series of refusals."""
        self.values: dict[str, bytes] = {}
        self.version = 0
        self.due_ms = INF  # When to try again.
        self.settings = settings
        self._apply = apply
        self._report = report
        self._counts = counts
        self._pending_keys: set[str] = set()
        self._is_whole_pending = False
        self._refusals = 0  # Consecutive ones.

    @property
    def has_pending(self) -> bool:
        """Whether something that is held is not in force."""
        return bool(self._pending_keys) or self._is_whole_pending

    def add_pending(self, keys: Iterable[str]) -> None:
        """Record that keys have new values."""
        self._pending_keys.update(keys)

    def set_whole_pending(self) -> None:
        """Record that the whole state was replaced."""
        self._is_whole_pending = True

    def apply_pending(self, now_ms: float, store: KeyStore) -> None:
        """Apply all that is pending, from the state that is held."""
        if self.has_pending:
            is_whole = self._is_whole_pending
            keys = store.entries if is_whole else self._pending_keys
            changed = {key: store.entries[key].value if key in store.entries else None for key in keys}
            error = self._apply(now_ms, changed, is_whole)
            if error is not None:
                self._on_refusal(now_ms, store.version, error)
                return
            self._set_values(changed, is_whole)
        self.version = store.version
        self.due_ms = INF
        self._refusals = 0

    def _on_refusal(self, now_ms: float, version: int, error: str) -> None:
        """Keep the last good version; try again with growing delays, as the cause may pass."""
        self._counts["refused"] += 1
        if not self._refusals:
            self._report(now_ms, f"version {version} is not in force, {self.version} is: {error}")
        self.due_ms = now_ms + self.settings.report_ms * 2 ** min(self._refusals, MAX_DOUBLINGS)
        self._refusals += 1

    def _set_values(self, changed: dict[str, bytes | None], is_whole: bool) -> None:
        if is_whole:
            self.values = dict(changed)
        else:
            for key, value in changed.items():
                if value is None:
                    self.values.pop(key, None)
                else:
                    self.values[key] = value
        self._pending_keys = set()
        self._is_whole_pending = False
