"""Digests that detect errors in records and positions."""

from hashlib import blake2b

_DIGEST_BYTES = 8


def digest(*parts: bytes) -> int:
    """64 bits of BLAKE2b over the parts: protects against errors, not against forgery."""
    return int.from_bytes(blake2b(b"".join(parts), digest_size=_DIGEST_BYTES).digest(), "little")
