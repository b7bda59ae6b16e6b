"""The base class of the gateway's exceptions."""


class GatewayError(Exception):
    """The base class of errors that the gateway detects; the text names the subject and the fault."""
