"""States of the exploration of small lease groups: processes, messages, disk writes, and the budget left."""

import copyreg
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import NamedTuple

from lease_audit import (
    FAST_SETTINGS,
    fold,
)

from lichenquay.lease import lease_pb2

NAMES = "abc"
CLOCK_RATES = {"a": 0.95, "b": 1.05, "c": 1.05}
RECORD = (1).to_bytes(8, "big")
RESULT = "result"  # of an append, among what a node was notified of


def _read_promise(data):
    return lease_pb2.Promise.FromString(data)


def _reduce_promise(promise):
    return _read_promise, (promise.SerializeToString(),)


copyreg.pickle(lease_pb2.Promise, _reduce_promise)


class Counter:
    """In place of random numbers: the n-th number drawn by a process in its incarnation."""

    def __init__(self, start):
        """`start`: below the first number."""
        self.last = start

    def getrandbits(self, bits):
        """The next number."""
        self.last += 1
        return self.last

    def uniform(self, low, high):
        """The lowest."""
        return low


class Node:
    """One process; what it is notified of is read and emptied after each step."""

    def __init__(self, group_class, name, incarnation, now_ms, sections):
        """A process with the sections of its folder."""
        self.notices = []
        self.incarnation = incarnation
        counter = Counter((ord(name) << 32) + (incarnation << 16))
        self.group = group_class(
            "g",
            name,
            incarnation,
            NAMES,
            counter,
            FAST_SETTINGS,
            now_ms,
            sections,
            is_new_disk=True,
            fold=fold,
            on_lease_event=self.on_lease_event,
        )

    def on_lease_event(self, now_ms, event):
        """Remembers the event, and the state at that time."""
        self.notices.append((event, self.group.state))

    def on_result(self, now_ms, result):
        """Remembers the result of an append."""
        self.notices.append((RESULT, result))


@dataclass(frozen=True)
class Budget:
    """What may still happen."""

    acquisitions: tuple = ()  # names, in this order
    appends: int = 0
    crashes: int = 0
    steps: int = 0
    duplicates: int = 0
    disk_failures: int = 0
    releases: int = 0
    step: float = 0.6  # of a lease
    cut_links: tuple = ()
    has_slow_disks: bool = False  # else a disk answers within the step


class Packet(NamedTuple):
    """A message under way."""

    sender: tuple  # (name, incarnation)
    to: str
    data: bytes


class DiskWrite(NamedTuple):
    """A store request under way."""

    name: str
    number: int
    changes: tuple


class StepResult(NamedTuple):
    """What a step of one process leads to."""

    node: bytes
    packets: frozenset
    writes: tuple
    notices: list


class Move(NamedTuple):
    """What may happen next; `append_number` of the message, where that is an append request."""

    name: str
    make: Callable
    append_number: int = 0


@dataclass(frozen=True)
class State:
    """Everything at one moment."""

    nodes: tuple  # of (name, pickled Node)
    disks: tuple  # of (name, sorted sections)
    writes: tuple  # of DiskWrite
    packets: frozenset
    budget: Budget
    time: int = 0
    appended: int = 0
    committed: tuple = ()

    def local_ms(self, name):
        """The time by a process's clock."""
        return self.time * self.budget.step * FAST_SETTINGS.lease_ms * CLOCK_RATES[name]

    def spend(self, **less):
        """This state with one less of each of these in the budget."""
        left = {name: getattr(self.budget, name) - number for name, number in less.items()}
        return replace(self, budget=replace(self.budget, **left))
