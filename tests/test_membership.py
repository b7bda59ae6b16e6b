"""Membership in virtual time: joining, leaving, failures, partitions and pauses."""

import random
import subprocess
import sys
from pathlib import Path

import pytest
from membership_world import (
    ALIVE,
    FAULTY,
    LEFT,
    REMOVED,
    SUSPECT,
    failure_changes,
    make_fleet,
    states_at,
)

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.settings import Settings
from lichenquay.testbed.virtual_network import LinkConditions

ROOT = Path(__file__).resolve().parents[1]


def test_the_failure_detector_imports_neither_network_nor_other_packages():
    """Guards against I/O and dependencies on higher layers in the protocol code."""
    code = (
        "import sys, lichenquay.membership.failure_detector;"
        "print([m for m in sys.modules if m.split('.')[0] == 'twisted' or "
        "m.startswith(('lichenquay.gateway', 'lichenquay.testbed', 'lichenquay.admission'))])"
    )
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
    assert ran.stdout.strip() == "[]"


def test_members_join_by_a_seed():
    """All members find each other although they know only one name at the start."""
    fleet = make_fleet(5, 1, joined=False, seeds=["f0"])
    assert fleet.until(fleet.views_agree, 5_000) is not None
    assert fleet.until(lambda: all(len(d.reachable) == 4 for d in fleet.up()), 5_000) is not None
    assert len(fleet.watch("f3").members()) == 5
    assert not failure_changes(fleet)


def test_groups_of_one_and_two_members_work():
    """A single member considers itself alive; in a group of two, one detects the failure of the other."""
    fleet = make_fleet(2, 1, joined=False, start=False)
    fleet.net.start("f0")
    fleet.run(20_000)
    assert fleet.watch("f0").members() == [("f0", 1, ALIVE)]
    assert fleet.watch("f0").reachable == []
    fleet.net.start("f1")
    assert fleet.until(fleet.views_agree, 5_000) is not None
    fleet.net.kill("f1")
    assert fleet.until(lambda: fleet.all_consider("f1", FAULTY), 6_000) is not None


@pytest.mark.parametrize("seed", range(4))
def test_a_killed_member_is_faulty_then_removed_and_returns_with_a_new_incarnation(seed):
    """The member returns before it is removed (even seeds) or after (odd seeds)."""
    fleet = make_fleet(5, seed, LinkConditions(loss=0.1), Settings(removal_timeout_ms=5_000))
    fleet.net.kill("f2")
    detection_ms = fleet.until(lambda: fleet.all_consider("f2", FAULTY), 10_000)
    assert 1_500 < detection_ms < 3_500
    assert {name for _, _, name, _ in failure_changes(fleet)} == {"f2"}
    returns_after_removal = seed % 2 == 1
    if returns_after_removal:
        assert fleet.until(lambda: fleet.all_consider("f2", REMOVED), 10_000) is not None
    fleet.log.clear()
    fleet.net.start("f2")
    assert fleet.until(fleet.views_agree, 5_000) is not None
    changes = [
        (change.incarnation, change.old_state, change.new_state)
        for _, host, change in fleet.log
        if (host, change.name) == ("f0", "f2")
    ]
    removal = [] if returns_after_removal else [(1, FAULTY, REMOVED)]
    assert changes == [*removal, (2, None, ALIVE)]


def test_a_leaving_member_notifies_all_others_and_then_sends_nothing():
    """No suspicion follows, and the name can join again."""
    fleet = make_fleet(5, 3, LinkConditions(loss=0.1))
    fleet.net.call("f1", "members", "leave")
    assert fleet.until(lambda: fleet.all_consider("f1", LEFT), 2_000) is not None
    leaver = fleet.watch("f1")
    fleet.run(1_000)
    assert leaver.end_reason == LEFT
    assert leaver.due_ms == float("inf")
    sent = fleet.net.hosts["f1"].sent
    fleet.run(10_000)
    assert fleet.net.hosts["f1"].sent == sent
    assert fleet.all_consider("f1", LEFT)
    assert not failure_changes(fleet, FAULTY, REMOVED, SUSPECT)
    fleet.net.start("f1")
    assert fleet.until(fleet.views_agree, 5_000) is not None
    assert fleet.watch("f1").incarnation == 2


def test_a_message_of_an_older_incarnation_is_dropped_and_counted():
    """No claim in it is adopted."""
    fleet = make_fleet(3, 5)
    row = pb.Row(name="f2", incarnation=1, word=7, state=pb.CUT)
    late = pb.Message(word=9, gossip=pb.Gossip(), rows=[row])
    fleet.net.kill("f1")
    fleet.net.start("f1")
    assert fleet.until(fleet.views_agree, 5_000) is not None
    detector = fleet.watch("f0")
    before = detector.members()
    detector.on_message(detector.now_ms, ("f1", 1), late)
    assert detector.members() == before
    assert detector.counts["old_incarnation"] >= 1


@pytest.mark.parametrize("count, unreached_count", [(5, 1), (5, 2), (5, 3), (3, 1), (8, 6)])
def test_a_member_whose_messages_some_do_not_receive_stays_alive_for_all(count, unreached_count):
    """Indirect probes keep f0 alive without flapping while, for 20 s, some others do not receive it."""
    fleet = make_fleet(count, 100 * count + unreached_count, LinkConditions(loss=0.02))
    unreached = fleet.names[1 : 1 + unreached_count]
    fleet.net.between(["f0"], unreached, cut=True)
    fleet.run(20_000)
    assert not failure_changes(fleet)
    assert fleet.all_consider("f0", ALIVE)
    assert all("f0" not in fleet.watch(name).reachable for name in unreached)
    assert "f0" in fleet.watch(fleet.names[-1]).reachable
    fleet.net.reset_links()
    assert fleet.until(fleet.views_agree, 10_000) is not None
    assert not failure_changes(fleet)


@pytest.mark.parametrize("side", ["is not received", "receives nothing", "both"])
def test_an_isolated_member_is_faulty_in_every_view_and_rejoins_once(side):
    """This includes its own view, whichever direction of its links fails, and it accuses no other member."""
    fleet = make_fleet(5, 7, LinkConditions(loss=0.05))
    others = fleet.names[1:]
    if side != "receives nothing":
        fleet.net.between(["f0"], fleet.names, cut=True)
    if side != "is not received":
        fleet.net.between(fleet.names, ["f0"], cut=True)
    fleet.run(20_000)
    assert fleet.all_consider("f0", FAULTY)
    assert fleet.watch("f0").state_of("f0") == FAULTY
    assert {detector.state_of(name) for detector in fleet.up() for name in others} == {ALIVE}
    assert len({detector.view.digest for detector in fleet.up()}) == 1
    assert fleet.watch("f0").reachable == []
    fleet.net.reset_links()
    assert fleet.until(fleet.views_agree, 15_000) is not None
    fleet.run(10_000)
    assert fleet.views_agree()
    for observer in fleet.names:
        states = [
            change.new_state
            for _, host, change in fleet.log
            if (host, change.name) == (observer, "f0") and change.new_state != SUSPECT
        ]
        assert states == [FAULTY, ALIVE]


def test_each_further_rejoin_waits_longer():
    """Otherwise a member on a bad link would change every view over and over."""
    fleet = make_fleet(4, 8, settings=Settings(rejoin_delay_ms=4_000))
    rejoins_ms = []
    for _ in range(3):
        fleet.net.split(["f0"], fleet.names[1:])
        assert fleet.until(lambda: fleet.all_consider("f0", FAULTY), 10_000) is not None
        fleet.run(4_000)
        fleet.net.reset_links()
        rejoins_ms.append(fleet.until(fleet.views_agree, 30_000))
    first_ms, second_ms, third_ms = rejoins_ms
    assert first_ms < 3_000 < second_ms < third_ms
    assert third_ms > 6_000


@pytest.mark.parametrize("seed", range(3))
def test_a_paused_member_accuses_no_other_and_rejoins(seed):
    """After a pause of 30 s all its deadlines have passed; none of them may make another member faulty."""
    fleet = make_fleet(5, seed, LinkConditions(loss=0.05))
    fleet.net.pause("f4", 30_000)
    fleet.run(40_000)
    faulty = failure_changes(fleet, FAULTY)
    assert {name for _, _, name, _ in faulty} == {"f4"}
    assert not [name for _, host, name, _ in faulty if host == "f4" and name != "f4"]
    assert fleet.watch("f4").counts["local_pause"] >= 1
    assert fleet.views_agree()


def test_a_pause_of_all_members_makes_none_faulty():
    """Not even a member that was suspect when the pause began."""
    for seed in range(3):
        fleet = make_fleet(5, seed)
        fleet.run(500)
        fleet.net.kill("f4")
        assert fleet.until(lambda fleet=fleet: fleet.all_consider("f4", SUSPECT), 3_000) is not None
        fleet.net.start("f4")
        for name in fleet.names:
            fleet.net.pause(name, 30_000)
        fleet.run(40_000)
        changes = [(name, state) for _, _, name, state in failure_changes(fleet)]
        assert not [change for change in changes if change != ("f4", REMOVED)]
        assert fleet.views_agree()


def test_a_probe_sent_before_a_pause_leads_to_no_accusation():
    """The target is probed again, although all other members answer immediately."""
    detector = FailureDetector("me", 1, ["a", "b", "c"], random.Random(4), Settings(), 0.0)
    now_ms = 1.0
    for name in "abc":
        detector.on_message(now_ms, (name, 1), pb.Message(join=pb.Join()))
    while not detector.prober.probes:
        now_ms = detector.due_ms
        detector.tick(now_ms)
    silent = next(iter(detector.prober.probes.values())).target
    until_ms = now_ms + 2_000 + 100
    now_ms += 2_000
    detector.outbox.clear()
    while now_ms < until_ms:
        detector.tick(now_ms)
        sent = list(detector.outbox)
        for name, message in sent:
            if message.WhichOneof("kind") == "ping" and name != silent:
                ack = pb.Ack(no=message.ping.no, name=name, incarnation=1, ok=True)
                detector.on_message(now_ms + 0.5, (name, 1), pb.Message(ack=ack))
        detector.outbox.clear()
        now_ms = detector.due_ms
    assert detector.suspicion.may_accuse()
    assert detector.state_of(silent) == ALIVE


def test_pauses_of_two_seconds_with_a_fifth_of_messages_lost_make_no_member_faulty():
    """Pauses random members three times in 18 s."""
    for seed in range(4):
        fleet = make_fleet(5, seed, LinkConditions(loss=0.2))
        for number in range(3):
            at_ms = fleet.net.now_ms + 1_000 + 5_000 * number
            fleet.net.at(at_ms, fleet.net.pause, fleet.net.rng.choice(fleet.names), 2_000)
        fleet.run(18_000)
        assert not failure_changes(fleet)


def test_after_a_partition_only_the_majority_removes_and_both_sides_merge():
    """The minority only considers the others faulty; its members return with a new incarnation."""
    fleet = make_fleet(5, 9, settings=Settings(removal_timeout_ms=5_000))
    fleet.net.split(fleet.names[:2], fleet.names[2:])
    fleet.run(20_000)
    assert states_at(fleet, "f0") == [ALIVE, ALIVE, FAULTY, FAULTY, FAULTY]
    assert states_at(fleet, "f3") == [REMOVED, REMOVED, ALIVE, ALIVE, ALIVE]
    fleet.net.reset_links()
    assert fleet.until(fleet.views_agree, 15_000) is not None
    assert fleet.watch("f0").incarnation == fleet.watch("f1").incarnation == 2
    assert fleet.watch("f3").incarnation == 1


def test_members_that_each_consider_themselves_faulty_rejoin():
    """All links fail for a while, so that no member receives an ack."""
    fleet = make_fleet(4, 11)
    fleet.net.split(*[[name] for name in fleet.names])
    assert fleet.until(lambda: all(d.state_of(d.name) == FAULTY for d in fleet.up()), 10_000) is not None
    fleet.run(10_000)
    fleet.net.reset_links()
    assert fleet.until(fleet.views_agree, 10_000) is not None
