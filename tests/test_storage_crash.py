"""A store on a simulated disk: power loss at every call, failing calls, short writes, failed fsyncs."""

import errno
import os
import random
from contextlib import suppress

import pytest
from storage_sim import AllowedStates, Disk, PowerLoss, SimulatedFileSystem, Survival

from lichenquay.storage.errors import NotStoredError, UnusableStoreError
from lichenquay.storage.file_names import file_name
from lichenquay.storage.record_format import FileKind
from lichenquay.storage.store import DurableStore

RUNS = int(os.environ.get("LICHENQUAY_FOLDER_RUNS", "1"))  # larger numbers run more seeds
MAX_BYTES = 4096 * 8  # the minimum: a journal of 4 KiB, so that its size also triggers compactions
PATH = "/disk/f"


def open_store(file_system, now_ms=0.0):
    """Opens the store of one process."""
    return DurableStore(PATH, "fleet", "gateway", MAX_BYTES, file_system=file_system, now_ms=now_ms)


def batch_of(step, rng):
    """Returns changes, some large and some deletions, that contain the step so that all states differ."""
    batch = []
    for number in range(rng.choice((1, 1, 2, 3))):
        text = b"%d.%d" % (step, number)
        changed_key = f"k{rng.randrange(4)}"
        changes = {changed_key: text + bytes(rng.choice((0, 20, 500)))}
        changes[f"k{rng.randrange(4)}"] = None
        changes["step"] = text
        batch.append(changes)
    return batch


def play(file_system, allowed, seed=1, steps=14, opens=3):
    """Opens, appends, compacts and reopens a store. Enough time passes for a retry before each step."""
    rng = random.Random(seed)
    now_ms = 0.0
    step = 0
    for _ in range(opens):
        store = open_store(file_system, now_ms)
        if store.is_open:
            allowed.check(store.state)
            if store.is_durable:
                allowed.record_stored(store.state)
        for _ in range(steps // opens):
            step += 1
            now_ms += 40_000.0
            batch = batch_of(step, rng)
            store.retry(now_ms)
            now_ms += 40_000.0
            if store.is_open:
                allowed.check(store.state)
                if store.is_durable and not store.last_error:
                    allowed.record_stored(store.state)
            try:
                for changes in batch:
                    store.append(changes)
                after = allowed.begin_attempt(store.state, batch)
                (store.compact if step % 5 == 0 else store.flush)(now_ms)
            except NotStoredError:
                assert store.last_error
                continue
            assert dict(store.state) == after
            allowed.record_stored(after)
        if store.retry(now_ms + 40_000.0):
            allowed.record_stored(store.state)
        store.close()


def survivors(disk, seed, number=3):
    """Yields disks as they may be after a kill or a power loss now."""
    rng = random.Random(seed)
    yield disk.after_kill()
    for survival in (Survival.NONE, Survival.ALL, *[Survival.SOME] * number):
        yield disk.after_power_loss(rng, survival)


def check_reads(disk, allowed):
    """Checks that the recovered state is allowed, and is durable as soon as the store is open."""
    store = open_store(SimulatedFileSystem(disk))
    assert store.is_durable and not store.last_error
    allowed.check(store.state)
    state = dict(store.state)
    again = open_store(SimulatedFileSystem(disk.after_power_loss(random.Random(0), Survival.NONE)))
    assert dict(again.state) == state and not again.skipped_files


@pytest.mark.parametrize("seed", range(RUNS))
@pytest.mark.parametrize("max_write_bytes", [None, 300])
def test_power_loss_at_every_call(seed, max_write_bytes):
    """Recovery finds an allowed state."""
    uninterrupted = SimulatedFileSystem(Disk(), max_write_bytes=max_write_bytes)
    play(uninterrupted, AllowedStates(), seed)
    names = {call[0] for call in uninterrupted.calls}
    assert names >= {"rename", "unlink", "mkdir", "fsync", "write", "read"} and len(uninterrupted.calls) > 200
    for at in range(len(uninterrupted.calls)):
        disk, allowed = Disk(), AllowedStates()
        file_system = SimulatedFileSystem(disk, crash_at=at, max_write_bytes=max_write_bytes)
        with pytest.raises(PowerLoss):
            play(file_system, allowed, seed)
        for left in survivors(disk, at):
            check_reads(left, allowed)


@pytest.mark.parametrize("seed", range(3 * RUNS))
def test_repeated_power_loss_at_random_calls(seed):
    """Recovery finds an allowed state also after a crash while it was writing."""
    rng = random.Random(seed)
    for _ in range(12):
        disk, allowed = Disk(), AllowedStates()
        for _ in range(8):
            file_system = SimulatedFileSystem(
                disk, crash_at=rng.randrange(120), max_write_bytes=rng.choice((None, 100))
            )
            with suppress(PowerLoss):
                play(file_system, allowed, rng.random())
            disk = rng.choice(list(survivors(disk, rng.random(), 1)))
        check_reads(disk, allowed)


def fails_from(first, last, error_number, only=None):
    """Returns a `fails` for the calls from `first` to before `last`, restricted to the names in `only`."""

    def fails(number, name):
        is_failing = first <= number < last and (only is None or name in only)
        return error_number if is_failing else None

    return fails


def fails_while(flags, error_number, names):
    """Returns a `fails` for calls of these names while the list `flags` is not empty."""
    return lambda number, name: error_number if flags and name in names else None


def fails_once_for_each(flags):
    """Returns a `fails` for one fsync per item of the list `flags`, from which it removes the item."""
    return lambda number, name: errno.EIO if name == "fsync" and flags and flags.pop() else None


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EDQUOT])
def test_each_call_fails_once(number):
    """Only stored records are reported as stored, and a power loss after the recovery loses none."""
    uninterrupted = SimulatedFileSystem(Disk())
    play(uninterrupted, AllowedStates())
    for at in range(0, len(uninterrupted.calls), 1 if RUNS > 1 or number == errno.EIO else 3):
        disk, allowed = Disk(), AllowedStates()
        play(SimulatedFileSystem(disk, fails=fails_from(at, at + 1, number)), allowed)
        assert len(allowed.states) == 1, uninterrupted.calls[at]
        for left in survivors(disk, at, 1):
            check_reads(left, allowed)


@pytest.mark.parametrize("seed", range(40 * RUNS))
def test_power_loss_during_lasting_failures(seed):
    """Some kinds of calls fail for a while, with short writes; then power is lost at a random call."""
    rng = random.Random(seed)
    first = rng.randrange(300)
    only = rng.choice(
        (
            None,
            ("fsync",),
            ("write",),
            ("write", "fsync"),
            ("rename",),
            ("unlink", "rename"),
            ("fsync", "unlink"),
        )
    )
    fails = fails_from(
        first, first + rng.randrange(1, 80), rng.choice((errno.ENOSPC, errno.EIO, errno.EROFS)), only
    )
    for crash_at in (first + 5, first + rng.randrange(100), first + rng.randrange(200)):
        disk, allowed = Disk(), AllowedStates()
        file_system = SimulatedFileSystem(disk, crash_at, fails, rng.choice((None, 100)))
        with suppress(PowerLoss):
            play(file_system, allowed, seed)
        for left in survivors(disk, seed):
            check_reads(left, allowed)


def test_a_new_generation_is_written_after_a_failed_fsync():
    """The record is only in the page cache; only a new file stores it on disk."""
    disk = Disk()
    fsync_failures = []
    file_system = SimulatedFileSystem(disk, fails=fails_once_for_each(fsync_failures))
    store = open_store(file_system)
    store.append({"a": b"1"})
    store.flush(0.0)
    before = store.generation
    fsync_failures.append(True)
    store.append({"a": b"2"})
    with pytest.raises(NotStoredError):
        store.flush(1.0)
    assert store.state["a"] == b"1"
    store.append({"b": b"3"})
    with pytest.raises(NotStoredError):  # too early
        store.flush(2.0)
    assert not store.retry(2.0) and store.retry(store.due_ms)
    store.append({"b": b"4"})
    store.flush(store.due_ms)
    assert store.generation == before + 1
    found = open_store(SimulatedFileSystem(disk.after_power_loss(random.Random(0), Survival.NONE)))
    assert dict(found.state) == {"a": b"1", "b": b"4"}


def flip_bit_on_disk(disk, name):
    """Flips one bit of a file permanently."""
    write = disk.nodes[disk.find(f"{PATH}/{name}")].writes[0]
    write.data = write.data[:-1] + bytes([write.data[-1] ^ 1])


def test_a_failed_record_never_reappears_among_later_records():
    """A failed record is complete in the old journal, and the next snapshot is corrupt.

    Recovery must not apply the next journal after it.
    """
    disk, fsync_failures = Disk(), []
    store = open_store(SimulatedFileSystem(disk, fails=fails_once_for_each(fsync_failures)))
    store.append({"a": b"1"})
    store.flush(0.0)
    fsync_failures.append(True)
    store.append({"failed": b"2"})
    with pytest.raises(NotStoredError):
        store.flush(1.0)
    store.append({"later": b"3"})
    store.flush(1000.0)
    left = disk.after_kill()
    assert open_store(SimulatedFileSystem(left)).state == {"a": b"1", "later": b"3"}
    left = disk.after_kill()
    flip_bit_on_disk(left, file_name(store.generation, FileKind.SNAPSHOT))
    assert dict(open_store(SimulatedFileSystem(left)).state) in ({"a": b"1"}, {"a": b"1", "failed": b"2"})


def test_a_journal_after_a_gap_is_skipped():
    """The newest snapshot is corrupt and the journal before it is truncated."""
    disk = Disk()
    store = open_store(SimulatedFileSystem(disk))
    for i in range(4):
        store.append({f"k{i}": b"1"})
        store.flush(0.0)
        if i == 1:
            older = store.generation
            store.compact(0.0)
    store.close()
    complete = disk.after_kill()
    flip_bit_on_disk(complete, file_name(store.generation, FileKind.SNAPSHOT))
    assert sorted(open_store(SimulatedFileSystem(complete)).state) == [
        "k0",
        "k1",
        "k2",
        "k3",
    ]  # by the journal before
    flip_bit_on_disk(disk, file_name(store.generation, FileKind.SNAPSHOT))
    journal = disk.nodes[disk.find(f"{PATH}/{file_name(older, FileKind.JOURNAL)}")]
    last_write = journal.writes[-1]
    last_write.data = bytes(len(last_write.data))
    found = open_store(SimulatedFileSystem(disk))
    assert sorted(found.state) == ["k0"] and any(
        "follows record 2, the state ends at 1" in line for line in found.skipped_files
    )


def test_retries_back_off():
    """The interval grows from 250 ms to 30 s; between retries no call is made."""
    full = []
    file_system = SimulatedFileSystem(Disk(), fails=fails_while(full, errno.ENOSPC, ("write",)))
    store = open_store(file_system)
    full.append(True)
    now_ms, waits = 0.0, []
    for _ in range(10):
        store.append({"a": b"1"})
        with pytest.raises(NotStoredError, match="No space left"):
            store.flush(now_ms)
        calls = len(file_system.calls)
        assert not store.retry(store.due_ms - 0.1) and len(file_system.calls) == calls
        waits.append(store.due_ms - now_ms)
        now_ms = store.due_ms
    assert waits[:3] == [250.0, 500.0, 1000.0] and waits[-1] == 30_000.0
    assert not any(
        name.endswith(".new") for name in file_system.listdir(PATH)
    )  # incomplete files do not occupy a full disk
    full.clear()
    assert store.retry(now_ms) and store.last_error is None


def test_a_folder_that_cannot_be_read_is_read_later():
    """Until then changes are rejected."""
    disk = Disk()
    store = open_store(SimulatedFileSystem(disk))
    store.append({"a": b"1"})
    store.flush(0.0)
    store.close()
    unreadable = [True]
    late = open_store(
        SimulatedFileSystem(disk, fails=fails_while(unreadable, errno.EIO, ("read", "listdir")))
    )
    assert not late.is_open and "Input/output" in late.last_error
    with pytest.raises(NotStoredError):
        late.append({"a": b"2"})
    unreadable.clear()
    assert late.retry(late.due_ms) and late.is_open and late.state == {"a": b"1"}


def test_an_unreadable_file_loses_at_most_its_generation():
    """One file always fails with EIO; the state comes from the other files, which are complete here."""
    disk = Disk()
    store = open_store(SimulatedFileSystem(disk))
    for i in range(6):
        store.append({"a": b"%d" % i})
        (store.compact if i % 2 else store.flush)(0.0)
    store.close()
    newest = f"{PATH}/{store.generation:012d}.snapshot"
    file_system = SimulatedFileSystem(disk)
    inode = disk.find(newest)
    read = file_system.read

    def fail_on_sector(descriptor, size):
        if file_system.descriptors[descriptor].node == inode:
            raise OSError(errno.EIO, "Input/output error")
        return read(descriptor, size)

    file_system.read = fail_on_sector
    found, tries = open_store(file_system), 1
    while not found.is_open and tries < 10:
        assert not found.state and "Input/output error" in found.last_error
        found.retry(found.due_ms)
        tries += 1
    assert 10_000.0 < found.due_ms < 20_000.0  # a disk that fails temporarily has time to recover
    assert found.state == {"a": b"5"} and found.is_durable and len(found.skipped_files) == 1


def test_a_temporary_failure_of_the_whole_disk_loses_no_generation():
    """Reads and writes fail for over a minute while a store is opened; no file is skipped or set aside."""
    disk, fails = Disk(), [True]
    store = open_store(SimulatedFileSystem(disk))
    for i in range(3):
        store.append({"a": b"%d" % i})
        store.flush(0.0)
    store.close()
    late = open_store(SimulatedFileSystem(disk, fails=fails_while(fails, errno.EIO, ("read", "write"))))
    while late.due_ms < 90_000.0:
        assert not late.is_open and not late.state and not late.retry(late.due_ms)
    fails.clear()
    assert late.retry(late.due_ms) and late.state == {"a": b"2"} and not late.skipped_files


def test_only_one_process_can_lock_a_folder():
    """Another process can lock it once it is released."""
    disk = Disk()
    first = open_store(SimulatedFileSystem(disk))
    with pytest.raises(UnusableStoreError, match="in use by another process"):
        open_store(SimulatedFileSystem(disk))
    first.close()
    assert open_store(SimulatedFileSystem(disk)).is_durable
