"""Pacing of snapshots: a token bucket of bytes, and a limit on concurrent fetches."""

from collections import OrderedDict
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import MAX_MESSAGE_BYTES
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.snapshot import Snapshot

INF = float("inf")
BURST_MS = 50.0  # The bucket holds what the rate adds in this time.
PAGE_OVERHEAD_BYTES = 96  # Of a page's message besides its entries, and of its envelope.
MIN_WAIT_MS = 0.01


class TokenBucket:
    """A token bucket of bytes. Deltas may overdraw it, which delays the snapshot pages that follow."""

    def __init__(self, bytes_per_s: float, now_ms: float):
        """Starts full."""
        self.bytes_per_ms = bytes_per_s / 1000
        # `consume` stops at one capacity below zero, so a larger page would be charged only in part.
        self.capacity = max(self.bytes_per_ms * BURST_MS, 2 * MAX_MESSAGE_BYTES)
        self.bytes = self.capacity
        self.refilled_ms = now_ms

    def refill(self, now_ms: float) -> None:
        """Adds the tokens that have accrued since the last refill."""
        added = (now_ms - self.refilled_ms) * self.bytes_per_ms
        self.bytes = min(self.capacity, self.bytes + added)
        self.refilled_ms = now_ms

    def consume(self, size: int) -> None:
        """Takes bytes out of the bucket, down to one capacity below zero."""
        self.bytes = max(-self.capacity, self.bytes - size)

    @property
    def due_ms(self) -> float:
        """Returns the time at which the next page may be sent."""
        if self.bytes > 0:
            return self.refilled_ms
        return self.refilled_ms - self.bytes / self.bytes_per_ms + MIN_WAIT_MS


class PageRequest(NamedTuple):
    """The requested pages of a snapshot, from `next_page` up to but not including `end`."""

    snapshot: Snapshot
    next_page: int
    end: int


class PageToSend(NamedTuple):
    """A page that may be sent now, and its receiver."""

    receiver: str
    page: pb.Page


class SnapshotPacer:
    """Decides which subscribers may fetch, at most `most_snapshots` at once, and whose page is next."""

    def __init__(self, settings: Settings, now_ms: float):
        """Starts without a fetch."""
        self.settings = settings
        self.bucket = TokenBucket(settings.snapshot_bytes_per_s, now_ms)
        # Time of the last message by subscriber, oldest first.
        self.slots: OrderedDict[str, float] = OrderedDict()
        self.requests: OrderedDict[str, PageRequest] = OrderedDict()  # At most one window per subscriber.

    def admit(self, now_ms: float, name: str) -> bool:
        """Gives a subscriber a slot or renews it; returns whether it has one."""
        self._free_silent_slots(now_ms)
        if name not in self.slots and len(self.slots) >= self.settings.most_snapshots:
            return False
        self.slots[name] = now_ms
        self.slots.move_to_end(name)
        return True

    def _free_silent_slots(self, now_ms: float) -> None:
        while self.slots and now_ms - next(iter(self.slots.values())) >= self.settings.silent_ms:
            name, _ = self.slots.popitem(last=False)
            self.requests.pop(name, None)

    def release(self, name: str) -> None:
        """Frees the slot of a subscriber that no longer needs it."""
        self.slots.pop(name, None)
        self.requests.pop(name, None)

    def request(self, name: str, snapshot: Snapshot, first: int, count: int) -> None:
        """Replaces the subscriber's request for pages; `count` is capped at `window_pages`."""
        end = min(len(snapshot.pages), first + min(count, self.settings.window_pages))
        if first < end:
            self.requests[name] = PageRequest(snapshot, first, end)

    @property
    def due_ms(self) -> float:
        """Returns the time at which the next page may be sent."""
        return self.bucket.due_ms if self.requests else INF

    def take_pages(self, now_ms: float) -> list[PageToSend]:
        """Removes and returns the pages that may be sent now: round-robin, at most one burst."""
        self.bucket.refill(now_ms)
        pages = []
        while self.requests and self.bucket.bytes > 0:
            name, request = self.requests.popitem(last=False)
            pages.append(PageToSend(name, request.snapshot.page(request.next_page)))
            self.bucket.consume(len(request.snapshot.pages[request.next_page]) + PAGE_OVERHEAD_BYTES)
            if request.next_page + 1 < request.end:
                self.requests[name] = request._replace(next_page=request.next_page + 1)
        return pages
