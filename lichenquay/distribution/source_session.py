"""A subscriber's session at one of several sources: when to send a Follow, when to change the source."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.errors import SubscriptionError
from lichenquay.distribution.settings import Settings

INF = float("inf")
MAX_SENT_TIMES = 16  # Follows whose sending times are remembered.
SESSION_ID_BITS = 63
MIN_REPORT_SHARE = 0.8  # Of `report_ms` between two Follows, at random.


class FormerSession(NamedTuple):
    """A session that was left; its source may still count this subscriber."""

    source: str
    session_id: int


class SourceSession:
    """The sources in order of preference, the one that is followed, and the timing of what is sent to it."""

    def __init__(self, sources: Sequence[str], rng: Random, settings: Settings, now_ms: float):
        """Begin with the first source after a short random delay.

        Raises SubscriptionError without a source.
        """
        if not sources:
            raise SubscriptionError("a subscriber needs a source")
        self.sources = tuple(sources)
        self.rng = rng
        self.settings = settings
        self._former: dict[str, int] = {}  # {source: session id}
        self.connect(now_ms, self.sources[0])

    def connect(self, now_ms: float, source: str) -> None:
        """Begin a new session at a source."""
        self.source = source
        self.session_id = self.rng.getrandbits(SESSION_ID_BITS) + 1
        self.is_known = False  # Whether the source has answered, and so knows the prefixes.
        self.follow_number = 0
        self.sent_ms: OrderedDict[int, float] = OrderedDict()  # By the number of the Follow.
        self.connected_ms = now_ms
        self.heard_ms = now_ms
        self.useful_ms = now_ms
        self._last_follow_ms = -INF
        self._wait_until_ms = now_ms
        self._retry_delay_ms = self.settings.retry_ms
        # All subscribers of a source that failed would come to the next one at once.
        self.next_follow_ms = now_ms + self.rng.uniform(0, self.settings.retry_ms)

    def fail_over(self, now_ms: float) -> None:
        """Go to the next source."""
        self._former[self.source] = self.session_id
        index = self.sources.index(self.source)
        self.connect(now_ms, self.sources[(index + 1) % len(self.sources)])

    def replace(self, other: "SourceSession") -> None:
        """Replace another session, which becomes a former one."""
        self._former = {**other._former, other.source: other.session_id}

    def take_former(self) -> list[FormerSession]:
        """Return the sessions that were left, each once."""
        former = self._former
        self._former = {}
        return [FormerSession(name, session_id) for name, session_id in former.items() if name != self.source]

    def redirect(self, now_ms: float, leader: str) -> None:
        """Go to the leader, or to the next source if it is not known; at most once in `retry_ms`."""
        earliest_ms = self.connected_ms + self.settings.retry_ms
        if now_ms < earliest_ms:
            self.next_follow_ms = min(self.next_follow_ms, earliest_ms)
        elif leader in self.sources and leader != self.source:
            self.connect(now_ms, leader)
            self.next_follow_ms = now_ms
        else:
            self.fail_over(now_ms)

    # What the source sends.

    def on_useful_message(self, now_ms: float) -> None:
        """Record a delta or an offer."""
        self.heard_ms = now_ms
        self.useful_ms = now_ms
        self.is_known = True
        self._retry_delay_ms = self.settings.retry_ms
        self.next_follow_ms = now_ms + self.settings.report_ms * self.rng.uniform(MIN_REPORT_SHARE, 1.0)

    def on_page(self, now_ms: float) -> None:
        """Record a page. Follows continue as planned, as a session without messages expires."""
        self.heard_ms = now_ms
        self.useful_ms = now_ms

    def on_wait(self, now_ms: float, wait_ms: float) -> None:
        """Record that the source is there but has nothing for this subscriber now."""
        self.heard_ms = now_ms
        self._wait_until_ms = now_ms + min(wait_ms, self.settings.expire_ms)
        self.next_follow_ms = self._wait_until_ms
        self._retry_delay_ms = self.settings.retry_ms

    def on_unknown_session(self, now_ms: float) -> None:
        """Send the prefixes again, as the source does not know the session."""
        self.is_known = False
        self.follow_soon(now_ms)

    # What is sent to the source.

    def follow_soon(self, now_ms: float) -> None:
        """Plan a Follow out of turn, at most one in `retry_ms`."""
        soon_ms = max(now_ms, self._last_follow_ms + self.settings.retry_ms)
        self.next_follow_ms = min(self.next_follow_ms, soon_ms)

    def make_follow(self, now_ms: float, prefixes: Iterable[str]) -> pb.Follow:
        """Return a Follow with session and number, to be sent now; it is repeated while unanswered."""
        sent_prefixes = () if self.is_known else prefixes
        return pb.Follow(
            session=self.session_id, prefixes=sent_prefixes, number=self._next_follow_number(now_ms)
        )

    def _next_follow_number(self, now_ms: float) -> int:
        self.follow_number += 1
        self.sent_ms[self.follow_number] = now_ms
        self._last_follow_ms = now_ms
        if len(self.sent_ms) > MAX_SENT_TIMES:
            self.sent_ms.popitem(last=False)
        self.next_follow_ms = now_ms + self._retry_delay_ms
        self._retry_delay_ms = min(self.settings.report_ms, 2 * self._retry_delay_ms)
        return self.follow_number

    @property
    def fail_over_due_ms(self) -> float:
        """When to leave the source: it is silent for too long, or of no use while there are others."""
        silent_ms = max(self.heard_ms, self._wait_until_ms) + self.settings.silent_ms
        if len(self.sources) == 1:
            return silent_ms
        return min(silent_ms, self.useful_ms + self.settings.stale_ms)
