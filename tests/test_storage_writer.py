"""The thread that writes a folder: order, batches, bounds, a disk that stalls or fails, an end in time."""

import errno
import queue
import random
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from structlog.testing import CapturingLogger

from lichenquay.storage.disk import RealOs
from lichenquay.storage.store import DurableStore
from lichenquay.storage.writer import Writer

MOST = 1 << 20


class HeldOs(RealOs):
    """fsync waits while `held` is cleared; `fails`: the errno that writes raise."""

    def __init__(self):
        self.free, self.at_fsync, self.fails, self.fsyncs = threading.Event(), threading.Event(), None, 0
        self.free.set()

    def write(self, fd, data):
        if self.fails:
            raise OSError(self.fails, "told to fail")
        return super().write(fd, data)

    def fsync(self, fd):
        self.fsyncs += 1
        self.at_fsync.set()
        self.free.wait(20)
        super().fsync(fd)


class Host:
    """Stands in for the reactor: what the thread calls waits in a queue until the test's own thread takes it."""

    def __init__(self, path, os_=None, most=MOST, **more):
        self.calls, self.told, self.log, self.late = queue.SimpleQueue(), [], CapturingLogger(), []
        self.os = os_ or HeldOs()
        self.folder = DurableStore(path, "fleet", "front", most, os=self.os, now_ms=self.now_ms())
        self.writer = Writer(
            self.folder,
            lambda f, *args: self.calls.put((f, args)),
            self.now_ms,
            opened=self.late.append,
            log=Bound(self.log),
            **more,
        )

    def now_ms(self):
        return time.monotonic() * 1000

    def store(self, name, **changes):
        me = threading.get_ident()
        self.writer.store(
            changes, lambda ok: self.told.append((name, ok)) if threading.get_ident() == me else None
        )

    def turn(self, wait=10):
        f, args = self.calls.get(timeout=wait)
        f(*args)

    def until(self, number):
        while len(self.told) < number:
            self.turn()

    def lines(self, event):
        return [call.kwargs for call in self.log.calls if call.args == (event,)]


class Bound:
    """structlog's bound logger, as far as the writer uses it."""

    def __init__(self, log, **keys):
        self.log, self.keys = log, keys

    def bind(self, **keys):
        return Bound(self.log, **{**self.keys, **keys})

    def __getattr__(self, level):
        return lambda event, **keys: getattr(self.log, level)(event, **{**self.keys, **keys})


def reread(path):
    folder = DurableStore(path, "fleet", "front", MOST)
    folder.close()
    return dict(folder.state)


def test_stores_are_told_in_order_and_are_there(tmp_path):
    host = Host(tmp_path / "f")
    for i in range(200):
        host.store(i, n=b"%d" % i, **{f"k{i % 5}": b"%d" % i})
    host.until(200)
    assert host.told == [(i, True) for i in range(200)] and host.writer.queued() == 0
    assert host.writer.close(5000)
    assert reread(tmp_path / "f") == {"n": b"199", **{f"k{i % 5}": b"%d" % i for i in range(195, 200)}}


def test_what_waits_goes_in_one_fsync(tmp_path):
    host = Host(tmp_path / "f")
    host.os.free.clear()
    host.os.at_fsync.clear()
    host.store("first", a=b"1")
    assert host.os.at_fsync.wait(5)
    before = host.os.fsyncs
    for i in range(100):
        host.store(i, a=b"%d" % i)
    host.os.free.set()
    host.until(101)
    assert (
        host.os.fsyncs == before + 1
        and host.writer.counts["batches"] == 2
        and host.writer.counts["stored"] == 101
    )
    host.writer.close(5000)


@pytest.mark.parametrize("most_queued, most, size", [(10, MOST, 10), (1000, 64 << 10, 1000)])
def test_a_stalled_fsync_stalls_nothing_else(tmp_path, most_queued, most, size):
    """The host's thread stores on within microseconds; the queue is bounded in number and bytes; the rest is told no
    at once."""
    host = Host(tmp_path / "f", most=most, most_queued=most_queued)
    assert host.writer.stalled(host.now_ms()) == 0.0
    host.os.free.clear()
    host.os.at_fsync.clear()
    host.store("first", a=b"1")
    assert host.os.at_fsync.wait(5)
    began = time.monotonic()
    for i in range(100):
        host.store(i, **{f"k{i}": bytes(size)})
    assert time.monotonic() - began < 1.0
    refused = [name for name, ok in host.told if not ok]
    assert (
        refused
        and refused == list(range(100 - len(refused), 100))
        and host.writer.counts["full"] == len(refused)
    )
    assert len(refused) == 90 if most_queued == 10 else 90 < len(refused) < 98
    assert len(host.lines("folder: takes no more stores")) == 1
    time.sleep(0.05)
    assert host.writer.stalled(host.now_ms()) >= 50.0 and host.calls.empty()
    host.os.free.set()
    host.until(101)
    assert sorted(name for name, ok in host.told if ok and name != "first") == list(range(100 - len(refused)))
    host.writer.close(5000)
    assert host.writer.stalled(host.now_ms()) == 0.0 and host.writer.counts["longest_ms"] >= 50.0


def test_failing_disk_one_line_a_counter_and_healing_by_itself(tmp_path):
    host = Host(tmp_path / "f")
    host.store("good", a=b"1")
    host.until(1)
    host.os.fails = errno.ENOSPC
    for i in range(30):
        host.store(i, a=b"2")
        host.until(i + 2)
    assert host.told[1:] == [(i, False) for i in range(30)] and "told to fail" in host.writer.trouble
    assert host.writer.counts["failed"] == 30 and 1 <= host.writer.counts["failures"] < 5
    (line,) = host.lines("folder: does not store")
    assert line["member"] == "front" and "told to fail" in line["why"]
    host.os.fails = None
    deadline = time.monotonic() + 5
    while host.writer.trouble and time.monotonic() < deadline:  # the timer alone: nothing is stored meanwhile
        time.sleep(0.01)
    assert host.writer.trouble is None and host.writer.counts["healed"] == 1
    assert host.lines("folder: stores again")[0]["not_stored"] == 30
    host.store("again", b=b"3")
    host.until(32)
    assert host.told[-1] == ("again", True) and host.writer.close(5000)
    assert reread(tmp_path / "f") == {"a": b"1", "b": b"3"}


def test_one_store_that_makes_no_sense_fails_alone(tmp_path):
    host = Host(tmp_path / "f")
    host.os.free.clear()
    host.store("first", a=b"1")
    time.sleep(0.02)
    host.store("empty key", **{"": b"1"})
    host.store("no bytes", a=[])
    host.store("good", b=b"2")
    host.os.free.set()
    host.until(4)
    assert dict(host.told) == {"first": True, "empty key": False, "no bytes": False, "good": True}
    host.store("large", c=bytes(MOST))
    host.until(5)
    assert host.told[-1] == ("large", False) and host.writer.counts["refused"] == 3
    assert len(host.lines("folder: a store refused")) == 1
    host.writer.close(5000)


def test_end_writes_what_waits(tmp_path):
    host = Host(tmp_path / "f")
    for i in range(50):
        host.store(i, **{f"k{i}": b"1"})
    assert host.writer.close(5000) and host.told == [(i, True) for i in range(50)]
    host.store("late", a=b"1")
    assert host.told[-1] == ("late", False) and len(reread(tmp_path / "f")) == 50
    while not host.calls.empty():
        host.turn()
    assert len(host.told) == 51  # each was told once


def test_end_in_time_with_a_disk_that_stalls(tmp_path):
    host = Host(tmp_path / "f")
    host.os.free.clear()
    host.os.at_fsync.clear()
    host.store("stalled", a=b"1")
    assert host.os.at_fsync.wait(5)
    host.store("behind it", b=b"1")
    began = time.monotonic()
    assert host.writer.close(100) is False and time.monotonic() - began < 2.0
    assert host.told == [("stalled", False), ("behind it", False)]
    host.os.free.set()
    host.writer._thread.join(5)
    while not host.calls.empty():
        host.turn()
    assert len(host.told) == 2 and reread(tmp_path / "f") == {
        "a": b"1"
    }  # 'not known' it was, and it is there


def test_a_folder_that_opens_late_tells_its_state_once(tmp_path):
    filled = DurableStore(tmp_path / "f", "fleet", "front", MOST)
    filled.append({"old": b"1"})
    filled.flush(0.0)
    filled.close()

    class Unread(HeldOs):
        gone = True

        def listdir(self, path):
            if self.gone:
                raise OSError(errno.EIO, "told to fail")
            return super().listdir(path)

    host = Host(tmp_path / "f", Unread())
    host.store("early", a=b"1")
    assert host.told == [("early", False)] and not host.late
    host.os.gone = False
    deadline = time.monotonic() + 5
    while host.writer.trouble and time.monotonic() < deadline:
        time.sleep(0.01)
    host.store("read, not told yet", old=b"2")
    assert host.told[1:] == [("read, not told yet", False)]
    host.turn()
    assert host.late == [{"old": b"1"}]
    host.store("later", a=b"1")
    host.until(3)
    assert host.told[-1] == ("later", True) and host.writer.counts["early"] == 2
    host.writer.close(5000)
    assert len(host.late) == 1 and reread(tmp_path / "f") == {"old": b"1", "a": b"1"}


def test_files_left_out_are_said_in_one_line(tmp_path):
    host = Host(tmp_path / "f")
    host.store("a", a=b"1")
    host.until(1)
    host.writer.close(5000)
    with open(tmp_path / "f" / f"{host.folder.generation:012d}.journal", "ab") as out:
        out.write(b"torn")
    host = Host(tmp_path / "f")
    (line,) = host.lines("folder: files left out")
    assert line["bytes"] == 4 and "cut off" in line["files"][0] and host.folder.state == {"a": b"1"}
    host.writer.close(5000)


def test_errors_of_the_host_leave_the_others_told(tmp_path):
    host = Host(tmp_path / "f")

    def wrong(ok):
        raise RuntimeError("the host's own")

    host.writer.store({"a": b"1"}, wrong)
    host.store("after", a=b"2")
    host.until(1)
    assert host.told == [("after", True)] and len(host.lines("folder: error in what a store is told to")) == 1
    host.writer.close(5000)


def test_many_chance_failures_and_stalls(tmp_path):
    """Whatever the disk does: each store is told once, and the last one told yes of each key is there, or a later one
    told no."""
    rng = random.Random(3)

    class Chance(HeldOs):
        def fsync(self, fd):
            if rng.random() < 0.03:
                raise OSError(errno.EIO, "told to fail")
            super().fsync(fd)

    host = Host(tmp_path / "f", Chance(), most=64 << 10)
    for i in range(300):
        host.store(i, **{f"k{i % 7}": b"%d" % i})
        if rng.random() < 0.1:
            host.turn()
            time.sleep(0.01)
    host.writer.close(10_000)
    assert sorted(name for name, _ in host.told) == list(range(300))
    yes = {name for name, ok in host.told if ok}
    assert 0 < len(yes) < 300
    state = reread(tmp_path / "f")
    for k in range(7):
        last = max((i for i in yes if i % 7 == k), default=None)
        found = int(state[f"k{k}"]) if f"k{k}" in state else -1
        assert found == last or found > last and found not in yes


def test_it_needs_no_reactor():
    code = "import sys, lichenquay.storage.writer, lichenquay.storage.incarnation\nassert 'twisted.internet.reactor' not in sys.modules"
    subprocess.run([sys.executable, "-c", code], cwd=Path(__file__).parent.parent, check=True)
