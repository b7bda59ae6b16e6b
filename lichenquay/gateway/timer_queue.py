"""The controller's timers: calls by the time at which they are due. Performs no I/O."""

import heapq
from collections.abc import Callable
from typing import NamedTuple

from lichenquay.admission.scheduled_call import ScheduledCall

MIN_CANCELLED = 64  # cancelled calls are removed once there are more of them than this and than others


class _Timer(NamedTuple):
    """A call that is due at a time; `number` keeps calls with the same time in order."""

    due_ms: float
    number: int
    scheduled: ScheduledCall


class TimerQueue:
    """Scheduled calls, earliest first. What a cancelled call referred to is free at once, its entry soon."""

    def __init__(self):
        """Starts empty."""
        self._heap: list[_Timer] = []
        self._last_number = 0
        self._cancelled_count = 0

    def __len__(self) -> int:
        """Returns the number of calls that are not cancelled."""
        return len(self._heap) - self._cancelled_count

    def schedule(self, at_ms: float, call: Callable[[], None]) -> ScheduledCall:
        """Schedules a call."""
        self._last_number += 1
        scheduled = ScheduledCall(call, self._on_cancelled)
        heapq.heappush(self._heap, _Timer(at_ms, self._last_number, scheduled))
        return scheduled

    def next_due_ms(self) -> float | None:
        """Returns when the earliest call is due; None if there is none."""
        self._drop_cancelled_heads()
        return self._heap[0].due_ms if self._heap else None

    def pop_due(self, now_ms: float) -> list[ScheduledCall]:
        """Removes and returns the calls that are due, in order; one of them may cancel a later one."""
        due = []
        while (due_ms := self.next_due_ms()) is not None and due_ms <= now_ms:
            scheduled = heapq.heappop(self._heap).scheduled
            scheduled.detach()
            due.append(scheduled)
        return due

    def _drop_cancelled_heads(self):
        while self._heap and self._heap[0].scheduled.is_over:
            heapq.heappop(self._heap)
            self._cancelled_count -= 1

    def _on_cancelled(self):
        self._cancelled_count += 1
        if self._cancelled_count > max(MIN_CANCELLED, len(self._heap) // 2):
            self._heap = [timer for timer in self._heap if not timer.scheduled.is_over]
            heapq.heapify(self._heap)
            self._cancelled_count = 0
