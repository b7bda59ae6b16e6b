"""The coordinator: its answers to clients, its leadership, and its limits."""

from random import Random

import pytest
from migration_single_group import call, coordinator_of, open_session

from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.settings import LeaseSettings
from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.messages import AnswerKind, with_checksum
from lichenquay.migration.replica_group_state import MAX_STATE_BYTES, make_fold
from lichenquay.migration.session import MAX_NAME_BYTES
from lichenquay.migration.session_log import MAX_SESSION_BYTES, MAX_SESSIONS, MAX_SESSIONS_BYTES
from lichenquay.migration.state_machine import StateMachine
from lichenquay.migration.target_selection import GatewayStatus, handover_order
from lichenquay.quota.ledger_records import PiecewiseGroup

MAX_DATAGRAM_BYTES = 1100
GROUP_RECORD_BYTES = 800
GROUP_RECORDS = 64  # stored after the base before the group folds them


class RealGroupProcess:
    """One incarnation of a process: a coordinator on a real group with one voter and a disk without delay."""

    def __init__(self, stored, incarnation, now_ms):
        """Starts as a candidate. `stored`: the content of the disk, shared by all incarnations."""
        self.stored = stored
        self.now_ms = now_ms
        self.group = LeaseGroup(
            "migration/f0",
            "f0",
            incarnation,
            ["f0"],
            Random(1),
            LeaseSettings(max_state_bytes=MAX_STATE_BYTES),
            now_ms,
            dict(stored),
            is_new_disk=not stored,
            fold=make_fold("f0"),
        )
        self.coordinator = Coordinator("f0", PiecewiseGroup(self.group))
        self.group.set_candidate(now_ms, True)

    def run_until(self, condition):
        """Advances time until the condition holds."""
        for _ in range(20_000):
            stores, self.group.store_requests[:] = list(self.group.store_requests), []
            for number, changes in stores:
                self._store(number, changes)
            if not stores:
                if condition():
                    return
                self.now_ms += 10
            for part in (self.group, self.coordinator):
                if self.now_ms >= part.due_ms:
                    part.tick(self.now_ms)
        raise AssertionError(f"the condition does not hold by {self.now_ms} ms")

    def _store(self, number, changes):
        self.stored.update(changes)
        for key in [key for key, value in changes.items() if value is None]:
            del self.stored[key]
        self.group.on_stored(self.now_ms, number, True)

    def call(self, method, *arguments):
        """Calls a method and returns its answer once it arrives."""
        answers = []
        method(self.now_ms, *arguments, lambda now_ms, answer: answers.append(answer))
        self.run_until(lambda: answers)
        return answers[0]


def test_a_real_group_keeps_sessions_over_a_restart():
    """The group folds several times; after the restart, a mutating query that may have run ends as failed."""
    stored = {}
    process = RealGroupProcess(stored, 1, 0.0)
    coordinator = process.coordinator
    process.run_until(lambda: process.group.holds(process.now_ms))
    session_id = process.call(coordinator.open_session, "t", "s").session_id
    for i in range(150):
        answer = process.call(coordinator.submit_query, "t", session_id, f"m{i}", True, "e", 500)
        assert answer.kind is AnswerKind.SUBMIT
        assert coordinator.record_outcome(process.now_ms, "t", session_id, f"m{i}", "done")
        process.run_until(lambda: coordinator.pending_write is None)
    process.call(coordinator.submit_query, "t", session_id, "last", True, "e", 500)
    next_process = RealGroupProcess(stored, 2, process.now_ms)
    restarted = next_process.coordinator
    next_process.run_until(
        lambda: (
            next_process.group.holds(next_process.now_ms)
            and restarted.refresh_leadership(next_process.now_ms)
        )
    )
    attached = restarted.attach_query(next_process.now_ms, "t", session_id, "last")
    assert attached.kind is AnswerKind.ATTACH
    assert restarted.attach_query(next_process.now_ms, "t", session_id, "m148").outcome == "done"
    resubmitted = next_process.call(restarted.resubmit_query, "t", session_id, "last", "e", 500)
    assert resubmitted.outcome == "failed"


def test_an_earlier_query_can_only_be_attached_to_through_its_own_session():
    """It is not submitted again, and other tenants are denied."""
    coordinator = coordinator_of()
    session_id = open_session(coordinator)
    other = open_session(coordinator, "u", "s")
    assert session_id != other
    assert open_session(coordinator) == session_id
    submit = coordinator.submit_query
    assert call(submit, "t", session_id, "m", True, "e1", 500).kind is AnswerKind.SUBMIT
    assert call(submit, "t", session_id, "r", False, "e2", 500).kind is AnswerKind.SUBMIT
    answer = coordinator.attach_query(1.0, "t", session_id, "m")
    assert (answer.kind, answer.engine, answer.mutating) == (AnswerKind.ATTACH, "e1", True)
    assert call(submit, "t", session_id, "m", True, "e1", 500).kind is AnswerKind.ATTACH
    assert coordinator.attach_query(1.0, "t", session_id, "never").kind is AnswerKind.UNKNOWN
    others_session = coordinator.attach_query(1.0, "u", session_id, "m")
    assert others_session.kind is AnswerKind.PERMISSION_DENIED
    others_query = coordinator.attach_query(1.0, "u", other, "m")
    assert others_query.kind is AnswerKind.PERMISSION_DENIED
    assert coordinator.record_outcome(1.0, "t", session_id, "r", "done")
    assert not coordinator.record_outcome(1.0, "t", session_id, "r", "failed")
    assert coordinator.attach_query(1.0, "t", session_id, "r").outcome == "done"


def test_a_query_that_its_engine_does_not_know_is_submitted_again_only_if_read_only():
    """A mutating one of this term stays open; the next leader cannot know whether it ran, and fails it."""
    coordinator = coordinator_of()
    session_id = open_session(coordinator)
    call(coordinator.submit_query, "t", session_id, "m", True, "e1", 500)
    resubmit = coordinator.resubmit_query
    assert call(resubmit, "t", session_id, "m", "e1", 500).kind is AnswerKind.ATTACH
    submitted = call(coordinator.submit_query, "t", session_id, "r2", False, "e2", 500)
    assert submitted.kind is AnswerKind.SUBMIT
    coordinator.group.group.generation = 2
    assert call(resubmit, "t", session_id, "r2", "e1", 500).kind is AnswerKind.SUBMIT
    failed = call(resubmit, "t", session_id, "m", "e1", 500)
    assert (failed.kind, failed.outcome) == (AnswerKind.ENDED, "failed")
    assert call(resubmit, "t", session_id, "m", "e1", 500).kind is AnswerKind.ENDED


def test_a_process_that_does_not_lead_rejects_requests():
    """So does one whose write had an uncertain result, until the next generation."""
    coordinator = coordinator_of()
    group = coordinator.group.group
    session_id = open_session(coordinator)
    group.is_held = False
    not_held = call(coordinator.submit_query, "t", session_id, "m", True, "e", 1)
    assert not_held.kind is AnswerKind.NOT_LEADER
    assert coordinator.attach_query(0.0, "t", session_id, "m").kind is AnswerKind.NOT_LEADER
    group.is_held = True
    group.result = None
    uncertain = call(coordinator.submit_query, "t", session_id, "m", True, "e", 1)
    assert uncertain.kind is AnswerKind.NOT_LEADER
    group.result = True
    same_generation = call(coordinator.submit_query, "t", session_id, "m2", True, "e", 1)
    assert same_generation.kind is AnswerKind.NOT_LEADER
    group.generation = 2
    next_generation = call(coordinator.submit_query, "t", session_id, "m2", True, "e", 1)
    assert next_generation.kind is AnswerKind.SUBMIT


@pytest.mark.parametrize(
    "tenant, name", [("t", ""), ("", "s"), ("t", "s" * (MAX_NAME_BYTES + 1)), ("t", "é" * 33)]
)
def test_names_that_are_empty_or_too_long_are_rejected(tenant, name):
    """Their length is counted in bytes."""
    assert call(coordinator_of().open_session, tenant, name).kind is AnswerKind.PERMISSION_DENIED


def test_the_longest_idle_session_is_evicted_when_there_are_too_many():
    """A session with an open query stays."""
    coordinator = coordinator_of()
    first = open_session(coordinator, name="first")
    busy = open_session(coordinator, name="busy")
    assert call(coordinator.submit_query, "t", busy, "m", True, "e", 1).kind is AnswerKind.SUBMIT
    for i in range(MAX_SESSIONS):
        assert open_session(coordinator, name=f"n{i}")
    assert coordinator.evicted_sessions == 2
    assert len(coordinator.committed.live_sessions) == MAX_SESSIONS
    assert coordinator.attach_query(0.0, "t", first, "x").kind is AnswerKind.UNKNOWN
    assert coordinator.attach_query(0.0, "t", busy, "m").kind is AnswerKind.ATTACH


def test_a_full_session_forgets_queries_that_ended_but_never_one_that_may_run():
    """If no query has ended, a further one is rejected."""
    coordinator = coordinator_of()
    session_id = open_session(coordinator)

    def submit(i):
        return call(coordinator.submit_query, "t", session_id, f"ref-{i:040}", True, "engine", 1).kind

    kinds = [submit(i) for i in range(40)]
    full = kinds.index(AnswerKind.CAPACITY_EXCEEDED)
    assert full >= 8
    assert set(kinds[:full]) == {AnswerKind.SUBMIT}
    assert set(kinds[full:]) == {AnswerKind.CAPACITY_EXCEEDED}
    coordinator.record_outcome(0.0, "t", session_id, f"ref-{3:040}", "done")
    assert submit(99) is AnswerKind.SUBMIT
    assert coordinator.attach_query(0.0, "t", session_id, f"ref-{3:040}").kind is AnswerKind.UNKNOWN
    assert coordinator.attach_query(0.0, "t", session_id, f"ref-{4:040}").kind is AnswerKind.ATTACH
    assert coordinator.committed.sessions[session_id].size_bytes <= MAX_SESSION_BYTES


def test_a_log_of_a_newer_version_is_not_loaded():
    """The coordinator does not lead, and reports why."""
    newer = pb.State.FromString(StateMachine("f0").state())
    newer.version = 9
    coordinator = coordinator_of()
    coordinator.group.snapshot = lambda: (newer.SerializeToString(), [])
    assert call(coordinator.open_session, "t", "s").kind is AnswerKind.NOT_LEADER
    assert "version 9" in coordinator.last_error


def test_idle_sessions_are_handed_over_first_and_those_with_open_mutations_last():
    """Sessions with open read-only queries are in between, because those may run again elsewhere."""
    coordinator = coordinator_of()
    writing, reading, idle = (open_session(coordinator, name=name) for name in ("w", "r", "i"))
    call(coordinator.submit_query, "t", writing, "m", True, "e", 1)
    call(coordinator.submit_query, "t", reading, "q", False, "e", 1)
    ordered = handover_order(coordinator.committed.live_sessions)
    assert [session.session_id for session in ordered] == [idle, reading, writing]


def fill_with_largest_sessions(coordinator):
    """Opens as many and as large sessions as the limits allow, and ends all their queries."""
    tenant = "t" * MAX_NAME_BYTES
    engine = "e" * MAX_NAME_BYTES
    session_ids = [open_session(coordinator, tenant, f"{i:064}") for i in range(MAX_SESSIONS)]
    for session_id in dict.fromkeys(session_ids):
        for i in range(30):
            call(coordinator.submit_query, tenant, session_id, f"{i:064}", i % 2 == 0, engine, 1e9)
    for session in list(coordinator.committed.live_sessions):
        assert coordinator.pin_engine(0.0, tenant, session.session_id, "p" * MAX_NAME_BYTES, 2**40)
        for query_id in list(session.queries):
            coordinator.record_outcome(0.0, tenant, session.session_id, query_id, "o" * 16)


def test_the_largest_session_fits_in_a_datagram_and_the_largest_state_in_its_group():
    """Names have the maximum length, and sessions as many queries as fit."""
    coordinator = coordinator_of()
    fill_with_largest_sessions(coordinator)
    coordinator.committed.check()
    sizes = [session.size_bytes for session in coordinator.committed.live_sessions]
    assert sum(sizes) <= MAX_SESSIONS_BYTES
    base, records = coordinator.group.group.state
    further_bytes = (GROUP_RECORDS - len(records)) * GROUP_RECORD_BYTES
    assert len(base) + sum(map(len, records)) + further_bytes < MAX_STATE_BYTES
    target = "g" * 32
    coordinator.handover_source.update_members([GatewayStatus(target, 9999)])
    coordinator.handover_source.leave(0.0, at_once=True)
    coordinator.tick(0.0)
    offers, coordinator.outbox[:] = [message.offer for _, message in coordinator.outbox], []
    assert offers
    for offer in offers:
        room = pb.Room(id=offer.id, generation=1, yes=True, free=9999)
        answer = pb.Message(replica_group=target, to="f0", term=1, room=room)
        coordinator.on_message(0.0, ("g", 1), with_checksum(answer))
    sent = [message for _, message in coordinator.outbox if message.HasField("handed")]
    largest_bytes = max(message.ByteSize() for message in sent)
    assert largest_bytes < MAX_DATAGRAM_BYTES
