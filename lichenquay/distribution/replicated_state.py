"""The state that a subscriber holds: changed only by whole deltas and snapshots, its version never falls."""

from collections import Counter
from collections.abc import Callable

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.applied_state import AppliedState
from lichenquay.distribution.errors import DigestError, VersionGapError
from lichenquay.distribution.key_store import KeyStore

OnChanged = Callable[[float, list[pb.Entry] | None], None]


class ReplicatedState:
    """Holds a subscriber's state and has it applied.

    `on_changed(now_ms, entries)`, if set, is called after each change; `entries` is None if the whole state
    was replaced.
    """

    def __init__(self, applied: AppliedState, prefixes: tuple[str, ...], counts: Counter):
        """Starts with an empty state."""
        self.store = KeyStore()
        self.applied = applied
        self.on_changed: OnChanged | None = None
        self._prefixes = prefixes
        self._counts = counts

    def apply_delta(self, now_ms: float, delta: pb.Delta) -> list[pb.Entry] | None:
        """Applies the entries of a delta that are newer than the state; returns them, None if it is old.

        Raises VersionGapError if changes are missing between the state and the delta, DigestError if the
        digest does not match; in both cases nothing is applied.
        """
        from_version = getattr(delta, "from")
        if from_version > self.store.version:
            raise VersionGapError(
                f"delta starts at version {from_version}, but only version {self.store.version} is held"
            )
        if delta.to < self.store.version:
            self._counts["old_version"] += 1
            return None
        entries = [entry for entry in delta.entries if entry.version > self.store.version]
        if self.store.digest_after(entries) != delta.digest:
            raise DigestError(f"digest mismatch in the delta to version {delta.to}")
        if delta.to > self.store.version:
            self.advance(now_ms, delta.to, entries)
        return entries

    def advance(self, now_ms: float, version: int, entries: list[pb.Entry]) -> None:
        """Applies entries, the held state then being at `version`."""
        self.store.apply(version, entries)
        if entries:
            self._counts["deltas"] += 1
        self.applied.add_pending(entry.key for entry in entries)
        # A version without changes does not retry refused values; they are retried after their own delay.
        if entries or not self.applied.has_pending:
            self.applied.apply_pending(now_ms, self.store)
        if self.on_changed is not None:
            self.on_changed(now_ms, entries)

    def check_replacement(self, store: KeyStore) -> bool:
        """Returns whether a fetched state may replace this one; counts why not.

        It must not be older, and may have only subscribed keys.
        """
        # A delta may have arrived during the fetch; its changes would be undone.
        if store.version < self.store.version:
            self._counts["old_version"] += 1
            return False
        if not all(key.startswith(self._prefixes) for key in store.entries):
            self._counts["malformed"] += 1
            return False
        return True

    def replace(self, now_ms: float, store: KeyStore) -> None:
        """Replaces the held state with a fetched one and applies it."""
        self.store = store
        self.applied.set_whole_pending()
        self.applied.apply_pending(now_ms, store)
        if self.on_changed is not None:
            self.on_changed(now_ms, None)
