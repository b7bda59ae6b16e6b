"""Timing and size limits of one lease group."""

from dataclasses import dataclass

# Assumes that every clock runs within 5% of true time: two clocks that deviate in opposite directions differ
# by 1.05 / 0.95 - 1 = 0.1053.
CLOCK_DRIFT_BOUND = 0.11
MAX_GENERATION_STEP = 1 << 20  # largest increase of the generation by one acquire request


@dataclass(frozen=True)
class LeaseSettings:
    """Timing and size limits. Times are milliseconds, sizes bytes unless the name says otherwise."""

    lease_ms: float = 3000.0
    heartbeat_ms: float = 500.0
    retry_ms: float = 150.0  # delay before an unanswered message is retried
    backoff_ms: float = 300.0  # maximum random delay of an acquisition; doubles with each failure
    max_records: int = 64  # beyond this the older ones are folded into the base
    max_state_bytes: int = 1 << 16  # base and records together
    max_pending_records: int = 256  # appended but not yet committed
    max_append_bytes: int = 800  # of all records in one append request, and so of one record
    chunk_bytes: int = 900
    chunk_window: int = 8  # chunks sent per snapshot request

    @property
    def expiry_wait_ms(self) -> float:
        """The wait, by any clock, after which leases and acquisitions that began before it have ended."""
        return self.lease_ms * (1 + CLOCK_DRIFT_BOUND)
