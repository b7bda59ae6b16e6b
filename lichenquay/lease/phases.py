"""The phases of acquiring a lease, and the events reported to the application."""

from enum import StrEnum


class Phase(StrEnum):
    """The progress of a process towards holding the lease."""

    IDLE = "idle"
    ACQUIRING = "acquiring"
    FETCHING = "fetching"
    REPLICATING = "replicating"
    HOLDING = "holding"


class LeaseEvent(StrEnum):
    """An event reported to the application."""

    HOLDS = "holds"
    LOST = "lost"
