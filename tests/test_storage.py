"""A store on a real disk: stored state, rejected folders, skipped files."""

import errno
import os
import random
import signal
import struct
import subprocess
import sys
from pathlib import Path

import pytest
from storage_real import names_in, open_store, write_two_generations

from lichenquay.storage import record_format, recovery
from lichenquay.storage.errors import (
    CapacityExceededError,
    InvalidChangeError,
    NotStoredError,
    UnusableStoreError,
)
from lichenquay.storage.file_names import file_name
from lichenquay.storage.file_system import FileSystem
from lichenquay.storage.incarnation import next_incarnation
from lichenquay.storage.record_format import FileHeader, FileKind

ROOT = Path(__file__).parent.parent


def test_stored_records_survive_a_restart(tmp_path):
    """Records that were not flushed do not."""
    store = open_store(tmp_path / "f")
    assert store.is_open
    assert store.is_durable
    assert not store.state
    assert store.append({"a": b"1", "b": b"2"}) == 1
    assert store.append({"a": None, "c": b""}) == 2
    assert not store.state  # not before it is on disk
    assert store.flush(0.0) == 2
    assert store.state == {"b": b"2", "c": b""}
    store.append({"lost": b"1"})
    store.close()
    with pytest.raises(NotStoredError):
        store.append({"a": b"1"})
    again = open_store(tmp_path / "f")
    assert again.state == {"b": b"2", "c": b""}
    assert not again.skipped_files
    assert again.append({"a": b"3"}) == 3


def test_two_generations_are_retained(tmp_path):
    """Each has a journal and a snapshot."""
    store = open_store(tmp_path / "f")
    for step in range(5):
        store.append({"a": b"%d" % step})
        store.compact(0.0)
    newest = store.generation
    retained = [
        file_name(generation, kind)
        for generation in (newest - 1, newest)
        for kind in (FileKind.JOURNAL, FileKind.SNAPSHOT)
    ]
    assert names_in(tmp_path / "f") == [*retained, "lock"]


def test_capacity_in_bytes(tmp_path):
    """A change over the capacity is rejected; the folder never exceeds it, and sections can be deleted."""
    path = tmp_path / "f"
    store = open_store(path, max_bytes=64 << 10)
    rng = random.Random(1)
    rejected = 0
    largest = 0
    for _ in range(600):
        key = f"k{rng.randrange(40)}"
        before = dict(store.state)
        try:
            store.append({key: rng.randbytes(rng.randrange(700)) if rng.random() < 0.9 else None})
            store.flush(0.0)
        except CapacityExceededError:
            rejected += 1
            assert store.state == before
        largest = max(largest, sum(os.stat(path / name).st_size for name in names_in(path)))
    assert rejected > 20
    assert store.generation > 6
    assert 20 << 10 < largest <= 64 << 10
    with pytest.raises(CapacityExceededError, match="bytes exceeds the free .* bytes of the batch"):
        store.append({"large": bytes(40 << 10)})
    store.close()
    tight = open_store(path, max_bytes=32 << 10)  # a lowered capacity
    assert tight.state == store.state
    assert tight.is_durable
    with pytest.raises(CapacityExceededError, match="state of .* bytes exceeds the capacity of"):
        tight.append({"more": bytes(100)})
    for key in list(tight.state):
        tight.append({key: None})
        tight.flush(0.0)
    tight.append({"more": bytes(100)})
    tight.flush(0.0)


@pytest.mark.parametrize("max_bytes", [0, 1000, 1 << 40])
def test_a_capacity_out_of_range_is_rejected(tmp_path, max_bytes):
    """It is too small for the files of a store, or larger than recovery reads."""
    with pytest.raises(InvalidChangeError, match=f"{max_bytes}; expected 32768 to 268435456 bytes"):
        open_store(tmp_path / "f", max_bytes=max_bytes)


@pytest.mark.parametrize("key", ["", "k" * 1025])
def test_invalid_keys_are_rejected(tmp_path, key):
    """A key is empty or too long."""
    with pytest.raises(InvalidChangeError, match=f"key of {len(key)} bytes; expected 1 to 1024 bytes"):
        open_store(tmp_path / "f").append({key: b""})


def test_a_process_name_that_is_too_long_is_rejected(tmp_path):
    """The error states the sizes and the maximum."""
    with pytest.raises(InvalidChangeError, match="have 5 and 256 bytes; the maximum is 255"):
        open_store(tmp_path / "f", name="n" * 256)


# Rejected folders


def write_newer_version(path):
    """Writes a folder that has a file with an intact header of the next version."""
    generation = write_two_generations(path).generation + 1
    header = FileHeader(FileKind.SNAPSHOT, generation, 9, "fleet", "gateway")
    data = bytearray(record_format.encode_header(header).data)
    data[8:10] = struct.pack(">H", record_format.VERSION + 1)
    data[12:16] = struct.pack(">I", record_format._header_checksum(bytes(data[:16]), bytes(data[16:])))
    (path / file_name(generation, FileKind.SNAPSHOT)).write_bytes(data)


def write_file_instead(path):
    """Writes a file at the path of the folder."""
    path.write_text("text")


def write_file_above(path):
    """Writes a file at a parent path of the folder."""
    path.parent.rmdir()
    path.parent.write_text("text")


REJECTED = [
    (lambda path: open_store(path, name="other").close(), "belongs to process 'other', not 'gateway'"),
    (lambda path: open_store(path, fleet="other").close(), "belongs to fleet 'other', not 'fleet'"),
    (write_newer_version, "has format version 2, this program supports up to 1"),
    (write_file_instead, "f is not a directory"),
    (write_file_above, "a component of its path is not a directory"),
]


@pytest.mark.parametrize("prepare, line", REJECTED)
def test_an_unusable_folder_is_rejected_in_one_line_and_stays_unchanged(tmp_path, prepare, line):
    """It belongs to another process, has a newer format, or is not a directory."""
    path = tmp_path / "above" / "f"
    path.parent.mkdir()
    prepare(path)
    before = {name: (path / name).read_bytes() for name in names_in(path)} if path.is_dir() else None
    with pytest.raises(UnusableStoreError, match=line) as rejection:
        open_store(path)
    assert "\n" not in str(rejection.value)
    assert str(path) in str(rejection.value)
    if before is not None:
        assert {name: (path / name).read_bytes() for name in names_in(path)} == before


def test_a_folder_without_permission_is_rejected(tmp_path):
    """The error has the text of the operating system."""

    class DeniedFileSystem(FileSystem):
        def open(self, path, flags):
            raise PermissionError(errno.EACCES, "Permission denied")

    with pytest.raises(UnusableStoreError, match="Permission denied"):
        open_store(tmp_path / "f", file_system=DeniedFileSystem())


def test_a_second_process_on_a_folder_is_rejected(tmp_path):
    """It can open the folder once the first one has been killed."""
    code = (
        "import sys\nfrom lichenquay.storage.store import DurableStore\n"
        "store = DurableStore(sys.argv[1], 'fleet', 'gateway', 1 << 20)\n"
        "print('open', flush=True)\nsys.stdin.read()"
    )
    first = subprocess.Popen(
        [sys.executable, "-c", code, tmp_path / "f"], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    try:
        assert first.stdout.readline() == b"open\n"
        with pytest.raises(UnusableStoreError, match="in use by another process"):
            open_store(tmp_path / "f")
        os.kill(first.pid, signal.SIGKILL)
        first.wait()
        assert open_store(tmp_path / "f").is_durable
    finally:
        first.kill()
        first.communicate()


# Skipped files


def corrupt(path, name, how, rng):
    """Corrupts a file."""
    data = bytearray((path / name).read_bytes())
    if how == "empty":
        data.clear()
    elif how == "cut":
        del data[rng.randrange(len(data)) :]
    elif how == "flip":
        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
    elif how == "zeros":
        start = rng.randrange(len(data))
        data[start:] = bytes(len(data) - start)
    elif how == "more":
        data += rng.randbytes(50)
    else:
        data[:] = rng.randbytes(200)
    (path / name).write_bytes(data)


@pytest.mark.parametrize("how", ["empty", "cut", "flip", "zeros", "more", "noise"])
@pytest.mark.parametrize("kind", list(FileKind), ids=["snapshot", "journal"])
def test_a_corrupt_file_loses_at_most_its_own_records(tmp_path, how, kind):
    """The state is an earlier one, and at most the newest generation is lost.

    The file is set aside; the next start skips nothing.
    """
    histories = [{}]
    for step in range(6):
        histories.append({**histories[-1], f"k{step % 3}": b"%d" % step, "last": b"%d" % step})
    for seed in range(5):
        path = tmp_path / str(seed)
        generation = write_two_generations(path, 6).generation
        corrupt(path, file_name(generation, kind), how, random.Random(seed))
        store = open_store(path)
        assert store.is_durable
        assert dict(store.state) in histories[3 if kind is FileKind.JOURNAL else 6 :]
        assert len(store.skipped_files) == 1
        assert file_name(generation, kind) in store.skipped_files[0]
        set_aside = [name for name in names_in(path) if name.startswith("bad.")]
        assert set_aside == ["bad." + file_name(generation, kind)]
        store.close()
        again = open_store(path)
        assert again.state == store.state
        assert not again.skipped_files
        again.close()


def test_two_intact_generations_exist_again_after_a_corrupt_one(tmp_path):
    """Otherwise a second corruption would lose the state."""
    path = tmp_path / "f"
    generation = write_two_generations(path, 6).generation
    corrupt(path, file_name(generation, FileKind.JOURNAL), "noise", random.Random(1))
    store = open_store(path)
    store.close()
    assert store.generation == generation + 2
    for kind in FileKind:
        (path / file_name(store.generation, kind)).write_bytes(b"")
    again = open_store(path)
    assert again.state == store.state
    assert again.state


def test_at_most_three_corrupt_files_are_set_aside(tmp_path):
    """The directory must not fill up with corrupt files."""
    for seed in range(6):
        generation = write_two_generations(tmp_path / "f").generation
        corrupt(tmp_path / "f", file_name(generation, FileKind.SNAPSHOT), "noise", random.Random(seed))
    open_store(tmp_path / "f")
    assert len([name for name in names_in(tmp_path / "f") if name.startswith("bad.")]) == 3


def test_all_files_corrupt_gives_an_empty_state_that_is_reported(tmp_path):
    """Two snapshots and two journals are skipped."""
    write_two_generations(tmp_path / "f")
    for name in names_in(tmp_path / "f"):
        (tmp_path / "f" / name).write_bytes(b"")
    store = open_store(tmp_path / "f")
    assert store.is_durable
    assert not store.state
    assert len(store.skipped_files) == 4


def test_unexpected_files_do_not_affect_the_state(tmp_path):
    """A pipe, a directory and many empty files have names of store files; files with other names are kept."""
    path = tmp_path / "f"
    state = dict(write_two_generations(path).state)
    os.mkfifo(path / file_name(999_999_999_999, FileKind.JOURNAL))
    (path / file_name(999_999_999_998, FileKind.SNAPSHOT)).mkdir()
    for number in range(100):
        (path / file_name(10**11 + number, FileKind.SNAPSHOT)).write_bytes(b"")
    (path / "notes.txt").write_text("text")
    store = open_store(path)
    assert store.state == state
    assert store.is_durable
    assert len(store.skipped_files) == recovery.MAX_SKIPPED_LINES
    assert "notes.txt" in names_in(path)
    assert len(names_in(path)) < 12


# Incarnation


def test_the_incarnation_always_increases(tmp_path):
    """Each one is higher than all earlier ones, also if the clock is set back or jumps ahead."""
    last = 0
    for clock_ms in (1000, 1000, 500, 70_000, 3, 0):
        store = open_store(tmp_path / "f")
        number, is_stored = next_incarnation(store, clock_ms)
        assert number > last
        assert number >= clock_ms
        assert is_stored
        assert next_incarnation(store, clock_ms).number == number + 1
        last = number + 1
        store.close()
    assert last == 70_005


def test_an_invalid_stored_incarnation(tmp_path):
    """A section of the wrong size is ignored; a number without a valid successor is an error."""
    store = open_store(tmp_path / "f")
    store.append({"incarnation": b"short"})
    store.flush(0.0)
    assert next_incarnation(store, 9) == (9, True)
    store.append({"incarnation": b"\xff" * 8})
    store.flush(0.0)
    with pytest.raises(UnusableStoreError, match="exceeds the maximum 9223372036854775807"):
        next_incarnation(store, 9)
