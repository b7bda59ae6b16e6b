"""Errors of the load generator; each message is one line."""


class LoadError(Exception):
    """Base class of the errors that the load generator raises."""


class TraceError(LoadError, ValueError):
    """A trace cannot be used; the message names the file, the row, the column and the cause."""


class ComparisonError(LoadError, ValueError):
    """A folder holds no readable runs to compare."""


class RunError(LoadError):
    """A run cannot start, as one of its processes is not ready."""
