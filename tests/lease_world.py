"""A simulation of lease groups in virtual time, with control of messages, clocks, disks and pauses.

Times are milliseconds of true time; each process has its own clock with a rate and an offset. All random
numbers come from one seed.
"""

import heapq
from enum import Enum
from random import Random

INF = float("inf")
FIRST_OFFSET_RANGE_MS = 1e6
LATE_MS = 5000  # maximum extra delay of a late message
TICK_SLACK_MS = 1e-3


class DiskMode(Enum):
    """The behaviour of a disk."""

    WELL = "well"
    FULL = "full"
    UNSURE = "unsure"  # the data is written, but the write is reported as failed
    SLOW = "slow"


class Process:
    """One process: the sections in its folder, and its running group (None: stopped)."""

    def __init__(self, name, rate, offset):
        """Starts stopped. `rate` and `offset`: of its clock."""
        self.name = name
        self.rate = rate
        self.offset = offset
        self.incarnation = 0
        self.sections = {}
        self.group = None
        self.paused_until_ms = 0.0
        self.disk = DiskMode.WELL
        self.disk_free_ms = 0.0
        self.start_number = 0  # identifies a start: actions of an earlier one are dropped
        self.tick_number = 0
        self.lost_folders = 0

    def local(self, true_ms):
        """Returns the time by its own clock."""
        return self.offset + self.rate * true_ms


class World:
    """The processes, the network and the time."""

    def __init__(
        self, names, make, seed=0, delay_ms=(0.2, 8.0), loss=0.0, duplication=0.0, lateness=0.0, drift=0.05
    ):
        """Starts with all processes stopped.

        `make(process, local_ms)` returns a group; `loss`, `duplication` and `lateness` are fractions of
        messages.
        """
        self.rng = Random(seed)
        self.make = make
        self.now_ms = 0.0
        self.delay_ms = delay_ms
        self.loss = loss
        self.duplication = duplication
        self.lateness = lateness
        self.cut_links = set()  # (from, to)
        self.slow_links = {}  # (from, to) -> extra delay in ms
        self.checks = []  # called with the world after every step
        self.send_checks = []  # called with (process, to, message) when a message is sent
        self.on_send = None  # (sender, name, message, deliver) -> True if it delivers the message itself
        self._events = []
        self._event_number = 0
        self.processes = {}
        for name in names:
            rate = self.rng.choice([1 - drift, 1 + drift, self.rng.uniform(1 - drift, 1 + drift)])
            self.processes[name] = Process(name, rate, self.rng.uniform(0, FIRST_OFFSET_RANGE_MS))

    # Events.

    def at(self, true_ms, action):
        """Schedules an action at a time, or now if that has passed."""
        self._event_number += 1
        heapq.heappush(self._events, (max(true_ms, self.now_ms), self._event_number, action))

    def run(self, until_ms, condition=None, max_steps=500_000):
        """Runs to a time, or until `condition()` is true, and returns whether it was.

        More than `max_steps` fail as an endless loop.
        """
        while self._events and self._events[0][0] <= until_ms:
            max_steps -= 1
            assert max_steps, f"too many steps at {self.now_ms} ms"
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
            for check in self.checks:
                check(self)
            if condition and condition():
                return True
        self.now_ms = max(self.now_ms, until_ms)
        return False

    # Processes.

    def start(self, name, has_folder=True):
        """Starts a stopped process, with or without its folder."""
        process = self.processes[name]
        assert process.group is None
        if not has_folder:
            process.sections = {}
            process.lost_folders += 1
        process.incarnation += 1
        process.start_number += 1
        process.disk_free_ms = self.now_ms
        process.paused_until_ms = self.now_ms
        process.group = self.make(process, process.local(self.now_ms))
        self.pump(process)

    def kill(self, name):
        """Stops a process immediately."""
        process = self.processes[name]
        process.group = None
        process.start_number += 1

    def pause(self, name, duration_ms):
        """Pauses a process; events that arrive meanwhile are handled afterwards."""
        self.processes[name].paused_until_ms = self.now_ms + duration_ms

    def call(self, name, action):
        """Calls action(group, local_ms) now if the process runs and is not paused."""
        process = self.processes[name]
        if process.group is not None and process.paused_until_ms <= self.now_ms:
            action(process.group, process.local(self.now_ms))
            self.pump(process)

    def _call_unless_restarted(self, process, start_number, action):
        """Calls an action in a process unless it has stopped since; after its pause, if it is paused."""
        if process.start_number != start_number:
            return
        if process.paused_until_ms > self.now_ms:
            self.at(
                process.paused_until_ms,
                lambda: self._call_unless_restarted(process, start_number, action),
            )
            return
        action(process.group, process.local(self.now_ms))
        self.pump(process)

    def pump(self, process):
        """Drains the messages and store requests of a group, and schedules its next tick."""
        group = process.group
        sent, group.outbox[:] = list(group.outbox), []
        for name, message in sent:
            self.send(process, name, message)
        requests, group.store_requests[:] = list(group.store_requests), []
        for number, changes in requests:
            self._store(process, number, changes)
        process.tick_number += 1
        if group.due_ms < INF:
            self._schedule_tick(process, group.due_ms)

    def _schedule_tick(self, process, due_ms):
        number, start_number = process.tick_number, process.start_number

        def tick():
            if process.tick_number == number:
                self._call_unless_restarted(
                    process, start_number, lambda group, local_ms: group.tick(local_ms)
                )

        self.at((due_ms - process.offset) / process.rate + TICK_SLACK_MS, tick)

    # Messages.

    def send(self, process, name, message):
        """Sends a message, which may be delayed, duplicated or lost at random."""
        for check in self.send_checks:
            check(process, name, message)
        sender = (process.name, process.incarnation)
        data = message.SerializeToString()
        message_class = type(message)

        def deliver(to=name, data=data):
            receiver = self.processes.get(to)
            if receiver is None or receiver.group is None:
                return
            self._call_unless_restarted(
                receiver,
                receiver.start_number,
                lambda group, local_ms: group.on_message(local_ms, sender, message_class.FromString(data)),
            )

        if self.on_send and self.on_send(sender, name, message, deliver):
            return
        link = process.name, name
        if link in self.cut_links or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            late_ms = self.rng.uniform(0, LATE_MS) if self.rng.random() < self.lateness else 0
            delay_ms = self.rng.uniform(*self.delay_ms)
            self.at(self.now_ms + delay_ms + late_ms + self.slow_links.get(link, 0), deliver)

    # Disks.

    def _store(self, process, number, changes):
        mode, start_number = process.disk, process.start_number
        is_slow = mode is DiskMode.SLOW
        duration_ms = self.rng.uniform(3000, 6000) if is_slow else self.rng.uniform(0.1, 4)
        process.disk_free_ms = max(self.now_ms, process.disk_free_ms) + duration_ms
        written_ms = process.disk_free_ms

        def write():
            if process.start_number == start_number and mode is not DiskMode.FULL:
                apply_changes(process.sections, changes)

        self.at(written_ms, write)
        is_stored = mode in (DiskMode.WELL, DiskMode.SLOW)
        self.at(
            written_ms + self.rng.uniform(0, 1),
            lambda: self._call_unless_restarted(
                process,
                start_number,
                lambda group, local_ms: group.on_stored(local_ms, number, is_stored),
            ),
        )


def apply_changes(sections, changes):
    """Writes sections; None deletes a section."""
    for key, value in changes.items():
        if value is None:
            sections.pop(key, None)
        else:
            sections[key] = value
