"""The counters of a gateway."""

from collections import Counter


class Metrics:
    """Counters by their text, from the start of the process."""

    def __init__(self):
        """Begins with every counter at 0."""
        self.counters = Counter()

    def count(self, name: str) -> None:
        """Adds one."""
        self.counters[name] += 1

    def lines(self) -> list[str]:
        """All counters, as lines for the log."""
        return [f"{name}: {count}" for name, count in sorted(self.counters.items())]
