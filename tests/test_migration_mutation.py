"""A recorded scenario with one message lost, duplicated, delayed, swapped, misdelivered or changed."""

from random import Random

import pytest
from google.protobuf.message import DecodeError
from migration_broken import BROKEN_COORDINATORS
from migration_mutation import DELIVERY_MUTATIONS, Mutation, changed_messages, is_rejected, scenario

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.errors import StateMachineError

MISDELIVERIES = tuple(f"to f{i}" for i in range(3))
SAMPLE_SIZE = 50


def record_scenario():
    """Runs the scenario without mutations; returns its world and (replica group, message) of all messages."""
    sent = []

    def record_message(world, number, copies):
        sent.append(copies[0][:2])
        return copies

    return scenario(record_message), sent


def test_the_scenario_covers_all_kinds_of_messages_and_handovers_under_load():
    """Otherwise its mutations would prove little."""
    world, _ = record_scenario()
    assert {"offer", "room", "handed", "kept"} <= set(world.sent_kinds)
    assert world.audit.handovers_accepted >= 4
    assert sum(client.ended_queries for client in world.clients) > 30
    records = [pb.Record.FromString(raw) for group in world.groups.values() for raw in group.log]
    kinds = {change.WhichOneof("kind") for record in records for change in record.changes}
    assert {"opened", "pinned", "took", "ended", "frozen", "offered", "gone", "told", "accepted"} <= kinds


def test_one_faulty_delivery_breaks_no_invariant(request):
    """Runs a sample of 50 mutations; all with --runs 2."""
    _, sent = record_scenario()
    todo = [
        (number, kind) for number in range(1, len(sent) + 1) for kind in DELIVERY_MUTATIONS + MISDELIVERIES
    ]
    if request.config.getoption("--runs") == 1:
        todo = Random(request.config.getoption("--seed")).sample(todo, SAMPLE_SIZE)
    for number, kind in todo:
        mutation = Mutation(number, kind)
        try:
            scenario(mutation)
        except Exception as error:
            raise AssertionError(f"message {number} ({mutation.mutated_kind}) {kind}: {error}") from error
        assert mutation.mutated_kind


def test_a_changed_message_is_rejected_by_its_checksum(request):
    """Fields have neighbouring and edge values, messages are truncated, bits are flipped.

    For a sample, the whole scenario is run with the changed message.
    """
    _, sent = record_scenario()
    mutants = [
        (number, to, raw, changed_raw)
        for number, (to, raw) in enumerate(sent, 1)
        for _, changed_raw in changed_messages(raw)
    ]
    assert len(mutants) > 2000
    for number, to, raw, changed_raw in mutants:
        assert is_rejected(raw, changed_raw, Coordinator(to, None)), (number, changed_raw)
    readable = [mutant for mutant in mutants if is_readable(mutant[3])]
    for number, _, _, changed_raw in Random(request.config.getoption("--seed")).sample(readable, 10):
        scenario(Mutation(number, "changed", changed_raw))


def is_readable(raw):
    """Returns whether these bytes are a message that is not empty."""
    try:
        return bool(pb.Message.FromString(raw).ByteSize())
    except DecodeError:
        return False


@pytest.mark.parametrize(
    "name, kind",
    [
        ("SendsHandoversOnce", "handed"),
        ("NeverResumesFrozen", "offer"),
        ("HandsOverBeforeCommit", None),
        ("OmitsQueries", None),
        ("AcceptsHandoversTwice", None),
    ],
)
def test_a_lost_message_detects_a_broken_rule(name, kind):
    """`kind`: of the lost message; None: the scenario detects the rule without a loss."""
    broken = next(rule for rule in BROKEN_COORDINATORS if rule.__name__ == name)
    failures = {}
    for number in range(1, 25) if kind else [0]:
        mutation = Mutation(number, "lost")
        try:
            scenario(mutation, broken)
        except (AssertionError, StateMachineError) as error:
            failures[number] = mutation.mutated_kind, str(error)
            break
    print(name, failures)
    assert failures and (kind is None or next(iter(failures.values()))[0] == kind)
