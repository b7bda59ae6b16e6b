"""Coverage: which versions the subscribers of one source have in force, updated incrementally."""

import heapq
from collections import Counter, OrderedDict
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.settings import Settings

HEAP_SLACK_VERSIONS = 64  # The heap is rebuilt above twice the versions in use plus this.
MAX_REPORTED_SUBSCRIBERS = 1 << 20  # Per count in a relay's Coverage; a higher number is invalid.


class SessionCoverage(NamedTuple):
    """The counts that one session adds: one subscriber's state, or a relay's sums over its subscribers."""

    subscribers: int = 0
    oldest_version: int = 0
    refused: int = 0
    stale: int = 0


class SilentSubscriber(NamedTuple):
    """When a subscriber's session expired, and how many subscribers it represented."""

    expired_ms: float
    subscribers: int


def coverage_of(follow: pb.Follow, applied_version: int) -> SessionCoverage | None:
    """Returns the coverage that a Follow reports, None if its numbers are invalid.

    `applied_version` is the version that the sender has in force according to the last credible Follow.
    """
    if not follow.HasField("below"):
        return SessionCoverage(1, applied_version, int(follow.in_force < follow.version))
    below = follow.below
    if max(below.subscribers, below.refused, below.stale) > MAX_REPORTED_SUBSCRIBERS:
        return None
    oldest = min(applied_version, below.oldest) if below.subscribers else applied_version
    return SessionCoverage(below.subscribers, oldest, below.refused, below.stale)


class CoverageTracker:
    """Holds sums over a source's sessions and its silent subscribers. An update costs O(log sessions)."""

    def __init__(self, settings: Settings):
        """Starts without sessions."""
        self.settings = settings
        self.subscribers = 0
        self.refused = 0
        self.stale = 0
        self.silent_subscribers = 0  # Including those that a silent relay represents.
        self._silent: OrderedDict[str, SilentSubscriber] = OrderedDict()  # Longest silent first.
        self._sessions_at: Counter[int] = Counter()
        self._versions: list[int] = []  # A heap; may hold versions at which there is no session any more.

    def add(self, coverage: SessionCoverage) -> None:
        """Adds a session to the sums."""
        self._add_to_sums(coverage, 1)
        self._sessions_at[coverage.oldest_version] += 1
        if self._sessions_at[coverage.oldest_version] == 1:
            heapq.heappush(self._versions, coverage.oldest_version)
        # Unused versions are popped only from the top, so one subscriber that stays at an old version
        # would let those above it accumulate without limit.
        if len(self._versions) > HEAP_SLACK_VERSIONS + 2 * len(self._sessions_at):
            self._versions = sorted(self._sessions_at)

    def remove(self, coverage: SessionCoverage) -> None:
        """Removes a session from the sums."""
        self._add_to_sums(coverage, -1)
        self._sessions_at[coverage.oldest_version] -= 1
        if not self._sessions_at[coverage.oldest_version]:
            del self._sessions_at[coverage.oldest_version]

    def _add_to_sums(self, coverage: SessionCoverage, sign: int) -> None:
        self.subscribers += sign * coverage.subscribers
        self.refused += sign * coverage.refused
        self.stale += sign * coverage.stale

    def mark_silent(self, now_ms: float, name: str, coverage: SessionCoverage) -> None:
        """Counts a subscriber whose session expired, and all that it represented, as stale."""
        self.mark_present(name)
        silent = SilentSubscriber(now_ms, max(1, coverage.subscribers))
        self._silent[name] = silent
        self.silent_subscribers += silent.subscribers
        if len(self._silent) > self.settings.most_sessions:
            self._forget_longest_silent()

    def mark_present(self, name: str) -> None:
        """Stops counting a subscriber as silent, after it sent a message or left."""
        silent = self._silent.pop(name, None)
        if silent is not None:
            self.silent_subscribers -= silent.subscribers

    def _forget_longest_silent(self) -> None:
        _, silent = self._silent.popitem(last=False)
        self.silent_subscribers -= silent.subscribers

    @property
    def due_ms(self) -> float:
        """Returns the time at which the longest silent subscriber is forgotten, infinite if there is none."""
        first = next(iter(self._silent.values()), None)
        return first.expired_ms + self.settings.forget_ms if first else float("inf")

    def tick(self, now_ms: float) -> None:
        """Forgets the subscribers whose sessions expired at least `forget_ms` ago."""
        while self._silent and now_ms >= self.due_ms:
            self._forget_longest_silent()

    def oldest_version(self, own_version: int) -> int:
        """Returns the lowest version in force at any subscriber, at most `own_version`, the source's own."""
        while self._versions and not self._sessions_at.get(self._versions[0]):
            heapq.heappop(self._versions)
        return min(own_version, self._versions[0]) if self._versions else own_version

    def coverage(self, own_version: int) -> pb.Coverage:
        """Returns the sums that a relay reports to its source; `own_version` is the relay's own version."""
        return pb.Coverage(
            subscribers=min(self.subscribers, MAX_REPORTED_SUBSCRIBERS),
            oldest=self.oldest_version(own_version),
            refused=min(self.refused, MAX_REPORTED_SUBSCRIBERS),
            stale=min(self.stale + self.silent_subscribers, MAX_REPORTED_SUBSCRIBERS),
        )
