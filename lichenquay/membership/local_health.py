"""Lifeguard's local health: whether this process is in a state to judge others.

The score lengthens the probe period (the local health multiplier); a process that received no ack lately, or
was paused, accuses nobody.
"""

MAX_SCORE = 4  # A period is at most five times as long.


class LocalHealth:
    """The local health score, and when this process last was paused and last received an ack."""

    def __init__(self, now_ms: float):
        """Start healthy."""
        self.score = 0
        self.observing_since_ms = now_ms  # No pause since then.
        self.last_ack_ms = now_ms

    @property
    def multiplier(self) -> int:
        """How many times as long a probe period is."""
        return 1 + self.score

    def worsen(self) -> None:
        """Raise the score by one step."""
        self.score = min(self.score + 1, MAX_SCORE)

    def improve(self) -> None:
        """Lower the score by one step."""
        self.score = max(0, self.score - 1)

    def record_pause(self, now_ms: float) -> None:
        """Record that this process did not run until now."""
        self.observing_since_ms = now_ms
        self.worsen()

    def record_ack(self, now_ms: float) -> None:
        """Record that some member answered."""
        self.last_ack_ms = now_ms

    def silence_ms(self, now_ms: float) -> float:
        """Return for how long this process, while it ran, has received no ack."""
        return now_ms - max(self.last_ack_ms, self.observing_since_ms)

    @property
    def has_ack_since_pause(self) -> bool:
        """Whether an ack came after the last pause."""
        return self.last_ack_ms > self.observing_since_ms
