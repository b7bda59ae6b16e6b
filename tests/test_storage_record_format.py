"""The format of a store's files, with corrupt and malicious bytes."""

import struct
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lichenquay.storage.errors import CorruptRecordError, NewerFormatError
from lichenquay.storage.record_format import (
    FileHeader,
    FileKind,
    Record,
    RecordKind,
    encode_changes,
    encode_header,
    encode_record,
    encode_snapshot,
    read_changes,
    read_journal,
    read_snapshot,
)

HEADER = FileHeader(FileKind.JOURNAL, 7, 40, "fleet", "gateway")
FIRST_NUMBER = HEADER.base_number + 1
CHANGES = [{"a": b"1"}, {"b": bytes(300), "a": None}, {"c": b"x" * 20, "d": b""}]


def journal_records(seed, changes=CHANGES):
    """Returns the records of a journal, one for each change."""
    return [
        encode_record(seed, Record(number, RecordKind.CHANGE, encode_changes(change)))
        for number, change in enumerate(changes, FIRST_NUMBER)
    ]


def journal_bytes(number=None):
    """Returns a journal with the first `number` changes, or with all."""
    first, seed = encode_header(HEADER)
    return first + b"".join(journal_records(seed, CHANGES[:number]))


def read_as_any_kind(data):
    """Yields the results of the readers that accept the data."""
    for read in (read_snapshot, read_journal):
        try:
            found = read(data)
        except (CorruptRecordError, NewerFormatError):
            continue
        yield found


@settings(max_examples=400, deadline=None)
@given(st.binary(max_size=400))
def test_random_bytes_are_never_valid(data):
    """They are read as a file, as records after a header, and as the payload of a record."""
    assert not list(read_as_any_kind(data))
    first, _ = encode_header(HEADER)
    journal = read_journal(first + data)
    assert journal.changes == []
    assert journal.reason or not data
    assert journal.skipped_bytes == len(data)
    try:
        changes = read_changes(data)
    except CorruptRecordError:
        return
    assert isinstance(changes, dict)


@settings(max_examples=600, deadline=None)
@given(st.data())
def test_flipped_bits_and_truncation_never_add_a_change(data):
    """The reader returns a prefix of the written changes, with a reason unless the data is intact."""
    intact = journal_bytes()
    damaged = bytearray(intact)
    for bit in data.draw(st.lists(st.integers(0, 8 * len(intact) - 1), max_size=3, unique=True)):
        damaged[bit // 8] ^= 1 << bit % 8
    del damaged[data.draw(st.integers(0, len(damaged))) :]
    damaged += data.draw(st.binary(max_size=30))
    for found in read_as_any_kind(bytes(damaged)):
        assert found.header == HEADER
        assert found.changes == CHANGES[: len(found.changes)]
        assert found.reason or bytes(damaged) == journal_bytes(len(found.changes))


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 255), st.integers(0, 2**64 - 1))
def test_records_with_valid_checksums_and_invalid_content(payload, kind, number):
    """Checksums do not protect against malicious writers: the reader must not raise on invalid content."""
    first, seed = encode_header(HEADER)
    records = [Record(FIRST_NUMBER, kind, payload), Record(number, kind, payload)]
    journal = read_journal(first + b"".join(encode_record(seed, record) for record in records))
    assert len(journal.changes) <= 2
    assert kind == RecordKind.CHANGE or not journal.changes


def test_a_false_record_length_allocates_no_memory():
    """The record has a length of 4 GiB."""
    first, _ = encode_header(HEADER)
    tracemalloc.start()
    journal = read_journal(first + struct.pack(">IQBI", 2**32 - 1, FIRST_NUMBER, 1, 0) + bytes(1000))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert journal.reason == "truncated record"
    assert peak < 100_000


def test_a_record_of_another_file_is_not_accepted():
    """Its checksum is seeded with that of another header."""
    first, _ = encode_header(HEADER)
    _, other_seed = encode_header(FileHeader(FileKind.JOURNAL, 8, 40, "fleet", "gateway"))
    journal = read_journal(first + journal_records(other_seed)[0])
    assert not journal.changes
    assert journal.reason == "wrong record checksum"


@pytest.mark.parametrize("order", [(0, 2), (0, 0, 1), (0, 2, 1), (1, 2)])
def test_a_record_out_of_order_ends_the_journal(order):
    """A block that the disk wrote to the wrong place is intact, but not the next record."""
    first, seed = encode_header(HEADER)
    records = journal_records(seed)
    journal = read_journal(first + b"".join(records[index] for index in order))
    assert journal.changes == (CHANGES[:1] if order[0] == 0 else [])
    assert "was expected" in journal.reason


def test_an_incomplete_snapshot_is_rejected():
    """It is truncated, has additional bytes, or lacks a record."""
    state = {f"k{number}": b"%d" % number for number in range(5)}
    header = FileHeader(FileKind.SNAPSHOT, 7, 40, "fleet", "gateway")
    parts = list(encode_snapshot(header, state))
    intact = b"".join(parts)
    assert read_snapshot(intact) == (header, state)
    wrong = [intact[:size] for size in range(len(intact))] + [intact + b"\0", intact + parts[-1]]
    wrong += [b"".join(parts[:index] + parts[index + 1 :]) for index in range(len(parts))]
    for data in wrong:
        with pytest.raises(CorruptRecordError):
            read_snapshot(data)
