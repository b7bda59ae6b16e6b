"""The endpoint list on its way from discovery to the publisher, in virtual time; and its entries."""

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
    """An engine."""
    return EndpointRecord(uid, f"10.0.0.1:{port}", zone, "std", 2, state, 1.0, 0.0)


class StandInPublisher:
    """Accepts every change that passes the check; outcomes follow with `answer`."""

    def __init__(self):
        """Holds the lease, of generation 1."""
        self.settings = Settings()
        self.speculative_state = KeyStore()
        self.waiting = []
        self.proposed = 0
        self.group = SimpleNamespace(generation=1, holds=lambda now_ms: self.is_held)
        self.is_held = True
        self.is_full = False

    def set_lease(self, generation):
        """Holds the lease of a generation, or none where it is 0."""
        self.is_held = generation > 0
        self.group.generation = generation

    def propose(self, now_ms, entries, request, on_outcome):
        """Like `Publisher.propose`."""
        error = self._find_error(entries)
        if error is not None:
            on_outcome(now_ms, pb.Proposed(request=request, outcome=pb.Proposed.REFUSED, reason=error))
            return
        self.proposed += 1
        self.speculative_state.apply(self.speculative_state.version + 1, entries)
        self.waiting.append((request, on_outcome))

    def _find_error(self, entries):
        if self.is_full:
            return "no room"
        return find_change_error(entries, self.speculative_state, self.settings, CHECKS_BY_PREFIX)

    def answer(self, now_ms, outcome=pb.Proposed.ACCEPTED):
        """Gives all pending changes an outcome."""
        waiting, self.waiting = self.waiting, []
        for request, on_outcome in waiting:
            on_outcome(now_ms, pb.Proposed(request=request, outcome=outcome, reason="in doubt"))

    def published(self):
        """{uid: state} by the entries."""
        entries = self.speculative_state.entries.items()
        records = (decode_endpoint(key, value) for key, (value, _) in entries if key != COMPLETE_KEY)
        return {record.uid: record.state for record in records}


class World:
    """One importer and its publisher."""

    def __init__(self):
        """Discovery has not answered yet."""
        self.now = 0.0
        self.warnings = []
        self.publisher = StandInPublisher()
        log = SimpleNamespace(warning=lambda event, reason: self.warnings.append(reason))
        self.importer = EndpointImporter(self.publisher, random.Random(1), self.now, log)

    def announce(self, *records, is_whole=False):
        """What discovery announces, and all that follows."""
        self.importer.on_endpoints(self.now, is_whole, records)
        self.settle()

    def settle(self, steps=400):
        """Ticks whenever one is due; each change is accepted before the next tick."""
        for _ in range(steps):
            if self.importer.due_ms <= self.now:
                self.importer.tick(self.now)
                self.publisher.answer(self.now)
            self.now += 10.0


def test_what_is_announced_is_published_and_no_more():
    """Unchanged engines cause no change; removed ones are deleted."""
    world = World()
    world.announce(make_record("e1"), make_record("e2"), is_whole=True)
    assert world.publisher.published() == {
        "e1": domain.EndpointState.SERVING,
        "e2": domain.EndpointState.SERVING,
    }
    world.announce(make_record("e1", domain.EndpointState.DRAINING), make_record("e2"))
    assert world.publisher.published() == {
        "e1": domain.EndpointState.DRAINING,
        "e2": domain.EndpointState.SERVING,
    }
    proposed = world.publisher.proposed
    world.announce(make_record("e1", domain.EndpointState.DRAINING), make_record("e2"), is_whole=True)
    assert world.publisher.proposed == proposed
    world.announce(make_record("e1", domain.EndpointState.REMOVED))
    world.announce(make_record("e3"), is_whole=True)
    assert world.publisher.published() == {"e3": domain.EndpointState.SERVING}


def test_many_engines_go_in_changes_that_fit_and_not_all_at_once():
    """Thousands at a start; operators' own changes find room between them."""
    world = World()
    world.importer.on_endpoints(0.0, True, [make_record(f"e{n:05d}") for n in range(3000)])
    world.importer.tick(0.0)
    assert (
        len(world.publisher.waiting) == MAX_PENDING_CHANGES
        and COMPLETE_KEY not in world.publisher.speculative_state.entries
    )
    world.settle(20_000)
    assert COMPLETE_KEY in world.publisher.speculative_state.entries
    assert len(world.publisher.published()) == 3000 and world.publisher.proposed < 1000


def test_nothing_is_proposed_before_the_whole_list_is_announced_or_without_the_lease():
    """Otherwise a voter without an announcement would delete all engines."""
    world = World()
    world.announce(make_record("e1"), is_whole=True)
    world.publisher.set_lease(0)
    world.announce(make_record("e2"))
    assert world.publisher.published() == {"e1": domain.EndpointState.SERVING}
    world.publisher.set_lease(3)
    world.settle()
    assert world.publisher.published() == {
        "e1": domain.EndpointState.SERVING,
        "e2": domain.EndpointState.SERVING,
    }
    other = World()
    other.publisher.speculative_state = world.publisher.speculative_state
    other.announce(make_record("e9"))  # Some records, before the whole list.
    assert other.publisher.proposed == 0
    other.announce(make_record("e2"), is_whole=True)
    assert other.publisher.published() == {"e2": domain.EndpointState.SERVING}


def test_a_lost_lease_in_the_middle_leaves_nothing_out():
    """What was in doubt is compared again under the next lease."""
    world = World()
    world.importer.on_endpoints(0.0, True, [make_record("e1")])
    world.importer.tick(0.0)
    world.publisher.set_lease(0)
    world.publisher.answer(0.0, pb.Proposed.UNKNOWN)
    world.publisher.speculative_state = KeyStore()  # The change was not committed.
    world.settle()
    world.publisher.set_lease(5)
    world.settle()
    assert world.publisher.published() == {"e1": domain.EndpointState.SERVING}


def test_a_refusal_is_retried_later_and_logged_once():
    """The publisher may have room later; until then there is a delay between two attempts."""
    world = World()
    world.publisher.is_full = True
    world.announce(make_record("e1"), is_whole=True)
    tries = world.importer.counts["refused"]
    assert 1 <= tries <= 400 * 10.0 / RETRY_DELAY_MS + 1 and world.warnings == ["no room"]
    world.publisher.is_full = False
    world.settle()
    assert world.publisher.published() == {"e1": domain.EndpointState.SERVING}


def test_an_engine_in_another_zone_has_one_key():
    """The old one goes first."""
    world = World()
    world.announce(make_record("e1"), make_record("e2"), is_whole=True)
    world.announce(make_record("e1", zone="z2"))
    assert sorted(world.publisher.speculative_state.entries) == [COMPLETE_KEY, "engine/z1/e2", "engine/z2/e1"]


def test_an_invalid_record_leaves_the_others():
    """It is counted, and logged once."""
    world = World()
    world.announce(make_record("e 1"), make_record("e2"), make_record("e" * 80), is_whole=True)
    assert world.publisher.published() == {"e2": domain.EndpointState.SERVING}
    assert world.importer.counts["invalid"] == 2 and len(world.warnings) == 1


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
def test_an_entry_that_names_no_engine_is_refused(key, value, reason):
    """In one line; by the publisher's check too."""
    with pytest.raises(InvalidEndpointError, match=reason):
        decode_endpoint(key, value)
    assert reason in CHECKS_BY_PREFIX["engine/"](key, value)


@given(st.binary(max_size=120))
def test_no_bytes_break_the_reader(value):
    """They name an engine or are refused."""
    try:
        record = decode_endpoint("engine/z/e", value)
    except InvalidEndpointError:
        return
    assert decode_endpoint(endpoint_key(record), encode_endpoint(record)) == record
