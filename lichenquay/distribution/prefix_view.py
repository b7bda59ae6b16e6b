"""The recent changes to the keys of one set of prefixes, from which any delta is built."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import DIGEST_MODULUS, size_of


class ViewChange(NamedTuple):
    """Changes after version `since` up to `version` of one view's keys, and the view's digest after them."""

    since: int
    version: int
    entries: tuple[pb.Entry, ...]
    digest: int


class DeltaContent(NamedTuple):
    """What a delta holds: `entries` lead from the version asked for to `version`, with `digest`."""

    version: int
    digest: int
    entries: list[pb.Entry]


class _CachedDelta(NamedTuple):
    """The last delta that was built, and what it was built for."""

    key: tuple
    content: DeltaContent


class PrefixView:
    """The changes to keys of one set of prefixes, from version `floor` on; shared by all sessions of the set.

    The digest is known at each version that a change begins or ends at, and between changes.
    """

    def __init__(self, prefixes: tuple[str, ...], floor: int, digest: int):
        """Make a view without changes; `digest` is that of its keys at version `floor`."""
        self.prefixes = prefixes
        self.floor = floor
        self.bytes = 0  # Of all entries in it.
        self._floor_digest = digest
        self._changes: list[ViewChange] = []
        self._versions: list[int] = []
        self._cached: _CachedDelta | None = None  # Most sessions ask for the same delta.

    @property
    def digest(self) -> int:
        """The digest at the newest version."""
        return self._changes[-1].digest if self._changes else self._floor_digest

    def add(self, since: int, version: int, entries: Iterable[pb.Entry], digest_change: int) -> None:
        """Add a change and what it adds to the digest."""
        digest = (self.digest + digest_change) % DIGEST_MODULUS
        self._changes.append(ViewChange(since, version, tuple(entries), digest))
        self._versions.append(version)
        self.bytes += sum(map(size_of, entries))

    def trim(self, floor: int) -> None:
        """Forget the changes up to version `floor`."""
        count = bisect_right(self._versions, floor)
        if count:
            removed = self._changes[:count]
            self.bytes -= sum(size_of(entry) for change in removed for entry in change.entries)
            self._floor_digest = removed[-1].digest
        del self._changes[:count]
        del self._versions[:count]
        self.floor = max(self.floor, floor)
        self._cached = None

    def digest_at(self, version: int) -> int | None:
        """Return the digest of its keys at a version, None where that is not known."""
        index = bisect_right(self._versions, version)
        if version < self.floor or self._is_inside_change(index, version):
            return None
        return self._changes[index - 1].digest if index else self._floor_digest

    def _is_inside_change(self, index: int, version: int) -> bool:
        return index < len(self._changes) and self._changes[index].since < version

    def delta(self, version: int, newest_version: int, max_bytes: int) -> DeltaContent:
        """Return the changes after `version`, up to `newest_version` if they fit into `max_bytes`.

        Only whole changes, and at least one.
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
            # Of changes that were merged, those up to `version` are held already.
            fresh = [entry for entry in self._changes[number].entries if entry.version > version]
            size += sum(map(size_of, fresh))
            if size > max_bytes and number > index:
                before = self._changes[number - 1]
                return DeltaContent(before.version, before.digest, list(last_of_key.values()))
            last_of_key.update((entry.key, entry) for entry in fresh)
        return DeltaContent(newest_version, self.digest, list(last_of_key.values()))
