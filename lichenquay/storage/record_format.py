"""The format of a store's files: a header, then framed records. No I/O, no clocks.

Header: magic, version, its own size, CRC32C; then kind, generation, base (the number of the last record
before this file), the fleet's name and the process's. The first 16 bytes and what the CRC32C covers stay
as they are in every version, so that a newer version is distinguished from a flipped bit. A record's
CRC32C starts from its header's: a record of another file is none here.
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
MAX_NAME_BYTES = 255  # of the fleet's name, and of the process's
_HEADER_START = Struct(">8sHHI")
_HEADER_REST = Struct(">BQQBB")
_CHECKSUM_BYTES = 4  # at the end of the header's start
_FRAME = Struct(">IQBI")
_KEY = Struct(">BH")
_SIZE = Struct(">I")
_PUT = 1
_DELETE = 2
FRAME_BYTES = _FRAME.size

Changes = dict[str, bytes | None]


class FileKind(IntEnum):
    """The kinds of files."""

    SNAPSHOT = 1
    JOURNAL = 2


class RecordKind(IntEnum):
    """The kinds of records."""

    CHANGE = 1
    END = 2


@dataclass(frozen=True)
class FileHeader:
    """`base_number`: of the last record before this file."""

    kind: int
    generation: int
    base_number: int
    fleet: str
    process_name: str


class ReadHeader(NamedTuple):
    """A header as read, its size in the file, and the seed of its records' checksums."""

    header: FileHeader
    size: int
    seed: int


class Record(NamedTuple):
    """One record of a file."""

    number: int
    kind: int
    payload: bytes


class RecordRun(NamedTuple):
    """The intact records of a file, where the last one ends, and why no more follow (None: no bytes do)."""

    records: list[Record]
    end: int
    reason: str | None


class SnapshotContent(NamedTuple):
    """What a whole snapshot says."""

    header: FileHeader
    state: dict[str, bytes]


@dataclass
class JournalContent:
    """`changes` of all intact records up to the first that is not; `reason` why it ended early, or None."""

    header: FileHeader
    changes: list[Changes] = field(default_factory=list)
    skipped_bytes: int = 0
    reason: str | None = None


class EncodedHeader(NamedTuple):
    """The bytes of a header, and the seed of its records' checksums."""

    data: bytes
    seed: int


def encode_header(header: FileHeader) -> EncodedHeader:
    """The bytes of a header; InvalidChangeError for a name that is too long."""
    fleet = header.fleet.encode()
    process_name = header.process_name.encode()
    if max(len(fleet), len(process_name)) > MAX_NAME_BYTES:
        raise InvalidChangeError(f"a name of over {MAX_NAME_BYTES} bytes")
    fixed = _HEADER_REST.pack(
        header.kind, header.generation, header.base_number, len(fleet), len(process_name)
    )
    rest = fixed + fleet + process_name
    size = _HEADER_START.size + len(rest)
    seed = _header_checksum(_HEADER_START.pack(MAGIC, VERSION, size, 0), rest)
    return EncodedHeader(_HEADER_START.pack(MAGIC, VERSION, size, seed) + rest, seed)


def read_header(data: bytes) -> ReadHeader:
    """The header of a file; CorruptRecordError or NewerFormatError."""
    if len(data) < _HEADER_START.size:
        raise CorruptRecordError("empty" if not data else "cut off in its header")
    magic, version, size, seed = _HEADER_START.unpack_from(data)
    if magic != MAGIC:
        raise CorruptRecordError("not a file of this form")
    if not _HEADER_START.size <= size <= MAX_HEADER_BYTES:
        raise CorruptRecordError(f"a header of {size} bytes")
    if size > len(data):
        raise CorruptRecordError("cut off in its header")
    rest = bytes(data[_HEADER_START.size : size])
    if _header_checksum(bytes(data[: _HEADER_START.size]), rest) != seed:
        raise CorruptRecordError("its header's checksum is wrong")
    if version > VERSION:
        raise NewerFormatError(f"version {version}, this program reads up to {VERSION}")
    if version < 1 or len(rest) < _HEADER_REST.size:
        raise CorruptRecordError("a header of no known version")
    return ReadHeader(_decode_header(rest), size, seed)


def _decode_header(rest):
    kind, generation, base_number, fleet_size, name_size = _HEADER_REST.unpack_from(rest)
    names = rest[_HEADER_REST.size :]
    if len(names) != fleet_size + name_size:
        raise CorruptRecordError("a header that does not add up")
    try:
        fleet = names[:fleet_size].decode()
        process_name = names[fleet_size:].decode()
    except UnicodeDecodeError:
        raise CorruptRecordError("names that are no text") from None
    return FileHeader(kind, generation, base_number, fleet, process_name)


def _header_checksum(start, rest):
    return google_crc32c.extend(google_crc32c.value(start[: _HEADER_START.size - _CHECKSUM_BYTES]), rest)


def encode_record(seed: int, record: Record) -> bytes:
    """One record: length, number, kind, CRC32C of these and of the payload; payload."""
    checksum = _record_checksum(seed, record)
    return _FRAME.pack(len(record.payload), record.number, record.kind, checksum) + record.payload


def _record_checksum(seed, record):
    frame = _FRAME.pack(len(record.payload), record.number, record.kind, 0)
    return google_crc32c.extend(seed, frame + record.payload)


def read_records(data: bytes, start: int, seed: int, first_number: int) -> RecordRun:
    """The intact records from the offset `start` on.

    A length is never followed past the end of `data`, so a hostile one takes no memory.
    """
    records = []
    offset = start
    number = first_number
    while offset < len(data):
        if len(data) - offset < FRAME_BYTES:
            return RecordRun(records, offset, "cut off")
        length, found_number, kind, checksum = _FRAME.unpack_from(data, offset)
        if found_number != number:
            return RecordRun(records, offset, f"a number where {number} should be")
        if length > len(data) - offset - FRAME_BYTES:
            return RecordRun(records, offset, "cut off")
        end = offset + FRAME_BYTES + length
        record = Record(number, kind, bytes(data[offset + FRAME_BYTES : end]))
        if _record_checksum(seed, record) != checksum:
            return RecordRun(records, offset, "its checksum is wrong")
        records.append(record)
        offset = end
        number += 1
    return RecordRun(records, offset, None)


def encode_changes(changes: Changes) -> bytes:
    """The payload of one record; None deletes a key. InvalidChangeError for a key that does not fit."""
    parts = []
    for key, value in changes.items():
        name = key.encode()
        if not 1 <= len(name) <= MAX_KEY_BYTES:
            raise InvalidChangeError(f"a key of {len(name)} bytes")
        parts.append(_KEY.pack(_DELETE if value is None else _PUT, len(name)) + name)
        if value is not None:
            parts.append(_SIZE.pack(len(value)) + value)
    return b"".join(parts)


def read_changes(payload: bytes) -> Changes:
    """The changes of a record's payload, or CorruptRecordError."""
    changes = {}
    offset = 0
    while offset < len(payload):
        if len(payload) - offset < _KEY.size:
            raise CorruptRecordError("a change that is cut off")
        action, length = _KEY.unpack_from(payload, offset)
        offset += _KEY.size
        name = payload[offset : offset + length]
        offset += length
        if action not in (_PUT, _DELETE) or len(name) != length or not 1 <= length <= MAX_KEY_BYTES:
            raise CorruptRecordError("a change that makes no sense")
        value = None
        if action == _PUT:
            value = _read_value(payload, offset)
            offset += _SIZE.size + len(value)
        try:
            changes[name.decode()] = value
        except UnicodeDecodeError:
            raise CorruptRecordError("a key that is no text") from None
    return changes


def _read_value(payload, offset):
    if len(payload) - offset < _SIZE.size:
        raise CorruptRecordError("a change that is cut off")
    (size,) = _SIZE.unpack_from(payload, offset)
    value = payload[offset + _SIZE.size : offset + _SIZE.size + size]
    if len(value) != size:
        raise CorruptRecordError("a change that is cut off")
    return value


def apply_changes(state: dict[str, bytes], changes: Changes) -> None:
    """Changes a state; None deletes a key."""
    for key, value in changes.items():
        if value is None:
            state.pop(key, None)
        else:
            state[key] = value


def section_size(key: str, value: bytes) -> int:
    """Bytes that a section takes in a snapshot, with its frame."""
    return FRAME_BYTES + _KEY.size + len(key.encode()) + _SIZE.size + len(value)


def state_size(state: dict[str, bytes]) -> int:
    """Bytes that all sections take in a snapshot."""
    return sum(section_size(key, value) for key, value in state.items())


def encode_snapshot(header: FileHeader, state: dict[str, bytes]) -> Iterator[bytes]:
    """A whole snapshot, piece by piece: a record for each section and one that says how many there were."""
    first, seed = encode_header(header)
    yield first
    number = 0
    for number, (key, value) in enumerate(state.items(), 1):
        yield encode_record(seed, Record(number, RecordKind.CHANGE, encode_changes({key: value})))
    yield encode_record(seed, Record(number + 1, RecordKind.END, _SIZE.pack(number)))


def encode_journal_records(seed: int, numbered_payloads: Iterable[tuple[int, bytes]]) -> list[bytes]:
    """The records of changes, as (number, payload), in a journal with that seed."""
    return [
        encode_record(seed, Record(number, RecordKind.CHANGE, payload))
        for number, payload in numbered_payloads
    ]


def read_snapshot(data: bytes) -> SnapshotContent:
    """A snapshot, which is whole or nothing; CorruptRecordError or NewerFormatError."""
    header, size, seed = read_header(data)
    if header.kind != FileKind.SNAPSHOT:
        raise CorruptRecordError("not a snapshot")
    records, _, reason = read_records(data, size, seed, 1)
    if reason:
        raise CorruptRecordError(f"after record {len(records)}: {reason}")
    if not records or not _is_end_of(records[-1], len(records) - 1):
        raise CorruptRecordError("it has no end")
    state = {}
    for record in records[:-1]:
        if record.kind != RecordKind.CHANGE:
            raise CorruptRecordError(f"record {record.number} of kind {record.kind}")
        apply_changes(state, read_changes(record.payload))
    return SnapshotContent(header, state)


def _is_end_of(record, number):
    return record.kind == RecordKind.END and record.payload == _SIZE.pack(number)


def read_journal(data: bytes) -> JournalContent:
    """A journal as far as it is intact; CorruptRecordError (its header) or NewerFormatError."""
    header, size, seed = read_header(data)
    if header.kind != FileKind.JOURNAL:
        raise CorruptRecordError("not a journal")
    records, end, reason = read_records(data, size, seed, header.base_number + 1)
    journal = JournalContent(header, skipped_bytes=len(data) - end, reason=reason)
    for place, record in enumerate(records):
        try:
            if record.kind != RecordKind.CHANGE:
                raise CorruptRecordError(f"a record of kind {record.kind}")
            journal.changes.append(read_changes(record.payload))
        except CorruptRecordError as error:
            journal.reason = str(error)
            journal.skipped_bytes += sum(FRAME_BYTES + len(left.payload) for left in records[place:])
            break
    return journal
