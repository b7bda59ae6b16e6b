"""Since when the endpoint list may lack an event that counts as announced; performs no I/O.

An open poll on a connection that has just answered brings each event at once: meanwhile the list is current.
It is unconfirmed from when the discovery service was asked anew, or the watch was lost, or an answer may have
waited unread (after a pause of this process), until a poll that was sent since then has its answer.
"""

from collections.abc import Callable


class EndpointCurrency:
    """Tracks since when the endpoint list is unconfirmed. Times are ms of one monotonic clock.

    since_ms: since when events may be missing; None while the list is current.
    """

    def __init__(
        self,
        tolerance_ms: float,
        max_unconfirmed_ms: float,
        on_changed: Callable[[float | None], None] = lambda since_ms: None,
    ):
        """Starts as current.

        tolerance_ms: an answer that arrived at most this long before it was read is as good as new.
        max_unconfirmed_ms: after so much of this process's running time the list is used as it is.
        on_changed(since_ms): called with each change.
        """
        self.tolerance_ms = tolerance_ms
        self.max_unconfirmed_ms = max_unconfirmed_ms
        self.on_changed = on_changed
        self.since_ms: float | None = None
        self.has_given_up = False  # the list is used although the service does not answer
        self._is_watch_lost_only = True  # nothing else puts the list in doubt
        self._left_ms = max_unconfirmed_ms
        self._checked_ms: float | None = None

    @property
    def is_current(self) -> bool:
        """Whether no event that counts as announced can be missing."""
        return self.since_ms is None and not self.has_given_up

    def on_asked(self, now_ms: float) -> None:
        """Records that the service was asked on a new connection: all it has counts as announced."""
        self._is_watch_lost_only = False
        self._mark(now_ms)

    def on_watch_lost(self, since_ms: float) -> None:
        """Records that no poll is open since `since_ms`."""
        self._mark(since_ms)

    def on_unreachable(self) -> None:
        """Records that the service refuses connections or is cut off.

        The last list remains in force, unless the service was asked, or an answer lay unread, before.
        """
        if self._is_watch_lost_only:
            self._set(None)

    def on_unreadable(self) -> None:
        """Records that the service answers what cannot be read: the last list remains in force."""
        self._set(None)

    def on_answered(self, polled_ms: float, arrived_after_ms: float, now_ms: float) -> None:
        """Records a valid answer, after which the next poll is sent on the same connection.

        polled_ms: when its poll was sent. arrived_after_ms: a time at which it had not arrived yet.
        """
        if now_ms - arrived_after_ms > self.tolerance_ms:
            self._is_watch_lost_only = False
            self._mark(arrived_after_ms)
        elif self.since_ms is None or polled_ms >= self.since_ms:
            self.has_given_up = False
            self._set(None)

    def on_check(self, now_ms: float) -> None:
        """Counts the time for which the list is unconfirmed; a pause of this process does not count."""
        elapsed_ms = now_ms - (now_ms if self._checked_ms is None else self._checked_ms)
        self._checked_ms = now_ms
        if self.since_ms is None or elapsed_ms > self.tolerance_ms:
            return
        self._left_ms -= elapsed_ms
        if self._left_ms <= 0:
            self.has_given_up = True
            self._set(None)

    def _mark(self, since_ms):
        if not self.has_given_up and (self.since_ms is None or since_ms < self.since_ms):
            self._set(since_ms)

    def _set(self, since_ms):
        if since_ms is None:
            self._is_watch_lost_only = True
        if since_ms is None or self.since_ms is None:
            self._left_ms = self.max_unconfirmed_ms
        if since_ms != self.since_ms:
            self.since_ms = since_ms
            self.on_changed(since_ms)
