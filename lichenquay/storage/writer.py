"""A thread that writes a store, so that its host never blocks on disk I/O.

Times are milliseconds of the host's monotonic clock.
"""

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from lichenquay.storage.errors import NotStoredError
from lichenquay.storage.record_format import Changes
from lichenquay.storage.store import DurableStore

MAX_QUEUED_WRITES = 1024
LOG_INTERVAL_MS = 60_000.0  # minimum interval between log lines of one kind
CHANGE_OVERHEAD_BYTES = 32  # maximum overhead per section in the queue
MAX_UTF8_BYTES = 4  # per character


class LogRateLimit:
    """A limit of one log line per LOG_INTERVAL_MS, which counts the events between the lines."""

    def __init__(self):
        """Allows the first line immediately."""
        self.last_line_ms = None
        self.events_since_line = 0

    def count_event(self, now_ms: float) -> int:
        """Counts an event. Returns the events since the last line if a line may be written now, else 0."""
        self.events_since_line += 1
        if self.last_line_ms is not None and now_ms - self.last_line_ms < LOG_INTERVAL_MS:
            return 0
        self.last_line_ms = now_ms
        event_count = self.events_since_line
        self.events_since_line = 0
        return event_count


@dataclass(eq=False, slots=True)
class QueuedWrite:
    """One `store` call of the host. `is_stored`: None until the writer thread has handled it."""

    changes: Changes
    on_result: Callable[[bool], None]
    size_bytes: int
    is_stored: bool | None = None
    is_answered: bool = False


class StoreWriter:
    """A writer of its host's changes, with its own thread.

    `store(changes, on_result)` calls on_result(True) once the changes are on disk, or on_result(False) if
    that is not known: exactly once per call, in the order of the calls, in the host's thread. All public
    methods must be called from that thread.
    """

    def __init__(
        self,
        store: DurableStore,
        call_in_host: Callable,
        now_ms: Callable[[], float],
        on_open: Callable[[dict], None] | None = None,
        log=None,
        max_queued: int = MAX_QUEUED_WRITES,
    ):
        """Starts the thread, which owns `store` from now on.

        `call_in_host(function, *arguments)` schedules a call in the host's thread. `now_ms` is thread-safe.
        `on_open(state)`: if the store could not be read at the start, called once when it has been read.
        """
        self._store = store
        self._call_in_host = call_in_host
        self._now_ms = now_ms
        self._on_open = on_open
        self._log = (log or structlog.get_logger()).bind(member=store.name)
        self._max_queued = max_queued
        self._max_queued_bytes = store.max_batch_bytes
        self._condition = threading.Condition()
        self._queue = deque()
        self._queued_bytes = 0
        self._is_closing = False
        self._unanswered = deque()  # used only in the host's thread
        self._busy_since_ms = None
        self._is_open = store.is_open  # used only in the host's thread
        self._has_reported_open = store.is_open  # used only in the writer thread
        self._queue_full_limit = LogRateLimit()
        self._rejected_limit = LogRateLimit()
        self._reported_failure_ms = -LOG_INTERVAL_MS
        self._unreported_failures = 0
        self._was_failing = False
        self.counts = {
            "stored": 0,
            "failed": 0,
            "rejected": 0,
            "queue_full": 0,
            "before_open": 0,
            "batches": 0,
            "failures": 0,
            "recovered": 0,
            "longest_write_ms": 0.0,
        }
        self.last_error = store.last_error  # one line, or None
        if store.skipped_files:
            self._log.warning(
                "folder: files skipped",
                files=store.skipped_files,
                bytes=store.skipped_bytes,
                generation=store.generation,
            )
        if store.last_error:
            self._report_failure(now_ms())
        self._thread = threading.Thread(target=self._run, name="folder-writer", daemon=True)
        self._thread.start()

    def store(self, changes: Changes, on_result: Callable[[bool], None]) -> None:
        """Queues changes; `on_result(is_stored)` is called once.

        The queue is bounded, also while a disk stalls. Changes that do not fit fail immediately, and so do
        changes before the stored state could be read.
        """
        if not self._is_open:
            self.counts["before_open"] += 1
            on_result(False)
            return
        size_bytes = sum(
            len(key) * MAX_UTF8_BYTES + len(value or b"") + CHANGE_OVERHEAD_BYTES
            for key, value in changes.items()
        )
        if not self._enqueue(QueuedWrite(dict(changes), on_result, size_bytes)):
            self.counts["queue_full"] += 1
            self._report_queue_full()
            on_result(False)

    def _enqueue(self, write):
        with self._condition:
            fits_count = len(self._queue) < self._max_queued
            fits_bytes = self._queued_bytes + write.size_bytes <= self._max_queued_bytes or not self._queue
            if self._is_closing or not fits_count or not fits_bytes:
                return False
            self._unanswered.append(write)
            self._queue.append(write)
            self._queued_bytes += write.size_bytes
            self._condition.notify()
            return True

    def _report_queue_full(self):
        now_ms = self._now_ms()
        if self._is_closing:
            return
        times = self._queue_full_limit.count_event(now_ms)
        if times:
            stalled_ms = round(self.stalled_ms(now_ms))
            self._log.warning("folder: write queue is full", not_taken=times, stalled_ms=stalled_ms)

    def stalled_ms(self, now_ms: float) -> float:
        """Returns how long the current write has taken so far; 0 if there is none."""
        since_ms = self._busy_since_ms
        return 0.0 if since_ms is None else max(0.0, now_ms - since_ms)

    def queued_writes(self) -> int:
        """Returns the number of writes without a result."""
        return len(self._unanswered)

    def close(self, timeout_ms: float) -> bool:
        """Writes the queue and ends the thread.

        Returns whether it ended in time; the rest gets on_result(False).
        """
        with self._condition:
            self._is_closing = True
            self._condition.notify()
        self._thread.join(timeout_ms / 1000)
        with self._condition:
            self._queue.clear()
        self._answer(list(self._unanswered))
        return not self._thread.is_alive()

    def _answer(self, writes):
        for write in writes:
            if not write.is_answered:
                write.is_answered = True
                try:
                    write.on_result(write.is_stored is True)
                except Exception:  # an error in one callback must not keep the others from their results
                    self._log.exception("folder: error in the callback of a write")
        while self._unanswered and self._unanswered[0].is_answered:
            self._unanswered.popleft()

    def _report_open(self, state):
        self._is_open = True
        if self._on_open:
            self._on_open(state)

    # The methods below run in the writer thread.

    def _run(self):
        try:
            while self._write_next_batch():
                pass
        finally:
            self._store.close()

    def _write_next_batch(self):
        """Waits for writes or for a retry to be due, and performs it.

        Returns False when the thread should end.
        """
        batch = self._take_batch()
        if batch is None:
            return False
        began_ms = self._now_ms()
        self._busy_since_ms = began_ms
        try:
            self._write(batch, began_ms)
        except Exception:  # a bug must not end the thread, which would fail every later write
            self._log.exception("folder: error in the writer")
        for write in batch:
            write.is_stored = write.is_stored is True
        ended_ms = self._now_ms()
        self._busy_since_ms = None
        self._record_batch(batch, began_ms, ended_ms)
        if batch:
            self._call_in_host(self._answer, batch)
        return True

    def _take_batch(self):
        """Waits for and returns the next writes: empty if a retry is due, None if the thread should end."""
        with self._condition:
            while not self._queue and not self._is_closing:
                wait_ms = self._store.due_ms - self._now_ms() if self._store.last_error else None
                if wait_ms is not None and wait_ms <= 0:
                    break
                self._condition.wait(None if wait_ms is None else wait_ms / 1000)
            if self._is_closing and not self._queue:
                return None
            batch = []
            size_bytes = 0
            while self._queue:
                next_bytes = size_bytes + self._queue[0].size_bytes
                if batch and next_bytes > self._max_queued_bytes:
                    break
                size_bytes = next_bytes
                batch.append(self._queue.popleft())
            self._queued_bytes -= size_bytes
            return batch

    def _write(self, batch, now_ms):
        store = self._store
        if store.last_error and not store.retry(now_ms):
            return
        appended = []
        for write in batch:
            try:
                store.append(write.changes)
                appended.append(write)
            except NotStoredError:
                continue
            except Exception as error:  # over capacity or invalid: only this change fails
                self._count_rejected(now_ms, error)
        if not appended:
            return
        try:
            store.flush(now_ms)
        except NotStoredError:
            return
        for write in appended:
            write.is_stored = True

    def _count_rejected(self, now_ms, error):
        self.counts["rejected"] += 1
        times = self._rejected_limit.count_event(now_ms)
        if times:
            self._log.warning("folder: change rejected", why=str(error), times=times)

    def _record_batch(self, batch, began_ms, ended_ms):
        store = self._store
        counts = self.counts
        stored = sum(write.is_stored for write in batch)
        counts["stored"] += stored
        counts["failed"] += len(batch) - stored
        counts["batches"] += stored > 0
        counts["failures"] = store.failures
        counts["longest_write_ms"] = max(counts["longest_write_ms"], ended_ms - began_ms)
        self.last_error = store.last_error
        if store.is_open and not self._has_reported_open:
            self._has_reported_open = True
            self._call_in_host(self._report_open, dict(store.state))
        if store.last_error:
            self._unreported_failures += len(batch) - stored
            self._report_failure(ended_ms)
        elif self._was_failing:
            self._report_recovery(ended_ms)

    def _report_recovery(self, now_ms):
        self._was_failing = False
        self.counts["recovered"] += 1
        self._log.info(
            "folder: stores again", generation=self._store.generation, not_stored=self._unreported_failures
        )
        self._reported_failure_ms = -LOG_INTERVAL_MS + now_ms
        self._unreported_failures = 0

    def _report_failure(self, now_ms):
        """Logs one line when a failure starts and one per LOG_INTERVAL_MS while it lasts."""
        if not self._was_failing or now_ms - self._reported_failure_ms >= LOG_INTERVAL_MS:
            self._log.warning(
                "folder: does not store",
                why=self._store.last_error,
                generation=self._store.generation,
                not_stored=self._unreported_failures,
            )
            self._reported_failure_ms = now_ms
        self._was_failing = True
