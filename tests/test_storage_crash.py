"""A store over a simulated disk: power lost at every call, failing calls, short writes, failed fsyncs."""

import errno
import os
import random
from contextlib import suppress

import pytest
from storage_sim import AllowedStates, Disk, PowerOff, SimulatedFileSystem, Survival

from lichenquay.storage.errors import NotStoredError, UnusableStoreError
from lichenquay.storage.file_names import file_name
from lichenquay.storage.record_format import FileKind
from lichenquay.storage.store import DurableStore

RUNS = int(os.environ.get("LICHENQUAY_FOLDER_RUNS", "1"))  # a longer search by a larger number
MAX_BYTES = 4096 * 8  # the least bound: a journal of 4 KiB, so that compactions come by size too
PATH = "/disk/f"


def open_store(file_system, now_ms=0.0):
    """The store of one process."""
    return DurableStore(PATH, "fleet", "front", MAX_BYTES, file_system=file_system, now_ms=now_ms)


def batch_of(step, rng):
    """Changes that tell their step, so that two histories never look the same; some large, some deletions."""
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
    """A process that opens, appends, compacts, and starts again. Time runs so that each step may recover."""
    rng = random.Random(seed)
    now_ms = 0.0
    step = 0
    for _ in range(opens):
        folder = open_store(file_system, now_ms)
        if folder.is_open:
            allowed.check(folder.state)
            if folder.is_durable:
                allowed.record_stored(folder.state)
        for _ in range(steps // opens):
            step += 1
            now_ms += 40_000.0
            batch = batch_of(step, rng)
            folder.retry(now_ms)
            now_ms += 40_000.0
            if folder.is_open:
                allowed.check(folder.state)
                if folder.is_durable and not folder.last_error:
                    allowed.record_stored(folder.state)
            try:
                for changes in batch:
                    folder.append(changes)
                after = allowed.begin_attempt(folder.state, batch)
                (folder.compact if step % 5 == 0 else folder.flush)(now_ms)
            except NotStoredError:
                assert folder.last_error
                continue
            assert dict(folder.state) == after
            allowed.record_stored(after)
        if folder.retry(now_ms + 40_000.0):
            allowed.record_stored(folder.state)
        folder.close()


def survivors(disk, seed, number=3):
    """What may be left after a kill or a power loss now."""
    rng = random.Random(seed)
    yield disk.after_kill()
    for survival in (Survival.NONE, Survival.ALL, *[Survival.SOME] * number):
        yield disk.after_power_loss(rng, survival)


def check_reads(disk, allowed):
    """What is found is allowed, and is found again when power goes at once."""
    folder = open_store(SimulatedFileSystem(disk))
    assert folder.is_durable and not folder.last_error
    allowed.check(folder.state)
    state = dict(folder.state)
    again = open_store(SimulatedFileSystem(disk.after_power_loss(random.Random(0), Survival.NONE)))
    assert dict(again.state) == state and not again.skipped_files


@pytest.mark.parametrize("seed", range(RUNS))
@pytest.mark.parametrize("max_write_bytes", [None, 300])
def test_power_lost_at_every_call(seed, max_write_bytes):
    """What is found afterwards is allowed."""
    whole = SimulatedFileSystem(Disk(), max_write_bytes=max_write_bytes)
    play(whole, AllowedStates(), seed)
    names = {call[0] for call in whole.calls}
    assert names >= {"rename", "unlink", "mkdir", "fsync", "write", "read"} and len(whole.calls) > 200
    for at in range(len(whole.calls)):
        disk, allowed = Disk(), AllowedStates()
        file_system = SimulatedFileSystem(disk, crash_at=at, max_write_bytes=max_write_bytes)
        with pytest.raises(PowerOff):
            play(file_system, allowed, seed)
        for left in survivors(disk, at):
            check_reads(left, allowed)


@pytest.mark.parametrize("seed", range(3 * RUNS))
def test_power_lost_again_and_again(seed):
    """Crashes at chance calls, also while the start after a crash is writing; every life goes on from what
    the last one left."""
    rng = random.Random(seed)
    for _ in range(12):
        disk, allowed = Disk(), AllowedStates()
        for _ in range(8):
            file_system = SimulatedFileSystem(
                disk, crash_at=rng.randrange(120), max_write_bytes=rng.choice((None, 100))
            )
            with suppress(PowerOff):
                play(file_system, allowed, rng.random())
            disk = rng.choice(list(survivors(disk, rng.random(), 1)))
        check_reads(disk, allowed)


def fails_from(first, last, error_number, only=None):
    """Calls from the `first` to before the `last` fail, or those of them with these names."""

    def fails(number, name):
        is_hit = first <= number < last and (only is None or name in only)
        return error_number if is_hit else None

    return fails


def fails_while(flags, error_number, names):
    """Calls of these names fail while the list `flags` has anything in it."""
    return lambda number, name: error_number if flags and name in names else None


def fails_once_for_each(flags):
    """One fsync fails for each item of the list `flags`, which it takes out."""
    return lambda number, name: errno.EIO if name == "fsync" and flags and flags.pop() else None


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EDQUOT])
def test_each_call_fails_once(number):
    """Nothing is reported as stored that is not, and a power loss after the recovery takes nothing."""
    whole = SimulatedFileSystem(Disk())
    play(whole, AllowedStates())
    for at in range(0, len(whole.calls), 1 if RUNS > 1 or number == errno.EIO else 3):
        disk, allowed = Disk(), AllowedStates()
        play(SimulatedFileSystem(disk, fails=fails_from(at, at + 1, number)), allowed)
        assert len(allowed.states) == 1, whole.calls[at]
        for left in survivors(disk, at, 1):
            check_reads(left, allowed)


@pytest.mark.parametrize("seed", range(40 * RUNS))
def test_failures_that_last_and_power_lost_within(seed):
    """Some kinds of calls fail for a while, with short writes before it; then power goes, at chance."""
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
        with suppress(PowerOff):
            play(file_system, allowed, seed)
        for left in survivors(disk, seed):
            check_reads(left, allowed)


def test_after_a_failed_fsync_all_is_written_anew():
    """The page cache has the record; only a new file puts it on disk."""
    disk = Disk()
    bad = []
    file_system = SimulatedFileSystem(disk, fails=fails_once_for_each(bad))
    folder = open_store(file_system)
    folder.append({"a": b"1"})
    folder.flush(0.0)
    before = folder.generation
    bad.append(True)
    folder.append({"a": b"2"})
    with pytest.raises(NotStoredError):
        folder.flush(1.0)
    assert folder.state["a"] == b"1"
    folder.append({"b": b"3"})
    with pytest.raises(NotStoredError):  # too early
        folder.flush(2.0)
    assert not folder.retry(2.0) and folder.retry(folder.due_ms)
    folder.append({"b": b"4"})
    folder.flush(folder.due_ms)
    assert folder.generation == before + 1
    found = open_store(SimulatedFileSystem(disk.after_power_loss(random.Random(0), Survival.NONE)))
    assert dict(found.state) == {"a": b"1", "b": b"4"}


def rot(disk, name):
    """One bit of a file flips, on disk for good."""
    write = disk.nodes[disk.find(f"{PATH}/{name}")].writes[0]
    write.data = write.data[:-1] + bytes([write.data[-1] ^ 1])


def test_what_failed_never_comes_back_between_later_records():
    """A failed record is whole in the old journal, the snapshot after it rots: no later journal follows."""
    disk, bad = Disk(), []
    folder = open_store(SimulatedFileSystem(disk, fails=fails_once_for_each(bad)))
    folder.append({"a": b"1"})
    folder.flush(0.0)
    bad.append(True)
    folder.append({"failed": b"2"})
    with pytest.raises(NotStoredError):
        folder.flush(1.0)
    folder.append({"later": b"3"})
    folder.flush(1000.0)
    left = disk.after_kill()
    assert open_store(SimulatedFileSystem(left)).state == {"a": b"1", "later": b"3"}
    left = disk.after_kill()
    rot(left, file_name(folder.generation, FileKind.SNAPSHOT))
    assert dict(open_store(SimulatedFileSystem(left)).state) in ({"a": b"1"}, {"a": b"1", "failed": b"2"})


def test_a_journal_after_a_gap_is_not_taken():
    """A snapshot rots; the journal before it lacks its end."""
    disk = Disk()
    folder = open_store(SimulatedFileSystem(disk))
    for i in range(4):
        folder.append({f"k{i}": b"1"})
        folder.flush(0.0)
        if i == 1:
            older = folder.generation
            folder.compact(0.0)
    folder.close()
    whole = disk.after_kill()
    rot(whole, file_name(folder.generation, FileKind.SNAPSHOT))
    assert sorted(open_store(SimulatedFileSystem(whole)).state) == [
        "k0",
        "k1",
        "k2",
        "k3",
    ]  # by the journal before
    rot(disk, file_name(folder.generation, FileKind.SNAPSHOT))
    journal = disk.nodes[disk.find(f"{PATH}/{file_name(older, FileKind.JOURNAL)}")]
    last_write = journal.writes[-1]
    last_write.data = bytes(len(last_write.data))
    found = open_store(SimulatedFileSystem(disk))
    assert sorted(found.state) == ["k0"] and any(
        "it follows record 2" in line for line in found.skipped_files
    )


def test_attempts_back_off():
    """From 250 ms to 30 s, without a call in between."""
    full = []
    file_system = SimulatedFileSystem(Disk(), fails=fails_while(full, errno.ENOSPC, ("write",)))
    folder = open_store(file_system)
    full.append(True)
    now_ms, waits = 0.0, []
    for _ in range(10):
        folder.append({"a": b"1"})
        with pytest.raises(NotStoredError, match="No space left"):
            folder.flush(now_ms)
        calls = len(file_system.calls)
        assert not folder.retry(folder.due_ms - 0.1) and len(file_system.calls) == calls
        waits.append(folder.due_ms - now_ms)
        now_ms = folder.due_ms
    assert waits[:3] == [250.0, 500.0, 1000.0] and waits[-1] == 30_000.0
    assert not any(
        name.endswith(".new") for name in file_system.listdir(PATH)
    )  # what a full disk refused takes no room
    full.clear()
    assert folder.retry(now_ms) and folder.last_error is None


def test_a_folder_that_cannot_be_read_yet_is_read_later():
    """Until then nothing is taken."""
    disk = Disk()
    folder = open_store(SimulatedFileSystem(disk))
    folder.append({"a": b"1"})
    folder.flush(0.0)
    folder.close()
    gone = [True]
    late = open_store(SimulatedFileSystem(disk, fails=fails_while(gone, errno.EIO, ("read", "listdir"))))
    assert not late.is_open and "Input/output" in late.last_error
    with pytest.raises(NotStoredError):
        late.append({"a": b"2"})
    gone.clear()
    assert late.retry(late.due_ms) and late.is_open and late.state == {"a": b"1"}


def test_bytes_that_the_disk_cannot_read_cost_their_generation_at_most():
    """EIO on one file for good: the state comes from the other files, which here lack nothing."""
    disk = Disk()
    folder = open_store(SimulatedFileSystem(disk))
    for i in range(6):
        folder.append({"a": b"%d" % i})
        (folder.compact if i % 2 else folder.flush)(0.0)
    folder.close()
    newest = f"{PATH}/{folder.generation:012d}.snapshot"
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
    assert 10_000.0 < found.due_ms < 20_000.0  # a disk that fails for a while has time to come back
    assert found.state == {"a": b"5"} and found.is_durable and len(found.skipped_files) == 1


def test_a_disk_that_fails_as_a_whole_costs_no_generation():
    """Reads and writes fail for a minute while a folder is opened: nothing is given up or set aside."""
    disk, fails = Disk(), [True]
    folder = open_store(SimulatedFileSystem(disk))
    for i in range(3):
        folder.append({"a": b"%d" % i})
        folder.flush(0.0)
    folder.close()
    late = open_store(SimulatedFileSystem(disk, fails=fails_while(fails, errno.EIO, ("read", "write"))))
    while late.due_ms < 90_000.0:
        assert not late.is_open and not late.state and not late.retry(late.due_ms)
    fails.clear()
    assert late.retry(late.due_ms) and late.state == {"a": b"2"} and not late.skipped_files


def test_lock_of_one_process():
    """Another gets it once it is released."""
    disk = Disk()
    first = open_store(SimulatedFileSystem(disk))
    with pytest.raises(UnusableStoreError, match="in use by another process"):
        open_store(SimulatedFileSystem(disk))
    first.close()
    assert open_store(SimulatedFileSystem(disk)).is_durable
