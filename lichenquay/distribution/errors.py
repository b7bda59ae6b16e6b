"""Errors of distribution. Where one is raised, nothing of the message that caused it has been applied."""


class DistributionError(ValueError):
    """Base class of all errors of this package."""


class SubscriptionError(DistributionError):
    """A subscriber was to be made without a source, or with prefixes that do not fit into a message."""


class DigestError(DistributionError):
    """What was received does not lead to the digest that came with it."""


class VersionGapError(DistributionError):
    """Changes that do not follow the version that is held."""
