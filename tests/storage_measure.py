"""Times of a folder on this machine's disk, not a test: python tests/storage_measure.py FOLDER."""

import queue
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
from lichenquay.storage.store import DurableStore  # noqa: E402
from lichenquay.storage.writer import Writer  # noqa: E402

MOST = 64 << 20


def now_ms():
    return time.monotonic() * 1000


def said(name, times_ms):
    times_ms.sort()
    at = [times_ms[min(len(times_ms) - 1, int(len(times_ms) * q))] for q in (0.5, 0.99)]
    print(f"{name}: p50 {at[0]:.3f} ms, p99 {at[1]:.3f} ms, most {times_ms[-1]:.3f} ms, of {len(times_ms)}")


def one_by_one(path, number=2000):
    folder, times_ms = DurableStore(path / "one", "fleet", "front", MOST), []
    for i in range(number):
        began_ms = now_ms()
        folder.append({f"k{i % 100}": b"%d" % i + bytes(200)})
        folder.flush(began_ms)
        times_ms.append(now_ms() - began_ms)
    said("store and fsync, 200 bytes", times_ms)
    folder.close()


def snapshots(path, sections, number=30):
    folder, times_ms = DurableStore(path / f"many{sections}", "fleet", "front", MOST), []
    for i in range(sections):
        folder.append({f"k{i}": bytes(200)})
    folder.flush(0.0)
    for _ in range(number):
        began_ms = now_ms()
        folder.compact(began_ms)
        times_ms.append(now_ms() - began_ms)
    said(f"new generation of {sections} sections", times_ms)
    folder.close()
    began_ms = now_ms()
    DurableStore(path / f"many{sections}", "fleet", "front", MOST).close()
    print(f"opening with {sections} sections, a new generation included: {now_ms() - began_ms:.1f} ms")


def written(path, at_once, number=4000):
    """`at_once` stores are open at any time: the next goes out as one is told."""
    calls, times_ms, in_store_ms = queue.SimpleQueue(), [], []
    writer = Writer(
        DurableStore(path / f"by{at_once}", "fleet", "front", MOST), lambda f, *a: calls.put((f, a)), now_ms
    )
    left = number

    def go():
        nonlocal left
        if left:
            left -= 1
            began_ms = now_ms()
            writer.store(
                {f"k{left % 100}": bytes(200)}, lambda ok: (times_ms.append(now_ms() - began_ms), go())
            )
            in_store_ms.append(now_ms() - began_ms)

    began_ms = now_ms()
    for _ in range(at_once):
        go()
    while len(times_ms) < number:
        f, args = calls.get()
        f(*args)
    took_ms = now_ms() - began_ms
    batches = writer.counts["batches"]
    print(
        f"writer, {at_once} open: {number / took_ms * 1000:.0f} stores/s, {number / max(batches, 1):.1f} a fsync"
    )
    said("  until told", times_ms)
    said("  the host's thread in store()", in_store_ms)
    writer.close(5000)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(dir=sys.argv[1]) as where:
        one_by_one(Path(where))
        for sections in (10, 1000, 10_000):
            snapshots(Path(where), sections)
        for at_once in (1, 16, 256):
            written(Path(where), at_once)
