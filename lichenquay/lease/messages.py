"""The messages of a lease group: the terms of this package for the names of `lease.proto`.

The protobuf names are a contract with running versions and stay. Fields that are read under their wire name:
`birth` is a recovery nonce, `founding` the bootstrap nonce, `since` and `till` the log positions before
and after the records, `whole` a snapshot offer, `number` the number of an append request, `token` the
random value that a reply must bring back.
"""

from enum import Enum
from typing import NamedTuple

from lichenquay.lease import lease_pb2 as wire

AcquireRequest = wire.Claim
AcquireGrant = wire.Grant
Rejection = wire.Refuse
RecoveryNotice = wire.Blank
AppendRequest = wire.Round
AppendReply = wire.Ack
SnapshotRequest = wire.Fetch
SnapshotChunk = wire.Piece
ReleaseNotice = wire.Ended
SnapshotOffer = wire.Whole


class MessageKind(Enum):
    """The kinds of messages; the values are the names of the protobuf union's members."""

    ACQUIRE_REQUEST = "claim"
    ACQUIRE_GRANT = "grant"
    REJECTION = "refuse"
    RECOVERY_NOTICE = "blank"
    APPEND_REQUEST = "round"
    APPEND_REPLY = "ack"
    SNAPSHOT_REQUEST = "fetch"
    SNAPSHOT_CHUNK = "piece"
    RELEASE_NOTICE = "ended"


KIND_OF_BODY = {
    AcquireRequest: MessageKind.ACQUIRE_REQUEST,
    AcquireGrant: MessageKind.ACQUIRE_GRANT,
    Rejection: MessageKind.REJECTION,
    RecoveryNotice: MessageKind.RECOVERY_NOTICE,
    AppendRequest: MessageKind.APPEND_REQUEST,
    AppendReply: MessageKind.APPEND_REPLY,
    SnapshotRequest: MessageKind.SNAPSHOT_REQUEST,
    SnapshotChunk: MessageKind.SNAPSHOT_CHUNK,
    ReleaseNotice: MessageKind.RELEASE_NOTICE,
}
FOR_VOTER = frozenset(
    {
        MessageKind.ACQUIRE_REQUEST,
        MessageKind.APPEND_REQUEST,
        MessageKind.RELEASE_NOTICE,
        MessageKind.SNAPSHOT_CHUNK,
        MessageKind.SNAPSHOT_REQUEST,
    }
)
FOR_LEADER = frozenset(
    {
        MessageKind.ACQUIRE_GRANT,
        MessageKind.REJECTION,
        MessageKind.RECOVERY_NOTICE,
        MessageKind.APPEND_REPLY,
        MessageKind.SNAPSHOT_CHUNK,
        MessageKind.SNAPSHOT_REQUEST,
    }
)


class ProcessId(NamedTuple):
    """One life of a process: the name in the envelope and the incarnation of this start."""

    name: str
    incarnation: int


class OutgoingMessage(NamedTuple):
    """A message for another process."""

    recipient: str
    message: wire.Message


class StoreRequest(NamedTuple):
    """Sections to be on disk together or not at all: bytes to write, or None to delete."""

    number: int
    changes: dict[str, bytes | None]


class ReceivedMessage(NamedTuple):
    """A message of this group."""

    kind: MessageKind
    body: object


def wrap(group_id: str, body: object) -> wire.Message:
    """The message of a group that carries `body`."""
    return wire.Message(group=group_id, **{KIND_OF_BODY[type(body)].value: body})


def unwrap(group_id: str, message: wire.Message) -> ReceivedMessage | None:
    """The kind and body of a message; None for one of another group or of no known kind."""
    member = message.WhichOneof("body")
    if message.group != group_id or member is None:
        return None
    return ReceivedMessage(MessageKind(member), getattr(message, member))
