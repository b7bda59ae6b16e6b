"""A store on a real disk: what it keeps, what is refused, what is skipped."""

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


def test_what_is_stored_is_there_again(tmp_path):
    """And nothing that was not flushed."""
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


def test_two_generations_are_kept(tmp_path):
    """Each with a journal and a snapshot."""
    store = open_store(tmp_path / "f")
    for step in range(5):
        store.append({"a": b"%d" % step})
        store.compact(0.0)
    newest = store.generation
    kept = [
        file_name(generation, kind)
        for generation in (newest - 1, newest)
        for kind in (FileKind.JOURNAL, FileKind.SNAPSHOT)
    ]
    assert names_in(tmp_path / "f") == [*kept, "lock"]


def test_bound_in_bytes(tmp_path):
    """What would pass the bound is refused whole; the folder never holds more, and can still be emptied."""
    path = tmp_path / "f"
    store = open_store(path, max_bytes=64 << 10)
    rng = random.Random(1)
    refused = 0
    largest = 0
    for _ in range(600):
        key = f"k{rng.randrange(40)}"
        before = dict(store.state)
        try:
            store.append({key: rng.randbytes(rng.randrange(700)) if rng.random() < 0.9 else None})
            store.flush(0.0)
        except CapacityExceededError:
            refused += 1
            assert store.state == before
        largest = max(largest, sum(os.stat(path / name).st_size for name in names_in(path)))
    assert refused > 20
    assert store.generation > 6
    assert 20 << 10 < largest <= 64 << 10
    with pytest.raises(CapacityExceededError, match="at once"):
        store.append({"large": bytes(40 << 10)})
    store.close()
    tight = open_store(path, max_bytes=32 << 10)  # a bound that was lowered
    assert tight.state == store.state
    assert tight.is_durable
    with pytest.raises(CapacityExceededError, match="the bound is"):
        tight.append({"more": bytes(100)})
    for key in list(tight.state):
        tight.append({key: None})
        tight.flush(0.0)
    tight.append({"more": bytes(100)})
    tight.flush(0.0)


@pytest.mark.parametrize("max_bytes", [0, 1000, 1 << 40])
def test_bounds_that_make_no_sense(tmp_path, max_bytes):
    """Too small for the files of a store, or larger than recovery reads."""
    with pytest.raises(InvalidChangeError, match="bound is from"):
        open_store(tmp_path / "f", max_bytes=max_bytes)


@pytest.mark.parametrize("key", ["", "k" * 1025])
def test_keys_that_make_no_sense(tmp_path, key):
    """Empty or too long."""
    with pytest.raises(InvalidChangeError, match="key of"):
        open_store(tmp_path / "f").append({key: b""})


def test_names_that_are_too_long(tmp_path):
    """Of a process."""
    with pytest.raises(InvalidChangeError, match="name of over"):
        open_store(tmp_path / "f", name="n" * 256)


# What is refused


def write_newer_version(path):
    """A folder with an intact header of the next version."""
    generation = write_two_generations(path).generation + 1
    header = FileHeader(FileKind.SNAPSHOT, generation, 9, "fleet", "front")
    data = bytearray(record_format.encode_header(header).data)
    data[8:10] = struct.pack(">H", record_format.VERSION + 1)
    data[12:16] = struct.pack(">I", record_format._header_checksum(bytes(data[:16]), bytes(data[16:])))
    (path / file_name(generation, FileKind.SNAPSHOT)).write_bytes(data)


def write_file_instead(path):
    """A file where the folder should be."""
    path.write_text("text")


def write_file_above(path):
    """A file where a part of the path should be."""
    path.parent.rmdir()
    path.parent.write_text("text")


REFUSED = [
    (lambda path: open_store(path, name="other").close(), "of front 'other', not 'front'"),
    (lambda path: open_store(path, fleet="other").close(), "of fleet 'other', not 'fleet'"),
    (write_newer_version, "version 2, this program reads up to 1"),
    (write_file_instead, "is no folder"),
    (write_file_above, "a part of its path is no folder"),
]


@pytest.mark.parametrize("prepare, line", REFUSED)
def test_refused_in_one_line_and_nothing_is_changed(tmp_path, prepare, line):
    """Another's folder, a newer one, or no folder at all."""
    path = tmp_path / "above" / "f"
    path.parent.mkdir()
    prepare(path)
    before = {name: (path / name).read_bytes() for name in names_in(path)} if path.is_dir() else None
    with pytest.raises(UnusableStoreError, match=line) as refusal:
        open_store(path)
    assert "\n" not in str(refusal.value)
    assert str(path) in str(refusal.value)
    if before is not None:
        assert {name: (path / name).read_bytes() for name in names_in(path)} == before


def test_no_permission(tmp_path):
    """Refused as another's."""

    class DeniedFileSystem(FileSystem):
        def open(self, path, flags):
            raise PermissionError(errno.EACCES, "Permission denied")

    with pytest.raises(UnusableStoreError, match="Permission denied"):
        open_store(tmp_path / "f", file_system=DeniedFileSystem())


def test_two_processes_on_one_folder(tmp_path):
    """The second is refused until the first is gone."""
    code = (
        "import sys\nfrom lichenquay.storage.store import DurableStore\n"
        "store = DurableStore(sys.argv[1], 'fleet', 'front', 1 << 20)\n"
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


# What is skipped


def damage(path, name, how, rng):
    """Damages a file."""
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
def test_a_damaged_file_costs_its_records_at_most(tmp_path, how, kind):
    """The state is one that was, with no more lost than the newest generation.

    The file is set aside; the next start is clean.
    """
    histories = [{}]
    for step in range(6):
        histories.append({**histories[-1], f"k{step % 3}": b"%d" % step, "last": b"%d" % step})
    for seed in range(5):
        path = tmp_path / str(seed)
        generation = write_two_generations(path, 6).generation
        damage(path, file_name(generation, kind), how, random.Random(seed))
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


def test_after_damage_there_are_two_intact_generations_again(tmp_path):
    """The next damage is borne as the first one was."""
    path = tmp_path / "f"
    generation = write_two_generations(path, 6).generation
    damage(path, file_name(generation, FileKind.JOURNAL), "noise", random.Random(1))
    store = open_store(path)
    store.close()
    assert store.generation == generation + 2
    for kind in FileKind:
        (path / file_name(store.generation, kind)).write_bytes(b"")
    again = open_store(path)
    assert again.state == store.state
    assert again.state


def test_few_files_are_set_aside(tmp_path):
    """The newest three."""
    for seed in range(6):
        generation = write_two_generations(tmp_path / "f").generation
        damage(tmp_path / "f", file_name(generation, FileKind.SNAPSHOT), "noise", random.Random(seed))
    open_store(tmp_path / "f")
    assert len([name for name in names_in(tmp_path / "f") if name.startswith("bad.")]) == 3


def test_all_damaged_is_an_empty_state_that_is_reported(tmp_path):
    """Two snapshots and two journals."""
    write_two_generations(tmp_path / "f")
    for name in names_in(tmp_path / "f"):
        (tmp_path / "f" / name).write_bytes(b"")
    store = open_store(tmp_path / "f")
    assert store.is_durable
    assert not store.state
    assert len(store.skipped_files) == 4


def test_hostile_names_and_files(tmp_path):
    """A pipe, a folder and many empty files under names of a store's; other names are left alone."""
    path = tmp_path / "f"
    state = dict(write_two_generations(path).state)
    os.mkfifo(path / file_name(999_999_999_999, FileKind.JOURNAL))
    (path / file_name(999_999_999_998, FileKind.SNAPSHOT)).mkdir()
    for number in range(100):
        (path / file_name(10**11 + number, FileKind.SNAPSHOT)).write_bytes(b"")
    (path / "notes.txt").write_text("not ours")
    store = open_store(path)
    assert store.state == state
    assert store.is_durable
    assert len(store.skipped_files) == recovery.MAX_SKIPPED_LINES
    assert "notes.txt" in names_in(path)
    assert len(names_in(path)) < 12


# Incarnation


def test_incarnation_only_rises(tmp_path):
    """A clock set back, a clock far ahead, starts without end: each is higher than all before."""
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


def test_incarnation_of_hostile_content(tmp_path):
    """A section of another size counts as none; the highest of all numbers is refused."""
    store = open_store(tmp_path / "f")
    store.append({"incarnation": b"short"})
    store.flush(0.0)
    assert next_incarnation(store, 9) == (9, True)
    store.append({"incarnation": b"\xff" * 8})
    store.flush(0.0)
    with pytest.raises(UnusableStoreError, match="leaves no higher one"):
        next_incarnation(store, 9)
