"""The format of a store's files against damaged and hostile bytes."""

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

HEADER = FileHeader(FileKind.JOURNAL, 7, 40, "fleet", "front")
FIRST_NUMBER = HEADER.base_number + 1
CHANGES = [{"a": b"1"}, {"b": bytes(300), "a": None}, {"c": b"x" * 20, "d": b""}]


def journal_records(seed, changes=CHANGES):
    """The records of a journal, one for each change."""
    return [
        encode_record(seed, Record(number, RecordKind.CHANGE, encode_changes(change)))
        for number, change in enumerate(changes, FIRST_NUMBER)
    ]


def journal_bytes(number=None):
    """A journal with the first changes, or with all."""
    first, seed = encode_header(HEADER)
    return first + b"".join(journal_records(seed, CHANGES[:number]))


def read_either(data):
    """What each reader finds, if anything."""
    for read in (read_snapshot, read_journal):
        try:
            found = read(data)
        except (CorruptRecordError, NewerFormatError):
            continue
        yield found


@settings(max_examples=400, deadline=None)
@given(st.binary(max_size=400))
def test_noise_is_nothing(data):
    """As a file, behind a header, and as the payload of a record."""
    assert not list(read_either(data))
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
def test_flips_and_cuts_never_add_a_change(data):
    """What is read is a beginning of what was written, and said to be cut short unless it is all there."""
    whole = journal_bytes()
    damaged = bytearray(whole)
    for bit in data.draw(st.lists(st.integers(0, 8 * len(whole) - 1), max_size=3, unique=True)):
        damaged[bit // 8] ^= 1 << bit % 8
    del damaged[data.draw(st.integers(0, len(damaged))) :]
    damaged += data.draw(st.binary(max_size=30))
    for found in read_either(bytes(damaged)):
        assert found.header == HEADER
        assert found.changes == CHANGES[: len(found.changes)]
        assert found.reason or bytes(damaged) == journal_bytes(len(found.changes))


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 255), st.integers(0, 2**64 - 1))
def test_intact_records_with_hostile_content(payload, kind, number):
    """Checksums are no defence against who can make them: no exception, and nothing that does not parse."""
    first, seed = encode_header(HEADER)
    records = [Record(FIRST_NUMBER, kind, payload), Record(number, kind, payload)]
    journal = read_journal(first + b"".join(encode_record(seed, record) for record in records))
    assert len(journal.changes) <= 2
    assert kind == RecordKind.CHANGE or not journal.changes


def test_a_hostile_length_takes_no_memory():
    """A record that says it has 4 GiB."""
    first, _ = encode_header(HEADER)
    tracemalloc.start()
    journal = read_journal(first + struct.pack(">IQBI", 2**32 - 1, FIRST_NUMBER, 1, 0) + bytes(1000))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert journal.reason == "cut off"
    assert peak < 100_000


def test_a_record_of_another_file_is_none_here():
    """Its checksum starts from another header's."""
    first, _ = encode_header(HEADER)
    _, other_seed = encode_header(FileHeader(FileKind.JOURNAL, 8, 40, "fleet", "front"))
    journal = read_journal(first + journal_records(other_seed)[0])
    assert not journal.changes
    assert journal.reason == "its checksum is wrong"


@pytest.mark.parametrize("order", [(0, 2), (0, 0, 1), (0, 2, 1), (1, 2)])
def test_a_record_out_of_its_order_ends_the_journal(order):
    """A block that the disk put elsewhere is intact, and still not the next record."""
    first, seed = encode_header(HEADER)
    records = journal_records(seed)
    journal = read_journal(first + b"".join(records[place] for place in order))
    assert journal.changes == (CHANGES[:1] if order[0] == 0 else [])
    assert "where" in journal.reason


def test_a_snapshot_is_whole_or_nothing():
    """Cut anywhere, with more behind it, or with a part missing, it is no snapshot."""
    state = {f"k{number}": b"%d" % number for number in range(5)}
    header = FileHeader(FileKind.SNAPSHOT, 7, 40, "fleet", "front")
    parts = list(encode_snapshot(header, state))
    whole = b"".join(parts)
    assert read_snapshot(whole) == (header, state)
    wrong = [whole[:size] for size in range(len(whole))] + [whole + b"\0", whole + parts[-1]]
    wrong += [b"".join(parts[:place] + parts[place + 1 :]) for place in range(len(parts))]
    for data in wrong:
        with pytest.raises(CorruptRecordError):
            read_snapshot(data)
