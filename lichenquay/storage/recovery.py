"""What a folder's files say, taken together: the newest good snapshot, then the journals that follow it without a
gap."""

import errno
import re
from dataclasses import dataclass, field
from os.path import join

from lichenquay.storage import record_format
from lichenquay.storage.disk import READ

MOST_FILE = 64 << 20  # bytes read of one file; a store makes none as large
MOST_LOOKED_AT = 4096  # generations, newest first
MOST_SAID = 8  # lines on what was left out
OURS = re.compile(r"(bad\.)?(\d{12})\.(snapshot|journal)(\.new)?")
LAST_GENERATION = 10**12 - 1
KINDS = {"snapshot": record_format.SNAPSHOT, "journal": record_format.JOURNAL}


class UnusableStoreError(Exception):
    """A folder that this front must not use. One line."""


@dataclass
class Recovery:
    """`number`: of the last record in `state`. `generations`: the ones that `state` came from, ascending. `highest`:
    of any good file. `bad`: files left out in part or whole; `left_out`: a line on each, the first few; `left_bytes`
    in all."""

    state: dict = field(default_factory=dict)
    number: int = 0
    generations: list = field(default_factory=list)
    highest: int = 0
    bad: set = field(default_factory=set)
    left_out: list = field(default_factory=list)
    left_bytes: int = 0
    bears_errors: bool = False
    unreadable: bool = False  # some bytes, and that was borne

    def leave_out(self, name, why, size):
        self.bad.add(name)
        self.left_bytes += size
        if len(self.left_out) < MOST_SAID:
            self.left_out.append(f"{name}: {why}")


def file_name(generation, kind, new=False):
    return f"{generation:012d}.{kind}" + (".new" if new else "")


def ours(names):
    """[(name, is bad, generation, kind, is new)] of the names that have our form."""
    found = ((name, OURS.fullmatch(name)) for name in sorted(names))
    return [(name, bool(m[1]), int(m[2]), m[3], bool(m[4])) for name, m in found if m]


def recover(os, path, fleet, name, bears_errors=False):
    """A Recovery. UnusableStoreError: some file is another fleet's or front's, or of a newer version. OSError: the folder cannot
    be read now.

    bears_errors: a file that the disk cannot read (EIO) is a damaged one. Risk: a disk that fails as a whole for a
    while would cost the newest generation; so the first tries bear none."""
    recovered = Recovery(bears_errors=bears_errors)
    headers = _headers(os, path, fleet, name, recovered)
    for generation in sorted((g for g, kind in headers if kind == "snapshot"), reverse=True):
        its = file_name(generation, "snapshot")
        data = _content(os, path, its, MOST_FILE, recovered)
        try:
            header, recovered.state = record_format.read_snapshot(data)
        except record_format.Unreadable as why:
            recovered.leave_out(its, str(why), len(data))
            continue
        recovered.number, recovered.generations = header.base, [generation]
        break
    first = recovered.generations[0] if recovered.generations else 0
    for generation in sorted(g for g, kind in headers if kind == "journal" and g >= first):
        _follow(os, path, generation, headers[generation, "journal"], recovered)
    if recovered.unreadable and not recovered.generations:
        raise OSError(errno.EIO, "nothing of it can be read")
    return recovered


def _headers(os, path, fleet, name, recovered):
    """{(generation, kind): header} of the files with a whole header. All are looked at before anything is changed."""
    headers = {}
    files = [f for f in ours(os.listdir(path)) if not f[1] and not f[4]]
    newest = sorted({f[2] for f in files})[-MOST_LOOKED_AT:]
    for its, _, generation, kind, _ in files:
        if generation not in newest:
            continue
        data = _content(os, path, its, record_format.MOST_HEADER, recovered)
        try:
            header, _, _ = record_format.read_header(data)
            if (header.kind, header.generation) != (KINDS[kind], generation):
                raise record_format.Unreadable("it has another file's header")
        except record_format.Newer as why:
            raise UnusableStoreError(f"folder {path}: {its} is of {why}") from None
        except record_format.Unreadable as why:
            recovered.leave_out(its, str(why), len(data))
            continue
        if header.fleet != fleet:
            raise UnusableStoreError(f"folder {path} is of fleet {header.fleet!r}, not {fleet!r}")
        if header.name != name:
            raise UnusableStoreError(f"folder {path} is of front {header.name!r}, not {name!r}")
        headers[generation, kind] = header
        recovered.highest = max(recovered.highest, generation)
    return headers


def _follow(os, path, generation, header, recovered):
    """Risk: a journal that does not begin where the state ends belongs to another past; taking it would mix the
    two."""
    its = file_name(generation, "journal")
    data = _content(os, path, its, MOST_FILE, recovered)
    if header.base != recovered.number:
        recovered.leave_out(
            its, f"it follows record {header.base}, the state ends at {recovered.number}", len(data)
        )
        return
    try:
        journal = record_format.read_journal(data)
    except record_format.Unreadable as why:
        recovered.leave_out(its, str(why), len(data))
        return
    for changes in journal.changes:
        record_format.apply(recovered.state, changes)
    recovered.number += len(journal.changes)
    if generation not in recovered.generations:
        recovered.generations.append(generation)
    if journal.why:
        why = f"{journal.left_bytes} bytes after record {recovered.number}: {journal.why}"
        recovered.leave_out(its, why, journal.left_bytes)


def _content(os, path, name, most, recovered):
    """Up to `most` bytes of a file. Where errors are to be borne, what the disk cannot read counts as cut off."""
    parts, fd = [], None
    try:
        fd = os.open(join(path, name), READ)
        while most > 0 and (part := os.read(fd, min(most, 1 << 20))):
            parts.append(part)
            most -= len(part)
    except OSError as why:
        if why.errno != errno.EISDIR and not (why.errno == errno.EIO and recovered.bears_errors):
            raise
        recovered.unreadable = recovered.unreadable or why.errno == errno.EIO
    finally:
        if fd is not None:
            _close(os, fd)
    return b"".join(parts)


def _close(os, fd):
    try:
        os.close(fd)
    except OSError:  # what was read was read
        pass
