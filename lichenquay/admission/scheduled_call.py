"""A call that is due at a time, unless it is cancelled before."""

from collections.abc import Callable


class ScheduledCall:
    """A scheduled call, which is made once at most. It refers to nothing once it was made or cancelled."""

    __slots__ = ("_call", "_on_cancelled")

    def __init__(self, call: Callable[[], None], on_cancelled: Callable[[], None] | None = None):
        """Takes `on_cancelled`, which is called when the call is cancelled."""
        self._call: Callable[[], None] | None = call
        self._on_cancelled = on_cancelled

    @property
    def is_over(self) -> bool:
        """Whether the call was made or cancelled."""
        return self._call is None

    def take(self) -> Callable[[], None] | None:
        """Returns the call, to be made now; None if it was made or cancelled before."""
        call = self._call
        self._call = None
        return call

    def __call__(self) -> None:
        """Makes the call, unless it was made or cancelled before."""
        call = self.take()
        if call is not None:
            call()

    def detach(self) -> None:
        """Reports no further cancellation, as the call has left its queue to be made."""
        self._on_cancelled = None

    def cancel(self) -> None:
        """Cancels the call; does nothing if it was made or cancelled before."""
        if self.take() is not None and self._on_cancelled is not None:
            self._on_cancelled()
