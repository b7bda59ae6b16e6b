"""Settings of distribution; operators set some by these names. Times are milliseconds, sizes bytes."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Settings:
    """Alike on all processes of an installation; ranges are checked where settings are read."""

    # Between two Follows of a subscriber, which are its heartbeats.
    report_ms: float = 1000.0
    # Until an unanswered delta, page request or Follow is repeated; doubles up to `report_ms`.
    retry_ms: float = 300.0
    # Silence after which a subscriber leaves its source.
    silent_ms: float = 2500.0
    # Silence after which a source ends a session; the subscriber counts as stale.
    expire_ms: float = 10_000.0
    # How long a stale subscriber is counted.
    forget_ms: float = 60_000.0
    # Age from which a subscriber reports that its version may be old.
    stale_ms: float = 5000.0
    # Changes within this time after a push are sent as one delta.
    merge_ms: float = 50.0
    # Of the entries in one delta or page; at least the longest change.
    delta_bytes: int = 900
    # Kept for deltas; a subscriber that is further behind fetches a snapshot.
    most_changes: int = 4096
    most_history_bytes: int = 4 << 20
    # Of one change as a record (the lease group's `max_append_bytes` is 800).
    most_change_bytes: int = 740
    most_keys: int = 65_536
    most_state_bytes: int = 8 << 20
    # At one source; one more subscriber is asked to wait.
    most_sessions: int = 4096
    # Different sets of prefixes at one source.
    most_views: int = 64
    # Of one subscription.
    most_prefixes: int = 16
    # Of all snapshots that a source sends.
    snapshot_bytes_per_s: float = 2e6
    # Subscribers that fetch at once; others wait for a random time.
    most_snapshots: int = 32
    # Pages in one request.
    window_pages: int = 8
