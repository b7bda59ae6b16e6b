"""Transcripts of all calls to the groups of a scripted exchange, to compare two versions byte by byte.

A transcript is plain data: `messages` (hexadecimal, each once, referred to by its index), and for each start
of a process its `calls`. A call is [method, now_ms, arguments, messages sent, stores requested, due_ms or
None].
"""

from random import Random

from lease_audit import FAST_SETTINGS, append_record, fold, holder_of, make_world
from storage_golden import FLEET, NAME
from storage_real import open_store

from lichenquay.lease.durable_state import load_voter_state
from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.lease_pb2 import Message
from lichenquay.lease.snapshot_transfer import LogSnapshot
from lichenquay.storage.incarnation import next_incarnation

SEED = 7
NAMES = "abc"
GROUP_PREFIX = "owner/ledger/"
FOLDER_BYTES = 256 << 10
# Methods of a group, and their names in revision 0018238, which the golden transcript uses.
METHODS = {
    "on_message": "heard",
    "tick": "tick",
    "on_stored": "stored",
    "set_candidate": "want",
    "append": "write",
    "release": "give_up",
}


def encoded_changes(changes):
    """Returns the sections to write (None: to delete) in hexadecimal, in the order of writing."""
    return [[key, None if value is None else value.hex()] for key, value in changes.items()]


class Transcript:
    """The calls of each start of a process, in the order of the starts, and the messages."""

    def __init__(self, messages=()):
        """Starts with known `messages`."""
        self.lives = []
        self.messages = list(messages)

    def index_of(self, message):
        """Returns the index of a message in `messages`; adds it if it is new."""
        encoded = message.SerializeToString(deterministic=True).hex()
        if encoded not in self.messages:
            self.messages.append(encoded)
        return self.messages.index(encoded)

    def start(self, name, incarnation, now_ms, sections, fresh):
        """Adds a start of a process, and returns its empty list of calls."""
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
    """Returns what a call added to the outbox and the store requests, and the due time of the group."""
    due_ms = group.due_ms
    return [
        [[name, transcript.index_of(message)] for name, message in group.outbox[sent_before:]],
        [[number, encoded_changes(changes)] for number, changes in group.store_requests[stores_before:]],
        None if due_ms == float("inf") else due_ms,
    ]


def recording_group(transcript):
    """Returns a class of groups that record their calls in `transcript`."""

    def recorded(method, name, arguments_of):
        def call(self, now_ms, *arguments):
            before = len(self.outbox), len(self.store_requests)
            entry = [name, now_ms, arguments_of(*arguments)]
            self.calls.append(entry)
            getattr(LeaseGroup, method)(self, now_ms, *arguments)
            entry.extend(outputs_of(transcript, self, *before))

        return call

    class RecordingGroup(LeaseGroup):
        def __init__(
            self, group_id, name, incarnation, voters, rng, settings, now_ms, sections, is_new_disk, **more
        ):
            self.calls = transcript.start(name, incarnation, now_ms, sections, is_new_disk)
            super().__init__(
                group_id, name, incarnation, voters, rng, settings, now_ms, sections, is_new_disk, **more
            )

    arguments_of = {
        "on_message": lambda sender, message: [list(sender), transcript.index_of(message)],
        "tick": lambda: [],
        "on_stored": lambda number, is_stored: [number, is_stored],
        "set_candidate": lambda is_candidate: [is_candidate],
        "append": lambda record, on_result: [record.hex()],
        "release": lambda: [],
    }
    for method, name in METHODS.items():
        setattr(RecordingGroup, method, recorded(method, name, arguments_of[method]))
    return RecordingGroup


def play(transcript):
    """Plays a short scenario with every kind of message; returns the final sections of each voter.

    Three voters bootstrap the group; records are appended; the holder stops; another process takes over; a
    voter loses its folder and fetches the complete log; the holder releases the lease.
    """
    world, audit = make_world(
        NAMES, SEED, delay_ms=(2, 2.5), drift=0.02, group_class=recording_group(transcript)
    )
    for name in NAMES:
        world.start(name)
    _run_until_held(world)
    _append_records(world, audit, 6, padding=220)
    first = holder_of(world)
    world.kill(first)
    _run_until_held(world)
    _append_records(world, audit, 6, padding=3)
    second = holder_of(world)
    world.start(first)
    world.run(world.now_ms + FAST_SETTINGS.expiry_wait_ms)
    lost = next(name for name in NAMES if name not in (first, second))
    world.kill(lost)
    world.run(world.now_ms + 20)
    world.start(lost, has_folder=False)
    world.run(world.now_ms + 2 * FAST_SETTINGS.expiry_wait_ms)
    _run_until_held(world)
    second = holder_of(world)
    world.call(second, lambda group, now_ms: group.release(now_ms))
    world.run(world.now_ms + FAST_SETTINGS.backoff_ms)
    _run_until_held(world)
    _append_records(world, audit, 2)
    return {name: encoded_changes(process.sections) for name, process in sorted(world.processes.items())}


def _run_until_held(world):
    assert world.run(world.now_ms + 8 * FAST_SETTINGS.lease_ms, lambda: holder_of(world))


def _append_records(world, audit, number, padding=0):
    for _ in range(number):
        for name in NAMES:
            append_record(world, audit, name, padding)
        world.run(world.now_ms + 20)


def replay(life, messages):
    """Repeats the calls of one start of a process on the current code; returns the resulting entries."""
    transcript = Transcript(messages)
    sections = {key: bytes.fromhex(value) for key, value in life["sections"]}
    group = recording_group(transcript)(
        "g",
        life["name"],
        life["incarnation"],
        NAMES,
        Random(f"{SEED}/{life['name']}/{life['incarnation']}"),
        FAST_SETTINGS,
        life["now_ms"],
        sections,
        is_new_disk=life["fresh"],
        fold=fold,
    )
    method_of = {name: method for method, name in METHODS.items()}
    for name, now_ms, arguments, *_ in life["calls"]:
        if name == "heard":
            sender_name, incarnation = arguments[0]
            arguments = [
                (sender_name, incarnation),
                Message.FromString(bytes.fromhex(messages[arguments[1]])),
            ]
        elif name == "write":
            arguments = [bytes.fromhex(arguments[0]), lambda now_ms, ok: None]
        getattr(group, method_of[name])(now_ms, *arguments)
        group.outbox.clear()
        group.store_requests.clear()
    return transcript.lives[0]["calls"]


def meaning_of(sections):
    """Returns what a voter loads from its sections, as plain data.

    `whole_state`: CRC32 and bytes of the snapshot that is sent in chunks.
    """
    promise, log = load_voter_state(sections)
    log_snapshot = LogSnapshot(log)
    return {
        "promise": [promise.generation, promise.name, promise.incarnation],
        "position": list(log.position),
        "base": [log.base_index, log.base_digest, log.base.hex()],
        "records": [record.hex() for record in log.records],
        "whole_state": [log_snapshot.crc, log_snapshot.data.hex()],
    }


def write_voter_folder(path, life):
    """Writes the folder of a voter: its incarnation, then every store request that succeeded."""
    store = open_store(path, NAME, FLEET, FOLDER_BYTES)
    next_incarnation(store, life["incarnation"])
    requested = {}
    for method, _, arguments, _, stores, _ in life["calls"]:
        if method == "stored" and arguments[1]:
            store.append(requested[arguments[0]])
            store.flush(0.0)
        for number, changes in stores:
            requested[number] = {
                GROUP_PREFIX + key: None if value is None else bytes.fromhex(value) for key, value in changes
            }
    store.close()


def voter_folder_of(path):
    """Returns the sections of the group in a process's folder."""
    store = open_store(path, NAME, FLEET, FOLDER_BYTES)
    store.close()
    return {
        key.removeprefix(GROUP_PREFIX): value
        for key, value in store.state.items()
        if key.startswith(GROUP_PREFIX)
    }
