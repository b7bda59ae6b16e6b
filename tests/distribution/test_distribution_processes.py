"""Voters and relays of the real program, with faults between them and of them, while clients propose changes.

Audited each time: every accepted change is in force at all in the end, in order; none that was refused
spreads; versions only rise, and no two are in force in turn.
"""

import signal
import time
from contextlib import contextmanager

import pytest
from changes import Proposer, accepted, audit, wait_settled
from installation import CLIENTS, FLEET, LEASE_MS, RELAYS, VOTERS, Installation
from recording_subscriber import REFUSED
from running import until

from lichenquay.control_plane.client import Client
from lichenquay.distribution import distribution_pb2 as pb

pytestmark = pytest.mark.together
WORKS_MS = 3000.0  # from a fault of one voter to the next accepted change


@contextmanager
def under_change(installation, names=CLIENTS):
    """Clients propose all the while; then all is settled and audited."""
    proposers = [Proposer(installation, name, VOTERS) for name in names]
    for proposer in proposers:
        proposer.start()
    try:
        yield proposers
    finally:
        for proposer in proposers:
            proposer.stopped.set()
    for proposer in proposers:
        proposer.finish()
    changes = changes_of(proposers)
    assert all(change.outcome != pb.Proposed.UNKNOWN for change in changes)
    wait_settled(installation.recording.values(), changes)
    audit(installation.recording.values(), changes)


def changes_of(proposers):
    """All that was proposed."""
    return [change for proposer in proposers for change in proposer.changes]


def more_accepted(proposers, count=5, seconds=30.0):
    """Waits for so many more accepted changes."""
    before = len(accepted(changes_of(proposers)))
    until(lambda: len(accepted(changes_of(proposers))) >= before + count, seconds)


def test_changes_reach_all_in_order_whatever_the_links_do(tmp_path):
    """A tenth of all datagrams lost, a tenth doubled, all late by up to 60 ms, so that they overtake."""
    with Installation(tmp_path) as installation:
        installation.links.set(loss=0.1, double=0.1, most_ms=60.0)
        with under_change(installation) as proposers:
            more_accepted(proposers, 40, 40)
        status = proposers_status(installation)
        assert status.newest == len(accepted(changes_of(proposers)))


def proposers_status(installation):
    """The publisher's word, by a client without faults."""
    installation.links.heal()
    addresses = [("127.0.0.1", installation.ports[name]) for name in VOTERS]
    with Client(FLEET, addresses) as client:
        return client.status()


def test_the_publisher_is_killed_amid_changes_again_and_again(tmp_path):
    """Another one publishes within some leases; the one that was killed is a voter again after its start."""
    with Installation(tmp_path) as installation, under_change(installation) as proposers:
        for _ in range(2):
            more_accepted(proposers)
            killed = installation.publisher()
            installation.kill(killed)
            begun = time.monotonic()
            more_accepted(proposers)
            assert (time.monotonic() - begun) * 1000 < 3 * WORKS_MS
            installation.back(killed)


def test_a_publisher_that_stood_still_for_longer_than_its_lease_publishes_nothing_more(tmp_path):
    """It finds that out by itself, before it says anything of use."""
    with Installation(tmp_path) as installation, under_change(installation) as proposers:
        more_accepted(proposers)
        stopped = installation.publisher()
        others = [name for name in VOTERS if name != stopped]
        installation.signal(stopped, signal.SIGSTOP)
        time.sleep(3 * LEASE_MS / 1000)
        more_accepted(proposers)
        later = installation.publisher(others)
        installation.signal(stopped, signal.SIGCONT)
        more_accepted(proposers, 10)
        assert installation.publisher() == later


def test_a_voter_with_a_full_disk_acknowledges_nothing(tmp_path):
    """One full: the others go on. Two full: nothing is accepted until there is room again."""
    with Installation(tmp_path) as installation, under_change(installation) as proposers:
        more_accepted(proposers)
        first, second = [name for name in VOTERS if name != installation.publisher()]
        installation.full_file(first).touch()
        more_accepted(proposers, 10)
        until(lambda: installation.count(first, "folder", "failed") > 0, 10)
        assert "folder: does not store" in installation.log(first)
        installation.full_file(second).touch()
        time.sleep(1.0)  # what was acknowledged before is told by now
        before = len(accepted(changes_of(proposers)))
        time.sleep(2.0)
        assert len(accepted(changes_of(proposers))) == before
        for name in (first, second):
            installation.full_file(name).unlink()
        more_accepted(proposers)


def test_subscribers_of_a_relay_that_is_killed_go_on_with_another(tmp_path):
    """And the relay serves again after its start."""
    with Installation(tmp_path) as installation, under_change(installation) as proposers:
        more_accepted(proposers)
        installation.kill("r1")
        followers = list(installation.recording.values())
        until(lambda: all(h.subscriber.source == "r2" for h in followers), 10)
        more_accepted(proposers)
        until(lambda: all(h.is_fresh() for h in followers), 10)
        installation.back("r1")
        installation.kill("r2")
        until(lambda: all(h.subscriber.source == "r1" for h in followers), 10)
        more_accepted(proposers)


def test_a_slow_relay_and_a_slow_reader_hold_nobody_else_up(tmp_path):
    """Changes come to the others as fast as before: within half a second."""
    with Installation(tmp_path) as installation:
        slow_reader = installation.recording["s2"]
        slow_reader.read_interval_ms = 150.0
        for link in installation.links.between(VOTERS, ["r1"], both=False):
            link.least_ms = 300.0
            link.most_ms = 600.0
        swift = installation.recording["s4"]
        until(lambda: swift.subscriber.source == "r2", 20)
        with under_change(installation) as proposers:
            more_accepted(proposers, 20)
        # A busy machine may silence a relay for `silent_ms`: who left it for that comes back by itself.
        until(lambda: swift.subscriber.source == "r2", 20)
        late = [
            swift.first_ms(key, value) - change.known_ms
            for change in accepted(changes_of(proposers))
            for key, value in change.entries.items()
            if swift.first_ms(key, value) is not None
        ]
        assert sorted(late)[len(late) // 2] < 500.0


def test_one_region_cut_off_accepts_nothing_and_knows_that_it_may_be_old(tmp_path):
    """The publisher, a relay and its subscribers without the rest; then all are together again."""
    with Installation(tmp_path) as installation:
        first = Proposer(installation, "c1", VOTERS)
        assert first.propose({"config/before": b"1"}).outcome == pb.Proposed.ACCEPTED
        cut_off = installation.publisher()
        inside = [cut_off, "r1", "s1", "s3", "c1"]
        everybody = [*VOTERS, *RELAYS, *installation.fronts, *CLIENTS]
        outside = [name for name in everybody if name not in inside]
        installation.links.cut(inside, outside)
        second = Proposer(installation, "c2", VOTERS)
        assert second.propose({"config/outside": b"2"}).outcome == pb.Proposed.ACCEPTED
        in_doubt = first.propose({"config/inside": b"3"}, seconds=2.0)
        assert in_doubt.outcome == pb.Proposed.UNKNOWN
        subscribers = installation.recording
        until(lambda: not subscribers["s1"].is_fresh() and not subscribers["s3"].is_fresh(), 10)
        until(lambda: subscribers["s2"].values().get("config/outside") == b"2", 10)
        assert subscribers["s1"].values() == {"config/before": b"1"}
        installation.links.heal()
        again = first.propose({"config/inside": b"4"})
        assert again.outcome == pb.Proposed.ACCEPTED
        first.finish()
        second.finish()
        known = [change for change in changes_of([first, second]) if change is not in_doubt]
        wait_settled(subscribers.values(), known)
        audit(subscribers.values(), known)


def test_a_publisher_that_leaves_in_order_hands_over_at_once(tmp_path):
    """SIGTERM: it gives up its lease, and ends with 0. So does a relay."""
    with Installation(tmp_path) as installation:
        with under_change(installation) as proposers:
            more_accepted(proposers)
            left = installation.publisher()
            assert installation.leave(left) == 0
            more_accepted(proposers, 1, WORKS_MS / 1000)
            assert "lost the lease" in installation.log(left)
        for name in RELAYS:
            assert installation.leave(name) == 0


def test_a_refused_change_is_nowhere_and_a_subscriber_that_refuses_is_counted(tmp_path):
    """What the publisher refuses is never made; what one subscriber refuses is in force at all others."""
    with Installation(tmp_path, refuses=("s1",)) as installation:
        proposer = Proposer(installation, "c1", VOTERS)
        assert proposer.propose({"config/gate": b"prefix4: 99"}).outcome == pb.Proposed.REFUSED
        assert proposer.propose({"config/good": b"1"}).outcome == pb.Proposed.ACCEPTED
        assert proposer.propose({"config/good": REFUSED}).outcome == pb.Proposed.ACCEPTED
        others = [subscriber for name, subscriber in installation.recording.items() if name != "s1"]
        wait_settled(others, proposer.changes)
        refusing = installation.recording["s1"]
        until(lambda: refusing.refusals > 0)
        assert refusing.values() == {"config/good": b"1"}
        until(lambda: proposers_status(installation).refused == 1)
        status = proposers_status(installation)
        assert (status.newest, status.in_force, status.subscribers) == (2, 1, 4)
        assert proposer.propose({"config/good": b"3"}).outcome == pb.Proposed.ACCEPTED
        wait_settled(installation.recording.values(), proposer.changes)
        until(lambda: proposers_status(installation).in_force == 3)
        proposer.finish()
        audit(others, proposer.changes)
