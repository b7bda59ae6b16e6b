"""The gateway's clock: Unix time at the start of the process, monotonic from then on."""

import time

# A step of the wall clock must neither stall timers nor make all of them fire at once.
UNIX_TIME_AT_ZERO_S = time.time() - time.monotonic()


def now_ms() -> float:
    """Returns milliseconds since the Unix epoch, as if the wall clock had not stepped since the start."""
    return (UNIX_TIME_AT_ZERO_S + time.monotonic()) * 1000


def wall_clock_step_ms() -> float:
    """Returns how far `now_ms` is ahead of the wall clock, in ms, because of steps since the start."""
    return now_ms() - time.time() * 1000
