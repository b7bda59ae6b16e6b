"""Distribution reads and writes the messages and the stored state of revision 0018238.

Same bytes, same meaning. `golden/distribution/messages.json` holds one message of each kind of a scripted run
(publisher, relays, gateways and a client), with a digest over all of them; `golden/distribution/stored.json`
what the voters of the publisher had on disk at its end. Relays and subscribers store nothing: what they hold
in memory at the end is there as well.
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
MOST_RECORDS = 6  # So few that a base is folded.
CLIENT = ("client", 1)
SETTINGS = Settings(most_changes=4, most_snapshots=1)
DOWNWARDS = ("follow", "fetch", "leave")
ENTRIES = (
    pb.Entry(key="config/plain", value=b"value"),
    pb.Entry(key="config/deleted", deleted=True),
    pb.Entry(key="engine/z0/empty"),
)


class Recorder:
    """Takes down every distribution message that a world's processes send."""

    def __init__(self, world):
        """Looks on at each flush of an outbox."""
        self.world = world
        self.sent = []
        self.before = world.net.after
        world.net.after = self.look

    def look(self, host, layer, part):
        """Called by the network before an outbox is emptied."""
        self.before(host, layer, part)
        for receiver, message in part.outbox:
            if isinstance(message, pb.Message):
                self.sent.append((self.world.net.now_ms, host.name, receiver, message.SerializeToString()))


def ask(world, name, **kind):
    """A client's message to a voter."""
    world.net.call(name, Layer.DISTRIBUTION, "on_message", CLIENT, pb.Message(**kind))


def play():
    """Changes are accepted, refused and deleted; a relay and the leader fail; a gateway comes late."""
    world = World(SEED, zones=1, gateways=2, settings=SETTINGS, max_records=MOST_RECORDS)
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
    ask(world, leader, propose=request)
    ask(world, leader, propose=pb.Propose(request=7_002, entries=[pb.Entry(key="unknown/kind", value=b"1")]))
    ask(world, leader, status_request=pb.StatusRequest(request=7_003))
    ask(world, follower, propose=pb.Propose(request=7_004, entries=ENTRIES[:1]))
    ask(world, leader, follow=pb.Follow(session=99, number=1))
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
    """A digest over all that was sent, when, by whom and to whom."""
    hashed = blake2b(digest_size=16)
    for item in sent:
        hashed.update(repr(item).encode())
    return hashed.hexdigest()


def kind_of(data):
    """What a message is, with what makes two of a kind different."""
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
    """The first message of each kind."""
    found = {}
    for sent_ms, sender, receiver, data in sent:
        example = {"sent_ms": sent_ms, "sender": sender, "receiver": receiver, "bytes": data.hex()}
        found.setdefault(kind_of(data), example)
    return found


def effect_at_source(example):
    """What a message of a subscriber does to a source that has one change."""
    source = Source("source", Random(5), SETTINGS, 1_000.0)
    source.confirm(1_000.0, 1, 0, 0.0)
    change = read_record(make_record(ENTRIES, 1), 1)
    source.advance(1_000.0, 1, 1, change.entries, 1_000.0)
    message = pb.Message.FromString(bytes.fromhex(example["bytes"]))
    source.on_message(1_100.0, (example["sender"], 1), message)
    return outcome(source)


def effect_at_subscriber(example):
    """What a message of a source does to a subscriber whose session is the message's."""
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
    """What a client's message does to a new voter alone, which is no leader."""
    world = World(SEED, zones=0, gateways=0)
    part = world.process("v1")
    part.on_message(world.now("v1"), CLIENT, pb.Message.FromString(bytes.fromhex(example["bytes"])))
    sent = [[name, m.SerializeToString().hex()] for name, m in part.outbox if isinstance(m, pb.Message)]
    return {"sent": sent}


def outcome(part):
    """What is sent, and when the part is to be called next."""
    sent = [[name, message.SerializeToString().hex()] for name, message in part.outbox]
    return {"sent": sent, "due_ms": part.due_ms}


def effect_of(kind, example):
    """What a message does to the part that it is for; None: it is for a client."""
    if kind.split()[0] in DOWNWARDS:
        return effect_at_source(example)
    if example["receiver"] == "client":
        return None
    return effect_at_subscriber(example)


def sorted_values(values):
    """{key: value} as JSON holds it."""
    return [[key, None if value is None else value.hex()] for key, value in sorted(values.items())]


def held_by(subscriber):
    """What a subscriber holds in memory."""
    return {
        "version": subscriber.version,
        "in_force": subscriber.applied_version,
        "digest": subscriber.digest,
        "generation": subscriber.generation,
        "values": sorted_values(subscriber.applied_values),
    }


def recorded():
    """All that the two golden files hold."""
    world, recorder = play()
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
    """Messages of revision 0018238."""
    return json.loads((GOLDEN / "messages.json").read_text(encoding="utf-8"))


@pytest.fixture(scope="module")
def stored():
    """Stored state of revision 0018238."""
    return json.loads((GOLDEN / "stored.json").read_text(encoding="utf-8"))


@pytest.fixture(scope="module")
def played():
    """The same script with this tree's code."""
    return recorded()


def test_a_scripted_run_is_the_same_bytes_at_the_same_times(messages, played):
    """Given the same clocks and random draws, all messages are the same."""
    assert played["messages"]["messages"] == messages["messages"]
    assert played["messages"]["digest"] == messages["digest"]


def test_every_kind_of_message_is_in_the_golden_file(messages):
    """Kinds of `distribution.proto`, and each outcome of a proposal."""
    kinds = {name.split()[0] for name in messages["examples"]}
    assert kinds == {field.name for field in pb.Message.DESCRIPTOR.oneofs_by_name["kind"].fields}
    assert {"proposed accepted", "proposed refused", "delta empty", "delta entries"} <= set(
        messages["examples"]
    )


def test_each_kind_of_message_is_written_as_before(messages, played):
    """The first of each kind is sent at the same time by the same process."""
    assert played["messages"]["examples"].keys() == messages["examples"].keys()
    for kind, example in messages["examples"].items():
        assert played["messages"]["examples"][kind] == example, kind


def test_each_kind_of_message_is_understood_as_before(messages):
    """What an old process's message changes here, and what is answered to it."""
    for kind, example in messages["examples"].items():
        by_client = kind in ("propose", "status_request")
        effect = effect_at_voter(example) if by_client else effect_of(kind, example)
        assert effect == example["effect"], kind


def test_stored_state_is_the_same_bytes_in_the_same_sections(stored, played):
    """What voters write, the record and the fold of records into a base."""
    assert played["stored"]["voters"] == stored["voters"]
    assert played["stored"]["base"] == stored["base"]
    assert played["stored"]["record"] == stored["record"]
    assert played["stored"]["fold"] == stored["fold"]


def test_relays_and_subscribers_hold_the_same_as_before(stored, played):
    """Versions, digests and values in force at the end of the run."""
    assert played["stored"]["held"] == stored["held"]


def test_voters_go_on_from_the_stored_state_of_the_old_revision(stored):
    """They elect a leader, and its subscribers get what the old one had accepted."""
    world = World(SEED, zones=0, gateways=0, settings=SETTINGS, max_records=MOST_RECORDS)
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
    """`entry_of` of the tests makes what a client proposes."""
    assert entry_of("config/a", None) == pb.Entry(key="config/a", deleted=True)
