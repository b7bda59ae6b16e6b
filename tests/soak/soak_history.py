"""What happened in one soak run, as engines and clients saw it; times are seconds of one monotonic clock."""

import time
from dataclasses import dataclass, field


@dataclass(eq=False)
class Attempt:
    """One attempt at an engine, from when its POST was complete (`arrived_s`).

    began_s: when the first byte of its POST was there (PROTOCOL: for drains, a send counts from its first).
    budget_ms: the time that the gateway gives it. executed: it had an effect, or may have. ended_s: when its
    end was written, or it was cancelled, forgotten or lost with its engine; None while it runs.
    """

    ref: str
    group: str
    engine: str
    arrived_s: float
    began_s: float
    budget_ms: float = 0.0
    executed: bool = True
    ended_s: float | None = None
    end: str = ""

    def finish(self, end: str) -> None:
        """Records the end, unless there was one before."""
        if self.ended_s is None:
            self.ended_s = time.monotonic()
            self.end = end


@dataclass(eq=False)
class Request:
    """One request of a client.

    sent_s: of its last byte. left_s: of the cancellation or of the client's close. closed_s: when the gateway
    ended the connection. answers: (code, body, time). is_rejected_connection: the connection was rejected, as
    all places are taken.
    """

    ref: str
    group: str
    allow_ms: float
    sent_s: float | None = None
    left_s: float | None = None
    closed_s: float | None = None
    answers: list = field(default_factory=list)
    is_rejected_connection: bool = False


@dataclass
class History:
    """All attempts and requests of a run, the log of its faults, and how the gateway ended.

    results: the bodies that engines produced, by request id. max_lag_s: the longest turn of the harness.
    drained_s: when the drain of an engine counts as told. pauses: (from, to) while the process was stopped.
    lost_polls: polls of the discovery service that were never answered.
    ending_s: from SIGTERM to the exit.
    """

    attempts: list[Attempt] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    results: dict[str, set[bytes]] = field(default_factory=dict)
    drained_s: dict[str, float] = field(default_factory=dict)
    pauses: list[tuple[float, float]] = field(default_factory=list)
    lost_polls: int = 0
    events: list[tuple[float, str]] = field(default_factory=list)
    max_lag_s: float = 0.0
    started_s: float = field(default_factory=time.monotonic)
    exit_code: int | None = None
    ending_s: float = 0.0
    was_killed: bool = False
    error_output: str = ""
    descriptors_before: int | None = None
    descriptors_after: int | None = None
    memory_growth_mb: float = 0.0

    def note(self, text: str) -> None:
        """Adds a line to the log."""
        self.events.append((time.monotonic(), text))

    def lines_around(self, at_s: float, width_s: float = 1.0) -> list[str]:
        """Returns the log lines near a time, with times since the start of the run."""
        return [
            f"    {when_s - self.started_s:7.3f} {text}"
            for when_s, text in self.events
            if abs(when_s - at_s) <= width_s
        ]
