"""The directory of a store: created if missing, locked by one process, checked for replacement."""

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
    is_same_file,
    sync_directory,
)


class StoreDirectory:
    """The directory of one store, and the lock that this process has on it."""

    def __init__(self, file_system: FileSystem, path: str):
        """Accesses nothing yet. `path`: absolute."""
        self.file_system = file_system
        self.path = path
        self.lock_path = join(path, LOCK_NAME)
        self._lock = None  # descriptor of the locked file
        self._was_created_here = False
        self._is_parent_synced = False

    def ensure_locked(self, on_locked: Callable[[], None]) -> None:
        """Creates the directory if it is missing, and locks it if this process does not hold the lock.

        `on_locked()` is called after the lock was newly taken; if it raises, the lock is released. Raises
        UnusableStoreError, or OSError for an error that may be temporary.
        """
        self._ensure_directory()
        if self._lock is not None and is_same_file(
            self.file_system, self.lock_path, self.file_system.fstat(self._lock)
        ):
            return
        close_quietly(self.file_system, self._lock)
        self._lock = None
        self._lock = self._take_lock(on_locked)
        self._is_parent_synced = False

    def _ensure_directory(self):
        file_system = self.file_system
        try:
            try:
                identity = file_system.stat(self.path)
            except FileNotFoundError:
                file_system.mkdir(self.path)
                self._was_created_here = True
                identity = file_system.stat(self.path)
        except NotADirectoryError:
            raise UnusableStoreError(
                f"folder {self.path}: a component of its path is not a directory"
            ) from None
        except PermissionError as error:
            raise UnusableStoreError(f"folder {self.path}: {error.strerror}") from None
        if not identity.is_directory:
            raise UnusableStoreError(f"folder {self.path} is not a directory")

    def _take_lock(self, on_locked):
        descriptor = self._open_lock()
        try:
            self.file_system.flock(descriptor)
            if not is_same_file(self.file_system, self.lock_path, self.file_system.fstat(descriptor)):
                raise OSError(errno.ESTALE, "its lock file was replaced")
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
        """Returns the FileIdentity of the locked file."""
        return self.file_system.fstat(self._lock)

    def sync_parent(self) -> None:
        """Waits until the directory's own name is on disk, once after each locking.

        A parent without read permission is an error only for a directory that was created here.
        """
        if self._is_parent_synced:
            return
        try:
            sync_directory(self.file_system, dirname(self.path))
        except PermissionError:
            if self._was_created_here:
                raise
        self._is_parent_synced = True

    def release(self) -> None:
        """Releases the lock."""
        close_quietly(self.file_system, self._lock)
        self._lock = None
