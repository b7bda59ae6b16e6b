"""What the tests of a folder on a real disk have in common."""

import os

from lichenquay.storage.store import DurableStore

MOST = 1 << 20


def make(path, name="front", fleet="fleet", most=MOST, **more):
    return DurableStore(path, fleet, name, most, **more)


def filled(path, number=5):
    """A closed folder with two generations: `number` records, half of them before the newest snapshot."""
    folder = make(path)
    for i in range(number):
        folder.append({f"k{i % 3}": b"%d" % i, "last": b"%d" % i})
        (folder.compact if i == number // 2 else folder.flush)(0.0)
    folder.close()
    return folder


def names(path):
    return sorted(os.listdir(path))
