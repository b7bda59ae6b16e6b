"""The invariants of a lease group, checked after every step, and a simulated world to check them in."""

from random import Random

from invariants import require
from lease_world import World

from lichenquay.lease.durable_state import PROMISE_SECTION, STATE_SECTION
from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.lease_pb2 import Promise, State
from lichenquay.lease.messages import MessageKind
from lichenquay.lease.phases import LeaseEvent
from lichenquay.lease.settings import LeaseSettings

FAST_SETTINGS = LeaseSettings(lease_ms=1000, heartbeat_ms=200, retry_ms=50, backoff_ms=100, max_records=8)
NUMBER_BYTES = 8  # a record is its number, then padding


class Audit:
    """The appended records, their results, and the state that each holder started with."""

    def __init__(self):
        """Starts without records."""
        self.last_number = 0
        self.results = {}  # lists of results, by record number
        self.committed = []  # record numbers, in order
        self.rejected = set()  # record numbers
        self.promised = {}  # name -> (lost folders, generation)
        self.held_generations = []
        self.acknowledged = {}  # name -> (lost folders, (generation, index))
        self.inherited = []  # numbers of the records that the latest holder started with

    def new_record(self, padding=0):
        """Returns the next record."""
        self.last_number += 1
        self.results[self.last_number] = []
        return self.last_number.to_bytes(NUMBER_BYTES, "big") + bytes(padding)

    def record_result(self, number, group, result):
        """Checks that a record has one result, and that a committed one is in its holder's state."""
        self.results[number].append(result)
        has_one = len(self.results[number]) == 1
        require(has_one, f"record {number}: more than one result, {self.results[number]}")
        if result is True:
            self.committed.append(number)
            self.check_state(group, f"record {number} reported as committed")
        elif result is False:
            self.rejected.add(number)

    def check_state(self, group, when):
        """Checks that a state has no duplicate and no rejected record, and all committed ones in order.

        Returns the record numbers of the state.
        """
        numbers = numbers_of(*group.state)
        require(len(set(numbers)) == len(numbers), f"{when}: duplicate record in {numbers}")
        require(not self.rejected & set(numbers), f"{when}: rejected record in {numbers}")
        committed = set(self.committed)
        require(
            [number for number in numbers if number in committed] == self.committed,
            f"{when}: {numbers} lacks records of {self.committed} or has another order",
        )
        return numbers

    def on_lease_event(self, group, event, generation):
        """Checks that a generation is held once, and its holder starts with the previous one's records."""
        if event is not LeaseEvent.HOLDS:
            return
        require(generation not in self.held_generations, f"generation {generation} held twice")
        self.held_generations.append(generation)
        numbers = self.check_state(group, f"{group.name} holds {generation}")
        # Records that one holder started with, committed or not, are in the state of all later ones.
        require(
            numbers[: len(self.inherited)] == self.inherited,
            f"{group.name} holds {generation} with {numbers}, the previous holder with {self.inherited}",
        )
        self.inherited = numbers

    def check_world(self, world):
        """Checks that at most one process holds and no disk loses a promise or an acknowledged position."""
        holders = [
            (process.name, process.group.generation)
            for process in world.processes.values()
            if process.group is not None and process.group.holds(process.local(world.now_ms))
        ]
        require(len(holders) <= 1, f"more than one holder: {holders}")
        for process in world.processes.values():
            self._check_disk(process)

    def _check_disk(self, process):
        name = process.name
        generation = promised_generation(process.sections)
        lost_folders, before = self.promised.get(name, (0, 0))
        is_monotonic = generation >= before or lost_folders != process.lost_folders
        require(is_monotonic, f"{name}: generation {before}, then {generation} on its disk")
        self.promised[name] = process.lost_folders, generation
        if name in self.acknowledged:
            stored = stored_position(process.sections)
            acknowledged = self._acknowledged_position(process)
            require(stored >= acknowledged, f"{name} acknowledged {acknowledged}, its disk has {stored}")

    def check_message(self, process, to, message):
        """Checks that the content of a voter's reply is already on its disk."""
        kind = MessageKind(message.WhichOneof("body"))
        if kind is MessageKind.ACQUIRE_GRANT:
            check_grant(process.name, message.grant, process.sections)
        if kind is MessageKind.APPEND_REPLY:
            position = check_append_reply(process.name, message.ack, process.sections)
            latest = max(position, self._acknowledged_position(process))
            self.acknowledged[process.name] = process.lost_folders, latest

    def _acknowledged_position(self, process):
        lost_folders, position = self.acknowledged.get(process.name, (0, (0, 0)))
        return position if lost_folders == process.lost_folders else (0, 0)


def check_grant(name, grant, sections):
    """Checks that a voter's promise is on its disk before it grants."""
    is_stored = promised_generation(sections) >= grant.generation
    require(is_stored, f"{name} grants {grant.generation} before its disk has it")


def check_append_reply(name, reply, sections):
    """Checks that the position in a reply is on the voter's disk, and returns it."""
    position = reply.position.label, reply.position.index
    stored = stored_position(sections)
    require(stored >= position, f"{name} acknowledges {position}, its disk has {stored}")
    return position


def promised_generation(sections):
    """Returns the promised generation in a voter's sections."""
    return Promise.FromString(sections.get(PROMISE_SECTION, b"")).generation


def stored_position(sections):
    """Returns (generation, index) of the log in a voter's sections."""
    position = State.FromString(sections.get(STATE_SECTION, b"")).position
    return position.label, position.index


def fold(base, records):
    """Returns a base that contains all records, each prefixed with its length."""
    return base + b"".join(len(record).to_bytes(2, "big") + record for record in records)


def split_base(base):
    """Yields the records of a base that `fold` returned."""
    offset = 0
    while offset < len(base):
        size = int.from_bytes(base[offset : offset + 2], "big")
        yield base[offset + 2 : offset + 2 + size]
        offset += 2 + size


def numbers_of(base, records):
    """Returns the numbers of all records of a state."""
    return [int.from_bytes(record[:NUMBER_BYTES], "big") for record in [*split_base(base), *records]]


def make_world(
    voters, seed=0, settings=FAST_SETTINGS, others=(), is_new_disk=True, group_class=LeaseGroup, **network
):
    """Returns (world, audit). All processes are candidates; `others` are not voters."""
    audit = Audit()

    def make(process, local_ms):
        group = group_class(
            "g",
            process.name,
            process.incarnation,
            voters,
            Random(f"{seed}/{process.name}/{process.incarnation}"),
            settings,
            local_ms,
            dict(process.sections),
            is_new_disk=is_new_disk and not process.lost_folders,
            fold=fold,
            on_lease_event=lambda now_ms, event: audit.on_lease_event(group, event, group.generation),
        )
        group.set_candidate(local_ms, True)
        return group

    world = World([*voters, *others], make, seed, **network)
    world.send_checks.append(audit.check_message)
    world.checks.append(audit.check_world)
    return world, audit


def append_record(world, audit, name, padding=0):
    """Appends a record at a process if it considers itself the holder."""

    def append(group, local_ms):
        if group.holds(local_ms):
            record = audit.new_record(padding)
            number = audit.last_number
            group.append(local_ms, record, lambda now_ms, ok: audit.record_result(number, group, ok))

    world.call(name, append)


def holder_of(world):
    """Returns the name of the process that holds now, or None."""
    for process in world.processes.values():
        if process.group is not None and process.group.holds(process.local(world.now_ms)):
            return process.name
    return None
