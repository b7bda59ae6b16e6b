"""The lab's own hash of a configuration."""

import hashlib


def values_digest(values: dict) -> str:
    """The lab's own hash of keys and values, independent of distribution's digest."""
    digest = hashlib.blake2b(digest_size=16)
    for key in sorted(values):
        digest.update(key.encode())
        digest.update(b"\0")
        digest.update(values[key])
        digest.update(b"\0")
    return digest.hexdigest()
