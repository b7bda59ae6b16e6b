"""Tracks the stream numbers that a client has used on its connection."""

from lichenquay.gateway.frames import FrameError

MAX_SKIPPED_STREAMS = 4096  # numbers stored individually, above the first skipped one
UNCOUNTED_STREAMS = 32  # of these, as many as a connection may have open requests
SKIPPED_STREAM_BYTES = 96  # an entry of a set of numbers, at the set's lowest load


class StreamNumbers:
    """The used numbers: all up to one number, and individual ones above it, as clients may skip numbers."""

    __slots__ = ("_above", "_all_up_to")

    def __init__(self):
        """Starts without used numbers, except 0, which stands for the connection."""
        self._all_up_to = 0
        self._above: set[int] = set()

    @property
    def held_bytes(self) -> int:
        """What is held for numbers stored individually; a few of them belong to each connection's objects."""
        return max(0, len(self._above) - UNCOUNTED_STREAMS) * SKIPPED_STREAM_BYTES

    def claim(self, stream: int) -> None:
        """Marks a number as used. Errors: FrameError, if it was used before or too many were skipped."""
        if stream <= self._all_up_to or stream in self._above:
            raise FrameError(f"stream {stream} is not new")
        self._above.add(stream)
        while self._all_up_to + 1 in self._above:
            self._all_up_to += 1
            self._above.discard(self._all_up_to)
        if len(self._above) > MAX_SKIPPED_STREAMS:
            raise FrameError("too many numbers of streams left out")
