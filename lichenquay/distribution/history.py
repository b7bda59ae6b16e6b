"""The last changes, and for each set of prefixes a view of them from which any delta is built. No I/O."""

from bisect import bisect_right
from typing import NamedTuple

from lichenquay.distribution.messages import MODULUS, digest_of, size_of


class Item(NamedTuple):
    """Changes after `since` up to `version`, of the keys of one view, and the view's digest after them."""

    since: int
    version: int
    entries: tuple
    digest: int


class Part(NamedTuple):
    """What a delta holds: `entries` lead from the version asked for to `version`, with `digest`."""

    version: int
    digest: int
    entries: list


class View:
    """The changes to keys of one set of prefixes, from `floor` on; shared by all sessions of that set.

    The digest is known at each version that an item begins or ends at, and between items.
    """

    def __init__(self, prefixes, floor, digest):
        """`digest`: of the keys of `prefixes` at version `floor`."""
        self.prefixes, self.floor, self.floor_digest = prefixes, floor, digest
        self._items, self._versions = [], []
        self.bytes = 0  # Of all entries in it.
        self._built = None  # The last delta: most sessions ask for the same one.

    @property
    def digest(self):
        """At the newest version."""
        return self._items[-1].digest if self._items else self.floor_digest

    @property
    def changed(self):
        """The version of the newest change in it, or its floor."""
        return self._versions[-1] if self._versions else self.floor

    def add(self, since, version, entries, added):
        """A change; `added`: to the digest."""
        self._items.append(Item(since, version, tuple(entries), (self.digest + added) % MODULUS))
        self._versions.append(version)
        self.bytes += sum(map(size_of, entries))

    def trim(self, floor):
        """Forgets what leads up to `floor`."""
        many = bisect_right(self._versions, floor)
        if many:
            self.bytes -= sum(size_of(entry) for item in self._items[:many] for entry in item.entries)
            self.floor_digest = self._items[many - 1].digest
        del self._items[:many], self._versions[:many]
        self.floor, self._built = max(self.floor, floor), None

    def digest_at(self, version):
        """Of its keys at a version; None where that is not known."""
        at = bisect_right(self._versions, version)
        inside = at < len(self._items) and self._items[at].since < version
        if version < self.floor or inside:
            return None
        return self._items[at - 1].digest if at else self.floor_digest

    def delta(self, version, newest, most_bytes):
        """The part after `version`, up to `newest` if it fits into `most_bytes`; whole changes, at least
        one.
        """
        at = bisect_right(self._versions, version)
        inside = at < len(self._items) and self._items[at].since < version
        key = at, newest, version if inside else None
        if self._built is None or self._built[0] != key:
            self._built = key, self._build(at, version, newest, most_bytes)
        return self._built[1]

    def _build(self, at, version, newest, most_bytes):
        last, size = {}, 0
        for number in range(at, len(self._items)):
            item = self._items[number]
            # Risk: of changes that came merged, those up to `version` are held already.
            fresh = [entry for entry in item.entries if entry.version > version]
            size += sum(size_of(entry) for entry in fresh)
            if size > most_bytes and number > at:
                before = self._items[number - 1]
                return Part(before.version, before.digest, list(last.values()))
            last.update((entry.key, entry) for entry in fresh)
        return Part(newest, self.digest, list(last.values()))


class Change(NamedTuple):
    """A change as it was added: `added[i]` is what `entries[i]` added to the digest."""

    since: int
    version: int
    entries: tuple
    added: tuple
    size: int


class History:
    """The last changes of a Store, bounded by number and bytes, and the views of them in use."""

    def __init__(self, store, settings):
        """From the version on that `store` stands at; it is kept up by `add`."""
        self.store, self.settings, self.floor = store, settings, store.version
        self.views = {}
        self._by_prefix = {}
        self._changes, self._bytes = [], 0

    def add(self, version, entries):
        """Applies a change; gives the views that it concerns. Costs the key lengths, not the number of
        views.
        """
        since = self.store.version
        added = self.store.apply(version, entries)
        size = sum(size_of(entry) for entry in entries)
        change = Change(since, version, tuple(entries), tuple(added), size)
        touched = {}
        for entry, more in zip(entries, added, strict=True):
            for view in self._views_of(entry.key):
                _, some, digest = touched.get(view.prefixes, (view, [], 0))
                touched[view.prefixes] = view, [*some, entry], digest + more
        for view, some, digest in touched.values():
            view.add(since, version, some, digest)
        self._keep(change)
        return [view for view, _, _ in touched.values()]

    def _views_of(self, key):
        found = {}
        for end in range(len(key) + 1):
            for view in self._by_prefix.get(key[:end], ()):
                found[view.prefixes] = view
        return found.values()

    def _keep(self, change):
        self._changes.append(change)
        self._bytes += change.size
        settings = self.settings
        if len(self._changes) > settings.most_changes or self._bytes > settings.most_history_bytes:
            self._trim(len(self._changes) // 4 + 1)

    def _trim(self, many):
        """Forgets the oldest quarter at once, so that a change costs no pass over the views."""
        gone = self._changes[:many]
        del self._changes[:many]
        self.floor = gone[-1].version
        self._bytes -= sum(change.size for change in gone)
        for view in self.views.values():
            view.trim(self.floor)

    def view(self, prefixes):
        """The view of a set of prefixes; None: one too many.

        A new one costs a pass over the keys and the changes; it reaches back as far as the history does.
        """
        known = self.views.get(prefixes)
        if known is None and len(self.views) < self.settings.most_views:
            known = self.views[prefixes] = self._make_view(prefixes)
            for prefix in prefixes:
                self._by_prefix.setdefault(prefix, []).append(known)
        return known

    def _make_view(self, prefixes):
        items, before = [], self._digest(prefixes)
        for change in self._changes:
            pairs = zip(change.entries, change.added, strict=True)
            some = [pair for pair in pairs if pair[0].key.startswith(prefixes)]
            if some:
                added = sum(more for _, more in some)
                items.append((change, [entry for entry, _ in some], added))
                before -= added
        view = View(prefixes, self.floor, before % MODULUS)
        for change, some, added in items:
            view.add(change.since, change.version, some, added)
        return view

    def _digest(self, prefixes):
        if "" in prefixes:
            return self.store.digest
        held = self.store.entries.items()
        return sum(digest_of(key, *what) for key, what in held if key.startswith(prefixes)) % MODULUS

    def drop(self, view):
        """Forgets a view that nobody uses."""
        del self.views[view.prefixes]
        for prefix in view.prefixes:
            self._by_prefix[prefix].remove(view)
            if not self._by_prefix[prefix]:
                del self._by_prefix[prefix]
