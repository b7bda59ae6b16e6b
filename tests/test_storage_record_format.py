"""The form of a folder's files against hostile bytes."""

import struct
import tracemalloc

from hypothesis import given, settings
from hypothesis import strategies as st

from lichenquay.storage import record_format

HEADER = record_format.Header(record_format.JOURNAL, 7, 40, "fleet", "front")
CHANGES = [{"a": b"1"}, {"b": bytes(300), "a": None}, {"c": b"x" * 20, "d": b""}]


def journal_bytes(number=len(CHANGES)):
    first, seed = record_format.header_bytes(HEADER)
    return first + b"".join(
        record_format.frame(seed, 41 + i, record_format.CHANGE, record_format.changes_bytes(c))
        for i, c in enumerate(CHANGES[:number])
    )


def read_either(data):
    """Every reader; what a journal gives must be a beginning of what was written, whatever became of the bytes."""
    for read in (record_format.read_snapshot, record_format.read_journal):
        try:
            found = read(data)
        except (record_format.Unreadable, record_format.Newer):
            continue
        yield found


@settings(max_examples=400, deadline=None)
@given(st.binary(max_size=400))
def test_noise_is_nothing(data):
    assert not list(read_either(data))
    first, seed = record_format.header_bytes(HEADER)
    journal = record_format.read_journal(first + data)
    assert journal.changes == [] and (journal.why or not data) and journal.left_bytes == len(data)
    try:
        record_format.read_changes(data)
    except record_format.Unreadable:
        pass


@settings(max_examples=600, deadline=None)
@given(st.data())
def test_flips_and_cuts_never_make_a_fact(data):
    whole = journal_bytes()
    bytes_ = bytearray(whole)
    for at in data.draw(st.lists(st.integers(0, 8 * len(whole) - 1), max_size=3, unique=True)):
        bytes_[at // 8] ^= 1 << at % 8
    del bytes_[data.draw(st.integers(0, len(bytes_))) :]
    bytes_ += data.draw(st.binary(max_size=30))
    for found in read_either(bytes(bytes_)):
        assert found.header == HEADER and found.changes == CHANGES[: len(found.changes)]
        assert found.why or bytes(bytes_) == journal_bytes(len(found.changes))


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 255), st.integers(0, 2**64 - 1))
def test_whole_records_with_hostile_content(payload, kind, number):
    """Checksums are no defence against who can make them: no exception, and nothing that does not parse."""
    first, seed = record_format.header_bytes(HEADER)
    journal = record_format.read_journal(
        first
        + record_format.frame(seed, 41, kind, payload)
        + record_format.frame(seed, number, kind, payload)
    )
    assert len(journal.changes) <= 2 and (kind == record_format.CHANGE or not journal.changes)


def test_a_hostile_length_takes_no_memory():
    first, seed = record_format.header_bytes(HEADER)
    tracemalloc.start()
    journal = record_format.read_journal(first + struct.pack(">IQBI", 2**32 - 1, 41, 1, 0) + bytes(1000))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert journal.why == "cut off" and peak < 100_000


def test_a_record_of_another_file_is_none_here():
    first, _ = record_format.header_bytes(HEADER)
    _, other = record_format.header_bytes(
        record_format.Header(record_format.JOURNAL, 8, 40, "fleet", "front")
    )
    journal = record_format.read_journal(
        first + record_format.frame(other, 41, record_format.CHANGE, record_format.changes_bytes({"a": b"1"}))
    )
    assert not journal.changes and journal.why == "its checksum is wrong"


def test_a_record_out_of_its_order_ends_the_journal():
    """A block that the disk put elsewhere is whole, and still no next record."""
    first, seed = record_format.header_bytes(HEADER)
    frames = [
        record_format.frame(seed, 41 + i, record_format.CHANGE, record_format.changes_bytes(c))
        for i, c in enumerate(CHANGES)
    ]
    for order in ((0, 2), (0, 0, 1), (0, 2, 1), (1, 2)):
        journal = record_format.read_journal(first + b"".join(frames[i] for i in order))
        assert journal.changes == (CHANGES[:1] if order[0] == 0 else []) and "where" in journal.why


def test_a_snapshot_is_whole_or_nothing():
    state = {f"k{i}": b"%d" % i for i in range(5)}
    header = record_format.Header(record_format.SNAPSHOT, 7, 40, "fleet", "front")
    parts = list(record_format.snapshot_parts(header, state))
    whole = b"".join(parts)
    assert record_format.read_snapshot(whole) == (header, state)
    wrong = [whole[:i] for i in range(len(whole))] + [whole + b"\0", whole + parts[-1]]
    wrong += [b"".join(parts[:i] + parts[i + 1 :]) for i in range(len(parts))]
    for data in wrong:
        try:
            record_format.read_snapshot(data)
        except record_format.Unreadable:
            continue
        raise AssertionError(f"{len(data)} bytes of {len(whole)} were taken for a snapshot")
