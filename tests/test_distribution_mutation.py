"""Distribution with one message changed at a time.

Runs each DISTRIBUTION_EVERY-th mutant; DISTRIBUTION_MUTANTS=all runs every one.
"""

import os
from collections import Counter

import pytest
from distribution_harness import entry
from distribution_mutation import mutations, run_mutations
from distribution_world import World

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.fleet.message_envelope import Layer

pytestmark = pytest.mark.together

RUN_ALL = os.environ.get("DISTRIBUTION_MUTANTS") == "all"
RUN_EVERY_NTH = 1 if RUN_ALL else int(os.environ.get("DISTRIBUTION_EVERY", 251))
ENTRIES = [entry("config/a", b"1", 0), entry("config/b", b"2", 0)]
FIRST_REQUEST = 1000


def test_invariants_hold_with_one_message_changed(capsys):
    """The audit's invariants hold at each step, and all accepted changes are in force at the end."""
    result = run_mutations(1, lambda number: number % RUN_EVERY_NTH == 0)
    with capsys.disabled():
        print(
            f"\ndistribution: {result.message_count} messages, {result.mutant_count} mutants, "
            f"{result.mutants_run} run, {len(result.failures)} failures"
        )
    assert result.failures == []
    assert result.message_count > 150
    assert result.mutants_run > 5000 // RUN_EVERY_NTH


class RecordingClient:
    """Records the answers to proposals, by request."""

    due_ms = float("inf")

    def __init__(self):
        """Starts without answers."""
        self.outbox = []
        self.answers = {}

    def on_message(self, now_ms, sender, message):
        """Records an answer."""
        self.answers.setdefault(message.proposed.request, []).append(message.proposed)


def propose_message(request):
    """Returns a client's proposal."""
    return pb.Message(propose=pb.Propose(request=request, entries=ENTRIES))


def changed_proposals(world, leader):
    """Yields proposals with one changed field; their request numbers differ unless that is the field."""
    for number in range(len(list(mutations(propose_message(1))))):
        message = propose_message(FIRST_REQUEST + number)
        mutation = list(mutations(message))[number]
        if "=" in mutation.name:
            yield from (changed for _, _, changed in mutation.deliveries(world, leader, message))


def test_each_changed_proposal_gets_one_answer_and_the_next_one_is_served():
    """It is accepted, or refused with a reason in one line."""
    world = World(3, zones=0)
    client = RecordingClient()
    world.net.host("client", lambda host: {Layer.DISTRIBUTION: client})
    world.run(10_000, lambda: world.leader() is not None)
    leader = world.leader()
    publisher = world.process(leader).publisher
    requests = []
    for message in changed_proposals(world, leader):
        requests.append(message.propose.request)
        publisher.on_message(world.now(leader), ("client", 1), message)
        world.run(50)
    assert len(requests) > 20
    assert {request: len(answers) for request, answers in client.answers.items()} == Counter(requests)
    assert world.leader() == leader
    check_answers(client, publisher)


def check_answers(client, publisher):
    """Checks that every last answer is final, refusals have one line, and versions have no gap."""
    last_answers = [answers[-1] for answers in client.answers.values()]
    refused = [answer for answer in last_answers if answer.outcome == pb.Proposed.REFUSED]
    accepted = [answer for answer in last_answers if answer.outcome == pb.Proposed.ACCEPTED]
    assert len(refused) + len(accepted) == len(last_answers)
    assert all(answer.reason and "\n" not in answer.reason for answer in refused)
    versions = sorted(answer.version for answer in accepted)
    assert versions == list(range(1, publisher.source.version + 1))
