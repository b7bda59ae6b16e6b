"""The sessions of a source's subscribers, grouped by their prefixes."""

from collections import OrderedDict
from dataclasses import dataclass, field

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.coverage_tracker import SessionCoverage
from lichenquay.distribution.history import History
from lichenquay.distribution.prefix_view import PrefixView
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.snapshot import Snapshot

INF = float("inf")


class SubscriberSession:
    """One subscription of one subscriber. It has no queue: missing changes are built from its view."""

    def __init__(self, name: str, incarnation: int, session_id: int, audience: "Audience"):
        """Starts without a recorded Follow."""
        self.name = name
        self.incarnation = incarnation
        self.session_id = session_id
        self.audience = audience
        self.follow_number = 0
        self.last_message_ms = 0.0
        self.version = 0  # Held by the subscriber, according to its last Follow.
        self.applied_version = 0  # In force there, according to the last credible Follow.
        self.coverage: SessionCoverage | None = None
        self.awaits_follow = False  # Whether a delta with entries is unanswered.
        self.deltas_sent = 0
        self.unanswered_deltas = 0  # Consecutive.

    def matches(self, incarnation: int, session_id: int) -> bool:
        """Returns whether a message belongs to this session."""
        return (self.session_id, self.incarnation) == (session_id, incarnation)


@dataclass
class Audience:
    """All sessions with the same prefixes; changes are pushed to those in `ready`, which await no answer."""

    view: PrefixView
    sessions: dict[str, SubscriberSession] = field(default_factory=dict)
    ready: dict[str, SubscriberSession] = field(default_factory=dict)
    snapshot: Snapshot | None = None
    snapshot_made_ms: float = -INF


def sorted_prefixes(follow: pb.Follow) -> tuple[str, ...]:
    """Returns a Follow's prefixes, sorted and without duplicates."""
    return tuple(sorted(set(follow.prefixes)))


class SessionRegistry:
    """Holds all sessions by the subscriber's name, oldest last message first, and their audiences."""

    def __init__(self, history: History, settings: Settings):
        """Starts without sessions."""
        self.history = history
        self.settings = settings
        self.sessions: OrderedDict[str, SubscriberSession] = OrderedDict()
        self.audiences: dict[tuple[str, ...], Audience] = {}

    def get(self, name: str) -> SubscriberSession | None:
        """Returns a subscriber's session, None if it has none."""
        return self.sessions.get(name)

    def has_room_for(self, name: str) -> bool:
        """Returns whether a subscriber has a session or there is room for one more."""
        return len(self.sessions) < self.settings.most_sessions or name in self.sessions

    def audience(self, prefixes: tuple[str, ...]) -> Audience | None:
        """Returns the audience of a set of prefixes, None if there are too many others."""
        audience = self.audiences.get(prefixes)
        if audience is None:
            view = self.history.view(prefixes)
            if view is not None:
                audience = self.audiences[prefixes] = Audience(view)
        return audience

    def add(self, session: SubscriberSession) -> None:
        """Adds a new session."""
        self.sessions[session.name] = session
        session.audience.sessions[session.name] = session

    def remove(self, session: SubscriberSession, keep_audience: Audience | None = None) -> bool:
        """Removes a session; returns whether its audience was removed with it, as the last session in it.

        `keep_audience` is not removed even when empty.
        """
        audience = session.audience
        del self.sessions[session.name]
        del audience.sessions[session.name]
        audience.ready.pop(session.name, None)
        if audience.sessions or audience is keep_audience:
            return False
        self.history.drop(audience.view)
        del self.audiences[audience.view.prefixes]
        return True

    def record_message(self, now_ms: float, session: SubscriberSession) -> None:
        """Records the time of a message from a session's subscriber."""
        session.last_message_ms = now_ms
        self.sessions.move_to_end(session.name)

    @property
    def next_expiry_ms(self) -> float:
        """Returns the time at which the next session expires, infinite if there is none."""
        first = next(iter(self.sessions.values()), None)
        return first.last_message_ms + self.settings.expire_ms if first else INF

    def next_expired(self, now_ms: float) -> SubscriberSession | None:
        """Returns a session that has expired, None if there is none."""
        first = next(iter(self.sessions.values()), None)
        if first is None or now_ms < first.last_message_ms + self.settings.expire_ms:
            return None
        return first
