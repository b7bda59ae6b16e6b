"""The one check of a change: by the publisher before it is recorded, by a front before it is in force."""

import re

from lichenquay.distribution.messages import MOST_KEY, MOST_VALUE, size_of

KEY = re.compile(r"[a-z0-9][a-zA-Z0-9._:@/-]*", re.ASCII)
KINDS = {"config/": None, "engine/": None}
SHOWN = 40  # Characters of a key in a line.


def fault_of_entry(entry, kinds=None):
    """What is wrong with one entry by itself, in one line; None: nothing.

    `kinds` is {prefix of keys: check or None}, where check(key, value) gives a line or None; a key of no
    kind is a fault. By default `config/` and `engine/` with any value.
    """
    kinds = KINDS if kinds is None else kinds
    shown = repr(entry.key[:SHOWN])
    if not 0 < len(entry.key) <= MOST_KEY:
        return f"key {shown}: {len(entry.key)} characters, from 1 to {MOST_KEY} fit"
    if not KEY.fullmatch(entry.key):
        return f"key {shown}: not made of letters, digits and . _ : @ / -"
    prefix = next((p for p in kinds if entry.key.startswith(p) and entry.key != p), None)
    if prefix is None:
        return f"key {shown}: of an unknown kind, known are {', '.join(sorted(kinds))}"
    if len(entry.value) > MOST_VALUE:
        return f"key {shown}: a value of {len(entry.value)} bytes, at most {MOST_VALUE} fit"
    if entry.deleted:
        return f"key {shown}: deleted, yet with a value" if entry.value else None
    return kinds[prefix](entry.key, entry.value) if kinds[prefix] else None


def fault_of(entries, store, settings, kinds=None):
    """What is wrong with a change to what `store` holds, in one line; None: it can be made."""
    if not entries:
        return "a change without entries"
    size = sum(size_of(entry) for entry in entries)
    if size > settings.most_change_bytes:
        return f"a change of {size} bytes, at most {settings.most_change_bytes} fit"
    keys = set()
    for entry in entries:
        fault = fault_of_entry(entry, kinds) or _fault_beside(entry, keys, store)
        if fault:
            return fault
        keys.add(entry.key)
    return _fault_of_room(entries, size, store, settings)


def _fault_beside(entry, keys, store):
    if entry.key in keys:
        return f"key {entry.key[:SHOWN]!r}: twice in one change"
    if entry.deleted and entry.key not in store.entries:
        return f"key {entry.key[:SHOWN]!r}: to be deleted, but it is not there"
    return None


def _fault_of_room(entries, size, store, settings):
    more = sum(not entry.deleted and entry.key not in store.entries for entry in entries)
    if more and len(store.entries) + more > settings.most_keys:
        return f"no room for {more} more keys: {len(store.entries)} of {settings.most_keys} are there"
    grows = any(not entry.deleted for entry in entries)
    if grows and store.bytes + size > settings.most_state_bytes:
        return f"no room for {size} bytes: {store.bytes} of {settings.most_state_bytes} are there"
    return None
