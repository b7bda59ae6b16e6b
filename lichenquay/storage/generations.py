"""The generations of a store on disk: each is a complete snapshot and a journal of the changes after it."""

import errno
from collections.abc import Iterable
from dataclasses import dataclass, replace
from os.path import join

from lichenquay.storage import record_format
from lichenquay.storage.directory import StoreDirectory
from lichenquay.storage.errors import UnusableStoreError
from lichenquay.storage.file_names import (
    LAST_GENERATION,
    file_name,
    incomplete_file_name,
    set_aside_name,
    store_files,
)
from lichenquay.storage.file_system import (
    NEW_FILE_FLAGS,
    FileIdentity,
    FileSystem,
    call_ignoring_os_error,
    close_quietly,
    is_same_file,
    sync_directory,
)
from lichenquay.storage.record_format import FileHeader, FileKind
from lichenquay.storage.recovery import Recovery

RETAINED_GENERATIONS = 2
MAX_SET_ASIDE_FILES = 3
WRITE_CHUNK_BYTES = 256 << 10  # collected before each write


@dataclass
class OpenFile:
    """A written file that is still open; `size` in bytes."""

    descriptor: int
    size: int


@dataclass(frozen=True)
class ExpectedFile:
    """A path, and the file that it must refer to."""

    path: str
    identity: FileIdentity


class Generations:
    """The writer of the generations of one store."""

    def __init__(self, file_system: FileSystem, directory: StoreDirectory, fleet: str, process_name: str):
        """Starts without knowledge of the existing files, see `adopt`."""
        self.file_system = file_system
        self.directory = directory
        self.fleet = fleet
        self.process_name = process_name
        self.current = 0  # number of the generation that is being written
        self.highest = 0  # highest known number
        self.corrupt_files = set()  # names of files to set aside
        self._retained = []
        self._journal = None
        self._seed = 0
        self._expected_files = []

    def adopt(self, recovery: Recovery) -> None:
        """Continues from the files that recovery found."""
        self.highest = recovery.highest_generation
        self._retained = recovery.generations[-RETAINED_GENERATIONS:]
        self.corrupt_files = recovery.corrupt_files

    @property
    def has_journal(self) -> bool:
        """Whether a journal is open for appending."""
        return self._journal is not None

    @property
    def journal_size(self) -> int:
        """The size of the journal in bytes."""
        return self._journal.size

    def begin(self, state: dict[str, bytes], base_number: int, pending: Iterable[tuple[int, bytes]]) -> None:
        """Writes a new generation: a snapshot of `state`, and a journal with the pending (number, payload).

        `base_number`: number of the last record in `state`. No file gets its final name before all of its
        bytes are on disk.
        """
        if self.highest >= LAST_GENERATION:
            raise UnusableStoreError(
                f"folder {self.directory.path}: no generation number after {LAST_GENERATION}"
            )
        self.close_journal()
        self.directory.sync_parent()
        self.highest += 1
        generation = self.highest
        header = FileHeader(FileKind.SNAPSHOT, generation, base_number, self.fleet, self.process_name)
        encoded = record_format.encode_header(replace(header, kind=FileKind.JOURNAL))
        journal_parts = [encoded.data, *record_format.encode_journal_records(encoded.seed, pending)]
        created_paths = []  # to remove after a failure
        journal = None
        try:
            journal = self._write_file(
                incomplete_file_name(generation, FileKind.JOURNAL), journal_parts, created_paths
            )
            snapshot_parts = record_format.encode_snapshot(header, state)
            snapshot = self._write_file(
                incomplete_file_name(generation, FileKind.SNAPSHOT), snapshot_parts, created_paths
            )
            try:
                identities = {
                    FileKind.SNAPSHOT: self.file_system.fstat(snapshot.descriptor),
                    FileKind.JOURNAL: self.file_system.fstat(journal.descriptor),
                }
            finally:
                close_quietly(self.file_system, snapshot.descriptor)
            self._publish(generation, identities, created_paths)
        except BaseException:
            if journal is not None:
                close_quietly(self.file_system, journal.descriptor)
            for path in created_paths:
                call_ignoring_os_error(self.file_system.unlink, path)
            raise
        self._journal = journal
        self._seed = encoded.seed
        self.current = generation
        self._retained = [*self._retained, generation][-RETAINED_GENERATIONS:]
        self._remove_old_files()

    def _publish(self, generation, identities, created_paths):
        """Renames the new files to their final names, the journal first."""
        for kind in (FileKind.JOURNAL, FileKind.SNAPSHOT):
            path = self._path(file_name(generation, kind))
            created_paths.append(path)
            self.file_system.rename(self._path(incomplete_file_name(generation, kind)), path)
        sync_directory(self.file_system, self.directory.path)
        self._expected_files = [
            ExpectedFile(self._path(file_name(generation, kind)), identity)
            for kind, identity in identities.items()
        ]
        self._expected_files.append(ExpectedFile(self.directory.lock_path, self.directory.lock_identity()))
        self._check_files()

    def append(self, pending: Iterable[tuple[int, bytes]]) -> None:
        """Appends the pending (number, payload) to the journal; they are on disk when this returns."""
        data = b"".join(record_format.encode_journal_records(self._seed, pending))
        self._write_all(self._journal.descriptor, data)
        self.file_system.fsync(self._journal.descriptor)
        self._check_files()
        self._journal.size += len(data)

    def close_journal(self) -> None:
        """Closes the journal, which is never written again."""
        if self._journal is not None:
            close_quietly(self.file_system, self._journal.descriptor)
        self._journal = None

    def _path(self, name):
        return join(self.directory.path, name)

    def _check_files(self):
        """Raises OSError if an expected file was removed or replaced.

        Writes and fsyncs of an open file still succeed after its folder is removed or replaced, but no
        restart would find the data.
        """
        for expected in self._expected_files:
            if not is_same_file(self.file_system, expected.path, expected.identity):
                raise OSError(errno.ENOENT, f"{expected.path} was removed or replaced")

    def _write_file(self, name, parts, created_paths):
        """Writes and fsyncs a new file, and returns it still open."""
        path = self._path(name)
        created_paths.append(path)
        descriptor = self.file_system.open(path, NEW_FILE_FLAGS)
        try:
            size = self._write_parts(descriptor, parts)
            self.file_system.fsync(descriptor)
        except BaseException:
            close_quietly(self.file_system, descriptor)
            raise
        return OpenFile(descriptor, size)

    def _write_parts(self, descriptor, parts):
        """Writes the parts in chunks of WRITE_CHUNK_BYTES or more, and returns the total size."""
        written = 0
        chunk = []
        chunk_size = 0
        for part in parts:
            chunk.append(part)
            chunk_size += len(part)
            if chunk_size >= WRITE_CHUNK_BYTES:
                self._write_all(descriptor, b"".join(chunk))
                written += chunk_size
                chunk = []
                chunk_size = 0
        self._write_all(descriptor, b"".join(chunk))
        return written + chunk_size

    def _write_all(self, descriptor, data):
        offset = 0
        while offset < len(data):
            written = self.file_system.write(descriptor, data[offset:])
            if written <= 0:
                raise OSError(errno.EIO, "nothing was written")
            offset += written

    def _remove_old_files(self):
        """Removes older generations, and sets corrupt files aside, of which it keeps MAX_SET_ASIDE_FILES.

        A failure here wastes disk space but does no other harm.
        """
        try:
            files = store_files(self.file_system.listdir(self.directory.path))
            for file in files:
                if not file.is_set_aside and not self._is_retained(file):
                    self._remove(file)
            if self.corrupt_files or any(file.is_set_aside for file in files):
                names = store_files(self.file_system.listdir(self.directory.path))
                set_aside = [file.name for file in names if file.is_set_aside]
                for name in set_aside[:-MAX_SET_ASIDE_FILES]:
                    call_ignoring_os_error(self.file_system.unlink, self._path(name))
        except OSError:
            return
        self.corrupt_files = set()

    def _is_retained(self, file):
        is_corrupt = file.name in self.corrupt_files
        return file.generation in self._retained and not file.is_incomplete and not is_corrupt

    def _remove(self, file):
        if file.name in self.corrupt_files:
            target = self._path(set_aside_name(file.generation, file.kind))
            call_ignoring_os_error(self.file_system.rename, self._path(file.name), target)
        else:
            call_ignoring_os_error(self.file_system.unlink, self._path(file.name))
