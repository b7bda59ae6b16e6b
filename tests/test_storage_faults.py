"""A folder of real processes on a real disk: killed, full, gone."""

import os
import random
import shutil
import subprocess
import sys
import time
from pathlib import Path

import pytest
from storage_real import make, names

from lichenquay.storage.disk import RealOs
from lichenquay.storage.incarnation import next_incarnation
from lichenquay.storage.store import NotStored

ROOT = Path(__file__).parent.parent
KILLS = 20 * int(os.environ.get("LICHENQUAY_FOLDER_RUNS", "1"))

WRITER = """
import sys
from lichenquay.storage.store import DurableStore
f = DurableStore(sys.argv[1], "fleet", "front", 64 << 10)
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
    state = {"n": b"%d" % number} if number else {}
    for n in range(max(1, number - 6), number + 1):
        state["k%d" % (n % 7)] = b"%d" % n + bytes(n % 900)
    return state


def test_killed_anywhere(tmp_path):
    """SIGKILL at chance moments, each life on the folder of the last: all that was told as stored is there, and no part
    of a record; a third of the times some bytes of torn tail come on top, as a power loss leaves them."""
    rng = random.Random(1)
    path, told, generations = tmp_path / "f", 0, 0
    for kill in range(KILLS):
        child = subprocess.Popen([sys.executable, "-c", WRITER, path], cwd=ROOT, stdout=subprocess.PIPE)
        lines = rng.choice((0, 1, 1, 30, 100))
        for _ in range(lines):
            child.stdout.readline()
        time.sleep(rng.random() * (0.004 if lines else 0.2))
        child.kill()
        lines = child.communicate()[0].split()
        told = max([told, *map(int, lines)])
        if kill % 3 == 0 and path.exists():
            newest = max([n for n in names(path) if n.endswith("journal")], default=None)
            if newest:
                with open(path / newest, "ab") as out:
                    out.write(rng.randbytes(rng.randrange(1, 40)))
        folder = make(path, most=64 << 10)
        found = int(folder.state.get("n", b"0"))
        assert told <= found and dict(folder.state) == state_after(found)
        told, generations = found, folder.generation
        folder.close()
    assert told > 100 and generations > KILLS


FULL = """
import resource, signal, sys
from lichenquay.storage.store import DurableStore, NotStored
signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
f = DurableStore(sys.argv[1], "fleet", "front", 4 << 20)
resource.setrlimit(resource.RLIMIT_FSIZE, (20_000, resource.RLIM_INFINITY))
stored = refused = 0
while refused < 5:
    f.append({"k%d" % (stored % 50): b"%d" % stored + bytes(700), "n": b"%d" % stored})
    try:
        f.flush(1e5 * refused)
        stored += 1
    except NotStored as why:
        refused += 1
        assert "File too large" in str(why), why
resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
print(stored, f.state["n"].decode(), f.heal(1e6), f.trouble, sorted(__import__("os").listdir(sys.argv[1])))
if len(sys.argv) > 2:
    f.append({"n": b"healed"})
    f.flush(1e6)
"""


@pytest.mark.parametrize("more", [[], ["heal"]])
def test_files_that_may_not_grow(tmp_path, more):
    out = subprocess.run(
        [sys.executable, "-c", FULL, tmp_path / "f", *more], cwd=ROOT, capture_output=True, text=True
    )
    assert out.returncode == 0, out.stderr
    stored, last, healed, trouble, *_ = out.stdout.split()
    assert int(stored) > 20 and int(last) == int(stored) - 1 and (healed, trouble) == ("True", "None")
    assert ".new" not in out.stdout
    found = make(tmp_path / "f", most=4 << 20)
    assert found.state["n"] == (b"healed" if more else last.encode()) and not found.left_out


class FullOs(RealOs):
    """Writes go to /dev/full while `full`: the kernel's own ENOSPC."""

    full = False

    def write(self, fd, data):
        if not self.full:
            return super().write(fd, data)
        with open("/dev/full", "wb", buffering=0) as device:
            return device.write(data)


def test_disk_full_and_free_again(tmp_path):
    os_ = FullOs()
    folder = make(tmp_path / "f", os=os_)
    os_.full = True
    folder.append({"a": b"1"})
    with pytest.raises(NotStored, match="No space left on device"):
        folder.flush(0.0)
    os_.full = False
    folder.append({"a": b"2"})
    with pytest.raises(NotStored):
        folder.flush(100.0)
    folder.append({"a": b"3"})
    folder.flush(300.0)
    folder.close()
    assert make(tmp_path / "f").state == {"a": b"3"}


def test_full_at_the_start(tmp_path):
    """No refusal: the front runs on without its folder, and has it when there is room."""
    os_ = FullOs()
    os_.full = True
    folder = make(tmp_path / "f", os=os_)
    assert "No space" in folder.trouble and not folder.sure
    assert next_incarnation(folder, 5000) == (5000, False)
    os_.full = False
    assert folder.heal(folder.due_ms) and folder.sure


@pytest.mark.parametrize("what", ["all", "files", "replaced"])
def test_folder_gone_while_it_is_used(tmp_path, what):
    path = tmp_path / "f"
    folder = make(path)
    folder.append({"a": b"1"})
    folder.flush(0.0)
    if what == "files":
        for name in names(path):
            (path / name).unlink()
    else:
        shutil.move(path, tmp_path / "moved")
        if what == "replaced":
            path.mkdir()
    folder.append({"a": b"2"})
    with pytest.raises(NotStored, match="is gone"):
        folder.flush(1.0)
    folder.append({"b": b"3"})
    folder.flush(1000.0)
    folder.close()
    assert make(path).state == {"a": b"1", "b": b"3"}


def test_folder_replaced_by_one_that_another_process_wrote(tmp_path):
    path = tmp_path / "f"
    folder = make(path)
    shutil.move(path, tmp_path / "moved")
    other = make(path)
    other.append({"a": b"other"})
    other.compact(0.0)
    other.close()
    folder.append({"a": b"1"})
    with pytest.raises(NotStored, match="gone or replaced"):
        folder.flush(0.0)
    assert not folder.heal(1000.0) and "another process has written it meanwhile" in folder.trouble
    folder.close()
    assert make(path).state == {"a": b"other"}
