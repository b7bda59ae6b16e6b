"""The exceptions of this package."""


class MigrationError(Exception):
    """Base class of the errors of the migration package."""


class StateMachineError(MigrationError):
    """A record or snapshot breaks an invariant of the state machine. A lost message never causes this."""
