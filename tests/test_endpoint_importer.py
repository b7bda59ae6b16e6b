"""The endpoint list from discovery to the publisher, in virtual time, and the format of its entries."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lichenquay.admission import domain
from lichenquay.config import lichenquay_pb2 as conf
from lichenquay.config.distributed_values import CHECKS_BY_PREFIX
from lichenquay.config.endpoint_list import COMPLETE_KEY, decode_endpoint, encode_endpoint, endpoint_key
from lichenquay.config.errors import InvalidEndpointError
from lichenquay.control_plane.endpoint_importer import MAX_PENDING_CHANGES, RETRY_DELAY_MS, EndpointImporter
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.validation import find_change_error
from lichenquay.endpoint_record import EndpointRecord


def make_record(uid, state=domain.EndpointState.SERVING, zone="z1", port=80):
    """Returns the record of an engine."""
    return EndpointRecord(uid, f"10.0.0.1:{port}", zone, "std", 2, state, 1.0, 0.0)


class FakePublisher:
    """Accepts every change that passes the check; outcomes follow with `answer`."""

    def __init__(self):
        """Starts with the lease, of generation 1."""
        self.settings = Settings()
        self.speculative_state = KeyStore()
        self.unanswered = []
        self.proposal_count = 0
        self.group = SimpleNamespace(generation=1, holds=lambda now_ms: self.is_held)
        self.is_held = True
        self.is_full = False

    def set_lease(self, generation):
        """Gives the publisher the lease of a generation, or none if it is 0."""
        self.is_held = generation > 0
        self.group.generation = generation

    def propose(self, now_ms, entries, request, on_outcome):
        """Behaves like `Publisher.propose`."""
        error = self._find_error(entries)
        if error is not None:
            on_outcome(now_ms, pb.Proposed(request=request, outcome=pb.Proposed.REFUSED, reason=error))
            return
        self.proposal_count += 1
        self.speculative_state.apply(self.speculative_state.version + 1, entries)
        self.unanswered.append((request, on_outcome))

    def _find_error(self, entries):
        if self.is_full:
            return "no room"
        return find_change_error(entries, self.speculative_state, self.settings, CHECKS_BY_PREFIX)

    def answer(self, now_ms, outcome=pb.Proposed.ACCEPTED):
        """Gives all unanswered changes an outcome."""
        unanswered, self.unanswered = self.unanswered, []
        for request, on_outcome in unanswered:
            on_outcome(now_ms, pb.Proposed(request=request, outcome=outcome, reason="in doubt"))

    def published(self):
        """Returns {uid: state} of the published entries."""
        entries = self.speculative_state.entries.items()
        records = (decode_endpoint(key, value) for key, (value, _) in entries if key != COMPLETE_KEY)
        return {record.uid: record.state for record in records}


class ImporterHarness:
    """An importer and its publisher."""

    def __init__(self):
        """Starts before discovery has answered."""
        self.now_ms = 0.0
        self.warnings = []
        self.publisher = FakePublisher()
        log = SimpleNamespace(warning=lambda event, reason: self.warnings.append(reason))
        self.importer = EndpointImporter(self.publisher, random.Random(1), self.now_ms, log)

    def announce(self, *records, is_whole=False):
        """Announces records as discovery does, and runs until they are published."""
        self.importer.on_endpoints(self.now_ms, is_whole, records)
        self.settle()

    def settle(self, steps=400):
        """Ticks whenever a tick is due; each change is accepted before the next tick."""
        for _ in range(steps):
            if self.importer.due_ms <= self.now_ms:
                self.importer.tick(self.now_ms)
                self.publisher.answer(self.now_ms)
            self.now_ms += 10.0


def test_exactly_the_announced_engines_are_published():
    """Unchanged engines cause no change; removed ones are deleted."""
    harness = ImporterHarness()
    harness.announce(make_record("e1"), make_record("e2"), is_whole=True)
    assert harness.publisher.published() == {
        "e1": domain.EndpointState.SERVING,
        "e2": domain.EndpointState.SERVING,
    }
    harness.announce(make_record("e1", domain.EndpointState.DRAINING), make_record("e2"))
    assert harness.publisher.published() == {
        "e1": domain.EndpointState.DRAINING,
        "e2": domain.EndpointState.SERVING,
    }
    proposal_count = harness.publisher.proposal_count
    harness.announce(make_record("e1", domain.EndpointState.DRAINING), make_record("e2"), is_whole=True)
    assert harness.publisher.proposal_count == proposal_count
    harness.announce(make_record("e1", domain.EndpointState.REMOVED))
    harness.announce(make_record("e3"), is_whole=True)
    assert harness.publisher.published() == {"e3": domain.EndpointState.SERVING}


def test_many_engines_are_published_in_small_changes_with_a_limit_on_pending_ones():
    """Thousands of engines may come at a start; changes by operators must still be accepted in between."""
    harness = ImporterHarness()
    harness.importer.on_endpoints(0.0, True, [make_record(f"e{n:05d}") for n in range(3000)])
    harness.importer.tick(0.0)
    assert (
        len(harness.publisher.unanswered) == MAX_PENDING_CHANGES
        and COMPLETE_KEY not in harness.publisher.speculative_state.entries
    )
    harness.settle(20_000)
    assert COMPLETE_KEY in harness.publisher.speculative_state.entries
    assert len(harness.publisher.published()) == 3000 and harness.publisher.proposal_count < 1000


def test_nothing_is_proposed_before_the_whole_list_is_announced_or_without_the_lease():
    """Otherwise a voter without an announcement would delete all engines."""
    harness = ImporterHarness()
    harness.announce(make_record("e1"), is_whole=True)
    harness.publisher.set_lease(0)
    harness.announce(make_record("e2"))
    assert harness.publisher.published() == {"e1": domain.EndpointState.SERVING}
    harness.publisher.set_lease(3)
    harness.settle()
    assert harness.publisher.published() == {
        "e1": domain.EndpointState.SERVING,
        "e2": domain.EndpointState.SERVING,
    }
    other = ImporterHarness()
    other.publisher.speculative_state = harness.publisher.speculative_state
    other.announce(make_record("e9"))  # Some records, before the whole list.
    assert other.publisher.proposal_count == 0
    other.announce(make_record("e2"), is_whole=True)
    assert other.publisher.published() == {"e2": domain.EndpointState.SERVING}


def test_a_lease_lost_while_a_change_is_pending_omits_no_engine():
    """A change with an unknown outcome is compared again under the next lease."""
    harness = ImporterHarness()
    harness.importer.on_endpoints(0.0, True, [make_record("e1")])
    harness.importer.tick(0.0)
    harness.publisher.set_lease(0)
    harness.publisher.answer(0.0, pb.Proposed.UNKNOWN)
    harness.publisher.speculative_state = KeyStore()  # The change was not committed.
    harness.settle()
    harness.publisher.set_lease(5)
    harness.settle()
    assert harness.publisher.published() == {"e1": domain.EndpointState.SERVING}


def test_a_rejected_change_is_retried_later_and_logged_once():
    """The publisher may have room later; there is a delay between two attempts."""
    harness = ImporterHarness()
    harness.publisher.is_full = True
    harness.announce(make_record("e1"), is_whole=True)
    rejections = harness.importer.counts["refused"]
    assert 1 <= rejections <= 400 * 10.0 / RETRY_DELAY_MS + 1 and harness.warnings == ["no room"]
    harness.publisher.is_full = False
    harness.settle()
    assert harness.publisher.published() == {"e1": domain.EndpointState.SERVING}


def test_an_engine_that_changes_its_zone_has_one_key():
    """The old key is deleted first."""
    harness = ImporterHarness()
    harness.announce(make_record("e1"), make_record("e2"), is_whole=True)
    harness.announce(make_record("e1", zone="z2"))
    assert sorted(harness.publisher.speculative_state.entries) == [
        COMPLETE_KEY,
        "engine/z1/e2",
        "engine/z2/e1",
    ]


def test_an_invalid_record_does_not_affect_the_others():
    """Invalid records are counted, and logged once."""
    harness = ImporterHarness()
    harness.announce(make_record("e 1"), make_record("e2"), make_record("e" * 80), is_whole=True)
    assert harness.publisher.published() == {"e2": domain.EndpointState.SERVING}
    assert harness.importer.counts["invalid"] == 2 and len(harness.warnings) == 1


@pytest.mark.parametrize(
    ("key", "value", "reason"),
    [
        ("engine/z1", b"", "not engine/ZONE/UID"),
        ("engine/z1/a/b", b"", "not engine/ZONE/UID"),
        ("engine/z1/a", b"\xff", "no engine's entry"),
        ("engine/z1/a", conf.ListedEngine(address="here", state=1).SerializeToString(), "no address:port"),
        ("engine/z1/a", conf.ListedEngine(address="h:1").SerializeToString(), "in no known state"),
        (
            "engine/z1/a",
            conf.ListedEngine(address="h:1", state=1, units=float("nan")).SerializeToString(),
            "make no sense",
        ),
    ],
)
def test_an_entry_that_describes_no_engine_is_rejected(key, value, reason):
    """The reason is one line, and the publisher's check gives it too."""
    with pytest.raises(InvalidEndpointError, match=reason):
        decode_endpoint(key, value)
    assert reason in CHECKS_BY_PREFIX["engine/"](key, value)


@given(st.binary(max_size=120))
def test_any_bytes_are_parsed_or_rejected(value):
    """Bytes either describe an engine or raise InvalidEndpointError."""
    try:
        record = decode_endpoint("engine/z/e", value)
    except InvalidEndpointError:
        return
    assert decode_endpoint(endpoint_key(record), encode_endpoint(record)) == record
