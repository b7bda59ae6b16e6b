"""Errors of the load generator; each message is one line."""


class LoadError(Exception):
    """Base class of the errors that the load generator raises."""


class TraceError(LoadError, ValueError):
    """An invalid or unreadable trace; the message names the file, the row, the column and the cause."""


class ComparisonError(LoadError, ValueError):
    """A folder has no readable runs to compare."""


class RunError(LoadError):
    """A run cannot start, as one of its processes did not become ready."""
