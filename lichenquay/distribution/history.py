"""The recent changes of a state, bounded in number and bytes, and the prefix views of them in use."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.messages import DIGEST_MODULUS, digest_of, size_of
from lichenquay.distribution.prefix_view import PrefixView
from lichenquay.distribution.settings import Settings


class RecordedChange(NamedTuple):
    """A change as it was added: `digest_changes[i]` is what `entries[i]` added to the state's digest."""

    from_version: int
    version: int
    entries: tuple[pb.Entry, ...]
    digest_changes: tuple[int, ...]
    size: int


@dataclass
class _ViewPart:
    """The part of a change that concerns one view."""

    view: PrefixView
    entries: list[pb.Entry] = field(default_factory=list)
    digest_change: int = 0


class History:
    """Holds the last changes of a KeyStore, to which it applies them, and the prefix views of them."""

    def __init__(self, store: KeyStore, settings: Settings):
        """Starts at the version of `store`, without changes."""
        self.store = store
        self.settings = settings
        self.base_version = store.version
        self.views: dict[tuple[str, ...], PrefixView] = {}
        self._views_by_prefix: dict[str, list[PrefixView]] = {}
        self._changes: list[RecordedChange] = []
        self._bytes = 0

    def add(self, version: int, entries: Sequence[pb.Entry]) -> list[PrefixView]:
        """Applies a change and returns the views that it concerns.

        The cost depends on the lengths of the keys, not on the number of views.
        """
        from_version = self.store.version
        digest_changes = self.store.apply(version, entries)
        concerned: dict[tuple[str, ...], _ViewPart] = {}
        for entry, digest_change in zip(entries, digest_changes, strict=True):
            for view in self._views_of(entry.key):
                part = concerned.setdefault(view.prefixes, _ViewPart(view))
                part.entries.append(entry)
                part.digest_change += digest_change
        for part in concerned.values():
            part.view.add(from_version, version, part.entries, part.digest_change)
        size = sum(map(size_of, entries))
        self._record(RecordedChange(from_version, version, tuple(entries), tuple(digest_changes), size))
        return [part.view for part in concerned.values()]

    def _views_of(self, key: str) -> Iterable[PrefixView]:
        found = {}
        for end in range(len(key) + 1):
            for view in self._views_by_prefix.get(key[:end], ()):
                found[view.prefixes] = view
        return found.values()

    def _record(self, change: RecordedChange) -> None:
        self._changes.append(change)
        self._bytes += change.size
        too_many = len(self._changes) > self.settings.most_changes
        if too_many or self._bytes > self.settings.most_history_bytes:
            # A quarter is dropped at once, so that not every change costs a pass over the views.
            self._forget_oldest(len(self._changes) // 4 + 1)

    def _forget_oldest(self, count: int) -> None:
        removed = self._changes[:count]
        del self._changes[:count]
        self.base_version = removed[-1].version
        self._bytes -= sum(change.size for change in removed)
        for view in self.views.values():
            view.trim(self.base_version)

    def view(self, prefixes: tuple[str, ...]) -> PrefixView | None:
        """Returns the view of a set of prefixes, None if `most_views` others are in use.

        A new view costs a pass over the keys and the changes; it reaches back as far as the history.
        """
        view = self.views.get(prefixes)
        if view is None and len(self.views) < self.settings.most_views:
            view = self.views[prefixes] = self._make_view(prefixes)
            for prefix in prefixes:
                self._views_by_prefix.setdefault(prefix, []).append(view)
        return view

    def _make_view(self, prefixes: tuple[str, ...]) -> PrefixView:
        base_digest = self._digest(prefixes)
        parts = []
        for change in self._changes:
            pairs = zip(change.entries, change.digest_changes, strict=True)
            concerned = [(entry, added) for entry, added in pairs if entry.key.startswith(prefixes)]
            if concerned:
                entries = [entry for entry, _ in concerned]
                digest_change = sum(added for _, added in concerned)
                parts.append((change, entries, digest_change))
                base_digest -= digest_change
        view = PrefixView(prefixes, self.base_version, base_digest % DIGEST_MODULUS)
        for change, entries, digest_change in parts:
            view.add(change.from_version, change.version, entries, digest_change)
        return view

    def _digest(self, prefixes: tuple[str, ...]) -> int:
        if "" in prefixes:
            return self.store.digest
        digests = (
            digest_of(key, stored.value, stored.version)
            for key, stored in self.store.entries.items()
            if key.startswith(prefixes)
        )
        return sum(digests) % DIGEST_MODULUS

    def drop(self, view: PrefixView) -> None:
        """Drops a view that is no longer used."""
        del self.views[view.prefixes]
        for prefix in view.prefixes:
            self._views_by_prefix[prefix].remove(view)
            if not self._views_by_prefix[prefix]:
                del self._views_by_prefix[prefix]
