"""Distribution with one message changed at a time. Short here; all of them by DISTRIBUTION_MUTANTS=all."""

import os
from collections import Counter

import pytest
from distribution_harness import entry
from distribution_mutation import mutations, run
from distribution_world import World

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.fleet.message_envelope import DISTRIBUTION

pytestmark = pytest.mark.together

ALL = os.environ.get("DISTRIBUTION_MUTANTS") == "all"
EVERY = 1 if ALL else int(os.environ.get("DISTRIBUTION_EVERY", 251))


def test_one_message_changed_at_a_time(capsys):
    """The audit's invariants at each step, and rest at the end."""
    messages, there, ran, faults = run(1, lambda number: number % EVERY == 0)
    with capsys.disabled():
        print(f"\ndistribution: {messages} messages, {there} mutants, {ran} run, {len(faults)} faults")
    assert faults == [] and messages > 150 and ran > 5000 // EVERY


class Client:
    """Hears answers to proposals."""

    due_ms = float("inf")

    def __init__(self):
        """Nothing is heard."""
        self.outbox = []
        self.answers = {}

    def heard(self, now_ms, sender, message):
        """An answer, by its request."""
        self.answers.setdefault(message.proposed.request, []).append(message.proposed)


def test_a_changed_proposal_gets_one_answer_and_harms_nobody():
    """Whatever field is odd: accepted, or refused with one line; the next one is served."""
    world, client = World(3, zones=0), Client()
    world.net.host("client", lambda host: {DISTRIBUTION: client})
    world.run(10_000, lambda: world.holder() is not None)
    leader = world.holder()
    publisher = world.part(leader).publisher
    entries = [entry("config/a", b"1", 0), entry("config/b", b"2", 0)]
    asked = []
    for number in range(len(list(mutations(_propose(1, entries))))):
        message = _propose(1000 + number, entries)
        name, change = list(mutations(message))[number]
        for _, _, odd in change(world, leader, message) if "=" in name else ():
            asked.append(odd.propose.request)
            publisher.heard(world.now(leader), ("client", 1), odd)
            world.run(50)
    assert len(asked) > 20 and {r: len(a) for r, a in client.answers.items()} == Counter(asked)
    last = [answers[-1] for answers in client.answers.values()]
    assert all(a.outcome != pb.Proposed.UNKNOWN for a in last) and world.holder() == leader
    assert all(a.reason and "\n" not in a.reason for a in last if a.outcome == pb.Proposed.REFUSED)
    accepted = sorted(a.version for a in last if a.outcome == pb.Proposed.ACCEPTED)
    assert accepted == list(range(1, publisher.source.version + 1))


def _propose(request, entries):
    return pb.Message(propose=pb.Propose(request=request, entries=entries))
