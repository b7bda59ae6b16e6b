"""The gateway's log: rate-limited plain lines on standard error."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TextIO

MAX_LINES_PER_S = 5  # of one kind


@dataclass
class _KindState:
    """The lines of one kind in the current second."""

    since_s: float
    written: int = 0
    suppressed: int = 0


class Log:
    """Writes lines to standard error, a few of each kind per second; counts those suppressed."""

    def __init__(self, seconds: Callable[[], float], out: TextIO = sys.stderr):
        """Takes `seconds`, a monotonic clock."""
        self._seconds = seconds
        self._out = out
        self._kinds: dict[str, _KindState] = {}

    def __call__(self, kind: str, text: str) -> None:
        """Writes a line of this kind, unless `MAX_LINES_PER_S` were written within the second."""
        now_s = self._seconds()
        state = self._kinds.get(kind) or _KindState(now_s)
        if now_s - state.since_s >= 1:
            if state.suppressed:
                self.line(f"{kind}: {state.suppressed} more lines suppressed")
            state = _KindState(now_s)
        if state.written < MAX_LINES_PER_S:
            self.line(text)
        else:
            state.suppressed += 1
        state.written += 1
        self._kinds[kind] = state

    def line(self, text: str) -> None:
        """Writes a line without a rate limit."""
        try:
            print(text, file=self._out, flush=True)
        except OSError:  # the reader of the log is gone; the gateway continues without a log
            return
