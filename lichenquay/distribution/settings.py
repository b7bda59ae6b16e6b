"""The figures of distribution. Times are milliseconds, sizes bytes."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Settings:
    """Alike on all processes of an installation; ranges are checked where they are read."""

    report_ms: float = 1000.0  # A subscriber says what it holds so often, and so its source is heard.
    # A delta, a page or a question that nobody answered goes again; doubles up to `report_ms`.
    retry_ms: float = 300.0
    silent_ms: float = 2500.0  # A source not heard for so long is left for another one.
    # A session not heard for so long is forgotten; its subscriber counts as stale.
    expire_ms: float = 10_000.0
    forget_ms: float = 60_000.0  # A stale subscriber not heard for so long is no longer counted here.
    # A subscriber that was not confirmed for so long says that its version may be old.
    stale_ms: float = 5000.0
    merge_ms: float = 50.0  # Changes made within this time go out as one delta.
    delta_bytes: int = 900  # Of entries in one delta or page; at least the longest change.
    most_changes: int = 4096  # Kept for deltas; who is further behind takes a snapshot.
    most_history_bytes: int = 4 << 20  # Of the changes kept for deltas.
    most_change_bytes: int = 740  # Of one change, as a record (a group's `max_append_bytes` is 800).
    most_keys: int = 65_536
    most_state_bytes: int = 8 << 20
    most_sessions: int = 4096  # At one source; one more is told to wait.
    most_views: int = 64  # Different sets of prefixes at one source; one more is refused.
    most_prefixes: int = 16  # Of one subscription.
    snapshot_bytes_per_s: float = 2e6  # Of all snapshots that a source sends.
    most_snapshots: int = 32  # Sessions that fetch pages at once; others wait, by chance.
    window_pages: int = 8  # For one fetch.
