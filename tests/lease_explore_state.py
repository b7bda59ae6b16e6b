"""States of the exploration of small lease groups: processes, messages, disk writes, remaining budget."""

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
RESULT = "result"  # marks the result of an append among the notices of a node


def _read_promise(data):
    return lease_pb2.Promise.FromString(data)


def _reduce_promise(promise):
    return _read_promise, (promise.SerializeToString(),)


copyreg.pickle(lease_pb2.Promise, _reduce_promise)


class Counter:
    """A deterministic random number generator that counts the numbers drawn by one incarnation."""

    def __init__(self, start):
        """Starts counting after `start`."""
        self.last = start

    def getrandbits(self, bits):
        """Returns the next number."""
        self.last += 1
        return self.last

    def uniform(self, low, high):
        """Returns the lower bound."""
        return low


class Node:
    """One process, and the notices that it got in the current step."""

    def __init__(self, group_class, name, incarnation, now_ms, sections):
        """Starts a process with the sections of its folder."""
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
        """Records the event and the state at that time."""
        self.notices.append((event, self.group.state))

    def on_result(self, now_ms, result):
        """Records the result of an append."""
        self.notices.append((RESULT, result))


@dataclass(frozen=True)
class Budget:
    """The numbers of events that may still happen."""

    acquisitions: tuple = ()  # process names, in this order
    appends: int = 0
    crashes: int = 0
    steps: int = 0
    duplicates: int = 0
    disk_failures: int = 0
    releases: int = 0
    step: float = 0.6  # of a lease
    cut_links: tuple = ()
    has_slow_disks: bool = False  # else a disk completes a write within the step


class Packet(NamedTuple):
    """A message in flight."""

    sender: tuple  # (name, incarnation)
    to: str
    data: bytes


class DiskWrite(NamedTuple):
    """A store request in flight."""

    name: str
    number: int
    changes: tuple


class StepResult(NamedTuple):
    """The result of a step of one process."""

    node: bytes
    packets: frozenset
    writes: tuple
    notices: list


class Move(NamedTuple):
    """A possible next step. `append_number`: of the message, if it is an append request, else 0."""

    name: str
    make: Callable
    append_number: int = 0


@dataclass(frozen=True)
class State:
    """The state of the whole group at one moment."""

    nodes: tuple  # of (name, pickled Node)
    disks: tuple  # of (name, sorted sections)
    writes: tuple  # of DiskWrite
    packets: frozenset
    budget: Budget
    time: int = 0
    appended: int = 0
    committed: tuple = ()

    def local_ms(self, name):
        """Returns the time by a process's clock."""
        return self.time * self.budget.step * FAST_SETTINGS.lease_ms * CLOCK_RATES[name]

    def spend(self, **less):
        """Returns this state with the budget reduced by these numbers."""
        left = {name: getattr(self.budget, name) - number for name, number in less.items()}
        return replace(self, budget=replace(self.budget, **left))
