"""Snapshots in pages, and their pacing: bytes a second, sessions at once, changes before them. No I/O."""

from collections import OrderedDict

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import MOST_MESSAGE, size_of

BURST_MS = 50.0  # Of the rate that may be spent at once.
PAGE_OVERHEAD = 96  # Bytes of a page's message beside its entries, and of its envelope.


class Snapshot:
    """The keys of one view at one version, as pages that are kept serialized (half of what objects would
    take).
    """

    def __init__(self, view, store, settings):
        """A pass over all keys; shared by all sessions of the view."""
        self.version, self.digest = store.version, view.digest
        self.pages, self.bytes = [], 0
        batch, size = [], 0
        for entry in store.snapshot(view.prefixes):
            more = size_of(entry)
            if size + more > settings.delta_bytes:
                self._add(batch)
                batch, size = [], 0
            batch.append(entry)
            size += more
        if batch:
            self._add(batch)

    def _add(self, batch):
        page = pb.Page(version=self.version, number=len(self.pages), entries=batch)
        self.pages.append(page.SerializeToString())
        self.bytes += len(self.pages[-1])

    def page(self, number):
        """One page, without its session and mark."""
        return pb.Page.FromString(self.pages[number])


class Bucket:
    """Bytes that may be sent: a token bucket that changes may overdraw, so that snapshots wait for them."""

    def __init__(self, rate_bytes_s, now_ms):
        """Full at first."""
        self.rate = rate_bytes_s / 1000
        # Risk: where a page is more than the burst, a part of it would never be counted.
        self.most = max(self.rate * BURST_MS, 2 * MOST_MESSAGE)
        self.bytes, self.at_ms = self.most, now_ms

    def fill(self, now_ms):
        """What came in by now."""
        self.bytes = min(self.most, self.bytes + (now_ms - self.at_ms) * self.rate)
        self.at_ms = now_ms

    def take(self, size):
        """Spends, down to one burst under nothing."""
        self.bytes = max(-self.most, self.bytes - size)

    @property
    def due_ms(self):
        """When a page may go."""
        return self.at_ms if self.bytes > 0 else self.at_ms - self.bytes / self.rate + 0.01


class Pacer:
    """Who fetches a snapshot, at most `most_snapshots` at once, and which pages are to be sent next, in
    turn.
    """

    def __init__(self, settings, now_ms):
        """Nobody fetches."""
        self.settings, self.bucket = settings, Bucket(settings.snapshot_bytes_per_s, now_ms)
        self.slots = OrderedDict()  # {name: when it was heard last}, longest ago first
        self.wanted = OrderedDict()  # {name: (snapshot, next page, end)}, at most one window each

    def admit(self, now_ms, name):
        """Whether this one may fetch now."""
        self._free(now_ms)
        if name not in self.slots and len(self.slots) >= self.settings.most_snapshots:
            return False
        self.slots[name] = now_ms
        self.slots.move_to_end(name)
        return True

    def _free(self, now_ms):
        while self.slots and now_ms - next(iter(self.slots.values())) >= self.settings.silent_ms:
            name, _ = self.slots.popitem(last=False)
            self.wanted.pop(name, None)

    def leave(self, name):
        """It has what it wanted, or is gone."""
        self.slots.pop(name, None)
        self.wanted.pop(name, None)

    def want(self, name, snapshot, first, count):
        """Pages of a snapshot, instead of what the same one wanted before."""
        end = min(len(snapshot.pages), first + min(count, self.settings.window_pages))
        if first < end:
            self.wanted[name] = snapshot, first, end

    @property
    def due_ms(self):
        """When the next page may go."""
        return self.bucket.due_ms if self.wanted else float("inf")

    def pages(self, now_ms):
        """[(name, page)] that may go now, of all in turn. Bounded by one burst."""
        self.bucket.fill(now_ms)
        out = []
        while self.wanted and self.bucket.bytes > 0:
            name, (snapshot, number, end) = self.wanted.popitem(last=False)
            page = snapshot.page(number)
            out.append((name, page))
            self.bucket.take(len(snapshot.pages[number]) + PAGE_OVERHEAD)
            if number + 1 < end:
                self.wanted[name] = snapshot, number + 1, end
        return out
