"""The values that a subscriber has in force. Its host applies a change as a whole or not at all."""

from collections import Counter
from collections.abc import Callable, Iterable

from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.settings import Settings

INF = float("inf")
MAX_DELAY_DOUBLINGS = 3  # Of `report_ms`, the delay before a refused change is applied again.

Apply = Callable[[float, dict[str, bytes | None], bool], str | None]
Report = Callable[[float, str], None]


def ignore_report(now_ms: float, line: str) -> None:
    """Discards the line; the default where the host passes no `report`."""


class AppliedState:
    """Holds the values in force and the keys whose newest values are not yet in force.

    The host's `apply(now_ms, changed, is_whole)` applies all of `changed` and returns None, or applies
    nothing and returns one line with the reason. `changed` is {key: value, or None for a deleted key}; with
    `is_whole` it is the complete state, so every other key is deleted.
    """

    def __init__(self, apply: Apply, report: Report, settings: Settings, counts: Counter):
        """Starts without values at version 0; calls `report(now_ms, line)` once per series of refusals."""
        self.values: dict[str, bytes] = {}
        self.version = 0
        self.due_ms = INF  # When `apply_pending` is due again.
        self.settings = settings
        self._apply = apply
        self._report = report
        self._counts = counts
        self._pending_keys: set[str] = set()
        self._is_whole_pending = False
        self._consecutive_refusals = 0

    @property
    def has_pending(self) -> bool:
        """Returns whether some of the held state is not in force."""
        return bool(self._pending_keys) or self._is_whole_pending

    def add_pending(self, keys: Iterable[str]) -> None:
        """Marks keys whose new values are to be applied."""
        self._pending_keys.update(keys)

    def set_whole_pending(self) -> None:
        """Marks the whole state as to be applied, after it was replaced."""
        self._is_whole_pending = True

    def apply_pending(self, now_ms: float, store: KeyStore) -> None:
        """Applies all pending values of the held state, and schedules another attempt if the host refuses."""
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
        self._consecutive_refusals = 0

    def _on_refusal(self, now_ms: float, version: int, error: str) -> None:
        """Keeps the last applied version and schedules a retry with backoff, as the cause may pass."""
        self._counts["refused"] += 1
        if not self._consecutive_refusals:
            self._report(now_ms, f"version {version} is not in force, {self.version} is: {error}")
        self.due_ms = now_ms + self.settings.report_ms * 2 ** min(
            self._consecutive_refusals, MAX_DELAY_DOUBLINGS
        )
        self._consecutive_refusals += 1

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
