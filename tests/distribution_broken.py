"""Rules of `lichenquay/distribution` broken on purpose, one at a time, to be found by the tests."""

from contextlib import ExitStack, contextmanager
from unittest.mock import patch

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution import publisher as publisher_module
from lichenquay.distribution import subscriber as subscriber_module
from lichenquay.distribution.applied_state import AppliedState
from lichenquay.distribution.delta_sender import DeltaSender
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.pacing import PageToSend, SnapshotPacer
from lichenquay.distribution.prefix_view import PrefixView
from lichenquay.distribution.publisher import Publisher
from lichenquay.distribution.record_log import RequestIndex
from lichenquay.distribution.replicated_state import ReplicatedState
from lichenquay.distribution.snapshot_fetch import SnapshotFetch
from lichenquay.distribution.source import Source
from lichenquay.distribution.subscriber import Subscriber

BROKEN = {}


def rule(name, *patches):
    """Adds a broken rule.

    `patches`: (class or module, name of what is replaced, function that makes the new one from the old).
    """

    @contextmanager
    def broken():
        with ExitStack() as stack:
            for owner, attribute, make_new in patches:
                stack.enter_context(patch.object(owner, attribute, make_new(getattr(owner, attribute))))
            yield

    BROKEN[name] = broken


def always(value):
    """In place of a method: one that always returns the same."""
    return lambda old: lambda *args, **more: value


def _any_generation(old):
    def is_current(self, body):
        self.generation = body.generation
        return True

    return is_current


def _digest_ignored(old):
    def apply_delta(self, now_ms, delta):
        fresh = [entry for entry in delta.entries if entry.version > self.store.version]
        delta.digest = self.store.digest_after(fresh)
        return old(self, now_ms, delta)

    return apply_delta


def _any_since(old):
    """A gap is not seen, nor a digest that does not match; as if versions were not compared at all."""

    def apply_delta(self, now_ms, delta):
        entries = list(delta.entries)
        delta.digest = self.store.digest_after(entries)
        if delta.to == self.store.version:
            return None
        self.advance(now_ms, delta.to, entries)
        return entries

    return apply_delta


def _any_offer(old):
    """As if (generation, version) were compared, so that a later publisher's older state passes for newer."""

    def is_wanted(self, offer):
        return True

    return is_wanted


def _install_at_once(old):
    def install_snapshot(self, now_ms, fetch):
        self._replace_state(now_ms, fetch.result())

    return install_snapshot


def _half_a_snapshot(old):
    def result(self):
        self.store.version = self.version
        return self.store

    return result


def _nearly_complete(old):
    return property(lambda self: self.first_missing >= max(1, self.page_count - 1))


def _before_recorded(old):
    def propose(self, now_ms, entries, request, on_outcome):
        before = set(self._pending)
        old(self, now_ms, entries, request, on_outcome)
        for version in set(self._pending) - before:
            proposal = self._pending[version]
            proposal.on_outcome(now_ms, publisher_module._accepted(request, version))
            proposal.on_outcome = lambda now_ms, answer: None

    return propose


def _published_before_recorded(old):
    def propose(self, now_ms, entries, request, on_outcome):
        before = set(self._pending)
        old(self, now_ms, entries, request, on_outcome)
        for version in sorted(set(self._pending) - before):
            proposal = self._pending[version]
            self.source.advance(now_ms, self.group.generation, version, proposal.entries, now_ms)

    return propose


def _no_deletions(old):
    def build(self, index, version, newest_version, max_bytes):
        content = old(self, index, version, newest_version, max_bytes)
        return content._replace(entries=[entry for entry in content.entries if not entry.deleted])

    return build


def _first_of_each_key(old):
    def build(self, index, version, newest_version, max_bytes):
        content = old(self, index, version, newest_version, max_bytes)
        first = {}
        for change in self._changes[index:]:
            for entry in change.entries:
                if change.version <= content.version:
                    first.setdefault(entry.key, entry)
        return content._replace(entries=list(first.values()))

    return build


def _lease_not_asked(old):
    class EndlessLease:
        """The group, as if the lease never ended by itself."""

        def __init__(self, group):
            self.__dict__["group"] = group

        def __getattr__(self, name):
            return getattr(self.group, name)

        def holds(self, now_ms):
            return self.group.generation > 0

    def on_message(self, now_ms, sender, message):
        group = self.group
        self.group = EndlessLease(group)
        old(self, now_ms, sender, message)
        self.group = group

    return on_message


def _from_arrival(old):
    def record_freshness(self, delta):
        for number in self.session.sent_ms:
            self.session.sent_ms[number] = self.session.last_message_ms
        old(self, delta)

    return record_freshness


def _age_not_added(old):
    def confirm(self, now_ms, generation, newest_version, age_ms):
        return old(self, now_ms, generation, newest_version, 0.0)

    return confirm


def _only_the_base(old):
    def load(self):
        base, _ = self.group.state
        state = pb.State.FromString(base)
        self._speculative_state = KeyStore.from_state(state)
        self._requests = RequestIndex(state.version, state.requests)
        return KeyStore.from_state(state), []

    return load


def _refusal_ignored(old):
    def apply_pending(self, now_ms, store):
        self.version = store.version

    return apply_pending


def _in_part(old):
    def set_values(self, changed, is_whole):
        in_part = dict(list(changed.items())[:1]) if len(changed) > 1 and not is_whole else changed
        old(self, in_part, is_whole)

    return set_values


def _without_pending(old):
    def find_error(self, entries, request):
        return self.check(entries, self.source.history.store, self.settings)

    return find_error


def _snapshot_not_paced(old):
    def take_pages(self, now_ms):
        pages = []
        while self.requests:
            name, request = self.requests.popitem(last=False)
            pages.append(PageToSend(name, request.snapshot.page(request.next_page)))
            if request.next_page + 1 < request.end:
                self.requests[name] = request._replace(next_page=request.next_page + 1)
        return pages

    return take_pages


def _no_back_off(old):
    def wants_snapshot(self, now_ms):
        self.resync.not_before_ms = now_ms
        self.resync.attempts = 0
        return old(self, now_ms)

    return wants_snapshot


def _pushed_to_all(old):
    """A change is sent to sessions that have not answered the last one."""

    def push(self, now_ms):
        for audience in self._changed.values():
            audience.ready.update(audience.sessions)
        old(self, now_ms)

    return push


def _versions_by_text(old):
    def apply_delta(self, now_ms, delta):
        if str(delta.to) < str(self.store.version):
            return None
        return old(self, now_ms, delta)

    return apply_delta


rule("no generation check", (Subscriber, "_check_and_record_generation", _any_generation))
rule("digest ignored, gap not seen", (ReplicatedState, "apply_delta", _any_since))
rule(
    "digest ignored", (ReplicatedState, "apply_delta", _digest_ignored), (PrefixView, "_build", _no_deletions)
)
rule("versions compared as text", (ReplicatedState, "apply_delta", _versions_by_text))
rule(
    "a snapshot over a newer delta",
    (Subscriber, "_is_wanted", _any_offer),
    (Subscriber, "_install_snapshot", _install_at_once),
)
rule(
    "a snapshot in force before all its pages are there",
    (SnapshotFetch, "is_complete", _nearly_complete),
    (SnapshotFetch, "result", _half_a_snapshot),
)
rule("acknowledged before recorded", (Publisher, "_propose", _before_recorded))
rule("published before recorded", (Publisher, "_propose", _published_before_recorded))
rule("deletions left out of deltas", (PrefixView, "_build", _no_deletions))
rule("the first of each key in a merged delta", (PrefixView, "_build", _first_of_each_key))
rule("the lease not asked before a message is served", (Publisher, "on_message", _lease_not_asked))
rule("age counted from arrival", (Subscriber, "_record_freshness", _from_arrival))
rule("age not added up over hops", (Source, "confirm", _age_not_added))
rule(
    "records after the base forgotten by the next publisher", (Publisher, "_load_group_state", _only_the_base)
)
rule("requests not known again", (RequestIndex, "version_of", always(None)))
rule("in force although the gateway refused it", (AppliedState, "apply_pending", _refusal_ignored))
rule("a change put in force in part", (AppliedState, "_set_values", _in_part))
rule("a proposal checked without those under way", (Publisher, "_find_error", _without_pending))
rule("snapshots not paced", (SnapshotPacer, "take_pages", _snapshot_not_paced))
rule("no back-off after a wrong digest", (Subscriber, "_begin_snapshot_request", _no_back_off))
rule("pushed without an answer to the last push", (DeltaSender, "push", _pushed_to_all))
rule("marks not checked", (subscriber_module, "has_valid_checksum", always(True)))
rule("a relay's version believed", (Source, "_check_reported_digest", always(True)))
