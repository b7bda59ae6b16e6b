"""A store on a real disk under faults: killed processes, a full disk, a removed or replaced folder."""

import os
import random
import shutil
import subprocess
import sys
import time
from pathlib import Path

import pytest
from storage_real import names_in, open_store

from lichenquay.storage.errors import NotStoredError
from lichenquay.storage.file_system import FileSystem
from lichenquay.storage.incarnation import next_incarnation

ROOT = Path(__file__).parent.parent
KILLS = 20 * int(os.environ.get("LICHENQUAY_FOLDER_RUNS", "1"))

WRITER = """
import sys
from lichenquay.storage.store import DurableStore
f = DurableStore(sys.argv[1], "fleet", "gateway", 64 << 10)
n = int(f.state.get("n", b"0"))
print(n, flush=True)
while True:
    for _ in range(n % 3 + 1):
        n += 1
        f.append({"n": b"%d" % n, "k%d" % (n % 7): b"%d" % n + bytes(n % 900)})
    f.flush(0.0)
    print(n, flush=True)
"""


def state_after(number):
    """Returns the state after the n-th record of the child process."""
    state = {"n": b"%d" % number} if number else {}
    for earlier in range(max(1, number - 6), number + 1):
        state[f"k{earlier % 7}"] = b"%d" % earlier + bytes(earlier % 900)
    return state


def kill_a_writer(path, rng):
    """Starts a writer process and kills it at a random moment; returns the last record that it reported."""
    child = subprocess.Popen([sys.executable, "-c", WRITER, path], cwd=ROOT, stdout=subprocess.PIPE)
    lines = rng.choice((0, 1, 1, 30, 100))
    reported = [child.stdout.readline() for _ in range(lines)]
    time.sleep(rng.random() * (0.004 if lines else 0.2))
    child.kill()
    reported += child.communicate()[0].split()
    return max((int(line) for line in reported if line.strip()), default=0)


def add_torn_tail(path, rng):
    """Appends some bytes to the newest journal, as a power loss may leave them."""
    newest = max([name for name in names_in(path) if name.endswith("journal")], default=None)
    if newest:
        with open(path / newest, "ab") as out:
            out.write(rng.randbytes(rng.randrange(1, 40)))


def test_a_process_killed_at_random_moments_loses_no_stored_record(tmp_path):
    """Each process opens the folder of the previous one.

    All records that were reported as stored are recovered, and no part of a record is.
    """
    rng = random.Random(1)
    path = tmp_path / "f"
    stored = 0
    generation = 0
    for kill in range(KILLS):
        stored = max(stored, kill_a_writer(path, rng))
        if kill % 3 == 0 and path.exists():
            add_torn_tail(path, rng)
        store = open_store(path, max_bytes=64 << 10)
        found = int(store.state.get("n", b"0"))
        assert stored <= found
        assert dict(store.state) == state_after(found)
        stored = found
        generation = store.generation
        store.close()
    assert stored > 100
    assert generation > KILLS


LIMITED_WRITER = """
import os, resource, signal, sys
from lichenquay.storage.errors import NotStoredError
from lichenquay.storage.store import DurableStore
signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
f = DurableStore(sys.argv[1], "fleet", "gateway", 4 << 20)
resource.setrlimit(resource.RLIMIT_FSIZE, (20_000, resource.RLIM_INFINITY))
stored = failed = 0
while failed < 5:
    f.append({"k%d" % (stored % 50): b"%d" % stored + bytes(700), "n": b"%d" % stored})
    try:
        f.flush(1e5 * failed)
        stored += 1
    except NotStoredError as why:
        failed += 1
        assert "File too large" in str(why), why
resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
print(stored, f.state["n"].decode(), f.retry(1e6), f.last_error, sorted(os.listdir(sys.argv[1])))
if len(sys.argv) > 2:
    f.append({"n": b"healed"})
    f.flush(1e6)
"""


@pytest.mark.parametrize("more", [[], ["heal"]])
def test_a_file_size_limit_is_handled_like_a_full_disk(tmp_path, more):
    """Failed records are not stored, and the store recovers once the limit is removed."""
    child = subprocess.run(
        [sys.executable, "-c", LIMITED_WRITER, tmp_path / "f", *more],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert child.returncode == 0, child.stderr
    stored, last, has_recovered, last_error, *_ = child.stdout.split()
    assert int(stored) > 20
    assert int(last) == int(stored) - 1
    assert (has_recovered, last_error) == ("True", "None")
    assert ".new" not in child.stdout
    store = open_store(tmp_path / "f", max_bytes=4 << 20)
    assert store.state["n"] == (b"healed" if more else last.encode())
    assert not store.skipped_files


class FullFileSystem(FileSystem):
    """A file system whose writes go to /dev/full while `is_full`, which gives the kernel's own ENOSPC."""

    is_full = False

    def write(self, descriptor, data):
        """Writes to the file, or to /dev/full while `is_full`."""
        if not self.is_full:
            return super().write(descriptor, data)
        with open("/dev/full", "wb", buffering=0) as device:
            return device.write(data)


def test_a_full_disk_that_has_space_again(tmp_path):
    """Writes fail without a system call until the next retry is due."""
    file_system = FullFileSystem()
    store = open_store(tmp_path / "f", file_system=file_system)
    file_system.is_full = True
    store.append({"a": b"1"})
    with pytest.raises(NotStoredError, match="No space left on device"):
        store.flush(0.0)
    file_system.is_full = False
    store.append({"a": b"2"})
    with pytest.raises(NotStoredError):
        store.flush(100.0)
    store.append({"a": b"3"})
    store.flush(300.0)
    store.close()
    assert open_store(tmp_path / "f").state == {"a": b"3"}


def test_a_disk_that_is_full_at_the_start_does_not_stop_the_process(tmp_path):
    """The process runs without its folder, and writes it once the disk has space."""
    file_system = FullFileSystem()
    file_system.is_full = True
    store = open_store(tmp_path / "f", file_system=file_system)
    assert "No space" in store.last_error
    assert not store.is_durable
    assert next_incarnation(store, 5000) == (5000, False)
    file_system.is_full = False
    assert store.retry(store.due_ms)
    assert store.is_durable


@pytest.mark.parametrize("what", ["all", "files", "replaced"])
def test_a_folder_removed_while_in_use_is_rewritten(tmp_path, what):
    """The next retry writes the state from memory."""
    path = tmp_path / "f"
    store = open_store(path)
    store.append({"a": b"1"})
    store.flush(0.0)
    if what == "files":
        for name in names_in(path):
            (path / name).unlink()
    else:
        shutil.move(path, tmp_path / "moved")
        if what == "replaced":
            path.mkdir()
    store.append({"a": b"2"})
    with pytest.raises(NotStoredError, match="was removed or replaced"):
        store.flush(1.0)
    store.append({"b": b"3"})
    store.flush(1000.0)
    store.close()
    assert open_store(path).state == {"a": b"1", "b": b"3"}


def test_a_folder_replaced_by_that_of_another_process_is_not_written(tmp_path):
    """The store of the first process fails from then on."""
    path = tmp_path / "f"
    store = open_store(path)
    shutil.move(path, tmp_path / "moved")
    other = open_store(path)
    other.append({"a": b"other"})
    other.compact(0.0)
    other.close()
    store.append({"a": b"1"})
    with pytest.raises(NotStoredError, match="was removed or replaced"):
        store.flush(0.0)
    assert not store.retry(1000.0)
    assert "another process has written to it meanwhile" in store.last_error
    store.close()
    assert open_store(path).state == {"a": b"other"}
