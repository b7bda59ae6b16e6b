"""One process's folder: named sections of bytes that survive it. Forms: record_format.py; design: docs/design/storage.md.

Blocking: its host calls it from a thread of its own (writer.py). Times are milliseconds of the host's monotonic
clock."""

import errno
from dataclasses import replace
from os.path import abspath, dirname, join
from types import MappingProxyType

from lichenquay.storage import record_format
from lichenquay.storage.disk import LOCK, NEW, READ, RealOs
from lichenquay.storage.recovery import (
    LAST_GENERATION,
    MOST_FILE,
    UnusableStoreError,
    file_name,
    ours,
    recover,
)

# Of the bound: three snapshots and two journals may be there at once, and three bad files kept aside.
SHARES = 8
MOST_ASIDE = 3
PATIENT_TRIES = 6  # of reading, 16 s, before bytes that cannot be read are given up
FIRST_WAIT_MS, LONGEST_WAIT_MS = 250.0, 30_000.0
CHUNK = 256 << 10  # bytes written at a time


class TooMuch(ValueError):
    """A change that would pass the folder's bound. Nothing of it was taken."""


class NotStored(Exception):
    """What was appended since the last flush is not in the state. Until the next success a restart may still find
    it."""


class DurableStore:
    """`append` takes changes of sections, atomic each; `flush` makes all of them durable or raises NotStored.

    state: what is stored. opened: it was read. sure: all of it is on disk by this process's own fsync. trouble: one
    line, or None. due_ms: when the next try may be made. left_out, left_bytes: what of the files was not taken at
    opening. Raises UnusableStoreError at opening; disks that fail do not raise there, they are `trouble`."""

    def __init__(self, path, fleet, name, most_bytes, os=None, now_ms=0.0):
        share = most_bytes // SHARES
        if not 4096 <= share <= MOST_FILE // 2:
            raise ValueError(f"a folder's bound is from {4096 * SHARES} to {MOST_FILE // 2 * SHARES} bytes")
        self.path, self.fleet, self.name = abspath(path), fleet, name
        self._os = os or RealOs()
        self._most = share
        self._frame_room = share - record_format.MOST_HEADER
        self._state, self._size = {}, 0
        self.state = MappingProxyType(self._state)
        self.number = 0  # of the last record given out
        self._pending, self._pending_bytes, self._pending_sizes = [], 0, {}
        self._lock = self._journal = None  # descriptors
        self._journal_size, self._seed, self._places = 0, 0, []
        self._highest, self._kept, self._bad = 0, [], set()
        self._made = self._parent_synced = False
        self.opened = self.sure = self.closed = False
        self.trouble, self.due_ms, self._wait_ms = None, 0.0, FIRST_WAIT_MS
        self.left_out, self.left_bytes, self.generation = [], 0, 0
        self.failures = self._tries = 0  # in all; since the last success
        self.incarnation = 0  # the last one given, see incarnation.py
        try:
            self._open()
        except OSError as why:
            self._failed(now_ms, why)
        except BaseException:
            self.close()
            raise

    @property
    def most_batch(self):
        """Bytes of changes that fit between two flushes."""
        return self._frame_room

    def append(self, changes):
        """Takes {key: bytes, or None to delete it} as one record; its number. Nothing is stored before flush.

        Errors: TooMuch, NotStored; ValueError for a key that is empty or too long."""
        if not self.opened or self.closed:
            raise NotStored(self.trouble or f"folder {self.path} is closed")
        payload = record_format.changes_bytes(changes)
        length = record_format.FRAME_SIZE + len(payload)
        if self._pending_bytes + length > self._frame_room:
            room = self._frame_room - self._pending_bytes
            raise TooMuch(f"folder {self.path}: {length} bytes at once, there is room for {room}")
        sizes = {k: 0 if v is None else record_format.section_size(k, v) for k, v in changes.items()}
        before = sum(self._section_size(k) for k in sizes)
        size = self._size - before + sum(sizes.values())
        if size > max(self._size, self._frame_room):  # a bound that was lowered still lets the state shrink
            raise TooMuch(f"folder {self.path}: a state of {size} bytes, the bound is {self._frame_room}")
        self.number += 1
        self._pending.append((self.number, dict(changes), payload))
        self._pending_bytes += length
        self._pending_sizes.update(sizes)
        self._size = size
        return self.number

    def flush(self, now_ms):
        """All that was appended is on disk, or NotStored. The number of the last record."""
        if self._pending or not self.sure:
            self._commit(now_ms, False)
        return self.number

    def compact(self, now_ms):
        """As flush, by a new generation."""
        self._commit(now_ms, True)
        return self.number

    def heal(self, now_ms):
        """Another try if there was trouble and it is time. True: there is none now."""
        if self.trouble and not self.closed and now_ms >= self.due_ms:
            try:
                self._commit(now_ms, True)
            except NotStored:
                pass
        return self.trouble is None

    def close(self):
        """Gives up the lock. What was not flushed is not stored."""
        self.closed = True
        self._drop()
        for fd in (self._journal, self._lock):
            self._close(fd)
        self._journal = self._lock = None

    def _section_size(self, key):
        if key in self._pending_sizes:
            return self._pending_sizes[key]
        return record_format.section_size(key, self._state[key]) if key in self._state else 0

    def _commit(self, now_ms, whole):
        if self.closed or (self.trouble and now_ms < self.due_ms):
            self._drop()
            raise NotStored(self.trouble or f"folder {self.path} is closed")
        try:
            if not self.opened:
                self._open()
            elif whole or self._journal is None or self._journal_size + self._pending_bytes > self._most:
                self._enter()
                self._begin()
            else:
                self._continue()
        except (OSError, UnusableStoreError) as why:
            self._failed(now_ms, why)
            raise NotStored(self.trouble) from why
        except BaseException as why:
            self._failed(now_ms, OSError(errno.EINTR, repr(why)))
            raise
        self._stored()

    def _stored(self):
        for _, changes, _ in self._pending:
            record_format.apply(self._state, changes)
        self._pending, self._pending_bytes, self._pending_sizes = [], 0, {}
        self.trouble, self.sure, self._wait_ms, self._tries = None, True, FIRST_WAIT_MS, 0

    def _failed(self, now_ms, why):
        """Risk: what a failed write or fsync left is unknown: part of a record, or all of it in the page cache alone.
        So its journal is never written again, and the next generation begins from memory under a number that
        continues no journal."""
        self.failures += 1
        self._tries += 1
        self.trouble = (
            str(why) if isinstance(why, UnusableStoreError) else f"folder {self.path}: {why.strerror or why}"
        )
        self._close(self._journal)
        self._journal = None
        self._drop()
        self.number += 1
        self.due_ms, self._wait_ms = now_ms + self._wait_ms, min(2 * self._wait_ms, LONGEST_WAIT_MS)

    def _drop(self):
        if self._pending:
            self._pending, self._pending_bytes, self._pending_sizes = [], 0, {}
            self._size = record_format.state_size(self._state)

    def _open(self):
        self._enter()
        reading = self._read()
        self._state.update(reading.state)
        self._size = record_format.state_size(reading.state)
        self.number = max(self.number, reading.number)
        self._highest, self._kept, self._bad = reading.highest, reading.generations[-2:], reading.bad
        self.left_out, self.left_bytes = reading.left_out, reading.left_bytes
        self.opened = True
        # Risk: what was read may be in the page cache alone, left by a process that was killed before its fsync: all is
        # written anew.
        try:
            self._begin()
            if reading.bad:
                self._begin()  # the files aside can be fallen back to no more: there are two good generations again
        except OSError:
            if reading.unreadable:  # the disk fails as a whole: its files may be good
                self.opened = False
                self._state.clear()
            raise
        self._stored()

    def _read(self):
        return recover(self._os, self.path, self.fleet, self.name, bears_errors=self._tries >= PATIENT_TRIES)

    def _enter(self):
        """The folder is there, and it is ours alone."""
        os = self._os
        try:
            try:
                place = os.stat(self.path)
            except FileNotFoundError:
                os.mkdir(self.path)
                self._made = True
                place = os.stat(self.path)
        except NotADirectoryError:
            raise UnusableStoreError(f"folder {self.path}: a part of its path is no folder") from None
        except PermissionError as why:
            raise UnusableStoreError(f"folder {self.path}: {why.strerror}") from None
        if not place.folder:
            raise UnusableStoreError(f"folder {self.path} is no folder")
        lock = join(self.path, "lock")
        if self._lock is not None and self._is_at(lock, os.fstat(self._lock)):
            return
        self._close(self._lock)
        self._lock = None
        try:
            fd = os.open(lock, LOCK)
        except PermissionError as why:
            raise UnusableStoreError(f"folder {self.path}: {why.strerror}") from None
        except OSError as why:
            if why.errno != errno.EROFS:
                raise
            fd = os.open(lock, READ)
        try:
            os.flock(fd)
            if not self._is_at(lock, os.fstat(fd)):
                raise OSError(errno.ESTALE, "its lock was replaced")
            if self.opened:
                self._same_past()
        except BlockingIOError:
            self._close(fd)
            raise UnusableStoreError(f"folder {self.path} is in use by another process") from None
        except BaseException:
            self._close(fd)
            raise
        self._lock, self._parent_synced = fd, False

    def _same_past(self):
        """Risk: the folder was replaced while this process ran, and another one of our name has written there."""
        found = self._read()
        if found.highest > self._highest:
            raise UnusableStoreError(f"folder {self.path}: another process has written it meanwhile")
        self._bad = found.bad

    def _begin(self):
        """A new generation: a whole snapshot of what is stored, and a journal with what is pending. Nothing names it
        before all of it is on disk."""
        if self._highest >= LAST_GENERATION:
            raise UnusableStoreError(f"folder {self.path}: no generation is left")
        self._close(self._journal)
        self._journal = None
        self._sync_parent()
        generation = self._highest = self._highest + 1
        base = self.number - len(self._pending)
        header = record_format.Header(record_format.SNAPSHOT, generation, base, self.fleet, self.name)
        first, seed = record_format.header_bytes(replace(header, kind=record_format.JOURNAL))
        records = record_format.change_frames(seed, self._pending)
        made, journal = [], None
        try:
            new_name = file_name(generation, "journal", True)
            journal, journal_size = self._write_new(new_name, [first, *records], made)
            parts = record_format.snapshot_parts(header, self._state)
            snapshot, _ = self._write_new(file_name(generation, "snapshot", True), parts, made)
            try:
                places = [self._os.fstat(snapshot), self._os.fstat(journal)]
            finally:
                self._close(snapshot)
            names = [join(self.path, file_name(generation, kind)) for kind in ("snapshot", "journal")]
            for name in reversed(names):
                made.append(name)
                self._os.rename(name + ".new", name)
            self._sync_folder(self.path)
            self._places = [*zip(names, places), (join(self.path, "lock"), self._os.fstat(self._lock))]
            self._check_places()
        except BaseException:
            self._close(journal)
            for name in made:
                self._try(self._os.unlink, name)
            raise
        self._journal, self._journal_size, self._seed, self.generation = (
            journal,
            journal_size,
            seed,
            generation,
        )
        self._kept = [*self._kept, generation][-2:]
        self._tidy()

    def _continue(self):
        records = b"".join(record_format.change_frames(self._seed, self._pending))
        self._write(self._journal, records)
        self._os.fsync(self._journal)
        self._check_places()
        self._journal_size += len(records)

    def _check_places(self):
        """Risk: a folder that was removed or replaced takes writes and fsyncs of its open files as ever; no restart
        finds them."""
        for name, place in self._places:
            if not self._is_at(name, place):
                raise OSError(errno.ENOENT, f"{name} is gone or replaced")

    def _is_at(self, name, place):
        try:
            return self._os.stat(name) == place
        except (FileNotFoundError, NotADirectoryError):
            return False

    def _write_new(self, name, parts, made):
        """(descriptor, size) of a new file with these bytes, on disk."""
        path = join(self.path, name)
        made.append(path)
        fd = self._os.open(path, NEW)
        try:
            size, chunk, held = 0, [], 0
            for part in parts:
                chunk.append(part)
                held += len(part)
                if held >= CHUNK:
                    self._write(fd, b"".join(chunk))
                    size, chunk, held = size + held, [], 0
            self._write(fd, b"".join(chunk))
            self._os.fsync(fd)
        except BaseException:
            self._close(fd)
            raise
        return fd, size + held

    def _write(self, fd, data):
        at = 0
        while at < len(data):
            done = self._os.write(fd, data[at:])
            if done <= 0:
                raise OSError(errno.EIO, "nothing was written")
            at += done

    def _sync_folder(self, path):
        fd = self._os.open(path, READ)
        try:
            self._os.fsync(fd)
        finally:
            self._close(fd)

    def _sync_parent(self):
        """The folder's own name is on disk. A parent that may not be read hinders none but a folder made here."""
        if not self._parent_synced:
            try:
                self._sync_folder(dirname(self.path))
            except PermissionError:
                if self._made:
                    raise
            self._parent_synced = True

    def _tidy(self):
        """Older generations go; files that were left out are kept aside, the newest few. A failure here costs room,
        not truth."""

        def aside(name, generation, kind):
            self._try(
                self._os.rename, join(self.path, name), join(self.path, "bad." + file_name(generation, kind))
            )

        try:
            files = ours(self._os.listdir(self.path))
            for name, bad, generation, kind, new in files:
                if bad or generation in self._kept and not new and name not in self._bad:
                    continue
                if name in self._bad:
                    aside(name, generation, kind)
                else:
                    self._try(self._os.unlink, join(self.path, name))
            if self._bad or any(bad for _, bad, *_ in files):
                kept = [f[0] for f in ours(self._os.listdir(self.path)) if f[1]]
                for name in kept[:-MOST_ASIDE]:
                    self._try(self._os.unlink, join(self.path, name))
        except OSError:
            return
        self._bad = set()

    def _close(self, fd):
        if fd is not None:
            self._try(self._os.close, fd)

    def _try(self, call, *args):
        try:
            call(*args)
        except OSError:
            pass
