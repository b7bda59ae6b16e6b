"""The directory of a store: it exists, it is this process's alone, it is the one that was locked."""

import errno
from collections.abc import Callable
from os.path import dirname, join

from lichenquay.storage.errors import UnusableStoreError
from lichenquay.storage.file_names import LOCK_NAME
from lichenquay.storage.file_system import (
    LOCK_FLAGS,
    READ_FLAGS,
    FileIdentity,
    FileSystem,
    close_quietly,
    is_identical,
    sync_directory,
)


class StoreDirectory:
    """Makes, locks and checks the directory."""

    def __init__(self, file_system: FileSystem, path: str):
        """Touches nothing yet. `path`: absolute."""
        self.file_system = file_system
        self.path = path
        self.lock_path = join(path, LOCK_NAME)
        self._lock = None  # descriptor
        self._was_made_here = False
        self._is_parent_synced = False

    def enter(self, on_locked: Callable[[], None]) -> None:
        """Makes sure that the directory is there and locked by this process.

        `on_locked()` is called when the lock was taken anew, before it counts; what it raises releases the
        lock. Raises UnusableStoreError, or OSError where that may pass.
        """
        self._check_directory()
        if self._lock is not None and is_identical(
            self.file_system, self.lock_path, self.file_system.fstat(self._lock)
        ):
            return
        close_quietly(self.file_system, self._lock)
        self._lock = None
        self._lock = self._take_lock(on_locked)
        self._is_parent_synced = False

    def _check_directory(self):
        file_system = self.file_system
        try:
            try:
                identity = file_system.stat(self.path)
            except FileNotFoundError:
                file_system.mkdir(self.path)
                self._was_made_here = True
                identity = file_system.stat(self.path)
        except NotADirectoryError:
            raise UnusableStoreError(f"folder {self.path}: a part of its path is no folder") from None
        except PermissionError as error:
            raise UnusableStoreError(f"folder {self.path}: {error.strerror}") from None
        if not identity.is_directory:
            raise UnusableStoreError(f"folder {self.path} is no folder")

    def _take_lock(self, on_locked):
        descriptor = self._open_lock()
        try:
            self.file_system.flock(descriptor)
            if not is_identical(self.file_system, self.lock_path, self.file_system.fstat(descriptor)):
                raise OSError(errno.ESTALE, "its lock was replaced")
            on_locked()
        except BlockingIOError:
            close_quietly(self.file_system, descriptor)
            raise UnusableStoreError(f"folder {self.path} is in use by another process") from None
        except BaseException:
            close_quietly(self.file_system, descriptor)
            raise
        return descriptor

    def _open_lock(self):
        try:
            return self.file_system.open(self.lock_path, LOCK_FLAGS)
        except PermissionError as error:
            raise UnusableStoreError(f"folder {self.path}: {error.strerror}") from None
        except OSError as error:
            if error.errno != errno.EROFS:
                raise
        return self.file_system.open(self.lock_path, READ_FLAGS)

    def lock_identity(self) -> FileIdentity:
        """The FileIdentity of the lock that this process has."""
        return self.file_system.fstat(self._lock)

    def sync_parent(self) -> None:
        """Waits until the directory's own name is on disk, once after each lock.

        A parent that may not be read matters only for a directory that was made here.
        """
        if self._is_parent_synced:
            return
        try:
            sync_directory(self.file_system, dirname(self.path))
        except PermissionError:
            if self._was_made_here:
                raise
        self._is_parent_synced = True

    def release(self) -> None:
        """Releases the lock."""
        close_quietly(self.file_system, self._lock)
        self._lock = None
