"""What a group is told. Times are milliseconds."""

from dataclasses import dataclass

# Each clock within 5 of 100 of true time: a wait for another process's lease is longer by 1.05 / 0.95 - 1 = 0.1053.
DRIFT = 0.11
MOST_JUMP = 1 << 20  # generations that a claim may skip


@dataclass(frozen=True)
class Settings:
    lease_ms: float = 3000.0
    renew_ms: float = 500.0
    retry_ms: float = 150.0  # until something unanswered is sent again
    spread_ms: float = 300.0  # over which claims are spread by chance, doubled with each that failed
    most_records: int = 64  # not folded
    most_state: int = 1 << 16  # bytes of base and records
    most_pending: int = 256  # records that are not known to be kept
    round_bytes: int = 800  # of records in one round; the longest record
    piece_bytes: int = 900
    window: int = 8  # pieces for one asking

    @property
    def wait_ms(self):
        """After this time by any clock, a lease (or a claim) of somebody else, begun before it, is over."""
        return self.lease_ms * (1 + DRIFT)
