"""The controller's periodic tick, and compensation for pauses of this process.

After a pause of this process, overdue responses say nothing about the engines: they may be unread in the
process's own buffers. Without compensation, a gateway that was suspended would mark every engine
unresponsive.
"""

from collections.abc import Callable

from lichenquay.admission.engine_registry import EngineRegistry
from lichenquay.admission.ports import GatewayPort


class Ticker:
    """Schedules the tick while work is in flight or waiting, and detects a late tick."""

    def __init__(
        self, port: GatewayPort, registry: EngineRegistry, interval_ms: float, on_tick: Callable[[], None]
    ):
        """Starts with no tick scheduled."""
        self.port = port
        self.registry = registry
        self.interval_ms = interval_ms
        self.on_tick = on_tick
        self.next_tick_ms: float | None = None  # None: no tick is scheduled

    def schedule(self, now_ms: float) -> None:
        """Schedules the next tick, unless one is scheduled already."""
        if self.next_tick_ms is None:
            self.next_tick_ms = now_ms + self.interval_ms
            self.port.call_at(self.next_tick_ms, self.on_tick)

    def end_tick(self) -> None:
        """Ends the tick, so that the next one may be scheduled."""
        self.next_tick_ms = None

    def compensate_for_pause(self) -> float:
        """Returns the present time, after shifting all engines' response times by a detected pause.

        A tick that is overdue by more than one interval shows a pause of this process.
        """
        now_ms = self.port.now_ms
        if self.next_tick_ms is None:
            return now_ms
        pause_ms = now_ms - self.next_tick_ms - self.interval_ms
        if pause_ms > 0:
            self.next_tick_ms = now_ms
            for state in self.registry.states.values():
                state.compensate_for_pause(pause_ms)
        return now_ms
