"""Errors of the lease package, all of them caused by invalid arguments."""


class LeaseError(ValueError):
    """Base of the errors of this package."""


class InvalidGroupError(LeaseError):
    """A group has no voters, or two voters share a name."""


class RecordSizeError(LeaseError):
    """A record is empty or does not fit in one append request."""
