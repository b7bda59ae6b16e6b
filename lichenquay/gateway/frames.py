"""Encodes and decodes the frame protocol between clients and gateways, as PROTOCOL defines.

Performs no I/O. Wire names of fields are translated here and are not used elsewhere. Payloads are slices of
the buffer that was read; only an incomplete frame is copied.
"""

import struct
from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

from lichenquay.gateway.errors import GatewayError


class FrameType(IntEnum):
    """Frame types."""

    QUERY = 2
    ANSWER = 4
    CANCEL = 8
    READINESS_CHECK = 16
    READINESS = 32
    GO_AWAY = 64


class AnswerCode(IntEnum):
    """Answer codes."""

    COMPLETED = 0
    REJECTED = 14
    FAILED = 2


class RequestField(NamedTuple):
    """A field of a request, by its wire name in `FIELDS`."""

    name: str  # the attribute of `ClientRequest`
    label: str  # the name of the field in answers to clients
    is_required: bool = True


FIELDS = {
    "service": RequestField("group", "group"),
    "ref": RequestField("request_id", "ref"),
    "allow": RequestField("timeout_ms", "allowed"),
    "project": RequestField("tenant", "tenant"),
    "effort": RequestField("estimated_work_ms", "work"),
    "memory": RequestField("estimated_memory_mb", "memory"),
    "replay": RequestField("idempotency_key", "token", is_required=False),
    "lookup": RequestField("ordering_key", "key", is_required=False),
}
MIN_FRAME_LENGTH = 5  # PROTOCOL: the length includes the type and the stream, but not itself
MAX_FRAME_LENGTH = 262_144  # PROTOCOL
LENGTH = struct.Struct("<I")
HEADER = struct.Struct("<IBI")  # length, type, stream
VALUE_SIZE = struct.Struct("<H")


class FrameError(GatewayError, ValueError):
    """The input is not a valid frame; the text states the reason."""


class Frame(NamedTuple):
    """A frame that has arrived completely; `payload` is valid until the next read."""

    type: int  # not necessarily a `FrameType`
    stream: int
    payload: memoryview | None  # None: there was no room to keep it


class ClientRequest(NamedTuple):
    """A request as its client wrote it. Fields are text, or None if the client omitted them."""

    statement: memoryview  # valid until the next read
    repeated_field: RequestField | None = None  # a field that the client sent more than once
    group: str | None = None
    request_id: str | None = None
    timeout_ms: str | None = None
    tenant: str | None = None
    estimated_work_ms: str | None = None
    estimated_memory_mb: str | None = None
    idempotency_key: str | None = None
    ordering_key: str | None = None


class FrameReader:
    """Reassembles frames from the data of a connection, which may be split anywhere.

    Of an incomplete frame for which there is no room, only the type and the stream are kept.
    """

    __slots__ = ("_buffer", "_may_keep", "_needed_bytes", "_skipped", "_skipped_bytes")

    def __init__(self, may_keep: Callable[[int], bool] = lambda size_bytes: True):
        """Starts at a frame boundary.

        may_keep: returns whether so many bytes of an incomplete frame may be kept.
        """
        self._may_keep = may_keep
        self._buffer = None  # the start of an incomplete frame
        self._needed_bytes = LENGTH.size  # length of the buffer from which decoding can go on
        self._skipped: Frame | None = None  # an incomplete frame of which nothing more is kept ...
        self._skipped_bytes = 0  # ... and how much of it has arrived

    def buffered_bytes(self) -> int:
        """Returns how many bytes of an incomplete frame are kept."""
        return len(self._buffer or b"")

    def received_bytes(self) -> int:
        """Returns how many bytes of an incomplete frame have arrived."""
        return self.buffered_bytes() + self._skipped_bytes

    def discard(self) -> None:
        """Drops the incomplete frame, if any."""
        self._buffer = None
        self._skipped = None
        self._skipped_bytes = 0

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames that `data` completes. Errors: FrameError."""
        position = 0
        if self._skipped is not None:
            position = min(len(data), self._needed_bytes - self._skipped_bytes)
            self._skipped_bytes += position
            if self._skipped_bytes < self._needed_bytes:
                return
            frame = self._skipped
            self.discard()
            yield frame
        elif self._buffer is not None:
            start = self._buffer[: HEADER.size] + data[: HEADER.size]
            if self._skip_unless_kept(start, len(self._buffer) + len(data)):
                return
            self._buffer += data
            if len(self._buffer) < self._needed_bytes:
                return
            data = self._buffer
            self._buffer = None
        view = memoryview(data)
        end = len(data)
        while True:
            if end - position < LENGTH.size:
                self._needed_bytes = LENGTH.size
                break
            length = LENGTH.unpack_from(view, position)[0]
            if not MIN_FRAME_LENGTH <= length <= MAX_FRAME_LENGTH:
                raise FrameError(f"a frame of {length} bytes")
            self._needed_bytes = LENGTH.size + length
            if end - position < self._needed_bytes:
                break
            _, frame_type, stream = HEADER.unpack_from(view, position)
            yield Frame(frame_type, stream, view[position + HEADER.size : position + self._needed_bytes])
            position += self._needed_bytes
        if position < end and not self._skip_unless_kept(view[position:], end - position):
            self._buffer = bytearray(view[position:])

    def _skip_unless_kept(self, start, received_bytes):
        """Skips the rest of an incomplete frame for which there is no room; returns whether it does."""
        is_complete = received_bytes >= self._needed_bytes
        if is_complete or len(start) < HEADER.size or self._may_keep(received_bytes):
            return False
        _, frame_type, stream = HEADER.unpack_from(start)
        self.discard()
        self._skipped = Frame(frame_type, stream, None)
        self._skipped_bytes = received_bytes
        return True


def read_fields(payload: memoryview) -> tuple[list[tuple[str, str]], memoryview]:
    """Returns the fields, as (name, value) texts, and the rest of the payload. Errors: FrameError."""
    try:
        fields = []
        position = 1
        for _ in range(payload[0]):
            name_end = position + 1 + payload[position]
            name = payload[position + 1 : name_end]
            value_start = name_end + VALUE_SIZE.size
            value_end = value_start + VALUE_SIZE.unpack_from(payload, name_end)[0]
            value = payload[value_start:value_end]
            if value_end > len(payload):
                raise FrameError("fields overrun their frame")
            fields.append((str(name, "utf-8", "replace"), str(value, "utf-8", "replace")))
            position = value_end
        return fields, payload[position:]
    except (IndexError, struct.error):
        raise FrameError("fields overrun their frame") from None


def read_query(payload: memoryview) -> ClientRequest:
    """Reads the request of a QUERY frame; ignores fields with unknown names. Errors: FrameError."""
    fields, statement = read_fields(payload)
    values = {}
    repeated_field = None
    for wire_name, value in fields:
        field = FIELDS.get(wire_name)
        if field is None:
            continue
        if field.name in values:
            repeated_field = field
        values[field.name] = value
    return ClientRequest(statement, repeated_field, **values)


def encode_fields(fields: Iterable[tuple[str, str]]) -> bytes:
    """Encodes (name, value) texts as the start of a payload."""
    pairs = [(name.encode(), value.encode()) for name, value in fields]
    parts = [bytes([len(pairs)])]
    for name, value in pairs:
        parts += bytes([len(name)]), name, VALUE_SIZE.pack(len(value)), value
    return b"".join(parts)


def encode_frame(frame_type: int, stream: int, *payload: bytes) -> bytes:
    """Encodes a frame, whose payload is given in pieces."""
    length = MIN_FRAME_LENGTH + sum(map(len, payload))
    return b"".join((HEADER.pack(length, frame_type, stream), *payload))


def encode_answer(stream: int, code: int, *body: bytes) -> bytes:
    """Encodes an answer without fields to the request on `stream`, or to the connection if that is 0."""
    return encode_frame(FrameType.ANSWER, stream, bytes([code, 0]), *body)


def encode_readiness(stream: int, is_ready: bool) -> bytes:
    """Encodes the answer to a readiness check."""
    return encode_frame(FrameType.READINESS, stream, bytes([0 if is_ready else 1, 0]))
