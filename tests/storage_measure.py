"""Measures a store on this machine's disk; not a test. Usage: python tests/storage_measure.py FOLDER."""

import queue
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
from lichenquay.storage.store import DurableStore  # noqa: E402
from lichenquay.storage.writer import StoreWriter  # noqa: E402

MAX_BYTES = 64 << 20
SECTION_BYTES = 200


def now_ms():
    """Returns the time of the monotonic clock."""
    return time.monotonic() * 1000


def open_store(path):
    """Opens a store with a large capacity."""
    return DurableStore(path, "fleet", "gateway", MAX_BYTES)


def print_times(name, times_ms):
    """Prints median, 99th percentile and maximum."""
    times_ms = sorted(times_ms)
    count = len(times_ms)
    p50_ms = times_ms[count // 2]
    p99_ms = times_ms[min(count - 1, int(count * 0.99))]
    print(f"{name}: p50 {p50_ms:.3f} ms, p99 {p99_ms:.3f} ms, max {times_ms[-1]:.3f} ms, n={count}")


def measure_flushes(path, number=2000):
    """Measures the time of one record and its fsync."""
    store = open_store(path / "one")
    times_ms = []
    for step in range(number):
        began_ms = now_ms()
        store.append({f"k{step % 100}": b"%d" % step + bytes(SECTION_BYTES)})
        store.flush(began_ms)
        times_ms.append(now_ms() - began_ms)
    print_times(f"store and fsync, {SECTION_BYTES} bytes", times_ms)
    store.close()


def measure_generations(path, sections, number=30):
    """Measures new generations of a state with many sections, and its opening."""
    path = path / f"many{sections}"
    store = open_store(path)
    for section in range(sections):
        store.append({f"k{section}": bytes(SECTION_BYTES)})
    store.flush(0.0)
    times_ms = []
    for _ in range(number):
        began_ms = now_ms()
        store.compact(began_ms)
        times_ms.append(now_ms() - began_ms)
    print_times(f"new generation of {sections} sections", times_ms)
    store.close()
    began_ms = now_ms()
    open_store(path).close()
    duration_ms = now_ms() - began_ms
    print(f"opening with {sections} sections, a new generation included: {duration_ms:.1f} ms")


def measure_writer(path, concurrency, number=4000):
    """Measures the writer with a constant number of writes in flight."""
    calls = queue.SimpleQueue()
    result_times_ms = []
    call_times_ms = []
    writer = StoreWriter(
        open_store(path / f"by{concurrency}"),
        lambda function, *arguments: calls.put((function, arguments)),
        now_ms,
    )
    remaining = number

    def write_next():
        nonlocal remaining
        if not remaining:
            return
        remaining -= 1
        began_ms = now_ms()

        def on_result(is_stored):
            result_times_ms.append(now_ms() - began_ms)
            write_next()

        writer.store({f"k{remaining % 100}": bytes(SECTION_BYTES)}, on_result)
        call_times_ms.append(now_ms() - began_ms)

    began_ms = now_ms()
    for _ in range(concurrency):
        write_next()
    while len(result_times_ms) < number:
        function, arguments = calls.get()
        function(*arguments)
    per_second = number / (now_ms() - began_ms) * 1000
    per_fsync = number / max(writer.counts["batches"], 1)
    print(f"writer, {concurrency} in flight: {per_second:.0f} stores/s, {per_fsync:.1f} per fsync")
    print_times("  time to the result", result_times_ms)
    print_times("  duration of store() in the host's thread", call_times_ms)
    writer.close(5000)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(dir=sys.argv[1]) as scratch:
        measure_flushes(Path(scratch))
        for sections in (10, 1000, 10_000):
            measure_generations(Path(scratch), sections)
        for concurrency in (1, 16, 256):
            measure_writer(Path(scratch), concurrency)
