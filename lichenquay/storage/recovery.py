"""Recovery of a store's state: the newest intact snapshot, then the journals that follow it."""

import errno
from dataclasses import dataclass, field
from os.path import join

from lichenquay.storage import record_format
from lichenquay.storage.errors import CorruptRecordError, NewerFormatError, UnusableStoreError
from lichenquay.storage.file_names import file_name, store_files
from lichenquay.storage.file_system import READ_FLAGS, FileSystem, close_quietly
from lichenquay.storage.record_format import FileKind

MAX_FILE_BYTES = 64 << 20  # read of one file; the files that a store writes are smaller
READ_CHUNK_BYTES = 1 << 20  # per read call
MAX_GENERATIONS_READ = 4096  # newest first
MAX_SKIPPED_LINES = 8


@dataclass
class Recovery:
    """The result of recovery."""

    tolerates_errors: bool = False
    state: dict[str, bytes] = field(default_factory=dict)
    last_record_number: int = 0  # in `state`
    generations: list[int] = field(default_factory=list)  # used for `state`, ascending
    highest_generation: int = 0  # of all files with an intact header
    corrupt_files: set[str] = field(default_factory=set)  # skipped partly or entirely
    skipped_files: list[str] = field(default_factory=list)  # one line per file, at most MAX_SKIPPED_LINES
    skipped_bytes: int = 0
    has_read_errors: bool = False  # that were tolerated

    def skip(self, name: str, reason: str, size: int) -> None:
        """Records that a file was skipped partly or entirely."""
        self.corrupt_files.add(name)
        self.skipped_bytes += size
        if len(self.skipped_files) < MAX_SKIPPED_LINES:
            self.skipped_files.append(f"{name}: {reason}")


def recover(
    file_system: FileSystem, path: str, fleet: str, process_name: str, tolerates_errors: bool = False
) -> Recovery:
    """Reads the files of a store.

    `tolerates_errors`: a file that the disk cannot read (EIO) is treated as corrupt. As this would lose the
    newest generation while the whole disk fails temporarily, the first recoveries do not tolerate errors.

    Raises UnusableStoreError if a file belongs to another fleet or process or has a newer version, OSError if
    the folder cannot be read now.
    """
    return _Reader(file_system, path, Recovery(tolerates_errors)).read(fleet, process_name)


class _Reader:
    def __init__(self, file_system, path, recovery):
        self.file_system = file_system
        self.path = path
        self.recovery = recovery

    def read(self, fleet, process_name):
        recovery = self.recovery
        headers = self._read_headers(fleet, process_name)
        self._read_newest_snapshot(headers)
        first = recovery.generations[0] if recovery.generations else 0
        for generation, kind in sorted(headers):
            if kind is FileKind.JOURNAL and generation >= first:
                self._read_journal(generation, headers[generation, kind])
        if recovery.has_read_errors and not recovery.generations:
            raise OSError(errno.EIO, "no snapshot or journal can be read")
        return recovery

    def _read_headers(self, fleet, process_name):
        """Returns {(generation, kind): header} of the files with an intact header.

        All headers are read before anything is changed, so that a rejected folder stays unchanged.
        """
        headers = {}
        files = [file for file in store_files(self.file_system.listdir(self.path)) if file.is_readable]
        newest = sorted({file.generation for file in files})[-MAX_GENERATIONS_READ:]
        for file in files:
            if file.generation not in newest:
                continue
            header = self._read_header(file)
            if header is None:
                continue
            if header.fleet != fleet:
                raise UnusableStoreError(
                    f"folder {self.path} belongs to fleet {header.fleet!r}, not {fleet!r}"
                )
            if header.process_name != process_name:
                raise UnusableStoreError(
                    f"folder {self.path} belongs to process {header.process_name!r}, not {process_name!r}"
                )
            headers[file.generation, file.kind] = header
            self.recovery.highest_generation = max(self.recovery.highest_generation, file.generation)
        return headers

    def _read_header(self, file):
        """Returns the header of a file; None if it is corrupt or does not match the file's name."""
        data = self._content(file.name, record_format.MAX_HEADER_BYTES)
        try:
            header = record_format.read_header(data).header
            if (header.kind, header.generation) != (file.kind, file.generation):
                raise CorruptRecordError("header does not match the file name")
        except NewerFormatError as error:
            raise UnusableStoreError(f"folder {self.path}: {file.name} has format {error}") from None
        except CorruptRecordError as error:
            self.recovery.skip(file.name, str(error), len(data))
            return None
        return header

    def _read_newest_snapshot(self, headers):
        snapshots = [generation for generation, kind in headers if kind is FileKind.SNAPSHOT]
        for generation in sorted(snapshots, reverse=True):
            name = file_name(generation, FileKind.SNAPSHOT)
            data = self._content(name, MAX_FILE_BYTES)
            try:
                snapshot = record_format.read_snapshot(data)
            except CorruptRecordError as error:
                self.recovery.skip(name, str(error), len(data))
                continue
            self.recovery.state = snapshot.state
            self.recovery.last_record_number = snapshot.header.base_number
            self.recovery.generations = [generation]
            return

    def _read_journal(self, generation, header):
        """Applies a journal, or skips it if it does not start at the record where the state ends."""
        recovery = self.recovery
        name = file_name(generation, FileKind.JOURNAL)
        data = self._content(name, MAX_FILE_BYTES)
        if header.base_number != recovery.last_record_number:
            reason = f"follows record {header.base_number}, the state ends at {recovery.last_record_number}"
            recovery.skip(name, reason, len(data))
            return
        try:
            journal = record_format.read_journal(data)
        except CorruptRecordError as error:
            recovery.skip(name, str(error), len(data))
            return
        for changes in journal.changes:
            record_format.apply_changes(recovery.state, changes)
        recovery.last_record_number += len(journal.changes)
        if generation not in recovery.generations:
            recovery.generations.append(generation)
        if journal.reason:
            last_number = recovery.last_record_number
            reason = f"{journal.skipped_bytes} bytes after record {last_number}: {journal.reason}"
            recovery.skip(name, reason, journal.skipped_bytes)

    def _content(self, name, max_bytes):
        """Returns up to `max_bytes` of a file.

        If errors are tolerated, a read error truncates the content.
        """
        parts = []
        descriptor = None
        try:
            descriptor = self.file_system.open(join(self.path, name), READ_FLAGS)
            while max_bytes > 0:
                part = self.file_system.read(descriptor, min(max_bytes, READ_CHUNK_BYTES))
                if not part:
                    break
                parts.append(part)
                max_bytes -= len(part)
        except OSError as error:
            is_tolerated = error.errno == errno.EIO and self.recovery.tolerates_errors
            if error.errno != errno.EISDIR and not is_tolerated:
                raise
            self.recovery.has_read_errors = self.recovery.has_read_errors or error.errno == errno.EIO
        finally:
            close_quietly(self.file_system, descriptor)
        return b"".join(parts)
