"""The form of a folder's files: a header, then framed records. No I/O, no clocks.

Header: magic, version, its own size, CRC32C; then kind, generation, base (the number of the last record before this
file), the fleet's name and the front's. The first 16 bytes and what the CRC32C covers stay as they are in every
version, so that a newer version is told from a flipped bit. A record's CRC32C starts from its header's: a record of
another file is none here.
"""

from dataclasses import dataclass, field
from struct import Struct

import google_crc32c

MAGIC = b"LQfolder"
VERSION = 1
SNAPSHOT, JOURNAL = 1, 2  # kinds of files
CHANGE, END = 1, 2  # kinds of records
MOST_HEADER = 2048  # bytes
MOST_KEY = 1024  # bytes of a section's key
MOST_NAME = 255  # bytes of the fleet's name, and of the front's
_FIRST = Struct(">8sHHI")
_REST = Struct(">BQQBB")
_FRAME = Struct(">IQBI")
_KEY = Struct(">BH")
_SIZE = Struct(">I")
_PUT, _DELETE = 1, 2
FRAME_SIZE = _FRAME.size


class Unreadable(ValueError):
    """Cut off, flipped or never ours. The text says which."""


class Newer(ValueError):
    """A whole header of a version that this one does not know."""


@dataclass(frozen=True)
class Header:
    kind: int
    generation: int
    base: int
    fleet: str
    name: str


@dataclass
class Journal:
    """`changes` in order, all whole records up to the first that is not; `why` it ended early, or None."""

    header: Header
    changes: list = field(default_factory=list)
    left_bytes: int = 0
    why: str | None = None


def header_bytes(header):
    """The header and the seed of its records' checksums."""
    fleet, name = header.fleet.encode(), header.name.encode()
    if max(len(fleet), len(name)) > MOST_NAME:
        raise ValueError(f"a name of over {MOST_NAME} bytes")
    rest = _REST.pack(header.kind, header.generation, header.base, len(fleet), len(name)) + fleet + name
    size = _FIRST.size + len(rest)
    seed = _header_sum(_FIRST.pack(MAGIC, VERSION, size, 0), rest)
    return _FIRST.pack(MAGIC, VERSION, size, seed) + rest, seed


def read_header(data):
    """(header, its size, the seed), or Unreadable, or Newer."""
    if len(data) < _FIRST.size:
        raise Unreadable("empty" if not data else "cut off in its header")
    magic, version, size, seed = _FIRST.unpack_from(data)
    if magic != MAGIC:
        raise Unreadable("not a file of this form")
    if not _FIRST.size <= size <= MOST_HEADER:
        raise Unreadable(f"a header of {size} bytes")
    if size > len(data):
        raise Unreadable("cut off in its header")
    rest = bytes(data[_FIRST.size : size])
    if _header_sum(bytes(data[: _FIRST.size]), rest) != seed:
        raise Unreadable("its header's checksum is wrong")
    if version > VERSION:
        raise Newer(f"version {version}, this program reads up to {VERSION}")
    if version < 1 or len(rest) < _REST.size:
        raise Unreadable("a header of no known version")
    kind, generation, base, fleet, name = _REST.unpack_from(rest)
    names = rest[_REST.size :]
    if len(names) != fleet + name:
        raise Unreadable("a header that does not add up")
    try:
        return Header(kind, generation, base, names[:fleet].decode(), names[fleet:].decode()), size, seed
    except UnicodeDecodeError:
        raise Unreadable("names that are no text") from None


def _header_sum(first, rest):
    return google_crc32c.extend(google_crc32c.value(first[: _FIRST.size - 4]), rest)


def frame(seed, number, kind, payload):
    """One record: length, number, kind, CRC32C of these and of the payload."""
    return _FRAME.pack(len(payload), number, kind, _sum(seed, number, kind, payload)) + payload


def _sum(seed, number, kind, payload):
    return google_crc32c.extend(seed, _FRAME.pack(len(payload), number, kind, 0) + payload)


def read_records(data, start, seed, first):
    """([(number, kind, payload)], where the last whole one ends, why it stopped there or None).

    Risk: a hostile length. None is followed past what is there, so memory is bounded by `data`."""
    records, at, number = [], start, first
    while at < len(data):
        if len(data) - at < _FRAME.size:
            return records, at, "cut off"
        length, its_number, kind, check = _FRAME.unpack_from(data, at)
        if its_number != number:
            return records, at, f"a number where {number} should be"
        if length > len(data) - at - _FRAME.size:
            return records, at, "cut off"
        payload = bytes(data[at + _FRAME.size : at + _FRAME.size + length])
        if _sum(seed, number, kind, payload) != check:
            return records, at, "its checksum is wrong"
        records.append((number, kind, payload))
        at += _FRAME.size + length
        number += 1
    return records, at, None


def changes_bytes(changes):
    """`changes`: key -> bytes, or None to delete it. One record's payload."""
    parts = []
    for key, value in changes.items():
        name = key.encode()
        if not 1 <= len(name) <= MOST_KEY:
            raise ValueError(f"a key of {len(name)} bytes")
        parts.append(_KEY.pack(_DELETE if value is None else _PUT, len(name)) + name)
        if value is not None:
            parts.append(_SIZE.pack(len(value)) + value)
    return b"".join(parts)


def read_changes(payload):
    """The changes of a record, or Unreadable."""
    changes, at = {}, 0
    while at < len(payload):
        if len(payload) - at < _KEY.size:
            raise Unreadable("a change that is cut off")
        what, length = _KEY.unpack_from(payload, at)
        at += _KEY.size
        name = payload[at : at + length]
        at += length
        if what not in (_PUT, _DELETE) or len(name) != length or not 1 <= length <= MOST_KEY:
            raise Unreadable("a change that makes no sense")
        value = None
        if what == _PUT:
            if len(payload) - at < _SIZE.size:
                raise Unreadable("a change that is cut off")
            (size,) = _SIZE.unpack_from(payload, at)
            at += _SIZE.size
            value = payload[at : at + size]
            at += size
            if len(value) != size:
                raise Unreadable("a change that is cut off")
        try:
            changes[name.decode()] = value
        except UnicodeDecodeError:
            raise Unreadable("a key that is no text") from None
    return changes


def apply(state, changes):
    for key, value in changes.items():
        if value is None:
            state.pop(key, None)
        else:
            state[key] = value


def section_size(key, value):
    """Bytes that a section takes in a snapshot, with its frame."""
    return FRAME_SIZE + _KEY.size + len(key.encode()) + _SIZE.size + len(value)


def state_size(state):
    """Bytes that all sections take in a snapshot."""
    return sum(section_size(key, value) for key, value in state.items())


def change_frames(seed, changes):
    """The frames of [(number, ..., payload)] in a journal with that seed."""
    return [frame(seed, number, CHANGE, payload) for number, *_, payload in changes]


def snapshot_parts(header, state):
    """A whole snapshot, piece by piece: a record for each section and one that says how many there were."""
    first, seed = header_bytes(header)
    yield first
    number = 0
    for number, (key, value) in enumerate(state.items(), 1):
        yield frame(seed, number, CHANGE, changes_bytes({key: value}))
    yield frame(seed, number + 1, END, _SIZE.pack(number))


def read_snapshot(data):
    """(header, state), or Unreadable, or Newer. A snapshot is whole or nothing."""
    header, size, seed = read_header(data)
    if header.kind != SNAPSHOT:
        raise Unreadable("not a snapshot")
    records, _, why = read_records(data, size, seed, 1)
    if why:
        raise Unreadable(f"after record {len(records)}: {why}")
    if not records or records[-1][1] != END or records[-1][2] != _SIZE.pack(len(records) - 1):
        raise Unreadable("it has no end")
    state = {}
    for number, kind, payload in records[:-1]:
        if kind != CHANGE:
            raise Unreadable(f"record {number} of kind {kind}")
        apply(state, read_changes(payload))
    return header, state


def read_journal(data):
    """A Journal, or Unreadable (its header), or Newer."""
    header, size, seed = read_header(data)
    if header.kind != JOURNAL:
        raise Unreadable("not a journal")
    records, end, why = read_records(data, size, seed, header.base + 1)
    journal = Journal(header, left_bytes=len(data) - end, why=why)
    for at, (_, kind, payload) in enumerate(records):
        try:
            if kind != CHANGE:
                raise Unreadable(f"a record of kind {kind}")
            journal.changes.append(read_changes(payload))
        except Unreadable as wrong:
            journal.why = str(wrong)
            journal.left_bytes += sum(FRAME_SIZE + len(p) for _, _, p in records[at:])
            break
    return journal
