"""What the coordinator answers and sends."""

from enum import Enum
from typing import NamedTuple

from lichenquay.lease.digest import digest
from lichenquay.migration import migration_pb2 as pb


class AnswerKind(Enum):
    """What the gateway is to do with a request of a session."""

    SUBMIT = "go"  # to the engine; for an opened session: use this id
    ATTACH = "attach"  # it was submitted before: ask `engine` for its progress
    ENDED = "ended"  # with `outcome`
    RETRY_LATER = "wait"  # the session is frozen, or the query is not committed yet
    MOVED = "moved"  # ask at `replica_group`
    UNKNOWN = "unknown"  # no such session or query here; `replica_group` may know it
    PERMISSION_DENIED = "refused"  # it is another tenant's, or a name is not valid
    CAPACITY_EXCEEDED = "full"  # of the session or of the replica group
    NOT_LEADER = "lost"  # this process does not lead (any more); it has not submitted the query


class Answer(NamedTuple):
    """The answer to a request of a session; which fields are set depends on the kind."""

    kind: AnswerKind
    session_id: str = ""
    replica_group: str = ""
    engine: str = ""
    mutating: bool = False
    outcome: str = ""


NOT_LEADER = Answer(AnswerKind.NOT_LEADER)


class OutgoingMessage(NamedTuple):
    """A message, and the replica group that it is for."""

    to: str
    message: pb.Message


def with_checksum(message: pb.Message) -> pb.Message:
    """Adds the digest of the other fields, by which a message that was damaged in transit is recognized."""
    message.mark = 0
    message.mark = digest(message.SerializeToString(deterministic=True))
    return message


def is_intact(message: pb.Message) -> bool:
    """Whether the checksum of a received message is right."""
    received = message.mark
    return with_checksum(message).mark == received
