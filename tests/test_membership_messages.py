"""Messages and the member table: order does not matter, bounds hold, and no message raises an exception."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from membership_world import ALIVE, FAULTY, MAX_OUTBOX, QUICK

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.member_table import MAX_MEMBERS, MemberTable
from lichenquay.membership.message_format import (
    MAX_BODY_BYTES,
    MAX_INCARNATION,
    MAX_REFUTATION,
    MAX_RELAYED_INCARNATION,
    is_valid_row,
    record_of,
)
from lichenquay.membership.settings import Settings

TOO_MANY_MEMBERS = 1_100
SYNC_ROUNDS = 60


def test_the_table_takes_no_more_than_its_limit_and_is_exchanged_whole():
    """Receives 1,100 names of maximum length; another member gets all that fit by anti-entropy."""
    full = FailureDetector("me", 1, ["a"], random.Random(1), Settings(), 0.0)
    full.on_message(1.0, ("b", 1), pb.Message(join=pb.Join()))
    for number in range(TOO_MANY_MEMBERS):
        row = pb.Row(name=f"{number:064}", incarnation=1)
        full.on_message(1.0, ("a", 1), pb.Message(gossip=pb.Gossip(), rows=[row]))
    assert len(full.members()) == MAX_MEMBERS
    assert full.counts["table_full"] == TOO_MANY_MEMBERS - MAX_MEMBERS + 3
    other = FailureDetector("b", 1, ["me"], random.Random(2), Settings(), 0.0)
    for _ in range(SYNC_ROUNDS):
        full.outbox.clear()
        full.anti_entropy.send_digests("b")
        exchange_sync_messages(full, other)
    assert {member.name for member in other.members()} == {member.name for member in full.members()}


def exchange_sync_messages(first, second):
    """Delivers all sync messages between two members until none is left."""
    pending = [(first, second, message) for _, message in first.outbox]
    for sender, receiver, message in pending:
        assert message.ByteSize() <= MAX_BODY_BYTES
        receiver.outbox.clear()
        receiver.on_message(1.0, (sender.name, 1), message)
        answers = [m for _, m in receiver.outbox if m.WhichOneof("kind") in ("piece", "sync")]
        pending.extend((receiver, sender, answer) for answer in answers)


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
def test_the_table_does_not_depend_on_the_order_of_claims(claims, rng):
    """Nor on claims that come twice."""
    tables = []
    for _ in range(2):
        table = MemberTable()
        for row in claims + claims[:3]:
            if is_valid_row(row):
                table.apply(0, record_of(row))
        tables.append(table)
        rng.shuffle(claims)
    first, second = tables
    assert first.partition_digests == second.partition_digests
    assert first.view.digest == second.view.digest
    assert first.live_names() == second.live_names()


pings = st.builds(pb.Ping, no=st.integers(0, 3), name=st.sampled_from(["me", "a", ""]))
ping_requests = st.builds(pb.PingAsk, no=st.integers(0, 3), name=st.sampled_from(["me", "a", "b", ""]))
acks = st.builds(pb.Ack, no=st.integers(0, 2**32 - 1), name=st.sampled_from(["me", "a"]), ok=st.booleans())
syncs = st.builds(pb.Sync, digests=st.lists(st.integers(0, 2**64 - 1), min_size=31, max_size=33))
partition_rows = st.builds(
    pb.Piece,
    parts=st.lists(st.integers(0, 40), max_size=40),
    after=st.text(max_size=3),
    until=st.text(max_size=3),
    back=st.booleans(),
)
kinds = st.one_of(
    pings.map(lambda ping: {"ping": ping}),
    ping_requests.map(lambda request: {"ping_ask": request}),
    acks.map(lambda ack: {"ack": ack}),
    syncs.map(lambda sync: {"sync": sync}),
    partition_rows.map(lambda piece: {"piece": piece}),
    st.sampled_from([{"join": pb.Join()}, {"leave": pb.Leave()}, {"gossip": pb.Gossip()}, {}]),
)
received = st.tuples(
    st.sampled_from(["a", "b", "me", "", "z" * 70]),
    st.sampled_from([0, 1, 2, 2**48, 2**70]),
    kinds,
    st.lists(rows, max_size=4),
    st.integers(0, 5),
    st.sampled_from([0, 1, 2**40, 2**64 - 1]),
    st.floats(0, 3_000),
)


def precedences_of(detector):
    """Returns {name: precedence} of all members."""
    return {member.name: member.precedence for member in detector.table.members.values()}


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(received, max_size=12))
def test_any_message_is_either_dropped_or_taken(messages):
    """None raises, lowers a precedence, or makes more messages than are allowed."""
    detector = FailureDetector("me", 2, ["a", "b"], random.Random(3), QUICK, 0.0)
    now_ms = 0.0
    for name, incarnation, kind, claims, state, refutation, wait_ms in messages:
        now_ms += wait_ms
        before = precedences_of(detector)
        message = pb.Message(word=refutation, state=state, rows=claims, **kind)
        detector.on_message(now_ms, (name, incarnation), message)
        if detector.due_ms <= now_ms:
            detector.tick(now_ms)
        after = precedences_of(detector)
        assert all(after[member] >= held for member, held in before.items())
        assert all(sent.ByteSize() <= MAX_BODY_BYTES for _, sent in detector.outbox)
        assert len(detector.outbox) < MAX_OUTBOX
        numbers = [change.view_number for change in detector.changes]
        assert numbers == list(range(1, len(numbers) + 1))
        assert detector.state_of("me") in (ALIVE, FAULTY) or detector.end_reason
        detector.outbox.clear()
