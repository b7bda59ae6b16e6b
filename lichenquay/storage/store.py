"""The durable store of one process: named sections of bytes.

Format: record_format.py; design: docs/design/storage.md.
Blocking: its host calls it from a thread of its own (writer.py). Times are milliseconds of the host's
monotonic clock.
"""

import errno
from os import PathLike
from os.path import abspath
from types import MappingProxyType

from lichenquay.storage import record_format
from lichenquay.storage.directory import StoreDirectory
from lichenquay.storage.errors import InvalidChangeError, NotStoredError, UnusableStoreError
from lichenquay.storage.file_system import FileSystem
from lichenquay.storage.generations import Generations
from lichenquay.storage.pending_changes import PendingChanges
from lichenquay.storage.record_format import Changes
from lichenquay.storage.recovery import MAX_FILE_BYTES, recover

# Three snapshots and two journals may be there at once, and three damaged files that are set aside.
CAPACITY_SHARES = 8
MIN_SHARE_BYTES = 4096
MAX_SHARE_BYTES = MAX_FILE_BYTES // 2
STRICT_ATTEMPTS = 6  # of reading, 16 s, before bytes that cannot be read are given up
FIRST_RETRY_MS = 250.0
MAX_RETRY_MS = 30_000.0


class DurableStore:
    """Durable sections: `append` accepts changes, atomic each; `flush` makes all of them durable.

    `state`: what is stored.
    `is_open`: it was read.
    `is_durable`: all of it is on disk by this process's own fsync.
    `last_error`: one line, or None.
    `due_ms`: when the next attempt may be made.
    `skipped_files`, `skipped_bytes`: what of the files was not read at opening.

    Opening raises UnusableStoreError, and InvalidChangeError for a bound that is not valid; a disk that
    fails does not raise then, it is a `last_error`. `flush` raises NotStoredError.
    """

    def __init__(
        self,
        path: str | PathLike,
        fleet: str,
        name: str,
        max_bytes: int,
        file_system: FileSystem | None = None,
        now_ms: float = 0.0,
    ):
        """`fleet` and `name`: whose folder it is. `max_bytes`: of all files together."""
        share = max_bytes // CAPACITY_SHARES
        if not MIN_SHARE_BYTES <= share <= MAX_SHARE_BYTES:
            lowest = MIN_SHARE_BYTES * CAPACITY_SHARES
            highest = MAX_SHARE_BYTES * CAPACITY_SHARES
            raise InvalidChangeError(f"a folder's bound is from {lowest} to {highest} bytes")
        self.path = abspath(path)
        self.fleet = fleet
        self.name = name
        self.max_batch_bytes = share - record_format.MAX_HEADER_BYTES
        self._max_journal_bytes = share
        self._file_system = file_system or FileSystem()
        self._state = {}
        self.state = MappingProxyType(self._state)
        self._pending = PendingChanges(self.path, self._state, self.max_batch_bytes)
        self._directory = StoreDirectory(self._file_system, self.path)
        self._generations = Generations(self._file_system, self._directory, fleet, name)
        self.number = 0  # of the last record given out
        self.is_open = False
        self.is_durable = False
        self.is_closed = False
        self.last_error = None
        self.due_ms = 0.0
        self._retry_ms = FIRST_RETRY_MS
        self._failed_attempts = 0  # since the last success
        self.failures = 0  # in all
        self.skipped_files = []
        self.skipped_bytes = 0
        self.incarnation = 0  # the last one given, see incarnation.py
        try:
            self._open()
        except OSError as error:
            self._record_failure(now_ms, error)
        except BaseException:
            self.close()
            raise

    @property
    def generation(self) -> int:
        """The generation that is written."""
        return self._generations.current

    def append(self, changes: Changes) -> int:
        """Appends {key: bytes, or None to delete it} as one record and returns the record's number.

        Nothing is stored before `flush`.
        Errors: CapacityExceededError, NotStoredError; InvalidChangeError for a key that is empty or too long.
        """
        if not self.is_open or self.is_closed:
            raise NotStoredError(self._unavailable_reason)
        self._pending.add(self.number + 1, changes)
        self.number += 1
        return self.number

    def flush(self, now_ms: float) -> int:
        """Makes all that was appended durable, or raises NotStoredError. The number of the last record."""
        if self._pending or not self.is_durable:
            self._commit(now_ms, as_new_generation=False)
        return self.number

    def compact(self, now_ms: float) -> int:
        """As `flush`, by a new generation."""
        self._commit(now_ms, as_new_generation=True)
        return self.number

    def retry(self, now_ms: float) -> bool:
        """Tries again after a failure, if it is time. True: the store works now."""
        if self.last_error and not self.is_closed and now_ms >= self.due_ms:
            try:
                self._commit(now_ms, as_new_generation=True)
            except NotStoredError:
                return False
        return self.last_error is None

    def close(self) -> None:
        """Releases the lock. What was not flushed is not stored."""
        self.is_closed = True
        self._pending.drop()
        self._generations.close_journal()
        self._directory.release()

    @property
    def _unavailable_reason(self):
        return self.last_error or f"folder {self.path} is closed"

    def _commit(self, now_ms, as_new_generation):
        if self.is_closed or (self.last_error and now_ms < self.due_ms):
            self._pending.drop()
            raise NotStoredError(self._unavailable_reason)
        try:
            if not self.is_open:
                self._open()
            elif as_new_generation or not self._fits_journal():
                self._directory.enter(self._check_history)
                self._begin_generation()
            else:
                self._generations.append(self._pending.payloads())
        except (OSError, UnusableStoreError) as error:
            self._record_failure(now_ms, error)
            raise NotStoredError(self.last_error) from error
        except BaseException as error:
            self._record_failure(now_ms, OSError(errno.EINTR, repr(error)))
            raise
        self._record_success()

    def _fits_journal(self):
        generations = self._generations
        if not generations.has_journal:
            return False
        return generations.journal_size + self._pending.size_bytes <= self._max_journal_bytes

    def _record_success(self):
        for record in self._pending:
            record_format.apply_changes(self._state, record.changes)
        self._pending.clear()
        self.last_error = None
        self.is_durable = True
        self._retry_ms = FIRST_RETRY_MS
        self._failed_attempts = 0

    def _record_failure(self, now_ms, error):
        """What a failed write or fsync left is unknown: part of a record, or all in the page cache alone.

        So its journal is never written again, and the next generation begins from memory under a number that
        continues no journal.
        """
        self.failures += 1
        self._failed_attempts += 1
        if isinstance(error, UnusableStoreError):
            self.last_error = str(error)
        else:
            self.last_error = f"folder {self.path}: {error.strerror or error}"
        self._generations.close_journal()
        self._pending.drop()
        self.number += 1
        self.due_ms = now_ms + self._retry_ms
        self._retry_ms = min(2 * self._retry_ms, MAX_RETRY_MS)

    def _open(self):
        self._directory.enter(self._check_history)
        recovery = self._recover()
        self._state.update(recovery.state)
        self._pending.measure_state()
        self.number = max(self.number, recovery.number)
        self._generations.adopt(recovery)
        self.skipped_files = recovery.skipped_files
        self.skipped_bytes = recovery.skipped_bytes
        self.is_open = True
        # What was read may be in the page cache alone, left by a process that was killed before its fsync:
        # all is written anew.
        try:
            self._begin_generation()
            if recovery.damaged_files:
                # The damaged files can be fallen back to no more: now there are two intact generations again.
                self._begin_generation()
        except OSError:
            if recovery.has_read_errors:  # the disk fails as a whole: its files may be intact
                self.is_open = False
                self._state.clear()
            raise
        self._record_success()

    def _recover(self):
        is_patient = self._failed_attempts >= STRICT_ATTEMPTS
        return recover(self._file_system, self.path, self.fleet, self.name, tolerates_errors=is_patient)

    def _check_history(self):
        """The folder may have been replaced while this process ran, and another has written there."""
        if not self.is_open:
            return
        recovery = self._recover()
        if recovery.highest_generation > self._generations.highest:
            raise UnusableStoreError(f"folder {self.path}: another process has written it meanwhile")
        self._generations.damaged_files = recovery.damaged_files

    def _begin_generation(self):
        base_number = self.number - len(self._pending)
        self._generations.begin(self._state, base_number, self._pending.payloads())
