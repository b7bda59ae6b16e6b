"""The durable store of one process: named sections of bytes.

Format: record_format.py; design: docs/design/storage.md. The calls block, so the host makes them from a
separate thread (writer.py). Times are milliseconds of the host's monotonic clock.
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

# At most three snapshots, two journals and three corrupt files set aside exist at the same time.
CAPACITY_DIVISOR = 8
MIN_FILE_CAPACITY_BYTES = 4096
MAX_FILE_CAPACITY_BYTES = MAX_FILE_BYTES // 2
STRICT_ATTEMPTS = 6  # to read, in about 16 s, before unreadable bytes are skipped
FIRST_RETRY_MS = 250.0
MAX_RETRY_MS = 30_000.0


class DurableStore:
    """A durable store of sections: `append` accepts atomic changes, `flush` makes all of them durable.

    `state`: the stored sections.
    `is_open`: whether the stored state has been read.
    `is_durable`: whether this process has fsynced all of the state.
    `last_error`: one line, or None.
    `due_ms`: when the next attempt after a failure may be made.
    `skipped_files`, `skipped_bytes`: the parts of the files that were skipped at opening.

    Opening raises UnusableStoreError, and InvalidChangeError for a capacity that is out of range; a disk
    failure then does not raise but sets `last_error`. `flush` raises NotStoredError.
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
        """Opens the store of the process `name` of a fleet. `max_bytes`: limit of all files together."""
        file_capacity_bytes = max_bytes // CAPACITY_DIVISOR
        if not MIN_FILE_CAPACITY_BYTES <= file_capacity_bytes <= MAX_FILE_CAPACITY_BYTES:
            lowest = MIN_FILE_CAPACITY_BYTES * CAPACITY_DIVISOR
            highest = MAX_FILE_CAPACITY_BYTES * CAPACITY_DIVISOR
            raise InvalidChangeError(
                f"max_bytes of folder {path}: {max_bytes}; expected {lowest} to {highest} bytes"
            )
        self.path = abspath(path)
        self.fleet = fleet
        self.name = name
        self.max_batch_bytes = file_capacity_bytes - record_format.MAX_HEADER_BYTES
        self._max_journal_bytes = file_capacity_bytes
        self._file_system = file_system or FileSystem()
        self._state = {}
        self.state = MappingProxyType(self._state)
        self._pending = PendingChanges(self.path, self._state, self.max_batch_bytes)
        self._directory = StoreDirectory(self._file_system, self.path)
        self._generations = Generations(self._file_system, self._directory, fleet, name)
        self.last_record_number = 0  # the last one assigned
        self.is_open = False
        self.is_durable = False
        self.is_closed = False
        self.last_error = None
        self.due_ms = 0.0
        self._retry_ms = FIRST_RETRY_MS
        self._failed_attempts = 0  # since the last success
        self.failures = 0  # in total
        self.skipped_files = []
        self.skipped_bytes = 0
        self.incarnation = 0  # the last one returned, see incarnation.py
        try:
            self._open()
        except OSError as error:
            self._record_failure(now_ms, error)
        except BaseException:
            self.close()
            raise

    @property
    def generation(self) -> int:
        """The number of the generation that is being written."""
        return self._generations.current

    def append(self, changes: Changes) -> int:
        """Appends {key: bytes, or None to delete it} as one record and returns the record's number.

        Nothing is stored before `flush`. Raises CapacityExceededError, NotStoredError, or InvalidChangeError
        for a key that is empty or too long.
        """
        if not self.is_open or self.is_closed:
            raise NotStoredError(self._unavailable_reason)
        self._pending.add(self.last_record_number + 1, changes)
        self.last_record_number += 1
        return self.last_record_number

    def flush(self, now_ms: float) -> int:
        """Makes all appended records durable and returns the last record number. Raises NotStoredError."""
        if self._pending or not self.is_durable:
            self._commit(now_ms, as_new_generation=False)
        return self.last_record_number

    def compact(self, now_ms: float) -> int:
        """Makes all appended records durable as `flush` does, but always writes a new generation."""
        self._commit(now_ms, as_new_generation=True)
        return self.last_record_number

    def retry(self, now_ms: float) -> bool:
        """Retries after a failure once `due_ms` is reached. Returns whether the store has no error."""
        if self.last_error and not self.is_closed and now_ms >= self.due_ms:
            try:
                self._commit(now_ms, as_new_generation=True)
            except NotStoredError:
                return False
        return self.last_error is None

    def close(self) -> None:
        """Releases the lock. Records that were not flushed are lost."""
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
                self._directory.ensure_locked(self._check_history)
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
        """Records a failed write or fsync and sets the time of the retry.

        What the failure left is unknown: part of a record, or all of it but only in the page cache. So the
        journal is never written again, and the next generation starts from memory with a record number that
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
        self.last_record_number += 1
        self.due_ms = now_ms + self._retry_ms
        self._retry_ms = min(2 * self._retry_ms, MAX_RETRY_MS)

    def _open(self):
        self._directory.ensure_locked(self._check_history)
        recovery = self._recover()
        self._state.update(recovery.state)
        self._pending.measure_state()
        self.last_record_number = max(self.last_record_number, recovery.last_record_number)
        self._generations.adopt(recovery)
        self.skipped_files = recovery.skipped_files
        self.skipped_bytes = recovery.skipped_bytes
        self.is_open = True
        # The state that was read may be only in the page cache, if its writer was killed before its fsync, so
        # all of it is rewritten.
        try:
            self._begin_generation()
            if recovery.corrupt_files:
                # The corrupt files are no fallback; a second new generation restores two intact ones.
                self._begin_generation()
        except OSError:
            if recovery.has_read_errors:  # the whole disk fails: its files may be intact
                self.is_open = False
                self._state.clear()
            raise
        self._record_success()

    def _recover(self):
        tolerates_errors = self._failed_attempts >= STRICT_ATTEMPTS
        return recover(self._file_system, self.path, self.fleet, self.name, tolerates_errors=tolerates_errors)

    def _check_history(self):
        """Raises UnusableStoreError if another process has written newer generations to the folder.

        The folder may have been replaced while this process was running.
        """
        if not self.is_open:
            return
        recovery = self._recover()
        if recovery.highest_generation > self._generations.highest:
            raise UnusableStoreError(f"folder {self.path}: another process has written to it meanwhile")
        self._generations.corrupt_files = recovery.corrupt_files

    def _begin_generation(self):
        base_number = self.last_record_number - len(self._pending)
        self._generations.begin(self._state, base_number, self._pending.payloads())
