"""Notices that this process stood still, and bounds when what it reads afterwards arrived; no I/O."""

from collections.abc import Callable

TURNS_AFTER_PAUSE = 4


class ProcessPauses:
    """Pauses of this process, by a tick that comes late.

    What has arrived in a pause is read in the turn of the reactor that notices it, or soon afterwards where a
    system call fails; connections that wait to be accepted may take further turns.
    """

    def __init__(
        self,
        interval_ms: float,
        min_pause_ms: float,
        call_soon: Callable[[Callable[[], None]], None],
        has_backlog: Callable[[], bool] = lambda: False,
    ):
        """Takes the interval of the tick, and `call_soon`, which calls after the reactor's next turn.

        min_pause_ms: shorter delays are the work of a turn. has_backlog: whether connections may wait to be
        accepted.
        """
        self.interval_ms = interval_ms
        self.min_pause_ms = min_pause_ms
        self.call_soon = call_soon
        self.has_backlog = has_backlog
        self.ticked_ms: float | None = None
        self.began_ms: float | None = None  # of a pause in which what is read now may have arrived
        self._turns_left = 0  # of the reactor, in which it may be read

    def on_tick(self, now_ms: float) -> float:
        """Records a tick; returns how late it is, in ms."""
        late_ms = 0.0 if self.ticked_ms is None else now_ms - self.ticked_ms - self.interval_ms
        if late_ms > self.min_pause_ms:
            if self.began_ms is None:
                self.began_ms = self.ticked_ms
                self.call_soon(self._end_turn)
            self._turns_left = TURNS_AFTER_PAUSE
        self.ticked_ms = now_ms
        return max(0.0, late_ms)

    def _end_turn(self):
        self._turns_left -= 1
        if self._turns_left > 0 or self.has_backlog():
            self.call_soon(self._end_turn)
        else:
            self.began_ms = None

    def earliest_arrival_ms(self, now_ms: float) -> float:
        """Returns since when what is read now may have been there; the present time if there was no pause."""
        if self.began_ms is not None:
            return self.began_ms
        if self.ticked_ms is None or now_ms - self.ticked_ms - self.interval_ms <= self.min_pause_ms:
            return now_ms
        return self.ticked_ms


class ArrivalBound:
    """When what one connection reads arrived, at the earliest; `read_ms` is that of the current read."""

    def __init__(self, earliest_arrival_ms: Callable[[float], float], now_ms: Callable[[], float]):
        """Takes `earliest_arrival_ms(now_ms)`, of what any connection reads now."""
        self.earliest_arrival_ms = earliest_arrival_ms
        self.now_ms = now_ms
        self.read_ms = 0.0
        self._is_after_pause = False
        self._unread_since_ms: float | None = None  # of what was left unread after a pause

    def begin_read(self) -> None:
        """Begins a read, of what may have been left unread before."""
        now_ms = self.now_ms()
        self.read_ms = self.earliest_arrival_ms(now_ms)
        if self._unread_since_ms is not None:
            self.read_ms = min(self.read_ms, self._unread_since_ms)
        self._is_after_pause = self.read_ms < now_ms

    def end_read(self, has_more: Callable[[], bool]) -> None:
        """Ends a read. `has_more` returns whether something is left; it is asked only after a pause."""
        self._unread_since_ms = self.read_ms if self._is_after_pause and has_more() else None
