"""The test bed's own digest of a configuration."""

import hashlib


def values_digest(values: dict) -> str:
    """Returns a digest of keys and values that is independent of the distribution's own digest."""
    digest = hashlib.blake2b(digest_size=16)
    for key in sorted(values):
        digest.update(key.encode())
        digest.update(b"\0")
        digest.update(values[key])
        digest.update(b"\0")
    return digest.hexdigest()
