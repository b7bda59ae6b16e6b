"""Membership reads and writes the messages of revision 0018238: same bytes, same meaning.

`golden/membership/exchange.json` holds a scripted exchange of four members as that revision played it (one
message of each kind in full, a digest over all of them, the view of each member in the end), and what each of
the messages did to a member that received it alone. States are the numbers of `members.proto`.
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
SECOND_DELAY_MS = 160.0  # So late that a probe's helpers are asked first.
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
    """A member as its host makes it, with a random source of its own."""
    return FailureDetector(name, incarnation, NAMES, Random(f"{name}/{incarnation}"), SHORT_TIMES, now_ms)


def entries_of(member):
    """[name, incarnation, number of the state] of all members known to one."""
    return [[entry.name, entry.incarnation, entry.state.number] for entry in member.members()]


class Exchange:
    """Four members on a network whose every delay is known; all that they send is recorded."""

    def __init__(self):
        """Nobody runs yet."""
        self.now_ms = 0.0
        self.order = count()
        self.events = []
        self.members = {}
        self.starts = dict.fromkeys(NAMES, 0)
        # Pairs (sender, receiver).
        self.lost = set()
        self.slow = set()
        self.sent = []
        self.sends = []

    def at(self, at_ms, action, *arguments):
        """Calls an action at a time of the script."""
        heapq.heappush(self.events, (at_ms, next(self.order), action, arguments))

    def start(self, name, incarnation):
        """A process begins."""
        self.starts[name] += 1
        self.members[name] = make_member(name, incarnation, self.now_ms)
        self.flush(name)

    def stop(self, name):
        """A process ends without a word."""
        self.starts[name] += 1
        del self.members[name]

    def call(self, name, method, *arguments):
        """A call of a member by its host."""
        getattr(self.members[name], method)(self.now_ms, *arguments)
        self.flush(name)

    def flush(self, name):
        """Sends what a member has in its outbox, and plans its next tick."""
        member, starts = self.members[name], self.starts[name]
        for receiver, message in member.outbox:
            data = message.SerializeToString()
            self.sent.append((self.now_ms, name, member.incarnation, receiver, data))
            if (name, receiver) not in self.lost:
                delay_ms = SECOND_DELAY_MS if (name, receiver) in self.slow else DELAY_MS
                sender = name, member.incarnation
                self.at(self.now_ms + delay_ms, self.deliver, receiver, sender, data)
        member.outbox.clear()
        self.at(max(member.due_ms, self.now_ms), self.tick, name, starts)

    def deliver(self, receiver, sender, data):
        """A message arrives."""
        if receiver in self.members:
            self.call(receiver, "on_message", sender, pb.Message.FromString(data))

    def tick(self, name, starts):
        """A tick that is still wanted."""
        if self.starts[name] == starts and self.members[name].due_ms <= self.now_ms:
            self.call(name, "tick")

    def run(self, until_ms):
        """Plays all that is planned up to a time."""
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)


def play():
    """Three join, one more joins; a link is slow; one is killed and comes back; a split; one leaves."""
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
    """A digest over all that was sent, when, by whom and to whom."""
    hashed = blake2b(digest_size=16)
    for sent in exchange.sent:
        hashed.update(repr(sent).encode())
    return hashed.hexdigest()


def kind_of(data):
    """What a message is: its kind, the states in it, and what makes two of the kind different."""
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
    """The first message of each kind."""
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
    """What a message does to a member that knows all others, and what that one sends at once."""
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


def recorded():
    """All that the golden file holds."""
    exchange = play()
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
    """The file of revision 0018238."""
    return json.loads(GOLDEN.read_text(encoding="utf-8"))


@pytest.fixture(scope="module")
def played():
    """The same script with this tree's code."""
    return recorded()


def test_a_scripted_exchange_is_the_same_bytes_at_the_same_times(golden, played):
    """Given the same clocks and random draws, all messages are the same."""
    assert played["messages"] == golden["messages"]
    assert played["digest"] == golden["digest"]


def test_every_kind_of_message_is_in_the_golden_file(golden):
    """Kinds of `members.proto`, both answers to a ping, and every state of an entry."""
    kinds = {name.split()[0] for name in golden["examples"]}
    assert kinds == {field.name for field in pb.Message.DESCRIPTOR.oneofs_by_name["kind"].fields}
    words = {word for name in golden["examples"] for word in name.split()}
    assert {"positive", "negative", "back", "alive", "suspect", "cut", "left", "gone"} <= words


def test_each_kind_of_message_is_written_as_before(golden, played):
    """The first of each kind is sent at the same time by the same member."""
    assert played["examples"].keys() == golden["examples"].keys()
    for name, example in golden["examples"].items():
        assert played["examples"][name]["bytes"] == example["bytes"], name
        assert played["examples"][name]["sent_ms"] == example["sent_ms"], name


def test_each_kind_of_message_is_understood_as_before(golden):
    """What an old member's message changes here, and what is answered to it."""
    for name, example in golden["examples"].items():
        assert effect_of(example) == example["effect"], name


def test_all_members_hold_the_same_view_as_before(golden, played):
    """Names, incarnations, states and the digest that members compare."""
    assert played["entries"] == golden["entries"]
    assert played["view_digests"] == golden["view_digests"]
