"""Breadth-first exploration of all interleavings of a small group of real LeaseGroup objects.

A state consists of the processes (pickled), the sections on the disks, the messages in flight, and the
remaining budget. From a state: any message in flight arrives (with `duplicates`, it may also stay in flight);
a disk reports a write as stored (with `disk_failures`, or as failed); with `acquisitions`, `appends`,
`crashes` and `releases` a process acquires the lease, appends, restarts with its folder, or releases; with
`steps` all clocks advance by `step` of a lease, each at its own rate, and the due actions are performed. A
message that never arrives is lost, which needs no step; `cut_links` (from, to) deliver nothing.
"""

import pickle
from collections import deque
from dataclasses import replace

from invariants import InvariantError, require
from lease_audit import check_append_reply, check_grant, numbers_of, promised_generation
from lease_explore_state import (
    NAMES,
    RECORD,
    RESULT,
    Budget,
    DiskWrite,
    Move,
    Node,
    Packet,
    State,
    StepResult,
)
from lease_world import apply_changes

from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.lease_pb2 import Message
from lichenquay.lease.messages import MessageKind
from lichenquay.lease.phases import LeaseEvent, Phase


class Explorer:
    """An exploration within a budget. An InvariantError has the moves that led to it in `trace`."""

    def __init__(self, budget, group_class=LeaseGroup, begin=""):
        """Starts without results.

        `begin`: processes that acquire the lease in this order before the exploration.
        """
        self.budget = budget
        self.group_class = group_class
        self.begin = begin
        self.is_complete = False
        self.moves_made = []
        self._results = {}
        self._holds = {}

    def start(self):
        """Returns the first state."""
        nodes = tuple((name, dump(Node(self.group_class, name, 1, 0.0, {}))) for name in NAMES)
        disks = tuple((name, ()) for name in NAMES)
        state = State(nodes, disks, (), frozenset(), Budget())
        for name in self.begin:
            state = self.act(state, name, acquire, acquire)
            while state.packets:
                packet = min(state.packets)
                state = self.receive(replace(state, packets=state.packets - {packet}), packet)
            require(self.holds(dict(state.nodes)[name], 0), f"{name} does not hold")
        return replace(state, budget=self.budget)

    def explore(self, max_states):
        """Visits up to `max_states` and returns their number; sets `is_complete` if these are all."""
        first = self.start()
        origins = {first: None}
        queue = deque([first])
        self.is_complete = True
        while queue:
            if len(origins) >= max_states:
                self.is_complete = False
                break
            state = queue.popleft()
            for move in self.moves(state):
                try:
                    new = move.make()
                except InvariantError as error:
                    error.trace = [*trace_to(origins, state), move.name]
                    raise
                if new is not None and new not in origins:
                    origins[new] = (state, move.name)
                    queue.append(new)
        return len(origins)

    def follow(self, names):
        """Makes only the named moves; of several append requests, the latest one arrives.

        Skips moves that are not possible; `moves_made` has the others.
        """
        state = self.start()
        self.moves_made = []
        for name in names:
            results = [(move.append_number, move.make()) for move in self.moves(state) if move.name == name]
            possible = [(number, new) for number, new in results if new is not None]
            if possible:
                _, state = max(possible, key=lambda numbered: numbered[0])
                self.moves_made.append(name)

    def moves(self, state):
        """Yields all moves that may come next."""
        for packet in state.packets:
            yield from self._packet_moves(state, packet)
        for write in state.writes:
            yield from self._disk_moves(state, write)
        budget = state.budget
        if budget.acquisitions:
            name = budget.acquisitions[0]
            less = replace(state, budget=replace(budget, acquisitions=budget.acquisitions[1:]))
            yield Move(f"{name} acquires", lambda: self.act(less, name, acquire, acquire))
        if budget.steps:
            later = replace(state.spend(steps=1), time=state.time + 1)
            yield Move("time", lambda: self.pass_time(later))
        for name in NAMES:
            yield from self._process_moves(state, name)

    def _packet_moves(self, state, packet):
        message = Message.FromString(packet.data)
        kind = MessageKind(message.WhichOneof("body")).name.lower()
        number = 0 if state.budget.duplicates else message.round.number
        text = f"{packet.to} receives {kind} from {packet.sender[0]}"
        without = replace(state, packets=state.packets - {packet})
        yield Move(text, lambda: self.receive(without, packet), number)
        if state.budget.duplicates:
            less = state.spend(duplicates=1)
            yield Move(text + ", and it stays", lambda: self.receive(less, packet))

    def _disk_moves(self, state, write):
        yield Move(f"{write.name}'s disk", lambda: self.answer_write(state, write, True))
        if state.budget.disk_failures:
            less = state.spend(disk_failures=1)
            yield Move(f"{write.name}'s disk fails", lambda: self.answer_write(less, write, False))

    def _process_moves(self, state, name):
        if state.budget.crashes:
            crashed = state.spend(crashes=1)
            yield Move(f"{name} stops and starts", lambda: self.restart(crashed, name))
        if state.budget.appends:
            appended = replace(state.spend(appends=1), appended=state.appended + 1)
            yield Move(f"{name} appends", lambda: self.act(appended, name, append, append))
        if state.budget.releases:
            released = state.spend(releases=1)
            yield Move(f"{name} releases", lambda: self.act(released, name, release, release))

    def receive(self, state, packet):
        """Returns the state after a message arrives."""

        def take(node, now_ms):
            node.group.on_message(now_ms, packet.sender, Message.FromString(packet.data))

        return self.act(state, packet.to, packet, take)

    def act(self, state, name, key, action):
        """Returns the state after one step of one process; caches results by process, time and step."""
        now_ms = state.local_ms(name)
        data = dict(state.nodes)[name]
        key = data, now_ms, key
        if key not in self._results:
            node = pickle.loads(data)
            is_possible = action(node, now_ms) is not False
            self._results[key] = self.take_result(name, node) if is_possible else None
        result = self._results[key]
        return result and self.after(state, name, result)

    def take_result(self, name, node):
        """Drains the messages, store requests and notices of a node."""
        group = node.group
        sender = name, node.incarnation
        packets = frozenset(Packet(sender, to, message.SerializeToString()) for to, message in group.outbox)
        writes = tuple(
            DiskWrite(name, number, tuple(changes.items())) for number, changes in group.store_requests
        )
        notices = node.notices
        group.outbox = []
        group.store_requests = []
        node.notices = []
        group.leadership.counts = dict.fromkeys(group.leadership.counts, 0)
        group.voter.counts = dict.fromkeys(group.voter.counts, 0)
        return StepResult(dump(node), packets, writes, notices)

    def after(self, state, name, result):
        """Returns the state after a step, and checks the invariants."""
        sections = dict(dict(state.disks)[name])
        for packet in result.packets:
            message = Message.FromString(packet.data)
            kind = MessageKind(message.WhichOneof("body"))
            if kind is MessageKind.ACQUIRE_GRANT:
                check_grant(name, message.grant, sections)
            elif kind is MessageKind.APPEND_REPLY:
                check_append_reply(name, message.ack, sections)
        committed = self._committed_after(state, name, result.notices)
        nodes = tuple((other, result.node if other == name else node) for other, node in state.nodes)
        arriving = {p for p in result.packets if (p.sender[0], p.to) not in state.budget.cut_links}
        new = replace(
            state,
            nodes=nodes,
            packets=state.packets | arriving,
            writes=state.writes + result.writes,
            committed=committed,
        )
        self.check(new)
        if result.writes and not state.budget.has_slow_disks:
            return self.answer_write(new, result.writes[-1], True)
        return new

    def _committed_after(self, state, name, notices):
        committed = state.committed
        for event, value in notices:
            if event == RESULT and value is True:
                committed += (state.appended,)
            if event == LeaseEvent.HOLDS:
                numbers = numbers_of(*value)
                require(
                    [number for number in numbers if number in committed] == list(committed),
                    f"{name} holds with {numbers}, committed is {committed}",
                )
        return committed

    def answer_write(self, state, write, is_stored):
        """Returns the state after a disk reports a write as stored or failed."""
        disks = dict(state.disks)
        if is_stored:
            sections = dict(disks[write.name])
            before = promised_generation(sections)
            apply_changes(sections, dict(write.changes))
            now = promised_generation(sections)
            require(now >= before, f"{write.name}: generation {before}, then {now} on its disk")
            disks[write.name] = tuple(sorted(sections.items()))
        left = tuple(other for other in state.writes if other != write)
        state = replace(state, disks=tuple(disks.items()), writes=left)

        def take(node, now_ms):
            node.group.on_stored(now_ms, write.number, is_stored)

        return self.act(state, write.name, (write.number, is_stored), take)

    def restart(self, state, name):
        """Returns the state after a process restarts with its folder."""
        incarnation = pickle.loads(dict(state.nodes)[name]).incarnation + 1
        sections = dict(dict(state.disks)[name])
        node = Node(self.group_class, name, incarnation, state.local_ms(name), sections)
        left = tuple(write for write in state.writes if write.name != name)
        return self.after(replace(state, writes=left), name, self.take_result(name, node))

    def pass_time(self, state):
        """Returns the state after all processes perform what is due after a step of time."""
        for name in NAMES:
            state = self.act(state, name, tick, tick)
        return state

    def check(self, state):
        """Checks that at most one process holds."""
        holders = [name for name, node in state.nodes if self.holds(node, state.local_ms(name))]
        require(len(holders) <= 1, f"more than one holder: {holders}")

    def holds(self, data, now_ms):
        """Returns whether a pickled node holds the lease."""
        key = data, now_ms
        if key not in self._holds:
            self._holds[key] = pickle.loads(data).group.holds(now_ms)
        return self._holds[key]


def dump(node):
    """Returns a node as bytes."""
    return pickle.dumps(node, 5)


def trace_to(origins, state):
    """Returns the names of the moves that lead to a state."""
    names = []
    while origins[state] is not None:
        state, name = origins[state]
        names.append(name)
    return names[::-1]


# Actions of one process. They return False if they are not possible now.


def acquire(node, now_ms):
    """Starts an acquisition."""
    if node.group.leadership.phase is not Phase.IDLE:
        return False
    node.group.leadership.acquire(now_ms)
    node.group._process_local_messages(now_ms)
    return True


def tick(node, now_ms):
    """Performs the actions that are due."""
    node.group.tick(now_ms)


def append(node, now_ms):
    """Appends a record."""
    if not node.group.holds(now_ms):
        return False
    node.group.append(now_ms, RECORD, node.on_result)
    return True


def release(node, now_ms):
    """Releases the lease."""
    if not node.group.holds(now_ms):
        return False
    node.group.release(now_ms)
    return True
