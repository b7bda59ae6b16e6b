"""Errors of the `config` package."""


class ConfigurationError(ValueError):
    """Invalid settings; the message is one line that names the file, the place and the cause."""


class InvalidEndpointError(ConfigurationError):
    """A distributed entry under `engine/` that does not describe a valid engine."""
