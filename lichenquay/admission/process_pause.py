"""The controller's tick, and pauses of this process itself.

After a pause of this process, overdue responses say nothing about the engines: they may lie unread in its own
buffers. Without this rule, a gateway that was suspended would mark every engine unresponsive.
"""

from collections.abc import Callable

from lichenquay.admission.engine_fleet import EngineFleet
from lichenquay.admission.ports import GatewayPort


class Ticker:
    """Schedules the tick while something is in flight or waiting, and notices when it comes too late."""

    def __init__(
        self, port: GatewayPort, fleet: EngineFleet, interval_ms: float, on_tick: Callable[[], None]
    ):
        """No tick is scheduled yet."""
        self.port = port
        self.fleet = fleet
        self.interval_ms = interval_ms
        self.on_tick = on_tick
        self.next_tick_ms: float | None = None  # None: none is scheduled

    def schedule(self, now_ms: float) -> None:
        """Schedules the next tick, unless one is scheduled."""
        if self.next_tick_ms is None:
            self.next_tick_ms = now_ms + self.interval_ms
            self.port.call_at(self.next_tick_ms, self.on_tick)

    def tick_is_over(self) -> None:
        """The tick has run; the next one may be scheduled."""
        self.next_tick_ms = None

    def excuse_pause(self) -> float:
        """The present time; a tick overdue by an interval is a pause, which is excused for all engines."""
        now_ms = self.port.now_ms
        if self.next_tick_ms is None:
            return now_ms
        pause_ms = now_ms - self.next_tick_ms - self.interval_ms
        if pause_ms > 0:
            self.next_tick_ms = now_ms
            for state in self.fleet.states.values():
                state.excuse_pause(pause_ms)
        return now_ms
