"""Requests of one connection that are kept while its client does not read its answers."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from lichenquay.gateway.memory_account import DEFERRED_REQUEST_BYTES

MAX_DEFERRED_BYTES = 65_536  # with more than this, the connection is no longer read


class DeferredRequest(NamedTuple):
    """A request frame's payload, and when it was received."""

    payload: bytes
    received_ms: float


class DeferredRequests:
    """The deferred requests of a connection by stream, oldest first. size_bytes: of all of them."""

    def __init__(self, on_size_changed: Callable[[int], None]):
        """Starts empty. `on_size_changed` is called with each difference in bytes."""
        self.size_bytes = 0
        self._on_size_changed = on_size_changed
        self._requests: dict[int, DeferredRequest] = {}

    def __len__(self) -> int:
        """Returns the number of requests."""
        return len(self._requests)

    def __iter__(self) -> Iterator[int]:
        """Yields the streams of the requests."""
        return iter(self._requests)

    def __contains__(self, stream: int) -> bool:
        """Returns whether there is a request on this stream."""
        return stream in self._requests

    @property
    def are_too_large(self) -> bool:
        """Whether the connection must not be read until requests are taken out."""
        return self.size_bytes > MAX_DEFERRED_BYTES

    def add(self, stream: int, payload: bytes, received_ms: float) -> None:
        """Adds a request."""
        self._requests[stream] = DeferredRequest(payload, received_ms)
        self._add_size(len(payload) + DEFERRED_REQUEST_BYTES)

    def take(self, stream: int) -> DeferredRequest:
        """Removes and returns a request."""
        request = self._requests.pop(stream)
        self._add_size(-len(request.payload) - DEFERRED_REQUEST_BYTES)
        return request

    def _add_size(self, difference):
        self.size_bytes += difference
        self._on_size_changed(difference)
