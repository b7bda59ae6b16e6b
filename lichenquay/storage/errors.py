"""What can go wrong in a store."""


class StorageError(Exception):
    """Base of the errors of this package."""


class UnusableStoreError(StorageError):
    """A folder that this process must not use. The message is one line."""


class NotStoredError(StorageError):
    """What was appended since the last flush is not in the state.

    Until the next success a restart may still find it.
    """


class CapacityExceededError(StorageError, ValueError):
    """A change that would pass the store's bound. Nothing of it was accepted."""


class InvalidChangeError(StorageError, ValueError):
    """A key or a name that the format cannot hold, or a bound that is not valid."""


class CorruptRecordError(StorageError, ValueError):
    """Bytes that are cut off, damaged or of another format. The message says which."""


class NewerFormatError(StorageError, ValueError):
    """An intact header of a version that this program does not know."""
