"""Rules of `lichenquay/distribution` broken on purpose, one at a time, to be found by the tests."""

from contextlib import ExitStack, contextmanager
from unittest.mock import patch

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution import pacing
from lichenquay.distribution import publisher as publisher_module
from lichenquay.distribution import record_log as log
from lichenquay.distribution import subscriber as subscriber_module
from lichenquay.distribution.history import View
from lichenquay.distribution.key_store import Store
from lichenquay.distribution.publisher import Publisher
from lichenquay.distribution.snapshot_fetch import Fetch
from lichenquay.distribution.source import Source
from lichenquay.distribution.subscriber import Subscriber

BROKEN = {}


def rule(name, *patches):
    """patches: (class or module, name of what is replaced, maker of the new one from the old)."""

    @contextmanager
    def broken():
        with ExitStack() as stack:
            for owner, what, made in patches:
                stack.enter_context(patch.object(owner, what, made(getattr(owner, what))))
            yield

    BROKEN[name] = broken


def says(value):
    """In place of a method: one that always gives the same."""
    return lambda old: lambda *args, **more: value


def _any_generation(old):
    def current(self, body):
        self.generation = body.generation
        return True

    return current


def _digest_ignored(old):
    def advance(self, now_ms, since, delta):
        fresh = [entry for entry in delta.entries if entry.version > self.version]
        delta.digest = self.held.digest_after(fresh)
        old(self, now_ms, since, delta)

    return advance


def _any_since(old):
    """A gap is not seen, nor a digest that does not fit; as where versions are not compared at all."""

    def advance(self, now_ms, since, delta):
        fresh = list(delta.entries)
        delta.digest = self.held.digest_after(fresh)
        if delta.to != self.version:
            self._take(now_ms, delta.to, fresh)

    return advance


def _by_generation_first(old):
    """(generation, version) compared, so that a later publisher's older state passes for newer."""

    def welcome(self, offer):
        return True

    return welcome


def _swap_at_once(old):
    def swap(self, now_ms, fetch):
        state = fetch.whole()
        self.held, self._want_whole, self._behind_whole = state, False, True
        self._step(now_ms, None)
        self._follow(now_ms)

    return swap


def _half_a_snapshot(old):
    def whole(self):
        self.store.version = self.version
        return self.store

    return whole


def _nearly_complete(old):
    return property(lambda self: self.first >= max(1, self.pages - 1))


def _before_recorded(old):
    def propose(self, now_ms, entries, request, done):
        before = set(self._pending)
        old(self, now_ms, entries, request, done)
        for version in set(self._pending) - before:
            proposal = self._pending[version]
            proposal.done(now_ms, publisher_module._accepted(request, version))
            proposal.done = lambda now_ms, answer: None

    return propose


def _published_before_recorded(old):
    def propose(self, now_ms, entries, request, done):
        before = set(self._pending)
        old(self, now_ms, entries, request, done)
        for version in sorted(set(self._pending) - before):
            proposal = self._pending[version]
            self.source.advance(now_ms, self.group.generation, version, proposal.entries, now_ms)

    return propose


def _no_deletions(old):
    def build(self, at, version, newest, most_bytes):
        part = old(self, at, version, newest, most_bytes)
        return part._replace(entries=[entry for entry in part.entries if not entry.deleted])

    return build


def _first_of_each_key(old):
    def build(self, at, version, newest, most_bytes):
        part, first = old(self, at, version, newest, most_bytes), {}
        for item in self._items[at:]:
            for entry in item.entries:
                if item.version <= part.version:
                    first.setdefault(entry.key, entry)
        return part._replace(entries=list(first.values()))

    return build


def _lease_not_asked(old):
    class Asked:
        """The group, as if the lease never ended by itself."""

        def __init__(self, group):
            self.__dict__["group"] = group

        def __getattr__(self, name):
            return getattr(self.group, name)

        def holds(self, now_ms):
            return self.group.generation > 0

    def heard(self, now_ms, sender, message):
        real, self.group = self.group, Asked(self.group)
        old(self, now_ms, sender, message)
        self.group = real

    return heard


def _from_arrival(old):
    def confirm(self, delta):
        for number in self.link.sent:
            self.link.sent[number] = self.link.heard_ms
        old(self, delta)

    return confirm


def _age_not_added(old):
    def confirm(self, now_ms, generation, newest, age_ms):
        return old(self, now_ms, generation, newest, 0.0)

    return confirm


def _only_the_base(old):
    def load(self):
        base, _ = self.group.state
        state = pb.State.FromString(base)
        self._ahead, self._requests = Store.of_state(state), log.Requests(state.version, state.requests)
        return Store.of_state(state), []

    return load


def _refusal_ignored(old):
    def enforce(self, now_ms):
        self.in_force = self.version

    return enforce


def _in_part(old):
    def put(self, changed, whole):
        some = dict(list(changed.items())[:1]) if len(changed) > 1 and not whole else changed
        old(self, some, whole)

    return put


def _without_pending(old):
    def fault(self, entries, request):
        return self.check(entries, self.source.history.store, self.settings)

    return fault


def _snapshot_not_paced(old):
    def pages(self, now_ms):
        out = []
        while self.wanted:
            name, (snapshot, number, end) = self.wanted.popitem(last=False)
            out.append((name, snapshot.page(number)))
            if number + 1 < end:
                self.wanted[name] = snapshot, number + 1, end
        return out

    return pages


def _no_back_off(old):
    def asks(self, now_ms):
        self._whole_ms, self._attempts = now_ms, 0
        return old(self, now_ms)

    return asks


def _queue_for_all(old):
    """A change is sent to sessions that have not answered the last one."""

    def push(self, now_ms):
        for audience in self._dirty.values():
            audience.ready.update(audience.sessions)
        old(self, now_ms)

    return push


def _versions_by_text(old):
    def advance(self, now_ms, since, delta):
        if str(delta.to) < str(self.version):
            return
        old(self, now_ms, since, delta)

    return advance


rule("no generation check", (Subscriber, "_current", _any_generation))
rule("digest ignored, gap not seen", (Subscriber, "_advance", _any_since))
rule("digest ignored", (Subscriber, "_advance", _digest_ignored), (View, "_build", _no_deletions))
rule("versions compared as text", (Subscriber, "_advance", _versions_by_text))
rule(
    "a snapshot over a newer delta",
    (Subscriber, "_welcome", _by_generation_first),
    (Subscriber, "_swap", _swap_at_once),
)
rule(
    "a snapshot in force before all its pages are there",
    (Fetch, "complete", _nearly_complete),
    (Fetch, "whole", _half_a_snapshot),
)
rule("acknowledged before recorded", (Publisher, "_propose", _before_recorded))
rule("published before recorded", (Publisher, "_propose", _published_before_recorded))
rule("deletions left out of deltas", (View, "_build", _no_deletions))
rule("the first of each key in a merged delta", (View, "_build", _first_of_each_key))
rule("the lease not asked before a message is served", (Publisher, "heard", _lease_not_asked))
rule("age counted from arrival", (Subscriber, "_confirm", _from_arrival))
rule("age not added up over hops", (Source, "confirm", _age_not_added))
rule("records after the base forgotten by the next publisher", (Publisher, "_load", _only_the_base))
rule("requests not known again", (log.Requests, "version_of", says(None)))
rule("in force although the front refused it", (Subscriber, "_enforce", _refusal_ignored))
rule("a change put in force in part", (Subscriber, "_put_in_force", _in_part))
rule("a proposal checked without those under way", (Publisher, "_fault", _without_pending))
rule("snapshots not paced", (pacing.Pacer, "pages", _snapshot_not_paced))
rule("no back-off after a wrong digest", (Subscriber, "_asks_whole", _no_back_off))
rule("pushed without an answer to the last push", (Source, "_push", _queue_for_all))
rule("marks not checked", (subscriber_module, "is_marked", says(True)))
rule("a relay's version believed", (Source, "_credible", says(True)))
