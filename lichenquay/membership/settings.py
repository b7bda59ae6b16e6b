"""Timing of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Settings:
    """Timing and fan-out. All times are milliseconds of the host's monotonic clock."""

    # One member is probed each period; an ack is expected within a quarter of it.
    probe_period_ms: float = 200
    # Time without a response after which a suspect is faulty. Pauses of up to three quarters of it are
    # tolerated.
    suspicion_timeout_ms: float = 2_700
    # Members asked for an indirect probe, in each of two rounds.
    indirect_probes: int = 3
    # Time after which a faulty member is removed.
    removal_timeout_ms: float = 300_000
    # Interval between table comparisons (anti-entropy); one probe period while tables differ.
    sync_interval_ms: float = 10_000
    # Interval between probes of faulty members and unknown seeds.
    faulty_probe_interval_ms: float = 2_000
    # A tick that is later than this shows that this process was paused.
    max_tick_delay_ms: float = 300
    # Delay of the second rejoin; doubles with each further one.
    rejoin_delay_ms: float = 2_000
