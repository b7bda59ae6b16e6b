"""Mutants of `lichenquay/distribution`: each breaks one rule, and the tests have to detect it."""

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

MUTANTS = {}


def add_mutant(name, *patches):
    """Registers a mutant.

    `patches`: (class or module, name of the patched attribute, function from the old to the new attribute).
    """

    @contextmanager
    def apply_mutant():
        with ExitStack() as stack:
            for owner, attribute, make_new in patches:
                stack.enter_context(patch.object(owner, attribute, make_new(getattr(owner, attribute))))
            yield

    MUTANTS[name] = apply_mutant


def always(value):
    """Returns a patch that makes a method always return the same value."""
    return lambda old: lambda *args, **kwargs: value


def _accept_any_generation(old):
    def check_and_record_generation(self, body):
        self.generation = body.generation
        return True

    return check_and_record_generation


def _ignore_digest(old):
    def apply_delta(self, now_ms, delta):
        newer_entries = [entry for entry in delta.entries if entry.version > self.store.version]
        delta.digest = self.store.digest_after(newer_entries)
        return old(self, now_ms, delta)

    return apply_delta


def _ignore_digest_and_gap(old):
    """Returns an `apply_delta` that compares neither versions nor digests."""

    def apply_delta(self, now_ms, delta):
        entries = list(delta.entries)
        delta.digest = self.store.digest_after(entries)
        if delta.to == self.store.version:
            return None
        self.advance(now_ms, delta.to, entries)
        return entries

    return apply_delta


def _accept_any_offer(old):
    """Returns an `_is_wanted` that accepts older states.

    That is the fault of comparing (generation, version): a later publisher's older state passes for newer.
    """

    def is_wanted(self, offer):
        return True

    return is_wanted


def _install_without_check(old):
    def install_snapshot(self, now_ms, fetch):
        self._replace_state(now_ms, fetch.result())

    return install_snapshot


def _return_without_digest_check(old):
    def result(self):
        self.store.version = self.version
        return self.store

    return result


def _complete_one_page_early(old):
    return property(lambda self: self.first_missing >= max(1, self.page_count - 1))


def _answer_before_commit(old):
    def propose(self, now_ms, entries, request, on_outcome):
        before = set(self._pending)
        old(self, now_ms, entries, request, on_outcome)
        for version in set(self._pending) - before:
            proposal = self._pending[version]
            proposal.on_outcome(now_ms, publisher_module._accepted(request, version))
            proposal.on_outcome = lambda now_ms, answer: None

    return propose


def _publish_before_commit(old):
    def propose(self, now_ms, entries, request, on_outcome):
        before = set(self._pending)
        old(self, now_ms, entries, request, on_outcome)
        for version in sorted(set(self._pending) - before):
            proposal = self._pending[version]
            self.source.advance(now_ms, self.group.generation, version, proposal.entries, now_ms)

    return propose


def _omit_deletions(old):
    def build(self, index, version, newest_version, max_bytes):
        content = old(self, index, version, newest_version, max_bytes)
        return content._replace(entries=[entry for entry in content.entries if not entry.deleted])

    return build


def _keep_first_entry(old):
    def build(self, index, version, newest_version, max_bytes):
        content = old(self, index, version, newest_version, max_bytes)
        first = {}
        for change in self._changes[index:]:
            for entry in change.entries:
                if change.version <= content.version:
                    first.setdefault(entry.key, entry)
        return content._replace(entries=list(first.values()))

    return build


def _ignore_lease_end(old):
    class EndlessLease:
        """A lease group whose lease never expires."""

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


def _count_age_from_arrival(old):
    def record_freshness(self, delta):
        for number in self.session.sent_ms:
            self.session.sent_ms[number] = self.session.last_message_ms
        old(self, delta)

    return record_freshness


def _ignore_reported_age(old):
    def confirm(self, now_ms, generation, newest_version, age_ms):
        return old(self, now_ms, generation, newest_version, 0.0)

    return confirm


def _load_only_the_base(old):
    def load_group_state(self):
        base, _ = self.group.state
        state = pb.State.FromString(base)
        self._speculative_state = KeyStore.from_state(state)
        self._requests = RequestIndex(state.version, state.requests)
        return KeyStore.from_state(state), []

    return load_group_state


def _ignore_refusal(old):
    def apply_pending(self, now_ms, store):
        self.version = store.version

    return apply_pending


def _apply_in_part(old):
    def set_values(self, changed, is_whole):
        in_part = dict(list(changed.items())[:1]) if len(changed) > 1 and not is_whole else changed
        old(self, in_part, is_whole)

    return set_values


def _check_without_pending(old):
    def find_error(self, entries, request):
        return self.check(entries, self.source.history.store, self.settings)

    return find_error


def _ignore_pacing(old):
    def take_pages(self, now_ms):
        pages = []
        while self.requests:
            name, request = self.requests.popitem(last=False)
            pages.append(PageToSend(name, request.snapshot.page(request.next_page)))
            if request.next_page + 1 < request.end:
                self.requests[name] = request._replace(next_page=request.next_page + 1)
        return pages

    return take_pages


def _reset_backoff(old):
    def begin_snapshot_request(self, now_ms):
        self.resync.not_before_ms = now_ms
        self.resync.attempts = 0
        return old(self, now_ms)

    return begin_snapshot_request


def _push_to_all(old):
    """Returns a `push` that sends a change to sessions that have not answered the last one."""

    def push(self, now_ms):
        for audience in self._changed.values():
            audience.ready.update(audience.sessions)
        old(self, now_ms)

    return push


def _compare_versions_as_text(old):
    def apply_delta(self, now_ms, delta):
        if str(delta.to) < str(self.store.version):
            return None
        return old(self, now_ms, delta)

    return apply_delta


add_mutant("no generation check", (Subscriber, "_check_and_record_generation", _accept_any_generation))
add_mutant("digest and version gap not checked", (ReplicatedState, "apply_delta", _ignore_digest_and_gap))
add_mutant(
    "digest not checked",
    (ReplicatedState, "apply_delta", _ignore_digest),
    (PrefixView, "_build", _omit_deletions),
)
add_mutant("versions compared as text", (ReplicatedState, "apply_delta", _compare_versions_as_text))
add_mutant(
    "older snapshot replaces newer state",
    (Subscriber, "_is_wanted", _accept_any_offer),
    (Subscriber, "_install_snapshot", _install_without_check),
)
add_mutant(
    "incomplete snapshot applied",
    (SnapshotFetch, "is_complete", _complete_one_page_early),
    (SnapshotFetch, "result", _return_without_digest_check),
)
add_mutant("accepted before committed", (Publisher, "_propose", _answer_before_commit))
add_mutant("published before committed", (Publisher, "_propose", _publish_before_commit))
add_mutant("deletions missing from deltas", (PrefixView, "_build", _omit_deletions))
add_mutant("merged delta holds the first entry of each key", (PrefixView, "_build", _keep_first_entry))
add_mutant("lease not checked before a message is served", (Publisher, "on_message", _ignore_lease_end))
add_mutant(
    "age counted from the arrival of the delta", (Subscriber, "_record_freshness", _count_age_from_arrival)
)
add_mutant("age not accumulated over relays", (Source, "confirm", _ignore_reported_age))
add_mutant(
    "records after the base lost by the next publisher",
    (Publisher, "_load_group_state", _load_only_the_base),
)
add_mutant("repeated requests not deduplicated", (RequestIndex, "version_of", always(None)))
add_mutant("refused change counted as applied", (AppliedState, "apply_pending", _ignore_refusal))
add_mutant("change applied in part", (AppliedState, "_set_values", _apply_in_part))
add_mutant("proposal checked without the pending ones", (Publisher, "_find_error", _check_without_pending))
add_mutant("snapshots not paced", (SnapshotPacer, "take_pages", _ignore_pacing))
add_mutant("no backoff after a digest mismatch", (Subscriber, "_begin_snapshot_request", _reset_backoff))
add_mutant("pushed while a delta is unanswered", (DeltaSender, "push", _push_to_all))
add_mutant("checksums not checked", (subscriber_module, "has_valid_checksum", always(True)))
add_mutant(
    "reported version not checked against its digest", (Source, "_check_reported_digest", always(True))
)
