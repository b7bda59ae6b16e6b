"""A disk in memory that fails, tears and loses power as told, behind the calls of lichenquay.storage.disk."""

import errno
import os as real
from os.path import basename, dirname

from lichenquay.storage.disk import Place


class PowerOff(BaseException):
    """The process is no more."""


class File:
    def __init__(self):
        self.writes = []  # [offset, bytes, state]; dirty, durable, or lost (by a failed fsync)

    def copy(self):
        out = File()
        out.writes = [list(write) for write in self.writes]
        return out

    def content(self, taken=lambda write: write[1]):
        size = max((at + len(data) for at, data, _ in self.writes), default=0)
        out = bytearray(size)
        end = 0
        for write in self.writes:
            data = taken(write)
            out[write[0] : write[0] + len(data)] = data
            if data:
                end = max(end, write[0] + len(data))
        return bytes(out[:end])


class Dir:
    def __init__(self):
        self.now, self.durable, self.ops = {}, {}, []

    def copy(self):
        out = Dir()
        out.now, out.durable, out.ops = dict(self.now), dict(self.durable), list(self.ops)
        return out

    def do(self, op):
        self.ops.append(op)
        apply_op(self.now, op)


def apply_op(entries, op):
    what, name, *more = op
    if what == "set":
        entries[name] = more[0]
    elif what == "del":
        entries.pop(name, None)
    else:
        entries.pop(name, None)
        entries[more[0]] = more[1]


class Disk:
    def __init__(self):
        self.nodes, self.next, self.locks = {1: Dir(), 2: Dir()}, 3, {}
        self.nodes[1].now["disk"] = self.nodes[1].durable["disk"] = 2

    def find(self, path):
        at = 1
        for part in [p for p in path.split("/") if p]:
            node = self.nodes[at]
            if not isinstance(node, Dir):
                raise OSError(errno.ENOTDIR, "not a directory")
            if part not in node.now:
                raise OSError(errno.ENOENT, "no such file")
            at = node.now[part]
        return at

    def add(self, path, node):
        number, self.next = self.next, self.next + 1
        self.nodes[number] = node
        self.nodes[self.find(dirname(path))].do(("set", basename(path), number))
        return number

    def after_kill(self):
        """The process is gone, the machine runs on."""
        out = Disk()
        out.nodes, out.next = {number: node.copy() for number, node in self.nodes.items()}, self.next
        return out

    def after_power_loss(self, rng, mode):
        """mode: none, all or some of what no fsync has made durable, be it of names or of bytes."""
        out = self.after_kill()
        for node in out.nodes.values():
            if isinstance(node, Dir):
                entries = dict(node.durable)
                for op in node.ops:
                    if mode == "all" or mode == "some" and rng.random() < 0.5:
                        apply_op(entries, op)
                node.now, node.durable, node.ops = entries, dict(entries), []
            else:
                data = node.content(lambda write: lose(write, rng, mode))
                node.writes = [[0, data, "durable"]] if data else []
        return out


def lose(write, rng, mode):
    if write[2] == "durable" or mode == "all":
        return write[1]
    if mode == "none":
        return b""
    return write[1][: rng.choice((0, rng.randrange(len(write[1]) + 1), len(write[1])))]


class SimOs:
    """One process's calls. crash_at: PowerOff instead of that call. fails(n, name): an errno or None, asked before
    each call. most: bytes that one write takes (short writes)."""

    def __init__(self, disk, crash_at=None, fails=None, most=None):
        self.disk, self.crash_at, self.fails, self.most = disk, crash_at, fails, most
        self.calls, self.fds, self.next = [], {}, 100

    def _step(self, name, *args):
        if len(self.calls) == self.crash_at:
            raise PowerOff()
        self.calls.append((name, *args))
        number = self.fails(len(self.calls) - 1, name) if self.fails else None
        if number and name == "fsync":
            for write in getattr(self.disk.nodes[self.fds[args[0]][0]], "writes", ()):
                if write[2] == "dirty":
                    write[2] = "lost"
        if number:
            raise OSError(number, real.strerror(number))

    def open(self, path, flags):
        self._step("open", path)
        try:
            node = self.disk.find(path)
            if flags & real.O_TRUNC:
                self.disk.nodes[node].writes = []
        except FileNotFoundError:
            if not flags & real.O_CREAT:
                raise
            node = self.disk.add(path, File())
        self.next += 1
        self.fds[self.next] = [node, 0]
        return self.next

    def read(self, fd, size):
        self._step("read", fd)
        node, at = self.fds[fd]
        data = self.disk.nodes[node].content()[at : at + size]
        self.fds[fd][1] += len(data)
        return data

    def write(self, fd, data):
        self._step("write", fd)
        data = bytes(data[: self.most])
        node, at = self.fds[fd]
        self.disk.nodes[node].writes.append([at, data, "dirty"])
        self.fds[fd][1] += len(data)
        return len(data)

    def fsync(self, fd):
        self._step("fsync", fd)
        node = self.disk.nodes[self.fds[fd][0]]
        if isinstance(node, Dir):
            node.durable, node.ops = dict(node.now), []
        else:
            for write in node.writes:
                if write[2] == "dirty":
                    write[2] = "durable"

    def close(self, fd):
        failed = None
        try:
            self._step("close", fd)
        except OSError as why:  # on Linux a close that fails has closed
            failed = why
        node = self.fds.pop(fd)[0]
        if self.disk.locks.get(node) == (id(self), fd):
            del self.disk.locks[node]
        if failed:
            raise failed

    def rename(self, old, new):
        self._step("rename", old, new)
        node = self.disk.find(old)
        self.disk.nodes[self.disk.find(dirname(old))].do(("ren", basename(old), basename(new), node))

    def unlink(self, path):
        self._step("unlink", path)
        self.disk.find(path)
        self.disk.nodes[self.disk.find(dirname(path))].do(("del", basename(path)))

    def mkdir(self, path):
        self._step("mkdir", path)
        self.disk.add(path, Dir())

    def listdir(self, path):
        self._step("listdir", path)
        return list(self.disk.nodes[self.disk.find(path)].now)

    def stat(self, path):
        self._step("stat", path)
        node = self.disk.find(path)
        return Place(1, node, isinstance(self.disk.nodes[node], Dir))

    def fstat(self, fd):
        self._step("fstat", fd)
        return Place(1, self.fds[fd][0], False)

    def flock(self, fd):
        self._step("flock", fd)
        node = self.fds[fd][0]
        if self.disk.locks.get(node, (id(self), fd)) != (id(self), fd):
            raise BlockingIOError(errno.EAGAIN, "locked")
        self.disk.locks[node] = (id(self), fd)


class Model:
    """What may be found: after a success that alone; since then, what was stored and any prefix of one try's
    records."""

    def __init__(self):
        self.sure = {}
        self.may = [{}]

    def tries(self, state, batch):
        """Before a flush of `batch` on `state`."""
        state = dict(state)
        self.may.append(dict(state))
        for changes in batch:
            for key, value in changes.items():
                if value is None:
                    state.pop(key, None)
                else:
                    state[key] = value
            self.may.append(dict(state))
        return state

    def stored(self, state):
        self.sure, self.may = dict(state), [dict(state)]

    def check(self, state):
        assert dict(state) in self.may, (sorted(state), [sorted(m) for m in self.may])
