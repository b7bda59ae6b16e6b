"""What the subscribers of one source have in force, kept by increments. No I/O."""

import heapq
from collections import Counter, OrderedDict
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb

HEAP_SLACK = 64  # Versions in the heap beside twice those in use.
MOST_BELOW = 1 << 20  # Subscribers of one relay; a higher number makes no sense.


class Share(NamedTuple):
    """What one session adds: its own word, or a relay's for all below it."""

    subscribers: int = 0
    oldest: int = 0
    refused: int = 0
    stale: int = 0


def share_of(follow, in_force):
    """The share of a session by its Follow; None where its figures make no sense.

    `in_force`: its version in force, as far as the source believes it.
    """
    if not follow.HasField("below"):
        return Share(1, in_force, int(follow.in_force < follow.version))
    below = follow.below
    if max(below.subscribers, below.refused, below.stale) > MOST_BELOW:
        return None
    oldest = min(in_force, below.oldest) if below.subscribers else in_force
    return Share(below.subscribers, oldest, below.refused, below.stale)


class Census:
    """Sums over the sessions of a source, and the subscribers that went silent.

    One step costs O(log sessions).
    """

    def __init__(self, settings):
        """Of nobody."""
        self.settings = settings
        self.subscribers = self.refused = self.stale = self.gone = 0
        self.silent = OrderedDict()  # {name: (when it was lost, how many it stood for)}, longest ago first
        self._at, self._heap = Counter(), []

    def add(self, share):
        """A share begins to count."""
        self._sum(share, 1)
        self._at[share.oldest] += 1
        if self._at[share.oldest] == 1:
            heapq.heappush(self._heap, share.oldest)
        # Risk: while one subscriber stays behind, versions over its own would pile up for ever.
        if len(self._heap) > HEAP_SLACK + 2 * len(self._at):
            self._heap = sorted(self._at)

    def remove(self, share):
        """A share counts no longer."""
        self._sum(share, -1)
        self._at[share.oldest] -= 1
        if not self._at[share.oldest]:
            del self._at[share.oldest]

    def _sum(self, share, sign):
        self.subscribers += sign * share.subscribers
        self.refused += sign * share.refused
        self.stale += sign * share.stale

    def lose(self, now_ms, name, share):
        """A session expired: all that it stood for is stale now."""
        self.find(name)
        self.silent[name] = now_ms, max(1, share.subscribers)
        self.gone += max(1, share.subscribers)
        if len(self.silent) > self.settings.most_sessions:
            self._forget()

    def find(self, name):
        """A subscriber is heard again."""
        _, many = self.silent.pop(name, (0, 0))
        self.gone -= many

    def _forget(self):
        _, (_, many) = self.silent.popitem(last=False)
        self.gone -= many

    @property
    def due_ms(self):
        """When the longest silent one is forgotten."""
        first = next(iter(self.silent.values()), None)
        return first[0] + self.settings.forget_ms if first else float("inf")

    def tick(self, now_ms):
        """Forgets those that are silent for too long."""
        while self.silent and now_ms >= self.due_ms:
            self._forget()

    def oldest(self, own):
        """The lowest version in force, `own` where there is nobody; never over `own`."""
        while self._heap and not self._at.get(self._heap[0]):
            heapq.heappop(self._heap)
        return min(own, self._heap[0]) if self._heap else own

    def coverage(self, own):
        """As a relay tells it upwards; `own`: the version of the source."""
        return pb.Coverage(
            subscribers=min(self.subscribers, MOST_BELOW),
            oldest=self.oldest(own),
            refused=min(self.refused, MOST_BELOW),
            stale=min(self.stale + self.gone, MOST_BELOW),
        )
