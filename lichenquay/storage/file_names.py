"""The names of a store's files."""

import re
from collections.abc import Iterable
from typing import NamedTuple

from lichenquay.storage.record_format import FileKind

LAST_GENERATION = 10**12 - 1
LOCK_NAME = "lock"
SET_ASIDE_PREFIX = "bad."
INCOMPLETE_SUFFIX = ".new"
_PATTERN = re.compile(r"(bad\.)?(\d{12})\.(snapshot|journal)(\.new)?")
_KIND_NAMES = {FileKind.SNAPSHOT: "snapshot", FileKind.JOURNAL: "journal"}
_KINDS = {name: kind for kind, name in _KIND_NAMES.items()}


class StoreFile(NamedTuple):
    """A name that has the form of a store's file."""

    name: str
    is_set_aside: bool
    generation: int
    kind: FileKind
    is_incomplete: bool  # still being written, or left by a crash while it was

    @property
    def is_readable(self) -> bool:
        """Whether recovery may read it."""
        return not self.is_set_aside and not self.is_incomplete


def file_name(generation: int, kind: FileKind) -> str:
    """Returns the name of a complete file."""
    return f"{generation:012d}.{_KIND_NAMES[kind]}"


def incomplete_file_name(generation: int, kind: FileKind) -> str:
    """Returns the name of a file while it is being written."""
    return file_name(generation, kind) + INCOMPLETE_SUFFIX


def set_aside_name(generation: int, kind: FileKind) -> str:
    """Returns the name of a corrupt file that is kept for an operator."""
    return SET_ASIDE_PREFIX + file_name(generation, kind)


def store_files(names: Iterable[str]) -> list[StoreFile]:
    """Returns the names that have the form of a store's file, sorted."""
    matches = ((name, _PATTERN.fullmatch(name)) for name in sorted(names))
    return [
        StoreFile(name, bool(match[1]), int(match[2]), _KINDS[match[3]], bool(match[4]))
        for name, match in matches
        if match
    ]
