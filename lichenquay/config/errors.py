"""Errors of the `config` package."""


class ConfigurationError(ValueError):
    """Settings that cannot be used. The text is one line: file, place and cause."""


class InvalidEndpointError(ConfigurationError):
    """A distributed entry that describes no engine."""
