"""A thread that writes a folder, so that its host never waits for a disk. Times: milliseconds of the host's monotonic
clock."""

import threading
from collections import deque

import structlog

from lichenquay.storage.store import NotStored

MOST_QUEUED = 1024  # stores
SAY_EACH_MS = 60_000.0  # at most one line of a kind


class _Seldom:
    """True once in SAY_EACH_MS, and how often it was asked since."""

    def __init__(self):
        self.last_ms, self.since = None, 0

    def asks(self, now_ms, number=1):
        self.since += number
        if self.last_ms is not None and now_ms - self.last_ms < SAY_EACH_MS:
            return 0
        self.last_ms, since, self.since = now_ms, self.since, 0
        return since


class _Store:
    __slots__ = ("changes", "done", "size", "ok", "settled")

    def __init__(self, changes, done, size):
        self.changes, self.done, self.size, self.ok, self.settled = changes, done, size, None, False


class Writer:
    """`store(changes, done)`: done(True) when it is on disk, done(False) when that is not known; each exactly once,
    in the order in which stores were queued, in the thread that `call(f, *args)` brings f to. All methods are for
    that thread.

    folder: from now on this thread's alone. now_ms: a function that any thread may call. opened(state): called once,
    where the folder could not be read at the start, when it has been: what a process kept of old is then known, later
    than it began."""

    def __init__(self, folder, call, now_ms, opened=None, log=None, most_queued=MOST_QUEUED):
        self._folder, self._call, self._now_ms, self._opened = folder, call, now_ms, opened
        self._log = (log or structlog.get_logger()).bind(member=folder.name)
        self._most_queued, self._most_bytes = most_queued, folder.most_batch
        self._changed = threading.Condition()
        self._queue, self._queued_bytes, self._closing = deque(), 0, False
        self._open_stores = deque()  # of the caller's thread alone: what has not been told its end
        self._busy_since_ms = None
        self._known = self._told_opened = folder.opened  # of the caller's thread; of the writer's
        self._full, self._refused = _Seldom(), _Seldom()
        self._said_ms, self._unsaid, self._was_trouble = -SAY_EACH_MS, 0, False
        self.counts = dict(
            stored=0, failed=0, refused=0, full=0, early=0, batches=0, failures=0, healed=0, longest_ms=0.0
        )
        self.trouble = folder.trouble  # one line, or None
        if folder.left_out:
            self._log.warning(
                "folder: files left out",
                files=folder.left_out,
                bytes=folder.left_bytes,
                generation=folder.generation,
            )
        if folder.trouble:
            self._say_trouble(now_ms())
        self._thread = threading.Thread(target=self._run, name="folder-writer", daemon=True)
        self._thread.start()

    def store(self, changes, done):
        """Risk: a disk that stalls while stores come on. The queue is bounded; what does not fit is done(False) at
        once. Risk: a store over sections that nobody has read yet. It is done(False) until `opened` was told."""
        if not self._known:
            self.counts["early"] += 1
            done(False)
            return
        size = sum(len(key) * 4 + len(value or b"") + 32 for key, value in changes.items())
        with self._changed:
            fits = (
                not self._closing
                and len(self._queue) < self._most_queued
                and (self._queued_bytes + size <= self._most_bytes or not self._queue)
            )
            if fits:
                one = _Store(dict(changes), done, size)
                self._open_stores.append(one)
                self._queue.append(one)
                self._queued_bytes += size
                self._changed.notify()
        if not fits:
            self.counts["full"] += 1
            now_ms = self._now_ms()
            if not self._closing and (times := self._full.asks(now_ms)):
                self._log.warning(
                    "folder: takes no more stores", not_taken=times, stalled_ms=round(self.stalled(now_ms))
                )
            done(False)

    def stalled(self, now_ms):
        """How long the disk has been at what it is doing; 0 if it is at nothing."""
        since = self._busy_since_ms
        return 0.0 if since is None else max(0.0, now_ms - since)

    def queued(self):
        return len(self._open_stores)

    def close(self, within_ms):
        """Writes what is queued, and ends; True if all of that was done in time. What was not is done(False)."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(within_ms / 1000)
        with self._changed:
            self._queue.clear()
        self._settle([s for s in self._open_stores])
        return not self._thread.is_alive()

    def _settle(self, stores):
        for one in stores:
            if not one.settled:
                one.settled = True
                try:
                    one.done(one.ok is True)
                except Exception:  # Risk: the fault of one's host leaves the others untold.
                    self._log.exception("folder: error in what a store is told to")
        while self._open_stores and self._open_stores[0].settled:
            self._open_stores.popleft()

    def _tell_opened(self, state):
        self._known = True
        if self._opened:
            self._opened(state)

    # From here on: the writer's thread.

    def _run(self):
        try:
            while self._turn():
                pass
        finally:
            self._folder.close()

    def _turn(self):
        """Waits for stores or for the time to heal, and does it. False: there is nothing more to do."""
        with self._changed:
            while not self._queue and not self._closing:
                wait_ms = self._folder.due_ms - self._now_ms() if self._folder.trouble else None
                if wait_ms is not None and wait_ms <= 0:
                    break
                self._changed.wait(None if wait_ms is None else wait_ms / 1000)
            if self._closing and not self._queue:
                return False
            batch, size = [], 0
            while self._queue and (not batch or size + self._queue[0].size <= self._most_bytes):
                one = self._queue.popleft()
                size += one.size
                batch.append(one)
            self._queued_bytes -= size
        began_ms = self._busy_since_ms = self._now_ms()
        try:
            self._write(batch, began_ms)
        except Exception:  # Risk: an error of ours ends the thread, and every store after it is silent.
            self._log.exception("folder: error in the writer")
        for one in batch:
            one.ok = one.ok is True
        ended_ms = self._now_ms()
        self._busy_since_ms = None
        self._account(batch, began_ms, ended_ms)
        if batch:
            self._call(self._settle, batch)
        return True

    def _write(self, batch, now_ms):
        folder = self._folder
        if folder.trouble and not folder.heal(now_ms):
            return
        taken = []
        for one in batch:
            try:
                folder.append(one.changes)
                taken.append(one)
            except NotStored:
                pass
            except Exception as why:  # TooMuch; or keys and values that make no sense, which fail alone
                self.counts["refused"] += 1
                if times := self._refused.asks(now_ms):
                    self._log.warning("folder: a store refused", why=str(why), times=times)
        try:
            if taken:
                folder.flush(now_ms)
                for one in taken:
                    one.ok = True
        except NotStored:
            pass

    def _account(self, batch, began_ms, ended_ms):
        folder, counts = self._folder, self.counts
        stored = sum(one.ok for one in batch)
        counts["stored"] += stored
        counts["failed"] += len(batch) - stored
        counts["batches"] += stored > 0
        counts["failures"] = folder.failures
        counts["longest_ms"] = max(counts["longest_ms"], ended_ms - began_ms)
        self.trouble = folder.trouble
        if folder.opened and not self._told_opened:
            self._told_opened = True
            self._call(self._tell_opened, dict(folder.state))
        if folder.trouble:
            self._unsaid += len(batch) - stored
            self._say_trouble(ended_ms)
        elif self._was_trouble:
            self._was_trouble = False
            counts["healed"] += 1
            self._log.info("folder: stores again", generation=folder.generation, not_stored=self._unsaid)
            self._said_ms, self._unsaid = -SAY_EACH_MS + ended_ms, 0

    def _say_trouble(self, now_ms):
        """One line when it begins and one a minute while it lasts."""
        if not self._was_trouble or now_ms - self._said_ms >= SAY_EACH_MS:
            self._log.warning(
                "folder: does not store",
                why=self._folder.trouble,
                generation=self._folder.generation,
                not_stored=self._unsaid,
            )
            self._said_ms = now_ms
        self._was_trouble = True
