"""State of distribution: key stores, history and views, coverage, records, and validation."""

from unittest.mock import patch

import pytest
from distribution_harness import Harness, entry, messages_of
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution import history as history_module
from lichenquay.distribution import key_store as key_store_module
from lichenquay.distribution.coverage_tracker import CoverageTracker, SessionCoverage
from lichenquay.distribution.history import History
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.messages import digest_of
from lichenquay.distribution.record_log import (
    MAX_REMEMBERED_REQUESTS,
    RequestIndex,
    fold,
    make_record,
    read_record,
)
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.snapshot import Snapshot
from lichenquay.distribution.validation import find_change_error
from lichenquay.fleet.message_envelope import MAX_BODY_BYTES

pytestmark = pytest.mark.together

KEYS = [
    *(f"config/{number}" for number in range(4)),
    *(f"engine/z{number % 2}/{number}" for number in range(4)),
]
CHANGES = st.lists(
    st.tuples(st.integers(1, 3), st.dictionaries(st.sampled_from(KEYS), st.none() | st.binary(max_size=3))),
    max_size=40,
)
PREFIXES = st.sampled_from([("",), ("config/",), ("engine/z0/",), ("config/", "engine/z1/"), ("config/1",)])


def digest_of_all(store, prefixes):
    """Returns the digest of the keys with the prefixes, computed by a pass over all keys."""
    digests = [
        digest_of(key, stored.value, stored.version)
        for key, stored in store.entries.items()
        if key.startswith(prefixes)
    ]
    return sum(digests) % 2**64


@budget(max_examples=60, deadline=None)
@given(CHANGES, PREFIXES, st.integers(2, 12), st.integers(30, 400))
def test_a_delta_of_any_two_versions_leads_to_the_state_and_digest(changes, prefixes, max_changes, max_bytes):
    """Also with merged changes, a trimmed history, and a view made after the changes."""
    history = History(KeyStore(), Settings(most_changes=max_changes))
    states = {0: KeyStore()}
    early_view = history.view(prefixes)
    for version_step, change in changes:
        version = history.store.version + version_step
        history.add(version, [entry(key, value, version) for key, value in change.items()])
        states[version] = history.store.copy()
    late_view = history._make_view(prefixes)
    for view in (early_view, late_view):
        assert view.digest == digest_of_all(history.store, prefixes)
        for version, state in states.items():
            if version < history.base_version:
                assert view.digest_at(version) is None or version >= view.base_version
                continue
            assert view.digest_at(version) == digest_of_all(state, prefixes)
            check_deltas(view, state, prefixes, max_bytes, history.store)


def check_deltas(view, state, prefixes, max_bytes, newest_store):
    """Checks that deltas lead from a state to the newest one, each with the right digest."""
    store = KeyStore()
    store.apply(state.version, state.entries_with(prefixes))
    for _ in range(100):
        content = view.delta(store.version, newest_store.version, max_bytes)
        assert store.digest_after(content.entries) == content.digest
        assert content.version > store.version or content.version == newest_store.version
        store.apply(content.version, content.entries)
        if store.version == newest_store.version:
            break
    expected = {key: stored for key, stored in newest_store.entries.items() if key.startswith(prefixes)}
    assert store.entries == expected


def test_a_subscriber_at_a_version_inside_a_merged_change_gets_the_newer_entries():
    """It may have that version from another source; the digest at that version is not known."""
    history = History(KeyStore(), Settings())
    history.add(1, [entry("config/a", b"1", 1)])
    history.add(5, [entry("config/a", b"3", 3), entry("config/b", b"5", 5)])
    view = history.view(("",))
    assert view.digest_at(3) is None and view.digest_at(1) is not None
    assert [change.key for change in view.delta(4, 5, 900).entries] == ["config/b"]
    assert [change.key for change in view.delta(2, 5, 900).entries] == ["config/a", "config/b"]


def test_history_and_views_are_bounded_in_number_and_bytes():
    """A view holds no more than the history."""
    history = History(KeyStore(), Settings(most_changes=50, most_history_bytes=2000))
    view = history.view(("config/",))
    for version in range(1, 500):
        history.add(version, [entry(f"config/{version % 5}", bytes(version % 90), version)])
        assert len(history._changes) <= 50 and history._bytes <= 2000
        assert len(view._changes) <= len(history._changes) and view.bytes == history._bytes


def test_a_change_costs_no_pass_over_keys_or_sessions():
    """With 10,000 keys and 100 sessions, a change of one key costs two digests and its 20 deltas."""
    harness = Harness()
    for start in range(0, 10_000, 10):
        numbers = range(start, start + 10)
        harness.change({f"engine/z{number % 9}/e{number}": b"up" for number in numbers})
    for number in range(100):
        zone = number % 5
        follow = pb.Follow(session=number + 1, number=1, prefixes=[f"engine/z{zone}/"], version=1000)
        store = harness.source.history.store
        follow.digest = digest_of_all(store, (f"engine/z{zone}/",))
        harness.source.on_message(harness.now_ms, (f"f{number}", 1), pb.Message(follow=follow))
    harness.source.outbox.clear()
    harness.now_ms += 1000
    calls = []
    with (
        patch.object(key_store_module, "digest_of", lambda *a: calls.append(a) or digest_of(*a)),
        patch.object(history_module, "digest_of", lambda *a: calls.append(a) or digest_of(*a)),
    ):
        harness.change({"engine/z3/e3": b"down"})
        assert len(messages_of(harness.source, "delta")) == 20 and len(calls) == 2
        harness.source.tick(harness.now_ms)
        harness.source.coverage(harness.now_ms)
    assert len(calls) == 2


@budget(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 9), st.booleans()), max_size=40))
def test_incremental_coverage_equals_counted_coverage(steps):
    """While sessions are added, changed and removed."""
    tracker = CoverageTracker(Settings())
    sessions = {}
    for name, version, is_removed in steps:
        if name in sessions:
            tracker.remove(sessions.pop(name))
        if not is_removed:
            sessions[name] = SessionCoverage(1, version, version % 2)
            tracker.add(sessions[name])
        coverage = tracker.coverage(7)
        assert coverage.subscribers == len(sessions)
        assert coverage.refused == sum(session.refused for session in sessions.values())
        assert coverage.oldest == min([7, *(session.oldest_version for session in sessions.values())])


def test_coverage_is_bounded_while_one_subscriber_stays_behind():
    """A gateway refuses changes for a long time while the version rises."""
    tracker = CoverageTracker(Settings())
    tracker.add(SessionCoverage(1, 1, 1))
    for version in range(2, 5000):
        tracker.add(SessionCoverage(1, version, 0))
        if version > 2:
            tracker.remove(SessionCoverage(1, version - 1, 0))
        assert len(tracker._versions) < 100 and tracker.oldest_version(version) == 1


@budget(max_examples=40, deadline=None)
@given(CHANGES, st.integers(0, 40))
def test_folding_in_one_step_and_in_two_gives_the_same_state(changes, cut):
    """Voters may fold different parts of the log at different times."""
    records = [
        make_record([entry(key, value, 0) for key, value in change.items()], request)
        for request, (_, change) in enumerate(changes, 1)
    ]
    assert fold(fold(b"", records[:cut]), records[cut:]) == fold(b"", records)


def test_an_unreadable_record_counts_as_a_change_without_entries():
    """So that all voters have the same state."""
    state = pb.State.FromString(fold(b"", [b"\xff\xff", make_record([entry("config/a", b"1", 0)], 9)]))
    assert (state.version, list(state.requests)) == (2, [0, 9])
    assert state.entries[0].version == 2 and not read_record(b"\xff", 1).entries


def test_request_index_is_bounded_and_keeps_versions():
    """Including those of requests from a folded base."""
    requests = RequestIndex(10, [8, 9, 10])
    assert [requests.version_of(request) for request in (7, 8, 10)] == [None, 8, 10]
    for number in range(MAX_REMEMBERED_REQUESTS + 5):
        requests.add(1000 + number, 11 + number)
    assert len(requests._versions) == MAX_REMEMBERED_REQUESTS and requests.version_of(8) is None


LONGEST_KEY = "config/" + "k" * 57


@pytest.mark.parametrize(
    "entries, message",
    [
        ([], "without entries"),
        ([entry("", b"1", 0)], "characters"),
        ([entry(LONGEST_KEY + "k", b"1", 0)], "characters"),
        ([entry("config/\n", b"1", 0)], "not made of"),
        ([entry("config/a\u00e9", b"1", 0)], "not made of"),
        ([entry("config/", b"1", 0)], "unknown kind"),
        ([entry("other/a", b"1", 0)], "unknown kind"),
        ([entry("config/a", bytes(641), 0)], "bytes"),
        ([entry("config/a", bytes(500), 0), entry("config/b", bytes(300), 0)], "a change of"),
        ([entry("config/a", b"1", 0), entry("config/a", b"2", 0)], "twice"),
        ([entry("config/none", None, 0)], "not there"),
        ([pb.Entry(key="config/old", value=b"1", deleted=True)], "yet with a value"),
        ([entry("config/new", b"1", 0)], "no room"),
    ],
)
def test_an_invalid_change_is_refused_with_one_short_line(entries, message):
    """Whatever bytes it holds."""
    store = KeyStore()
    store.apply(1, [entry("config/old", b"1", 1)])
    error = find_change_error(entries, store, Settings(most_keys=1))
    assert message in error
    assert "\n" not in error
    assert len(error) < 160


def test_the_longest_change_is_valid_and_value_checks_are_called():
    """A value may be replaced while the number of keys is at its limit."""
    store = KeyStore()
    store.apply(1, [entry(LONGEST_KEY, b"1", 1)])
    longest = [entry(LONGEST_KEY, bytes(640), 0)]
    assert find_change_error(longest, store, Settings(most_keys=1)) is None
    checks = {"config/": lambda key, value: None if value == b"1" else f"{key}: not 1"}
    assert find_change_error(longest, store, Settings(), checks) == f"{LONGEST_KEY}: not 1"
    full = Settings(most_state_bytes=100)
    assert "no room" in find_change_error(longest, store, full)
    assert find_change_error([entry(LONGEST_KEY, None, 0)], store, full) is None


def test_the_longest_messages_fit_into_the_envelope():
    """At versions and numbers far larger than in any installation."""
    harness = Harness()
    version = 1 << 47
    harness.source.generation = 1 << 62
    small = {f"config/{number}": b"" for number in range(22)}
    for step, change in enumerate(({LONGEST_KEY: bytes(640)}, small, {LONGEST_KEY: None})):
        entries = [entry(key, value, version + step) for key, value in change.items()]
        assert find_change_error(entries, harness.source.history.store, Settings()) is None
        harness.source.advance(harness.now_ms, 1 << 62, version + step, entries, 0.0)
    follow = pb.Follow(session=1 << 63, number=1, prefixes=[""], whole=True)
    for held, wants_snapshot in ((version - 1, False), (version, False), (0, True)):
        follow.version = held
        follow.whole = wants_snapshot
        follow.number += 1
        harness.source.on_message(harness.now_ms, ("f", 1), pb.Message(follow=follow))
    fetch = pb.FetchPages(session=1 << 63, version=harness.source.version, first=0, count=1 << 31)
    harness.source.on_message(harness.now_ms, ("f", 1), pb.Message(fetch=fetch))
    sizes = {message.WhichOneof("kind"): message.ByteSize() for _, message in harness.source.outbox}
    assert max(sizes.values()) <= MAX_BODY_BYTES
    assert {"delta", "offer", "page"} <= set(sizes)


def test_the_longest_subscription_fits_into_the_envelope():
    """A relay's Follow with the largest numbers and the most and longest prefixes that are accepted."""
    harness = Harness()
    gateway = harness.add_subscriber(prefixes=["config/" + f"{n:02}" * 24 for n in range(16)])
    largest = pb.Coverage(subscribers=1 << 20, oldest=1 << 47, refused=1 << 20, stale=1 << 20)
    gateway.make_coverage = lambda: largest
    gateway.generation = 1 << 62
    gateway.state.applied.version = 1 << 47
    gateway.session.follow_number = 1 << 62
    gateway.state.store.version = 1 << 47
    gateway.resync.is_needed = True
    gateway.tick(harness.now_ms + 1000)
    (follow,) = messages_of(gateway, "follow")
    assert 950 < pb.Message(follow=follow).ByteSize() <= MAX_BODY_BYTES
    with pytest.raises(ValueError):
        harness.add_subscriber(prefixes=["config/" + f"{n:02}" * 25 for n in range(16)])


def test_a_snapshot_of_many_keys_is_split_into_pages_that_fit():
    """25,000 engines take at most 1.2 times the bytes of their entries."""
    store = KeyStore()
    store.apply(7, [entry(f"engine/z{n % 12}/node-{n}", b"10.0.0.1:80 4 32", 7) for n in range(25_000)])
    view = History(store, Settings()).view(("",))
    snapshot = Snapshot(view, store, Settings())
    assert max(map(len, snapshot.pages)) <= 960 and snapshot.bytes < 1.2 * store.bytes
    fetched = KeyStore()
    for number in range(len(snapshot.pages)):
        fetched.apply(7, snapshot.page(number).entries)
    assert fetched.digest == store.digest == snapshot.digest
