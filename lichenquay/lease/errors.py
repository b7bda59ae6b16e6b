"""What a caller of a lease group can do wrong."""


class LeaseError(ValueError):
    """Base of the errors of this package."""


class InvalidGroupError(LeaseError):
    """The voters of a group are none, or two have one name."""


class RecordSizeError(LeaseError):
    """A record is empty or longer than one append request holds."""
