"""A folder on a real disk: what it keeps, what is refused, what is left out."""

import errno
import os
import random
import signal
import struct
import subprocess
import sys
from pathlib import Path

import pytest
from storage_real import filled, make, names

from lichenquay.storage import record_format, recovery
from lichenquay.storage.disk import RealOs
from lichenquay.storage.incarnation import next_incarnation
from lichenquay.storage.recovery import UnusableStoreError, file_name
from lichenquay.storage.store import NotStored, TooMuch

ROOT = Path(__file__).parent.parent


def test_what_is_stored_is_there_again(tmp_path):
    folder = make(tmp_path / "f")
    assert folder.opened and folder.sure and not folder.state
    assert folder.append({"a": b"1", "b": b"2"}) == 1 and folder.append({"a": None, "c": b""}) == 2
    assert not folder.state  # not before it is on disk
    assert folder.flush(0.0) == 2 and folder.state == {"b": b"2", "c": b""}
    folder.append({"lost": b"1"})
    folder.close()
    with pytest.raises(NotStored):
        folder.append({"a": b"1"})
    again = make(tmp_path / "f")
    assert again.state == {"b": b"2", "c": b""} and not again.left_out
    assert again.append({"a": b"3"}) == 3


def test_two_generations_are_kept(tmp_path):
    folder = make(tmp_path / "f")
    for i in range(5):
        folder.append({"a": b"%d" % i})
        folder.compact(0.0)
    newest = folder.generation
    kept = [file_name(g, kind) for g in (newest - 1, newest) for kind in ("journal", "snapshot")]
    assert names(tmp_path / "f") == [*kept, "lock"]


def test_bound_in_bytes(tmp_path):
    """What would pass the bound is refused whole; the folder never holds more, and still lets go of what it has."""
    folder = make(tmp_path / "f", most=64 << 10)
    rng, refused, largest = random.Random(1), 0, 0
    for i in range(600):
        key = f"k{rng.randrange(40)}"
        before = dict(folder.state)
        try:
            folder.append({key: rng.randbytes(rng.randrange(700)) if rng.random() < 0.9 else None})
            folder.flush(0.0)
        except TooMuch:
            refused += 1
            assert folder.state == before
        largest = max(largest, sum(os.stat(tmp_path / "f" / n).st_size for n in names(tmp_path / "f")))
    assert refused > 20 and folder.generation > 6 and 20 << 10 < largest <= 64 << 10
    with pytest.raises(TooMuch, match="at once"):
        folder.append({"large": bytes(40 << 10)})
    folder.close()
    tight = make(tmp_path / "f", most=32 << 10)  # a bound that was lowered
    assert tight.state == folder.state and tight.sure
    with pytest.raises(TooMuch, match="the bound is"):
        tight.append({"more": bytes(100)})
    for key in list(tight.state):
        tight.append({key: None})
        tight.flush(0.0)
    tight.append({"more": bytes(100)})
    tight.flush(0.0)


@pytest.mark.parametrize("most", [0, 1000, 1 << 40])
def test_bounds_that_make_no_sense(tmp_path, most):
    with pytest.raises(ValueError, match="bound is from"):
        make(tmp_path / "f", most=most)


@pytest.mark.parametrize("key", ["", "k" * 1025])
def test_keys_that_make_no_sense(tmp_path, key):
    with pytest.raises(ValueError, match="key of"):
        make(tmp_path / "f").append({key: b""})


def test_names_that_are_too_long(tmp_path):
    with pytest.raises(ValueError, match="name of over"):
        make(tmp_path / "f", name="n" * 256)


# What is refused


def newer(path):
    folder = filled(path)
    its = path / file_name(folder.generation + 1, "snapshot")
    data = bytearray(
        record_format.header_bytes(
            record_format.Header(record_format.SNAPSHOT, folder.generation + 1, 9, "fleet", "front")
        )[0]
    )
    data[8:10] = struct.pack(">H", record_format.VERSION + 1)
    data[12:16] = struct.pack(">I", record_format._header_sum(bytes(data[:16]), bytes(data[16:])))
    its.write_bytes(data)


def a_file(path):
    path.write_text("text")


def under_a_file(path):
    path.parent.rmdir()
    path.parent.write_text("text")


REFUSED = [
    (lambda path: make(path, name="other").close(), "of front 'other', not 'front'"),
    (lambda path: make(path, fleet="other").close(), "of fleet 'other', not 'fleet'"),
    (newer, "version 2, this program reads up to 1"),
    (a_file, "is no folder"),
    (under_a_file, "a part of its path is no folder"),
]


@pytest.mark.parametrize("prepare, line", REFUSED)
def test_refused_in_one_line_and_nothing_is_changed(tmp_path, prepare, line):
    path = tmp_path / "above" / "f"
    path.parent.mkdir()
    prepare(path)
    before = {n: (path / n).read_bytes() for n in names(path)} if path.is_dir() else None
    with pytest.raises(UnusableStoreError, match=line) as told:
        make(path)
    assert "\n" not in str(told.value) and str(path) in str(told.value)
    if before is not None:
        assert {n: (path / n).read_bytes() for n in names(path)} == before


def test_no_permission(tmp_path):
    class Denied(RealOs):
        def open(self, path, flags):
            raise PermissionError(errno.EACCES, "Permission denied")

    with pytest.raises(UnusableStoreError, match="Permission denied"):
        make(tmp_path / "f", os=Denied())


def test_two_processes_on_one_folder(tmp_path):
    code = (
        "import sys\nfrom lichenquay.storage.store import DurableStore\n"
        "f = DurableStore(sys.argv[1], 'fleet', 'front', 1 << 20)\nprint('open', flush=True)\nsys.stdin.read()"
    )
    first = subprocess.Popen(
        [sys.executable, "-c", code, tmp_path / "f"], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    try:
        assert first.stdout.readline() == b"open\n"
        with pytest.raises(UnusableStoreError, match="in use by another process"):
            make(tmp_path / "f")
        os.kill(first.pid, signal.SIGKILL)
        first.wait()
        assert make(tmp_path / "f").sure
    finally:
        first.kill()
        first.communicate()


# What is left out


def damage(path, name, how, rng):
    data = bytearray((path / name).read_bytes())
    if how == "empty":
        data.clear()
    elif how == "cut":
        del data[rng.randrange(len(data)) :]
    elif how == "flip":
        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
    elif how == "zeros":
        at = rng.randrange(len(data))
        data[at:] = bytes(len(data) - at)
    elif how == "more":
        data += rng.randbytes(50)
    else:
        data[:] = rng.randbytes(200)
    (path / name).write_bytes(data)


@pytest.mark.parametrize("how", ["empty", "cut", "flip", "zeros", "more", "noise"])
@pytest.mark.parametrize("which", ["snapshot", "journal"])
def test_a_damaged_file_costs_its_records_at_most(tmp_path, how, which):
    """The state is one that was, with no more lost than the newest generation; the file is kept aside; the next start
    is clean."""
    pasts = [{}]
    for i in range(6):
        pasts.append({**pasts[-1], f"k{i % 3}": b"%d" % i, "last": b"%d" % i})
    for seed in range(5):
        path = tmp_path / str(seed)
        generation = filled(path, 6).generation
        damage(path, file_name(generation, which), how, random.Random(seed))
        found = make(path)
        assert found.sure and dict(found.state) in pasts[3 if which == "journal" else 6 :]
        assert len(found.left_out) == 1 and file_name(generation, which) in found.left_out[0]
        assert [n for n in names(path) if n.startswith("bad.")] == ["bad." + file_name(generation, which)]
        found.close()
        again = make(path)
        assert again.state == found.state and not again.left_out
        again.close()


def test_after_damage_there_are_two_good_generations_again(tmp_path):
    """The next damage is borne as the first one was."""
    generation = filled(tmp_path / "f", 6).generation
    damage(tmp_path / "f", file_name(generation, "journal"), "noise", random.Random(1))
    found = make(tmp_path / "f")
    found.close()
    assert found.generation == generation + 2
    for kind in ("snapshot", "journal"):
        (tmp_path / "f" / file_name(found.generation, kind)).write_bytes(b"")
    again = make(tmp_path / "f")
    assert again.state == found.state and again.state


def test_few_files_are_kept_aside(tmp_path):
    for seed in range(6):
        generation = filled(tmp_path / "f").generation
        damage(tmp_path / "f", file_name(generation, "snapshot"), "noise", random.Random(seed))
    make(tmp_path / "f")
    assert len([n for n in names(tmp_path / "f") if n.startswith("bad.")]) == 3


def test_all_damaged_is_an_empty_state_that_is_told(tmp_path):
    filled(tmp_path / "f")
    for name in names(tmp_path / "f"):
        (tmp_path / "f" / name).write_bytes(b"")
    found = make(tmp_path / "f")
    assert found.sure and not found.state and len(found.left_out) == 4


def test_hostile_names_and_files(tmp_path):
    path = tmp_path / "f"
    state = dict(filled(path).state)
    os.mkfifo(path / file_name(999_999_999_999, "journal"))
    (path / file_name(999_999_999_998, "snapshot")).mkdir()
    for i in range(100):
        (path / file_name(10**11 + i, "snapshot")).write_bytes(b"")
    (path / "notes.txt").write_text("not ours")
    found = make(path)
    assert found.state == state and found.sure and len(found.left_out) == recovery.MOST_SAID
    assert "notes.txt" in names(path) and len(names(path)) < 12


# Incarnation


def test_incarnation_only_rises(tmp_path):
    """A clock set back, a clock far ahead, starts without end: each is higher than all before."""
    last = 0
    for clock in (1000, 1000, 500, 70_000, 3, 0):
        folder = make(tmp_path / "f")
        number, kept = next_incarnation(folder, clock)
        assert number > last and number >= clock and kept
        assert next_incarnation(folder, clock)[0] == number + 1
        last = number + 1
        folder.close()
    assert last == 70_005


def test_incarnation_of_hostile_content(tmp_path):
    folder = make(tmp_path / "f")
    folder.append({"incarnation": b"short"})
    folder.flush(0.0)
    assert next_incarnation(folder, 9) == (9, True)
    folder.append({"incarnation": b"\xff" * 8})
    folder.flush(0.0)
    with pytest.raises(UnusableStoreError, match="leaves no higher one"):
        next_incarnation(folder, 9)
