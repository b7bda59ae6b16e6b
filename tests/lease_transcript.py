"""Every call to the groups of a scripted exchange and all answers, to compare two versions byte by byte.

A transcript is plain data: `messages` (hexadecimal, each once, named by its place), and for each life of a
process its `calls`. A call is [method, now_ms, arguments, messages sent, stores requested, due_ms or None].
"""

from random import Random

from lease_audit import QUICK, fold, holder, world_of, write
from storage_golden import FLEET, NAME
from storage_real import make

from lichenquay.lease.durable_state import Frozen, load
from lichenquay.lease.group import Group
from lichenquay.lease.lease_pb2 import Message
from lichenquay.storage.incarnation import next_incarnation

SEED = 7
NAMES = "abc"
GROUP_PREFIX = "owner/ledger/"
FOLDER_BYTES = 256 << 10


def encoded_changes(changes):
    """Sections to write (None: to delete) with their bytes as hexadecimal digits, in the order of writing."""
    return [[key, None if value is None else value.hex()] for key, value in changes.items()]


class Transcript:
    """The lives of all processes, in the order of their starts."""

    def __init__(self, messages=()):
        """`messages`: those that have a place already."""
        self.lives = []
        self.messages = list(messages)

    def place_of(self, message):
        """The place of a message in `messages`."""
        encoded = message.SerializeToString(deterministic=True).hex()
        if encoded not in self.messages:
            self.messages.append(encoded)
        return self.messages.index(encoded)

    def start(self, name, incarnation, now_ms, sections, fresh):
        """The calls of a new life, to be filled."""
        life = {
            "name": name,
            "incarnation": incarnation,
            "now_ms": now_ms,
            "sections": encoded_changes(sections),
            "fresh": fresh,
            "calls": [],
        }
        self.lives.append(life)
        return life["calls"]


def outputs_of(transcript, group, sent_before, stores_before):
    """What a call added to the outboxes, and when the group is due next."""
    due_ms = group.due_ms
    return [
        [[name, transcript.place_of(message)] for name, message in group.outbox[sent_before:]],
        [[number, encoded_changes(changes)] for number, changes in group.to_store[stores_before:]],
        None if due_ms == float("inf") else due_ms,
    ]


def recording_group(transcript):
    """A class of groups that write their calls into `transcript`."""

    def recorded(method, arguments_of):
        def call(self, now_ms, *arguments):
            before = len(self.outbox), len(self.to_store)
            entry = [method, now_ms, arguments_of(*arguments)]
            self.calls.append(entry)
            getattr(Group, method)(self, now_ms, *arguments)
            entry.extend(outputs_of(transcript, self, *before))

        return call

    class RecordingGroup(Group):
        def __init__(self, group_id, name, incarnation, voters, rng, settings, now_ms, kept, fresh, **more):
            self.calls = transcript.start(name, incarnation, now_ms, kept, fresh)
            super().__init__(group_id, name, incarnation, voters, rng, settings, now_ms, kept, fresh, **more)

    methods = {
        "heard": lambda sender, message: [list(sender), transcript.place_of(message)],
        "tick": lambda: [],
        "stored": lambda number, ok: [number, ok],
        "want": lambda wanted: [wanted],
        "write": lambda record, done: [record.hex()],
        "give_up": lambda: [],
    }
    for method, arguments_of in methods.items():
        setattr(RecordingGroup, method, recorded(method, arguments_of))
    return RecordingGroup


def play(transcript):
    """A short history with every kind of message; the sections that each voter has at its end.

    Three voters found the group; records are written; the holder stops; another takes over; a voter loses its
    folder and fetches the whole state; the holder gives the group up.
    """
    world, audit = world_of(NAMES, SEED, delay=(2, 2.5), drift=0.02, kind=recording_group(transcript))
    for name in NAMES:
        world.start(name)
    _run_until_held(world)
    _write_records(world, audit, 6, pad=220)
    first = holder(world)
    world.kill(first)
    _run_until_held(world)
    _write_records(world, audit, 6, pad=3)
    second = holder(world)
    world.start(first)
    world.run(world.now + QUICK.wait_ms)
    lost = next(name for name in NAMES if name not in (first, second))
    world.kill(lost)
    world.run(world.now + 20)
    world.start(lost, folder=False)
    world.run(world.now + 2 * QUICK.wait_ms)
    _run_until_held(world)
    second = holder(world)
    world.call(second, lambda part, now_ms: part.give_up(now_ms))
    world.run(world.now + QUICK.spread_ms)
    _run_until_held(world)
    _write_records(world, audit, 2)
    return {name: encoded_changes(process.kept) for name, process in sorted(world.all.items())}


def _run_until_held(world):
    assert world.run(world.now + 8 * QUICK.lease_ms, lambda: holder(world))


def _write_records(world, audit, number, pad=0):
    for _ in range(number):
        for name in NAMES:
            write(world, audit, name, pad)
        world.run(world.now + 20)


def replay(life, messages):
    """The calls of one life made again on the group of this tree: the entries that this gives."""
    transcript = Transcript(messages)
    sections = {key: bytes.fromhex(value) for key, value in life["sections"]}
    group = recording_group(transcript)(
        "g",
        life["name"],
        life["incarnation"],
        NAMES,
        Random(f"{SEED}/{life['name']}/{life['incarnation']}"),
        QUICK,
        life["now_ms"],
        sections,
        fresh=life["fresh"],
        fold=fold,
    )
    for method, now_ms, arguments, *_ in life["calls"]:
        if method == "heard":
            name, incarnation = arguments[0]
            arguments = [(name, incarnation), Message.FromString(bytes.fromhex(messages[arguments[1]]))]
        elif method == "write":
            arguments = [bytes.fromhex(arguments[0]), lambda now_ms, ok: None]
        getattr(group, method)(now_ms, *arguments)
        group.outbox[:], group.to_store[:] = [], []
    return transcript.lives[0]["calls"]


def meaning_of(sections):
    """What a voter reads in its sections, as plain data; `whole_state`: CRC32 and bytes of what is sent in pieces."""
    promise, log = load(sections)
    frozen = Frozen(log)
    return {
        "promise": [promise.generation, promise.name, promise.incarnation],
        "position": list(log.position),
        "base": [log.base_index, log.base_chain, log.base.hex()],
        "records": [record.hex() for record in log.records],
        "whole_state": [frozen.crc, frozen.blob.hex()],
    }


def write_voter_folder(path, life):
    """The folder of a process that is a voter: its incarnation, then every store that its group got."""
    store = make(path, NAME, FLEET, FOLDER_BYTES)
    next_incarnation(store, life["incarnation"])
    asked = {}
    for method, _, arguments, _, stores, _ in life["calls"]:
        if method == "stored" and arguments[1]:
            store.append(asked[arguments[0]])
            store.flush(0.0)
        for number, changes in stores:
            asked[number] = {
                GROUP_PREFIX + key: None if value is None else bytes.fromhex(value) for key, value in changes
            }
    store.close()


def voter_folder_of(path):
    """The sections of the group in a process's folder."""
    store = make(path, NAME, FLEET, FOLDER_BYTES)
    store.close()
    return {
        key.removeprefix(GROUP_PREFIX): value
        for key, value in store.state.items()
        if key.startswith(GROUP_PREFIX)
    }
