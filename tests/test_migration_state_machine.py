"""The state machine's laws, who takes what, what an earlier ref is answered, and bad input."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.settings import LeaseSettings
from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator, marked
from lichenquay.migration.replica_group_state import MOST_STATE, Seat, fold_of
from lichenquay.migration.session import GONE, HELD, MOST_NAME
from lichenquay.migration.state_machine import (
    MOST_BYTES,
    MOST_SESSIONS,
    MOST_STONES,
    SESSION_BYTES,
    StateMachine,
    StateMachineError,
)
from lichenquay.migration.target_selection import LEAVES, WANTS, Member, in_order, may_leave, taker
from lichenquay.quota.ledger_records import read, split


class Alone:
    """A group of one process, as `lease` gives it: makes what is written at once, in the pieces that a group
    keeps."""

    def __init__(self, replica_group):
        self.replica_group, self.generation, self.held, self.ok = replica_group, 1, True, True
        self.base, self.records, self.waiting = b"", [], None

    def holds(self, now_ms):
        return self.held

    @property
    def state(self):
        return self.base, list(self.records)

    def append(self, now_ms, record, done):
        assert len(record) <= 800
        if self.ok:
            self.records.append(record)
        if len(self.records) > 20:
            self.base, self.records = (
                fold_of(self.replica_group)(self.base, self.records[:15]),
                self.records[15:],
            )
        done(now_ms, self.ok)


def test_on_a_real_group():
    """With one voter and a disk that answers at once; then the same folder, a life later."""
    kept = {}

    def life(incarnation, now_ms):
        group = LeaseGroup(
            "migration/f0",
            "f0",
            incarnation,
            ["f0"],
            Random(1),
            LeaseSettings(max_state_bytes=MOST_STATE),
            now_ms,
            dict(kept),
            is_new_disk=not kept,
            fold=fold_of("f0"),
        )
        coordinator = Coordinator("f0", Seat(group))
        group.set_candidate(now_ms, True)

        def until(enough, now_ms):
            for _ in range(20_000):
                stores, group.store_requests[:] = list(group.store_requests), []
                for number, changes in stores:
                    kept.update(changes)
                    for key in [k for k, v in changes.items() if v is None]:
                        del kept[key]
                    group.on_stored(now_ms, number, True)
                if not stores and enough(now_ms):
                    return now_ms
                now_ms += 0 if stores else 10
                for part in (group, coordinator):
                    if now_ms >= part.due_ms:
                        part.tick(now_ms)
            raise AssertionError("it does not come")

        return group, coordinator, until

    group, coordinator, until = life(1, 0.0)
    now = until(group.holds, 0.0)
    said = []
    coordinator.open(now, "t", "s", lambda at, answer: said.append(answer))
    now = until(lambda at: said, now)
    id = said.pop().id
    for i in range(150):  # past several folds
        coordinator.take(now, "t", id, f"m{i}", True, "e", 500, lambda at, answer: said.append(answer))
        now = until(lambda at: said, now)
        assert said.pop().word == "go" and coordinator.ended(now, "t", id, f"m{i}", "done")
        now = until(lambda at: coordinator.out is None, now)
    coordinator.take(now, "t", id, "last", True, "e", 500, lambda at, answer: said.append(answer))
    now = until(lambda at: said, now)
    group, coordinator, until = life(2, now)
    now = until(lambda at: group.holds(at) and coordinator.is_leader(at), now)
    assert (
        coordinator.attach(now, "t", id, "last").word == "attach"
        and coordinator.attach(now, "t", id, "m148").outcome == "done"
    )
    coordinator.again(now, "t", id, "last", "e", 500, lambda at, answer: said.append(answer))
    now = until(lambda at: len(said) > 1, now)
    assert said[-1].outcome == "failed"


def coordinator_of(replica_group="f0"):
    return Coordinator(replica_group, Seat(Alone(replica_group)))


def ask(method, *args):
    out = []
    method(0.0, *args, lambda now_ms, answer: out.append(answer))
    assert len(out) == 1
    return out[0]


def opened(coordinator, tenant="t", name="s"):
    return ask(coordinator.open, tenant, name).id


def test_an_earlier_ref():
    coordinator = coordinator_of()
    id, other = opened(coordinator), opened(coordinator, "u", "s")
    assert id != other and opened(coordinator) == id
    assert ask(coordinator.take, "t", id, "m", True, "e1", 500).word == "go"
    assert ask(coordinator.take, "t", id, "r", False, "e2", 500).word == "go"
    answer = coordinator.attach(1.0, "t", id, "m")
    assert (answer.word, answer.engine, answer.mutating) == ("attach", "e1", True)
    assert ask(coordinator.take, "t", id, "m", True, "e1", 500).word == "attach"
    assert coordinator.attach(1.0, "t", id, "never").word == "unknown"
    assert coordinator.attach(1.0, "u", id, "m").word == "refused"  # another tenant's session
    assert coordinator.attach(1.0, "u", other, "m").word == "refused"  # its own session, another's ref
    assert coordinator.ended(1.0, "t", id, "r", "done") and not coordinator.ended(1.0, "t", id, "r", "failed")
    assert coordinator.attach(1.0, "t", id, "r").outcome == "done"
    # Taken by this term: not yet given up for an engine's word.
    assert ask(coordinator.again, "t", id, "m", "e1", 500).word == "attach"
    # The next leader does not know whether it ran: read-only ones may run again, mutating ones never.
    assert ask(coordinator.take, "t", id, "r2", False, "e2", 500).word == "go"
    coordinator.group.group.generation = 2
    assert ask(coordinator.again, "t", id, "r2", "e1", 500).word == "go"
    assert ask(coordinator.again, "t", id, "m", "e1", 500)[::5] == ("ended", "failed")
    assert ask(coordinator.again, "t", id, "m", "e1", 500).word == "ended"


def test_who_does_not_lead_does_not_act():
    coordinator = coordinator_of()
    id = opened(coordinator)
    coordinator.group.group.held = False
    assert (
        ask(coordinator.take, "t", id, "m", True, "e", 1).word == "lost"
        and coordinator.attach(0.0, "t", id, "m").word == "lost"
    )
    coordinator.group.group.held, coordinator.group.group.ok = True, None  # in doubt
    assert ask(coordinator.take, "t", id, "m", True, "e", 1).word == "lost"
    coordinator.group.group.ok = True
    assert ask(coordinator.take, "t", id, "m2", True, "e", 1).word == "lost"  # not in this generation
    coordinator.group.group.generation = 2
    assert ask(coordinator.take, "t", id, "m2", True, "e", 1).word == "go"


@pytest.mark.parametrize(
    "tenant, name", [("t", ""), ("", "s"), ("t", "s" * (MOST_NAME + 1)), ("t", "é" * 33)]
)
def test_names(tenant, name):
    assert ask(coordinator_of().open, tenant, name).word == "refused"


def test_too_many_the_oldest_idle_goes():
    coordinator = coordinator_of()
    first, busy = opened(coordinator, name="first"), opened(coordinator, name="busy")
    assert ask(coordinator.take, "t", busy, "m", True, "e", 1).word == "go"
    for i in range(MOST_SESSIONS):
        assert opened(coordinator, name=f"n{i}")
    assert coordinator.dropped == 2 and len(coordinator.made.live) == MOST_SESSIONS
    assert (
        coordinator.attach(0.0, "t", first, "x").word == "unknown"
        and coordinator.attach(0.0, "t", busy, "m").word == "attach"
    )


def test_a_full_session_forgets_what_ended_never_what_may_run():
    coordinator = coordinator_of()
    id, words = opened(coordinator), []
    for i in range(40):
        words.append(ask(coordinator.take, "t", id, f"ref-{i:040}", True, "engine", 1).word)
    full = words.index("full")
    assert set(words[:full]) == {"go"} and set(words[full:]) == {"full"} and full >= 8
    coordinator.ended(0.0, "t", id, f"ref-{3:040}", "done")
    assert ask(coordinator.take, "t", id, f"ref-{99:040}", True, "engine", 1).word == "go"
    assert coordinator.attach(0.0, "t", id, f"ref-{3:040}").word == "unknown"
    assert coordinator.attach(0.0, "t", id, f"ref-{4:040}").word == "attach"
    assert coordinator.made.sessions[id].size <= SESSION_BYTES


def test_another_replica_groups_state_or_a_newer_one():
    machine = StateMachine("f0")
    with pytest.raises(StateMachineError):
        StateMachine.load("f1", machine.state())
    newer = pb.State.FromString(machine.state())
    newer.version = 9
    coordinator = coordinator_of()
    coordinator.group.snapshot = lambda: (newer.SerializeToString(), [])
    assert ask(coordinator.open, "t", "s").word == "lost" and "version 9" in coordinator.trouble


def test_hand_over_is_taken_once_though_all_about_it_is_forgotten():
    machine = StateMachine("f1")
    wire = pb.Session(tenant="t", id="s@f0.1", generation=2, state=HELD)
    change = machine.decide_accept("f0", 1, 1, wire)
    machine.change(change)
    machine.change(machine.decide_drop())
    assert "s@f0.1" not in machine.sessions and machine.decide_accept("f0", 1, 1, wire) is None
    with pytest.raises(StateMachineError):
        machine.change(change)
    again = StateMachine.load("f1", machine.state())
    assert again.has_taken("f0", 1) and not again.has_taken("f0", 2)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 11), st.integers(0, 5), st.sampled_from(["f1", "f2"])), max_size=120)
)
def test_any_decisions(steps):
    """Whatever is decided in whatever order: the laws hold, from any snapshot and the records after it
    too."""
    machine, records, states, no = StateMachine("f0"), [], [], 0

    def change_of(kind, i, to):
        ids = list(machine.sessions)
        id = ids[i % len(ids)] if ids else "x@f0.9"
        s = machine.sessions.get(id)
        one, come = pb.Session(tenant="t", id=f"z@{to}.{i}", generation=2), pb.Session(tenant="t", id=id)
        come.generation = i + (s.generation if s else 0)
        return [
            lambda: machine.decide_open("t", f"n{i}"),
            lambda: machine.decide_pin(id, "e", i),
            lambda: machine.decide_took(id, f"r{i}", i % 2 == 0, "e", 1, 5),
            lambda: machine.decide_ended(id, f"r{i}", "done"),
            lambda: machine.decide_freeze(id),
            lambda: machine.decide_offer(id, to),
            lambda: machine.decide_gone(id, to),
            lambda: s and machine.decide_told(id, s.to, s.no),
            lambda: machine.decide_back(id),
            machine.decide_drop,
            lambda: machine.decide_accept(to, i + 1, max(1, i - 1), one),
            lambda: s and machine.decide_accept(to, 9 + i, 3, come),
        ][kind]()

    for step in steps:
        change = change_of(*step)
        if change is not None:
            no += 1
            states.append(machine.state())
            record = pb.Record(no=no, changes=[change])
            records.append(record.SerializeToString())
            assert machine.apply(record) and not machine.apply(record)
            machine.check()
    for at in (0, len(states) // 2):
        if states:
            assert StateMachine.load("f0", states[at], records[max(0, at - 3) :]).state() == machine.state()


def test_fold_keeps_the_same_state():
    machine, parts = StateMachine("f0"), []
    for no in range(1, 60):
        change = machine.decide_open("t", "n" * 60)
        record = pb.Record(no=no, changes=[change])
        machine.apply(record)
        parts += split(record.SerializeToString())
    fold = fold_of("f0")
    state, records = read(fold(fold(b"", parts[:13]), parts[13:40]), parts[40:])
    assert StateMachine.load("f0", state, records).state() == machine.state()


def test_stones_are_few():
    machine = StateMachine("f0")
    for _ in range(MOST_STONES + 9):
        id = machine.decide_open("t", "s").opened.id
        for decide in (
            lambda: machine.decide_open("t", "s"),
            lambda: machine.decide_freeze(id),
            lambda: machine.decide_offer(id, "f1"),
            lambda: machine.decide_gone(id, "f1"),
        ):
            machine.change(decide())
        s = machine.sessions[id]
        machine.change(machine.decide_told(id, "f1", s.no))
        machine.check()
    assert len(machine.sessions) == MOST_STONES and machine.where("s@f0.1") == (None, "f0")
    assert machine.where(f"s@f0.{MOST_STONES + 9}") == (GONE, "f1")


ROOM = [
    Member("a", 9000, zone="x"),
    Member("b", 9000, zone="y"),
    Member("c", 9000, new=True, zone="y"),
    Member("d", 9000, new=True, ready=False, zone="x"),
    Member("e", 10),
    Member("g", 9000, word=LEAVES),
    Member("h", 9000, alive=False),
]


def test_who_takes_what():
    assert taker("s", 100, "x", ROOM) == "a" and taker("s", 100, "y", ROOM) == "c"
    assert taker("s", 100, "", ROOM) == "c" and taker("s", 100, "y", ROOM, {"c"}) == "b"
    assert taker("s", 100, "", ROOM, {"a", "b", "c"}) is None


def test_spread_by_weight():
    members = [Member("a", 1000), Member("b", 1000, weight=3.0), Member("c", 2000)]
    takers = [taker(f"s{i}", 10, "", members) for i in range(3000)]
    share = {n: takers.count(n) / 3000 for n in "abc"}
    assert (
        abs(share["a"] - 1 / 6) < 0.03 and abs(share["b"] - 3 / 6) < 0.03 and abs(share["c"] - 2 / 6) < 0.03
    )
    # One that is away moves only its own.
    rest = [taker(f"s{i}", 10, "", members[:2]) for i in range(3000)]
    assert all(r == t for r, t in zip(rest, takers) if t != "c")


def test_a_share_leaves_at_a_time():
    fleet = [Member(f"f{i}", 1000) for i in range(8)]
    wanting = [m._replace(word=WANTS) if m.name in ("f1", "f4", "f6") else m for m in fleet]
    assert [may_leave(n, wanting, 0.25) for n in ("f1", "f4", "f6")] == [True, True, False]
    leaving = [m._replace(word=LEAVES) if m.name in ("f1", "f4") else m for m in wanting]
    assert not may_leave("f6", leaving, 0.25)
    assert may_leave("f6", [m._replace(word="", alive=m.name != "f1") for m in leaving], 0.25)
    assert not may_leave("f0", [Member("f0", 9, word=WANTS)], 1.0)  # nobody would stay


def test_idle_first_mutating_last():
    coordinator = coordinator_of()
    write, read, idle = (opened(coordinator, name=n) for n in ("w", "r", "i"))
    ask(coordinator.take, "t", write, "m", True, "e", 1)
    ask(coordinator.take, "t", read, "q", False, "e", 1)
    assert [s.id for s in in_order(coordinator.made.live)] == [idle, read, write]


def test_room():
    machine = StateMachine("f0")
    assert machine.free == MOST_BYTES
    machine.change(machine.decide_open("t", "s"))
    assert MOST_BYTES - 200 < machine.free < MOST_BYTES


def test_the_largest_session_fits_in_a_datagram_and_the_fullest_state_in_its_group():
    coordinator, out = coordinator_of(), []
    ids = [opened(coordinator, "t" * MOST_NAME, f"{i:064}") for i in range(MOST_SESSIONS)]
    for id in dict.fromkeys(ids):
        for i in range(30):
            ask(coordinator.take, "t" * MOST_NAME, id, f"{i:064}", i % 2 == 0, "e" * MOST_NAME, 1e9)
    for s in list(coordinator.made.live):
        assert coordinator.pin(0.0, s.tenant, s.id, "p" * MOST_NAME, 2**40)
        for ref in list(s.refs):
            coordinator.ended(0.0, s.tenant, s.id, ref, "o" * 16)
    coordinator.made.check()
    assert sum(s.size for s in coordinator.made.live) <= MOST_BYTES
    base, records = coordinator.group.group.state
    assert len(base) + sum(map(len, records)) + (64 - len(records)) * 800 < MOST_STATE
    coordinator.mover.known([Member("g" * 32, 9999)])
    coordinator.mover.leave(0.0, rush=True)
    coordinator.tick(0.0)
    offers, coordinator.outbox[:] = [m for _, m in coordinator.outbox], []
    assert offers
    for m in offers:
        coordinator.heard(
            0.0,
            ("g", 1),
            marked(
                pb.Message(
                    replica_group="g" * 32,
                    to="f0",
                    term=1,
                    room=pb.Room(id=m.offer.id, generation=1, yes=True, free=9999),
                )
            ),
        )
    out = [m.ByteSize() for _, m in coordinator.outbox if m.WhichOneof("body") == "handed"]
    assert out and max(out) < 1100, out
