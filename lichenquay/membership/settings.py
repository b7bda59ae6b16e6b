"""Timing of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Settings:
    """All times are milliseconds of the host's monotonic clock."""

    # One member is probed each period; an ack is expected within a quarter of it.
    probe_period_ms: float = 200
    # Silence after which a suspect is faulty. Pauses of up to three quarters of it are tolerated.
    suspicion_timeout_ms: float = 2_700
    # Members asked for an indirect probe, in each of two rounds.
    indirect_probes: int = 3
    # A member that was faulty for so long is removed.
    removal_timeout_ms: float = 300_000
    # Anti-entropy: tables are compared with one member so often, and each period while they differ.
    sync_interval_ms: float = 10_000
    # Faulty members and unknown seeds are probed so often.
    faulty_probe_interval_ms: float = 2_000
    # A tick that is later than this means that this process was paused.
    max_tick_delay_ms: float = 300
    # Delay of the second rejoin; doubles with each further one.
    rejoin_delay_ms: float = 2_000
