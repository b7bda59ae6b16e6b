"""Lease groups of several processes in virtual time: every message, clock, disk and pause is controlled.

Times are milliseconds of true time; each process has a clock of its own with rate and offset. All chance
comes from one seed.
"""

import heapq
from enum import Enum
from random import Random

INF = float("inf")
FIRST_OFFSET_RANGE_MS = 1e6
LATE_MS = 5000  # how much later a late message comes, at most
TICK_SLACK_MS = 1e-3


class DiskMode(Enum):
    """How a disk behaves."""

    WELL = "well"
    FULL = "full"
    UNSURE = "unsure"  # the write is there, but reported as failed
    SLOW = "slow"


class Process:
    """One name: the sections in its folder, and the group that runs on it now (None: stopped)."""

    def __init__(self, name, rate, offset):
        """`rate` and `offset`: of its clock."""
        self.name = name
        self.rate = rate
        self.offset = offset
        self.incarnation = 0
        self.sections = {}
        self.group = None
        self.paused_until_ms = 0.0
        self.disk = DiskMode.WELL
        self.disk_free_ms = 0.0
        self.life = 0  # whatever was begun in an earlier life does not come back
        self.tick_number = 0
        self.lost_folders = 0

    def local(self, true_ms):
        """The time by its own clock."""
        return self.offset + self.rate * true_ms


class World:
    """All processes, the network and the time."""

    def __init__(
        self, names, make, seed=0, delay_ms=(0.2, 8.0), loss=0.0, duplication=0.0, lateness=0.0, drift=0.05
    ):
        """`make(process, local_ms)` gives a group; the rates are shares of messages."""
        self.rng = Random(seed)
        self.make = make
        self.now_ms = 0.0
        self.delay_ms = delay_ms
        self.loss = loss
        self.duplication = duplication
        self.lateness = lateness
        self.cut_links = set()  # (from, to)
        self.slow_links = {}  # (from, to) -> ms more
        self.checks = []  # called with the world after every step
        self.send_checks = []  # called with (process, to, message) as a message is sent
        self.on_send = None  # (sender, name, message, deliver) -> True: it takes care of the message
        self._events = []
        self._event_number = 0
        self.processes = {}
        for name in names:
            rate = self.rng.choice([1 - drift, 1 + drift, self.rng.uniform(1 - drift, 1 + drift)])
            self.processes[name] = Process(name, rate, self.rng.uniform(0, FIRST_OFFSET_RANGE_MS))

    # Events.

    def at(self, true_ms, action):
        """Does something at a time, or now if that has passed."""
        self._event_number += 1
        heapq.heappush(self._events, (max(true_ms, self.now_ms), self._event_number, action))

    def run(self, until_ms, is_enough=None, max_steps=500_000):
        """To a time, or until `is_enough()`; True where that came. Over `max_steps` is an endless loop."""
        while self._events and self._events[0][0] <= until_ms:
            max_steps -= 1
            assert max_steps, f"no end of steps at {self.now_ms}"
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
            for check in self.checks:
                check(self)
            if is_enough and is_enough():
                return True
        self.now_ms = max(self.now_ms, until_ms)
        return False

    # Processes.

    def start(self, name, has_folder=True):
        """Starts a stopped process, with its folder or without."""
        process = self.processes[name]
        assert process.group is None
        if not has_folder:
            process.sections = {}
            process.lost_folders += 1
        process.incarnation += 1
        process.life += 1
        process.disk_free_ms = self.now_ms
        process.paused_until_ms = self.now_ms
        process.group = self.make(process, process.local(self.now_ms))
        self.pump(process)

    def kill(self, name):
        """Stops a process at once."""
        process = self.processes[name]
        process.group = None
        process.life += 1

    def pause(self, name, duration_ms):
        """Stops a process for a time; what comes meanwhile is done after it."""
        self.processes[name].paused_until_ms = self.now_ms + duration_ms

    def call(self, name, action):
        """action(group, local_ms) now, if the process runs and is not paused."""
        process = self.processes[name]
        if process.group is not None and process.paused_until_ms <= self.now_ms:
            action(process.group, process.local(self.now_ms))
            self.pump(process)

    def _in_life(self, process, life, action):
        """Does something in a process unless it stopped since; after its pause, if it is paused."""
        if process.life != life:
            return
        if process.paused_until_ms > self.now_ms:
            self.at(process.paused_until_ms, lambda: self._in_life(process, life, action))
            return
        action(process.group, process.local(self.now_ms))
        self.pump(process)

    def pump(self, process):
        """Takes out what a group wants to send and store, and sees to its next tick."""
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
        number, life = process.tick_number, process.life

        def tick():
            if process.tick_number == number:
                self._in_life(process, life, lambda group, local_ms: group.tick(local_ms))

        self.at((due_ms - process.offset) / process.rate + TICK_SLACK_MS, tick)

    # Messages.

    def send(self, process, name, message):
        """Brings a message to a process: late, twice or never, as chance has it."""
        for check in self.send_checks:
            check(process, name, message)
        sender = (process.name, process.incarnation)
        data = message.SerializeToString()
        message_class = type(message)

        def deliver(to=name, data=data):
            receiver = self.processes.get(to)
            if receiver is None or receiver.group is None:
                return
            self._in_life(
                receiver,
                receiver.life,
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
        mode, life = process.disk, process.life
        is_slow = mode is DiskMode.SLOW
        duration_ms = self.rng.uniform(3000, 6000) if is_slow else self.rng.uniform(0.1, 4)
        process.disk_free_ms = max(self.now_ms, process.disk_free_ms) + duration_ms
        written_ms = process.disk_free_ms

        def write():
            if process.life == life and mode is not DiskMode.FULL:
                apply_changes(process.sections, changes)

        self.at(written_ms, write)
        is_stored = mode in (DiskMode.WELL, DiskMode.SLOW)
        self.at(
            written_ms + self.rng.uniform(0, 1),
            lambda: self._in_life(
                process, life, lambda group, local_ms: group.on_stored(local_ms, number, is_stored)
            ),
        )


def apply_changes(sections, changes):
    """Writes sections (None: deletes them)."""
    for key, value in changes.items():
        if value is None:
            sections.pop(key, None)
        else:
            sections[key] = value
