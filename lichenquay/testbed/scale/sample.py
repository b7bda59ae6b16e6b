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
    """Repeated measurements of one quantity at one size; none where nothing came within the bound."""

    size: int
    what: str
    unit: str
    values: tuple[float, ...]


Measure = Callable[[Sequence[int], int, Progress], list[Sample]]
"""measure(sizes, seed, progress): one probe. The same seed gives the same events; processor times vary."""


@dataclass
class Stopwatch:
    """Processor time of this thread, summed over what runs within `running`; nested use counts once."""

    spent_ms: float = 0.0
    calls: int = 0
    _depth: int = field(default=0, repr=False)

    @contextmanager
    def running(self) -> Iterator[None]:
        """Counts what runs within."""
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
        """Starts afresh: a warm-up is not counted."""
        self.spent_ms, self.calls = 0.0, 0


class TimedPart:
    """A decision module without I/O (docs/design/fleet.md) whose calls are timed, for a host of FleetNet."""

    def __init__(self, part: Any, stopwatch: Stopwatch):
        """`part` has heard, tick, due_ms and outbox."""
        self.part, self.stopwatch = part, stopwatch

    def on_message(self, now_ms: float, sender: tuple[str, int], message: Any) -> None:
        """As the part's."""
        with self.stopwatch.running():
            self.part.on_message(now_ms, sender, message)

    def tick(self, now_ms: float) -> None:
        """As the part's."""
        with self.stopwatch.running():
            self.part.tick(now_ms)

    def __getattr__(self, name: str) -> Any:
        """Everything else is the part's own, and not timed."""
        return getattr(self.part, name)


def state_bytes(make: Callable[[], Any]) -> tuple[Any, int]:
    """What `make` returns, and the bytes that were allocated in it and are still held (tracemalloc)."""
    started = not tracemalloc.is_tracing()
    if started:
        tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        made = make()
        after, _ = tracemalloc.get_traced_memory()
        return made, after - before
    finally:
        if started:
            tracemalloc.stop()


def processor_ms(call: Callable[[], Any]) -> float:
    """Processor time of one call, in milliseconds."""
    started_ns = time.thread_time_ns()
    call()
    return (time.thread_time_ns() - started_ns) / 1e6
