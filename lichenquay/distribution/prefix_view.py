"""The recent changes to the keys with one set of prefixes, from which deltas are built."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import DIGEST_MODULUS, size_of


class ViewChange(NamedTuple):
    """Changes to one view's keys after `from_version` up to `version`, and the view's digest after them."""

    from_version: int
    version: int
    entries: tuple[pb.Entry, ...]
    digest: int


class DeltaContent(NamedTuple):
    """The content of a delta: `entries` lead from the requested version to `version`, with `digest`."""

    version: int
    digest: int
    entries: list[pb.Entry]


class _CachedDelta(NamedTuple):
    """The last delta that was built, and the key that it was built for."""

    key: tuple
    content: DeltaContent


class PrefixView:
    """Holds the changes after `base_version` to the keys with one set of prefixes.

    All sessions with these prefixes share it. The digest is known at every version except those inside a
    merged change.
    """

    def __init__(self, prefixes: tuple[str, ...], base_version: int, digest: int):
        """Starts without changes; `digest` is that of the view's keys at `base_version`."""
        self.prefixes = prefixes
        self.base_version = base_version
        self.bytes = 0  # Size of all entries of the changes.
        self._base_digest = digest
        self._changes: list[ViewChange] = []
        self._versions: list[int] = []
        self._cached: _CachedDelta | None = None  # Most sessions need the same delta.

    @property
    def digest(self) -> int:
        """Returns the digest at the newest version."""
        return self._changes[-1].digest if self._changes else self._base_digest

    def add(self, from_version: int, version: int, entries: Iterable[pb.Entry], digest_change: int) -> None:
        """Adds a change and what it adds to the digest."""
        digest = (self.digest + digest_change) % DIGEST_MODULUS
        self._changes.append(ViewChange(from_version, version, tuple(entries), digest))
        self._versions.append(version)
        self.bytes += sum(map(size_of, entries))

    def trim(self, base_version: int) -> None:
        """Drops the changes up to `base_version`."""
        count = bisect_right(self._versions, base_version)
        if count:
            removed = self._changes[:count]
            self.bytes -= sum(size_of(entry) for change in removed for entry in change.entries)
            self._base_digest = removed[-1].digest
        del self._changes[:count]
        del self._versions[:count]
        self.base_version = max(self.base_version, base_version)
        self._cached = None

    def digest_at(self, version: int) -> int | None:
        """Returns the digest of the view's keys at a version, None if it is not known."""
        index = bisect_right(self._versions, version)
        if version < self.base_version or self._is_inside_change(index, version):
            return None
        return self._changes[index - 1].digest if index else self._base_digest

    def _is_inside_change(self, index: int, version: int) -> bool:
        return index < len(self._changes) and self._changes[index].from_version < version

    def delta(self, version: int, newest_version: int, max_bytes: int) -> DeltaContent:
        """Returns the changes after `version`, up to `newest_version` if they fit into `max_bytes`.

        The delta ends between two changes and holds at least one, whatever its size.
        """
        index = bisect_right(self._versions, version)
        key = index, newest_version, version if self._is_inside_change(index, version) else None
        if self._cached is None or self._cached.key != key:
            self._cached = _CachedDelta(key, self._build(index, version, newest_version, max_bytes))
        return self._cached.content

    def _build(self, index: int, version: int, newest_version: int, max_bytes: int) -> DeltaContent:
        last_of_key: dict[str, pb.Entry] = {}
        size = 0
        for number in range(index, len(self._changes)):
            # The subscriber already holds the entries of a merged change up to `version`.
            newer_entries = [entry for entry in self._changes[number].entries if entry.version > version]
            size += sum(map(size_of, newer_entries))
            if size > max_bytes and number > index:
                previous = self._changes[number - 1]
                return DeltaContent(previous.version, previous.digest, list(last_of_key.values()))
            last_of_key.update((entry.key, entry) for entry in newer_entries)
        return DeltaContent(newest_version, self.digest, list(last_of_key.values()))
