"""Lifeguard's local health: whether this process's own observations are reliable.

The score lengthens the probe period (the local health multiplier). A process that received no ack recently,
or was paused, accuses no other member.
"""

MAX_SCORE = 4  # A probe period becomes at most five times as long.


class LocalHealth:
    """The local health score, and the times of the last pause and the last received ack."""

    def __init__(self, now_ms: float):
        """Starts healthy."""
        self.score = 0
        self.observing_since_ms = now_ms  # This process was not paused after this time.
        self.last_ack_ms = now_ms

    @property
    def multiplier(self) -> int:
        """The factor by which the probe period is lengthened."""
        return 1 + self.score

    def worsen(self) -> None:
        """Raises the score by one step."""
        self.score = min(self.score + 1, MAX_SCORE)

    def improve(self) -> None:
        """Lowers the score by one step."""
        self.score = max(0, self.score - 1)

    def record_pause(self, now_ms: float) -> None:
        """Records that this process did not run until now."""
        self.observing_since_ms = now_ms
        self.worsen()

    def record_ack(self, now_ms: float) -> None:
        """Records that some member answered."""
        self.last_ack_ms = now_ms

    def silence_ms(self, now_ms: float) -> float:
        """Returns for how long this process, while running, has received no ack."""
        return now_ms - max(self.last_ack_ms, self.observing_since_ms)

    @property
    def has_ack_since_pause(self) -> bool:
        """Whether an ack arrived after the last pause."""
        return self.last_ack_ms > self.observing_since_ms
