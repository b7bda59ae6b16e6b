"""The invariants of the state machine: any decisions, repeated handovers, folds, limits."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.errors import StateMachineError
from lichenquay.migration.replica_group_state import make_fold
from lichenquay.migration.session import SessionState
from lichenquay.migration.session_log import MAX_SESSIONS_BYTES, MAX_TOMBSTONES
from lichenquay.migration.state_machine import StateMachine
from lichenquay.quota.ledger_records import read, split


def test_the_state_of_another_replica_group_is_rejected():
    """Otherwise its sessions would have two owners."""
    with pytest.raises(StateMachineError, match="the state of f0, not of f1"):
        StateMachine.load("f1", StateMachine("f0").state())


def test_a_handover_is_accepted_once_even_if_its_session_is_forgotten():
    """Its number is enough to recognize it, also after a restart."""
    machine = StateMachine("f1")
    wire = pb.Session(tenant="t", id="s@f0.1", generation=2, state=SessionState.HELD)
    change = machine.decide_accept("f0", 1, 1, wire)
    machine.apply_change(change)
    machine.apply_change(machine.decide_evict())
    assert "s@f0.1" not in machine.sessions
    assert machine.decide_accept("f0", 1, 1, wire) is None
    with pytest.raises(StateMachineError):
        machine.apply_change(change)
    restored = StateMachine.load("f1", machine.state())
    assert restored.has_received("f0", 1)
    assert not restored.has_received("f0", 2)


def decide(machine, kind, number, other_group):
    """Returns the change that a step decides, or None. `number` selects the session and other arguments."""
    session_ids = list(machine.sessions)
    session_id = session_ids[number % len(session_ids)] if session_ids else "x@f0.9"
    session = machine.sessions.get(session_id)
    foreign = pb.Session(tenant="t", id=f"z@{other_group}.{number}", generation=2)
    returning = pb.Session(tenant="t", id=session_id)
    returning.generation = number + (session.generation if session else 0)
    decisions = [
        lambda: machine.decide_open("t", f"n{number}"),
        lambda: machine.decide_pin(session_id, "e", number),
        lambda: machine.decide_submit(session_id, f"r{number}", number % 2 == 0, "e", 1, 5),
        lambda: machine.decide_end(session_id, f"r{number}", "done"),
        lambda: machine.decide_freeze(session_id),
        lambda: machine.decide_offer(session_id, other_group),
        lambda: machine.decide_hand_over(session_id, other_group),
        lambda: session and machine.decide_acknowledge(session_id, session.target, session.handover_number),
        lambda: machine.decide_resume(session_id),
        machine.decide_evict,
        lambda: machine.decide_accept(other_group, number + 1, max(1, number - 1), foreign),
        lambda: session and machine.decide_accept(other_group, 9 + number, 3, returning),
    ]
    return decisions[kind]()


STEPS = st.tuples(st.integers(0, 11), st.integers(0, 5), st.sampled_from(["f1", "f2"]))


@settings(max_examples=60, deadline=None)
@given(st.lists(STEPS, max_size=120))
def test_any_decisions_keep_the_invariants(steps):
    """Decisions come in any order; a snapshot and the records after it give the same state."""
    machine = StateMachine("f0")
    records = []
    states = []
    for step in steps:
        change = decide(machine, *step)
        if change is None:
            continue
        states.append(machine.state())
        record = pb.Record(no=len(records) + 1, changes=[change])
        records.append(record.SerializeToString())
        assert machine.apply(record)
        assert not machine.apply(record)
        machine.check()
    for i in (0, len(states) // 2):
        if states:
            restored = StateMachine.load("f0", states[i], records[max(0, i - 3) :])
            assert restored.state() == machine.state()


def test_a_fold_preserves_the_state():
    """It does so for any number of pieces at a time."""
    machine = StateMachine("f0")
    pieces = []
    for number in range(1, 60):
        record = pb.Record(no=number, changes=[machine.decide_open("t", "n" * 60)])
        machine.apply(record)
        pieces += split(record.SerializeToString())
    fold = make_fold("f0")
    base = fold(fold(b"", pieces[:13]), pieces[13:40])
    state, records = read(base, pieces[40:])
    assert StateMachine.load("f0", state, records).state() == machine.state()


def test_tombstones_are_bounded():
    """The oldest are forgotten; then clients are redirected to the replica group that opened the session."""
    machine = StateMachine("f0")
    for _ in range(MAX_TOMBSTONES + 9):
        session_id = machine.decide_open("t", "s").opened.id
        machine.apply_change(machine.decide_open("t", "s"))
        machine.apply_change(machine.decide_freeze(session_id))
        machine.apply_change(machine.decide_offer(session_id, "f1"))
        machine.apply_change(machine.decide_hand_over(session_id, "f1"))
        handover_number = machine.sessions[session_id].handover_number
        machine.apply_change(machine.decide_acknowledge(session_id, "f1", handover_number))
        machine.check()
    assert len(machine.sessions) == MAX_TOMBSTONES
    assert machine.locate("s@f0.1") == (None, "f0")
    assert machine.locate(f"s@f0.{MAX_TOMBSTONES + 9}") == (SessionState.HANDED_OVER, "f1")


def test_an_empty_session_reduces_the_free_bytes_by_less_than_200():
    """Its maximum size is counted."""
    machine = StateMachine("f0")
    assert machine.free_bytes == MAX_SESSIONS_BYTES
    machine.apply_change(machine.decide_open("t", "s"))
    assert MAX_SESSIONS_BYTES - 200 < machine.free_bytes < MAX_SESSIONS_BYTES
