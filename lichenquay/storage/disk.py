"""The few calls on the system that a folder makes, so that a test can stand in for each. Errors: OSError."""

import fcntl
import os
import stat
from dataclasses import dataclass

READ = os.O_RDONLY | os.O_NONBLOCK  # Risk: a pipe of such a name would hold the opener for ever
LOCK = os.O_RDWR | os.O_CREAT
NEW = os.O_WRONLY | os.O_CREAT | os.O_TRUNC


@dataclass(frozen=True)
class Place:
    """Which file or folder a name or a descriptor stands for."""

    device: int
    inode: int
    folder: bool


def _place(found):
    return Place(found.st_dev, found.st_ino, stat.S_ISDIR(found.st_mode))


class RealOs:
    def open(self, path, flags):
        return os.open(path, flags | os.O_CLOEXEC, 0o600)

    def read(self, fd, size):
        return os.read(fd, size)

    def write(self, fd, data):
        return os.write(fd, data)

    def fsync(self, fd):
        os.fsync(fd)

    def close(self, fd):
        os.close(fd)

    def rename(self, old, new):
        os.rename(old, new)

    def unlink(self, path):
        os.unlink(path)

    def mkdir(self, path):
        os.mkdir(path, 0o700)

    def listdir(self, path):
        return os.listdir(path)

    def stat(self, path):
        return _place(os.stat(path))

    def fstat(self, fd):
        return _place(os.fstat(fd))

    def flock(self, fd):
        """Risk: two processes on one folder. BlockingIOError where another one has it; the system lets go when a
        process ends."""
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
