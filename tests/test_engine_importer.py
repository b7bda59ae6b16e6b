"""The list of engines on its way from discovery to the publisher, in virtual time; and its entries."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lichenquay.admission import domain
from lichenquay.config import lichenquay_pb2 as conf
from lichenquay.config.distributed_values import CHECKS_BY_PREFIX
from lichenquay.config.endpoint_list import COMPLETE_KEY, key_of, record_of, value_of
from lichenquay.config.errors import InvalidEndpointError
from lichenquay.control_plane.endpoint_importer import MOST_UNDER_WAY, RETRY_MS, EngineImporter
from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.validation import find_change_error
from lichenquay.endpoint_record import EndpointRecord


def row(uid, state=domain.EndpointState.SERVING, zone="z1", port=80):
    """An engine."""
    return EndpointRecord(uid, f"10.0.0.1:{port}", zone, "std", 2, state, 1.0, 0.0)


class StandInPublisher:
    """Takes all that passes the check; answers when it is told to."""

    def __init__(self):
        """Holds the lease, of generation 1."""
        self.settings, self.speculative_state, self.waiting, self.proposed = Settings(), KeyStore(), [], 0
        self.group = SimpleNamespace(generation=1, holds=lambda now_ms: self.held)
        self.held, self.full = True, False

    def propose(self, now_ms, entries, request, done):
        """As the publisher."""
        fault = (
            "no room"
            if self.full
            else find_change_error(entries, self.speculative_state, self.settings, CHECKS_BY_PREFIX)
        )
        if fault is not None:
            done(now_ms, pb.Proposed(request=request, outcome=pb.Proposed.REFUSED, reason=fault))
            return
        self.proposed += 1
        self.speculative_state.apply(self.speculative_state.version + 1, entries)
        self.waiting.append((request, done))

    def answer(self, now_ms, outcome=pb.Proposed.ACCEPTED):
        """All that waits."""
        waiting, self.waiting = self.waiting, []
        for request, done in waiting:
            done(now_ms, pb.Proposed(request=request, outcome=outcome, reason="in doubt"))

    def published(self):
        """{uid: state} by the entries."""
        entries = self.speculative_state.entries.items()
        rows = (record_of(key, value) for key, (value, _) in entries if key != COMPLETE_KEY)
        return {r.uid: r.state for r in rows}


class World:
    """One importer and its publisher."""

    def __init__(self):
        """Discovery has not answered yet."""
        self.now, self.warnings, self.publisher = 0.0, [], StandInPublisher()
        log = SimpleNamespace(warning=lambda event, why: self.warnings.append(why))
        self.importer = EngineImporter(self.publisher, random.Random(1), self.now, log)

    def announce(self, *rows, whole=False):
        """What discovery says, and all that follows."""
        self.importer.announced(self.now, whole, rows)
        self.settle()

    def settle(self, steps=400):
        """Ticks whenever one is due; each change is accepted before the next tick."""
        for _ in range(steps):
            if self.importer.due_ms <= self.now:
                self.importer.tick(self.now)
                self.publisher.answer(self.now)
            self.now += 10.0


def test_what_is_announced_is_published_and_no_more():
    """What is as it was costs nothing; what is gone is deleted."""
    w = World()
    w.announce(row("e1"), row("e2"), whole=True)
    assert w.publisher.published() == {"e1": domain.EndpointState.SERVING, "e2": domain.EndpointState.SERVING}
    w.announce(row("e1", domain.EndpointState.DRAINING), row("e2"))
    assert w.publisher.published() == {
        "e1": domain.EndpointState.DRAINING,
        "e2": domain.EndpointState.SERVING,
    }
    proposed = w.publisher.proposed
    w.announce(row("e1", domain.EndpointState.DRAINING), row("e2"), whole=True)
    assert w.publisher.proposed == proposed
    w.announce(row("e1", domain.EndpointState.REMOVED))
    w.announce(row("e3"), whole=True)
    assert w.publisher.published() == {"e3": domain.EndpointState.SERVING}


def test_many_engines_go_in_changes_that_fit_and_not_all_at_once():
    """Thousands at a start; operators' own changes find room between them."""
    w = World()
    w.importer.announced(0.0, True, [row(f"e{n:05d}") for n in range(3000)])
    w.importer.tick(0.0)
    assert (
        len(w.publisher.waiting) == MOST_UNDER_WAY
        and COMPLETE_KEY not in w.publisher.speculative_state.entries
    )
    w.settle(20_000)
    assert COMPLETE_KEY in w.publisher.speculative_state.entries
    assert len(w.publisher.published()) == 3000 and w.publisher.proposed < 1000


def test_nothing_is_proposed_before_discovery_has_told_all_or_without_the_lease():
    """Risk: a voter that has heard of nothing yet takes all engines for gone."""
    w = World()
    w.announce(row("e1"), whole=True)
    w.publisher.held, w.publisher.group.generation = False, 0
    w.announce(row("e2"))
    assert w.publisher.published() == {"e1": domain.EndpointState.SERVING}
    w.publisher.held, w.publisher.group.generation = True, 3
    w.settle()
    assert w.publisher.published() == {"e1": domain.EndpointState.SERVING, "e2": domain.EndpointState.SERVING}
    other = World()
    other.publisher.speculative_state = w.publisher.speculative_state
    other.announce(row("e9"))  # a part, before the whole
    assert other.publisher.proposed == 0
    other.announce(row("e2"), whole=True)
    assert other.publisher.published() == {"e2": domain.EndpointState.SERVING}


def test_a_lost_lease_in_the_middle_leaves_nothing_out():
    """What was in doubt is compared again under the next lease."""
    w = World()
    w.importer.announced(0.0, True, [row("e1")])
    w.importer.tick(0.0)
    w.publisher.held, w.publisher.group.generation = False, 0
    w.publisher.answer(0.0, pb.Proposed.UNKNOWN)
    w.publisher.speculative_state = KeyStore()  # it was not made
    w.settle()
    w.publisher.held, w.publisher.group.generation = True, 5
    w.settle()
    assert w.publisher.published() == {"e1": domain.EndpointState.SERVING}


def test_a_refusal_is_tried_again_later_and_told_once():
    """Room may come; until then it is no loop."""
    w = World()
    w.publisher.full = True
    w.announce(row("e1"), whole=True)
    tries = w.importer.counts["refused"]
    assert 1 <= tries <= 400 * 10.0 / RETRY_MS + 1 and w.warnings == ["no room"]
    w.publisher.full = False
    w.settle()
    assert w.publisher.published() == {"e1": domain.EndpointState.SERVING}


def test_an_engine_in_another_zone_has_one_key():
    """The old one goes first."""
    w = World()
    w.announce(row("e1"), row("e2"), whole=True)
    w.announce(row("e1", zone="z2"))
    assert sorted(w.publisher.speculative_state.entries) == [COMPLETE_KEY, "engine/z1/e2", "engine/z2/e1"]


def test_a_row_that_cannot_be_published_leaves_the_others():
    """It is counted, and told once."""
    w = World()
    w.announce(row("e 1"), row("e2"), row("e" * 80), whole=True)
    assert w.publisher.published() == {"e2": domain.EndpointState.SERVING}
    assert w.importer.counts["senseless"] == 2 and len(w.warnings) == 1


@pytest.mark.parametrize(
    ("key", "value", "why"),
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
def test_an_entry_that_names_no_engine_is_refused(key, value, why):
    """In one line; by the publisher's check too."""
    with pytest.raises(InvalidEndpointError, match=why):
        record_of(key, value)
    assert why in CHECKS_BY_PREFIX["engine/"](key, value)


@given(st.binary(max_size=120))
def test_no_bytes_break_the_reader(value):
    """They name an engine or are refused."""
    try:
        found = record_of("engine/z/e", value)
    except InvalidEndpointError:
        return
    assert record_of(key_of(found), value_of(found)) == found
