"""Errors of the membership protocol."""


class MembershipError(ValueError):
    """Base class of all errors of this package."""


class InvalidMemberError(MembershipError):
    """A member was to be made with a name or an incarnation out of range."""


class MessageTooLargeError(MembershipError):
    """A message exceeds the size limit: a defect of this program, not of the network."""
