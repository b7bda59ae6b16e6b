"""The phases of a process that acquires a lease, and the events that its application is notified of."""

from enum import StrEnum


class Phase(StrEnum):
    """How far a process is in acquiring the lease."""

    IDLE = "idle"
    ACQUIRING = "acquiring"
    FETCHING = "fetching"
    REPLICATING = "replicating"
    HOLDING = "holding"


class LeaseEvent(StrEnum):
    """What the application is notified of."""

    HOLDS = "holds"
    LOST = "lost"
