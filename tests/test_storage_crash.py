"""A folder over a simulated disk: power lost or killed at every call, every call failing, short writes, failed
fsyncs."""

import errno
import os
import random

import pytest
from storage_sim import Disk, Model, PowerOff, SimOs

from lichenquay.storage.recovery import UnusableStoreError, file_name
from lichenquay.storage.store import DurableStore, NotStored

RUNS = int(os.environ.get("LICHENQUAY_FOLDER_RUNS", "1"))  # a longer search by a larger number
SMALL = 4096 * 8  # the least bound: a journal of 4 KiB, so that compactions come by size too
PATH = "/disk/f"


def opened(os_, now_ms=0.0):
    return DurableStore(PATH, "fleet", "front", SMALL, os=os_, now_ms=now_ms)


def batch_of(step, rng):
    """Changes that tell their step, so that two histories never look the same; some large, some deletions."""
    return [
        {
            f"k{rng.randrange(4)}": b"%d.%d" % (step, i) + bytes(rng.choice((0, 20, 500))),
            f"k{rng.randrange(4)}": None,
            "step": b"%d.%d" % (step, i),
        }
        for i in range(rng.choice((1, 1, 2, 3)))
    ]


def play(os_, model, seed=1, steps=14, opens=3):
    """A process that opens, appends, compacts, and starts again. Time runs so that each step may heal."""
    rng, now_ms, step = random.Random(seed), 0.0, 0
    for _ in range(opens):
        folder = opened(os_, now_ms)
        if folder.opened:
            model.check(folder.state)
            if folder.sure:
                model.stored(folder.state)
        for _ in range(steps // opens):
            step, now_ms = step + 1, now_ms + 40_000.0
            batch = batch_of(step, rng)
            folder.heal(now_ms)
            now_ms += 40_000.0
            if folder.opened:
                model.check(folder.state)
                if folder.sure and not folder.trouble:
                    model.stored(folder.state)
            try:
                for changes in batch:
                    folder.append(changes)
                after = model.tries(folder.state, batch)
                (folder.compact if step % 5 == 0 else folder.flush)(now_ms)
            except NotStored:
                assert folder.trouble
                continue
            assert dict(folder.state) == after
            model.stored(after)
        if folder.heal(now_ms + 40_000.0):
            model.stored(folder.state)
        folder.close()


def survivors(disk, seed, number=3):
    rng = random.Random(seed)
    yield disk.after_kill()
    for mode in ("none", "all", *["some"] * number):
        yield disk.after_power_loss(rng, mode)


def check_reads(disk, model):
    """What is found is allowed, and is found again when power goes at once."""
    folder = opened(SimOs(disk))
    assert folder.sure and not folder.trouble
    model.check(folder.state)
    state = dict(folder.state)
    again = opened(SimOs(disk.after_power_loss(random.Random(0), "none")))
    assert dict(again.state) == state and not again.left_out


@pytest.mark.parametrize("seed", range(RUNS))
@pytest.mark.parametrize("most", [None, 300])
def test_power_lost_at_every_call(seed, most):
    whole = SimOs(Disk(), most=most)
    play(whole, Model(), seed)
    names = {call[0] for call in whole.calls}
    assert names >= {"rename", "unlink", "mkdir", "fsync", "write", "read"} and len(whole.calls) > 200
    for at in range(len(whole.calls)):
        disk, model = Disk(), Model()
        os_ = SimOs(disk, crash_at=at, most=most)
        with pytest.raises(PowerOff):
            play(os_, model, seed)
        for left in survivors(disk, at):
            check_reads(left, model)


@pytest.mark.parametrize("seed", range(3 * RUNS))
def test_power_lost_again_and_again(seed):
    """Crashes at chance calls, also while the start after a crash is writing; every life goes on from what the last
    one left."""
    rng = random.Random(seed)
    for _ in range(12):
        disk, model = Disk(), Model()
        for _ in range(8):
            os_ = SimOs(disk, crash_at=rng.randrange(120), most=rng.choice((None, 100)))
            try:
                play(os_, model, rng.random())
            except PowerOff:
                pass
            disk = rng.choice(list(survivors(disk, rng.random(), 1)))
        check_reads(disk, model)


def fails_from(first, last, number, only=None):
    return lambda n, name: number if first <= n < last and (only is None or name in only) else None


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EDQUOT])
def test_each_call_fails_once(number):
    """Nothing is told as stored that is not, it heals by itself, and a power loss at the end takes nothing."""
    whole = SimOs(Disk())
    play(whole, Model())
    for at in range(0, len(whole.calls), 1 if RUNS > 1 or number == errno.EIO else 3):
        disk, model = Disk(), Model()
        play(SimOs(disk, fails=fails_from(at, at + 1, number)), model)
        assert len(model.may) == 1, whole.calls[at]
        for left in survivors(disk, at, 1):
            check_reads(left, model)


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
        disk, model = Disk(), Model()
        try:
            play(SimOs(disk, crash_at=crash_at, fails=fails, most=rng.choice((None, 100))), model, seed)
        except PowerOff:
            pass
        for left in survivors(disk, seed):
            check_reads(left, model)


def test_after_a_failed_fsync_all_is_written_anew():
    """The page cache says that the record is there; only a new file makes it so."""
    disk = Disk()
    bad = []
    os_ = SimOs(disk, fails=lambda n, name: errno.EIO if name == "fsync" and bad and bad.pop() else None)
    folder = opened(os_)
    folder.append({"a": b"1"})
    folder.flush(0.0)
    before = folder.generation
    bad.append(True)
    folder.append({"a": b"2"})
    with pytest.raises(NotStored):
        folder.flush(1.0)
    assert folder.state["a"] == b"1"
    folder.append({"b": b"3"})
    with pytest.raises(NotStored):  # too early
        folder.flush(2.0)
    assert not folder.heal(2.0) and folder.heal(folder.due_ms)
    folder.append({"b": b"4"})
    folder.flush(folder.due_ms)
    assert folder.generation == before + 1
    found = opened(SimOs(disk.after_power_loss(random.Random(0), "none")))
    assert dict(found.state) == {"a": b"1", "b": b"4"}


def rot(disk, name):
    """One bit of a file flips, on disk for good."""
    write = disk.nodes[disk.find(f"{PATH}/{name}")].writes[0]
    write[1] = write[1][:-1] + bytes([write[1][-1] ^ 1])


def test_what_failed_never_comes_back_between_later_records():
    """A failed record lies whole in the old journal, the snapshot after it rots: the later journal does not follow."""
    disk, bad = Disk(), []
    folder = opened(
        SimOs(disk, fails=lambda n, name: errno.EIO if name == "fsync" and bad and bad.pop() else None)
    )
    folder.append({"a": b"1"})
    folder.flush(0.0)
    bad.append(True)
    folder.append({"failed": b"2"})
    with pytest.raises(NotStored):
        folder.flush(1.0)
    folder.append({"later": b"3"})
    folder.flush(1000.0)
    left = disk.after_kill()
    assert opened(SimOs(left)).state == {"a": b"1", "later": b"3"}
    left = disk.after_kill()
    rot(left, file_name(folder.generation, "snapshot"))
    assert dict(opened(SimOs(left)).state) in ({"a": b"1"}, {"a": b"1", "failed": b"2"})


def test_a_journal_after_a_gap_is_not_taken():
    disk = Disk()
    folder = opened(SimOs(disk))
    for i in range(4):
        folder.append({f"k{i}": b"1"})
        folder.flush(0.0)
        if i == 1:
            older = folder.generation
            folder.compact(0.0)
    folder.close()
    whole = disk.after_kill()
    rot(whole, file_name(folder.generation, "snapshot"))
    assert sorted(opened(SimOs(whole)).state) == ["k0", "k1", "k2", "k3"]  # by the journal before
    rot(disk, file_name(folder.generation, "snapshot"))
    journal = disk.nodes[disk.find(f"{PATH}/{file_name(older, 'journal')}")]
    journal.writes[-1][1] = bytes(len(journal.writes[-1][1]))
    found = opened(SimOs(disk))
    assert sorted(found.state) == ["k0"] and any("it follows record 2" in line for line in found.left_out)


def test_tries_back_off():
    full = []
    os_ = SimOs(Disk(), fails=lambda n, name: errno.ENOSPC if full and name == "write" else None)
    folder = opened(os_)
    full.append(True)
    now_ms, waits = 0.0, []
    for _ in range(10):
        folder.append({"a": b"1"})
        with pytest.raises(NotStored, match="No space left"):
            folder.flush(now_ms)
        calls = len(os_.calls)
        assert not folder.heal(folder.due_ms - 0.1) and len(os_.calls) == calls
        waits.append(folder.due_ms - now_ms)
        now_ms = folder.due_ms
    assert waits[:3] == [250.0, 500.0, 1000.0] and waits[-1] == 30_000.0
    assert not any(
        name.endswith(".new") for name in os_.listdir(PATH)
    )  # what a full disk refused takes no room
    full.clear()
    assert folder.heal(now_ms) and folder.trouble is None


def test_a_folder_that_cannot_be_read_yet_is_read_later():
    disk = Disk()
    folder = opened(SimOs(disk))
    folder.append({"a": b"1"})
    folder.flush(0.0)
    folder.close()
    gone = [True]
    late = opened(
        SimOs(disk, fails=lambda n, name: errno.EIO if gone and name in ("read", "listdir") else None)
    )
    assert not late.opened and "Input/output" in late.trouble
    with pytest.raises(NotStored):
        late.append({"a": b"2"})
    gone.clear()
    assert late.heal(late.due_ms) and late.opened and late.state == {"a": b"1"}


def test_bytes_that_the_disk_cannot_read_cost_their_generation_at_most():
    """EIO on one file for good: the state comes from the other files, which here lack nothing."""
    disk = Disk()
    folder = opened(SimOs(disk))
    for i in range(6):
        folder.append({"a": b"%d" % i})
        (folder.compact if i % 2 else folder.flush)(0.0)
    folder.close()
    newest = f"{PATH}/{folder.generation:012d}.snapshot"
    os_ = SimOs(disk)
    inode = disk.find(newest)
    read = os_.read

    def sector(fd, size):
        if os_.fds[fd][0] == inode:
            raise OSError(errno.EIO, "Input/output error")
        return read(fd, size)

    os_.read = sector
    found, tries = opened(os_), 1
    while not found.opened and tries < 10:
        assert not found.state and "Input/output error" in found.trouble
        found.heal(found.due_ms)
        tries += 1
    assert 10_000.0 < found.due_ms < 20_000.0  # a disk that fails for a while has time to come back
    assert found.state == {"a": b"5"} and found.sure and len(found.left_out) == 1


def test_a_disk_that_fails_as_a_whole_costs_no_generation():
    """Reads and writes fail for a minute while a folder is opened: nothing is given up or set aside meanwhile."""
    disk, fails = Disk(), [True]
    folder = opened(SimOs(disk))
    for i in range(3):
        folder.append({"a": b"%d" % i})
        folder.flush(0.0)
    folder.close()
    late = opened(
        SimOs(disk, fails=lambda n, name: errno.EIO if fails and name in ("read", "write") else None)
    )
    while late.due_ms < 90_000.0:
        assert not late.opened and not late.state and not late.heal(late.due_ms)
    fails.clear()
    assert late.heal(late.due_ms) and late.state == {"a": b"2"} and not late.left_out


def test_lock_of_one_process():
    disk = Disk()
    first = opened(SimOs(disk))
    with pytest.raises(UnusableStoreError, match="in use by another process"):
        opened(SimOs(disk))
    first.close()
    assert opened(SimOs(disk)).sure
