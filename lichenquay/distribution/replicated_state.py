"""The state that a subscriber holds: it changes only by whole deltas and snapshots, and never goes back."""

from collections import Counter
from collections.abc import Callable

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.applied_state import AppliedState
from lichenquay.distribution.errors import DigestError, VersionGapError
from lichenquay.distribution.key_store import KeyStore

OnChanged = Callable[[float, list[pb.Entry] | None], None]


class ReplicatedState:
    """The state that is held, and what of it is in force.

    `on_changed(now_ms, entries)`, if set, is called after each change, with None in place of the entries if
    the whole state was replaced.
    """

    def __init__(self, applied: AppliedState, prefixes: tuple[str, ...], counts: Counter):
        """Start with an empty state."""
        self.store = KeyStore()
        self.applied = applied
        self.on_changed: OnChanged | None = None
        self._prefixes = prefixes
        self._counts = counts

    def apply_delta(self, now_ms: float, delta: pb.Delta) -> list[pb.Entry] | None:
        """Apply what of a delta is newer than the state, as a whole, and return it; None if the delta is old.

        Raises VersionGapError or DigestError; then nothing is applied.
        """
        since = getattr(delta, "from")
        if since > self.store.version:
            raise VersionGapError(f"a delta from version {since}, {self.store.version} is held")
        if delta.to < self.store.version:
            self._counts["old_version"] += 1
            return None
        entries = [entry for entry in delta.entries if entry.version > self.store.version]
        if self.store.digest_after(entries) != delta.digest:
            raise DigestError(f"changes up to version {delta.to} with a wrong digest")
        if delta.to > self.store.version:
            self.advance(now_ms, delta.to, entries)
        return entries

    def advance(self, now_ms: float, version: int, entries: list[pb.Entry]) -> None:
        """Apply entries and go to a version."""
        self.store.apply(version, entries)
        if entries:
            self._counts["deltas"] += 1
        self.applied.add_pending(entry.key for entry in entries)
        # What was refused is not tried again for a version without changes, only after its delay.
        if entries or not self.applied.has_pending:
            self.applied.apply_pending(now_ms, self.store)
        if self.on_changed is not None:
            self.on_changed(now_ms, entries)

    def may_be_replaced_by(self, store: KeyStore) -> bool:
        """Return whether a fetched state is not older than this one and has only subscribed keys."""
        # Changes that came while it was fetched would be undone.
        if store.version < self.store.version:
            self._counts["old_version"] += 1
            return False
        if not all(key.startswith(self._prefixes) for key in store.entries):
            self._counts["malformed"] += 1
            return False
        return True

    def replace(self, now_ms: float, store: KeyStore) -> None:
        """Go on from a fetched state."""
        self.store = store
        self.applied.set_whole_pending()
        self.applied.apply_pending(now_ms, store)
        if self.on_changed is not None:
            self.on_changed(now_ms, None)
