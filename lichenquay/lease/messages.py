"""The messages of a lease group as typed records, and their form in `lease.proto`.

The names and numbers of the protobuf messages must stay compatible with deployed versions. They are mapped to
the terms of this package only here. `echo_token` is a random number that a reply must echo. A position is
None if the digest of its parts does not match.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from lichenquay.lease import lease_pb2 as wire
from lichenquay.lease.log import LogPosition


class ProcessId(NamedTuple):
    """One start of a process: its name from the envelope, and its incarnation."""

    name: str
    incarnation: int


class OutgoingLeaseMessage(NamedTuple):
    """A message to another process."""

    recipient: str
    message: wire.Message


class StoreRequest(NamedTuple):
    """Sections to store atomically: bytes to write, or None to delete."""

    number: int
    changes: dict[str, bytes | None]


class AcquireRequest(NamedTuple):
    """A candidate's request for the lease.

    `bootstrap_nonce`: recovery nonce of the receiving voter if all voters are recovering, else 0.
    """

    generation: int
    echo_token: int
    bootstrap_nonce: int = 0

    def to_wire(self) -> wire.Claim:
        """Returns the protobuf form."""
        return wire.Claim(generation=self.generation, token=self.echo_token, founding=self.bootstrap_nonce)

    @classmethod
    def from_wire(cls, message: wire.Claim) -> "AcquireRequest":
        """Returns the record of a protobuf message."""
        return cls(message.generation, message.token, message.founding)


class SnapshotOffer(NamedTuple):
    """A complete log that can be fetched in chunks; `size` in bytes."""

    position: LogPosition | None
    size: int
    crc: int

    def to_wire(self) -> wire.Whole:
        """Returns the protobuf form."""
        return wire.Whole(position=self.position.to_wire(), size=self.size, crc=self.crc)

    @classmethod
    def from_wire(cls, message: wire.Whole) -> "SnapshotOffer":
        """Returns the record of a protobuf message."""
        return cls(LogPosition.from_wire(message.position), message.size, message.crc)


class AcquireGrant(NamedTuple):
    """A voter's grant of an acquire request, with the position and the snapshot offer of its log."""

    generation: int
    echo_token: int
    position: LogPosition | None
    offer: SnapshotOffer

    def to_wire(self) -> wire.Grant:
        """Returns the protobuf form."""
        return wire.Grant(
            generation=self.generation,
            token=self.echo_token,
            position=self.position.to_wire(),
            whole=self.offer.to_wire(),
        )

    @classmethod
    def from_wire(cls, message: wire.Grant) -> "AcquireGrant":
        """Returns the record of a protobuf message."""
        position = LogPosition.from_wire(message.position)
        return cls(message.generation, message.token, position, SnapshotOffer.from_wire(message.whole))


class Rejection(NamedTuple):
    """A voter's rejection of an acquire or append request.

    `wait_ms`: how long a lease that the voter supports may last.
    """

    generation: int
    echo_token: int
    promised_generation: int
    wait_ms: float = 0.0

    def to_wire(self) -> wire.Refuse:
        """Returns the protobuf form."""
        return wire.Refuse(
            generation=self.generation,
            token=self.echo_token,
            promised=self.promised_generation,
            wait_ms=self.wait_ms,
        )

    @classmethod
    def from_wire(cls, message: wire.Refuse) -> "Rejection":
        """Returns the record of a protobuf message."""
        return cls(message.generation, message.token, message.promised, message.wait_ms)


class RecoveryNotice(NamedTuple):
    """The abstention of a recovering voter; `recovery_nonce` was drawn at its start."""

    generation: int
    echo_token: int
    recovery_nonce: int

    def to_wire(self) -> wire.Blank:
        """Returns the protobuf form."""
        return wire.Blank(generation=self.generation, token=self.echo_token, birth=self.recovery_nonce)

    @classmethod
    def from_wire(cls, message: wire.Blank) -> "RecoveryNotice":
        """Returns the record of a protobuf message."""
        return cls(message.generation, message.token, message.birth)


class AppendRequest(NamedTuple):
    """A leader's heartbeat, with the records between two positions or the offer of a snapshot.

    `recovery_nonce`: nonce of the recovering voter that needs the snapshot, else 0.
    """

    generation: int
    number: int
    echo_token: int
    before: LogPosition | None
    records: Sequence[bytes]
    after: LogPosition | None
    offer: SnapshotOffer | None = None
    recovery_nonce: int = 0

    def to_wire(self) -> wire.Round:
        """Returns the protobuf form."""
        return wire.Round(
            generation=self.generation,
            number=self.number,
            token=self.echo_token,
            since=self.before.to_wire(),
            records=self.records,
            till=self.after.to_wire(),
            whole=None if self.offer is None else self.offer.to_wire(),
            birth=self.recovery_nonce,
        )

    @classmethod
    def from_wire(cls, message: wire.Round) -> "AppendRequest":
        """Returns the record of a protobuf message; an offer of size 0 becomes None."""
        return cls(
            message.generation,
            message.number,
            message.token,
            LogPosition.from_wire(message.since),
            message.records,
            LogPosition.from_wire(message.till),
            SnapshotOffer.from_wire(message.whole) if message.whole.size else None,
            message.birth,
        )


class AppendReply(NamedTuple):
    """A voter's reply to an append request; `position`: end of the log on its disk."""

    generation: int
    number: int
    echo_token: int
    position: LogPosition | None

    def to_wire(self) -> wire.Ack:
        """Returns the protobuf form."""
        return wire.Ack(
            generation=self.generation,
            number=self.number,
            token=self.echo_token,
            position=self.position.to_wire(),
        )

    @classmethod
    def from_wire(cls, message: wire.Ack) -> "AppendReply":
        """Returns the record of a protobuf message."""
        position = LogPosition.from_wire(message.position)
        return cls(message.generation, message.number, message.token, position)


class SnapshotRequest(NamedTuple):
    """A request for a window of chunks of the snapshot with this checksum."""

    generation: int
    crc: int
    offset: int

    def to_wire(self) -> wire.Fetch:
        """Returns the protobuf form."""
        return wire.Fetch(generation=self.generation, crc=self.crc, offset=self.offset)

    @classmethod
    def from_wire(cls, message: wire.Fetch) -> "SnapshotRequest":
        """Returns the record of a protobuf message."""
        return cls(message.generation, message.crc, message.offset)


class SnapshotChunk(NamedTuple):
    """A chunk of a snapshot."""

    generation: int
    crc: int
    offset: int
    data: bytes

    def to_wire(self) -> wire.Piece:
        """Returns the protobuf form."""
        return wire.Piece(generation=self.generation, crc=self.crc, offset=self.offset, data=self.data)

    @classmethod
    def from_wire(cls, message: wire.Piece) -> "SnapshotChunk":
        """Returns the record of a protobuf message."""
        return cls(message.generation, message.crc, message.offset, message.data)


class ReleaseNotice(NamedTuple):
    """A notice that the holder released its lease; `index`: of its last record."""

    generation: int
    index: int

    def to_wire(self) -> wire.Ended:
        """Returns the protobuf form."""
        return wire.Ended(generation=self.generation, index=self.index)

    @classmethod
    def from_wire(cls, message: wire.Ended) -> "ReleaseNotice":
        """Returns the record of a protobuf message."""
        return cls(message.generation, message.index)


class MessageKind(StrEnum):
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


_RECORD_OF_KIND = {
    MessageKind.ACQUIRE_REQUEST: AcquireRequest,
    MessageKind.ACQUIRE_GRANT: AcquireGrant,
    MessageKind.REJECTION: Rejection,
    MessageKind.RECOVERY_NOTICE: RecoveryNotice,
    MessageKind.APPEND_REQUEST: AppendRequest,
    MessageKind.APPEND_REPLY: AppendReply,
    MessageKind.SNAPSHOT_REQUEST: SnapshotRequest,
    MessageKind.SNAPSHOT_CHUNK: SnapshotChunk,
    MessageKind.RELEASE_NOTICE: ReleaseNotice,
}
_KIND_OF_MEMBER = {kind.value: kind for kind in MessageKind}
_MEMBER_OF_RECORD = {record: kind.value for kind, record in _RECORD_OF_KIND.items()}

# The methods of Voter and of Leadership that handle each kind.
VOTER_METHODS = {
    MessageKind.ACQUIRE_REQUEST: "on_acquire_request",
    MessageKind.APPEND_REQUEST: "on_append_request",
    MessageKind.RELEASE_NOTICE: "on_release_notice",
    MessageKind.SNAPSHOT_CHUNK: "on_snapshot_chunk",
    MessageKind.SNAPSHOT_REQUEST: "on_snapshot_request",
}
LEADER_METHODS = {
    MessageKind.ACQUIRE_GRANT: "on_acquire_grant",
    MessageKind.REJECTION: "on_rejection",
    MessageKind.RECOVERY_NOTICE: "on_recovery_notice",
    MessageKind.APPEND_REPLY: "on_append_reply",
    MessageKind.SNAPSHOT_CHUNK: "on_snapshot_chunk",
    MessageKind.SNAPSHOT_REQUEST: "on_snapshot_request",
}


class ReceivedMessage(NamedTuple):
    """A message of this group; `body` is the record for its kind."""

    kind: MessageKind
    body: NamedTuple


def wrap(group_id: str, body: NamedTuple) -> wire.Message:
    """Returns the protobuf message of a group that carries a record."""
    return wire.Message(group=group_id, **{_MEMBER_OF_RECORD[type(body)]: body.to_wire()})


def unwrap(group_id: str, message: wire.Message) -> ReceivedMessage | None:
    """Returns the kind and record of a message; None if it is of another group or of an unknown kind."""
    member = message.WhichOneof("body")
    if message.group != group_id or member is None:
        return None
    kind = _KIND_OF_MEMBER[member]
    return ReceivedMessage(kind, _RECORD_OF_KIND[kind].from_wire(getattr(message, member)))
