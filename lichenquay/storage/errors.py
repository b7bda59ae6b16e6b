"""Errors of the storage package."""


class StorageError(Exception):
    """Base of the errors of this package."""


class UnusableStoreError(StorageError):
    """This process must not use the folder. The message is one line."""


class NotStoredError(StorageError):
    """The records appended since the last flush are not in the state.

    Until the next successful flush a restart may still find them.
    """


class CapacityExceededError(StorageError, ValueError):
    """A change would exceed the store's capacity. No part of it was accepted."""


class InvalidChangeError(StorageError, ValueError):
    """A key or a name does not fit the format, or a capacity is out of range."""


class CorruptRecordError(StorageError, ValueError):
    """Bytes are truncated, corrupt or of another format. The message states which."""


class NewerFormatError(StorageError, ValueError):
    """An intact header has a version that this program does not support."""
