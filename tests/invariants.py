"""The error that audits of simulated clusters raise on a violated invariant."""


class InvariantError(AssertionError):
    """Reports that an invariant does not hold."""


def require(condition, message):
    """Raises InvariantError with this message unless the condition holds."""
    if not condition:
        raise InvariantError(message)
