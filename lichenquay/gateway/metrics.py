"""The counters of a gateway."""

from collections import Counter

from lichenquay.gateway.frames import AnswerCode

ANSWER_COUNTERS = {
    AnswerCode.COMPLETED: "answers completed",
    AnswerCode.REJECTED: "answers rejected",
    AnswerCode.FAILED: "answers failed",
}


class Metrics:
    """Counters by name, since the start of the process."""

    def __init__(self):
        """Starts with all counters at 0."""
        self.counters = Counter()

    def count(self, name: str) -> None:
        """Increments a counter."""
        self.counters[name] += 1

    def lines(self) -> list[str]:
        """Returns all counters as log lines, sorted by name."""
        return [f"{name}: {count}" for name, count in sorted(self.counters.items())]
