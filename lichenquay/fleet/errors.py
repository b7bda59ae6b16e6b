"""Errors of the fleet runtime."""

from enum import StrEnum


class FleetError(Exception):
    """Base class of this package's errors."""


class DropReason(StrEnum):
    """Why a datagram is dropped. The texts are part of the names of counters."""

    UNREADABLE = "unreadable"
    WRONG_VERSION = "another version"
    WRONG_FLEET = "another fleet"
    WRONG_SETTINGS = "other settings"
    UNKNOWN_SENDER = "a stranger"
    WRONG_RECEIVER = "for another"
    NO_INCARNATION = "no incarnation"
    UNKNOWN_LAYER = "of no layer here"


class DroppedDatagramError(FleetError):
    """A received datagram is dropped; the message is the text of its `reason`."""

    def __init__(self, reason: DropReason):
        """Stores the reason, by which dropped datagrams are counted."""
        super().__init__(str(reason))
        self.reason = reason


class MessageTooLargeError(FleetError):
    """An outgoing message does not fit into one datagram."""
