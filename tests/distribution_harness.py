"""A source and its subscribers without a network: a test makes changes and delivers the messages."""

from random import Random

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import set_checksum
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.source import Source
from lichenquay.distribution.subscriber import Subscriber

GENERATION = 3
SOURCE = "s"
START_MS = 1000.0
STEP_MS = 10.0
MAX_ROUNDS = 20  # Of deliveries within one time step.


def entry(key, value, version):
    """Returns an entry as the publisher makes it; with value None it deletes the key."""
    return pb.Entry(key=key, value=value or b"", deleted=value is None, version=version)


class Harness:
    """Connects the source `s` with subscribers.

    A test's `intercept(message)` returns the message to deliver in place of one, None to drop it.
    """

    def __init__(self, settings=None):
        """Starts without a subscriber."""
        self.settings = settings or Settings()
        self.now_ms = START_MS
        self.source = Source(SOURCE, Random(1), self.settings, self.now_ms)
        self.source.confirm(self.now_ms, GENERATION, 0, 0.0)
        self.subscribers = {}
        self.applied = []
        self.reports = []
        self.refusal = None  # The answer of every subscriber's host to a change; None: applied.

    def add_subscriber(self, name="f", prefixes=("",), sources=(SOURCE,)):
        """Adds a subscriber and returns it."""
        subscriber = Subscriber(
            name,
            sources,
            prefixes,
            Random(name),
            self.settings,
            self.now_ms,
            self._apply,
            lambda now_ms, line: self.reports.append(line),
        )
        self.subscribers[name] = subscriber
        return subscriber

    def _apply(self, now_ms, changed, is_whole):
        if self.refusal is None:
            self.applied.append((dict(changed), is_whole))
        return self.refusal

    def change(self, changes, version=None):
        """Applies a change {key: value or None} at the source and returns its version."""
        version = version or self.source.version + 1
        entries = [entry(key, value, version) for key, value in changes.items()]
        self.source.advance(self.now_ms, GENERATION, version, entries, self.now_ms)
        return version

    def deliver(self, intercept=None):
        """Delivers all messages of all outboxes and returns their number."""
        delivered = 0
        for subscriber in self.subscribers.values():
            delivered += self._deliver_from(subscriber, subscriber.name, intercept)
        return delivered + self._deliver_from(self.source, SOURCE, intercept)

    def _deliver_from(self, component, name, intercept):
        messages = list(component.outbox)
        component.outbox.clear()
        for receiver, original in messages:
            message = pb.Message.FromString(original.SerializeToString())
            message = intercept(message) if intercept else message
            target = self.source if receiver == SOURCE else self.subscribers.get(receiver)
            if message is not None and target is not None:
                target.on_message(self.now_ms, (name, 1), message)
        return len(messages)

    def run(self, duration_ms, intercept=None, step_ms=STEP_MS):
        """Advances the time in steps, with ticks and deliveries in each."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += step_ms
            for component in (self.source, *self.subscribers.values()):
                if self.now_ms >= component.due_ms:
                    component.tick(self.now_ms)
            for _ in range(MAX_ROUNDS):
                if not self.deliver(intercept):
                    break


def messages_of(component, kind):
    """Returns the bodies of the messages of one kind in an outbox."""
    return [getattr(message, kind) for _, message in component.outbox if message.WhichOneof("kind") == kind]


def delta(session, from_version, to_version, entries, digest, prefixes=("",), **overrides):
    """Returns a delta message as a source makes it, with its checksum."""
    fields = {
        "from": from_version,
        "to": to_version,
        "newest": to_version,
        "generation": GENERATION,
        "follow": 1,
        **overrides,
    }
    body = pb.Delta(session=session, entries=entries, digest=digest, **fields)
    return pb.Message(delta=set_checksum(body, prefixes))
