"""Distribution as a whole in virtual time: voters, relays and gateways, audited."""

import os
from dataclasses import replace

import pytest
from distribution_world import FIVE_VOTERS, LEASE_MS, SETTINGS, VOTERS, World, entry_of

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.fleet.message_envelope import Layer

pytestmark = pytest.mark.together


HOUR_BEAT = 1 if "DISTRIBUTION_HOUR" in os.environ else 10


def slower(times):
    """Settings whose times are longer."""
    names = ("report_ms", "retry_ms", "silent_ms", "expire_ms", "stale_ms")
    return replace(SETTINGS, **{name: times * getattr(SETTINGS, name) for name in names})


def settled(seed, **more):
    """A world at rest."""
    world = World(seed, **more)
    world.settle()
    return world


def status_of(world):
    """What the publisher knows."""
    name = world.leader()
    return world.process(name).publisher.status(world.now(name))


def test_a_change_is_in_force_at_all_gateways_within_a_second_when_calm():
    """From its proposal on, its record on two disks included."""
    world = settled(1)
    begun = world.net.now_ms
    version = world.propose_until_accepted({"config/limits": b"1", "engine/z1/e7": b"up"})
    world.run(1000, lambda: not world.lagging_gateways())
    assert not world.lagging_gateways() and world.net.now_ms - begun < 1000
    held = [world.subscriber(name).applied_version for name in world.gateways]
    assert held == [version] * len(world.gateways)


def test_the_publisher_knows_what_is_in_force_everywhere():
    """By what relays tell upwards."""
    world = settled(2)
    version = world.propose_until_accepted({"config/limits": b"1"})
    world.run(4000)
    known = status_of(world)
    assert (known.newest, known.in_force, known.subscribers) == (version, version, len(world.gateways))
    assert (known.refused, known.stale, known.keys) == (0, 0, 1)


def test_another_publisher_goes_on_with_deltas():
    """Versions go on without a gap, and nobody needs a further snapshot."""
    world = settled(3)
    versions = [world.propose_until_accepted({f"config/k{number}": b"1"}) for number in range(5)]
    world.run(1000)
    first = world.leader()
    world.net.kill(first)
    versions.append(world.propose_until_accepted({"config/k0": b"2"}))
    world.settle()
    assert versions == list(range(1, 7)) and world.leader() != first
    assert not any(world.subscriber(name).counts["snapshots"] for name in world.gateways + world.relays)


@pytest.mark.parametrize("seed", range(4))
def test_in_force_within_seven_seconds_without_publisher_and_a_relay_of_each_zone(seed):
    """From the kill of the publisher, one more of five voters and one relay of each zone on.

    Of a change accepted right before, and of one proposed right after.
    """
    world = settled(seed, voters=FIVE_VOTERS)
    version = world.propose_until_accepted({"config/limits": b"%d" % seed})
    leader = world.leader()
    other = next(name for name in FIVE_VOTERS if name != leader)
    for name in (leader, other, *world.relays[seed % 2 :: 2]):
        world.net.kill(name)
    begun = world.net.now_ms
    world.propose_until_accepted({"config/limits": b"next", "config/more": b"1"})
    world.settle(7000)
    assert world.net.now_ms - begun < 7000
    assert all(world.subscriber(name).applied_version > version for name in world.gateways)


@pytest.mark.parametrize("pause_ms", (1.2 * LEASE_MS, 4 * LEASE_MS))
def test_a_publisher_paused_past_its_lease_publishes_nothing(pause_ms):
    """The world demands of each message that its sender holds the lease; here others go on meanwhile."""
    world = settled(5)
    first = world.leader()
    world.net.pause(first, pause_ms)
    world.run(pause_ms - 5)
    version = world.propose_until_accepted({"config/limits": b"2"})
    world.settle()
    assert status_of(world).newest >= version


def test_a_proposal_in_doubt_is_asked_again_and_made_once():
    """The publisher is cut off with a record under way: UNKNOWN; then the same request gets one version."""
    world = settled(6)
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
    twice = world.propose({"config/limits": b"1"}, request=77)
    world.run(1000)
    assert again[-1].outcome == twice[-1].outcome == pb.Proposed.ACCEPTED
    assert again[-1].version == twice[-1].version


def test_a_voter_that_is_not_the_leader_names_it():
    """To clients and to relays."""
    world = settled(7)
    leader = world.leader()
    other = next(name for name in VOTERS if name != leader)
    part = world.process(other)
    propose = pb.Propose(request=5, entries=[entry_of("config/a", b"1")])
    part.publisher.on_message(world.now(other), ("client", 1), pb.Message(propose=propose))
    ((to, message),) = part.publisher.outbox
    assert (to, message.not_leader.leader, message.not_leader.session) == ("client", leader, 5)


def test_a_client_gets_its_answer_by_message():
    """Accepted with its version, or refused with one clear line."""
    world = settled(8)
    leader = world.leader()
    publisher = world.process(leader).publisher
    heard = []
    world.net.host("client", lambda host: {Layer.DISTRIBUTION: Client(heard)})
    for request, key in ((1, "config/a"), (2, "nonsense")):
        propose = pb.Propose(request=request, entries=[entry_of(key, b"1")])
        world.audit.requests[request] = 1
        publisher.on_message(world.now(leader), ("client", 1), pb.Message(propose=propose))
    status = pb.StatusRequest(request=3)
    publisher.on_message(world.now(leader), ("client", 1), pb.Message(status_request=status))
    world.net.call(leader, Layer.DISTRIBUTION, "tick")
    world.audit.record_change(1, 1, {"config/a": b"1"})
    world.run(1000)
    answers = {m.proposed.request: m.proposed for m in heard if m.HasField("proposed")}
    assert (answers[1].outcome, answers[1].version) == (pb.Proposed.ACCEPTED, 1)
    assert answers[2].outcome == pb.Proposed.REFUSED and "unknown kind" in answers[2].reason
    assert [m.status.request for m in heard if m.HasField("status")] == [3]


class Client:
    """Hears."""

    due_ms = float("inf")

    def __init__(self, heard):
        """`on_message`: a list that messages come into."""
        self.heard_messages = heard
        self.outbox = []

    def on_message(self, now_ms, sender, message):
        """A message."""
        self.heard_messages.append(message)


def test_a_gateway_that_cannot_apply_keeps_its_last_good_version_and_is_counted():
    """One line, a count at the publisher, nobody else harmed; and it comes back by itself."""
    world = settled(9)
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


def test_a_gateway_cut_off_knows_that_its_version_is_old_and_serves_on():
    """By its own clock; and it is counted as stale where it was."""
    world = settled(10)
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
    # It may have come back to another relay: the former one is told, and counts it no longer.
    world.run(3 * world.settings.report_ms)
    assert status_of(world).stale == 0 and status_of(world).subscribers == len(world.gateways)


def test_gateways_come_back_to_their_relay_once_it_is_there_again():
    """Each after a while of its own, not all at once, without a snapshot, and counted once at any time."""
    world = settled(15)
    preferred = {name: world.subscriber(name).source for name in world.gateways}
    lost = preferred["f1-0"]
    left = [name for name, relay in preferred.items() if relay == lost]
    world.net.kill(lost)
    world.run(world.settings.silent_ms + 3000)
    assert all(world.subscriber(name).source != lost for name in left)
    world.net.start(lost)
    world.run(8 * world.settings.silent_ms)
    version = world.propose_until_accepted({"config/limits": b"2"})
    world.settle()
    world.run(3 * world.settings.report_ms)
    assert {name: world.subscriber(name).source for name in world.gateways} == preferred
    status = status_of(world)
    assert (status.in_force, status.subscribers, status.stale) == (version, len(world.gateways), 0)
    assert not any(world.subscriber(name).counts["snapshots"] for name in left)


def test_a_relay_that_starts_anew_takes_no_gateway_back():
    """It tells them to wait until it has caught up; the audit demands that no version falls."""
    world = settled(11)
    for number in range(30):
        world.propose_until_accepted({f"config/k{number % 3}": b"%d" % number})
    world.settle()
    for name in world.relays:
        world.net.kill(name)
        world.net.start(name)
    world.propose_until_accepted({"config/k0": b"last"})
    world.settle(7000)
    assert not any(world.subscriber(name).counts["snapshots"] for name in world.gateways)


def test_a_new_gateway_holds_only_what_it_subscribed_to():
    """Another zone's engines are not there, and not sent."""
    world = settled(12)
    for number in range(9):
        world.propose_until_accepted({f"engine/z{number % 3}/e{number}": b"up"})
    world.add_gateway("late", ["r0a", "r0b"], ["engine/z0/", "config/"])
    world.settle()
    assert sorted(world.subscriber("late").applied_values) == ["engine/z0/e0", "engine/z0/e3", "engine/z0/e6"]


@pytest.mark.parametrize("with_leader", (False, True))
@pytest.mark.parametrize("minutes, beat", ((60, HOUR_BEAT), (5, 1)))
def test_an_hour_without_the_other_regions(minutes, beat, with_leader):
    """The majority goes on; the other side serves on, accepts nothing, and heals by deltas within 5 s.

    A whole hour is tried with all times but the clock's ten times as long, unless DISTRIBUTION_HOUR is set.
    """
    world = settled(13, gateways=1, settings=slower(beat), lease_ms=beat * LEASE_MS)
    world.propose_until_accepted({"config/limits": b"0"})
    world.settle()
    leader = VOTERS.index(world.leader())
    side = world.names_of_region(leader if with_leader else (leader + 1) % 3)
    others = [name for name in world.net.hosts if name not in side]
    voter, gateway = side[0], next(name for name in side if name in world.gateways)
    before = world.subscriber(gateway).applied_version
    world.net.split(side, others)
    for minute in range(minutes):
        world.run(10_000 * beat, lambda: world.leader() in others)
        world.propose_until_accepted({"config/limits": b"%d" % minute, f"config/k{minute % 7}": b"1"})
        world.run(60_000 - 100)
        assert not world.process(voter).group.holds(world.now(voter))
    assert world.subscriber(gateway).applied_version == before and world.subscriber(gateway).is_stale(
        world.now(gateway)
    )
    answers = world.propose({"config/limits": b"x"}, voter=voter)
    assert [a.outcome for a in answers] == [pb.Proposed.UNKNOWN]
    world.net.split(side, others, cut=False)
    world.settle(5000 * beat)
    assert world.subscriber(gateway).applied_version == world.audit.newest
    assert not any(world.subscriber(name).counts["snapshots"] for name in side[1:])
