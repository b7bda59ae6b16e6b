"""The keys and values of one version, with their digest."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import DIGEST_MODULUS, ENTRY_OVERHEAD_BYTES, digest_of


class StoredValue(NamedTuple):
    """A key's value and the version that set it."""

    value: bytes
    version: int


class KeyStore:
    """Holds a state: the values of a set of keys at one version.

    `digest` is the sum of the entries' digests modulo 2^64, `bytes` the upper bound of their size in
    messages. Both are updated with each change, without a pass over the keys.
    """

    def __init__(self):
        """Starts empty at version 0."""
        self.version = 0
        self.digest = 0
        self.bytes = 0
        self.entries: dict[str, StoredValue] = {}

    def apply(self, version: int, entries: Iterable[pb.Entry]) -> list[int]:
        """Applies entries, each with the version of its value, and sets the state's version.

        Returns what each entry added to the digest modulo 2^64, in order. Deleting a key that does not exist
        adds nothing.
        """
        digest_changes = [self._apply_entry(entry) for entry in entries]
        self.version = version
        return digest_changes

    def _apply_entry(self, entry: pb.Entry) -> int:
        change = 0
        old = self.entries.pop(entry.key, None)
        if old is not None:
            change -= digest_of(entry.key, old.value, old.version)
            self.bytes -= len(entry.key) + len(old.value) + ENTRY_OVERHEAD_BYTES
        if not entry.deleted:
            self.entries[entry.key] = StoredValue(entry.value, entry.version)
            change += digest_of(entry.key, entry.value, entry.version)
            self.bytes += len(entry.key) + len(entry.value) + ENTRY_OVERHEAD_BYTES
        self.digest = (self.digest + change) % DIGEST_MODULUS
        return change % DIGEST_MODULUS

    def digest_after(self, entries: Iterable[pb.Entry]) -> int:
        """Returns the digest after `apply` of the entries, without applying them."""
        digest = self.digest
        last_of_key = {entry.key: entry for entry in entries}
        for entry in last_of_key.values():
            old = self.entries.get(entry.key)
            if old is not None:
                digest -= digest_of(entry.key, old.value, old.version)
            if not entry.deleted:
                digest += digest_of(entry.key, entry.value, entry.version)
        return digest % DIGEST_MODULUS

    def copy(self) -> "KeyStore":
        """Returns an independent copy of the state."""
        new = KeyStore()
        new.version = self.version
        new.digest = self.digest
        new.bytes = self.bytes
        new.entries = dict(self.entries)
        return new

    def entries_with(self, prefixes: Iterable[str]) -> list[pb.Entry]:
        """Returns the entries of all keys with one of the prefixes, sorted by key. A pass over all keys."""
        prefixes = tuple(prefixes)
        return [
            pb.Entry(key=key, value=stored.value, version=stored.version)
            for key, stored in sorted(self.entries.items())
            if key.startswith(prefixes)
        ]

    def to_state(self, requests: Sequence[int] = ()) -> pb.State:
        """Returns the state as a message, with the request numbers of its last changes."""
        return pb.State(version=self.version, entries=self.entries_with([""]), requests=requests)

    @classmethod
    def from_state(cls, state: pb.State) -> "KeyStore":
        """Returns the state that a message holds."""
        new = cls()
        new.apply(state.version, state.entries)
        return new
