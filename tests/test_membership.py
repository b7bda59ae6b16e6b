"""Who is there, in virtual time: rules that hold after every call of any watch, whatever the network does, and what
must come of it."""

import random
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.member_state import MemberState
from lichenquay.membership.member_table import MAX_MEMBERS, MemberTable
from lichenquay.membership.message_format import (
    MAX_BODY_BYTES,
    MAX_INCARNATION,
    MAX_REFUTATION,
    MAX_RELAYED_INCARNATION,
    is_valid_row,
    record_of,
)
from lichenquay.membership.probing import MAX_EXTRA_PROBES, MAX_RELAYED_PINGS
from lichenquay.membership.settings import Settings
from lichenquay.testbed.fleetnet import Weather
from lichenquay.testbed.observed_members import Watched

ROOT = Path(__file__).resolve().parents[1]
QUICK = Settings(
    probe_period_ms=100,
    suspicion_timeout_ms=600,
    removal_timeout_ms=3_000,
    sync_interval_ms=1_000,
    faulty_probe_interval_ms=300,
    max_tick_delay_ms=150,
    rejoin_delay_ms=300,
)


class Rules:
    """Checked after every call: nothing goes back, what is final stays so, changes and numbers follow one another,
    bounds hold."""

    def __init__(self, fleet):
        self.seen, self.steps, self.fleet = {}, 0, fleet
        fleet.looks.append(self)

    def __call__(self, host, watch, changes):
        self.steps += 1
        number, rows, held = self.seen.setdefault((host.name, host.life), (0, {}, {}))
        for c in changes:
            number += 1
            assert c.view_number == number, f"view {c.view_number} after {number - 1}"
            old = held.get(c.name)
            assert (None if old is None or old[0] != c.incarnation else old[1]) == c.old_state
            assert (
                old is None
                or c.incarnation > old[0]
                and old[1] in ("left", "removed")
                or c.incarnation == old[0]
            )
            assert c.old_state not in ("removed",) and (c.old_state, c.new_state) != ("left", "alive")
            held[c.name] = c.incarnation, c.new_state
        assert number == watch.view.number
        assert held == {n: (i, s) for n, i, s in watch.members()}
        for m in watch.table.members.values():
            now, before = m.precedence, rows.get(m.name)
            assert before is None or now >= before, f"{m.name} went back from {before} to {now}"
            assert (
                before is None
                or now == before
                or m.incarnation > before.incarnation
                or not before.is_final
                or before.state_number == MemberState.LEFT.number
            )
            rows[m.name] = now
        assert len(watch.table.members) <= MAX_MEMBERS and host.longest <= MAX_BODY_BYTES
        assert (
            len(watch.prober.probes) <= MAX_EXTRA_PROBES + 1
            and len(watch.prober.relayed_pings) <= MAX_RELAYED_PINGS
        )
        assert len(watch.outbox) < 200
        assert watch.end_reason or watch.due_ms >= watch.now_ms - 1e-6 or watch.due_ms <= host.now_ms()
        assert set(watch.table.live_names()) == {
            n for n, _, s in watch.members() if s in ("alive", "suspect")
        }
        self.seen[host.name, host.life] = number, rows, held


def ruled(n, seed, weather=Weather(), s=Settings(), joined=True, **more):
    fleet = Watched([f"f{i}" for i in range(n)], seed, weather, s, **more)
    fleet.rules = Rules(fleet)
    if joined:
        assert fleet.until(fleet.agree, 20_000) is not None
        fleet.run(3_000)
        fleet.log.clear()
    return fleet


def verdicts(fleet, *what):
    return [
        (ms, host, c.name, c.new_state)
        for ms, host, c in fleet.log
        if c.new_state in (what or ("faulty", "removed"))
    ]


def test_decisions_need_neither_a_network_nor_the_rest_of_the_program():
    code = (
        "import sys, lichenquay.membership.failure_detector; print([m for m in sys.modules if m.split('.')[0] == 'twisted' "
        "or m.startswith(('lichenquay.gateway', 'lichenquay.testbed', 'lichenquay.admission'))])"
    )
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
    assert ran.stdout.strip() == "[]"


def test_fronts_find_each_other_by_seeds_that_only_some_know():
    fleet = ruled(5, 1, joined=False, seeds=["f0"])
    assert fleet.until(fleet.agree, 5_000) is not None
    assert fleet.until(lambda: all(len(w.reachable) == 4 for w in fleet.up()), 5_000) is not None
    assert len(fleet.watch("f3").members()) == 5 and not verdicts(fleet)


def test_one_alone_and_two_are_fleets_too():
    fleet = ruled(2, 1, joined=False, start=False)
    fleet.net.start("f0")
    fleet.run(20_000)
    assert fleet.watch("f0").members() == [("f0", 1, "alive")] and fleet.watch("f0").reachable == []
    fleet.net.start("f1")
    assert fleet.until(fleet.agree, 5_000) is not None
    fleet.net.kill("f1")
    assert fleet.until(lambda: fleet.all_hold("f1", "faulty"), 6_000) is not None


@pytest.mark.parametrize("seed", range(4))
def test_a_killed_front_is_cut_everywhere_and_later_gone_and_comes_back_as_another(seed):
    fleet = ruled(5, seed, Weather(loss=0.1), Settings(removal_timeout_ms=5_000))
    fleet.net.kill("f2")
    took = fleet.until(lambda: fleet.all_hold("f2", "faulty"), 10_000)
    assert 1_500 < took < 3_500
    assert {name for _, _, name, _ in verdicts(fleet)} == {"f2"}
    if seed % 2:
        assert fleet.until(lambda: fleet.all_hold("f2", "removed"), 10_000) is not None
    fleet.log.clear()
    fleet.net.start("f2")
    assert fleet.until(fleet.agree, 5_000) is not None
    mine = [
        (c.incarnation, c.old_state, c.new_state)
        for _, host, c in fleet.log
        if (host, c.name) == ("f0", "f2")
    ]
    assert mine == ([(1, "faulty", "removed")] if seed % 2 == 0 else []) + [(2, None, "alive")]


def test_leaving_in_order_is_told_to_all_without_a_suspicion_and_then_silent():
    fleet = ruled(5, 3, Weather(loss=0.1))
    fleet.net.call("f1", "members", "leave")
    assert fleet.until(lambda: fleet.all_hold("f1", "left"), 2_000) is not None
    w = fleet.watch("f1")
    fleet.run(1_000)
    assert w.end_reason == "left" and w.due_ms == float("inf")
    sent = fleet.net.hosts["f1"].sent
    fleet.run(10_000)
    assert fleet.net.hosts["f1"].sent == sent and fleet.all_hold("f1", "left")
    assert not verdicts(fleet, "faulty", "removed", "suspect")
    fleet.net.start("f1")
    assert fleet.until(fleet.agree, 5_000) is not None and fleet.watch("f1").incarnation == 2


def test_what_an_older_incarnation_says_is_dropped_and_counted():
    fleet = ruled(3, 5)
    late = pb.Message(
        word=9, gossip=pb.Gossip(), rows=[pb.Row(name="f2", incarnation=1, word=7, state=pb.CUT)]
    )
    fleet.net.kill("f1")
    fleet.net.start("f1")
    assert fleet.until(fleet.agree, 5_000) is not None
    w, before = fleet.watch("f0"), fleet.watch("f0").members()
    w.heard(w.now_ms, ("f1", 1), late)
    assert w.members() == before and w.counts["old_incarnation"] >= 1


@pytest.mark.parametrize("n, deaf", [(5, 1), (5, 2), (5, 3), (3, 1), (8, 6)])
def test_a_front_that_some_do_not_hear_is_kept_by_all_and_nothing_flaps(n, deaf):
    """One-sided: f0 is not heard by `deaf` of the others, for 20 s; each is told by those who hear it."""
    fleet = ruled(n, 100 * n + deaf, Weather(loss=0.02))
    fleet.net.between(["f0"], fleet.names[1 : 1 + deaf], cut=True)
    fleet.run(20_000)
    assert not verdicts(fleet) and fleet.all_hold("f0", "alive")
    assert all("f0" not in fleet.watch(name).reachable for name in fleet.names[1 : 1 + deaf])
    assert "f0" in fleet.watch(fleet.names[-1]).reachable
    fleet.net.mend()
    assert fleet.until(fleet.agree, 10_000) is not None and not verdicts(fleet)


@pytest.mark.parametrize("side", ["nobody hears it", "it hears nobody", "both"])
def test_a_front_cut_off_is_cut_in_every_view_its_own_too_and_comes_back_once(side):
    fleet = ruled(5, 7, Weather(loss=0.05))
    if side != "it hears nobody":
        fleet.net.between(["f0"], fleet.names, cut=True)
    if side != "nobody hears it":
        fleet.net.between(fleet.names, ["f0"], cut=True)
    fleet.run(20_000)
    assert fleet.all_hold("f0", "faulty") and fleet.watch("f0").state_of("f0") == "faulty"
    assert {w.state_of(n) for w in fleet.up() for n in fleet.names[1:]} == {
        "alive"
    }  # The ill one accuses nobody.
    assert len({w.view.digest for w in fleet.up()}) == 1 and fleet.watch("f0").reachable == []
    fleet.net.mend()
    assert fleet.until(fleet.agree, 15_000) is not None
    fleet.run(10_000)
    assert fleet.agree()
    for host in fleet.names:
        seen = [
            c.new_state for _, h, c in fleet.log if (h, c.name) == (host, "f0") and c.new_state != "suspect"
        ]
        assert seen == ["faulty", "alive"]


def test_a_front_that_is_cut_again_and_again_rests_longer_each_time():
    fleet = ruled(4, 8, s=Settings(rejoin_delay_ms=4_000))
    away = []
    for _ in range(3):
        fleet.net.split(["f0"], fleet.names[1:])
        assert fleet.until(lambda: fleet.all_hold("f0", "faulty"), 10_000) is not None
        fleet.run(4_000)
        fleet.net.mend()
        away.append(fleet.until(fleet.agree, 30_000))
    assert away[0] < 3_000 < away[1] < away[2] and away[2] > 6_000


@pytest.mark.parametrize("seed", range(3))
def test_a_front_that_stood_still_accuses_nobody_and_comes_back(seed):
    fleet = ruled(5, seed, Weather(loss=0.05))
    fleet.net.pause("f4", 30_000)
    fleet.run(40_000)
    assert {name for _, _, name, _ in verdicts(fleet, "faulty")} == {"f4"}
    assert not [v for v in verdicts(fleet, "faulty") if v[1] == "f4" and v[2] != "f4"]
    assert fleet.watch("f4").counts["local_pause"] >= 1 and fleet.agree()


def test_when_all_stood_still_nobody_concludes_anything_from_it():
    for seed in range(3):
        fleet = ruled(5, seed)
        fleet.run(500)
        fleet.net.kill("f4")
        assert (
            fleet.until(lambda: fleet.all_hold("f4", "suspect"), 3_000) is not None
        )  # One whose time is running.
        fleet.net.start("f4")
        for name in fleet.names:
            fleet.net.pause(name, 30_000)
        fleet.run(40_000)
        assert not [v for v in verdicts(fleet) if (v[2], v[3]) != ("f4", "removed")] and fleet.agree()


def test_a_probe_from_before_a_pause_is_asked_again_before_it_accuses():
    w, now = FailureDetector("me", 1, ["a", "b", "c"], random.Random(4), Settings(), 0.0), 1.0
    for name in "abc":
        w.heard(now, (name, 1), pb.Message(join=pb.Join()))
    while not w.prober.probes:
        now = w.due_ms
        w.tick(now)
    silent = next(iter(w.prober.probes.values())).target
    until = now + 2_000 + 100
    now += 2_000
    w.outbox.clear()
    while now < until:  # All but the silent one answer at once.
        w.tick(now)
        for name, m in [(n, m) for n, m in w.outbox if m.WhichOneof("kind") == "ping" and n != silent]:
            ack = pb.Ack(no=m.ping.no, name=name, incarnation=1, ok=True)
            w.heard(now + 0.5, (name, 1), pb.Message(ack=ack))
        w.outbox.clear()
        now = w.due_ms
    assert w.suspicion.may_accuse() and w.state_of(silent) == "alive"


def test_pauses_of_two_seconds_and_a_fifth_lost_cut_nobody():
    for seed in range(4):
        fleet = ruled(5, seed, Weather(loss=0.2))
        for i in range(3):
            at = fleet.net.now_ms + 1_000 + 5_000 * i
            fleet.net.at(at, fleet.net.pause, fleet.net.rng.choice(fleet.names), 2_000)
        fleet.run(18_000)
        assert not verdicts(fleet)


def test_two_parts_hold_each_other_for_cut_the_smaller_says_gone_of_nobody_and_they_meet_again():
    fleet = ruled(5, 9, s=Settings(removal_timeout_ms=5_000))
    fleet.net.split(fleet.names[:2], fleet.names[2:])
    fleet.run(20_000)
    assert [fleet.watch("f0").state_of(n) for n in fleet.names] == [
        "alive",
        "alive",
        "faulty",
        "faulty",
        "faulty",
    ]
    assert [fleet.watch("f3").state_of(n) for n in fleet.names] == [
        "removed",
        "removed",
        "alive",
        "alive",
        "alive",
    ]
    fleet.net.mend()
    assert fleet.until(fleet.agree, 15_000) is not None
    assert (
        fleet.watch("f0").incarnation == fleet.watch("f1").incarnation == 2
        and fleet.watch("f3").incarnation == 1
    )


def test_as_many_names_as_there_is_room_for_and_no_more():
    w = FailureDetector("me", 1, ["a"], random.Random(1), Settings(), 0.0)
    w.heard(1.0, ("b", 1), pb.Message(join=pb.Join()))
    for i in range(1_100):
        w.heard(1.0, ("a", 1), pb.Message(gossip=pb.Gossip(), rows=[pb.Row(name=f"{i:064}", incarnation=1)]))
    assert len(w.members()) == MAX_MEMBERS and w.counts["table_full"] == 1_100 - MAX_MEMBERS + 3
    other = FailureDetector("b", 1, ["me"], random.Random(2), Settings(), 0.0)
    for _ in range(60):  # Pieces of long names, both ways, until nothing differs.
        w.outbox.clear()
        w.anti_entropy.send_digests("b")
        mail = [(w, other, m) for _, m in w.outbox]
        for a, b, m in mail:
            assert m.ByteSize() <= MAX_BODY_BYTES
            b.outbox.clear()
            b.heard(1.0, (a.name, 1), m)
            mail.extend((b, a, x) for _, x in b.outbox if x.WhichOneof("kind") in ("piece", "sync"))
    assert {n for n, *_ in other.members()} == {n for n, *_ in w.members()}


rows = st.builds(
    pb.Row,
    name=st.sampled_from(["a", "b", "me", "", "x" * 65, "ü"]),
    incarnation=st.sampled_from(
        [0, 1, 2, 3, MAX_RELAYED_INCARNATION - 1, MAX_RELAYED_INCARNATION, MAX_INCARNATION, 2**64 - 1]
    ),
    word=st.sampled_from([0, 1, 2, MAX_REFUTATION - 2, MAX_REFUTATION - 1, MAX_REFUTATION, 2**64 - 1]),
    state=st.integers(0, 6),
    by=st.lists(st.sampled_from(["a", "b", "c", "me", "", "y" * 70]), max_size=6),
    silent_ms=st.sampled_from([0, 5, 2**32 - 1]),
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(rows, max_size=12), st.randoms(use_true_random=False))
def test_in_whatever_order_rows_come_the_table_is_the_same(some, rng):
    tables = []
    for _ in range(2):
        t = MemberTable()
        for r in some + some[:3]:
            if is_valid_row(r):
                t.apply(0, record_of(r))
        tables.append(t)
        rng.shuffle(some)
    assert tables[0].partition_digests == tables[1].partition_digests
    assert tables[0].view.digest == tables[1].view.digest
    assert tables[0].live_names() == tables[1].live_names()


kinds = st.one_of(
    st.builds(pb.Ping, no=st.integers(0, 3), name=st.sampled_from(["me", "a", ""])).map(
        lambda x: {"ping": x}
    ),
    st.builds(pb.PingAsk, no=st.integers(0, 3), name=st.sampled_from(["me", "a", "b", ""])).map(
        lambda x: {"ping_ask": x}
    ),
    st.builds(pb.Ack, no=st.integers(0, 2**32 - 1), name=st.sampled_from(["me", "a"]), ok=st.booleans()).map(
        lambda x: {"ack": x}
    ),
    st.builds(pb.Sync, digests=st.lists(st.integers(0, 2**64 - 1), min_size=31, max_size=33)).map(
        lambda x: {"sync": x}
    ),
    st.builds(
        pb.Piece,
        parts=st.lists(st.integers(0, 40), max_size=40),
        after=st.text(max_size=3),
        until=st.text(max_size=3),
        back=st.booleans(),
    ).map(lambda x: {"piece": x}),
    st.sampled_from([{"join": pb.Join()}, {"leave": pb.Leave()}, {"gossip": pb.Gossip()}, {}]),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "me", "", "z" * 70]),
            st.sampled_from([0, 1, 2, 2**48, 2**70]),
            kinds,
            st.lists(rows, max_size=4),
            st.integers(0, 5),
            st.sampled_from([0, 1, 2**40, 2**64 - 1]),
            st.floats(0, 3_000),
        ),
        max_size=12,
    )
)
def test_no_message_does_more_than_be_dropped_or_taken(mail):
    w, now = FailureDetector("me", 2, ["a", "b"], random.Random(3), QUICK, 0.0), 0.0
    for name, incarnation, kind, some, state, word, wait in mail:
        now += wait
        before = {m.name: m.precedence for m in w.table.members.values()}
        w.heard(now, (name, incarnation), pb.Message(word=word, state=state, rows=some, **kind))
        if w.due_ms <= now:
            w.tick(now)
        after = {m.name: m.precedence for m in w.table.members.values()}
        assert all(after[n] >= r for n, r in before.items())
        assert all(m.ByteSize() <= MAX_BODY_BYTES for _, m in w.outbox) and len(w.outbox) < 200
        assert [c.view_number for c in w.changes] == list(range(1, len(w.changes) + 1))
        assert w.state_of("me") in ("alive", "faulty") or w.end_reason
        w.outbox.clear()


def test_fronts_that_each_hold_themselves_for_cut_find_together_again():
    fleet = ruled(4, 11)
    fleet.net.split(*[[n] for n in fleet.names])
    assert fleet.until(lambda: all(w.state_of(w.name) == "faulty" for w in fleet.up()), 10_000) is not None
    fleet.run(10_000)
    fleet.net.mend()
    assert fleet.until(fleet.agree, 10_000) is not None
