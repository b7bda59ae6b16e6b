"""What the audits of the simulated worlds raise."""


class InvariantError(AssertionError):
    """An invariant does not hold."""


def require(condition, message):
    """Raises InvariantError with this message unless the condition holds."""
    if not condition:
        raise InvariantError(message)
