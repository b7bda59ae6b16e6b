"""Helpers for tests of a store on a real disk."""

import os

from lichenquay.storage.store import DurableStore

MAX_BYTES = 1 << 20


def open_store(path, name="gateway", fleet="fleet", max_bytes=MAX_BYTES, **more):
    """Opens the store at a path."""
    return DurableStore(path, fleet, name, max_bytes, **more)


def write_two_generations(path, number=5):
    """Writes `number` records, half of them before the newest snapshot; returns the closed store."""
    store = open_store(path)
    for step in range(number):
        store.append({f"k{step % 3}": b"%d" % step, "last": b"%d" % step})
        (store.compact if step == number // 2 else store.flush)(0.0)
    store.close()
    return store


def names_in(path):
    """Returns the names in a folder, sorted."""
    return sorted(os.listdir(path))
