"""The base of all exceptions of the gateway."""


class GatewayError(Exception):
    """Something that the gateway met and could not use; the text says what and where."""
