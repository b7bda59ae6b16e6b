"""Limits of membership messages, and the conversion between protobuf rows and claims about members.

A body fits into a datagram of 1,200 bytes with its envelope. Incarnations reported by other members are below
2^48 (Unix milliseconds until the year 10889), those reported by the member itself below 2^53, so that a
member can always restart above any incarnation that was attributed to it by mistake.
"""

from collections.abc import Iterable

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.errors import MembershipMessageTooLargeError
from lichenquay.membership.member_state import (
    MAX_STATE_NUMBER,
    STATE_BY_NUMBER,
    MemberRecord,
    MemberState,
)

MAX_BODY_BYTES = 1_090
MAX_NAME_BYTES = 64  # Encoded as UTF-8.
MAX_ACCUSERS = 4
MAX_RELAYED_INCARNATION = 2**48
MAX_INCARNATION = 2**53
MAX_REFUTATION = 2**40
MAX_SILENT_MS = 3_600_000
PARTITION_COUNT = 32
ROW_OVERHEAD_BYTES = 3  # Tag and length of a row in a message.


def is_valid_name(name: object) -> bool:
    """Returns whether a name is a string that is neither empty nor too long."""
    return isinstance(name, str) and name != "" and len(name.encode("utf-8", "replace")) <= MAX_NAME_BYTES


def is_valid_row(row: pb.Row, known_incarnation: int = 0) -> bool:
    """Returns whether a received row is within the limits.

    `known_incarnation` is an incarnation of the member that is known from better evidence than this row.
    """
    return (
        is_valid_name(row.name)
        and (0 < row.incarnation < MAX_RELAYED_INCARNATION or 0 < row.incarnation == known_incarnation)
        and row.word < MAX_REFUTATION
        and 0 <= row.state <= MAX_STATE_NUMBER
        and len(row.by) <= MAX_ACCUSERS
        and all(is_valid_name(accuser) for accuser in row.by)
    )


def record_of(row: pb.Row) -> MemberRecord:
    """Returns the claim that a valid row makes."""
    return MemberRecord(row.name, row.incarnation, row.word, STATE_BY_NUMBER[row.state])


def row_of(member, silent_ms: float = 0) -> pb.Row:
    """Returns the row of a table entry; `silent_ms`, the time since its last response, is for a suspect."""
    row = pb.Row(
        name=member.name,
        incarnation=member.incarnation,
        word=member.refutation,
        state=member.state.number,
    )
    if member.state is MemberState.SUSPECT:
        row.by.extend(list(member.accusers)[:MAX_ACCUSERS])
        row.silent_ms = int(min(max(silent_ms, 0), MAX_SILENT_MS))
    return row


def append_rows(message: pb.Message, rows: Iterable[pb.Row]) -> int:
    """Appends rows in order while they fit; returns how many were appended."""
    free_bytes = MAX_BODY_BYTES - message.ByteSize()
    appended = 0
    for row in rows:
        free_bytes -= row.ByteSize() + ROW_OVERHEAD_BYTES
        if free_bytes < 0:
            break
        message.rows.append(row)
        appended += 1
    return appended


def check_size(message: pb.Message) -> pb.Message:
    """Returns the message; raises MembershipMessageTooLargeError if it exceeds MAX_BODY_BYTES."""
    if message.ByteSize() > MAX_BODY_BYTES:
        raise MembershipMessageTooLargeError(
            f"membership message: {message.ByteSize()} bytes, expected at most {MAX_BODY_BYTES}"
        )
    return message
