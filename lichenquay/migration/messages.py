"""Answers of the coordinator to clients, and its messages to other replica groups."""

from enum import Enum
from typing import NamedTuple

from lichenquay.lease.digest import digest
from lichenquay.migration import migration_pb2 as pb


class AnswerKind(Enum):
    """The kinds of answers: what the gateway is to do with a request of a session."""

    SUBMIT = "go"  # submit the query to the engine; for an opened session: use this id
    ATTACH = "attach"  # the query was submitted before: poll `engine` for its progress
    ENDED = "ended"  # the query ended with `outcome`
    RETRY_LATER = "wait"  # the session is frozen, or the session or query is not committed yet
    MOVED = "moved"  # the session was handed over: ask `replica_group`
    UNKNOWN = "unknown"  # no such session or query here; `replica_group` may know it
    PERMISSION_DENIED = "refused"  # the session or query is another tenant's, or a name is not valid
    CAPACITY_EXCEEDED = "full"  # the session or the replica group has no room
    NOT_LEADER = "lost"  # this process does not lead (any more) and did not allow the submission


class Answer(NamedTuple):
    """The answer to a request of a session; which fields are set depends on the kind."""

    kind: AnswerKind
    session_id: str = ""
    replica_group: str = ""
    engine: str = ""
    mutating: bool = False
    outcome: str = ""


NOT_LEADER = Answer(AnswerKind.NOT_LEADER)


class OutgoingMigrationMessage(NamedTuple):
    """A message and the replica group that it is addressed to."""

    to: str
    message: pb.Message


def with_checksum(message: pb.Message) -> pb.Message:
    """Sets the checksum over the other fields, which detects damage in transit; returns the message."""
    message.mark = 0
    message.mark = digest(message.SerializeToString(deterministic=True))
    return message


def is_intact(message: pb.Message) -> bool:
    """Returns whether the checksum of a received message matches."""
    received = message.mark
    return with_checksum(message).mark == received
