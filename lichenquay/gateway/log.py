"""The gateway's log: plain lines on standard error."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TextIO

MAX_LINES_PER_S = 5  # of one kind


@dataclass
class _KindState:
    """The current second of one kind of line."""

    since_s: float
    written: int = 0
    suppressed: int = 0


class Log:
    """Lines on standard error, a few of each kind a second; those suppressed are counted."""

    def __init__(self, seconds: Callable[[], float], out: TextIO = sys.stderr):
        """`seconds`: a monotonic clock."""
        self._seconds = seconds
        self._out = out
        self._kinds: dict[str, _KindState] = {}

    def __call__(self, kind: str, text: str) -> None:
        """Writes a line of this kind, unless there were too many within the second."""
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
        """Writes a line, whatever came before."""
        try:
            print(text, file=self._out, flush=True)
        except OSError:  # nobody reads the log any more: the gateway continues
            return
