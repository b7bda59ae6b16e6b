"""The phases of a process on its way to a lease, and the events that its application is notified of."""

from enum import StrEnum


class Phase(StrEnum):
    """Where a process is on its way to the lease."""

    IDLE = "idle"
    ACQUIRING = "acquiring"
    FETCHING = "fetching"
    REPLICATING = "replicating"
    HOLDING = "holding"


class LeaseEvent(StrEnum):
    """What the application is notified of."""

    HOLDS = "holds"
    LOST = "lost"
