"""Real voter and relay processes under process and network faults, while clients propose changes.

Each test is audited: at the end every accepted change is in force at all subscribers, changes are applied in
order, no refused change is in force anywhere, and versions never fall.
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
MAX_RECOVERY_MS = 3000.0  # From the failure of one voter to the next accepted change.


@contextmanager
def proposing_clients(installation, names=CLIENTS):
    """Runs clients that propose changes; afterwards waits until all are in force, and audits them."""
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
    wait_settled(installation.subscribers.values(), changes)
    audit(installation.subscribers.values(), changes)


def changes_of(proposers):
    """Returns all changes that were proposed."""
    return [change for proposer in proposers for change in proposer.changes]


def wait_for_accepted(proposers, count=5, seconds=30.0):
    """Waits until `count` further changes are accepted."""
    count_before = len(accepted(changes_of(proposers)))
    until(lambda: len(accepted(changes_of(proposers))) >= count_before + count, seconds)


def test_changes_reach_all_subscribers_in_order_over_impaired_links(tmp_path):
    """10% of the datagrams are lost, 10% duplicated, and all delayed by up to 60 ms and so reordered."""
    with Installation(tmp_path) as installation:
        installation.links.set(loss=0.1, double=0.1, most_ms=60.0)
        with proposing_clients(installation) as proposers:
            wait_for_accepted(proposers, 40, 40)
        status = publisher_status(installation)
        assert status.newest == len(accepted(changes_of(proposers)))


def publisher_status(installation):
    """Ends all link faults and returns the publisher's status."""
    installation.links.heal()
    addresses = [("127.0.0.1", installation.ports[name]) for name in VOTERS]
    with Client(FLEET, addresses) as client:
        return client.status()


def test_repeated_kills_of_the_publisher_lose_no_accepted_change(tmp_path):
    """Another voter publishes within a few leases; the killed one is a voter again after its restart."""
    with Installation(tmp_path) as installation, proposing_clients(installation) as proposers:
        for _ in range(2):
            wait_for_accepted(proposers)
            killed = installation.publisher()
            installation.kill(killed)
            started_s = time.monotonic()
            wait_for_accepted(proposers)
            assert (time.monotonic() - started_s) * 1000 < 3 * MAX_RECOVERY_MS
            installation.restart(killed)


def test_a_publisher_paused_for_longer_than_its_lease_publishes_nothing(tmp_path):
    """After the pause it checks its lease before it sends anything."""
    with Installation(tmp_path) as installation, proposing_clients(installation) as proposers:
        wait_for_accepted(proposers)
        paused = installation.publisher()
        others = [name for name in VOTERS if name != paused]
        installation.signal(paused, signal.SIGSTOP)
        time.sleep(3 * LEASE_MS / 1000)
        wait_for_accepted(proposers)
        successor = installation.publisher(others)
        installation.signal(paused, signal.SIGCONT)
        wait_for_accepted(proposers, 10)
        assert installation.publisher() == successor


def test_a_voter_with_a_full_disk_acknowledges_nothing(tmp_path):
    """With one full disk the others continue; with two nothing is accepted until there is room again."""
    with Installation(tmp_path) as installation, proposing_clients(installation) as proposers:
        wait_for_accepted(proposers)
        first, second = [name for name in VOTERS if name != installation.publisher()]
        installation.full_file(first).touch()
        wait_for_accepted(proposers, 10)
        until(lambda: installation.count(first, "folder", "failed") > 0, 10)
        assert "folder: does not store" in installation.log(first)
        installation.full_file(second).touch()
        time.sleep(1.0)  # Answers to changes that were stored before are received by now.
        count_before = len(accepted(changes_of(proposers)))
        time.sleep(2.0)
        assert len(accepted(changes_of(proposers))) == count_before
        for name in (first, second):
            installation.full_file(name).unlink()
        wait_for_accepted(proposers)


def test_subscribers_of_a_killed_relay_fail_over_to_the_other(tmp_path):
    """The killed relay serves again after its restart."""
    with Installation(tmp_path) as installation, proposing_clients(installation) as proposers:
        wait_for_accepted(proposers)
        installation.kill("r1")
        subscribers = list(installation.subscribers.values())
        until(lambda: all(one.subscriber.source == "r2" for one in subscribers), 10)
        wait_for_accepted(proposers)
        until(lambda: all(one.is_fresh() for one in subscribers), 10)
        installation.restart("r1")
        installation.kill("r2")
        until(lambda: all(one.subscriber.source == "r1" for one in subscribers), 10)
        wait_for_accepted(proposers)


def test_a_slow_relay_and_a_slow_subscriber_delay_no_other_subscriber(tmp_path):
    """The median delay of changes at another subscriber stays below 500 ms."""
    with Installation(tmp_path) as installation:
        slow_subscriber = installation.subscribers["s2"]
        slow_subscriber.read_interval_ms = 150.0
        for link in installation.links.between(VOTERS, ["r1"], both=False):
            link.least_ms = 300.0
            link.most_ms = 600.0
        other = installation.subscribers["s4"]
        until(lambda: other.subscriber.source == "r2", 20)
        with proposing_clients(installation) as proposers:
            wait_for_accepted(proposers, 20)
        # On a busy machine a relay may be silent for `silent_ms`; its subscribers fail over, and later back.
        until(lambda: other.subscriber.source == "r2", 20)
        delays_ms = [
            other.first_applied_ms(key, value) - change.known_ms
            for change in accepted(changes_of(proposers))
            for key, value in change.entries.items()
            if other.first_applied_ms(key, value) is not None
        ]
        assert sorted(delays_ms)[len(delays_ms) // 2] < 500.0


def test_an_isolated_region_accepts_nothing_and_knows_that_it_may_be_outdated(tmp_path):
    """The publisher, a relay and its subscribers are partitioned from the rest; then the partition heals."""
    with Installation(tmp_path) as installation:
        first = Proposer(installation, "c1", VOTERS)
        assert first.propose({"config/before": b"1"}).outcome == pb.Proposed.ACCEPTED
        isolated_publisher = installation.publisher()
        inside = [isolated_publisher, "r1", "s1", "s3", "c1"]
        all_names = [*VOTERS, *RELAYS, *installation.subscriber_names, *CLIENTS]
        outside = [name for name in all_names if name not in inside]
        installation.links.cut(inside, outside)
        second = Proposer(installation, "c2", VOTERS)
        assert second.propose({"config/outside": b"2"}).outcome == pb.Proposed.ACCEPTED
        in_doubt = first.propose({"config/inside": b"3"}, seconds=2.0)
        assert in_doubt.outcome == pb.Proposed.UNKNOWN
        subscribers = installation.subscribers
        until(lambda: not subscribers["s1"].is_fresh() and not subscribers["s3"].is_fresh(), 10)
        until(lambda: subscribers["s2"].values().get("config/outside") == b"2", 10)
        assert subscribers["s1"].values() == {"config/before": b"1"}
        installation.links.heal()
        again = first.propose({"config/inside": b"4"})
        assert again.outcome == pb.Proposed.ACCEPTED
        first.finish()
        second.finish()
        decided = [change for change in changes_of([first, second]) if change is not in_doubt]
        wait_settled(subscribers.values(), decided)
        audit(subscribers.values(), decided)


def test_a_publisher_releases_its_lease_at_a_graceful_shutdown(tmp_path):
    """On SIGTERM it releases its lease and exits with 0. A relay exits with 0 too."""
    with Installation(tmp_path) as installation:
        with proposing_clients(installation) as proposers:
            wait_for_accepted(proposers)
            stopped = installation.publisher()
            assert installation.leave(stopped) == 0
            wait_for_accepted(proposers, 1, MAX_RECOVERY_MS / 1000)
            assert "lost the lease" in installation.log(stopped)
        for name in RELAYS:
            assert installation.leave(name) == 0


def test_a_refused_change_is_not_distributed_and_a_refusing_subscriber_is_counted(tmp_path):
    """The publisher's refusal ends a change; a subscriber's refusal does not affect the others."""
    with Installation(tmp_path, refusing=("s1",)) as installation:
        proposer = Proposer(installation, "c1", VOTERS)
        assert proposer.propose({"config/gate": b"prefix4: 99"}).outcome == pb.Proposed.REFUSED
        assert proposer.propose({"config/good": b"1"}).outcome == pb.Proposed.ACCEPTED
        refusing = installation.subscribers["s1"]
        until(lambda: refusing.values() == {"config/good": b"1"})
        assert proposer.propose({"config/good": REFUSED}).outcome == pb.Proposed.ACCEPTED
        others = [subscriber for name, subscriber in installation.subscribers.items() if name != "s1"]
        wait_settled(others, proposer.changes)
        until(lambda: refusing.refusals > 0)
        assert refusing.values() == {"config/good": b"1"}
        until(lambda: publisher_status(installation).refused == 1)
        status = publisher_status(installation)
        assert (status.newest, status.in_force, status.subscribers) == (2, 1, 4)
        assert proposer.propose({"config/good": b"3"}).outcome == pb.Proposed.ACCEPTED
        wait_settled(installation.subscribers.values(), proposer.changes)
        until(lambda: publisher_status(installation).in_force == 3)
        proposer.finish()
        audit(others, proposer.changes)
