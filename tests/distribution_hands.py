"""Single parts in hand, without a network: a source that is fed by a test, and subscribers that hear it."""

from random import Random

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import marked
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.source import Source
from lichenquay.distribution.subscriber import Subscriber

GENERATION = 3


def entry(key, value, version):
    """An entry as it is published; value None: deleted."""
    return pb.Entry(key=key, value=value or b"", deleted=value is None, version=version)


class Hands:
    """A source `s` and subscribers, whose messages a test carries at a time of its own."""

    def __init__(self, settings=None, **names):
        """Nobody subscribes yet."""
        self.settings, self.now_ms = settings or Settings(), 1000.0
        self.source = Source("s", Random(1), self.settings, self.now_ms)
        self.source.confirm(self.now_ms, GENERATION, 0, 0.0)
        self.subscribers, self.applied, self.lines, self.fault = {}, [], [], None

    def subscriber(self, name="f", prefixes=("",), sources=("s",)):
        """One more subscriber."""
        made = Subscriber(
            name,
            sources,
            prefixes,
            Random(name),
            self.settings,
            self.now_ms,
            self._apply,
            lambda now_ms, line: self.lines.append(line),
        )
        self.subscribers[name] = made
        return made

    def _apply(self, now_ms, changed, whole):
        if self.fault is None:
            self.applied.append((dict(changed), whole))
        return self.fault

    def change(self, changes, version=None):
        """The source takes a change."""
        version = version or self.source.version + 1
        entries = [entry(key, value, version) for key, value in changes.items()]
        self.source.advance(self.now_ms, GENERATION, version, entries, self.now_ms)
        return version

    def carry(self, meddle=None):
        """All that is said goes over; meddle(message) may change or drop one. Gives how many went."""
        went = 0
        for subscriber in self.subscribers.values():
            went += self._over(subscriber, subscriber.name, meddle)
        return went + self._over(self.source, "s", meddle)

    def _over(self, part, name, meddle):
        said, part.outbox[:] = list(part.outbox), []
        for to, message in said:
            message = pb.Message.FromString(message.SerializeToString())
            message = meddle(message) if meddle else message
            target = self.source if to == "s" else self.subscribers.get(to)
            if message is not None and target is not None:
                target.heard(self.now_ms, (name, 1), message)
        return len(said)

    def run(self, ms, meddle=None, step_ms=10.0):
        """Time goes on, with ticks and messages."""
        until = self.now_ms + ms
        while self.now_ms < until:
            self.now_ms += step_ms
            for part in (self.source, *self.subscribers.values()):
                if self.now_ms >= part.due_ms:
                    part.tick(self.now_ms)
            for _ in range(20):
                if not self.carry(meddle):
                    break


def said(part, kind):
    """The messages of one kind in an outbox."""
    return [getattr(m, kind) for _, m in part.outbox if m.WhichOneof("kind") == kind]


def delta(session, since, to, entries, digest, prefixes=("",), **more):
    """A delta as a source would make it, marked."""
    fields = {"from": since, "to": to, "newest": to, "generation": GENERATION, "follow": 1, **more}
    made = pb.Delta(session=session, entries=entries, digest=digest, **fields)
    return pb.Message(delta=marked(made, prefixes))
