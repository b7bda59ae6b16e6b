"""Errors of the membership protocol."""


class MembershipError(ValueError):
    """Base class of all errors of this package."""


class InvalidMemberError(MembershipError):
    """The name or the incarnation of a new member is out of range."""


class MembershipMessageTooLargeError(MembershipError):
    """An outgoing message exceeds the size limit, which is a programming error."""
