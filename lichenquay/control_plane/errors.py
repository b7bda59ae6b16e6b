"""Errors of the control plane. The text of each is one line."""


class ControlPlaneError(Exception):
    """Base class of all errors of this package."""


class CannotStartError(ControlPlaneError):
    """A process cannot start; the text names what is missing or wrong."""


class NoVotersError(ControlPlaneError, ValueError):
    """A client was given no voter that it could ask."""


class NoAnswerError(ControlPlaneError):
    """No voter gave a final answer in time: a proposed change may have been committed or not."""
