"""Distribution stays compatible with the messages and the stored state of revision 0018238.

Bytes and meaning have to be the same. `golden/distribution/messages.json` holds one message of each kind from
a scripted run (publisher, relays, gateways and a client) and a digest over all messages;
`golden/distribution/stored.json` holds the voters' stored state at the end of the run, and the state that
relays and subscribers held in memory, as they store nothing.
"""

import json
from hashlib import blake2b
from pathlib import Path
from random import Random

import pytest
from distribution_world import VOTERS, World, entry_of

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.record_log import fold, make_record, read_record
from lichenquay.distribution.settings import Settings
from lichenquay.distribution.source import Source
from lichenquay.distribution.subscriber import Subscriber
from lichenquay.fleet.message_envelope import Layer

pytestmark = pytest.mark.together

GOLDEN = Path(__file__).parent / "golden" / "distribution"
SEED = 11
MAX_RECORDS = 6  # So few that the log is folded into a base.
CLIENT = ("client", 1)
SETTINGS = Settings(most_changes=4, most_snapshots=1)
SUBSCRIBER_KINDS = ("follow", "fetch", "leave")
ENTRIES = (
    pb.Entry(key="config/plain", value=b"value"),
    pb.Entry(key="config/deleted", deleted=True),
    pb.Entry(key="engine/z0/empty"),
)


class Recorder:
    """Records every distribution message that a world's processes send."""

    def __init__(self, world):
        """Starts to record, before each flush of an outbox."""
        self.world = world
        self.sent = []
        self.previous_hook = world.net.after
        world.net.after = self.record_outbox

    def record_outbox(self, host, layer, process):
        """Records the messages of an outbox before the network empties it."""
        self.previous_hook(host, layer, process)
        for receiver, message in process.outbox:
            if isinstance(message, pb.Message):
                self.sent.append((self.world.net.now_ms, host.name, receiver, message.SerializeToString()))


def send_to_voter(world, name, **kind):
    """Sends a client's message to a voter."""
    world.net.call(name, Layer.DISTRIBUTION, "on_message", CLIENT, pb.Message(**kind))


def play_script():
    """Plays the scripted run: changes, refusals, failures of a relay and of the leader, late gateways."""
    world = World(SEED, zones=1, gateways=2, settings=SETTINGS, max_records=MAX_RECORDS)
    recorder = Recorder(world)
    world.settle()
    for number in range(4):
        world.propose_until_accepted(
            {f"config/{number}": b"value %d" % number, f"engine/z0/{number}": b"x" * 300}
        )
    leader = world.leader()
    follower = next(name for name in VOTERS if name != leader)
    request = pb.Propose(request=7_001, entries=ENTRIES[:1])
    world.propose({"config/plain": b"value"}, 7_001)
    world.run(300)
    send_to_voter(world, leader, propose=request)
    send_to_voter(
        world, leader, propose=pb.Propose(request=7_002, entries=[pb.Entry(key="unknown/kind", value=b"1")])
    )
    send_to_voter(world, leader, status_request=pb.StatusRequest(request=7_003))
    send_to_voter(world, follower, propose=pb.Propose(request=7_004, entries=ENTRIES[:1]))
    send_to_voter(world, leader, follow=pb.Follow(session=99, number=1))
    world.net.kill("r0a")
    world.run(5_000)
    for number in range(8):
        world.propose_until_accepted({"config/0": b"again %d" % number, "engine/z0/1": b"y%d" % number})
    world.propose_until_accepted({"config/1": None})
    world.net.start("r0a")
    world.add_gateway("late", ["r0b", "r0a"], ["config/"])
    world.add_gateway("later", ["r0b", "r0a"], [""])
    world.run(8_000)
    world.net.kill(leader)
    world.run(6_000)
    world.propose_until_accepted({"config/last": b"of another leader"})
    world.net.start(leader)
    world.run(5_000)
    world.settle()
    return world, recorder


def digest_of(sent):
    """Returns a digest over all messages with their times, senders and receivers."""
    hashed = blake2b(digest_size=16)
    for item in sent:
        hashed.update(repr(item).encode())
    return hashed.hexdigest()


def kind_of(data):
    """Returns a message's kind, with words for its variant."""
    message = pb.Message.FromString(data)
    kind = message.WhichOneof("kind")
    body = getattr(message, kind)
    names = [kind]
    if kind == "proposed":
        names.append(pb.Proposed.Outcome.Name(body.outcome).lower())
    if kind == "follow":
        names += ["relay"] * body.HasField("below") + ["first"] * bool(body.prefixes) + ["whole"] * body.whole
    if kind == "delta":
        names.append("entries" if body.entries else "empty")
    return " ".join(names)


def examples(sent):
    """Returns the first message of each kind."""
    found = {}
    for sent_ms, sender, receiver, data in sent:
        example = {"sent_ms": sent_ms, "sender": sender, "receiver": receiver, "bytes": data.hex()}
        found.setdefault(kind_of(data), example)
    return found


def effect_at_source(example):
    """Returns the effect of a subscriber's message on a source that has one change."""
    source = Source("source", Random(5), SETTINGS, 1_000.0)
    source.confirm(1_000.0, 1, 0, 0.0)
    change = read_record(make_record(ENTRIES, 1), 1)
    source.advance(1_000.0, 1, 1, change.entries, 1_000.0)
    message = pb.Message.FromString(bytes.fromhex(example["bytes"]))
    source.on_message(1_100.0, (example["sender"], 1), message)
    return outcome(source)


def effect_at_subscriber(example):
    """Returns the effect of a source's message on a subscriber whose session is the message's."""
    message = pb.Message.FromString(bytes.fromhex(example["bytes"]))
    body = getattr(message, message.WhichOneof("kind"))

    class SessionNumbers(Random):
        def getrandbits(self, bits):
            return body.session - 1

    sources = [example["sender"], "other source"]
    prefixes = ["config/", "engine/z0/"] if example["receiver"][0] == "f" else [""]
    prefixes = ["config/"] if example["receiver"] == "late" else prefixes
    applied = []
    subscriber = Subscriber(
        "subscriber",
        sources,
        prefixes,
        SessionNumbers(5),
        SETTINGS,
        1_000.0,
        lambda now_ms, changed, whole: applied.append([sorted_values(changed), whole]),
    )
    subscriber.tick(subscriber.due_ms)
    subscriber.outbox.clear()
    subscriber.on_message(2_000.0, (example["sender"], 1), message)
    result = outcome(subscriber)
    result |= {
        "version": subscriber.version,
        "digest": subscriber.digest,
        "generation": subscriber.generation,
        "source": subscriber.source,
        "applied": applied,
        "age_ms": None if subscriber.age_ms(2_000.0) == float("inf") else subscriber.age_ms(2_000.0),
    }
    return result


def effect_at_voter(example):
    """Returns the effect of a client's message on a new voter, which does not hold the lease."""
    world = World(SEED, zones=0, gateways=0)
    process = world.process("v1")
    process.on_message(world.now("v1"), CLIENT, pb.Message.FromString(bytes.fromhex(example["bytes"])))
    sent = [[name, m.SerializeToString().hex()] for name, m in process.outbox if isinstance(m, pb.Message)]
    return {"sent": sent}


def outcome(component):
    """Returns what a source or subscriber has sent, and when its tick is due."""
    sent = [[name, message.SerializeToString().hex()] for name, message in component.outbox]
    return {"sent": sent, "due_ms": component.due_ms}


def effect_of(kind, example):
    """Returns the effect of a message on its receiver, None if that is a client."""
    if kind.split()[0] in SUBSCRIBER_KINDS:
        return effect_at_source(example)
    if example["receiver"] == "client":
        return None
    return effect_at_subscriber(example)


def sorted_values(values):
    """Returns {key: value} as a JSON list, sorted by key."""
    return [[key, None if value is None else value.hex()] for key, value in sorted(values.items())]


def held_by(subscriber):
    """Returns the state that a subscriber holds in memory."""
    return {
        "version": subscriber.version,
        "in_force": subscriber.applied_version,
        "digest": subscriber.digest,
        "generation": subscriber.generation,
        "values": sorted_values(subscriber.applied_values),
    }


def recorded():
    """Returns the content of the two golden files, computed by this code."""
    world, recorder = play_script()
    found = examples(recorder.sent)
    for kind, example in found.items():
        example["effect"] = effect_of(kind, example)
    clients = {
        "propose": pb.Message(propose=pb.Propose(request=7_001, entries=ENTRIES)),
        "status_request": pb.Message(status_request=pb.StatusRequest(request=7_003)),
    }
    for kind, message in clients.items():
        found[kind] = {"bytes": message.SerializeToString().hex()}
        found[kind]["effect"] = effect_at_voter(found[kind])
    messages = {"examples": found, "messages": len(recorder.sent), "digest": digest_of(recorder.sent)}
    disks = {
        voter: {key: value.hex() for key, value in sorted(disk.items())}
        for voter, disk in sorted(world.disks.items())
    }
    held = {name: held_by(world.subscriber(name)) for name in (*world.relays, *world.gateways)}
    stored = {"voters": disks, "held": held, "record": make_record(ENTRIES, 9).hex()}
    base, _ = world.process(world.leader()).group.state
    stored["base"] = base.hex()
    stored["fold"] = fold(b"", [make_record(ENTRIES, 9), make_record(ENTRIES[:1], 10), b"\xff"]).hex()
    return {"messages": messages, "stored": stored}


@pytest.fixture(scope="module")
def messages():
    """Returns the messages of revision 0018238."""
    return json.loads((GOLDEN / "messages.json").read_text(encoding="utf-8"))


@pytest.fixture(scope="module")
def stored():
    """Returns the stored state of revision 0018238."""
    return json.loads((GOLDEN / "stored.json").read_text(encoding="utf-8"))


@pytest.fixture(scope="module")
def played():
    """Returns the result of the same script with this code."""
    return recorded()


def test_a_scripted_run_is_the_same_bytes_at_the_same_times(messages, played):
    """With the same clocks and random draws, all messages are the same."""
    assert played["messages"]["messages"] == messages["messages"]
    assert played["messages"]["digest"] == messages["digest"]


def test_every_kind_of_message_is_in_the_golden_file(messages):
    """All kinds of `distribution.proto`, and proposals accepted and refused."""
    kinds = {name.split()[0] for name in messages["examples"]}
    assert kinds == {field.name for field in pb.Message.DESCRIPTOR.oneofs_by_name["kind"].fields}
    assert {"proposed accepted", "proposed refused", "delta empty", "delta entries"} <= set(
        messages["examples"]
    )


def test_each_kind_of_message_is_written_as_before(messages, played):
    """The first of each kind has the same bytes, time, sender and receiver."""
    assert played["messages"]["examples"].keys() == messages["examples"].keys()
    for kind, example in messages["examples"].items():
        assert played["messages"]["examples"][kind] == example, kind


def test_each_kind_of_message_is_understood_as_before(messages):
    """A message of the old revision has the same effect and gets the same answer."""
    for kind, example in messages["examples"].items():
        by_client = kind in ("propose", "status_request")
        effect = effect_at_voter(example) if by_client else effect_of(kind, example)
        assert effect == example["effect"], kind


def test_stored_state_is_the_same_bytes_in_the_same_sections(stored, played):
    """The voters' sections, a record, and the fold of records into a base."""
    assert played["stored"]["voters"] == stored["voters"]
    assert played["stored"]["base"] == stored["base"]
    assert played["stored"]["record"] == stored["record"]
    assert played["stored"]["fold"] == stored["fold"]


def test_relays_and_subscribers_hold_the_same_state(stored, played):
    """Versions, digests and values in force at the end of the run."""
    assert played["stored"]["held"] == stored["held"]


def test_voters_start_from_the_stored_state_of_the_old_revision(stored):
    """They elect a leader that has every accepted change and recognizes an accepted request."""
    world = World(SEED, zones=0, gateways=0, settings=SETTINGS, max_records=MAX_RECORDS)
    for voter in VOTERS:
        world.net.kill(voter)
    for voter in VOTERS:
        world.disks[voter] = {key: bytes.fromhex(value) for key, value in stored["voters"][voter].items()}
    values = {key: bytes.fromhex(value) for key, value in stored["held"]["later"]["values"]}
    version = stored["held"]["later"]["version"]
    for voter in VOTERS:
        world.net.start(voter)
    state = pb.State.FromString(bytes.fromhex(stored["base"]))
    world.audit.states[state.version] = {entry.key: (entry.value, entry.version) for entry in state.entries}
    assert world.run(10_000, lambda: world.leader() is not None)
    store = world.process(world.leader()).publisher.source.history.store
    assert (store.version, store.digest) == (version, stored["held"]["later"]["digest"])
    assert {key: value for key, (value, _) in store.entries.items()} == values
    answers = []
    leader = world.leader()
    world.process(leader).propose(
        world.now(leader), ENTRIES[:1], 7_001, lambda now_ms, proposed: answers.append(proposed)
    )
    assert [answer.outcome for answer in answers] == [pb.Proposed.ACCEPTED]
    assert answers[0].version < version


def test_a_change_is_proposed_with_the_same_fields():
    """The test helper `entry_of` returns the same entry as a client's deletion."""
    assert entry_of("config/a", None) == pb.Entry(key="config/a", deleted=True)
