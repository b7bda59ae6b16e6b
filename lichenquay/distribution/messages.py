"""Versions, marks, limits and the errors of distribution.

Messages themselves are protobuf (distribution.proto).
"""

import math
import struct
from hashlib import blake2b
from typing import NamedTuple

MOST_MESSAGE = 1080  # Bytes of a pb.Message; as much as the fleet's envelope takes.
MOST_KEY = 64  # Characters.
MOST_VALUE = 640  # Bytes.
MOST_VERSION = 1 << 48  # A higher one in a message makes no sense.
ENTRY_BYTES = 24  # Of an entry on the wire beside its key and value, at most.
MODULUS = 1 << 64  # Of digests.


class Version(NamedTuple):
    """Where a state stands. Only `number` orders states; a lower `generation` than known is refused."""

    generation: int = 0
    number: int = 0


class BadChangeError(ValueError):
    """A change that makes no sense. The text is one line that says why."""


class DigestError(ValueError):
    """What was received does not lead to the digest that came with it. Nothing of it was taken."""


class GapError(ValueError):
    """Changes that do not follow what is held. Nothing of them was taken."""


def digest_of(key, value, version):
    """BLAKE2b-64 of one entry that is held: its part of a state's digest (a sum modulo 2^64)."""
    name = key.encode()
    parts = struct.pack("<QQ", version, len(name)) + name + value
    return int.from_bytes(blake2b(parts, digest_size=8).digest(), "little")


def size_of(entry):
    """Bytes that an entry takes in a message, at most."""
    return len(entry.key) + len(entry.value) + ENTRY_BYTES


def mark_of(message, prefixes):
    """BLAKE2b-64 of the session's prefixes and the fields of a Delta, SnapshotOffer or Page but its entries.

    The prefixes are in it as a source that understood others would send a digest that fits what it sends.
    """
    parts = [message.DESCRIPTOR.name, *prefixes]
    for field in message.DESCRIPTOR.fields:
        if field.name not in ("entries", "mark"):
            parts.append(repr(getattr(message, field.name)))
    return int.from_bytes(blake2b("|".join(parts).encode(), digest_size=8).digest(), "little")


def marked(message, prefixes):
    """The message with its mark set; `prefixes` sorted, without doubles."""
    message.mark = mark_of(message, prefixes)
    return message


def is_marked(message, prefixes):
    """Whether the fields of a message belong together, and to a session of these prefixes."""
    return message.mark == mark_of(message, prefixes)


def is_time(value_ms):
    """Whether a time in a message makes sense."""
    return math.isfinite(value_ms) and value_ms >= 0
