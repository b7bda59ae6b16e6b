"""Coverage: which versions the subscribers of one source have applied, kept incrementally."""

import heapq
from collections import Counter, OrderedDict
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.settings import Settings

HEAP_SLACK = 64  # Versions in the heap beside twice those in use.
MAX_REPORTED_SUBSCRIBERS = 1 << 20  # Of one relay; a higher number in a message is invalid.


class SessionCoverage(NamedTuple):
    """What one session contributes: a subscriber's own state, or a relay's sums over its subscribers."""

    subscribers: int = 0
    oldest_version: int = 0
    refused: int = 0
    stale: int = 0


class SilentSubscriber(NamedTuple):
    """A subscriber whose session expired, and how many subscribers it stood for."""

    lost_ms: float
    subscribers: int


def coverage_of(follow: pb.Follow, applied_version: int) -> SessionCoverage | None:
    """Return the coverage that a Follow reports, None if its numbers are invalid.

    `applied_version` is the version that its sender has in force, as far as the source believes it.
    """
    if not follow.HasField("below"):
        return SessionCoverage(1, applied_version, int(follow.in_force < follow.version))
    below = follow.below
    if max(below.subscribers, below.refused, below.stale) > MAX_REPORTED_SUBSCRIBERS:
        return None
    oldest = min(applied_version, below.oldest) if below.subscribers else applied_version
    return SessionCoverage(below.subscribers, oldest, below.refused, below.stale)


class CoverageTracker:
    """Sums over the sessions of a source, and the silent subscribers. A step costs O(log sessions)."""

    def __init__(self, settings: Settings):
        """Start without a session."""
        self.settings = settings
        self.subscribers = 0
        self.refused = 0
        self.stale = 0
        self.silent_count = 0  # All that the silent subscribers represent.
        self._silent: OrderedDict[str, SilentSubscriber] = OrderedDict()  # Longest silent first.
        self._sessions_at: Counter[int] = Counter()
        self._versions: list[int] = []  # A heap; holds versions that no session is at any more.

    def add(self, coverage: SessionCoverage) -> None:
        """Count a session."""
        self._add_to_sums(coverage, 1)
        self._sessions_at[coverage.oldest_version] += 1
        if self._sessions_at[coverage.oldest_version] == 1:
            heapq.heappush(self._versions, coverage.oldest_version)
        # While one subscriber stays behind, versions above its own would accumulate without limit.
        if len(self._versions) > HEAP_SLACK + 2 * len(self._sessions_at):
            self._versions = sorted(self._sessions_at)

    def remove(self, coverage: SessionCoverage) -> None:
        """Stop counting a session."""
        self._add_to_sums(coverage, -1)
        self._sessions_at[coverage.oldest_version] -= 1
        if not self._sessions_at[coverage.oldest_version]:
            del self._sessions_at[coverage.oldest_version]

    def _add_to_sums(self, coverage: SessionCoverage, sign: int) -> None:
        self.subscribers += sign * coverage.subscribers
        self.refused += sign * coverage.refused
        self.stale += sign * coverage.stale

    def mark_silent(self, now_ms: float, name: str, coverage: SessionCoverage) -> None:
        """Count a subscriber whose session expired, and all that it stood for, as stale."""
        self.mark_present(name)
        silent = SilentSubscriber(now_ms, max(1, coverage.subscribers))
        self._silent[name] = silent
        self.silent_count += silent.subscribers
        if len(self._silent) > self.settings.most_sessions:
            self._forget_longest_silent()

    def mark_present(self, name: str) -> None:
        """Record that a subscriber has sent again, or left."""
        silent = self._silent.pop(name, None)
        if silent is not None:
            self.silent_count -= silent.subscribers

    def _forget_longest_silent(self) -> None:
        _, silent = self._silent.popitem(last=False)
        self.silent_count -= silent.subscribers

    @property
    def due_ms(self) -> float:
        """When the longest silent subscriber is forgotten."""
        first = next(iter(self._silent.values()), None)
        return first.lost_ms + self.settings.forget_ms if first else float("inf")

    def tick(self, now_ms: float) -> None:
        """Forget the subscribers that have been silent for too long."""
        while self._silent and now_ms >= self.due_ms:
            self._forget_longest_silent()

    def oldest_version(self, own_version: int) -> int:
        """Return the lowest version in force, at most `own_version`, which is that of the source."""
        while self._versions and not self._sessions_at.get(self._versions[0]):
            heapq.heappop(self._versions)
        return min(own_version, self._versions[0]) if self._versions else own_version

    def coverage(self, own_version: int) -> pb.Coverage:
        """Return what a relay reports upwards; `own_version` is that of the source."""
        return pb.Coverage(
            subscribers=min(self.subscribers, MAX_REPORTED_SUBSCRIBERS),
            oldest=self.oldest_version(own_version),
            refused=min(self.refused, MAX_REPORTED_SUBSCRIBERS),
            stale=min(self.stale + self.silent_count, MAX_REPORTED_SUBSCRIBERS),
        )
