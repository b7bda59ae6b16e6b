"""Errors of distribution. When one is raised, nothing of the message that caused it has been applied."""


class DistributionError(ValueError):
    """Base class of all errors of this package."""


class SubscriptionError(DistributionError):
    """A subscriber has no source, or its prefixes do not fit into a message."""


class DigestError(DistributionError):
    """A received delta or snapshot does not match its digest, or a snapshot is too large."""


class VersionGapError(DistributionError):
    """A delta starts after the held version, so changes between the two are missing."""
