"""A simulated disk with failing calls, torn writes and power loss, with the interface of FileSystem."""

import errno
import os
from dataclasses import dataclass
from enum import Enum
from os.path import basename, dirname

from lichenquay.storage.file_system import FileIdentity
from lichenquay.storage.record_format import apply_changes

ROOT_NODE = 1
DISK_NODE = 2
FIRST_FREE_NODE = 3
FIRST_DESCRIPTOR = 101


class PowerLoss(BaseException):
    """The process ends by a power loss. As a BaseException it is not handled by the code under test."""


class WriteState(Enum):
    """The state of a write."""

    DIRTY = "in the page cache"
    DURABLE = "on disk"
    LOST = "dropped by a failed fsync"


class Survival(Enum):
    """How many of the names and bytes that are not durable by an fsync survive a power loss."""

    NONE = "none"
    SOME = "some"
    ALL = "all"


@dataclass
class Write:
    """Bytes that were written to a file."""

    offset: int
    data: bytes
    state: WriteState = WriteState.DIRTY

    def copy(self):
        """Returns an independent copy."""
        return Write(self.offset, self.data, self.state)


class File:
    """A file, represented by its writes."""

    def __init__(self, writes=()):
        """Holds `writes`, in their order."""
        self.writes = list(writes)

    def copy(self):
        """Returns an independent copy."""
        return File(write.copy() for write in self.writes)

    def content(self, surviving=lambda write: write.data):
        """Returns the bytes, of which `surviving(write)` is left of each write."""
        content = bytearray(max((write.offset + len(write.data) for write in self.writes), default=0))
        end = 0
        for write in self.writes:
            data = surviving(write)
            content[write.offset : write.offset + len(data)] = data
            if data:
                end = max(end, write.offset + len(data))
        return bytes(content[:end])

    def resolve_dirty_writes(self, state):
        """Sets the state of all dirty writes."""
        for write in self.writes:
            if write.state is WriteState.DIRTY:
                write.state = state


@dataclass(frozen=True)
class SetName:
    """A change that lets a name refer to a node."""

    name: str
    node: int

    def apply(self, entries):
        """Applies the change to the entries of a directory."""
        entries[self.name] = self.node


@dataclass(frozen=True)
class DeleteName:
    """A change that removes a name."""

    name: str

    def apply(self, entries):
        """Applies the change to the entries of a directory."""
        entries.pop(self.name, None)


@dataclass(frozen=True)
class RenameNode:
    """A change that renames a node."""

    old: str
    new: str
    node: int

    def apply(self, entries):
        """Applies the change to the entries of a directory."""
        entries.pop(self.old, None)
        entries[self.new] = self.node


class Directory:
    """A directory: its current entries, those on disk, and the changes between them."""

    def __init__(self, current=(), durable=(), changes=()):
        """Holds the entries; `current` and `durable`: {name: node}."""
        self.current = dict(current)
        self.durable = dict(durable)
        self.changes = list(changes)

    def copy(self):
        """Returns an independent copy."""
        return Directory(self.current, self.durable, self.changes)

    def change(self, change):
        """Applies a change that is not on disk yet."""
        self.changes.append(change)
        change.apply(self.current)

    def sync(self):
        """Makes the entries durable."""
        self.durable = dict(self.current)
        self.changes = []


class Disk:
    """The content of a disk and of its page cache."""

    def __init__(self):
        """Starts with an empty directory /disk."""
        root = Directory({"disk": DISK_NODE}, {"disk": DISK_NODE})
        self.nodes = {ROOT_NODE: root, DISK_NODE: Directory()}
        self.next_node = FIRST_FREE_NODE
        self.locks = {}

    def find(self, path):
        """Returns the node number of a path."""
        number = ROOT_NODE
        for part in [part for part in path.split("/") if part]:
            node = self.nodes[number]
            if not isinstance(node, Directory):
                raise OSError(errno.ENOTDIR, "not a directory")
            if part not in node.current:
                raise OSError(errno.ENOENT, "no such file")
            number = node.current[part]
        return number

    def directory_of(self, path):
        """Returns the directory that contains a path."""
        return self.nodes[self.find(dirname(path))]

    def add(self, path, node):
        """Adds a node at a path and returns its number."""
        number = self.next_node
        self.next_node += 1
        self.nodes[number] = node
        self.directory_of(path).change(SetName(basename(path), number))
        return number

    def after_kill(self):
        """Returns the disk after the process is killed and the machine keeps running."""
        disk = Disk()
        disk.nodes = {number: node.copy() for number, node in self.nodes.items()}
        disk.next_node = self.next_node
        return disk

    def after_power_loss(self, rng, survival):
        """Returns the disk after a power loss and a restart of the machine."""
        disk = self.after_kill()
        for number, node in disk.nodes.items():
            if isinstance(node, Directory):
                entries = dict(node.durable)
                for change in node.changes:
                    if survival is Survival.ALL or survival is Survival.SOME and rng.random() < 0.5:
                        change.apply(entries)
                disk.nodes[number] = Directory(entries, entries)
            else:
                data = node.content(lambda write: surviving_bytes(write, rng, survival))
                node.writes = [Write(0, data, WriteState.DURABLE)] if data else []
        return disk


def surviving_bytes(write, rng, survival):
    """Returns the part of a write that survives a power loss."""
    if write.state is WriteState.DURABLE or survival is Survival.ALL:
        return write.data
    if survival is Survival.NONE:
        return b""
    return write.data[: rng.choice((0, rng.randrange(len(write.data) + 1), len(write.data)))]


@dataclass
class OpenDescriptor:
    """An open file of a process."""

    node: int
    offset: int = 0


class SimulatedFileSystem:
    """The system calls of one process on a simulated disk.

    `crash_at`: number of the call that raises PowerLoss. `fails(number, name)`: returns an errno or None for
    each call. `max_write_bytes`: limit of one write (short writes).
    """

    def __init__(self, disk, crash_at=None, fails=None, max_write_bytes=None):
        """Starts a process without open files."""
        self.disk = disk
        self.crash_at = crash_at
        self.fails = fails
        self.max_write_bytes = max_write_bytes
        self.calls = []
        self.descriptors = {}
        self.next_descriptor = FIRST_DESCRIPTOR

    def _begin(self, name, *arguments):
        if len(self.calls) == self.crash_at:
            raise PowerLoss
        self.calls.append((name, *arguments))
        error_number = self.fails(len(self.calls) - 1, name) if self.fails else None
        if not error_number:
            return
        if name == "fsync":
            node = self.disk.nodes[self.descriptors[arguments[0]].node]
            if isinstance(node, File):
                node.resolve_dirty_writes(WriteState.LOST)
        raise OSError(error_number, os.strerror(error_number))

    def open(self, path, flags):
        """Implements the call of FileSystem."""
        self._begin("open", path)
        try:
            number = self.disk.find(path)
            if flags & os.O_TRUNC:
                self.disk.nodes[number].writes = []
        except FileNotFoundError:
            if not flags & os.O_CREAT:
                raise
            number = self.disk.add(path, File())
        descriptor = self.next_descriptor
        self.next_descriptor += 1
        self.descriptors[descriptor] = OpenDescriptor(number)
        return descriptor

    def read(self, descriptor, size):
        """Implements the call of FileSystem."""
        self._begin("read", descriptor)
        opened = self.descriptors[descriptor]
        data = self.disk.nodes[opened.node].content()[opened.offset : opened.offset + size]
        opened.offset += len(data)
        return data

    def write(self, descriptor, data):
        """Implements the call of FileSystem."""
        self._begin("write", descriptor)
        data = bytes(data[: self.max_write_bytes])
        opened = self.descriptors[descriptor]
        self.disk.nodes[opened.node].writes.append(Write(opened.offset, data))
        opened.offset += len(data)
        return len(data)

    def fsync(self, descriptor):
        """Implements the call of FileSystem."""
        self._begin("fsync", descriptor)
        node = self.disk.nodes[self.descriptors[descriptor].node]
        if isinstance(node, Directory):
            node.sync()
        else:
            node.resolve_dirty_writes(WriteState.DURABLE)

    def close(self, descriptor):
        """Implements the call of FileSystem; as on Linux, a failing close still closes the descriptor."""
        try:
            self._begin("close", descriptor)
        except OSError:
            self._forget(descriptor)
            raise
        self._forget(descriptor)

    def _forget(self, descriptor):
        node = self.descriptors.pop(descriptor).node
        if self.disk.locks.get(node) == (id(self), descriptor):
            del self.disk.locks[node]

    def rename(self, old, new):
        """Implements the call of FileSystem, only within a directory."""
        self._begin("rename", old, new)
        node = self.disk.find(old)
        self.disk.directory_of(old).change(RenameNode(basename(old), basename(new), node))

    def unlink(self, path):
        """Implements the call of FileSystem."""
        self._begin("unlink", path)
        self.disk.find(path)
        self.disk.directory_of(path).change(DeleteName(basename(path)))

    def mkdir(self, path):
        """Implements the call of FileSystem."""
        self._begin("mkdir", path)
        self.disk.add(path, Directory())

    def listdir(self, path):
        """Implements the call of FileSystem."""
        self._begin("listdir", path)
        return list(self.disk.nodes[self.disk.find(path)].current)

    def stat(self, path):
        """Implements the call of FileSystem."""
        self._begin("stat", path)
        node = self.disk.find(path)
        return FileIdentity(1, node, isinstance(self.disk.nodes[node], Directory))

    def fstat(self, descriptor):
        """Implements the call of FileSystem."""
        self._begin("fstat", descriptor)
        return FileIdentity(1, self.descriptors[descriptor].node, False)

    def flock(self, descriptor):
        """Implements the call of FileSystem."""
        self._begin("flock", descriptor)
        node = self.descriptors[descriptor].node
        owner = (id(self), descriptor)
        if self.disk.locks.get(node, owner) != owner:
            raise BlockingIOError(errno.EAGAIN, "locked")
        self.disk.locks[node] = owner


class AllowedStates:
    """The states that recovery may find: the last stored one with any prefix of the records since then."""

    def __init__(self):
        """Starts with the empty state."""
        self.states = [{}]

    def begin_attempt(self, state, batch):
        """Adds the states that a flush of `batch` on `state` may leave; returns the state if it succeeds."""
        state = dict(state)
        self.states.append(dict(state))
        for changes in batch:
            apply_changes(state, changes)
            self.states.append(dict(state))
        return state

    def record_stored(self, state):
        """Allows only `state`, after a successful flush."""
        self.states = [dict(state)]

    def check(self, state):
        """Checks that a state is allowed."""
        assert dict(state) in self.states, (sorted(state), [sorted(known) for known in self.states])
