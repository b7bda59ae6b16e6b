"""One message of a recorded scenario lost, doubled, late, swapped, sent elsewhere or changed."""

from random import Random

import pytest
from google.protobuf.message import DecodeError
from migration_broken import BROKEN
from migration_mutation import DELIVERY_MUTATIONS, Mutation, changed, is_rejected, scenario

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.coordinator import Coordinator
from lichenquay.migration.errors import StateMachineError

ELSEWHERE = tuple(f"to f{i}" for i in range(3))
SAMPLE_SIZE = 50


def recorded():
    """The scenario without mutations, and (replica group, message) of all that was sent."""
    sent = []

    def note(world, number, copies):
        sent.append(copies[0][:2])
        return copies

    return scenario(note), sent


def test_the_scenario_has_what_it_is_for():
    """Every kind of message, and handovers under load."""
    world, _ = recorded()
    assert {"offer", "room", "handed", "kept"} <= set(world.sent_kinds)
    assert world.audit.moved >= 4
    assert sum(client.ended for client in world.clients) > 30
    records = [pb.Record.FromString(raw) for group in world.groups.values() for raw in group.log]
    kinds = {change.WhichOneof("kind") for record in records for change in record.changes}
    assert {"opened", "pinned", "took", "ended", "frozen", "offered", "gone", "told", "accepted"} <= kinds


def test_a_message_delivered_otherwise_breaks_nothing(request):
    """A sample of 50; all with --runs 2."""
    _, sent = recorded()
    todo = [(number, kind) for number in range(1, len(sent) + 1) for kind in DELIVERY_MUTATIONS + ELSEWHERE]
    if request.config.getoption("--runs") == 1:
        todo = Random(request.config.getoption("--seed")).sample(todo, SAMPLE_SIZE)
    for number, kind in todo:
        mutation = Mutation(number, kind)
        try:
            scenario(mutation)
        except Exception as error:
            raise AssertionError(f"message {number} ({mutation.hit}) {kind}: {error}") from error
        assert mutation.hit


def test_a_changed_message_counts_as_lost(request):
    """Each field's neighbours and edges, cuts and flipped bits: none has the right checksum.

    Some are replayed whole.
    """
    _, sent = recorded()
    mutants = [
        (number, to, raw, changed_raw)
        for number, (to, raw) in enumerate(sent, 1)
        for _, changed_raw in changed(raw)
    ]
    assert len(mutants) > 2000
    for number, to, raw, changed_raw in mutants:
        assert is_rejected(raw, changed_raw, Coordinator(to, None)), (number, changed_raw)
    readable = [mutant for mutant in mutants if is_readable(mutant[3])]
    for number, _, _, changed_raw in Random(request.config.getoption("--seed")).sample(readable, 10):
        scenario(Mutation(number, "changed", changed_raw))


def is_readable(raw):
    """Whether it is a message that says something."""
    try:
        return bool(pb.Message.FromString(raw).ByteSize())
    except DecodeError:
        return False


@pytest.mark.parametrize(
    "name, kind",
    [
        ("TellsOnce", "handed"),
        ("ThawsNever", "offer"),
        ("CommitBeforeRecord", None),
        ("ForgetsRefs", None),
        ("TakesOlder", None),
    ],
)
def test_a_broken_rule_is_found_by_a_lost_message(name, kind):
    """Which kind of message it is; None: the scenario as it was recorded."""
    broken = next(rule for rule in BROKEN if rule.__name__ == name)
    found = {}
    for number in range(1, 25) if kind else [0]:
        mutation = Mutation(number, "lost")
        try:
            scenario(mutation, broken)
        except (AssertionError, StateMachineError) as error:
            found[number] = mutation.hit, str(error)
            break
    print(name, found)
    assert found and (kind is None or next(iter(found.values()))[0] == kind)
