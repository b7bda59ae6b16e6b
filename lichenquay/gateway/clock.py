"""The gateway's clock: Unix time at the start, monotonic from then on."""

import time

# Where the wall clock steps, timers must neither stop nor fire all at once.
UNIX_TIME_AT_ZERO_S = time.time() - time.monotonic()


def now_ms() -> float:
    """Milliseconds since the Unix epoch, as if the wall clock had not stepped since the start."""
    return (UNIX_TIME_AT_ZERO_S + time.monotonic()) * 1000


def wall_clock_step_ms() -> float:
    """How far `now_ms` is ahead of the wall clock, which has stepped since the start."""
    return now_ms() - time.time() * 1000
