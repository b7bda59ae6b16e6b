"""Membership reads and writes the messages of revision 0018238: same bytes, same meaning.

`golden/membership/exchange.json` holds a scripted exchange of four members as that revision ran it (one
message of each kind in full, a digest of all of them, each member's view at the end), and the effect of each
of these messages on a member that received it alone. States are the numbers of `members.proto`.
"""

import heapq
import json
from hashlib import blake2b
from itertools import count
from pathlib import Path
from random import Random

import pytest

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.settings import Settings

pytestmark = pytest.mark.together

GOLDEN = Path(__file__).parent / "golden" / "membership" / "exchange.json"
NAMES = ("a", "b", "c", "d")
DELAY_MS = 1.0
SLOW_DELAY_MS = 160.0  # So long that a probe's helpers are asked before the ack arrives.
SHORT_TIMES = Settings(
    probe_period_ms=100,
    suspicion_timeout_ms=600,
    removal_timeout_ms=1_500,
    sync_interval_ms=700,
    faulty_probe_interval_ms=300,
    max_tick_delay_ms=150,
    rejoin_delay_ms=300,
)


def make_member(name, incarnation, now_ms):
    """Returns a member as its host creates it, with its own random source."""
    return FailureDetector(name, incarnation, NAMES, Random(f"{name}/{incarnation}"), SHORT_TIMES, now_ms)


def entries_of(member):
    """Returns [name, incarnation, number of the state] of all members that one member knows."""
    return [[entry.name, entry.incarnation, entry.state.number] for entry in member.members()]


class Exchange:
    """Four members on a network with fixed delays; all messages that they send are recorded."""

    def __init__(self):
        """Starts without running members."""
        self.now_ms = 0.0
        self.order = count()
        self.events = []
        self.members = {}
        self.starts = dict.fromkeys(NAMES, 0)
        # Links as pairs (sender, receiver).
        self.lost = set()
        self.slow = set()
        self.sent = []
        self.sends = []

    def at(self, at_ms, action, *arguments):
        """Schedules an action at a time of the script."""
        heapq.heappush(self.events, (at_ms, next(self.order), action, arguments))

    def start(self, name, incarnation):
        """Starts a process."""
        self.starts[name] += 1
        self.members[name] = make_member(name, incarnation, self.now_ms)
        self.flush(name)

    def stop(self, name):
        """Ends a process without notifying the others."""
        self.starts[name] += 1
        del self.members[name]

    def call(self, name, method, *arguments):
        """Calls a method of a member as its host does."""
        getattr(self.members[name], method)(self.now_ms, *arguments)
        self.flush(name)

    def flush(self, name):
        """Sends what a member has in its outbox, and schedules its next tick."""
        member, starts = self.members[name], self.starts[name]
        for receiver, message in member.outbox:
            data = message.SerializeToString()
            self.sent.append((self.now_ms, name, member.incarnation, receiver, data))
            if (name, receiver) not in self.lost:
                delay_ms = SLOW_DELAY_MS if (name, receiver) in self.slow else DELAY_MS
                sender = name, member.incarnation
                self.at(self.now_ms + delay_ms, self.deliver, receiver, sender, data)
        member.outbox.clear()
        self.at(max(member.due_ms, self.now_ms), self.tick, name, starts)

    def deliver(self, receiver, sender, data):
        """Delivers a message."""
        if receiver in self.members:
            self.call(receiver, "on_message", sender, pb.Message.FromString(data))

    def tick(self, name, starts):
        """Ticks a member unless it was restarted or is no longer due."""
        if self.starts[name] == starts and self.members[name].due_ms <= self.now_ms:
            self.call(name, "tick")

    def run(self, until_ms):
        """Runs all events up to a time."""
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)


def run_script():
    """Runs the script and returns the exchange.

    Three members join, then a fourth; a link is slow; one member is killed and restarted; the network is
    partitioned; one member leaves.
    """
    exchange = Exchange()
    for name in "abc":
        exchange.at(0, exchange.start, name, 1)
    exchange.at(500, exchange.start, "d", 1)
    exchange.at(1_000, exchange.slow.add, ("a", "b"))
    exchange.at(1_800, exchange.slow.clear)
    exchange.at(2_000, exchange.stop, "d")
    exchange.at(6_000, exchange.start, "d", 2)
    for name in "abd":
        exchange.at(7_000, exchange.lost.add, ("c", name))
    exchange.at(9_000, exchange.lost.clear)
    exchange.at(12_000, exchange.call, "b", "leave")
    exchange.run(13_000)
    return exchange


def digest_of(exchange):
    """Returns a digest of all messages, with time, sender and receiver."""
    hashed = blake2b(digest_size=16)
    for sent in exchange.sent:
        hashed.update(repr(sent).encode())
    return hashed.hexdigest()


def kind_of(data):
    """Returns a message's kind, with what distinguishes messages of that kind and the states in it."""
    message = pb.Message.FromString(data)
    kind = message.WhichOneof("kind")
    body = getattr(message, kind)
    if kind == "ack":
        kind += " positive" if body.ok else " negative"
    if kind == "piece" and body.back:
        kind += " back"
    states = sorted({row.state for row in message.rows})
    return " ".join([kind, *(pb.State.Name(state).lower() for state in states)])


def examples(exchange):
    """Returns the first message of each kind."""
    found = {}
    for sent_ms, sender, incarnation, receiver, data in exchange.sent:
        found.setdefault(
            kind_of(data),
            {
                "sent_ms": sent_ms,
                "sender": [sender, incarnation],
                "receiver": receiver,
                "bytes": data.hex(),
            },
        )
    return found


def effect_of(example):
    """Returns the effect of a message on a member that knows all others, and what that member sends."""
    receiver = make_member(example["receiver"], 1, 0.0)
    for name in NAMES:
        if name != receiver.name:
            receiver.on_message(1.0, (name, 1), pb.Message(join=pb.Join()))
    receiver.outbox.clear()
    receiver.on_message(
        100.0, tuple(example["sender"]), pb.Message.FromString(bytes.fromhex(example["bytes"]))
    )
    return {
        "entries": entries_of(receiver),
        "sent": [[name, message.SerializeToString().hex()] for name, message in receiver.outbox],
        "due_ms": receiver.due_ms if receiver.due_ms < float("inf") else None,
    }


def record_exchange():
    """Returns everything that the golden file holds."""
    exchange = run_script()
    found = examples(exchange)
    for example in found.values():
        example["effect"] = effect_of(example)
    return {
        "examples": found,
        "messages": len(exchange.sent),
        "digest": digest_of(exchange),
        "entries": {name: entries_of(member) for name, member in sorted(exchange.members.items())},
        "view_digests": {name: member.view.digest for name, member in sorted(exchange.members.items())},
    }


@pytest.fixture(scope="module")
def golden():
    """Returns the record of revision 0018238."""
    return json.loads(GOLDEN.read_text(encoding="utf-8"))


@pytest.fixture(scope="module")
def current():
    """Returns the record of the same script with the current code."""
    return record_exchange()


def test_a_scripted_exchange_is_the_same_bytes_at_the_same_times(golden, current):
    """Given the same clocks and random draws, all messages are the same."""
    assert current["messages"] == golden["messages"]
    assert current["digest"] == golden["digest"]


def test_every_kind_of_message_is_in_the_golden_file(golden):
    """Kinds of `members.proto`, both answers to a ping, and every state of an entry."""
    kinds = {name.split()[0] for name in golden["examples"]}
    assert kinds == {field.name for field in pb.Message.DESCRIPTOR.oneofs_by_name["kind"].fields}
    words = {word for name in golden["examples"] for word in name.split()}
    assert {"positive", "negative", "back", "alive", "suspect", "cut", "left", "gone"} <= words


def test_each_kind_of_message_is_written_as_before(golden, current):
    """The first message of each kind is sent at the same time with the same bytes."""
    assert current["examples"].keys() == golden["examples"].keys()
    for name, example in golden["examples"].items():
        assert current["examples"][name]["bytes"] == example["bytes"], name
        assert current["examples"][name]["sent_ms"] == example["sent_ms"], name


def test_each_kind_of_message_is_understood_as_before(golden):
    """A message of the earlier revision has the same effect and gets the same answer."""
    for name, example in golden["examples"].items():
        assert effect_of(example) == example["effect"], name


def test_all_members_hold_the_same_view_as_before(golden, current):
    """Names, incarnations, states and the digest that members compare."""
    assert current["entries"] == golden["entries"]
    assert current["view_digests"] == golden["view_digests"]
