"""The system calls that a store makes, so that a test can replace each. Errors: OSError."""

import fcntl
import os
import stat
from dataclasses import dataclass

# Without O_NONBLOCK a pipe of a store file's name would block the reader for ever.
READ_FLAGS = os.O_RDONLY | os.O_NONBLOCK
LOCK_FLAGS = os.O_RDWR | os.O_CREAT
NEW_FILE_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
FILE_MODE = 0o600
DIRECTORY_MODE = 0o700


@dataclass(frozen=True)
class FileIdentity:
    """Which file or directory a name or a descriptor refers to."""

    device: int
    inode: int
    is_directory: bool


def _identity(status):
    return FileIdentity(status.st_dev, status.st_ino, stat.S_ISDIR(status.st_mode))


class FileSystem:
    """The calls of the operating system."""

    def open(self, path, flags):
        """Opens a file; its descriptor."""
        return os.open(path, flags | os.O_CLOEXEC, FILE_MODE)

    def read(self, descriptor, size):
        """Up to `size` bytes."""
        return os.read(descriptor, size)

    def write(self, descriptor, data):
        """Writes some of the data; how many bytes."""
        return os.write(descriptor, data)

    def fsync(self, descriptor):
        """Waits until a file or a directory is on disk."""
        os.fsync(descriptor)

    def close(self, descriptor):
        """Closes a descriptor."""
        os.close(descriptor)

    def rename(self, old, new):
        """Renames a file, over another if there is one."""
        os.rename(old, new)

    def unlink(self, path):
        """Removes a file."""
        os.unlink(path)

    def mkdir(self, path):
        """Makes a directory."""
        os.mkdir(path, DIRECTORY_MODE)

    def listdir(self, path):
        """The names in a directory."""
        return os.listdir(path)

    def stat(self, path):
        """The FileIdentity of a name."""
        return _identity(os.stat(path))

    def fstat(self, descriptor):
        """The FileIdentity of a descriptor."""
        return _identity(os.fstat(descriptor))

    def flock(self, descriptor):
        """Locks a file for this process alone; BlockingIOError where another one has it.

        The system releases the lock when the process ends.
        """
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)


def close_quietly(file_system, descriptor):
    """Closes a descriptor, if there is one; what was written or read is not affected by an error here."""
    if descriptor is not None:
        attempt(file_system.close, descriptor)


def attempt(call, *arguments):
    """Makes a call whose failure does no harm."""
    try:
        call(*arguments)
    except OSError:
        return


def is_identical(file_system, path, identity):
    """Whether a name refers to this file."""
    try:
        return file_system.stat(path) == identity
    except (FileNotFoundError, NotADirectoryError):
        return False


def sync_directory(file_system, path):
    """Waits until the names in a directory are on disk."""
    descriptor = file_system.open(path, READ_FLAGS)
    try:
        file_system.fsync(descriptor)
    finally:
        close_quietly(file_system, descriptor)
