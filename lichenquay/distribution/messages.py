"""Limits, digests and header checksums of the messages, which are defined in distribution.proto."""

import math
import struct
from collections.abc import Iterable
from hashlib import blake2b

from google.protobuf.message import Message

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.settings import Settings

MAX_MESSAGE_BYTES = 1080  # Of a pb.Message, so that it fits into the datagram envelope.
MAX_KEY_CHARACTERS = 64
MAX_VALUE_BYTES = 640
VERSION_LIMIT = 1 << 48  # A version in a message is invalid from here on.
ENTRY_OVERHEAD_BYTES = 24  # At most, of an entry in a message besides its key and value.
DIGEST_MODULUS = 1 << 64
DIGEST_BYTES = 8
FOLLOW_OVERHEAD_BYTES = 160  # Of a Follow besides its prefixes.


def digest_of(key: str, value: bytes, version: int) -> int:
    """Returns the BLAKE2b-64 digest of one entry. A state's digest is their sum modulo 2^64."""
    name = key.encode()
    data = struct.pack("<QQ", version, len(name)) + name + value
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest(), "little")


def size_of(entry: pb.Entry) -> int:
    """Returns an upper bound of an entry's size in a message, in bytes."""
    return len(entry.key) + len(entry.value) + ENTRY_OVERHEAD_BYTES


def header_checksum(message: Message, prefixes: Iterable[str]) -> int:
    """Returns the BLAKE2b-64 checksum of a Delta, SnapshotOffer or Page: all its fields except the entries.

    It covers the session's prefixes too: a source that received other prefixes would send a state digest that
    matches its entries, so the digest alone would not detect the error.
    """
    parts = [message.DESCRIPTOR.name, *prefixes]
    for field in message.DESCRIPTOR.fields:
        if field.name not in ("entries", "mark"):
            parts.append(repr(getattr(message, field.name)))
    return int.from_bytes(blake2b("|".join(parts).encode(), digest_size=DIGEST_BYTES).digest(), "little")


def set_checksum(message: Message, prefixes: Iterable[str]) -> Message:
    """Sets a message's checksum (`mark`) and returns the message; `prefixes` are sorted and distinct."""
    message.mark = header_checksum(message, prefixes)
    return message


def has_valid_checksum(message: Message, prefixes: Iterable[str]) -> bool:
    """Returns whether a message's fields are intact and belong to a session with these prefixes."""
    return message.mark == header_checksum(message, prefixes)


def is_duration(value_ms: float) -> bool:
    """Returns whether a duration in a message is finite and not negative."""
    return math.isfinite(value_ms) and value_ms >= 0


def is_valid_delta(delta: pb.Delta, prefixes: tuple[str, ...]) -> bool:
    """Returns whether a delta's versions are in order and its entries are of the subscribed keys."""
    from_version = getattr(delta, "from")
    if not from_version <= delta.to <= delta.newest < VERSION_LIMIT or not is_duration(delta.age_ms):
        return False
    return all(
        from_version < entry.version <= delta.to and entry.key.startswith(prefixes) for entry in delta.entries
    )


def is_valid_subscription(prefixes: tuple[str, ...], settings: Settings) -> bool:
    """Returns whether there is a prefix, at most `most_prefixes`, and all of them fit into a Follow."""
    size = pb.Follow(prefixes=prefixes).ByteSize() + FOLLOW_OVERHEAD_BYTES
    return 0 < len(prefixes) <= settings.most_prefixes and size <= MAX_MESSAGE_BYTES
