"""What a probe returns, and how probes measure processor time and memory."""

import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

Progress = Callable[[float], None]
"""Called with the share of the probe that is done, 0 to 1."""


@dataclass(frozen=True)
class Sample:
    """Holds repeated measurements of one quantity at one size; none where nothing finished within the time
    limit.
    """

    size: int
    quantity: str
    unit: str
    values: tuple[float, ...]


Measure = Callable[[Sequence[int], int, Progress], list[Sample]]
"""measure(sizes, seed, progress): one probe. The same seed gives the same events; processor times vary."""


@dataclass
class Stopwatch:
    """Sums the processor time of this thread within `running`; nested use counts once."""

    spent_ms: float = 0.0
    calls: int = 0
    _depth: int = field(default=0, repr=False)

    @contextmanager
    def running(self) -> Iterator[None]:
        """Measures the code of the `with` block."""
        self._depth += 1
        started_ns = time.thread_time_ns()
        try:
            yield
        finally:
            self._depth -= 1
            if not self._depth:
                self.spent_ms += (time.thread_time_ns() - started_ns) / 1e6
                self.calls += 1

    def reset(self) -> None:
        """Clears the sums, so that a warm-up is not counted."""
        self.spent_ms, self.calls = 0.0, 0


class TimedPart:
    """Wraps a decision module without I/O (docs/design/fleet.md) and times its calls, for a host of
    VirtualNetwork.
    """

    def __init__(self, part: Any, stopwatch: Stopwatch):
        """`part` has on_message, tick, due_ms and outbox."""
        self.part, self.stopwatch = part, stopwatch

    def on_message(self, now_ms: float, sender: tuple[str, int], message: Any) -> None:
        """Times the module's `on_message`."""
        with self.stopwatch.running():
            self.part.on_message(now_ms, sender, message)

    def tick(self, now_ms: float) -> None:
        """Times the module's `tick`."""
        with self.stopwatch.running():
            self.part.tick(now_ms)

    def __getattr__(self, name: str) -> Any:
        """Returns any other attribute of the module, untimed."""
        return getattr(self.part, name)


def measure_state_bytes(make: Callable[[], Any]) -> tuple[Any, int]:
    """Returns the result of `make`, and the bytes allocated in it that are still held (tracemalloc)."""
    started = not tracemalloc.is_tracing()
    if started:
        tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        result = make()
        after, _ = tracemalloc.get_traced_memory()
        return result, after - before
    finally:
        if started:
            tracemalloc.stop()


def measure_processor_ms(call: Callable[[], Any]) -> float:
    """Returns the processor time of one call in milliseconds."""
    started_ns = time.thread_time_ns()
    call()
    return (time.thread_time_ns() - started_ns) / 1e6
