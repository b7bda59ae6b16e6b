"""Limits, digests and integrity marks of messages, which themselves are protobuf (distribution.proto)."""

import math
import struct
from collections.abc import Iterable
from hashlib import blake2b

from google.protobuf.message import Message

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.settings import Settings

MAX_MESSAGE_BYTES = 1080  # Of a pb.Message: what the datagram envelope has room for.
MAX_KEY_CHARACTERS = 64
MAX_VALUE_BYTES = 640
VERSION_LIMIT = 1 << 48  # Versions in messages are below it.
ENTRY_OVERHEAD_BYTES = 24  # Of an entry in a message beside its key and value, at most.
DIGEST_MODULUS = 1 << 64
DIGEST_BYTES = 8
FOLLOW_OVERHEAD_BYTES = 160  # Of a Follow beside its prefixes.


def digest_of(key: str, value: bytes, version: int) -> int:
    """Return the BLAKE2b-64 digest of one entry. A state's digest is their sum modulo 2^64."""
    name = key.encode()
    data = struct.pack("<QQ", version, len(name)) + name + value
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest(), "little")


def size_of(entry: pb.Entry) -> int:
    """Return how many bytes an entry has in a message, at most."""
    return len(entry.key) + len(entry.value) + ENTRY_OVERHEAD_BYTES


def mark_of(message: Message, prefixes: Iterable[str]) -> int:
    """Return the BLAKE2b-64 mark of a Delta, SnapshotOffer or Page: of its fields without the entries.

    It covers the session's prefixes too: a source that understood other prefixes would send a digest that
    fits what it sends.
    """
    parts = [message.DESCRIPTOR.name, *prefixes]
    for field in message.DESCRIPTOR.fields:
        if field.name not in ("entries", "mark"):
            parts.append(repr(getattr(message, field.name)))
    return int.from_bytes(blake2b("|".join(parts).encode(), digest_size=DIGEST_BYTES).digest(), "little")


def marked(message: Message, prefixes: Iterable[str]) -> Message:
    """Return the message with its mark set; `prefixes` are sorted and without duplicates."""
    message.mark = mark_of(message, prefixes)
    return message


def is_marked(message: Message, prefixes: Iterable[str]) -> bool:
    """Return whether a message's fields are intact and belong to a session of these prefixes."""
    return message.mark == mark_of(message, prefixes)


def is_duration(value_ms: float) -> bool:
    """Return whether a duration in a message is finite and not negative."""
    return math.isfinite(value_ms) and value_ms >= 0


def is_valid_delta(delta: pb.Delta, prefixes: tuple[str, ...]) -> bool:
    """Return whether a delta's versions are in order and its entries are of the subscribed keys."""
    since = getattr(delta, "from")
    if not since <= delta.to <= delta.newest < VERSION_LIMIT or not is_duration(delta.age_ms):
        return False
    return all(
        since < entry.version <= delta.to and entry.key.startswith(prefixes) for entry in delta.entries
    )


def is_valid_subscription(prefixes: tuple[str, ...], settings: Settings) -> bool:
    """Return whether there are prefixes, and a Follow has room for them."""
    size = pb.Follow(prefixes=prefixes).ByteSize() + FOLLOW_OVERHEAD_BYTES
    return 0 < len(prefixes) <= settings.most_prefixes and size <= MAX_MESSAGE_BYTES
