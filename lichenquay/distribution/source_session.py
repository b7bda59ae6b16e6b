"""A subscriber's session at one of several sources: when to send a Follow and when to fail over."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.errors import SubscriptionError
from lichenquay.distribution.settings import Settings

INF = float("inf")
MAX_REMEMBERED_FOLLOWS = 16  # Whose sending times are kept.
SESSION_ID_BITS = 63
MIN_REPORT_FACTOR = 0.8  # Jitter: the interval of Follows is `report_ms` times this to 1.


class FormerSession(NamedTuple):
    """A session that the subscriber left; its source may still count the subscriber."""

    source: str
    session_id: int


class SourceSession:
    """Holds the sources in order of preference, the one that is followed, and the timing of Follows to it."""

    def __init__(self, sources: Sequence[str], rng: Random, settings: Settings, now_ms: float):
        """Starts with the first source, after a short random delay.

        Raises SubscriptionError if there is no source.
        """
        if not sources:
            raise SubscriptionError("a subscriber needs at least one source, none is given")
        self.sources = tuple(sources)
        self.rng = rng
        self.settings = settings
        self._former_sessions: dict[str, int] = {}  # {source: session id}
        self.connect(now_ms, self.sources[0])

    def connect(self, now_ms: float, source: str) -> None:
        """Begins a new session at a source."""
        self.source = source
        self.session_id = self.rng.getrandbits(SESSION_ID_BITS) + 1
        self.is_known = False  # Whether the source has answered, and so knows the prefixes.
        self.follow_number = 0
        self.sent_ms: OrderedDict[int, float] = OrderedDict()  # By the number of the Follow.
        self.connected_ms = now_ms
        self.last_message_ms = now_ms
        self.last_useful_message_ms = now_ms
        self._last_follow_ms = -INF
        self._wait_until_ms = now_ms
        self._retry_delay_ms = self.settings.retry_ms
        # Without jitter, all subscribers of a failed source would reach the next one at once.
        self.next_follow_ms = now_ms + self.rng.uniform(0, self.settings.retry_ms)

    def fail_over(self, now_ms: float) -> None:
        """Begins a session at the next source."""
        self._former_sessions[self.source] = self.session_id
        index = self.sources.index(self.source)
        self.connect(now_ms, self.sources[(index + 1) % len(self.sources)])

    def replace(self, other: "SourceSession") -> None:
        """Takes the place of another session, which becomes a former one."""
        self._former_sessions = {**other._former_sessions, other.source: other.session_id}

    def pop_former_sessions(self) -> list[FormerSession]:
        """Returns the former sessions at other sources, and forgets them."""
        former_sessions = self._former_sessions
        self._former_sessions = {}
        return [
            FormerSession(name, session_id)
            for name, session_id in former_sessions.items()
            if name != self.source
        ]

    def redirect(self, now_ms: float, leader: str) -> None:
        """Begins a session at the leader, or the next source if it is unknown; at most once in `retry_ms`."""
        earliest_ms = self.connected_ms + self.settings.retry_ms
        if now_ms < earliest_ms:
            self.next_follow_ms = min(self.next_follow_ms, earliest_ms)
        elif leader in self.sources and leader != self.source:
            self.connect(now_ms, leader)
            self.next_follow_ms = now_ms
        else:
            self.fail_over(now_ms)

    # Messages from the source.

    def on_useful_message(self, now_ms: float) -> None:
        """Records that a delta or an offer was received."""
        self.last_message_ms = now_ms
        self.last_useful_message_ms = now_ms
        self.is_known = True
        self._retry_delay_ms = self.settings.retry_ms
        self.next_follow_ms = now_ms + self.settings.report_ms * self.rng.uniform(MIN_REPORT_FACTOR, 1.0)

    def on_page(self, now_ms: float) -> None:
        """Records that a page was received. Follows stay scheduled: without them the session expires."""
        self.last_message_ms = now_ms
        self.last_useful_message_ms = now_ms

    def on_wait(self, now_ms: float, wait_ms: float) -> None:
        """Records that the source is reachable but asks this subscriber to wait."""
        self.last_message_ms = now_ms
        self._wait_until_ms = now_ms + min(wait_ms, self.settings.expire_ms)
        self.next_follow_ms = self._wait_until_ms
        self._retry_delay_ms = self.settings.retry_ms

    def on_unknown_session(self, now_ms: float) -> None:
        """Schedules a Follow with the prefixes, as the source does not know the session."""
        self.is_known = False
        self.follow_soon(now_ms)

    # Messages to the source.

    def follow_soon(self, now_ms: float) -> None:
        """Schedules a Follow before its regular time, at most one in `retry_ms`."""
        soon_ms = max(now_ms, self._last_follow_ms + self.settings.retry_ms)
        self.next_follow_ms = min(self.next_follow_ms, soon_ms)

    def make_follow(self, now_ms: float, prefixes: Iterable[str]) -> pb.Follow:
        """Returns a Follow with session and number, to be sent now, and schedules the next one."""
        sent_prefixes = () if self.is_known else prefixes
        return pb.Follow(
            session=self.session_id, prefixes=sent_prefixes, number=self._next_follow_number(now_ms)
        )

    def _next_follow_number(self, now_ms: float) -> int:
        self.follow_number += 1
        self.sent_ms[self.follow_number] = now_ms
        self._last_follow_ms = now_ms
        if len(self.sent_ms) > MAX_REMEMBERED_FOLLOWS:
            self.sent_ms.popitem(last=False)
        self.next_follow_ms = now_ms + self._retry_delay_ms
        self._retry_delay_ms = min(self.settings.report_ms, 2 * self._retry_delay_ms)
        return self.follow_number

    @property
    def fail_over_due_ms(self) -> float:
        """Returns when to fail over: the source is silent or, if there are others, of no use for too long."""
        silent_ms = max(self.last_message_ms, self._wait_until_ms) + self.settings.silent_ms
        if len(self.sources) == 1:
            return silent_ms
        return min(silent_ms, self.last_useful_message_ms + self.settings.stale_ms)
