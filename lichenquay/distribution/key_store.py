"""The keys of one version, with their digest. No I/O."""

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.messages import ENTRY_BYTES, MODULUS, digest_of


class Store:
    """What is held of a set of keys at one version.

    `entries` is {key: (value, version of the value)}; `digest` the sum of their digests modulo 2^64; `bytes`
    their size as messages count it. All three are kept up with each change, without a pass over the keys.
    """

    def __init__(self):
        """Empty, at version 0."""
        self.version, self.digest, self.bytes, self.entries = 0, 0, 0, {}

    def apply(self, version, entries):
        """Takes the entries (pb.Entry, each with the version of its value); stands at `version` from then on.

        Gives how much each entry added to the digest, modulo 2^64, in their order. An entry that deletes
        what is not there adds nothing.
        """
        added = [self._put(entry) for entry in entries]
        self.version = version
        return added

    def _put(self, entry):
        added = 0
        old = self.entries.pop(entry.key, None)
        if old is not None:
            added -= digest_of(entry.key, *old)
            self.bytes -= len(entry.key) + len(old[0]) + ENTRY_BYTES
        if not entry.deleted:
            self.entries[entry.key] = entry.value, entry.version
            added += digest_of(entry.key, entry.value, entry.version)
            self.bytes += len(entry.key) + len(entry.value) + ENTRY_BYTES
        self.digest = (self.digest + added) % MODULUS
        return added % MODULUS

    def digest_after(self, entries):
        """The digest that `apply` of the entries would lead to."""
        digest = self.digest
        for entry in {entry.key: entry for entry in entries}.values():
            old = self.entries.get(entry.key)
            digest -= digest_of(entry.key, *old) if old is not None else 0
            digest += 0 if entry.deleted else digest_of(entry.key, entry.value, entry.version)
        return digest % MODULUS

    def copy(self):
        """Another one of the same content; values are shared."""
        new = Store()
        new.version, new.digest, new.bytes = self.version, self.digest, self.bytes
        new.entries = dict(self.entries)
        return new

    def snapshot(self, prefixes):
        """All entries of the keys that begin with one of `prefixes`, by key. A pass over all keys."""
        begins = tuple(prefixes)
        return [
            pb.Entry(key=key, value=value, version=version)
            for key, (value, version) in sorted(self.entries.items())
            if key.startswith(begins)
        ]

    def state(self, requests=()):
        """As a pb.State."""
        return pb.State(version=self.version, entries=self.snapshot([""]), requests=requests)

    @classmethod
    def of_state(cls, state):
        """Of a pb.State."""
        new = cls()
        new.apply(state.version, state.entries)
        return new
