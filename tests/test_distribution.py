"""Distribution as a whole, with voters, relays and gateways in virtual time, under an audit."""

import os
from dataclasses import replace

import pytest
from distribution_world import FIVE_VOTERS, LEASE_MS, SETTINGS, VOTERS, World, entry_of

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.fleet.message_envelope import Layer

pytestmark = pytest.mark.together

# Factor of all times of the simulated hour but the clock, so that the test takes less computing.
HOUR_TIME_FACTOR = 1 if "DISTRIBUTION_HOUR" in os.environ else 10


def slower(factor):
    """Returns settings whose times are longer by a factor."""
    names = ("report_ms", "retry_ms", "silent_ms", "expire_ms", "stale_ms")
    return replace(SETTINGS, **{name: factor * getattr(SETTINGS, name) for name in names})


def settled_world(seed, **options):
    """Returns a settled world."""
    world = World(seed, **options)
    world.settle()
    return world


def status_of(world):
    """Returns the publisher's status."""
    name = world.leader()
    return world.process(name).publisher.status(world.now(name))


def test_a_change_is_in_force_at_all_gateways_within_a_second_without_faults():
    """Measured from the proposal, including the disk writes of two voters."""
    world = settled_world(1)
    started_ms = world.net.now_ms
    version = world.propose_until_accepted({"config/limits": b"1", "engine/z1/e7": b"up"})
    world.run(1000, lambda: not world.lagging_gateways())
    assert not world.lagging_gateways() and world.net.now_ms - started_ms < 1000
    held = [world.subscriber(name).applied_version for name in world.gateways]
    assert held == [version] * len(world.gateways)


def test_the_publisher_knows_what_is_in_force_everywhere():
    """By the coverage that relays report."""
    world = settled_world(2)
    version = world.propose_until_accepted({"config/limits": b"1"})
    world.run(4000)
    status = status_of(world)
    assert (status.newest, status.in_force, status.subscribers) == (version, version, len(world.gateways))
    assert (status.refused, status.stale, status.keys) == (0, 0, 1)


def test_the_next_publisher_continues_with_deltas():
    """Versions continue without a gap, and no subscriber needs a snapshot."""
    world = settled_world(3)
    versions = [world.propose_until_accepted({f"config/k{number}": b"1"}) for number in range(5)]
    world.run(1000)
    first = world.leader()
    world.net.kill(first)
    versions.append(world.propose_until_accepted({"config/k0": b"2"}))
    world.settle()
    assert versions == list(range(1, 7)) and world.leader() != first
    assert not any(world.subscriber(name).counts["snapshots"] for name in world.gateways + world.relays)


@pytest.mark.parametrize("seed", range(4))
def test_changes_are_in_force_within_seven_seconds_of_losing_publisher_and_relays(seed):
    """The publisher, a second of five voters and one relay of each zone are killed.

    Holds for a change accepted right before that and for one proposed right after it.
    """
    world = settled_world(seed, voters=FIVE_VOTERS)
    version = world.propose_until_accepted({"config/limits": b"%d" % seed})
    leader = world.leader()
    other = next(name for name in FIVE_VOTERS if name != leader)
    for name in (leader, other, *world.relays[seed % 2 :: 2]):
        world.net.kill(name)
    started_ms = world.net.now_ms
    world.propose_until_accepted({"config/limits": b"next", "config/more": b"1"})
    world.settle(7000)
    assert world.net.now_ms - started_ms < 7000
    assert all(world.subscriber(name).applied_version > version for name in world.gateways)


@pytest.mark.parametrize("pause_ms", (1.2 * LEASE_MS, 4 * LEASE_MS))
def test_a_publisher_paused_past_its_lease_publishes_nothing(pause_ms):
    """The world checks at each message that its sender holds the lease; meanwhile another voter publishes."""
    world = settled_world(5)
    first = world.leader()
    world.net.pause(first, pause_ms)
    world.run(pause_ms - 5)
    version = world.propose_until_accepted({"config/limits": b"2"})
    world.settle()
    assert status_of(world).newest >= version


def test_a_repeated_proposal_in_doubt_is_committed_once():
    """A partition of the publisher during replication gives UNKNOWN; repeats then get one version."""
    world = settled_world(6)
    first = world.leader()
    others = [name for name in world.net.hosts if name != first]
    world.net.split([first], others)
    answers = world.propose({"config/limits": b"1"}, request=77, voter=first)
    world.run(3 * LEASE_MS)
    assert [a.outcome for a in answers] == [pb.Proposed.UNKNOWN]
    world.net.split([first], others, cut=False)
    world.settle()
    again = world.propose({"config/limits": b"1"}, request=77)
    world.run(1000)
    third = world.propose({"config/limits": b"1"}, request=77)
    world.run(1000)
    assert again[-1].outcome == third[-1].outcome == pb.Proposed.ACCEPTED
    assert again[-1].version == third[-1].version


def test_a_voter_that_is_not_the_leader_answers_with_the_leaders_name():
    """In place of serving a proposal."""
    world = settled_world(7)
    leader = world.leader()
    other = next(name for name in VOTERS if name != leader)
    process = world.process(other)
    propose = pb.Propose(request=5, entries=[entry_of("config/a", b"1")])
    process.publisher.on_message(world.now(other), ("client", 1), pb.Message(propose=propose))
    ((receiver, message),) = process.publisher.outbox
    assert (receiver, message.not_leader.leader, message.not_leader.session) == ("client", leader, 5)


def test_a_client_is_answered_by_message():
    """With the version of the accepted change, or with a reason for the refusal in one line."""
    world = settled_world(8)
    leader = world.leader()
    publisher = world.process(leader).publisher
    received = []
    world.net.host("client", lambda host: {Layer.DISTRIBUTION: RecordingClient(received)})
    for request, key in ((1, "config/a"), (2, "nonsense")):
        propose = pb.Propose(request=request, entries=[entry_of(key, b"1")])
        world.audit.requests[request] = 1
        publisher.on_message(world.now(leader), ("client", 1), pb.Message(propose=propose))
    status = pb.StatusRequest(request=3)
    publisher.on_message(world.now(leader), ("client", 1), pb.Message(status_request=status))
    world.net.call(leader, Layer.DISTRIBUTION, "tick")
    world.audit.record_change(1, 1, {"config/a": b"1"})
    world.run(1000)
    answers = {m.proposed.request: m.proposed for m in received if m.HasField("proposed")}
    assert (answers[1].outcome, answers[1].version) == (pb.Proposed.ACCEPTED, 1)
    assert answers[2].outcome == pb.Proposed.REFUSED and "unknown kind" in answers[2].reason
    assert [m.status.request for m in received if m.HasField("status")] == [3]


class RecordingClient:
    """Records the messages that it receives."""

    due_ms = float("inf")

    def __init__(self, received):
        """`received`: the list that messages are added to."""
        self.received = received
        self.outbox = []

    def on_message(self, now_ms, sender, message):
        """Records a message."""
        self.received.append(message)


def test_a_gateway_that_cannot_apply_keeps_its_last_good_version_and_is_counted():
    """It reports once, the publisher counts it, other gateways are unaffected, and it recovers by itself."""
    world = settled_world(9)
    good = world.propose_until_accepted({"config/limits": b"1"})
    world.settle()
    gateway = world.process("f0-0")
    gateway.fault = "limits over what this machine has"
    bad = world.propose_until_accepted({"config/limits": b"9", "config/more": b"1"})
    world.run(3000)
    assert (gateway.subscriber.applied_version, gateway.subscriber.version) == (good, bad)
    assert gateway.subscriber.applied_values == {"config/limits": b"1"} and len(gateway.reports) == 1
    assert status_of(world).refused == 1 and status_of(world).in_force == good
    assert world.lagging_gateways() == ["f0-0"]
    gateway.fault = None
    world.settle()
    world.run(3000)
    assert status_of(world).refused == 0 and status_of(world).in_force == bad


def test_a_partitioned_gateway_knows_that_its_version_may_be_outdated_and_keeps_it():
    """It knows by its own clock; the source whose session with it expired counts it as stale."""
    world = settled_world(10)
    world.propose_until_accepted({"config/limits": b"1"})
    world.settle()
    others = [name for name in world.net.hosts if name != "f1-0"]
    world.net.split(["f1-0"], others)
    version = world.propose_until_accepted({"config/limits": b"2"})
    gateway = world.subscriber("f1-0")
    world.run(world.settings.stale_ms)
    assert gateway.is_stale(world.now("f1-0")) and gateway.applied_values == {"config/limits": b"1"}
    world.run(world.settings.expire_ms + 3000)
    assert status_of(world).stale == 1
    world.net.split(["f1-0"], others, cut=False)
    world.settle(5000)
    assert gateway.applied_version == version and not gateway.counts["snapshots"]
    # It may have reconnected to another relay; its former one gets a Leave and must not count it any more.
    world.run(3 * world.settings.report_ms)
    assert status_of(world).stale == 0 and status_of(world).subscribers == len(world.gateways)


def test_gateways_fail_back_to_their_preferred_relay_after_its_restart():
    """Without snapshots, and each gateway is counted once."""
    world = settled_world(15)
    preferred = {name: world.subscriber(name).source for name in world.gateways}
    killed = preferred["f1-0"]
    affected = [name for name, relay in preferred.items() if relay == killed]
    world.net.kill(killed)
    world.run(world.settings.silent_ms + 3000)
    assert all(world.subscriber(name).source != killed for name in affected)
    world.net.start(killed)
    world.run(8 * world.settings.silent_ms)
    version = world.propose_until_accepted({"config/limits": b"2"})
    world.settle()
    world.run(3 * world.settings.report_ms)
    assert {name: world.subscriber(name).source for name in world.gateways} == preferred
    status = status_of(world)
    assert (status.in_force, status.subscribers, status.stale) == (version, len(world.gateways), 0)
    assert not any(world.subscriber(name).counts["snapshots"] for name in affected)


def test_a_restarted_relay_does_not_send_gateways_back_to_older_versions():
    """It asks them to wait until it has caught up; the audit checks that no version falls."""
    world = settled_world(11)
    for number in range(30):
        world.propose_until_accepted({f"config/k{number % 3}": b"%d" % number})
    world.settle()
    for name in world.relays:
        world.net.kill(name)
        world.net.start(name)
    world.propose_until_accepted({"config/k0": b"last"})
    world.settle(7000)
    assert not any(world.subscriber(name).counts["snapshots"] for name in world.gateways)


def test_a_new_gateway_holds_only_the_keys_that_it_subscribed_to():
    """It has no keys of other zones' engines."""
    world = settled_world(12)
    for number in range(9):
        world.propose_until_accepted({f"engine/z{number % 3}/e{number}": b"up"})
    world.add_gateway("late", ["r0a", "r0b"], ["engine/z0/", "config/"])
    world.settle()
    assert sorted(world.subscriber("late").applied_values) == ["engine/z0/e0", "engine/z0/e3", "engine/z0/e6"]


@pytest.mark.parametrize("with_leader", (False, True))
@pytest.mark.parametrize("minutes, factor", ((60, HOUR_TIME_FACTOR), (5, 1)))
def test_an_hour_of_a_region_partition(minutes, factor, with_leader):
    """The majority accepts changes; the other side keeps its values, and catches up by deltas within 5 s.

    The whole hour runs with all times of the settings ten times as long, unless DISTRIBUTION_HOUR is set.
    """
    world = settled_world(13, gateways=1, settings=slower(factor), lease_ms=factor * LEASE_MS)
    world.propose_until_accepted({"config/limits": b"0"})
    world.settle()
    leader = VOTERS.index(world.leader())
    side = world.names_of_region(leader if with_leader else (leader + 1) % 3)
    others = [name for name in world.net.hosts if name not in side]
    voter, gateway = side[0], next(name for name in side if name in world.gateways)
    version_before = world.subscriber(gateway).applied_version
    world.net.split(side, others)
    for minute in range(minutes):
        world.run(10_000 * factor, lambda: world.leader() in others)
        world.propose_until_accepted({"config/limits": b"%d" % minute, f"config/k{minute % 7}": b"1"})
        world.run(60_000 - 100)
        assert not world.process(voter).group.holds(world.now(voter))
    assert world.subscriber(gateway).applied_version == version_before and world.subscriber(gateway).is_stale(
        world.now(gateway)
    )
    answers = world.propose({"config/limits": b"x"}, voter=voter)
    assert [a.outcome for a in answers] == [pb.Proposed.UNKNOWN]
    world.net.split(side, others, cut=False)
    world.settle(5000 * factor)
    assert world.subscriber(gateway).applied_version == world.audit.newest
    assert not any(world.subscriber(name).counts["snapshots"] for name in side[1:])
