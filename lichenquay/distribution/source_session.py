"""A subscriber's session at one source out of several: when to speak, whom to leave, and for whom. No I/O."""

from collections import OrderedDict

from lichenquay.distribution import distribution_pb2 as pb

MOST_SENT = 16  # Follows whose sending times are known.
INF = float("inf")


class Link:
    """Sources in order of preference, the one that is followed, and the timing of what is said to it."""

    def __init__(self, sources, rng, settings, now_ms):
        """Begins with the first source, a moment by chance after `now_ms`."""
        if not sources:
            raise ValueError("a subscriber needs a source")
        self.sources, self.rng, self.settings = tuple(sources), rng, settings
        self.failovers, self.former = 0, {}  # former: {source: session} that may count us still
        self.connect(now_ms, self.sources[0])

    def connect(self, now_ms, source):
        """A new session at a source."""
        self.source, self.session = source, self.rng.getrandbits(63) + 1
        self.introduced, self.number, self.sent = False, 0, OrderedDict()
        self.connected_ms = self.heard_ms = self.useful_ms = now_ms
        self.spoken_ms, self.wait_until_ms = -INF, now_ms
        self.delay_ms = self.settings.retry_ms
        # Risk: all subscribers of a source that is gone would come to the next one at once.
        self.follow_ms = now_ms + self.rng.uniform(0, self.settings.retry_ms)

    def next_source(self, now_ms):
        """Leaves for the next one."""
        self.failovers += 1
        self.former[self.source] = self.session
        at = self.sources.index(self.source)
        self.connect(now_ms, self.sources[(at + 1) % len(self.sources)])

    def follows_on(self, other):
        """Takes the place of another link."""
        self.failovers = other.failovers
        self.former = {**other.former, other.source: other.session}

    def take_former(self):
        """(source, session) of those that were left, each given once."""
        former, self.former = self.former, {}
        return [(source, session) for source, session in former.items() if source != self.source]

    def redirect(self, now_ms, leader):
        """The source isn't the leader.

        Goes there, at most once in `retry_ms`; to the next one if it is not known.
        """
        if now_ms < self.connected_ms + self.settings.retry_ms:
            self.follow_ms = min(self.follow_ms, self.connected_ms + self.settings.retry_ms)
        elif leader in self.sources and leader != self.source:
            self.connect(now_ms, leader)
            self.follow_ms = now_ms
        else:
            self.next_source(now_ms)

    # What is heard.

    def alive(self, now_ms):
        """The source said something of use."""
        self.heard_ms = self.useful_ms = now_ms
        self.introduced, self.delay_ms = True, self.settings.retry_ms
        self.follow_ms = now_ms + self.settings.report_ms * self.rng.uniform(0.8, 1.0)

    def progress(self, now_ms):
        """A page came. Follows go on as before: a session that is not heard expires."""
        self.heard_ms = self.useful_ms = now_ms

    def wait(self, now_ms, wait_ms):
        """The source is there, but has nothing for us now."""
        self.heard_ms = now_ms
        self.wait_until_ms = now_ms + min(wait_ms, self.settings.expire_ms)
        self.follow_ms, self.delay_ms = self.wait_until_ms, self.settings.retry_ms

    def unknown(self, now_ms):
        """The source does not know the session: it is told anew what is wanted."""
        self.introduced = False
        self.speak_soon(now_ms)

    def speak_soon(self, now_ms):
        """A Follow out of turn, no more than one in `retry_ms`."""
        soon = max(now_ms, self.spoken_ms + self.settings.retry_ms)
        self.follow_ms = min(self.follow_ms, soon)

    # What is said.

    def spoken(self, now_ms):
        """The number of a Follow that is sent now; unanswered, another one follows."""
        self.number += 1
        self.sent[self.number] = self.spoken_ms = now_ms
        if len(self.sent) > MOST_SENT:
            self.sent.popitem(last=False)
        self.follow_ms = now_ms + self.delay_ms
        self.delay_ms = min(self.settings.report_ms, 2 * self.delay_ms)
        return self.number

    @property
    def leave_ms(self):
        """When the source is left: silent for too long, or of no use while there are others."""
        silent = max(self.heard_ms, self.wait_until_ms) + self.settings.silent_ms
        useless = self.useful_ms + self.settings.stale_ms if len(self.sources) > 1 else INF
        return min(silent, useless)

    def follow(self, now_ms, prefixes):
        """A Follow with session and number; the rest is the subscriber's."""
        shown = () if self.introduced else prefixes
        return pb.Follow(session=self.session, prefixes=shown, number=self.spoken(now_ms))
