"""The thread that writes a store: order, batches, limits, a stalled or failing disk, bounded close."""

import errno
import queue
import random
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from storage_real import MAX_BYTES, open_store
from structlog.testing import CapturingLogger

from lichenquay.storage.file_system import FileSystem
from lichenquay.storage.writer import StoreWriter

ROOT = Path(__file__).parent.parent
ERROR_TEXT = "injected failure"


class BlockingFileSystem(FileSystem):
    """A file system whose fsync blocks while `is_free` is cleared; writes raise the errno `write_error`."""

    def __init__(self):
        """Starts without blocking or failures."""
        self.is_free = threading.Event()
        self.is_at_fsync = threading.Event()
        self.write_error = None
        self.fsyncs = 0
        self.is_free.set()

    def write(self, descriptor, data):
        """Writes, or fails with `write_error`."""
        if self.write_error:
            raise OSError(self.write_error, ERROR_TEXT)
        return super().write(descriptor, data)

    def fsync(self, descriptor):
        """Waits until `is_free` is set."""
        self.fsyncs += 1
        self.is_at_fsync.set()
        self.is_free.wait(20)
        super().fsync(descriptor)

    def block(self):
        """Lets fsync block from now on."""
        self.is_free.clear()
        self.is_at_fsync.clear()


class UnreadableFileSystem(BlockingFileSystem):
    """A file system that cannot list directories while `is_unreadable`."""

    is_unreadable = True

    def listdir(self, path):
        """Lists a directory, or fails while `is_unreadable`."""
        if self.is_unreadable:
            raise OSError(errno.EIO, ERROR_TEXT)
        return super().listdir(path)


class UnreliableFileSystem(BlockingFileSystem):
    """A file system whose fsync fails at random."""

    def __init__(self, rng):
        """Starts with the source of random failures."""
        super().__init__()
        self.rng = rng

    def fsync(self, descriptor):
        """Fails with a probability of 3%."""
        if self.rng.random() < 0.03:
            raise OSError(errno.EIO, ERROR_TEXT)
        super().fsync(descriptor)


class Host:
    """A test double for the reactor, which queues the calls of the writer thread for the test's thread."""

    def __init__(self, path, file_system=None, max_bytes=MAX_BYTES, **more):
        """Starts a writer for the store at `path`."""
        self.calls = queue.SimpleQueue()
        self.results = []  # (name, whether it is stored)
        self.log = CapturingLogger()
        self.opened_states = []
        self.file_system = file_system or BlockingFileSystem()
        self.store_under_test = open_store(
            path, max_bytes=max_bytes, file_system=self.file_system, now_ms=self.now_ms()
        )
        self.writer = StoreWriter(
            self.store_under_test,
            lambda function, *arguments: self.calls.put((function, arguments)),
            self.now_ms,
            on_open=self.opened_states.append,
            log=BoundLogger(self.log),
            **more,
        )

    def now_ms(self):
        """Returns the time of the monotonic clock."""
        return time.monotonic() * 1000

    def store(self, name, **changes):
        """Stores changes; their result is recorded only if it arrives in this thread."""
        thread = threading.get_ident()

        def on_result(is_stored):
            if threading.get_ident() == thread:
                self.results.append((name, is_stored))

        self.writer.store(changes, on_result)

    def run_one_call(self, timeout_s=10):
        """Runs one queued call of the writer thread."""
        function, arguments = self.calls.get(timeout=timeout_s)
        function(*arguments)

    def run_all_calls(self):
        """Runs all queued calls."""
        while not self.calls.empty():
            self.run_one_call()

    def run_until_results(self, number):
        """Runs queued calls until this number of results has arrived."""
        while len(self.results) < number:
            self.run_one_call()

    def wait_for_recovery(self):
        """Waits up to 5 s until the writer recovers by its own timer; stores nothing meanwhile."""
        deadline_s = time.monotonic() + 5
        while self.writer.last_error and time.monotonic() < deadline_s:
            time.sleep(0.01)

    def lines(self, event):
        """Returns the keys of the log lines of an event."""
        return [call.kwargs for call in self.log.calls if call.args == (event,)]


class BoundLogger:
    """A test double for the parts of structlog's bound logger that the writer uses."""

    def __init__(self, log, **keys):
        """Adds `keys` to every line."""
        self.log = log
        self.keys = keys

    def bind(self, **keys):
        """Returns a logger with additional keys."""
        return BoundLogger(self.log, **{**self.keys, **keys})

    def __getattr__(self, level):
        """Returns a method for a level."""
        return lambda event, **keys: getattr(self.log, level)(event, **{**self.keys, **keys})


def reread(path):
    """Returns the state that a restart finds."""
    store = open_store(path)
    store.close()
    return dict(store.state)


def test_writes_are_stored_and_reported_in_order(tmp_path):
    """A restart finds the last value of each section."""
    host = Host(tmp_path / "f")
    for number in range(200):
        host.store(number, n=b"%d" % number, **{f"k{number % 5}": b"%d" % number})
    host.run_until_results(200)
    assert host.results == [(number, True) for number in range(200)]
    assert host.writer.queued_writes() == 0
    assert host.writer.close(5000)
    expected = {f"k{number % 5}": b"%d" % number for number in range(195, 200)}
    assert reread(tmp_path / "f") == {"n": b"199", **expected}


def test_queued_writes_are_stored_with_one_fsync(tmp_path):
    """They were queued while the disk was busy."""
    host = Host(tmp_path / "f")
    host.file_system.block()
    host.store("first", a=b"1")
    assert host.file_system.is_at_fsync.wait(5)
    before = host.file_system.fsyncs
    for number in range(100):
        host.store(number, a=b"%d" % number)
    host.file_system.is_free.set()
    host.run_until_results(101)
    assert host.file_system.fsyncs == before + 1
    assert host.writer.counts["batches"] == 2
    assert host.writer.counts["stored"] == 101
    host.writer.close(5000)


@pytest.mark.parametrize("max_queued, max_bytes, size", [(10, MAX_BYTES, 10), (1000, 64 << 10, 1000)])
def test_a_stalled_fsync_does_not_block_the_host(tmp_path, max_queued, max_bytes, size):
    """The queue is limited in number and bytes; further writes fail immediately."""
    host = Host(tmp_path / "f", max_bytes=max_bytes, max_queued=max_queued)
    assert host.writer.stalled_ms(host.now_ms()) == 0.0
    host.file_system.block()
    host.store("first", a=b"1")
    assert host.file_system.is_at_fsync.wait(5)
    began_s = time.monotonic()
    for number in range(100):
        host.store(number, **{f"k{number}": bytes(size)})
    assert time.monotonic() - began_s < 1.0
    rejected = [name for name, is_stored in host.results if not is_stored]
    assert rejected
    assert rejected == list(range(100 - len(rejected), 100))
    assert host.writer.counts["queue_full"] == len(rejected)
    assert len(rejected) == 90 if max_queued == 10 else 90 < len(rejected) < 98
    assert len(host.lines("folder: write queue is full")) == 1
    time.sleep(0.05)
    assert host.writer.stalled_ms(host.now_ms()) >= 50.0
    assert host.calls.empty()
    host.file_system.is_free.set()
    host.run_until_results(101)
    stored = sorted(name for name, is_stored in host.results if is_stored and name != "first")
    assert stored == list(range(100 - len(rejected)))
    host.writer.close(5000)
    assert host.writer.stalled_ms(host.now_ms()) == 0.0
    assert host.writer.counts["longest_write_ms"] >= 50.0


def test_a_failing_disk_is_logged_once_and_recovers_by_the_timer(tmp_path):
    """Failures are counted, and no further write is needed for the recovery."""
    host = Host(tmp_path / "f")
    host.store("good", a=b"1")
    host.run_until_results(1)
    host.file_system.write_error = errno.ENOSPC
    for number in range(30):
        host.store(number, a=b"2")
        host.run_until_results(number + 2)
    assert host.results[1:] == [(number, False) for number in range(30)]
    assert ERROR_TEXT in host.writer.last_error
    assert host.writer.counts["failed"] == 30
    assert 1 <= host.writer.counts["failures"] < 5
    (line,) = host.lines("folder: does not store")
    assert line["member"] == "gateway"
    assert ERROR_TEXT in line["why"]
    host.file_system.write_error = None
    host.wait_for_recovery()
    assert host.writer.last_error is None
    assert host.writer.counts["recovered"] == 1
    assert host.lines("folder: stores again")[0]["not_stored"] == 30
    host.store("again", b=b"3")
    host.run_until_results(32)
    assert host.results[-1] == ("again", True)
    assert host.writer.close(5000)
    assert reread(tmp_path / "f") == {"a": b"1", "b": b"3"}


def test_an_invalid_change_does_not_fail_other_writes(tmp_path):
    """One key and one value are invalid, another value is too large."""
    host = Host(tmp_path / "f")
    host.file_system.is_free.clear()
    host.store("first", a=b"1")
    time.sleep(0.02)
    host.store("empty key", **{"": b"1"})
    host.store("no bytes", a=[])
    host.store("good", b=b"2")
    host.file_system.is_free.set()
    host.run_until_results(4)
    assert dict(host.results) == {"first": True, "empty key": False, "no bytes": False, "good": True}
    host.store("large", c=bytes(MAX_BYTES))
    host.run_until_results(5)
    assert host.results[-1] == ("large", False)
    assert host.writer.counts["rejected"] == 3
    assert len(host.lines("folder: change rejected")) == 1
    host.writer.close(5000)


def test_close_writes_the_queue(tmp_path):
    """Later writes are rejected; each write has one result."""
    host = Host(tmp_path / "f")
    for number in range(50):
        host.store(number, **{f"k{number}": b"1"})
    assert host.writer.close(5000)
    assert host.results == [(number, True) for number in range(50)]
    host.store("late", a=b"1")
    assert host.results[-1] == ("late", False)
    assert len(reread(tmp_path / "f")) == 50
    host.run_all_calls()
    assert len(host.results) == 51


def test_close_returns_in_time_while_the_disk_stalls(tmp_path):
    """The write in flight is reported as not stored, but may be on disk."""
    host = Host(tmp_path / "f")
    host.file_system.block()
    host.store("stalled", a=b"1")
    assert host.file_system.is_at_fsync.wait(5)
    host.store("queued", b=b"1")
    began_s = time.monotonic()
    assert host.writer.close(100) is False
    assert time.monotonic() - began_s < 2.0
    assert host.results == [("stalled", False), ("queued", False)]
    host.file_system.is_free.set()
    host.writer._thread.join(5)
    host.run_all_calls()
    assert len(host.results) == 2
    assert reread(tmp_path / "f") == {"a": b"1"}


def test_a_store_that_opens_late_reports_its_state_once(tmp_path):
    """Changes are rejected until then."""
    earlier = open_store(tmp_path / "f")
    earlier.append({"old": b"1"})
    earlier.flush(0.0)
    earlier.close()
    host = Host(tmp_path / "f", UnreadableFileSystem())
    host.store("early", a=b"1")
    assert host.results == [("early", False)]
    assert not host.opened_states
    host.file_system.is_unreadable = False
    host.wait_for_recovery()
    host.store("read, not reported yet", old=b"2")
    assert host.results[1:] == [("read, not reported yet", False)]
    host.run_one_call()
    assert host.opened_states == [{"old": b"1"}]
    host.store("later", a=b"1")
    host.run_until_results(3)
    assert host.results[-1] == ("later", True)
    assert host.writer.counts["before_open"] == 2
    host.writer.close(5000)
    assert len(host.opened_states) == 1
    assert reread(tmp_path / "f") == {"old": b"1", "a": b"1"}


def test_skipped_files_are_logged_in_one_line(tmp_path):
    """The line has the bytes and the reason."""
    host = Host(tmp_path / "f")
    host.store("a", a=b"1")
    host.run_until_results(1)
    host.writer.close(5000)
    with open(tmp_path / "f" / f"{host.store_under_test.generation:012d}.journal", "ab") as out:
        out.write(b"torn")
    host = Host(tmp_path / "f")
    (line,) = host.lines("folder: files skipped")
    assert line["bytes"] == 4
    assert "truncated record" in line["files"][0]
    assert host.store_under_test.state == {"a": b"1"}
    host.writer.close(5000)


def test_an_error_in_a_callback_does_not_keep_the_others_from_their_result(tmp_path):
    """The error is logged."""
    host = Host(tmp_path / "f")

    def fail(is_stored):
        raise RuntimeError("error of the host")

    host.writer.store({"a": b"1"}, fail)
    host.store("after", a=b"2")
    host.run_until_results(1)
    assert host.results == [("after", True)]
    assert len(host.lines("folder: error in the callback of a write")) == 1
    host.writer.close(5000)


def test_random_failures_and_stalls_lose_no_stored_write(tmp_path):
    """Each write has one result.

    A restart finds the last value of each key that was reported as stored, or a later one that was not.
    """
    rng = random.Random(3)
    host = Host(tmp_path / "f", UnreliableFileSystem(rng), max_bytes=64 << 10)
    for number in range(300):
        host.store(number, **{f"k{number % 7}": b"%d" % number})
        if rng.random() < 0.1:
            host.run_one_call()
            time.sleep(0.01)
    host.writer.close(10_000)
    assert sorted(name for name, _ in host.results) == list(range(300))
    stored = {name for name, is_stored in host.results if is_stored}
    assert 0 < len(stored) < 300
    state = reread(tmp_path / "f")
    for key in range(7):
        last = max((number for number in stored if number % 7 == key), default=None)
        found = int(state[f"k{key}"]) if f"k{key}" in state else -1
        assert found == last or found > last and found not in stored


def test_the_writer_does_not_import_the_reactor():
    """Importing it would install a reactor for the whole process."""
    code = (
        "import sys, lichenquay.storage.writer, lichenquay.storage.incarnation\n"
        "assert 'twisted.internet.reactor' not in sys.modules"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)
