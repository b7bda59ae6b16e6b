"""The validation of a change: by the publisher before it is accepted, by a gateway before it is applied.

The error texts are sent to clients as the reason of a refusal.
"""

import re
from collections.abc import Callable, Mapping, Sequence

from lichenquay.distribution import distribution_pb2 as pb
from lichenquay.distribution.key_store import KeyStore
from lichenquay.distribution.messages import MAX_KEY_CHARACTERS, MAX_VALUE_BYTES, size_of
from lichenquay.distribution.settings import Settings

KEY_PATTERN = re.compile(r"[a-z0-9][a-zA-Z0-9._:@/-]*", re.ASCII)
MAX_QUOTED_KEY_CHARACTERS = 40

CheckValue = Callable[[str, bytes], str | None]
ValueChecks = Mapping[str, CheckValue | None]
ANY_VALUE: ValueChecks = {"config/": None, "engine/": None}


def find_entry_error(entry: pb.Entry, checks: ValueChecks | None = None) -> str | None:
    """Returns the error of one entry considered alone, in one line; None if it is valid.

    `checks` is {prefix of keys: check or None}, where check(key, value) returns one line or None; a key
    without any of the prefixes is an error. By default `config/` and `engine/` are valid, with any value.
    """
    checks = ANY_VALUE if checks is None else checks
    quoted_key = _quote_key(entry.key)
    if not 0 < len(entry.key) <= MAX_KEY_CHARACTERS:
        return f"key {quoted_key}: {len(entry.key)} characters, from 1 to {MAX_KEY_CHARACTERS} fit"
    if not KEY_PATTERN.fullmatch(entry.key):
        return f"key {quoted_key}: not made of letters, digits and . _ : @ / -"
    prefix = next((p for p in checks if entry.key.startswith(p) and entry.key != p), None)
    if prefix is None:
        return f"key {quoted_key}: of an unknown kind, known are {', '.join(sorted(checks))}"
    if len(entry.value) > MAX_VALUE_BYTES:
        return f"key {quoted_key}: a value of {len(entry.value)} bytes, at most {MAX_VALUE_BYTES} fit"
    if entry.deleted:
        return f"key {quoted_key}: deleted, yet with a value" if entry.value else None
    check = checks[prefix]
    return check(entry.key, entry.value) if check else None


def find_change_error(
    entries: Sequence[pb.Entry], store: KeyStore, settings: Settings, checks: ValueChecks | None = None
) -> str | None:
    """Returns the error of a change to the state `store`, in one line; None if the change is valid."""
    if not entries:
        return "a change without entries"
    size = sum(map(size_of, entries))
    if size > settings.most_change_bytes:
        return f"a change of {size} bytes, at most {settings.most_change_bytes} fit"
    earlier_keys: set[str] = set()
    for entry in entries:
        error = find_entry_error(entry, checks) or _find_key_error(entry, earlier_keys, store)
        if error:
            return error
        earlier_keys.add(entry.key)
    return _find_capacity_error(entries, size, store, settings)


def _quote_key(key: str) -> str:
    return repr(key[:MAX_QUOTED_KEY_CHARACTERS])


def _find_key_error(entry: pb.Entry, earlier_keys: set[str], store: KeyStore) -> str | None:
    if entry.key in earlier_keys:
        return f"key {_quote_key(entry.key)}: twice in one change"
    if entry.deleted and entry.key not in store.entries:
        return f"key {_quote_key(entry.key)}: to be deleted, but it is not there"
    return None


def _find_capacity_error(
    entries: Sequence[pb.Entry], size: int, store: KeyStore, settings: Settings
) -> str | None:
    new_keys = sum(not entry.deleted and entry.key not in store.entries for entry in entries)
    if new_keys and len(store.entries) + new_keys > settings.most_keys:
        return f"no room for {new_keys} more keys: {len(store.entries)} of {settings.most_keys} are there"
    sets_values = any(not entry.deleted for entry in entries)
    if sets_values and store.bytes + size > settings.most_state_bytes:
        return f"no room for {size} bytes: {store.bytes} of {settings.most_state_bytes} are there"
    return None
