"""Pacing of snapshots: a token bucket of bytes, and a limit on how many subscribers fetch at once."""

from collections import OrderedDict
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import MAX_MESSAGE_BYTES
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.snapshot import Snapshot

INF = float("inf")
BURST_MS = 50.0  # Of the rate that may be spent at once.
PAGE_OVERHEAD_BYTES = 96  # Of a page's message beside its entries, and of its envelope.
MIN_WAIT_MS = 0.01


class TokenBucket:
    """Bytes that may be sent. Changes may overdraw it, so that snapshots wait for them."""

    def __init__(self, bytes_per_s: float, now_ms: float):
        """Start full."""
        self.bytes_per_ms = bytes_per_s / 1000
        # If a page were more than the burst, a part of it would never be counted.
        self.capacity = max(self.bytes_per_ms * BURST_MS, 2 * MAX_MESSAGE_BYTES)
        self.bytes = self.capacity
        self.filled_ms = now_ms

    def fill(self, now_ms: float) -> None:
        """Add what became available until now."""
        added = (now_ms - self.filled_ms) * self.bytes_per_ms
        self.bytes = min(self.capacity, self.bytes + added)
        self.filled_ms = now_ms

    def spend(self, size: int) -> None:
        """Spend bytes, down to one burst below zero."""
        self.bytes = max(-self.capacity, self.bytes - size)

    @property
    def due_ms(self) -> float:
        """When the next page may be sent."""
        if self.bytes > 0:
            return self.filled_ms
        return self.filled_ms - self.bytes / self.bytes_per_ms + MIN_WAIT_MS


class PageRequest(NamedTuple):
    """Pages of a snapshot from `next_page` up to but not including `end`."""

    snapshot: Snapshot
    next_page: int
    end: int


class PageToSend(NamedTuple):
    """A page that may be sent now, and to whom."""

    receiver: str
    page: pb.Page


class SnapshotPacer:
    """Which subscribers may fetch a snapshot, at most `most_snapshots` at once, and whose page is next."""

    def __init__(self, settings: Settings, now_ms: float):
        """Start without a fetch."""
        self.settings = settings
        self.bucket = TokenBucket(settings.snapshot_bytes_per_s, now_ms)
        self.slots: OrderedDict[str, float] = OrderedDict()  # Time of the last message of each, oldest first.
        self.requests: OrderedDict[str, PageRequest] = OrderedDict()  # At most one window of each.

    def admit(self, now_ms: float, name: str) -> bool:
        """Give a subscriber a slot, or renew it; return whether it has one."""
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
        """Free the slot of a subscriber that needs it no more."""
        self.slots.pop(name, None)
        self.requests.pop(name, None)

    def request(self, name: str, snapshot: Snapshot, first: int, count: int) -> None:
        """Accept a request for pages in place of the subscriber's last one."""
        end = min(len(snapshot.pages), first + min(count, self.settings.window_pages))
        if first < end:
            self.requests[name] = PageRequest(snapshot, first, end)

    @property
    def due_ms(self) -> float:
        """When the next page may be sent."""
        return self.bucket.due_ms if self.requests else INF

    def take_pages(self, now_ms: float) -> list[PageToSend]:
        """Return the pages that may be sent now, of all subscribers in turn; at most one burst."""
        self.bucket.fill(now_ms)
        pages = []
        while self.requests and self.bucket.bytes > 0:
            name, request = self.requests.popitem(last=False)
            pages.append(PageToSend(name, request.snapshot.page(request.next_page)))
            self.bucket.spend(len(request.snapshot.pages[request.next_page]) + PAGE_OVERHEAD_BYTES)
            if request.next_page + 1 < request.end:
                self.requests[name] = request._replace(next_page=request.next_page + 1)
        return pages
