"""The messages of a lease group as typed records, and their form in `lease.proto`.

The names and numbers of the protobuf messages are a contract with running versions. They are mapped to the
terms of this package here and nowhere else. `token` is a random number that a reply must bring back. A
position is None where its parts do not belong together.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from lichenquay.lease import lease_pb2 as wire
from lichenquay.lease.log import LogPosition


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


class AcquireRequest(NamedTuple):
    """A candidate asks for the lease; `bootstrap_nonce`: of the voter, where all voters are recovering."""

    generation: int
    token: int
    bootstrap_nonce: int = 0

    def to_wire(self) -> wire.Claim:
        """The protobuf form."""
        return wire.Claim(generation=self.generation, token=self.token, founding=self.bootstrap_nonce)

    @classmethod
    def from_wire(cls, message: wire.Claim) -> "AcquireRequest":
        """The record of a protobuf message."""
        return cls(message.generation, message.token, message.founding)


class SnapshotOffer(NamedTuple):
    """A whole log that can be fetched in chunks; `size` in bytes."""

    position: LogPosition | None
    size: int
    crc: int

    def to_wire(self) -> wire.Whole:
        """The protobuf form."""
        return wire.Whole(position=self.position.to_wire(), size=self.size, crc=self.crc)

    @classmethod
    def from_wire(cls, message: wire.Whole) -> "SnapshotOffer":
        """The record of a protobuf message."""
        return cls(LogPosition.from_wire(message.position), message.size, message.crc)


class AcquireGrant(NamedTuple):
    """A voter grants an acquire request; `position` and `offer`: of its log."""

    generation: int
    token: int
    position: LogPosition | None
    offer: SnapshotOffer

    def to_wire(self) -> wire.Grant:
        """The protobuf form."""
        return wire.Grant(
            generation=self.generation,
            token=self.token,
            position=self.position.to_wire(),
            whole=self.offer.to_wire(),
        )

    @classmethod
    def from_wire(cls, message: wire.Grant) -> "AcquireGrant":
        """The record of a protobuf message."""
        position = LogPosition.from_wire(message.position)
        return cls(message.generation, message.token, position, SnapshotOffer.from_wire(message.whole))


class Rejection(NamedTuple):
    """A voter rejects an acquire or append request; `wait_ms`: a lease that it supports may last as long."""

    generation: int
    token: int
    promised_generation: int
    wait_ms: float = 0.0

    def to_wire(self) -> wire.Refuse:
        """The protobuf form."""
        return wire.Refuse(
            generation=self.generation,
            token=self.token,
            promised=self.promised_generation,
            wait_ms=self.wait_ms,
        )

    @classmethod
    def from_wire(cls, message: wire.Refuse) -> "Rejection":
        """The record of a protobuf message."""
        return cls(message.generation, message.token, message.promised, message.wait_ms)


class RecoveryNotice(NamedTuple):
    """A recovering voter abstains; `recovery_nonce`: drawn at its start."""

    generation: int
    token: int
    recovery_nonce: int

    def to_wire(self) -> wire.Blank:
        """The protobuf form."""
        return wire.Blank(generation=self.generation, token=self.token, birth=self.recovery_nonce)

    @classmethod
    def from_wire(cls, message: wire.Blank) -> "RecoveryNotice":
        """The record of a protobuf message."""
        return cls(message.generation, message.token, message.birth)


class AppendRequest(NamedTuple):
    """A leader's heartbeat, with the records between two positions or the offer of a snapshot.

    `recovery_nonce`: of the recovering voter that the snapshot is for, else 0.
    """

    generation: int
    number: int
    token: int
    before: LogPosition | None
    records: Sequence[bytes]
    after: LogPosition | None
    offer: SnapshotOffer | None = None
    recovery_nonce: int = 0

    def to_wire(self) -> wire.Round:
        """The protobuf form."""
        return wire.Round(
            generation=self.generation,
            number=self.number,
            token=self.token,
            since=self.before.to_wire(),
            records=self.records,
            till=self.after.to_wire(),
            whole=None if self.offer is None else self.offer.to_wire(),
            birth=self.recovery_nonce,
        )

    @classmethod
    def from_wire(cls, message: wire.Round) -> "AppendRequest":
        """The record of a protobuf message; an offer without a size is none."""
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
    """A voter answers an append request; `position`: of the log on its disk."""

    generation: int
    number: int
    token: int
    position: LogPosition | None

    def to_wire(self) -> wire.Ack:
        """The protobuf form."""
        return wire.Ack(
            generation=self.generation,
            number=self.number,
            token=self.token,
            position=self.position.to_wire(),
        )

    @classmethod
    def from_wire(cls, message: wire.Ack) -> "AppendReply":
        """The record of a protobuf message."""
        position = LogPosition.from_wire(message.position)
        return cls(message.generation, message.number, message.token, position)


class SnapshotRequest(NamedTuple):
    """Asks for a window of chunks of the snapshot with this checksum."""

    generation: int
    crc: int
    offset: int

    def to_wire(self) -> wire.Fetch:
        """The protobuf form."""
        return wire.Fetch(generation=self.generation, crc=self.crc, offset=self.offset)

    @classmethod
    def from_wire(cls, message: wire.Fetch) -> "SnapshotRequest":
        """The record of a protobuf message."""
        return cls(message.generation, message.crc, message.offset)


class SnapshotChunk(NamedTuple):
    """A part of a snapshot."""

    generation: int
    crc: int
    offset: int
    data: bytes

    def to_wire(self) -> wire.Piece:
        """The protobuf form."""
        return wire.Piece(generation=self.generation, crc=self.crc, offset=self.offset, data=self.data)

    @classmethod
    def from_wire(cls, message: wire.Piece) -> "SnapshotChunk":
        """The record of a protobuf message."""
        return cls(message.generation, message.crc, message.offset, message.data)


class ReleaseNotice(NamedTuple):
    """The holder released its lease; `index`: of its last record."""

    generation: int
    index: int

    def to_wire(self) -> wire.Ended:
        """The protobuf form."""
        return wire.Ended(generation=self.generation, index=self.index)

    @classmethod
    def from_wire(cls, message: wire.Ended) -> "ReleaseNotice":
        """The record of a protobuf message."""
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

# By kind, the method that handles the messages for a voter, and those for a leader.
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
    """A message of this group; `body`: the record of its kind."""

    kind: MessageKind
    body: NamedTuple


def wrap(group_id: str, body: NamedTuple) -> wire.Message:
    """The protobuf message of a group that carries a record."""
    return wire.Message(group=group_id, **{_MEMBER_OF_RECORD[type(body)]: body.to_wire()})


def unwrap(group_id: str, message: wire.Message) -> ReceivedMessage | None:
    """The kind and record of a message; None for one of another group or of no known kind."""
    member = message.WhichOneof("body")
    if message.group != group_id or member is None:
        return None
    kind = _KIND_OF_MEMBER[member]
    return ReceivedMessage(kind, _RECORD_OF_KIND[kind].from_wire(getattr(message, member)))
