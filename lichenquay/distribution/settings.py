"""Settings of distribution; operators set some by these names. Times in milliseconds, sizes in bytes."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Settings:
    """Settings, equal on all processes of an installation. Their ranges are checked when they are read."""

    # Longest interval between two Follows of a subscriber, which are its heartbeats.
    report_ms: float = 1000.0
    # Delay before an unanswered delta, page request or Follow is repeated; doubles up to `report_ms`.
    retry_ms: float = 300.0
    # Silence of a source after which its subscriber fails over to the next one.
    silent_ms: float = 2500.0
    # Silence of a subscriber after which its session expires; it then counts as stale.
    expire_ms: float = 10_000.0
    # How long a subscriber whose session expired counts as stale.
    forget_ms: float = 60_000.0
    # Age above which a subscriber's version counts as possibly outdated.
    stale_ms: float = 5000.0
    # Changes within this time after a push are merged into one delta.
    merge_ms: float = 50.0
    # Of the entries in one delta or page. A single change may not be longer (`most_change_bytes`).
    delta_bytes: int = 900
    # History kept for deltas; a subscriber that is further behind fetches a snapshot.
    most_changes: int = 4096
    most_history_bytes: int = 4 << 20
    # Of one change, whose record has to fit into the lease group's `max_append_bytes` (800).
    most_change_bytes: int = 740
    most_keys: int = 65_536
    most_state_bytes: int = 8 << 20
    # At one source; further subscribers are asked to wait.
    most_sessions: int = 4096
    # Distinct sets of prefixes at one source.
    most_views: int = 64
    # Prefixes of one subscription.
    most_prefixes: int = 16
    # Rate limit of all snapshots that a source sends.
    snapshot_bytes_per_s: float = 2e6
    # Subscribers of a source that fetch at once; others are asked to wait for a random time.
    most_snapshots: int = 32
    # Most pages in one request.
    window_pages: int = 8
