"""The system calls of a store, which tests can replace. Errors: OSError."""

import fcntl
import os
import stat
from dataclasses import dataclass

# Without O_NONBLOCK, opening a named pipe that has the name of a store file would block forever.
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
        """Opens a file and returns its descriptor."""
        return os.open(path, flags | os.O_CLOEXEC, FILE_MODE)

    def read(self, descriptor, size):
        """Returns up to `size` bytes."""
        return os.read(descriptor, size)

    def write(self, descriptor, data):
        """Writes some of the data and returns the number of bytes written."""
        return os.write(descriptor, data)

    def fsync(self, descriptor):
        """Waits until a file or a directory is on disk."""
        os.fsync(descriptor)

    def close(self, descriptor):
        """Closes a descriptor."""
        os.close(descriptor)

    def rename(self, old, new):
        """Renames a file, replacing an existing one."""
        os.rename(old, new)

    def unlink(self, path):
        """Removes a file."""
        os.unlink(path)

    def mkdir(self, path):
        """Creates a directory."""
        os.mkdir(path, DIRECTORY_MODE)

    def listdir(self, path):
        """Returns the names in a directory."""
        return os.listdir(path)

    def stat(self, path):
        """Returns the FileIdentity of a name."""
        return _identity(os.stat(path))

    def fstat(self, descriptor):
        """Returns the FileIdentity of a descriptor."""
        return _identity(os.fstat(descriptor))

    def flock(self, descriptor):
        """Locks a file exclusively; raises BlockingIOError if another process holds the lock.

        The system releases the lock when the process ends.
        """
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)


def close_quietly(file_system, descriptor):
    """Closes a descriptor unless it is None; ignores errors, which do not affect the data read or written."""
    if descriptor is not None:
        call_ignoring_os_error(file_system.close, descriptor)


def call_ignoring_os_error(call, *arguments):
    """Makes a call whose failure is harmless."""
    try:
        call(*arguments)
    except OSError:
        return


def is_same_file(file_system, path, identity):
    """Returns whether a name refers to the file with this identity."""
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
