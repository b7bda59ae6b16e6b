"""The sessions of a source's subscribers, grouped by the prefixes that they follow."""

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
    """One subscription of one subscriber. It has no queue: what it lacks is built from its view."""

    def __init__(self, name: str, incarnation: int, session_id: int, audience: "Audience"):
        """Begin without an accepted Follow."""
        self.name = name
        self.incarnation = incarnation
        self.session_id = session_id
        self.audience = audience
        self.follow_number = 0
        self.heard_ms = 0.0
        self.version = 0  # Held by the subscriber, by its last Follow.
        self.applied_version = 0  # In force there, as far as it is believed.
        self.coverage: SessionCoverage | None = None
        self.awaits_follow = False  # Whether a delta with entries is unanswered.
        self.deltas_sent = 0
        self.unanswered_deltas = 0  # Consecutive ones.

    def is_of(self, incarnation: int, session_id: int) -> bool:
        """Return whether a message belongs to this session."""
        return (self.session_id, self.incarnation) == (session_id, incarnation)


@dataclass
class Audience:
    """All sessions with the same prefixes; changes are pushed to those that are `ready`."""

    view: PrefixView
    sessions: dict[str, SubscriberSession] = field(default_factory=dict)
    ready: dict[str, SubscriberSession] = field(default_factory=dict)
    snapshot: Snapshot | None = None
    snapshot_made_ms: float = -INF


def sorted_prefixes(follow: pb.Follow) -> tuple[str, ...]:
    """Return a Follow's prefixes, sorted and without duplicates."""
    return tuple(sorted(set(follow.prefixes)))


class SessionRegistry:
    """All sessions by the subscriber's name, longest unheard first, and their audiences."""

    def __init__(self, history: History, settings: Settings):
        """Start without a session."""
        self.history = history
        self.settings = settings
        self.sessions: OrderedDict[str, SubscriberSession] = OrderedDict()
        self.audiences: dict[tuple[str, ...], Audience] = {}

    def get(self, name: str) -> SubscriberSession | None:
        """Return a subscriber's session."""
        return self.sessions.get(name)

    def has_room_for(self, name: str) -> bool:
        """Return whether a subscriber may have a session."""
        return len(self.sessions) < self.settings.most_sessions or name in self.sessions

    def audience(self, prefixes: tuple[str, ...]) -> Audience | None:
        """Return the audience of a set of prefixes, None if there are too many."""
        audience = self.audiences.get(prefixes)
        if audience is None:
            view = self.history.view(prefixes)
            if view is not None:
                audience = self.audiences[prefixes] = Audience(view)
        return audience

    def add(self, session: SubscriberSession) -> None:
        """Add a new session."""
        self.sessions[session.name] = session
        session.audience.sessions[session.name] = session

    def remove(self, session: SubscriberSession, keep_audience: Audience | None = None) -> bool:
        """Remove a session; return whether its audience went with it, unless that is `keep_audience`."""
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
        """Record a message of a session's subscriber."""
        session.heard_ms = now_ms
        self.sessions.move_to_end(session.name)

    @property
    def next_expiry_ms(self) -> float:
        """When the session with the oldest last message expires."""
        first = next(iter(self.sessions.values()), None)
        return first.heard_ms + self.settings.expire_ms if first else INF

    def expired(self, now_ms: float) -> SubscriberSession | None:
        """Return a session that has expired."""
        first = next(iter(self.sessions.values()), None)
        if first is None or now_ms < first.heard_ms + self.settings.expire_ms:
            return None
        return first
