"""The format of a store's files: a header, then framed records. No I/O, no clocks.

Header: magic, version, header size, CRC32C; then kind, generation, base number (of the last record before
this file), and the names of the fleet and of the process. The first 16 bytes and the range of the CRC32C are
the same in every version, so that a newer version can be distinguished from a flipped bit. The CRC32C of a
record is seeded with that of its file's header, so that a record of another file is not valid.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from struct import Struct
from typing import NamedTuple

import google_crc32c

from lichenquay.storage.errors import CorruptRecordError, InvalidChangeError, NewerFormatError

MAGIC = b"LQfolder"
VERSION = 1
MAX_HEADER_BYTES = 2048
MAX_KEY_BYTES = 1024
MAX_NAME_BYTES = 255  # of the names of the fleet and of the process
_HEADER_START = Struct(">8sHHI")
_HEADER_REST = Struct(">BQQBB")
_CHECKSUM_BYTES = 4  # at the end of _HEADER_START
_FRAME = Struct(">IQBI")
_KEY = Struct(">BH")
_SIZE = Struct(">I")
_PUT = 1
_DELETE = 2
FRAME_BYTES = _FRAME.size

Changes = dict[str, bytes | None]


class FileKind(IntEnum):
    """The kind of a file."""

    SNAPSHOT = 1
    JOURNAL = 2


class RecordKind(IntEnum):
    """The kind of a record."""

    CHANGE = 1
    END = 2


@dataclass(frozen=True)
class FileHeader:
    """The header of a file; `base_number`: number of the last record before this file."""

    kind: int
    generation: int
    base_number: int
    fleet: str
    process_name: str


class ReadHeader(NamedTuple):
    """A parsed header, its size in bytes, and the seed of the checksums of its file's records."""

    header: FileHeader
    size: int
    seed: int


class Record(NamedTuple):
    """A record of a file."""

    number: int
    kind: int
    payload: bytes


class IntactRecords(NamedTuple):
    """The intact records of a file, the end offset of the last one, and why no more follow (or None)."""

    records: list[Record]
    end: int
    reason: str | None


class SnapshotContent(NamedTuple):
    """The content of a complete snapshot."""

    header: FileHeader
    state: dict[str, bytes]


@dataclass
class JournalContent:
    """The content of a journal up to the first record that is not intact.

    `reason`: why parsing stopped before the end, or None.
    """

    header: FileHeader
    changes: list[Changes] = field(default_factory=list)
    skipped_bytes: int = 0
    reason: str | None = None


class EncodedHeader(NamedTuple):
    """An encoded header, and the seed of the checksums of its file's records."""

    data: bytes
    seed: int


def encode_header(header: FileHeader) -> EncodedHeader:
    """Encodes a header. Raises InvalidChangeError for a name that is too long."""
    fleet = header.fleet.encode()
    process_name = header.process_name.encode()
    if max(len(fleet), len(process_name)) > MAX_NAME_BYTES:
        raise InvalidChangeError(
            f"names of fleet and process have {len(fleet)} and {len(process_name)} bytes; "
            f"the maximum is {MAX_NAME_BYTES}"
        )
    fixed = _HEADER_REST.pack(
        header.kind, header.generation, header.base_number, len(fleet), len(process_name)
    )
    rest = fixed + fleet + process_name
    size = _HEADER_START.size + len(rest)
    seed = _header_checksum(_HEADER_START.pack(MAGIC, VERSION, size, 0), rest)
    return EncodedHeader(_HEADER_START.pack(MAGIC, VERSION, size, seed) + rest, seed)


def read_header(data: bytes) -> ReadHeader:
    """Parses the header of a file. Raises CorruptRecordError or NewerFormatError."""
    if len(data) < _HEADER_START.size:
        raise CorruptRecordError("empty" if not data else "truncated header")
    magic, version, size, seed = _HEADER_START.unpack_from(data)
    if magic != MAGIC:
        raise CorruptRecordError("unknown file format")
    if not _HEADER_START.size <= size <= MAX_HEADER_BYTES:
        raise CorruptRecordError(f"invalid header size of {size} bytes")
    if size > len(data):
        raise CorruptRecordError("truncated header")
    rest = bytes(data[_HEADER_START.size : size])
    if _header_checksum(bytes(data[: _HEADER_START.size]), rest) != seed:
        raise CorruptRecordError("wrong header checksum")
    if version > VERSION:
        raise NewerFormatError(f"version {version}, this program supports up to {VERSION}")
    if version < 1 or len(rest) < _HEADER_REST.size:
        raise CorruptRecordError(f"invalid header of version {version}")
    return ReadHeader(_decode_header(rest), size, seed)


def _decode_header(rest):
    kind, generation, base_number, fleet_size, name_size = _HEADER_REST.unpack_from(rest)
    names = rest[_HEADER_REST.size :]
    if len(names) != fleet_size + name_size:
        raise CorruptRecordError("header size does not match its names")
    try:
        fleet = names[:fleet_size].decode()
        process_name = names[fleet_size:].decode()
    except UnicodeDecodeError:
        raise CorruptRecordError("header names are not valid UTF-8") from None
    return FileHeader(kind, generation, base_number, fleet, process_name)


def _header_checksum(start, rest):
    return google_crc32c.extend(google_crc32c.value(start[: _HEADER_START.size - _CHECKSUM_BYTES]), rest)


def encode_record(seed: int, record: Record) -> bytes:
    """Encodes one record: length, number, kind, CRC32C of these and of the payload; payload."""
    checksum = _record_checksum(seed, record)
    return _FRAME.pack(len(record.payload), record.number, record.kind, checksum) + record.payload


def _record_checksum(seed, record):
    frame = _FRAME.pack(len(record.payload), record.number, record.kind, 0)
    return google_crc32c.extend(seed, frame + record.payload)


def read_records(data: bytes, start: int, seed: int, first_number: int) -> IntactRecords:
    """Parses records from the offset `start` up to the first one that is not intact.

    A length that exceeds `data` ends the parsing, so that a malicious one allocates no memory.
    """
    records = []
    offset = start
    number = first_number
    while offset < len(data):
        if len(data) - offset < FRAME_BYTES:
            return IntactRecords(records, offset, "truncated record")
        length, found_number, kind, checksum = _FRAME.unpack_from(data, offset)
        if found_number != number:
            return IntactRecords(records, offset, f"record number {found_number} where {number} was expected")
        if length > len(data) - offset - FRAME_BYTES:
            return IntactRecords(records, offset, "truncated record")
        end = offset + FRAME_BYTES + length
        record = Record(number, kind, bytes(data[offset + FRAME_BYTES : end]))
        if _record_checksum(seed, record) != checksum:
            return IntactRecords(records, offset, "wrong record checksum")
        records.append(record)
        offset = end
        number += 1
    return IntactRecords(records, offset, None)


def encode_changes(changes: Changes) -> bytes:
    """Encodes the payload of one record; None deletes a key. Raises InvalidChangeError for an invalid key."""
    parts = []
    for key, value in changes.items():
        name = key.encode()
        if not 1 <= len(name) <= MAX_KEY_BYTES:
            raise InvalidChangeError(f"key of {len(name)} bytes; expected 1 to {MAX_KEY_BYTES} bytes")
        parts.append(_KEY.pack(_DELETE if value is None else _PUT, len(name)) + name)
        if value is not None:
            parts.append(_SIZE.pack(len(value)) + value)
    return b"".join(parts)


def read_changes(payload: bytes) -> Changes:
    """Parses the changes in the payload of a record. Raises CorruptRecordError."""
    changes = {}
    offset = 0
    while offset < len(payload):
        if len(payload) - offset < _KEY.size:
            raise CorruptRecordError("truncated change")
        action, length = _KEY.unpack_from(payload, offset)
        offset += _KEY.size
        name = payload[offset : offset + length]
        offset += length
        if action not in (_PUT, _DELETE) or len(name) != length or not 1 <= length <= MAX_KEY_BYTES:
            raise CorruptRecordError("change with an invalid action or key")
        value = None
        if action == _PUT:
            value = _read_value(payload, offset)
            offset += _SIZE.size + len(value)
        try:
            changes[name.decode()] = value
        except UnicodeDecodeError:
            raise CorruptRecordError("key is not valid UTF-8") from None
    return changes


def _read_value(payload, offset):
    if len(payload) - offset < _SIZE.size:
        raise CorruptRecordError("truncated change")
    (size,) = _SIZE.unpack_from(payload, offset)
    value = payload[offset + _SIZE.size : offset + _SIZE.size + size]
    if len(value) != size:
        raise CorruptRecordError("truncated change")
    return value


def apply_changes(state: dict[str, bytes], changes: Changes) -> None:
    """Applies changes to a state in place; None deletes a key."""
    for key, value in changes.items():
        if value is None:
            state.pop(key, None)
        else:
            state[key] = value


def section_size(key: str, value: bytes) -> int:
    """Returns the bytes that a section takes in a snapshot, including its frame."""
    return FRAME_BYTES + _KEY.size + len(key.encode()) + _SIZE.size + len(value)


def state_size(state: dict[str, bytes]) -> int:
    """Returns the bytes that all sections take in a snapshot."""
    return sum(section_size(key, value) for key, value in state.items())


def encode_snapshot(header: FileHeader, state: dict[str, bytes]) -> Iterator[bytes]:
    """Yields a snapshot in parts: header, one record per section, and an end record with their number."""
    first, seed = encode_header(header)
    yield first
    number = 0
    for number, (key, value) in enumerate(state.items(), 1):
        yield encode_record(seed, Record(number, RecordKind.CHANGE, encode_changes({key: value})))
    yield encode_record(seed, Record(number + 1, RecordKind.END, _SIZE.pack(number)))


def encode_journal_records(seed: int, numbered_payloads: Iterable[tuple[int, bytes]]) -> list[bytes]:
    """Encodes changes, given as (number, payload), as records of a journal with that seed."""
    return [
        encode_record(seed, Record(number, RecordKind.CHANGE, payload))
        for number, payload in numbered_payloads
    ]


def read_snapshot(data: bytes) -> SnapshotContent:
    """Parses a snapshot. Raises CorruptRecordError unless it is complete and intact, or NewerFormatError."""
    header, size, seed = read_header(data)
    if header.kind != FileKind.SNAPSHOT:
        raise CorruptRecordError("not a snapshot")
    records, _, reason = read_records(data, size, seed, 1)
    if reason:
        raise CorruptRecordError(f"after record {len(records)}: {reason}")
    if not records or not _is_end_of(records[-1], len(records) - 1):
        raise CorruptRecordError("missing end record")
    state = {}
    for record in records[:-1]:
        if record.kind != RecordKind.CHANGE:
            raise CorruptRecordError(f"record {record.number} of kind {record.kind}")
        apply_changes(state, read_changes(record.payload))
    return SnapshotContent(header, state)


def _is_end_of(record, number):
    return record.kind == RecordKind.END and record.payload == _SIZE.pack(number)


def read_journal(data: bytes) -> JournalContent:
    """Parses a journal as far as it is intact.

    Raises CorruptRecordError for its header, or NewerFormatError.
    """
    header, size, seed = read_header(data)
    if header.kind != FileKind.JOURNAL:
        raise CorruptRecordError("not a journal")
    records, end, reason = read_records(data, size, seed, header.base_number + 1)
    journal = JournalContent(header, skipped_bytes=len(data) - end, reason=reason)
    for index, record in enumerate(records):
        try:
            if record.kind != RecordKind.CHANGE:
                raise CorruptRecordError(f"record {record.number} of kind {record.kind}")
            journal.changes.append(read_changes(record.payload))
        except CorruptRecordError as error:
            journal.reason = str(error)
            journal.skipped_bytes += sum(FRAME_BYTES + len(skipped.payload) for skipped in records[index:])
            break
    return journal
