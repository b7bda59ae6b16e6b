"""Timing and size limits of one lease group."""

from dataclasses import dataclass

# Every clock is within 5 of 100 of true time. Two that err in opposite ways differ by 1.05 / 0.95 - 1 =
# 0.1053.
CLOCK_DRIFT_BOUND = 0.11
MAX_GENERATION_STEP = 1 << 20  # generations that one acquire request may skip


@dataclass(frozen=True)
class LeaseSettings:
    """Times are milliseconds, sizes bytes unless the name says otherwise."""

    lease_ms: float = 3000.0
    heartbeat_ms: float = 500.0
    retry_ms: float = 150.0  # until an unanswered message is sent again
    backoff_ms: float = 300.0  # random delay of acquire requests, doubled with each failure
    max_records: int = 64  # beyond, the older ones are folded into the base
    max_state_bytes: int = 1 << 16  # base and records
    max_pending_records: int = 256  # appended and not yet committed
    max_append_bytes: int = 800  # records of one append request; also the longest record
    chunk_bytes: int = 900
    chunk_window: int = 8  # chunks sent for one snapshot request

    @property
    def expiry_wait_ms(self) -> float:
        """After this by any clock, a lease or acquisition of another process that began before has ended."""
        return self.lease_ms * (1 + CLOCK_DRIFT_BOUND)
